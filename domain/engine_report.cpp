#include "domain/engine_report.hpp"

#include <tuple>

namespace siskinusher
{

namespace
{

auto fields(engine_report const& v)
{
    return std::tie(v.name, v.boot_id, v.revision, v.leaving, v.memory_bytes, v.prefix_cache_bytes,
                    v.import_bytes, v.places, v.running, v.waiting, v.models, v.adapters, v.counts_use,
                    v.in_use, v.checkpoints);
}

auto fields(listed_server const& v)
{
    return std::tie(v.name, v.address, v.peer_address, v.kind, v.data_centre, v.pool, v.state,
                    v.checks_epoch);
}

} // namespace

std::uint64_t engine_report::used_bytes() const
{
    std::uint64_t total = prefix_cache_bytes + import_bytes;
    for (auto const& entry : models)
    {
        total += entry.second;
    }
    for (auto const& entry : adapters)
    {
        total += entry.second;
    }
    return total;
}

bool operator==(engine_report const& a, engine_report const& b)
{
    return fields(a) == fields(b);
}
bool operator==(listed_server const& a, listed_server const& b)
{
    return fields(a) == fields(b);
}

} // namespace siskinusher
