#include "domain/serving_config.hpp"

#include <algorithm>
#include <tuple>

namespace siskinusher
{

bool operator==(route_target const& a, route_target const& b)
{
    return std::tie(a.service, a.weight) == std::tie(b.service, b.weight);
}

bool operator==(route_rule const& a, route_rule const& b)
{
    auto const fields = [](route_rule const& r)
    {
        return std::tie(r.name, r.host, r.path_prefix, r.targets, r.streaming, r.repeat, r.max_backends,
                        r.time_limit, r.latency_objective, r.priority, r.max_event_gap, r.is_public);
    };
    return fields(a) == fields(b);
}

bool operator==(model_profile const& a, model_profile const& b)
{
    auto const fields = [](model_profile const& m)
    {
        return std::tie(m.name, m.weights_mb, m.load_from_memory, m.load_from_disk, m.load_from_store,
                        m.adapters, m.adapter_mb);
    };
    return fields(a) == fields(b);
}

bool operator==(engine_profile const& a, engine_profile const& b)
{
    auto const fields = [](engine_profile const& e)
    { return std::tie(e.places, e.memory_mb, e.adapter_places, e.store_loads_per_s, e.disk_mb, e.models); };
    return fields(a) == fields(b);
}

bool operator==(service_profile const& a, service_profile const& b)
{
    return std::tie(a.name, a.max_connections, a.engine) == std::tie(b.name, b.max_connections, b.engine);
}

bool operator==(caller_limits const& a, caller_limits const& b)
{
    return std::tie(a.head_bytes, a.body_bytes, a.head_timeout, a.idle_timeout) ==
           std::tie(b.head_bytes, b.body_bytes, b.head_timeout, b.idle_timeout);
}

bool operator==(serving_config const& a, serving_config const& b)
{
    return std::tie(a.version, a.routes, a.services, a.limits, a.organisations) ==
           std::tie(b.version, b.routes, b.services, b.limits, b.organisations);
}

organisation const* find_organisation(serving_config const& config, std::string const& name)
{
    if (!config.organisations)
    {
        return nullptr;
    }
    auto const found = std::find_if(config.organisations->begin(), config.organisations->end(),
                                    [&name](organisation const& each) { return each.name == name; });
    return found == config.organisations->end() ? nullptr : &*found;
}

service_profile const* find_service(serving_config const& config, std::string const& name)
{
    auto const found = std::find_if(config.services.begin(), config.services.end(),
                                    [&name](service_profile const& each) { return each.name == name; });
    return found == config.services.end() ? nullptr : &*found;
}

model_profile const* find_model(engine_profile const& engine, std::string const& name)
{
    auto const found = std::find_if(engine.models.begin(), engine.models.end(),
                                    [&name](model_profile const& each) { return each.name == name; });
    return found == engine.models.end() ? nullptr : &*found;
}

} // namespace siskinusher
