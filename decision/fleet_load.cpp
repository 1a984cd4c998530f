#include "decision/fleet_load.hpp"

#include <iterator>

namespace siskinusher
{

namespace
{

// Instances report every 500 ms. One that is silent for longer than this has ended, and so have its requests.
constexpr duration report_lifetime = seconds{2};

} // namespace

void fleet_load::on_report(steady_time now, demand_report const& report)
{
    instances_[report.instance] = {now, report.running};
    for (auto each = instances_.begin(); each != instances_.end();)
    {
        each = now - each->second.reported_at > report_lifetime ? instances_.erase(each) : std::next(each);
    }
}

std::vector<engine_requests> fleet_load::totals(steady_time now) const
{
    std::map<backend_name, unsigned> sums;
    for (auto const& [name, instance] : instances_)
    {
        if (now - instance.reported_at <= report_lifetime)
        {
            for (engine_requests const& each : instance.rows)
            {
                sums[each.engine] += each.running;
            }
        }
    }
    std::vector<engine_requests> rows;
    rows.reserve(sums.size());
    for (auto const& [engine, running] : sums)
    {
        rows.push_back({engine, running});
    }
    return rows;
}

} // namespace siskinusher
