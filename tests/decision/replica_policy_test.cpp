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
    demand_report made;
    made.instance = "i";
    made.models = {{"llm", model, "", 1, waiting, running, arrivals}};
    return made;
}

} // namespace

// Guards against one engine whose queue grows: a replica is full at half of the engine's places, and at 16
// requests at most.
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

// Guards against a model with requests making room for one that nobody asks for.
Test(replica_policy, busy_models_stay)
{
    demand_table demand;
    demand.on_report(at(0), report("busy", 0, 2, 4));
    demand.advance(at(10));
    replica_policy policy(demand);
    policy.add({"busy", "idle"}, 64);
    cr_assert_not(policy.may_leave("busy", false));
    cr_assert(policy.may_leave("idle", true));
    cr_assert_gt(policy.keep_ms("busy"), policy.keep_ms("idle"));
    policy.add({"busy"}, 64);
    policy.add({"busy"}, 64);
    cr_assert(policy.may_leave("busy", false), "three replicas are more than the demand asks for");
}
