#pragma once

#include "core/steady_time.hpp"
#include "domain/placement_exchange.hpp"

#include <map>
#include <string>
#include <vector>

namespace siskinusher
{

/// Sums on the lease holder what all instances run at each engine.
///
/// It answers many instances that each send few requests: one of them alone knows nothing of an engine's
/// load, so that all in a data centre would choose the same nearest engine while others are idle.
class fleet_load
{
public:
    void on_report(steady_time now, demand_report const& report);
    /// Of the instances that reported lately; engines without requests are left out.
    std::vector<engine_requests> totals(steady_time now) const;

private:
    struct instance_rows
    {
        steady_time at;
        std::vector<engine_requests> rows;
    };
    std::map<std::string, instance_rows> instances_;
};

} // namespace siskinusher
