#include "tests/standins/service_server.hpp"

#include "core/hash.hpp"

#include <nlohmann/json.hpp>

#include <random>
#include <thread>

namespace siskinusher::standins
{

using nlohmann::json;

namespace
{

/// Removes /services/<name>, so that the service answers paths with and without the prefix that callers use.
std::string own_path(std::string const& path)
{
    std::string const prefix = "/services/";
    if (path.rfind(prefix, 0) != 0)
    {
        return path;
    }
    auto const end = path.find('/', prefix.size());
    return end == std::string::npos ? "/" : path.substr(end);
}

json counts_of(std::map<std::string, std::uint64_t> const& counts)
{
    return counts.empty() ? json::object() : json(counts);
}

} // namespace

std::string stock_answer(std::string const& item)
{
    return json{{"item", item}, {"quantity", stable_hash(item) % 1000}}.dump();
}

service_server::service_server(std::string const& host, std::uint16_t port, service_settings settings)
    : settings_(std::move(settings)), boot_id_(std::random_device{}() | 1U),
      server_(
          host, port, [this](http_exchange& exchange) { handle(exchange); },
          [this](json const& faults) { control(faults); })
{
}

void service_server::handle(http_exchange& exchange)
{
    exchange.set_header("X-Boot-Id", std::to_string(boot_id_));
    if (!exchange.header("X-Request-Id").empty())
    {
        exchange.set_header("X-Request-Id", exchange.header("X-Request-Id"));
    }
    auto const path = own_path(exchange.path());
    if (path == "/service/report" || path == "/engine/report")
    {
        exchange.reply(200, report().dump());
        return;
    }
    if (path == "/audit")
    {
        exchange.reply(200, audit().dump());
        return;
    }
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        bool const late =
            leaving_ && std::chrono::steady_clock::now() > leaving_since_ + std::chrono::seconds{3};
        work_after_leaving_ += late ? 1 : 0;
        ++running_;
    }
    std::this_thread::sleep_for(settings_.work);
    call(exchange, path);
    std::lock_guard<std::mutex> const lock(mutex_);
    --running_;
}

void service_server::call(http_exchange& exchange, std::string const& path)
{
    std::string const stock = "/stock";
    if (exchange.method() == "GET" && path.rfind(stock, 0) == 0)
    {
        auto const item = exchange.query("item");
        auto const rest = path.size() > stock.size() ? path.substr(stock.size() + 1) : std::string();
        exchange.reply(200, stock_answer(item.empty() ? rest : item));
    }
    else if (exchange.method() == "POST" && (path == "/bookings" || path == "/debits" || path == "/payments"))
    {
        execute(exchange, path);
    }
    else
    {
        exchange.reply(404, json{{"error", "no such call: " + exchange.method() + " " + path}}.dump());
    }
}

void service_server::execute(http_exchange& exchange, std::string const& path)
{
    std::uint64_t number = 0;
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        number = ++executions_;
        ++by_body_[exchange.body()];
        if (!exchange.header("Idempotency-Key").empty())
        {
            ++by_key_[exchange.header("Idempotency-Key")];
        }
    }
    json const answer{
        {"kind", path.substr(1)},
        {"receipt", settings_.name + "-" + std::to_string(boot_id_) + "-" + std::to_string(number)},
        {"body_digest", stable_hash(exchange.body())}};
    exchange.reply(201, answer.dump());
}

void service_server::control(json const& faults)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    if (faults.contains("leaving"))
    {
        leaving_ = faults["leaving"].get<bool>();
        leaving_since_ = std::chrono::steady_clock::now();
        ++revision_;
    }
}

json service_server::report() const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return {{"name", settings_.name},
            {"boot_id", boot_id_},
            {"revision", revision_},
            {"leaving", leaving_},
            {"memory_bytes", 0},
            {"prefix_cache_bytes", 0},
            {"import_bytes", 0},
            {"places", settings_.places},
            {"running", running_},
            {"waiting", 0},
            {"models", json::object()},
            {"adapters", json::object()},
            {"checkpoints", json::object()},
            {"violations", {{"work_after_leaving", work_after_leaving_}}}};
}

json service_server::audit() const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return {{"executions", executions_}, {"by_key", counts_of(by_key_)}, {"by_body", counts_of(by_body_)}};
}

} // namespace siskinusher::standins
