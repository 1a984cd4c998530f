#include "review/standins/fleet.hpp"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iomanip>
#include <stdexcept>
#include <thread>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace siskinusher::review
{

namespace
{

using nlohmann::json;

constexpr char const* objects_path = "/api/objects/";
constexpr std::size_t kept_changes = 2000;
constexpr milliseconds restart_delay{300};

long resident_kb(pid_t pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);)
    {
        if (line.rfind("VmRSS:", 0) == 0)
        {
            return std::strtol(line.c_str() + 6, nullptr, 10);
        }
    }
    return 0;
}

std::string query_value(std::string const& target, std::string const& name)
{
    std::size_t const begin = target.find('?');
    if (begin == std::string::npos)
    {
        return {};
    }
    std::string const query = "&" + target.substr(begin + 1);
    std::size_t const at = query.find("&" + name + "=");
    if (at == std::string::npos)
    {
        return {};
    }
    std::size_t const start = at + name.size() + 2;
    return query.substr(start, query.find('&', start) - start);
}

std::string answer_text(int status, std::string const& header_lines, std::string const& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Answer\r\n" + header_lines +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::int64_t now_ms()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

recorder::recorder(std::string const& file) : out_(file), begun_(std::chrono::steady_clock::now()) {}

void recorder::write(std::string const& line)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const passed =
        std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - begun_).count();
    out_ << std::setw(6) << passed << " " << line << std::endl;
}

store::store() : listener_([this](connection& peer) { serve(peer); }) {}

json store::encode(std::string const& name, object const& value)
{
    return {{"metadata", {{"name", name}, {"revision", value.revision}, {"create_rev", value.created}}},
            {"spec", value.spec},
            {"status", json::object()}};
}

void store::record(std::string const& kind, std::string const& name, object const& value, bool deleted)
{
    history_.push_back({revision_, kind, {{"object", encode(name, value)}, {"deleted", deleted}}});
    if (history_.size() > kept_changes)
    {
        history_.pop_front();
    }
    changed_.notify_all();
}

void store::write(std::string const& kind, std::string const& name, json const& spec)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    object& value = kinds_[kind][name];
    if (value.revision > 0 && value.spec == spec)
    {
        return;
    }
    value.revision = ++revision_;
    value.created = value.created == 0 ? revision_ : value.created;
    value.spec = spec;
    record(kind, name, value, false);
}

void store::remove(std::string const& kind, std::string const& name)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const found = kinds_[kind].find(name);
    if (found != kinds_[kind].end())
    {
        ++revision_;
        record(kind, name, found->second, true);
        kinds_[kind].erase(found);
    }
}

void store::serve(connection& peer)
{
    for (std::string head = peer.read_head(); !head.empty(); head = peer.read_head())
    {
        auto const body = peer.read_body(head, false);
        if (!body)
        {
            return;
        }
        std::string const line = first_line(head);
        auto const [status, text] = answer(line.substr(0, line.find(' ')), target_of(head), *body);
        if (!peer.send(answer_text(status, "Content-Type: application/json\r\n", text)))
        {
            return;
        }
    }
}

std::pair<int, std::string> store::answer(std::string const& method, std::string const& target,
                                          std::string const& body)
{
    std::string const path = target.substr(0, target.find('?'));
    if (path.rfind(objects_path, 0) != 0)
    {
        return {404, "{}"};
    }
    std::string const rest = path.substr(std::string(objects_path).size());
    std::string const kind = rest.substr(0, rest.find('/'));
    std::string const name = rest.find('/') == std::string::npos ? "" : rest.substr(rest.find('/') + 1);
    if (method == "POST" || method == "PUT")
    {
        return put(kind, name, method == "POST", json::parse(body));
    }
    if (method == "DELETE")
    {
        remove(kind, name);
        return {200, "{}"};
    }
    if (std::string const since = query_value(target, "watch"); !since.empty())
    {
        return watch(kind, std::stoull(since),
                     milliseconds{std::stoll("0" + query_value(target, "wait_ms"))});
    }
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const& objects = kinds_[kind];
    if (!name.empty())
    {
        auto const found = objects.find(name);
        return found == objects.end() ? std::pair<int, std::string>{404, "{}"}
                                      : std::pair<int, std::string>{200, encode(name, found->second).dump()};
    }
    json items = json::array();
    std::string const after = query_value(target, "after");
    for (auto const& [each, value] : objects)
    {
        if (each > after)
        {
            items.push_back(encode(each, value));
        }
    }
    return {200, json{{"items", items}, {"truncated", false}, {"as_of", revision_}}.dump()};
}

std::pair<int, std::string> store::watch(std::string const& kind, std::uint64_t since, milliseconds wait)
{
    auto const until = std::chrono::steady_clock::now() + wait;
    std::unique_lock<std::mutex> lock(mutex_);
    for (;;)
    {
        json events = json::array();
        for (change const& each : history_)
        {
            if (each.kind == kind && each.revision > since)
            {
                events.push_back(each.event);
            }
        }
        if (!events.empty() || std::chrono::steady_clock::now() >= until)
        {
            return {200, json{{"events", events}, {"as_of", revision_}}.dump()};
        }
        changed_.wait_until(lock, until);
    }
}

std::pair<int, std::string> store::put(std::string const& kind, std::string const& name, bool create,
                                       json const& body)
{
    json const& metadata = body.at("metadata");
    std::string const target = create ? metadata.at("name").get<std::string>() : name;
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const found = kinds_[kind].find(target);
    bool const exists = found != kinds_[kind].end();
    if (!create && !exists)
    {
        return {404, "{}"};
    }
    bool const conditional = metadata.contains("revision");
    if (exists && (create || (conditional && metadata["revision"] != found->second.revision)))
    {
        return {409, encode(target, found->second).dump()};
    }
    object& value = kinds_[kind][target];
    value.revision = ++revision_;
    value.created = value.created == 0 ? revision_ : value.created;
    value.spec = body.at("spec");
    record(kind, target, value, false);
    return {create ? 201 : 200, encode(target, value).dump()};
}

server::server(store& platform, std::string name, std::string service, std::vector<std::string> models,
               handler handle)
    : store_(platform), name_(std::move(name)), service_(std::move(service)), models_(std::move(models)),
      handle_(std::move(handle)), born_(now_ms()), listener_([this](connection& peer) { serve(peer); })
{
    write_entry();
}

void server::write_entry(std::string const& state)
{
    json entry{{"service", service_}, {"address", listener_.address()},
               {"zone", "zone-a"},    {"version", version_},
               {"slots", 8},          {"state", state},
               {"cold_left_ms", 0},   {"seq", 0},
               {"born", born_}};
    if (!models_.empty())
    {
        json list = json::array();
        for (std::string const& model : models_)
        {
            list.push_back({{"name", model}, {"version", 1}, {"adapters", json::array()}});
        }
        entry["stage"] = "colocated";
        entry["models"] = list;
        entry["at_hand"] = {{"in_memory", models_}, {"on_disk", models_}};
    }
    store_.write("servers", name_, entry);
}

void server::set_version(std::string version)
{
    version_ = std::move(version);
    write_entry();
}

std::string server::report_body() const
{
    json list = json::array();
    for (std::string const& model : models_)
    {
        list.push_back({{"name", model}, {"version", 1}, {"adapters", json::array()}});
    }
    return json{{"stage", "colocated"}, {"models", list}, {"busy", false},     {"seq", 0},    {"queued", 0},
                {"running", 0},         {"kv_used", 0},   {"kv_total", 90000}, {"handles", 0}}
        .dump();
}

void server::serve(connection& peer)
{
    for (std::string head = peer.read_head(); !head.empty(); head = peer.read_head())
    {
        auto body = peer.read_body(head, false);
        if (!body)
        {
            return;
        }
        server_request const request{head, std::move(*body)};
        std::string const expected = header_of(head, "Expect-Instance");
        std::string lines = "Instance-Id: " + name_ + "\r\n";
        if (!expected.empty() && expected != name_)
        {
            if (!peer.send(answer_text(421, lines + "Not-Executed: 1\r\n", "")))
            {
                return;
            }
            continue;
        }
        std::string const target = target_of(head);
        if (target == "/api/report" || target == "/health")
        {
            if (!peer.send(answer_text(200, lines, target == "/health" ? "" : report_body())))
            {
                return;
            }
            continue;
        }
        if (target == "/api/order")
        {
            if (!peer.send(answer_text(200, lines, "{}")))
            {
                return;
            }
            continue;
        }
        if (request.id().empty())
        {
            if (!peer.send(answer_text(400, lines + "Not-Executed: 1\r\n", "")))
            {
                return;
            }
            continue;
        }
        server_answer const answer = handle_(request);
        lines += "Attempt-Id: " + request.id() + "\r\n" + answer.header_lines +
                 (answer.signed_by_server ? "Server-Stamp: 3e1b.07.5a2.600.0." + name_ + "\r\n" : "") +
                 (answer.not_run ? "Not-Executed: 1\r\n" : "") + "Keep-Alive: timeout=4\r\n" +
                 "Server-Load: 1,0,8\r\n";
        bool const sent =
            peer.send(answer.raw.empty() ? answer_text(answer.status, lines, answer.body) : answer.raw);
        if (!sent || answer.close)
        {
            return;
        }
    }
}

edge::edge(std::string const& folder, std::string const& name, std::string const& store_address)
    : folder_(folder), name_(name), caller_port_(free_port()), readiness_port_(free_port()),
      peer_port_(free_port())
{
    std::string const here = "127.0.0.1:";
    std::ofstream settings(folder_ + "/" + name_ + ".yaml");
    settings << "instance: { name: " << name_ << ", data_centre: zone-a, region: region-a }\n"
             << "data_centres:\n  - { name: zone-a, region: region-a }\n"
             << "listen: { callers: \"" << here << caller_port_ << "\", readiness: \"" << here
             << readiness_port_ << "\", peers: \"" << here << peer_port_ << "\" }\n"
             << "platform: { object_store: \"" << store_address << "\", leaving_ms: 2500, change_ms: 2500 }\n"
             << "retries: { ratio: 0.2, window_s: 10, slack: 58 }\n"
             << "orders: { holder_gap_ms: 3000, load_window_s: 5 }\n"
             << "limits: { stop_s: 8, descriptors: 4100, cpu_share: 0.25 }\n";
    settings.close();
    start();
}

edge::~edge()
{
    kill();
}

void edge::start()
{
    std::string const program = "target/siskin-edge";
    std::string const settings = folder_ + "/" + name_ + ".yaml";
    std::string const log = folder_ + "/" + name_ + ".log";
    pid_ = ::fork();
    if (pid_ < 0)
    {
        throw std::runtime_error("cannot start a process");
    }
    if (pid_ == 0)
    {
        (void)::prctl(PR_SET_PDEATHSIG, SIGKILL);
        int const out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        (void)::dup2(out, STDOUT_FILENO);
        (void)::dup2(out, STDERR_FILENO);
        ::execl(program.c_str(), program.c_str(), "--settings", settings.c_str(), nullptr);
        ::_exit(127);
    }
}

void edge::send(int signal) const
{
    if (pid_ > 0)
    {
        (void)::kill(pid_, signal);
    }
}

void edge::kill()
{
    if (pid_ > 0)
    {
        (void)::kill(pid_, SIGKILL);
        (void)::waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
}

bool edge::running()
{
    if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_)
    {
        pid_ = -1;
    }
    return pid_ > 0;
}

bool edge::wait_ready(milliseconds limit) const
{
    auto const until = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < until)
    {
        if (call(readiness_port_, "GET /api/readiness HTTP/1.1\r\nHost: r\r\n\r\n", 1000).status == 200)
        {
            return true;
        }
        std::this_thread::sleep_for(milliseconds{50});
    }
    return false;
}

machine::machine(std::string const& folder, std::string name, std::string const& store_address,
                 long memory_kb, recorder& record)
    : name_(std::move(name)), memory_kb_(memory_kb), record_(record), process_(folder, name_, store_address),
      watcher_([this] { watch(); })
{
}

machine::~machine()
{
    stop();
}

void machine::stop()
{
    stopping_ = true;
    if (watcher_.joinable())
    {
        watcher_.join();
    }
    process_.kill();
}

void machine::watch()
{
    while (!stopping_)
    {
        bool const runs = process_.running();
        long const memory = runs ? resident_kb(process_.process_id()) : 0;
        most_memory_kb_ = std::max(most_memory_kb_.load(), memory);
        if (!runs || memory > memory_kb_)
        {
            ++ends_;
            record_.write("platform " + name_ + ": process ended " +
                          (runs ? "for its memory of " + std::to_string(memory) + " kB" : "by itself"));
            process_.kill();
            std::this_thread::sleep_for(restart_delay);
            process_.start();
        }
        std::this_thread::sleep_for(milliseconds{2});
    }
}

bool has_trouble()
{
    char const* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

void finish(int code, std::string const& folder)
{
    std::error_code ignored;
    std::filesystem::remove_all(folder, ignored);
    std::fflush(stdout);
    std::_Exit(code);
}

std::string temporary_folder()
{
    std::string pattern = "/tmp/siskin-review-XXXXXX";
    if (::mkdtemp(pattern.data()) == nullptr)
    {
        throw std::runtime_error("cannot create a temporary folder");
    }
    return pattern;
}

json small_configuration()
{
    auto const route =
        [](char const* prefix, char const* kind, char const* service, double timeout_ms, unsigned attempts)
    {
        return json{{"name", prefix},        {"host", "app.example"},
                    {"path_prefix", prefix}, {"route_kind", kind},
                    {"service", service},    {"timeout_ms", timeout_ms},
                    {"goal_ms", 300},        {"priority", 0},
                    {"attempts", attempts},  {"resumable", std::string(kind) == "streaming"},
                    {"gap_aim_ms", 250}};
    };
    json const models =
        json::array({{{"name", "m0"}, {"weights_mb", 34300}, {"load_s", 6.0}, {"adapters", 0}}});
    return {
        {"version", 7},
        {"routes",
         {route("/debit/", "non_idempotent", "app", 2000, 2), route("/stock/", "idempotent", "app", 2000, 2),
          route("/advice/", "streaming", "llm", 15000, 2)}},
        {"services",
         {{{"name", "app"}, {"health_path", "/health"}, {"max_conns", 110}},
          {{"name", "llm"},
           {"health_path", "/health"},
           {"max_conns", 370},
           {"engine",
            {{"slots", 64},
             {"weights_mb", 200000},
             {"adapter_slots", 8},
             {"loads_per_s", 3.4},
             {"models", models}}}}}},
        {"limits",
         {{"max_header_bytes", 16384},
          {"max_body_bytes", 4194304},
          {"header_timeout_ms", 3000},
          {"idle_timeout_ms", 15000}}}};
}

client_answer call(std::uint16_t port, std::string const& bytes, int limit_ms)
{
    auto const peer = connection::open(port);
    if (!peer)
    {
        return {};
    }
    peer->set_read_limit(limit_ms);
    if (!peer->send(bytes))
    {
        return {};
    }
    std::string const head = peer->read_head();
    auto const body = head.empty() ? std::nullopt : peer->read_body(head, true);
    return body ? client_answer{status_of(head), head, *body} : client_answer{0, head, {}};
}

} // namespace siskinusher::review
