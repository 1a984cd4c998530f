#pragma once

#include "core/steady_time.hpp"
#include "domain/placement_exchange.hpp"

#include <map>
#include <string>
#include <vector>

namespace siskinusher
{

/// Sums, on the lease holder, the requests that all instances run at each engine.
///
/// It is needed when many instances send few requests each: one instance alone does not see an engine's load,
/// so that all instances of a data centre would choose the same nearest engine while others are idle.
class fleet_load
{
public:
    void on_report(steady_time now, demand_report const& report);
    /// Sums of the instances that reported within the last two seconds; engines without requests are left
    /// out.
    std::vector<engine_requests> totals(steady_time now) const;

private:
    struct instance_rows
    {
        steady_time reported_at;
        std::vector<engine_requests> rows;
    };
    std::map<std::string, instance_rows> instances_;
};

} // namespace siskinusher
