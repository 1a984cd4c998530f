#include "adapters/edge_settings.hpp"

#include "adapters/yaml_tree.hpp"

#include <cmath>
#include <optional>
#include <tuple>
#include <utility>

namespace siskinusher
{

namespace
{

constexpr double microseconds_per_ms = 1000.0;
constexpr double microseconds_per_s = 1000000.0;

// The time that something may take at most. It is rounded down, so that the limit is never exceeded.
duration time_limit(yaml_map& map, char const* name, double low, double high, double unit)
{
    return duration{static_cast<std::int64_t>(std::floor(map.number(name, low, high) * unit))};
}

// The time that must pass at least. It is rounded up.
duration waiting_time(yaml_map& map, char const* name, double low, double high, double unit)
{
    return duration{static_cast<std::int64_t>(std::ceil(map.number(name, low, high) * unit))};
}

// A number of things that are allowed: what is left over after the whole ones allows none.
std::uint64_t allowed_count(yaml_map& map, char const* name, double low, double high,
                            std::optional<double> by_default = {})
{
    return static_cast<std::uint64_t>(std::floor(map.number(name, low, high, by_default)));
}

yaml_map section(yaml_map& parent, std::string const& name, std::string const& accepted)
{
    return {parent.require(name, accepted), name, parent.errors()};
}

void read_data_centres(yaml_map& root, edge_settings& settings, read_error_list& errors)
{
    root.require("data_centres", "a list of maps of name and region");
    std::size_t index = 0;
    for (auto const* const item : root.list("data_centres"))
    {
        yaml_map map(item, "data_centres[" + std::to_string(index++) + "]", errors);
        std::string const name = map.name("name");
        settings.region_of[name] = map.name("region");
        map.finish();
    }
}

// The section may be absent: only deployments with organisations have these bounds.
void read_organisations(yaml_map& root, edge_settings& settings, read_error_list& errors)
{
    yaml_map map(root.find("organisations"), "organisations", errors);
    std::string const closed = map.one_of("revoke_fail_closed", {"true", "false"}, "false");
    if (closed == "true")
    {
        settings.revocation_time = time_limit(map, "revoke_ms", 100.0, 3600000.0, microseconds_per_ms);
    }
    else
    {
        (void)map.number("revoke_ms", 100.0, 3600000.0, 100.0);
    }
    settings.quotas.window = duration{static_cast<std::int64_t>(
        std::floor(map.number("quota_window_s", 0.1, 3600.0, 1.0) * microseconds_per_s))};
    settings.quotas.excess = map.number("quota_excess", 0.0, 10.0, 0.0);
    settings.quotas.slack = map.number("quota_slack", 0.0, 1e12, 0.0);
    map.finish();
}

edge_settings read_all(yaml_node const& node, read_error_list& errors)
{
    edge_settings settings;
    yaml_map root(&node, "", errors);

    yaml_map instance = section(root, "instance", "a map of name, data_centre and region");
    settings.name = instance.name("name");
    settings.data_centre = instance.name("data_centre");
    settings.region = instance.name("region");
    instance.finish();
    read_data_centres(root, settings, errors);

    yaml_map listen = section(root, "listen", "a map of callers, readiness and peers");
    settings.caller_address = listen.address("callers");
    settings.readiness_address = listen.address("readiness");
    settings.peer_address = listen.address("peers");
    listen.finish();

    yaml_map platform = section(root, "platform", "a map of object_store, leaving_ms and change_ms");
    settings.store_address = platform.address("object_store");
    settings.leaving_time = time_limit(platform, "leaving_ms", 100.0, 600000.0, microseconds_per_ms);
    settings.change_time = time_limit(platform, "change_ms", 100.0, 600000.0, microseconds_per_ms);
    platform.finish();

    yaml_map retries = section(root, "retries", "a map of ratio, window_s and slack");
    settings.retry_ratio = retries.number("ratio", 0.0, 10.0);
    settings.retry_window = waiting_time(retries, "window_s", 1.0, 3600.0, microseconds_per_s);
    settings.spare_retries = static_cast<unsigned>(allowed_count(retries, "slack", 0.0, 1000000.0));
    retries.finish();

    yaml_map orders = section(root, "orders", "a map of holder_gap_ms and load_window_s");
    settings.holder_gap = waiting_time(orders, "holder_gap_ms", 0.0, 600000.0, microseconds_per_ms);
    settings.load_window_s = orders.number("load_window_s", 0.1, 3600.0);
    orders.finish();

    yaml_map limits = section(root, "limits", "a map of stop_s, descriptors, cpu_share and memory_mb");
    settings.stop_time = time_limit(limits, "stop_s", 1.0, 3600.0, microseconds_per_s);
    settings.descriptors = allowed_count(limits, "descriptors", 64.0, 10000000.0);
    settings.cpu_share = limits.number("cpu_share", 0.001, 1024.0, 1.0);
    settings.memory_mb =
        allowed_count(limits, "memory_mb", 32.0, 10000000.0, static_cast<double>(settings.memory_mb));
    limits.finish();

    read_organisations(root, settings, errors);

    yaml_map servers(root.find("servers"), "servers", errors);
    settings.slow_start = servers.one_of("slow_start", {"true", "false"}, "false") == "true";
    servers.finish();

    yaml_map log(root.find("log"), "log", errors);
    settings.log_level = log.one_of("level", {"debug", "info", "warning", "error"}, "info");
    log.finish();

    root.finish();
    return settings;
}

} // namespace

bool operator==(edge_settings const& a, edge_settings const& b)
{
    auto const fields = [](edge_settings const& s)
    {
        return std::tie(s.name, s.data_centre, s.region, s.region_of, s.caller_address, s.readiness_address,
                        s.peer_address, s.store_address, s.leaving_time, s.change_time, s.retry_ratio,
                        s.retry_window, s.spare_retries, s.holder_gap, s.load_window_s, s.stop_time,
                        s.descriptors, s.cpu_share, s.memory_mb, s.log_level, s.revocation_time, s.quotas,
                        s.slow_start);
    };
    return fields(a) == fields(b);
}

read_result<edge_settings> read_edge_settings(std::string const& text, std::string const& file)
{
    auto const parsed = parse_yaml(text, file);
    if (!parsed)
    {
        return parsed.error();
    }
    read_error_list errors(file);
    edge_settings settings = read_all(*parsed.value(), errors);
    if (!errors.empty())
    {
        return errors.take();
    }
    return settings;
}

} // namespace siskinusher
