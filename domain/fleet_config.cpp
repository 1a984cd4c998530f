#include "domain/fleet_config.hpp"

#include <tuple>

namespace siskinusher
{

namespace
{

auto fields(model_config const& v)
{
    return std::tie(v.name, v.checkpoint, v.bytes, v.max_replicas, v.min_replicas, v.load_time_ms,
                    v.engine_pools);
}
auto fields(adapter_config const& v)
{
    return std::tie(v.name, v.base_model, v.bytes);
}
auto fields(service_config const& v)
{
    return std::tie(v.name, v.pool, v.depends_on, v.repeatable_paths);
}
auto fields(rank_policy const& v)
{
    return std::tie(v.floor, v.ceiling);
}
auto fields(weight_store_config const& v)
{
    return std::tie(v.loads_per_second, v.full_speed_loads);
}
auto fields(fleet_config const& v)
{
    return std::tie(v.generation, v.data_centres, v.region_of, v.models, v.adapters, v.services, v.ranks,
                    v.weight_store, v.draining);
}

} // namespace

bool operator==(model_config const& a, model_config const& b)
{
    return fields(a) == fields(b);
}
bool operator==(adapter_config const& a, adapter_config const& b)
{
    return fields(a) == fields(b);
}
bool operator==(service_config const& a, service_config const& b)
{
    return fields(a) == fields(b);
}
bool operator==(rank_policy const& a, rank_policy const& b)
{
    return fields(a) == fields(b);
}
bool operator==(weight_store_config const& a, weight_store_config const& b)
{
    return fields(a) == fields(b);
}
bool operator==(fleet_config const& a, fleet_config const& b)
{
    return fields(a) == fields(b);
}

} // namespace siskinusher
