#include "decision/control_simulation.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>

using namespace siskinusher;
using siskinusher::testing::control_simulation;

namespace
{

/// One instance with two engines of 100 bytes and the models m1 to m4 of 45 bytes; two fit into an engine.
void populate(control_simulation& world)
{
    for (auto const* name : {"m1", "m2", "m3", "m4"})
    {
        world.add_model(name, 45, 1);
    }
    world.config.weight_store = {100.0, 4};
    world.add_engine("e1", 100);
    world.add_engine("e2", 100);
    world.add_instance("n1");
    world.run(seconds{8});
    cr_assert_eq(world.holder(), "n1");
}

void load(control_simulation& world, std::string const& model)
{
    world.send_load_requests_for(seconds{2}, "n1", model);
    cr_assert_eq(world.replicas(model), 1U);
}

bool holds(control_simulation const& world, std::string const& engine, std::string const& model)
{
    return world.engines.at(engine).report.models.count(model) != 0;
}

bool explanation_contains(control_simulation const& world, std::string const& model, std::string const& part)
{
    auto const lines = world.instances.at("n1").controller->decision_history(model);
    return std::any_of(lines.begin(), lines.end(),
                       [&](std::string const& line) { return line.find(part) != std::string::npos; });
}

/// Loads m1 to m4, which fill both engines, and waits until they have been loaded for longer than the minimum
/// time before an eviction.
void fill_engines(control_simulation& world)
{
    for (auto const* name : {"m1", "m2", "m3", "m4"})
    {
        load(world, name);
    }
    world.run(seconds{12});
    world.add_model("new", 45, 1);
    world.apply_config();
    world.run(seconds{3});
}

} // namespace

// Guards against long cold starts: the engine with the nearest checkpoint is chosen, free memory only decides
// between equals.
Test(placement_planner, a_load_goes_to_the_nearest_checkpoint)
{
    control_simulation world{41};
    populate(world);
    world.engines.at("e2").report.memory_bytes = 90; // Less free memory than e1.
    world.engines.at("e2").report.checkpoints["m1"] = checkpoint_tier::disk;
    ++world.engines.at("e2").report.revision;
    world.run(seconds{2});
    load(world, "m1");
    load(world, "m2");
    cr_assert(holds(world, "e2", "m1"));
    cr_assert(holds(world, "e1", "m2"));
}

// Guards against loads on engines that get no new work.
Test(placement_planner, leaving_and_draining_engines_get_no_loads)
{
    control_simulation world{42};
    populate(world);
    world.config.draining = {"e1"};
    world.apply_config();
    world.engines.at("e2").report.leaving = true;
    world.run(seconds{2});
    world.send_load_requests_for(seconds{3}, "n1", "m1");
    cr_assert(world.orders.empty());
    cr_assert(explanation_contains(world, "m1", "event=load_refused model=m1 reason=no_engine"));
}

// Guards against a background load request with a nearer deadline that is served before an urgent one.
Test(placement_planner, load_requests_of_a_higher_rank_are_served_first)
{
    control_simulation world{43};
    populate(world);
    world.config.weight_store = {100.0, 1};
    world.apply_config();
    world.run(seconds{3});
    world.hold_orders = true;
    auto& node = world.instances.at("n1");
    outbox out;
    node.controller->on_load_request(world.local_time(node), {"m1", "", rank::background, seconds{1}, 9},
                                     out);
    node.controller->on_load_request(world.local_time(node), {"m2", "", rank::urgent, seconds{9}, 1}, out);
    world.run(seconds{1});
    cr_assert_eq(world.orders.size(), 1U);
    cr_assert_eq(world.orders.front().what.what.subject, "m2");
}

// Guards against the eviction of a model that is often requested again or takes long to reload, instead of a
// cheaper one.
Test(placement_planner, eviction_takes_the_lowest_return_rate_times_reload_time)
{
    control_simulation world{44};
    populate(world);
    for (auto const* name : {"m1", "m2", "m4"})
    {
        world.config.models.at(name).load_time_ms = 5000;
    }
    fill_engines(world);
    world.send_load_requests_for(seconds{3}, "n1", "new");
    cr_assert_eq(world.replicas("new"), 1U);
    cr_assert_eq(world.replicas("m3"), 0U);
    cr_assert_eq(world.replicas("m1") + world.replicas("m2") + world.replicas("m4"), 3U);
}

// Guards against the eviction of a model that may have requests in flight (invariant I8), that is needed for
// its min_replicas, or that is requested.
Test(placement_planner, busy_minimum_and_requested_models_are_not_evicted)
{
    control_simulation world{45};
    populate(world);
    world.config.models.at("m1").min_replicas = 1;
    fill_engines(world);
    std::string const busy = holds(world, "e1", "m1") ? "e2" : "e1";
    std::string const idle = busy == "e1" ? "e2" : "e1";
    world.engines.at(busy).report.running = 1;
    world.run(seconds{2});
    std::string other_model;
    for (auto const& model : world.engines.at(idle).report.models)
    {
        other_model = model.first == "m1" ? other_model : model.first;
    }
    for (int i = 0; i < 10; ++i)
    {
        world.send_load_request("n1", other_model);
        world.send_load_requests_for(milliseconds{200}, "n1", "new");
    }
    cr_assert_eq(world.replicas("new"), 0U);
    cr_assert(explanation_contains(world, "new", "reason=no_memory"));
    world.run(seconds{3});
    world.send_load_requests_for(seconds{3}, "n1",
                                 "new"); // The other model is no longer requested and is evicted.
    cr_assert(holds(world, idle, "new"));
    cr_assert_eq(world.replicas("m1"), 1U);
    cr_assert(world.violation.empty(), "%s", world.violation.c_str());
}

// Guards against a model with fewer than min_replicas: they are loaded without any load request.
Test(placement_planner, min_replicas_are_loaded_without_a_load_request)
{
    control_simulation world{46};
    populate(world);
    world.config.models.at("m2").min_replicas = 1;
    world.apply_config();
    world.run(seconds{3});
    cr_assert_eq(world.replicas("m2"), 1U);
}

// Guards against adapters that are loaded away from their base model, and against the eviction of one that
// was used more recently than another.
Test(placement_planner, adapters_load_beside_the_base_and_the_least_recently_used_is_evicted)
{
    control_simulation world{47};
    populate(world);
    for (auto const* name : {"x1", "x2", "x3"})
    {
        world.config.adapters[name] = {name, "m1", 25};
    }
    world.apply_config();
    world.send_load_requests_for(seconds{4}, "n1", "m1", rank::standard, "x1"); // Loads the base model first.
    std::string const engine = holds(world, "e1", "m1") ? "e1" : "e2";
    auto const& adapters = world.engines.at(engine).report.adapters;
    cr_assert_eq(adapters.count("x1"), 1U);
    world.run(seconds{1});
    world.send_load_requests_for(seconds{2}, "n1", "m1", rank::standard, "x2");
    cr_assert_eq(adapters.size(), 2U);
    world.run(seconds{12});
    world.send_load_requests_for(seconds{3}, "n1", "m1", rank::standard, "x3");
    cr_assert_eq(adapters.count("x1"), 0U);
    cr_assert_eq(adapters.count("x2") + adapters.count("x3"), 2U);
    cr_assert(world.violation.empty(), "%s", world.violation.c_str());
}
