#include "tests/wire/operator_standin.hpp"

#include "tests/wire/backend_standin.hpp"

#include <algorithm>

namespace siskinusher::standins
{

namespace
{

using clock = std::chrono::steady_clock;
using nlohmann::json;

constexpr std::size_t base_routes = 5;
constexpr std::size_t max_routes = base_routes + 4;
constexpr unsigned recent_additions = 4;

// A copy of the idempotent plain route of the example.
json plain_route(json const& config, std::string const& prefix)
{
    json route = config["routes"][1];
    route["name"] = prefix;
    route["path_prefix"] = prefix;
    route["service"] = "plain";
    return route;
}

std::string name_of_added(std::uint64_t number)
{
    return "/added-" + std::to_string(number) + "/";
}

} // namespace

operator_standin::operator_standin(store_standin& store, std::uint64_t seed) : store_(store), random_(seed)
{
    json first = example_config(1);
    first["routes"].push_back(plain_route(first, "/moved/"));
    first["services"].push_back({{"name", "other"}, {"max_conns", 100}});
    write(first);
}

void operator_standin::write(json config)
{
    std::size_t const version = entries_.size() + 1;
    config["version"] = version;
    entries_.push_back({config, clock::now(), clock::time_point::max()});
    store_.write("config", "main", config);
    entries_.back().acknowledged = clock::now();
}

void operator_standin::write_next()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    json config = entries_.back().config;
    json& routes = config["routes"];
    auto const change = random_.below(4);
    if (change == 0)
    {
        for (json& route : routes)
        {
            route["timeout_ms"] = 2000 + 500 * random_.below(5);
        }
    }
    else if (change == 1)
    {
        routes[base_routes - 1]["service"] =
            routes[base_routes - 1]["service"] == "plain" ? "other" : "plain";
    }
    else if ((change == 2 || routes.size() == base_routes) && routes.size() < max_routes)
    {
        routes.push_back(plain_route(config, name_of_added(++last_added_)));
    }
    else
    {
        routes.erase(base_routes);
    }
    write(std::move(config));
}

void operator_standin::write_again()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    store_.write("config", "main", entries_.back().config);
}

std::string operator_standin::added_prefix(std::uint64_t random) const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const back = random % recent_additions;
    return name_of_added(last_added_ > back ? last_added_ - back : 1);
}

std::size_t operator_standin::acknowledged_by(std::chrono::steady_clock::time_point when) const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return static_cast<std::size_t>(std::count_if(
        entries_.begin(), entries_.end(), [when](entry const& each) { return each.acknowledged <= when; }));
}

std::size_t operator_standin::written_by(std::chrono::steady_clock::time_point when) const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return static_cast<std::size_t>(std::count_if(
        entries_.begin(), entries_.end(), [when](entry const& each) { return each.written <= when; }));
}

json operator_standin::field_of(std::string const& prefix, std::size_t version, char const* field) const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    for (json const& route : entries_.at(version - 1).config["routes"])
    {
        if (route["path_prefix"] == prefix)
        {
            return route[field];
        }
    }
    return {};
}

std::string operator_standin::service_of(std::string const& prefix, std::size_t version) const
{
    json const service = field_of(prefix, version, "service");
    return service.is_null() ? "" : service.get<std::string>();
}

std::chrono::milliseconds operator_standin::time_limit_of(std::string const& prefix,
                                                          std::size_t version) const
{
    json const limit = field_of(prefix, version, "timeout_ms");
    return std::chrono::milliseconds{limit.is_null() ? 0 : limit.get<std::int64_t>()};
}

} // namespace siskinusher::standins
