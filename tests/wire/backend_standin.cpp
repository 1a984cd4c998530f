#include "tests/wire/backend_standin.hpp"

#include <algorithm>
#include <thread>
#include <utility>

namespace siskinusher::standins
{

namespace
{

using nlohmann::json;

constexpr std::size_t max_models = 2;
constexpr std::chrono::milliseconds late_rejection_delay{500};
// Interval at which a pausing stream looks whether its caller has closed.
constexpr std::chrono::milliseconds pause_check_interval{10};
constexpr std::chrono::milliseconds pause_bytes_interval{100};

// Counts a request for as long as it lives.
class running_request
{
public:
    explicit running_request(std::atomic<unsigned>& count) : count_(count) { ++count_; }
    ~running_request() { --count_; }
    running_request(running_request const&) = delete;
    running_request& operator=(running_request const&) = delete;

private:
    std::atomic<unsigned>& count_;
};

} // namespace

backend_standin::backend_standin(store_standin& store, std::string name, std::string service,
                                 std::set<std::string> models)
    : store_(store), name_(std::move(name)), service_(std::move(service)), engine_(!models.empty()),
      entry_name_(name_), models_(std::move(models)),
      server_(
          "127.0.0.1", 0, [this](http_exchange& exchange) { serve(exchange); }, [](json const&) {})
{
    write_entry();
}

backend_standin::~backend_standin() = default;

json backend_standin::model_list() const
{
    json list = json::array();
    for (std::string const& model : models_)
    {
        list.push_back({{"name", model}, {"version", 1}, {"adapters", json::array()}});
    }
    return list;
}

void backend_standin::write_entry(std::string const& state)
{
    std::unique_lock<std::mutex> lock(mutex_);
    std::string const address = published_address_.empty() ? server_.address() : published_address_;
    json entry{{"service", service_}, {"address", address}, {"zone", "here"},     {"version", version_},
               {"slots", 8},          {"state", state},     {"born", started_at_}};
    if (engine_)
    {
        entry["models"] = model_list();
        entry["at_hand"] = {{"in_memory", json::array()}, {"on_disk", json::array({"m0", "m1", "m2"})}};
    }
    std::string const name = entry_name_;
    lock.unlock();
    store_.write("servers", name, entry);
}

void backend_standin::set_version(std::string version)
{
    std::unique_lock<std::mutex> lock(mutex_);
    version_ = std::move(version);
    lock.unlock();
    write_entry();
}

std::string backend_standin::version()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return version_;
}

void backend_standin::publish_address(std::string address)
{
    std::unique_lock<std::mutex> lock(mutex_);
    published_address_ = std::move(address);
    lock.unlock();
    write_entry();
}

void backend_standin::set_crash_part(std::string part, std::function<void()> on_crash)
{
    crash_part_ = std::move(part);
    on_crash_ = std::move(on_crash);
}

void backend_standin::set_limit(std::string per_second)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    limit_ = std::move(per_second);
}

void backend_standin::set_brittle(std::string per_second)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    brittle_ = std::move(per_second);
}

void backend_standin::set_pause_request(std::string retry_after)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    pause_request_ = std::move(retry_after);
}

std::vector<std::chrono::steady_clock::time_point> backend_standin::refusals()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return refusal_times_;
}

std::vector<std::chrono::steady_clock::time_point> backend_standin::arrivals()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return arrival_times_;
}

void backend_standin::start_again()
{
    std::unique_lock<std::mutex> lock(mutex_);
    ++started_at_;
    lock.unlock();
    write_entry();
}

void backend_standin::start_again_as(std::string new_name)
{
    std::unique_lock<std::mutex> lock(mutex_);
    earlier_entries_.push_back(std::exchange(entry_name_, std::move(new_name)));
    sequence_ = 0;
    lock.unlock();
    start_again();
}

bool backend_standin::remove_earlier_entries()
{
    std::unique_lock<std::mutex> lock(mutex_);
    std::vector<std::string> const names = std::exchange(earlier_entries_, {});
    lock.unlock();
    for (std::string const& name : names)
    {
        store_.remove("servers", name);
    }
    return !names.empty();
}

void backend_standin::set_pause(unsigned after_event, std::chrono::milliseconds value)
{
    pause_ms_ = value.count();
    pause_after_event_ = after_event;
}

std::map<std::string, unsigned> backend_standin::runs()
{
    std::map<std::string, unsigned> counts;
    for (auto const& [id, times] : run_times())
    {
        counts[id] = static_cast<unsigned>(times.size());
    }
    return counts;
}

std::map<std::string, std::vector<std::chrono::steady_clock::time_point>> backend_standin::run_times()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return run_times_;
}

std::map<std::string, std::set<std::string>> backend_standin::organisations()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return organisations_;
}

unsigned backend_standin::total_runs()
{
    unsigned sum = 0;
    for (auto const& [id, count] : runs())
    {
        sum += count;
    }
    return sum;
}

std::set<std::string> backend_standin::models()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return models_;
}

std::vector<received_order> backend_standin::orders()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return orders_;
}

std::string backend_standin::last_header(std::string const& header)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return last_headers_[header];
}

void backend_standin::serve(http_exchange& exchange)
{
    if (exchange.path() == "/api/order")
    {
        receive_order(exchange);
        return;
    }
    if (exchange.path() == "/api/report")
    {
        report(exchange);
        return;
    }
    std::string const id = exchange.header("Attempt-Id");
    std::string const model = exchange.header("Model");
    backend_fault const fault = fault_;
    exchange.set_header("Attempt-Id", fault == backend_fault::wrong_request_id ? "another" : id);
    exchange.set_header("Server-Load", "1,0,8");
    std::unique_lock<std::mutex> lock(mutex_);
    arrival_times_.push_back(std::chrono::steady_clock::now());
    if (!limit_.empty())
    {
        exchange.set_header("Server-Limit", limit_);
    }
    for (char const* const header :
         {"Deadline-Ms", "Expect-Instance", "Hold", "Last-Event-Id", "Tenant", "Authorization"})
    {
        last_headers_[header] = exchange.header(header);
    }
    organisations_[id].insert(exchange.header("Tenant"));
    received_key_ = received_key_ || !exchange.header("Authorization").empty();
    bool const absent = !model.empty() && models_.count(model) == 0;
    bool const misdirected = exchange.header("Expect-Instance") != entry_name_;
    std::string const entry_name = entry_name_;
    unsigned const reject_every = reject_every_;
    if (!brittle_.empty())
    {
        exchange.set_header("Server-Brittle", brittle_);
    }
    if (leaving_)
    {
        exchange.set_header("Server-Leaving", "1");
    }
    bool const wants_pause = !pause_request_.empty();
    if (wants_pause)
    {
        exchange.set_header("Retry-After", pause_request_);
    }
    running_request const inside(inside_);
    bool const no_room = room_ > 0 && inside_ > room_;
    if (room_ > 0)
    {
        exchange.set_header("Server-Load", std::to_string(std::min<unsigned>(inside_, room_)) + ",0," +
                                               std::to_string(room_));
    }
    if (no_room)
    {
        refusal_times_.push_back(std::chrono::steady_clock::now());
    }
    bool const late = fault == backend_fault::rejects_late;
    bool const full = late || no_room || wants_pause || fault == backend_fault::rejects ||
                      (reject_every > 0 && ++arrivals_ % reject_every == 0);
    if (absent || misdirected || full || exchange.header("Hold") == "mine")
    {
        lock.unlock();
        std::this_thread::sleep_for(late ? late_rejection_delay : std::chrono::milliseconds{0});
        exchange.set_header("Instance-Id", entry_name);
        exchange.set_header("Not-Executed", "1");
        exchange.reply(absent || misdirected ? 421 : 503, "");
        return;
    }
    run_times_[id].push_back(std::chrono::steady_clock::now());
    lock.unlock();
    if (crashes_on(exchange))
    {
        std::this_thread::sleep_for(std::chrono::milliseconds{work_ms_});
        on_crash_();
        exchange.abort();
        return;
    }
    if (fault == backend_fault::slow_body)
    {
        exchange.set_header("Server-Stamp", name_ + "." + id);
        exchange.begin_stream();
        (void)exchange.send_piece("body ");
        std::this_thread::sleep_for(std::chrono::milliseconds{work_ms_});
        (void)exchange.send_piece("of " + id);
        return;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{work_ms_});
    exchange.set_header("Server-Stamp", name_ + "." + id);
    if (fault == backend_fault::lost_answer)
    {
        exchange.abort();
        return;
    }
    if (fault == backend_fault::not_found)
    {
        exchange.reply(404, "none", "text/plain");
        return;
    }
    if (fault == backend_fault::unproven_refusal)
    {
        exchange.reply(503, "unavailable", "text/plain");
        return;
    }
    if (engine_ && fault != backend_fault::server_error)
    {
        stream(exchange, id, fault);
        return;
    }
    exchange.reply(fault == backend_fault::server_error ? 500 : 200,
                   "body of " + id + std::string(padding_, '.'), "text/plain");
}

bool backend_standin::crashes_on(http_exchange const& exchange) const
{
    return !crash_part_.empty() &&
           (exchange.header("Prompt-Prefix").find(crash_part_ + ":") != std::string::npos ||
            exchange.path().find("/" + crash_part_) != std::string::npos ||
            exchange.body().rfind(crash_part_, 0) == 0);
}

void backend_standin::stream(http_exchange& exchange, std::string const& id, backend_fault fault)
{
    std::string const after = exchange.header("Last-Event-Id");
    unsigned const first = after.empty() ? 1 : static_cast<unsigned>(std::stoul(after)) + 1;
    bool const open_end = fault == backend_fault::empty_stream || fault == backend_fault::broken_stream ||
                          fault == backend_fault::open_stream;
    exchange.begin_stream(!open_end);
    if (open_end && fault != backend_fault::open_stream)
    {
        (void)exchange.send_piece(fault == backend_fault::broken_stream ? "id: 1\nda" : "");
        exchange.abort();
        return;
    }
    for (unsigned event = first; event <= event_count_; ++event)
    {
        std::string const text = "id: " + std::to_string(event) + "\ndata: " + id + "\n\n";
        bool const breaks = fault == backend_fault::breaks_stream && event == first + 2;
        if (!exchange.send_piece(breaks ? text.substr(0, 6) : text))
        {
            ++cancelled_;
            return;
        }
        if (breaks)
        {
            exchange.abort();
            return;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{work_ms_});
        pause_after(event, exchange);
        if (exchange.peer_closed())
        {
            ++cancelled_;
            return;
        }
    }
}

void backend_standin::set_pause_bytes(std::string bytes)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    pause_bytes_ = std::move(bytes);
}

void backend_standin::pause_after(unsigned event, http_exchange& exchange)
{
    if (event != pause_after_event_)
    {
        return;
    }
    std::unique_lock<std::mutex> lock(mutex_);
    std::string const bytes = pause_bytes_;
    lock.unlock();
    auto next_bytes = std::chrono::steady_clock::now() + pause_bytes_interval;
    auto const until = std::chrono::steady_clock::now() + std::chrono::milliseconds{pause_ms_};
    ++pausing_;
    while (std::chrono::steady_clock::now() < until && !exchange.peer_closed())
    {
        std::this_thread::sleep_for(pause_check_interval);
        if (!bytes.empty() && std::chrono::steady_clock::now() >= next_bytes)
        {
            next_bytes += pause_bytes_interval;
            (void)exchange.send_piece(bytes);
        }
    }
    --pausing_;
}

void backend_standin::receive_order(http_exchange& exchange)
{
    json const order = json::parse(exchange.body());
    std::unique_lock<std::mutex> lock(mutex_);
    orders_.push_back({std::chrono::steady_clock::now(), order["holder"].get<std::string>(),
                       order["fence"].get<std::uint64_t>()});
    bool const misdirected = exchange.header("Expect-Instance") != entry_name_;
    if (misdirected || order.value("expect", sequence_) != sequence_)
    {
        lock.unlock();
        exchange.reply(misdirected ? 421 : 409, "{}");
        return;
    }
    ++sequence_;
    std::string const model = order["model"].get<std::string>();
    if (order["op"] == "load")
    {
        models_.insert(model);
        exceeded_memory_ = exceeded_memory_ || models_.size() > max_models;
    }
    else
    {
        models_.erase(model);
    }
    lock.unlock();
    write_entry();
    exchange.reply(202, "{}");
}

void backend_standin::report(http_exchange& exchange)
{
    std::unique_lock<std::mutex> lock(mutex_);
    json const body{{"models", model_list()}, {"busy", false}, {"seq", sequence_}};
    lock.unlock();
    exchange.reply(200, body.dump());
}

json example_config(std::uint64_t version)
{
    auto const route = [](char const* prefix, char const* kind, char const* service, bool resumable)
    {
        return json{{"name", prefix},         {"host", "h"},        {"path_prefix", prefix},
                    {"route_kind", kind},     {"service", service}, {"timeout_ms", 4000},
                    {"goal_ms", 200},         {"priority", 0},      {"attempts", 2},
                    {"resumable", resumable}, {"gap_aim_ms", 250}};
    };
    json models = json::array();
    for (int i = 0; i < 6; ++i)
    {
        models.push_back({{"name", "m" + std::to_string(i)},
                          {"weights_mb", 1000},
                          {"load_s", 0.3},
                          {"disk_s", 0.1},
                          {"warm_s", 0.05},
                          {"adapters", 0},
                          {"adapter_mb", 0}});
    }
    return {
        {"version", version},
        {"routes",
         {route("/once/", "non_idempotent", "plain", false), route("/again/", "idempotent", "plain", false),
          route("/stream/", "streaming", "llm", true), route("/stream-once/", "streaming", "llm", false)}},
        {"services",
         {{{"name", "plain"}, {"max_conns", 100}},
          {{"name", "llm"},
           {"max_conns", 100},
           {"engine",
            {{"slots", 8},
             {"weights_mb", 2500},
             {"adapter_slots", 2},
             {"loads_per_s", 50},
             {"models", models}}}}}},
        {"limits",
         {{"max_header_bytes", 16384},
          {"max_body_bytes", 100000},
          {"header_timeout_ms", 1000},
          {"idle_timeout_ms", 3000}}}};
}

} // namespace siskinusher::standins
