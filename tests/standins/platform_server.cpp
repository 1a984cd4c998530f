#include "tests/standins/platform_server.hpp"

#include <algorithm>
#include <optional>

namespace siskinusher::standins
{

using nlohmann::json;

namespace
{

constexpr std::size_t max_value_bytes = 1024UL * 1024; // 1 MiB, the object store's limit for one value.
constexpr int max_watch_ms = 60000;

std::uint64_t parse_number(std::string const& text)
{
    auto const digits = text.find_first_of("0123456789");
    return digits == std::string::npos ? 0 : std::stoull(text.substr(digits, 19));
}

void set_version(http_exchange& exchange, std::uint64_t version)
{
    exchange.set_header("ETag", "\"" + std::to_string(version) + "\"");
}

/// The version that a conditional call expects, 0 for If-None-Match; empty without a condition.
std::optional<std::uint64_t> expected_version(http_exchange const& exchange)
{
    if (exchange.header("If-None-Match") == "*")
    {
        return 0;
    }
    auto const match = exchange.header("If-Match");
    return match.empty() ? std::nullopt : std::make_optional(parse_number(match));
}

} // namespace

platform_server::platform_server(std::string const& host, std::uint16_t port,
                                 std::chrono::milliseconds list_lag, weight_store_settings weights)
    : directory_(list_lag), weights_(weights),
      server_(
          host, port, [this](http_exchange& exchange) { handle(exchange); },
          [this](json const& call) { control(call); })
{
}

void platform_server::handle(http_exchange& exchange)
{
    std::string const objects = "/objects";
    auto const& path = exchange.path();
    auto const& method = exchange.method();
    if (path == objects || path == objects + "/")
    {
        list_objects(exchange);
    }
    else if (path.rfind(objects + "/", 0) == 0 && method == "GET")
    {
        read_object(exchange, path.substr(objects.size() + 1));
    }
    else if (path.rfind(objects + "/", 0) == 0 && method == "PUT")
    {
        write_object(exchange, path.substr(objects.size() + 1));
    }
    else if (path.rfind(objects + "/", 0) == 0 && method == "DELETE")
    {
        remove_object(exchange, path.substr(objects.size() + 1));
    }
    else if (path == "/instances" && method == "GET")
    {
        count("instances");
        exchange.reply(200, json{{"instances", directory_.rows()}}.dump());
    }
    else if (path.rfind("/weights/loads", 0) == 0)
    {
        weights(exchange);
    }
    else if (path == "/counts")
    {
        counts(exchange);
    }
    else
    {
        exchange.reply(404, json{{"error", "no such path: " + path}}.dump());
    }
}

void platform_server::control(json const& call)
{
    if (call.contains("register"))
    {
        directory_.put(call["register"]);
    }
    if (call.contains("unregister"))
    {
        directory_.remove(call["unregister"].get<std::string>());
    }
    if (call.contains("leaving"))
    {
        directory_.set_state(call["leaving"].get<std::string>(), "leaving");
    }
    if (call.contains("stale_list"))
    {
        directory_.freeze(std::chrono::milliseconds{call["stale_list"].get<int>()});
    }
    if (call.contains("slow_store"))
    {
        weights_.set_slowdown_factor(call["slow_store"].get<double>());
    }
}

void platform_server::read_object(http_exchange& exchange, std::string const& key)
{
    auto const watch = exchange.query("watch");
    count(watch.empty() ? "get" : "watch");
    if (!watch.empty())
    {
        auto const asked = std::min<std::uint64_t>(parse_number(exchange.query("timeout_ms")), max_watch_ms);
        if (!objects_.wait_for_change(key, parse_number(watch), std::chrono::milliseconds{asked},
                                      [&exchange] { return exchange.peer_closed(); }))
        {
            exchange.reply(304, "");
            return;
        }
    }
    auto const found = objects_.get(key);
    if (!found)
    {
        exchange.reply(404, "");
        return;
    }
    set_version(exchange, found->version);
    exchange.reply(200, found->value, "application/octet-stream");
}

void platform_server::write_object(http_exchange& exchange, std::string const& key)
{
    count("put");
    auto const expected = expected_version(exchange);
    if (!expected)
    {
        exchange.reply(428, json{{"error", "If-Match or If-None-Match is required"}}.dump());
        return;
    }
    if (exchange.body().size() > max_value_bytes)
    {
        exchange.reply(413, json{{"error", "values hold at most 1 MB"}}.dump());
        return;
    }
    auto const version = objects_.put(key, *expected, exchange.body());
    if (!version)
    {
        count("conflict");
        exchange.reply(412, "");
        return;
    }
    set_version(exchange, *version);
    exchange.reply(200, "");
}

void platform_server::remove_object(http_exchange& exchange, std::string const& key)
{
    count("delete");
    auto const expected = expected_version(exchange);
    exchange.reply(expected && objects_.remove(key, *expected) ? 200 : 412, "");
}

void platform_server::list_objects(http_exchange& exchange)
{
    count("list");
    auto rows = json::array();
    for (auto const& object : objects_.list(exchange.query("prefix")))
    {
        rows.push_back({{"key", object.first}, {"version", object.second}});
    }
    exchange.reply(200, json{{"objects", rows}}.dump());
}

void platform_server::weights(http_exchange& exchange)
{
    if (exchange.method() == "DELETE")
    {
        weights_.end(parse_number(exchange.path()));
        exchange.reply(200, "{}");
        return;
    }
    auto const ask = json::parse(exchange.body());
    count("weights_" + ask.value("kind", std::string("model")));
    auto const grant = weights_.begin(ask.value("kind", "model") == std::string("model"));
    exchange.reply(
        200,
        json{{"id", std::to_string(grant.id)}, {"wait_ms", grant.wait.count()}, {"slowdown", grant.slowdown}}
            .dump());
}

void platform_server::counts(http_exchange& exchange)
{
    json result;
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        result["calls"] = counts_.empty() ? json::object() : json(counts_);
    }
    result["most_model_loads_at_once"] = weights_.peak_model_loads();
    result["model_loads"] = weights_.model_loads_started();
    exchange.reply(200, result.dump());
}

void platform_server::count(std::string const& call)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    ++counts_[call];
}

} // namespace siskinusher::standins
