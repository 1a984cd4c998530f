#include "tests/decision/load_planner_simulation.hpp"

#include <criterion/criterion.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace siskinusher;

namespace
{

// Time until an engine holds the model, in milliseconds; -1 when none does within `limit`.
std::int64_t time_to_hold(load_planner_simulation& simulation, std::string const& model, std::int64_t limit)
{
    std::int64_t const begin = simulation.ms;
    while (simulation.ms - begin < limit)
    {
        simulation.report_demand(model, 1, simulation.ms == begin ? 1 : 0);
        if (simulation.held(model))
        {
            return simulation.ms - begin;
        }
        simulation.advance(50);
    }
    return -1;
}

} // namespace

// Load: requests for rarely used models in turn, more models than fit into memory. Guards against loads from
// the weight store while an engine has a copy: each model must be loaded within the time of an unload and a
// load from disk.
Test(load_planner, rare_models_take_turns_from_disk)
{
    load_planner_simulation simulation(1, 2, 12);
    for (auto& [name, each] : simulation.engines_by_name)
    {
        for (int i = 0; i < 12; ++i)
        {
            each.entry.copies_on_disk.insert("m" + std::to_string(i));
        }
        simulation.publish(each);
    }
    for (int i = 0; i < 24; ++i)
    {
        std::int64_t const took = time_to_hold(simulation, "m" + std::to_string(i * 5 % 12), 5000);
        cr_assert(took >= 0 && took <= 1500, "turn %d took %ld ms", i, static_cast<long>(took));
        simulation.report_demand("m" + std::to_string(i * 5 % 12), 0, 0);
        simulation.advance(300);
    }
    cr_assert_eq(simulation.store_loads, 0);
    cr_assert_not(simulation.overcommitted);
}

// Guards against an engine that is ordered to load more than fits into its memory: after an outage of the
// store, entries from before the outage are listed again, without the models that were loaded meanwhile.
Test(load_planner, outdated_entries_do_not_free_memory)
{
    load_planner_simulation simulation(1, 1, 9);
    simulation.advance(200);
    cr_assert(time_to_hold(simulation, "m1", 20000) >= 0);
    simulation.store_down = true;
    cr_assert(time_to_hold(simulation, "m2", 20000) >= 0);
    simulation.store_down = false;
    simulation.relist_entries();
    cr_assert(time_to_hold(simulation, "m4", 20000) >= 0);
    cr_assert_not(simulation.overcommitted);
}

// Guards against loads that begin at a higher rate than the weight store allows, in every window of five
// seconds.
Test(load_planner, store_loads_stay_below_the_ceiling)
{
    load_planner_simulation simulation(1, 12, 60);
    unsigned at_once = 0;
    for (int i = 0; i < 400; ++i)
    {
        for (int m = 0; m < 60; m += 7)
        {
            simulation.report_demand("m" + std::to_string((m + i) % 60), 1);
        }
        simulation.advance(50);
        unsigned loading = 0;
        for (auto const& [name, each] : simulation.engines_by_name)
        {
            loading += each.current_order && each.current_order->kind == order_kind::load_model ? 1 : 0;
        }
        at_once = std::max(at_once, loading);
    }
    cr_assert(simulation.store_loads > 8, "only %u loads", simulation.store_loads);
    cr_assert(at_once <= 4, "%u loads at once", at_once);
    cr_assert_not(simulation.overcommitted);
}

// Load: many rare models are asked for at once, on engines without free memory. Guards against loads that are
// decided together while memory is being freed for them: ten at once took 20 s each instead of 8 s, and no
// engine among them could load what it had on disk meanwhile.
Test(load_planner, loads_that_wait_for_memory_count_as_loads_from_the_store)
{
    load_planner_simulation simulation(1, 10, 60);
    unsigned next = 1;
    for (auto& [name, each] : simulation.engines_by_name)
    {
        each.models = {"m" + std::to_string(next), "m" + std::to_string(next + 1)};
        next += 3;
        simulation.publish(each);
    }
    simulation.planner.begin_lease(simulation.now(), earlier_orders::of_other_holders);
    unsigned at_once = 0;
    for (int i = 0; i < 200; ++i)
    {
        demand_report report{"i", "i:1", {}, {}};
        for (int m = 31; m < 60; m += 3)
        {
            report.models.push_back({"llm", "m" + std::to_string(m), "", 2, 1, 0, 1});
        }
        simulation.planner.on_demand(simulation.now(), report);
        simulation.advance(50);
        at_once = std::max(at_once, simulation.loads_from_store_at_once());
    }
    cr_assert(simulation.store_loads >= 4, "only %u loads", simulation.store_loads);
    cr_assert_leq(at_once, 4, "%u loads from the store at once", at_once);
    cr_assert_not(simulation.overcommitted);
}

// Guards against a new lease holder that adds its own loads to those that the holder before it has ordered:
// an engine that is busy with an order unknown to this holder may be loading from the store.
Test(load_planner, loads_of_the_holder_before_count)
{
    load_planner_simulation simulation(1, 10, 60);
    unsigned loading = 0;
    for (auto& [name, each] : simulation.engines_by_name)
    {
        if (loading < 4)
        {
            std::string const model = "m" + std::to_string(31 + 3 * loading++);
            each.current_order = engine_order{name, name, order_kind::load_model, model, "", 0, ""};
            each.sequence = 1;
            each.done_at = simulation.ms + 6000;
        }
    }
    simulation.planner.begin_lease(simulation.now(), earlier_orders::of_other_holders);
    unsigned at_once = 0;
    for (int i = 0; i < 100; ++i)
    {
        simulation.report_demand("m" + std::to_string(46 + 3 * (i % 4)), 1);
        simulation.advance(50);
        at_once = std::max(at_once, simulation.loads_from_store_at_once());
    }
    cr_assert_leq(at_once, 4, "%u loads from the store at once", at_once);
    simulation.report_demand("m46", 1);
    cr_assert(time_to_hold(simulation, "m46", 20000) >= 0, "a later load is ordered all the same");
}

// Load: no requests, on disks that together hold fewer copies than there are models. Guards against endless
// prefetching, in which each model displaces the copy of another.
Test(load_planner, prefetching_ends_on_small_disks)
{
    load_planner_simulation simulation(1, 2, 12);
    simulation.copies_per_disk = 3;
    simulation.advance(120000);
    unsigned const loads = simulation.store_loads;
    cr_assert_leq(loads, 12, "%u loads of 12 models", loads);
    simulation.advance(60000);
    cr_assert_eq(simulation.store_loads, loads);
    cr_assert(time_to_hold(simulation, "m7", 9000) >= 0, "a model that is requested is loaded nevertheless");
}

// Load: one model's demand rises. Guards against a single replica that a lost engine would take away.
Test(load_planner, rising_demand_gets_replicas)
{
    load_planner_simulation simulation(1, 6, 6);
    cr_assert(time_to_hold(simulation, "m1", 9000) >= 0);
    for (int i = 0; i < 100; ++i)
    {
        simulation.planner.on_demand(simulation.now(), {"i", "i:1", {{"llm", "m1", "", 0, 0, 10, 5}}, {}});
        simulation.advance(500);
    }
    unsigned replicas = 0;
    for (auto const& [name, each] : simulation.engines_by_name)
    {
        replicas += each.models.count("m1") > 0 ? 1 : 0;
    }
    cr_assert(replicas >= 2, "%u replicas at 10 requests a second", replicas);
}

// Load: many requests of one model on engines with few places. Guards against one engine whose queue grows
// while others are idle.
Test(load_planner, engines_with_few_places_get_more_replicas)
{
    load_planner_simulation simulation(1, 6, 3);
    for (auto& [name, each] : simulation.engines_by_name)
    {
        each.entry.places = 12;
        simulation.publish(each);
    }
    cr_assert(time_to_hold(simulation, "m1", 9000) >= 0);
    for (int i = 0; i < 60; ++i)
    {
        simulation.planner.on_demand(simulation.now(), {"i", "i:1", {{"llm", "m1", "", 0, 0, 15, 1}}, {}});
        simulation.advance(500);
    }
    unsigned replicas = 0;
    for (auto const& [name, each] : simulation.engines_by_name)
    {
        replicas += each.models.count("m1") > 0 ? 1 : 0;
    }
    cr_assert(replicas >= 3, "%u replicas for 15 requests at 12 places", replicas);
}

// Guards against an order that is sent again although the first one may still be carried out: whichever
// orders are lost or late and whichever engines restart, no engine holds more than fits into its memory, and
// requested models are loaded afterwards.
Test(load_planner, random_faults_never_overcommit)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed)
    {
        load_planner_simulation simulation(seed, 3, 10);
        simulation.planning = false;
        std::vector<std::pair<std::int64_t, engine_order>> late;
        for (int i = 0; i < 1200; ++i)
        {
            simulation.advance(50);
            for (auto each = late.begin(); each != late.end();)
            {
                bool const due = simulation.ms >= each->first;
                if (due)
                {
                    (void)simulation.accept_order(each->second);
                }
                each = due ? late.erase(each) : std::next(each);
            }
            simulation.report_demand("m" + std::to_string(simulation.random.below(10)), 1);
            if (simulation.random.below(100) == 0)
            {
                simulation.store_down = !simulation.store_down;
                if (!simulation.store_down)
                {
                    simulation.relist_entries();
                }
            }
            if (simulation.random.below(200) == 0)
            {
                auto& engine = simulation.engines_by_name["e" + std::to_string(simulation.random.below(3))];
                engine.models.clear();
                engine.current_order.reset();
                engine.sequence = 0;
                ++engine.entry.started_at;
                bool const stopped = std::exchange(simulation.store_down, false);
                simulation.publish(engine);
                simulation.store_down = stopped;
            }
            if (simulation.random.below(300) == 0)
            {
                // Another lease holder takes over and knows only the entries.
                simulation.planner.begin_lease(simulation.now(), earlier_orders::of_other_holders);
            }
            for (planner_action const& step : simulation.planner.plan(simulation.now()))
            {
                auto const* const order = std::get_if<engine_order>(&step);
                if (order == nullptr)
                {
                    auto const& name = std::get<engine_inquiry>(step).engine;
                    load_planner_simulation::engine const& engine = simulation.engines_by_name[name];
                    engine_state_report report{name, engine.sequence, engine.current_order.has_value(), {}};
                    for (std::string const& model : engine.models)
                    {
                        report.models.push_back({model, {}});
                    }
                    simulation.planner.on_report(simulation.now(), report);
                    continue;
                }
                std::uint64_t const fault = simulation.random.below(10);
                if (fault == 0)
                {
                    late.emplace_back(simulation.ms + 2000 +
                                          static_cast<std::int64_t>(simulation.random.below(10000)),
                                      *order);
                    simulation.planner.on_order_result(simulation.now(), *order,
                                                       engine_order_result::unknown);
                }
                else if (fault == 1)
                {
                    (void)simulation.accept_order(*order);
                    simulation.planner.on_order_result(simulation.now(), *order,
                                                       engine_order_result::unknown);
                }
                else
                {
                    simulation.planner.on_order_result(simulation.now(), *order,
                                                       simulation.accept_order(*order));
                }
            }
            cr_assert_not(simulation.overcommitted, "seed %lu at %ld ms", static_cast<unsigned long>(seed),
                          static_cast<long>(simulation.ms));
        }
        simulation.store_down = false;
        simulation.planning = true;
        cr_assert(time_to_hold(simulation, "m7", 20000) >= 0, "seed %lu: the model was not loaded",
                  static_cast<unsigned long>(seed));
    }
}

// Load: the only engine with a model crashes. Guards against requests that wait until its entry expires.
Test(load_planner, model_of_a_crashed_engine_is_placed_elsewhere)
{
    load_planner_simulation simulation(1, 3, 3);
    for (auto& [name, each] : simulation.engines_by_name)
    {
        each.entry.copies_on_disk = {"m0", "m1", "m2"};
        simulation.publish(each);
    }
    cr_assert(time_to_hold(simulation, "m1", 5000) >= 0);
    std::string holder;
    for (auto const& [name, each] : simulation.engines_by_name)
    {
        holder = each.models.count("m1") > 0 ? name : holder;
    }
    for (int i = 0; i < 40; ++i)
    {
        simulation.planner.on_demand(simulation.now(),
                                     {"i", "i:1", {{"llm", "m1", "", 2, 1, 0, 0}}, {holder}});
        simulation.advance(50);
    }
    unsigned others = 0;
    for (auto const& [name, each] : simulation.engines_by_name)
    {
        others += name != holder && each.models.count("m1") > 0 ? 1 : 0;
    }
    cr_assert_eq(others, 1);
}

// Guards against new requests for a model whose unload waits for its running requests, and against orders
// that the engine refuses meanwhile: the model stays announced as leaving until the engine shows that it is
// unloaded.
Test(load_planner, unload_that_waits_for_runs_stays_announced)
{
    load_planner_simulation simulation(1, 1, 6);
    auto& engine = simulation.engines_by_name["e0"];
    for (int i = 0; i < 6; ++i)
    {
        engine.entry.copies_on_disk.insert("m" + std::to_string(i));
    }
    simulation.publish(engine);
    cr_assert(time_to_hold(simulation, "m1", 5000) >= 0);
    cr_assert(time_to_hold(simulation, "m2", 5000) >= 0);
    engine.requests_run_until = simulation.ms + 3000;
    unsigned const before = simulation.orders;
    for (int i = 0; i < 30; ++i)
    {
        simulation.report_demand("m4", 1, i == 0 ? 1 : 0);
        simulation.advance(50);
        bool const unloading = engine.current_order && engine.current_order->kind == order_kind::unload_model;
        placement_update const placement = simulation.planner.current_placement_update(simulation.now());
        bool const announced = std::any_of(placement.placements.begin(), placement.placements.end(),
                                           [](recent_placement const& each) { return each.leaving; });
        cr_assert(!unloading || announced, "not announced at %ld ms", static_cast<long>(simulation.ms));
    }
    cr_assert_eq(simulation.orders, before + 1);
    cr_assert(time_to_hold(simulation, "m4", 8000) >= 0);
}

// Guards against an engine with more adapters than fit, when the answer to an earlier inquiry crosses an
// order.
Test(load_planner, late_report_does_not_hide_an_accepted_adapter)
{
    load_planner_simulation simulation(1, 1, 3);
    auto& engine = simulation.engines_by_name["e0"];
    engine.models = {"m0"};
    simulation.publish(engine);
    simulation.advance(2000);
    engine_state_report const early{"e0", engine.sequence, false, {{"m0", {}}}};
    simulation.planning = false;
    std::set<std::string> held;
    for (unsigned i = 0; i < 400; ++i)
    {
        std::string const adapter = "a" + std::to_string(1 + i % 20);
        simulation.planner.on_demand(simulation.now(),
                                     {"i", "i:1", {{"llm", "m0", adapter, 0, 1, 0, 1}}, {}});
        for (planner_action const& step : simulation.planner.plan(simulation.now()))
        {
            auto const* const order = std::get_if<engine_order>(&step);
            if (order == nullptr)
            {
                simulation.planner.on_report(simulation.now(),
                                             {"e0", engine.sequence, false, {{"m0", held}}});
                continue;
            }
            if (held.size() == 2)
            {
                simulation.planner.on_report(simulation.now(), early);
            }
            auto const result = simulation.accept_order(*order);
            if (result != engine_order_result::conflict)
            {
                order->kind == order_kind::load_adapter ? (void)held.insert(order->adapter)
                                                        : (void)held.erase(order->adapter);
            }
            simulation.planner.on_order_result(simulation.now(), *order, result);
            cr_assert_leq(held.size(), std::size_t{8}, "%zu adapters", held.size());
        }
        simulation.advance(50);
    }
    cr_assert_geq(held.size(), std::size_t{7}, "%zu adapters", held.size());
}
