#include "tests/decision/rotation_world.hpp"

#include <criterion/criterion.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace siskinusher;

namespace
{

// Time until an engine holds the model, in milliseconds; -1 when none does within `limit`.
std::int64_t time_to_hold(rotation_world& world, std::string const& model, std::int64_t limit)
{
    std::int64_t const begin = world.ms;
    while (world.ms - begin < limit)
    {
        world.wish(model, 1, world.ms == begin ? 1 : 0);
        if (world.held(model))
        {
            return world.ms - begin;
        }
        world.advance(50);
    }
    return -1;
}

} // namespace

// Load: requests for rare models in turn, more models than fit. Each is up within an unload and a load from
// disk; guards against loads from the weight store while an engine has a copy.
Test(rotation_planner, rare_models_take_turns_from_disk)
{
    rotation_world world(1, 2, 12);
    for (auto& [name, each] : world.all)
    {
        for (int i = 0; i < 12; ++i)
        {
            each.entry.copies_on_disk.insert("m" + std::to_string(i));
        }
        world.publish(each);
    }
    for (int i = 0; i < 24; ++i)
    {
        std::int64_t const took = time_to_hold(world, "m" + std::to_string(i * 5 % 12), 5000);
        cr_assert(took >= 0 && took <= 1500, "turn %d took %ld ms", i, static_cast<long>(took));
        world.wish("m" + std::to_string(i * 5 % 12), 0, 0);
        world.advance(300);
    }
    cr_assert_eq(world.store_loads, 0);
    cr_assert_not(world.overcommitted);
}

// Guards against an engine that is ordered to load more than it holds: after an outage of the store, entries
// from before it are listed again, and a model that was loaded meanwhile is not in them.
Test(rotation_planner, outdated_entries_do_not_free_memory)
{
    rotation_world world(1, 1, 9);
    world.advance(200);
    cr_assert(time_to_hold(world, "m1", 20000) >= 0);
    world.entries_stop = true;
    cr_assert(time_to_hold(world, "m2", 20000) >= 0);
    world.entries_stop = false;
    world.relist();
    cr_assert(time_to_hold(world, "m4", 20000) >= 0);
    cr_assert_not(world.overcommitted);
}

// Guards against loads that begin faster than the weight store allows, in every window of five seconds.
Test(rotation_planner, store_loads_stay_below_the_ceiling)
{
    rotation_world world(1, 12, 60);
    unsigned at_once = 0;
    for (int i = 0; i < 400; ++i)
    {
        for (int m = 0; m < 60; m += 7)
        {
            world.wish("m" + std::to_string((m + i) % 60), 1);
        }
        world.advance(50);
        unsigned loading = 0;
        for (auto const& [name, each] : world.all)
        {
            loading += each.working && each.working->kind == order_kind::load_model ? 1 : 0;
        }
        at_once = std::max(at_once, loading);
    }
    cr_assert(world.store_loads > 8, "only %u loads", world.store_loads);
    cr_assert(at_once <= 4, "%u loads at once", at_once);
    cr_assert_not(world.overcommitted);
}

// Load: none, on disks that together hold fewer copies than there are models. Guards against models that are
// fetched ahead in turn for ever, each one driving out another's copy.
Test(rotation_planner, fetching_ahead_ends_on_small_disks)
{
    rotation_world world(1, 2, 12);
    world.copies_per_disk = 3;
    world.advance(120000);
    unsigned const loads = world.store_loads;
    cr_assert_leq(loads, 12, "%u loads of 12 models", loads);
    world.advance(60000);
    cr_assert_eq(world.store_loads, loads);
    cr_assert(time_to_hold(world, "m7", 9000) >= 0, "one that is asked for is loaded all the same");
}

// Load: one model's demand rises. Guards against a single replica that a lost engine would take away.
Test(rotation_planner, rising_demand_gets_replicas)
{
    rotation_world world(1, 6, 6);
    cr_assert(time_to_hold(world, "m1", 9000) >= 0);
    for (int i = 0; i < 100; ++i)
    {
        world.planner.on_demand(world.now(), {"i", "i:1", {{"llm", "m1", "", 0, 0, 10, 5}}, {}});
        world.advance(500);
    }
    unsigned replicas = 0;
    for (auto const& [name, each] : world.all)
    {
        replicas += each.models.count("m1") > 0 ? 1 : 0;
    }
    cr_assert(replicas >= 2, "%u replicas at 10 requests a second", replicas);
}

// Load: many requests of one model on engines with few places. Guards against one engine whose queue grows
// while others are idle.
Test(rotation_planner, engines_with_few_places_get_more_replicas)
{
    rotation_world world(1, 6, 3);
    for (auto& [name, each] : world.all)
    {
        each.entry.places = 12;
        world.publish(each);
    }
    cr_assert(time_to_hold(world, "m1", 9000) >= 0);
    for (int i = 0; i < 60; ++i)
    {
        world.planner.on_demand(world.now(), {"i", "i:1", {{"llm", "m1", "", 0, 0, 15, 1}}, {}});
        world.advance(500);
    }
    unsigned replicas = 0;
    for (auto const& [name, each] : world.all)
    {
        replicas += each.models.count("m1") > 0 ? 1 : 0;
    }
    cr_assert(replicas >= 3, "%u replicas for 15 requests at 12 places", replicas);
}

// Guards against an order that is sent again although the first one may be carried out: whatever is lost,
// late or restarted, no engine ever holds more than fits, and wishes are served afterwards.
Test(rotation_planner, random_faults_never_overcommit)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed)
    {
        rotation_world world(seed, 3, 10);
        world.planning = false;
        std::vector<std::pair<std::int64_t, rotation_order>> late;
        for (int i = 0; i < 1200; ++i)
        {
            world.advance(50);
            for (auto each = late.begin(); each != late.end();)
            {
                bool const due = world.ms >= each->first;
                if (due)
                {
                    (void)world.take(each->second);
                }
                each = due ? late.erase(each) : std::next(each);
            }
            world.wish("m" + std::to_string(world.random.below(10)), 1);
            if (world.random.below(100) == 0)
            {
                world.entries_stop = !world.entries_stop;
                if (!world.entries_stop)
                {
                    world.relist();
                }
            }
            if (world.random.below(200) == 0)
            {
                auto& engine = world.all["e" + std::to_string(world.random.below(3))];
                engine.models.clear();
                engine.working.reset();
                engine.sequence = 0;
                ++engine.entry.started_at;
                bool const stopped = std::exchange(world.entries_stop, false);
                world.publish(engine);
                world.entries_stop = stopped;
            }
            if (world.random.below(300) == 0)
            {
                world.planner.begin_lease(); // Another holder took over and knows only the entries.
            }
            for (rotation_step const& step : world.planner.plan(world.now()))
            {
                auto const* const order = std::get_if<rotation_order>(&step);
                if (order == nullptr)
                {
                    auto const& name = std::get<engine_inquiry>(step).engine;
                    rotation_world::engine const& engine = world.all[name];
                    engine_state_report report{name, engine.sequence, engine.working.has_value(), {}};
                    for (std::string const& model : engine.models)
                    {
                        report.models.push_back({model, {}});
                    }
                    world.planner.on_report(world.now(), report);
                    continue;
                }
                std::uint64_t const luck = world.random.below(10);
                if (luck == 0)
                {
                    late.emplace_back(world.ms + 2000 + static_cast<std::int64_t>(world.random.below(10000)),
                                      *order);
                    world.planner.on_order_result(world.now(), *order, rotation_result::unknown);
                }
                else if (luck == 1)
                {
                    (void)world.take(*order);
                    world.planner.on_order_result(world.now(), *order, rotation_result::unknown);
                }
                else
                {
                    world.planner.on_order_result(world.now(), *order, world.take(*order));
                }
            }
            cr_assert_not(world.overcommitted, "seed %lu at %ld ms", static_cast<unsigned long>(seed),
                          static_cast<long>(world.ms));
        }
        world.entries_stop = false;
        world.planning = true;
        cr_assert(time_to_hold(world, "m7", 20000) >= 0, "seed %lu: never up",
                  static_cast<unsigned long>(seed));
    }
}

// Load: the only engine with a model crashes. Guards against requests that wait until the entry lapses.
Test(rotation_planner, model_of_a_crashed_engine_is_placed_elsewhere)
{
    rotation_world world(1, 3, 3);
    for (auto& [name, each] : world.all)
    {
        each.entry.copies_on_disk = {"m0", "m1", "m2"};
        world.publish(each);
    }
    cr_assert(time_to_hold(world, "m1", 5000) >= 0);
    std::string holder;
    for (auto const& [name, each] : world.all)
    {
        holder = each.models.count("m1") > 0 ? name : holder;
    }
    for (int i = 0; i < 40; ++i)
    {
        world.planner.on_demand(world.now(), {"i", "i:1", {{"llm", "m1", "", 2, 1, 0, 0}}, {holder}});
        world.advance(50);
    }
    unsigned others = 0;
    for (auto const& [name, each] : world.all)
    {
        others += name != holder && each.models.count("m1") > 0 ? 1 : 0;
    }
    cr_assert_eq(others, 1);
}

// Guards against new requests for a model whose unload waits for its runs, and against orders that the engine
// refuses meanwhile: the model stays announced as leaving until the engine shows that it has left.
Test(rotation_planner, unload_that_waits_for_runs_stays_announced)
{
    rotation_world world(1, 1, 6);
    auto& engine = world.all["e0"];
    for (int i = 0; i < 6; ++i)
    {
        engine.entry.copies_on_disk.insert("m" + std::to_string(i));
    }
    world.publish(engine);
    cr_assert(time_to_hold(world, "m1", 5000) >= 0);
    cr_assert(time_to_hold(world, "m2", 5000) >= 0);
    engine.runs_until = world.ms + 3000;
    unsigned const before = world.orders;
    for (int i = 0; i < 30; ++i)
    {
        world.wish("m4", 1, i == 0 ? 1 : 0);
        world.advance(50);
        bool const unloading = engine.working && engine.working->kind == order_kind::unload_model;
        placement_news const news = world.planner.news(world.now());
        bool const announced = std::any_of(news.placements.begin(), news.placements.end(),
                                           [](recent_placement const& each) { return each.leaving; });
        cr_assert(!unloading || announced, "not announced at %ld ms", static_cast<long>(world.ms));
    }
    cr_assert_eq(world.orders, before + 1);
    cr_assert(time_to_hold(world, "m4", 8000) >= 0);
}
