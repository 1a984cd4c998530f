#include "decision/replica_policy.hpp"

#include <criterion/criterion.h>

using namespace siskinusher;

namespace
{

steady_time at(std::int64_t ms)
{
    return steady_time(milliseconds{ms});
}

demand_report report(std::string const& model, unsigned waiting, unsigned running, unsigned arrivals)
{
    demand_report result;
    result.instance = "i";
    result.models = {{"llm", model, "", 1, waiting, running, arrivals}};
    return result;
}

} // namespace

// Guards against a growing queue at one engine: a further replica is desired when the requests exceed half of
// the places of the engine, or 16.
Test(replica_policy, replicas_follow_requests_and_places)
{
    demand_table demand;
    demand.on_report(at(0), report("m", 0, 15, 1));
    demand.advance(at(10));
    replica_policy policy(demand);
    policy.add({"m"}, 64);
    cr_assert_eq(policy.desired("m"), 1);
    policy.clear();
    policy.add({"m"}, 12);
    cr_assert_eq(policy.desired("m"), 3);
    cr_assert_eq(policy.desired("unknown"), 0);
}

// Guards against the unload of a model that has requests for one that has none.
Test(replica_policy, models_with_requests_are_not_unloaded)
{
    demand_table demand;
    demand.on_report(at(0), report("busy", 0, 2, 4));
    demand.advance(at(10));
    replica_policy policy(demand);
    policy.add({"busy", "idle"}, 64);
    cr_assert_not(policy.may_unload("busy", false));
    cr_assert(policy.may_unload("idle", true));
    cr_assert_gt(policy.unload_cost_ms("busy"), policy.unload_cost_ms("idle"));
    policy.add({"busy"}, 64);
    policy.add({"busy"}, 64);
    cr_assert(policy.may_unload("busy", false), "three replicas are more than the demand asks for");
}
