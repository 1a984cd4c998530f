#include "decision/fleet_load.hpp"

#include <criterion/criterion.h>

using namespace siskinusher;

namespace
{

demand_report report(std::string const& instance, std::vector<engine_requests> running)
{
    demand_report made;
    made.instance = instance;
    made.running = std::move(running);
    return made;
}

steady_time at(std::int64_t ms)
{
    return steady_time(milliseconds{ms});
}

} // namespace

// Guards against counting an instance twice, and against counting one for ever after it has ended.
Test(fleet_load, sums_the_recent_reports_of_instances)
{
    fleet_load load;
    load.on_report(at(0), report("i1", {{"e1", 3}, {"e2", 1}}));
    load.on_report(at(100), report("i2", {{"e1", 4}}));
    load.on_report(at(500), report("i1", {{"e1", 2}}));
    auto const both = load.totals(at(600));
    cr_assert_eq(both.size(), 1);
    cr_assert(both[0] == (engine_requests{"e1", 6}));
    cr_assert_eq(load.totals(at(2300))[0].running, 2, "i2 has been silent for more than two seconds");
    cr_assert(load.totals(at(9000)).empty());
}
