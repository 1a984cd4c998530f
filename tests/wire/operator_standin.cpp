#include "tests/wire/operator_standin.hpp"

#include "tests/wire/backend_standin.hpp"

#include <algorithm>
#include <iterator>

namespace siskinusher::standins
{

namespace
{

using clock = std::chrono::steady_clock;
using nlohmann::json;

constexpr std::size_t base_routes = 5;
constexpr std::size_t max_routes = base_routes + 4;
constexpr unsigned recent_additions = 4;
// Tokens a second of each organisation, 0 for no limit. The callers of the soak ask for more than the limits.
constexpr unsigned full_rates[] = {0, 300, 900, 1800};
constexpr unsigned lowered_part = 3;

// A copy of the idempotent plain route of the example.
json plain_route(json const& config, std::string const& prefix)
{
    json route = config["routes"][1];
    route["name"] = prefix;
    route["path_prefix"] = prefix;
    route["service"] = "plain";
    return route;
}

json organisation_entry(std::size_t number)
{
    std::string const text = std::to_string(number);
    json entry{{"name", "org" + text}, {"api_keys", {"key-" + text + "-0", "key-" + text + "-1"}}};
    if (full_rates[number] > 0)
    {
        entry["unit"] = "token";
        entry["plain_tokens"] = 100;
        entry["rate_per_s"] = full_rates[number];
        entry["burst"] = full_rates[number] / 2;
    }
    return entry;
}

std::string name_of_added(std::uint64_t number)
{
    return "/added-" + std::to_string(number) + "/";
}

bool config_holds(json const& config, std::string const& key)
{
    for (json const& organisation : config["tenants"])
    {
        for (json const& each : organisation["api_keys"])
        {
            if (each == key)
            {
                return true;
            }
        }
    }
    return false;
}

} // namespace

operator_standin::operator_standin(store_standin& store, std::uint64_t seed, bool organisations)
    : store_(store), random_(seed), organisation_random_(seed)
{
    json first = example_config(1);
    first["routes"].push_back(plain_route(first, "/moved/"));
    first["services"].push_back({{"name", "other"}, {"max_conns", 100}});
    if (organisations)
    {
        first["routes"][base_routes - 1]["public"] = true;
        for (std::size_t i = 0; i < std::size(full_rates); ++i)
        {
            first["tenants"].push_back(organisation_entry(i));
            for (json const& key : first["tenants"][i]["api_keys"])
            {
                organisation_of_key_[key] = first["tenants"][i]["name"];
            }
        }
    }
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

void operator_standin::write_next_organisations()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    json config = entries_.back().config;
    auto const number = 1 + organisation_random_.below(std::size(full_rates) - 1);
    json& organisation = config["tenants"][number];
    if (organisation_random_.below(4) == 0)
    {
        unsigned const full = full_rates[number];
        unsigned const rate = organisation["rate_per_s"] == full ? full / lowered_part : full;
        organisation["rate_per_s"] = rate;
        organisation["burst"] = rate / 2;
    }
    else
    {
        json& key = organisation["api_keys"][organisation_random_.below(2)];
        removed_keys_.push_back(key);
        key = "key-" + std::to_string(number) + "-" + std::to_string(1 + removed_keys_.size());
        organisation_of_key_[key] = organisation["name"];
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
            return route.value(field, json());
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

std::string operator_standin::some_key(std::uint64_t random) const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const kind = random % 16;
    auto const choice = random / 16;
    if (kind < 2)
    {
        return kind == 0 ? "" : "key-unknown";
    }
    if (kind < 5 && !removed_keys_.empty())
    {
        auto const recent = std::min<std::size_t>(3, removed_keys_.size());
        return removed_keys_[removed_keys_.size() - 1 - choice % recent];
    }
    json const& organisations = entries_.back().config["tenants"];
    return organisations[choice % organisations.size()]["api_keys"][choice / organisations.size() % 2];
}

std::set<std::string> operator_standin::all_keys() const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    std::set<std::string> keys{"key-unknown"};
    for (auto const& [key, organisation] : organisation_of_key_)
    {
        keys.insert(key);
    }
    return keys;
}

std::string operator_standin::organisation_of(std::string const& key) const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const found = organisation_of_key_.find(key);
    return found == organisation_of_key_.end() ? "" : found->second;
}

bool operator_standin::holds_key(std::string const& key, std::size_t version) const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return config_holds(entries_.at(version - 1).config, key);
}

bool operator_standin::is_public(std::string const& prefix) const
{
    json const value = field_of(prefix, 1, "public");
    return !value.is_null() && value.get<bool>();
}

bool operator_standin::held_within(std::string const& key, time_point from, time_point to) const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    for (std::size_t i = 0; i < entries_.size() && entries_[i].written <= to; ++i)
    {
        bool const replaced = i + 1 < entries_.size() && entries_[i + 1].acknowledged < from;
        if (!replaced && config_holds(entries_[i].config, key))
        {
            return true;
        }
    }
    return false;
}

std::optional<double> operator_standin::limit_within(std::string const& organisation,
                                                     std::chrono::duration<double> window, time_point from,
                                                     time_point to) const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    double limit = 0;
    for (std::size_t i = 0; i < entries_.size() && entries_[i].written <= to; ++i)
    {
        bool const replaced = i + 1 < entries_.size() && entries_[i + 1].acknowledged < from;
        for (json const& each : entries_[i].config["tenants"])
        {
            if (replaced || each["name"] != organisation)
            {
                continue;
            }
            if (!each.contains("rate_per_s"))
            {
                return std::nullopt;
            }
            limit = std::max(limit,
                             each["rate_per_s"].get<double>() * window.count() + each["burst"].get<double>());
        }
    }
    return limit;
}

} // namespace siskinusher::standins
