#include "review/fleet2/world.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace
{

constexpr char const* objects_path = "/api/objects/";
constexpr milliseconds heartbeat{1200};
constexpr unsigned server_slots = 8;

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

std::uint16_t port_of(int descriptor)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    (void)::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

int bound_socket(std::uint16_t port)
{
    int const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    (void)::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in const address = loopback(port);
    if (::bind(descriptor, reinterpret_cast<sockaddr const*>(&address), sizeof address) != 0)
    {
        ::close(descriptor);
        throw std::runtime_error("no port can be bound");
    }
    return descriptor;
}

// The sockets stay bound, without listening, so that no outgoing connection gets the port.
std::string reserved_address()
{
    return "127.0.0.1:" + std::to_string(port_of(bound_socket(0)));
}

int connected_socket(std::string const& address)
{
    auto const port = static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)));
    int const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in const target = loopback(port);
    if (::connect(descriptor, reinterpret_cast<sockaddr const*>(&target), sizeof target) != 0)
    {
        ::close(descriptor);
        return -1;
    }
    int const on = 1;
    (void)::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return descriptor;
}

// Takes a body in chunks from the front of the bytes; nothing when it is not complete.
std::optional<std::string> take_chunks(std::string& bytes)
{
    std::string content;
    std::size_t at = 0;
    for (;;)
    {
        std::size_t const end = bytes.find("\r\n", at);
        if (end == std::string::npos)
        {
            return std::nullopt;
        }
        std::size_t const size = std::strtoul(bytes.substr(at, end - at).c_str(), nullptr, 16);
        at = end + 2;
        if (bytes.size() < at + size + 2)
        {
            return std::nullopt;
        }
        content.append(bytes, at, size);
        at += size + 2;
        if (size == 0)
        {
            bytes.erase(0, at);
            return content;
        }
    }
}

message parse_head(std::string const& head, bool is_answer)
{
    message result;
    std::size_t start = head.find("\r\n");
    std::string const first = head.substr(0, start);
    std::size_t const space = first.find(' ');
    if (is_answer)
    {
        result.status = std::atoi(first.substr(std::min(space, first.size())).c_str());
    }
    else
    {
        result.method = first.substr(0, space);
        result.target = first.substr(space + 1, first.rfind(' ') - space - 1);
    }
    while (start + 2 < head.size())
    {
        std::size_t const end = std::min(head.find("\r\n", start + 2), head.size());
        std::string const line = head.substr(start + 2, end - start - 2);
        std::size_t const colon = line.find(':');
        if (colon != std::string::npos)
        {
            std::size_t const value = line.find_first_not_of(' ', colon + 1);
            result.headers[lower(line.substr(0, colon))] =
                value == std::string::npos ? std::string() : line.substr(value);
        }
        start = end;
    }
    return result;
}

} // namespace

std::string message::header(std::string const& name) const
{
    auto const found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

std::string message::query(std::string const& name) const
{
    std::string const text = "&" + target.substr(std::min(target.find('?'), target.size() - 1) + 1) + "&";
    std::size_t const at = text.find("&" + name + "=");
    if (target.find('?') == std::string::npos || at == std::string::npos)
    {
        return {};
    }
    std::size_t const start = at + name.size() + 2;
    return text.substr(start, text.find('&', start) - start);
}

connection::~connection()
{
    ::close(descriptor_);
}

bool connection::receive()
{
    std::array<char, 16384> buffer{};
    ssize_t const count = ::recv(descriptor_, buffer.data(), buffer.size(), 0);
    if (count <= 0)
    {
        return false;
    }
    input_.append(buffer.data(), static_cast<std::size_t>(count));
    return true;
}

std::optional<message> connection::read(bool is_answer)
{
    std::size_t end = 0;
    while ((end = input_.find("\r\n\r\n")) == std::string::npos)
    {
        if (!receive())
        {
            return std::nullopt;
        }
    }
    message result = parse_head(input_.substr(0, end + 2), is_answer);
    input_.erase(0, end + 4);
    if (lower(result.header("transfer-encoding")) == "chunked")
    {
        for (;;)
        {
            if (auto content = take_chunks(input_))
            {
                result.body = std::move(*content);
                return result;
            }
            if (!receive())
            {
                return std::nullopt;
            }
        }
    }
    std::size_t const length = std::strtoul(result.header("content-length").c_str(), nullptr, 10);
    while (input_.size() < length)
    {
        if (!receive())
        {
            return std::nullopt;
        }
    }
    result.body = input_.substr(0, length);
    input_.erase(0, length);
    return result;
}

bool connection::write(std::string const& bytes) const
{
    for (std::size_t at = 0; at < bytes.size();)
    {
        ssize_t const count = ::send(descriptor_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
        if (count <= 0)
        {
            return false;
        }
        at += static_cast<std::size_t>(count);
    }
    return true;
}

bool connection::answer(int status, std::string const& body,
                        std::map<std::string, std::string> const& headers)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (auto const& [name, value] : headers)
    {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n").append(body);
    return write(text);
}

bool connection::closed() const
{
    char byte = 0;
    ssize_t const count = ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void connection::shut() const
{
    (void)::shutdown(descriptor_, SHUT_RDWR);
}

http_server::http_server(handler handle) : handle_(std::move(handle)), listener_(bound_socket(0))
{
    port_ = port_of(listener_);
    (void)::listen(listener_, 256);
    acceptor_ = std::thread([this] { accept_connections(); });
}

http_server::~http_server()
{
    stop();
}

void http_server::stop()
{
    if (stopping_.exchange(true))
    {
        return;
    }
    acceptor_.join();
    ::close(listener_);
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        for (connection* const each : open_)
        {
            each->shut();
        }
    }
    for (std::thread& each : workers_)
    {
        each.join();
    }
}

void http_server::accept_connections()
{
    while (!stopping_)
    {
        pollfd waiting{listener_, POLLIN, 0};
        if (::poll(&waiting, 1, 5) <= 0)
        {
            continue;
        }
        int const descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
        {
            continue;
        }
        int const on = 1;
        (void)::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        workers_.emplace_back(
            [this, descriptor]
            {
                connection caller(descriptor);
                {
                    std::lock_guard<std::mutex> const lock(mutex_);
                    open_.insert(&caller);
                }
                while (!stopping_)
                {
                    auto const request = caller.read(false);
                    if (!request)
                    {
                        break;
                    }
                    handle_(caller, *request);
                }
                std::lock_guard<std::mutex> const lock(mutex_);
                open_.erase(&caller);
            });
    }
}

object_store::object_store()
    : server_([this](connection& caller, message const& request) { serve(caller, request); })
{
}

object_store::~object_store()
{
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        stopping_ = true;
        changed_.notify_all();
    }
    server_.stop();
}

json object_store::encode(std::string const& name, object const& value)
{
    return {{"metadata",
             {{"name", name},
              {"revision", value.revision},
              {"create_rev", value.revision},
              {"finalizers", json::array()},
              {"deleting", false}}},
            {"spec", value.spec},
            {"status", nullptr}};
}

void object_store::put_locked(std::string const& kind, std::string const& name, json const& spec)
{
    object& value = kinds_[kind][name];
    if (value.revision != 0 && value.spec == spec)
    {
        return; // A write that changes nothing makes no event.
    }
    value.revision = ++revision_;
    value.spec = spec;
    history_.push_back({revision_, kind, {{"object", encode(name, value)}, {"deleted", false}}});
    changed_.notify_all();
}

void object_store::write(std::string const& kind, std::string const& name, json const& spec)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    put_locked(kind, name, spec);
}

void object_store::remove(std::string const& kind, std::string const& name)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto& objects = kinds_[kind];
    auto const found = objects.find(name);
    if (found == objects.end())
    {
        return;
    }
    found->second.revision = ++revision_;
    history_.push_back({revision_, kind, {{"object", encode(name, found->second)}, {"deleted", true}}});
    objects.erase(found);
    changed_.notify_all();
}

json object_store::spec_of(std::string const& kind, std::string const& name)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const& objects = kinds_[kind];
    auto const found = objects.find(name);
    return found == objects.end() ? json() : found->second.spec;
}

void object_store::cut_waiting_watches()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    ++cuts_;
    changed_.notify_all();
}

void object_store::serve(connection& caller, message const& request)
{
    std::string const path = request.path();
    if (path.rfind(objects_path, 0) != 0)
    {
        (void)caller.answer(404, "{}");
        return;
    }
    std::string const rest = path.substr(std::strlen(objects_path));
    std::size_t const slash = rest.find('/');
    std::string const kind = rest.substr(0, slash);
    std::string const name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    if (request.method == "POST" || request.method == "PUT")
    {
        replace(caller, request, kind, name);
        return;
    }
    if (request.method == "DELETE")
    {
        remove(kind, name);
        (void)caller.answer(200, "{}");
        return;
    }
    if (!request.query("watch").empty())
    {
        watch(caller, request, kind);
        return;
    }
    json body;
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        auto const& objects = kinds_[kind];
        if (name.empty())
        {
            json items = json::array();
            for (auto const& [each, value] : objects)
            {
                items.push_back(encode(each, value));
            }
            body = {{"items", items}, {"truncated", false}, {"as_of", revision_}};
        }
        else if (auto const found = objects.find(name); found != objects.end())
        {
            body = encode(name, found->second);
        }
    }
    (void)caller.answer(body.is_null() ? 404 : 200, body.is_null() ? "{}" : body.dump());
}

void object_store::watch(connection& caller, message const& request, std::string const& kind)
{
    std::uint64_t const since = std::strtoull(request.query("watch").c_str(), nullptr, 10);
    auto const until =
        timer::now() + milliseconds{std::strtoll(request.query("wait_ms").c_str(), nullptr, 10)};
    std::unique_lock<std::mutex> lock(mutex_);
    unsigned const cuts = cuts_;
    for (;;)
    {
        if (stopping_ || cuts_ != cuts)
        {
            lock.unlock();
            caller.shut();
            return;
        }
        json events = json::array();
        for (change const& each : history_)
        {
            if (each.kind == kind && each.revision > since)
            {
                events.push_back(each.event);
            }
        }
        if (!events.empty() || timer::now() >= until)
        {
            std::string const body = json{{"events", events}, {"as_of", revision_}}.dump();
            lock.unlock();
            (void)caller.answer(200, body);
            return;
        }
        changed_.wait_until(lock, until);
    }
}

void object_store::replace(connection& caller, message const& request, std::string const& kind,
                           std::string const& name)
{
    json const body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("metadata"))
    {
        (void)caller.answer(400, "{}");
        return;
    }
    bool const creates = request.method == "POST";
    std::string const target = creates ? body["metadata"].value("name", "") : name;
    std::string answer = "{}";
    int status = creates ? 201 : 200;
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        auto const& objects = kinds_[kind];
        auto const found = objects.find(target);
        bool const exists = found != objects.end();
        bool const fits = creates ? !exists
                                  : exists && (!body["metadata"].contains("revision") ||
                                               body["metadata"]["revision"] == found->second.revision);
        if (fits)
        {
            put_locked(kind, target, body["spec"]);
        }
        status = fits ? status : (creates || exists ? 409 : 404);
        auto const now = kinds_[kind].find(target);
        answer = now == kinds_[kind].end() ? answer : encode(target, now->second).dump();
    }
    (void)caller.answer(status, answer);
}

plain_server::plain_server(object_store& store, std::string name, std::string service, milliseconds work)
    : store_(store), name_(std::move(name)), service_(std::move(service)), work_(work),
      born_(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                .count()),
      server_([this](connection& caller, message const& request) { serve(caller, request); })
{
    write_entry();
    heart_ = std::thread(
        [this]
        {
            std::unique_lock<std::mutex> lock(mutex_);
            while (!ended_.wait_for(lock, heartbeat, [this] { return leaving_ || exited_; }))
            {
                ++beats_;
                lock.unlock();
                write_entry();
                lock.lock();
            }
        });
}

plain_server::~plain_server()
{
    exit();
    heart_.join();
}

void plain_server::write_entry()
{
    store_.write("servers", name_,
                 {{"service", service_},
                  {"address", server_.address()},
                  {"zone", "akl-a"},
                  {"version", "v1"},
                  {"slots", server_slots},
                  {"state", "ready"},
                  {"cold_left_ms", 0},
                  {"born", born_},
                  {"seq", beats_}});
}

void plain_server::leave()
{
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        leaving_ = true;
        ended_.notify_all();
    }
    store_.remove("servers", name_);
}

void plain_server::exit()
{
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        exited_ = true;
        ended_.notify_all();
    }
    server_.stop();
}

std::vector<arrival> plain_server::arrivals()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return arrivals_;
}

void plain_server::serve(connection& caller, message const& request)
{
    std::string const id = request.header("attempt-id");
    std::map<std::string, std::string> headers{{"Attempt-Id", id}, {"Keep-Alive", "timeout=20"}};
    std::size_t index = 0;
    bool misdirected = false;
    bool full = false;
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        misdirected =
            !request.header("expect-instance").empty() && request.header("expect-instance") != name_;
        full = running_ >= server_slots;
        index = arrivals_.size();
        arrivals_.push_back(
            {timer::now(), id, request.header("tenant"), !misdirected && !full && !exited_, false});
        running_ += misdirected || full ? 0 : 1;
    }
    if (misdirected || full)
    {
        headers["Instance-Id"] = name_;
        headers["Not-Executed"] = "1";
        (void)caller.answer(misdirected ? 421 : 503, "", headers);
        return;
    }
    std::unique_lock<std::mutex> lock(mutex_);
    auto const until = timer::now() + work_;
    while (!exited_ && timer::now() < until)
    {
        ended_.wait_until(lock, until);
    }
    --running_;
    if (exited_)
    {
        caller.shut();
        return;
    }
    lock.unlock();
    headers["Server-Stamp"] = name_ + "." + id;
    bool const sent = caller.answer(200, "done " + id, headers);
    lock.lock();
    arrivals_[index].whole = sent;
}

edge_process::edge_process(std::string name, std::string const& zone, std::string const& store_address,
                           std::string const& folder, std::string const& organisations)
    : name_(std::move(name)), settings_(folder + "/" + name_ + ".yaml"), log_(folder + "/" + name_ + ".log"),
      front_(reserved_address()), ready_(reserved_address()), peers_(reserved_address())
{
    // As deploy/settings.yaml.template renders the settings of a machine of a small site.
    std::ofstream out(settings_);
    out << "instance: { name: " << name_ << ", data_centre: " << zone << ", region: akl }\n"
        << "data_centres:\n  - { name: " << zone << ", region: akl }\n"
        << "listen: { callers: \"" << front_ << "\", readiness: \"" << ready_ << "\", peers: \"" << peers_
        << "\" }\n"
        << "platform: { object_store: \"" << store_address << "\", leaving_ms: 2500, change_ms: 2500 }\n"
        << "retries: { ratio: 0.2, window_s: 10, slack: 58 }\n"
        << "orders: { holder_gap_ms: 3000, load_window_s: 5 }\n"
        << "limits: { stop_s: 8, descriptors: 4100, cpu_share: 0.25, memory_mb: 260 }\n"
        << (organisations.empty() ? std::string("organisations: { revoke_fail_closed: false }")
                                  : organisations)
        << "\n";
}

edge_process::~edge_process()
{
    if (process_ > 0)
    {
        (void)::kill(process_, SIGKILL);
        (void)::waitpid(process_, nullptr, 0);
    }
}

void edge_process::start()
{
    std::array<char const*, 4> const command{"target/siskin-edge", "--settings", settings_.c_str(), nullptr};
    process_ = ::fork();
    if (process_ == 0)
    {
        (void)::prctl(PR_SET_PDEATHSIG, SIGKILL);
        int const output = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        (void)::dup2(output, STDOUT_FILENO);
        (void)::dup2(output, STDERR_FILENO);
        (void)::execv(command[0], const_cast<char* const*>(command.data()));
        ::_exit(127);
    }
}

void edge_process::send(int signal) const
{
    (void)::kill(process_, signal);
}

bool edge_process::running()
{
    if (process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) == process_)
    {
        process_ = -1;
    }
    return process_ > 0;
}

bool edge_process::wait_ready(milliseconds limit)
{
    auto const until = timer::now() + limit;
    while (timer::now() < until)
    {
        if (call(ready_, "GET", "/api/readiness", {{"Host", "ready"}}, "", milliseconds{500}).status == 200)
        {
            return true;
        }
        std::this_thread::sleep_for(milliseconds{50});
    }
    return false;
}

client_answer call(std::string const& address, std::string const& method, std::string const& path,
                   std::map<std::string, std::string> const& headers, std::string const& body,
                   milliseconds limit)
{
    int const descriptor = connected_socket(address);
    if (descriptor < 0)
    {
        return {};
    }
    timeval const wait{limit.count() / 1000, (limit.count() % 1000) * 1000};
    (void)::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
    connection server(descriptor);
    std::string text = method + " " + path + " HTTP/1.1\r\nConnection: close\r\n";
    for (auto const& [name, value] : headers)
    {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n").append(body);
    auto const answer = server.write(text) ? server.read(true) : std::nullopt;
    return answer ? client_answer{answer->status, answer->header("server-stamp"), answer->body}
                  : client_answer{};
}

record_file::record_file(std::string const& path) : file_(std::fopen(path.c_str(), "w")) {}

record_file::~record_file()
{
    if (file_ != nullptr)
    {
        (void)std::fclose(file_);
    }
}

long long record_file::since(timer::time_point when) const
{
    return std::chrono::duration_cast<milliseconds>(when - begun_).count();
}

void record_file::line(std::string const& text)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    if (file_ != nullptr)
    {
        (void)std::fprintf(file_, "%7lld ms  %s\n", since(timer::now()), text.c_str());
        (void)std::fflush(file_);
    }
}

bool wants_trouble()
{
    char const* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

temporary_folder::temporary_folder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "siskin-review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr)
    {
        throw std::runtime_error("no temporary folder");
    }
    path_ = pattern;
}

temporary_folder::~temporary_folder()
{
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
}

} // namespace review
