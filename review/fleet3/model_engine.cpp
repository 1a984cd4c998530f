#include "model_engine.hpp"

#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <utility>

namespace review
{

namespace
{

using nlohmann::json;

constexpr double heartbeat_s = 1.2;
constexpr unsigned events_of_stream = 40;
constexpr useconds_t event_us = 100000;
constexpr char const* json_line = "Content-Type: application/json\r\n";

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string chunk(std::string const& text)
{
    std::array<char, 16> size{};
    (void)std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    return size.data() + text + "\r\n";
}

} // namespace

double seconds_now()
{
    static auto const start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

model_engine::model_engine(metadata_store& store, std::string id, std::set<std::string> models,
                           std::set<std::string> on_disk)
    : store_(store), id_(std::move(id)), on_disk_(std::move(on_disk)), models_(std::move(models)),
      born_(unix_ms()),
      server_([this](http_request const& request, http_channel& channel) { serve(request, channel); })
{
    write_entry();
    worker_ = std::thread([this] { work(); });
}

model_engine::~model_engine()
{
    ending_ = true;
    ++life_;
    worker_.join();
}

void model_engine::delay_load(std::string const& model, double seconds)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    delayed_model_ = model;
    delay_ = seconds;
}

void model_engine::crash()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    go_down();
}

// Called with the mutex held.
void model_engine::go_down()
{
    is_up_ = false;
    ++life_;
    models_.clear();
    loading_.clear();
    unloading_.clear();
    running_.clear();
    sequence_ = 0;
    server_.go_down();
}

void model_engine::start_again()
{
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        is_up_ = true;
        born_ = unix_ms();
    }
    server_.come_back();
    write_entry();
}

std::vector<engine_order> model_engine::orders()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return orders_;
}

std::set<std::string> model_engine::models()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    std::set<std::string> all = models_;
    if (!loading_.empty())
    {
        all.insert(loading_);
    }
    return all;
}

std::uint64_t model_engine::sequence()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return sequence_;
}

unsigned model_engine::overfilled()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return overfilled_;
}

unsigned model_engine::streams_cut()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return streams_cut_;
}

std::map<std::string, unsigned> model_engine::runs()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return runs_;
}

void model_engine::serve(http_request const& request, http_channel& channel)
{
    std::string const expected = request.header("expect-instance");
    if (!expected.empty() && expected != id_)
    {
        channel.answer(421, "Instance-Id: " + id_ + "\r\n", "");
    }
    else if (request.target == "/api/order")
    {
        serve_order(request, channel);
    }
    else if (request.target == "/api/report")
    {
        serve_report(channel);
    }
    else
    {
        serve_stream(request, channel);
    }
}

void model_engine::serve_order(http_request const& request, http_channel& channel)
{
    json const body = json::parse(request.body, nullptr, false);
    engine_order order;
    order.at = seconds_now();
    order.op = body.value("op", "");
    order.model = body.value("model", "");
    order.expected = body.value("expect", std::uint64_t{0});
    order.fence = body.value("fence", std::uint64_t{0});
    order.holder = body.value("holder", "");
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        if (order.op == "load" && order.model == delayed_model_)
        {
            delayed_model_.clear();
            order.delayed = true;
            late_.emplace_back(order.at + delay_, order);
            orders_.push_back(order);
            channel.drop();
            return;
        }
        order.status = carry_out(order);
        orders_.push_back(order);
    }
    if (order.status == 0)
    {
        channel.drop();
        return;
    }
    channel.answer(order.status, json_line, "{}");
}

// Called with the mutex held. Returns the status of the answer; zero when the order ends the engine.
int model_engine::carry_out(engine_order const& order)
{
    bool const holds = models_.count(order.model) > 0;
    bool const load = order.op == "load";
    if (order.expected != sequence_ || !loading_.empty() || !unloading_.empty())
    {
        return 409;
    }
    if (load == holds)
    {
        return 200;
    }
    ++sequence_;
    if (!load)
    {
        unloading_ = order.model;
        return 202;
    }
    if (static_cast<double>(models_.size() + 1) * model_mb > weights_mb)
    {
        ++overfilled_;
        for (auto const& [model, streams] : running_)
        {
            streams_cut_ += streams;
        }
        overfill_pending_ = true; // The worker ends the engine.
        return 0;
    }
    loading_ = order.model;
    busy_until_ = seconds_now() + (on_disk_.count(order.model) > 0 ? disk_s : load_s);
    return 202;
}

void model_engine::serve_report(http_channel& channel)
{
    json report;
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        json models = json::array();
        for (std::string const& each : models_)
        {
            models.push_back({{"name", each}, {"version", 1}, {"adapters", json::array()}});
        }
        unsigned running = 0;
        for (auto const& [model, streams] : running_)
        {
            running += streams;
        }
        report = {
            {"stage", "colocated"}, {"models", models},   {"busy", !loading_.empty() || !unloading_.empty()},
            {"seq", sequence_},     {"queued", 0},        {"running", running},
            {"kv_used", 0},         {"kv_total", 152324}, {"handles", 0},
            {"born", born_}};
    }
    channel.answer(200, json_line, report.dump());
}

void model_engine::serve_stream(http_request const& request, http_channel& channel)
{
    std::string const id = request.header("attempt-id");
    std::string const model = request.header("model");
    std::uint64_t const life = life_;
    bool holds = false;
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        holds = is_up_ && models_.count(model) > 0 && unloading_ != model;
        if (holds)
        {
            ++running_[model];
            ++runs_[id];
        }
    }
    if (!holds)
    {
        channel.answer(421, "Attempt-Id: " + id + "\r\nInstance-Id: " + id_ + "\r\n", "");
        return;
    }
    bool open = channel.write("HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Stamp: stamp-" + id +
                              "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (unsigned i = 1; open && i <= events_of_stream && life == life_; ++i)
    {
        ::usleep(event_us);
        open = !channel.is_closed() && life == life_ &&
               channel.write(chunk("id: " + std::to_string(i) + "\ndata: " + model + "\n\n"));
    }
    if (open && life == life_)
    {
        channel.write("0\r\n\r\n");
    }
    else
    {
        channel.drop();
    }
    std::lock_guard<std::mutex> const lock(mutex_);
    if (life == life_)
    {
        --running_[model];
    }
}

// Ends loads and unloads, carries out late orders and writes the entry.
void model_engine::work()
{
    double next_heartbeat = 0.0;
    while (!ending_)
    {
        bool changed = false;
        {
            std::lock_guard<std::mutex> const lock(mutex_);
            double const now = seconds_now();
            if (!loading_.empty() && now >= busy_until_)
            {
                models_.insert(loading_);
                on_disk_.insert(std::exchange(loading_, ""));
                changed = true;
            }
            if (!unloading_.empty() && running_[unloading_] == 0)
            {
                models_.erase(std::exchange(unloading_, ""));
                changed = true;
            }
            for (auto each = late_.begin(); each != late_.end();)
            {
                if (now < each->first || !is_up_)
                {
                    ++each;
                    continue;
                }
                engine_order order = each->second;
                order.at = now;
                order.carried_out = true;
                order.status = carry_out(order);
                orders_.push_back(order);
                each = late_.erase(each);
            }
            if (std::exchange(overfill_pending_, false))
            {
                go_down();
            }
        }
        if (changed || seconds_now() >= next_heartbeat)
        {
            write_entry();
            next_heartbeat = seconds_now() + heartbeat_s;
        }
        ::usleep(10000);
    }
}

void model_engine::write_entry()
{
    json entry;
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        if (!is_up_)
        {
            return;
        }
        json models = json::array();
        for (std::string const& each : models_)
        {
            models.push_back({{"name", each}, {"version", 1}, {"adapters", json::array()}});
        }
        entry = {{"service", "dresser-llm"},
                 {"address", server_.address()},
                 {"zone", "chaguanas"},
                 {"version", "v1"},
                 {"slots", 64},
                 {"state", "ready"},
                 {"cold_left_ms", 0},
                 {"stage", "colocated"},
                 {"models", models},
                 {"at_hand", {{"in_memory", json::array()}, {"on_disk", on_disk_}}},
                 {"born", born_},
                 {"seq", 0}};
    }
    store_.write("servers", id_, entry);
}

} // namespace review
