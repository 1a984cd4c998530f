#include "decision/control_simulation.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>

using namespace siskinusher;
using siskinusher::testing::control_simulation;

namespace
{

void populate(control_simulation& world, int instances, int engines)
{
    for (int i = 1; i <= engines; ++i)
    {
        world.add_engine("e" + std::to_string(i), 100);
    }
    for (int i = 1; i <= instances; ++i)
    {
        world.add_instance("n" + std::to_string(i));
    }
}

void expect_no_violation(control_simulation const& world)
{
    cr_assert(world.violation.empty(), "%s", world.violation.c_str());
}

std::size_t orders_for(control_simulation const& world, std::string const& subject)
{
    return static_cast<std::size_t>(std::count_if(world.orders.begin(), world.orders.end(),
                                                  [&](auto const& sent)
                                                  { return sent.what.what.subject == subject; }));
}

} // namespace

// Guards against missing, repeated or unrecorded orders: the load requests of all instances for one model
// lead to exactly one recorded order.
Test(engine_controller, a_burst_of_load_requests_causes_one_recorded_load)
{
    control_simulation world{1};
    world.add_model("m", 40, 2);
    populate(world, 3, 2);
    world.run(seconds{8});
    cr_assert(!world.holder().empty());
    cr_assert_eq(world.record().confirmed.size(), 3U);
    for (int i = 0; i < 10; ++i)
    {
        for (auto const* node : {"n1", "n2", "n3"})
        {
            world.send_load_request(node, "m");
        }
        world.run(milliseconds{200});
    }
    expect_no_violation(world);
    cr_assert_eq(world.replicas("m"), 1U);
    cr_assert_eq(orders_for(world, "m"), 1U);
    cr_assert(world.orders.front().recorded);

    auto const history = world.instances.at(world.holder()).controller->decision_history("m");
    cr_assert(!history.empty());
    cr_assert(history.front().find("event=load_ordered") != std::string::npos);
}

// Guards against flooding the holder with load requests: an instance sends one at most every 200 ms for each
// model.
Test(engine_controller, an_instance_limits_its_load_requests_to_the_holder)
{
    control_simulation world{2};
    world.add_model("m", 40, 1);
    populate(world, 2, 1);
    world.run(seconds{8});
    auto& node = world.instances.at(world.holder() == "n1" ? "n2" : "n1");
    outbox out;
    for (int i = 0; i < 10; ++i)
    {
        node.controller->on_load_request(world.local_time(node), {"m", "", rank::urgent, seconds{5}, 1}, out);
        world.run(milliseconds{50});
    }
    cr_assert_geq(out.size(), 2U);
    cr_assert_leq(out.size(), 3U);
    cr_assert_eq(std::get<send_peer>(out.front()).to, world.holder());
}
