#include "domain/placement_exchange.hpp"

#include <tuple>

namespace siskinusher
{

bool operator==(model_demand const& a, model_demand const& b)
{
    auto const fields = [](model_demand const& d)
    { return std::tie(d.service, d.model, d.adapter, d.priority, d.waiting, d.running, d.arrivals); };
    return fields(a) == fields(b);
}

bool operator==(engine_requests const& a, engine_requests const& b)
{
    return std::tie(a.engine, a.running) == std::tie(b.engine, b.running);
}

bool operator==(demand_report const& a, demand_report const& b)
{
    return std::tie(a.instance, a.peer_address, a.data_centre, a.cut_off, a.models, a.unreachable, a.running,
                    a.sent_early, a.servers_position, a.crash_marks_digest, a.new_crash_marks, a.limits,
                    a.config, a.streams) == std::tie(b.instance, b.peer_address, b.data_centre, b.cut_off,
                                                     b.models, b.unreachable, b.running, b.sent_early,
                                                     b.servers_position, b.crash_marks_digest,
                                                     b.new_crash_marks, b.limits, b.config, b.streams);
}

bool operator==(recent_placement const& a, recent_placement const& b)
{
    return std::tie(a.engine, a.model, a.adapter, a.leaving) ==
           std::tie(b.engine, b.model, b.adapter, b.leaving);
}

bool operator==(placement_update const& a, placement_update const& b)
{
    return std::tie(a.placements, a.instances, a.running, a.grants) ==
           std::tie(b.placements, b.instances, b.running, b.grants);
}

bool operator==(holder_reply const& a, holder_reply const& b)
{
    return std::tie(a.placement, a.servers, a.config, a.store_state_age, a.crash_marks, a.versions,
                    a.relays) ==
           std::tie(b.placement, b.servers, b.config, b.store_state_age, b.crash_marks, b.versions, b.relays);
}

} // namespace siskinusher
