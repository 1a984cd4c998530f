#include "tests/decision/load_planner_simulation.hpp"

#include <criterion/criterion.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

using namespace siskinusher;

namespace
{

constexpr std::int64_t step_ms = 50;
// Longest time after which an engine carries out an order that it has not answered.
constexpr std::int64_t latest_ms = 12000;
std::string const engine_name = "e0";

/// Engines of which some leave orders unanswered and carry them out late, also in a later run.
class late_order_play
{
public:
    late_order_play(std::uint64_t seed, unsigned engines, unsigned models) : simulation(seed, engines, models)
    {
        simulation.planning = false;
    }

    /// Orders of this kind get no answer and are carried out after `delay`.
    void delay_orders(order_kind kind, std::int64_t delay)
    {
        delayed_kind_ = kind;
        delay_ = delay;
    }
    void stop_delaying() { delay_ = 0; }
    bool any_delayed() const { return !late_.empty(); }

    /// Asks for the models during `span` ms.
    void run(std::int64_t span, std::vector<std::string> const& wanted)
    {
        for (std::int64_t const end = simulation.ms + span; simulation.ms < end;)
        {
            simulation.advance(step_ms);
            carry_out_late_orders();
            demand_report report{"i", "i:1", {}, {}};
            for (std::string const& model : wanted)
            {
                report.models.push_back({"llm", model, "", 2, simulation.held(model) ? 0U : 1U, 0, 1});
            }
            simulation.holder->on_demand(simulation.now(), report);
            plan();
        }
    }

    void plan()
    {
        load_planner* const sender = simulation.holder;
        for (planner_action const& step : sender->plan(simulation.now()))
        {
            if (auto const* const inquiry = std::get_if<engine_inquiry>(&step))
            {
                simulation.answer_inquiry(*inquiry);
                continue;
            }
            auto const& order = std::get<engine_order>(step);
            if (delay_ > 0 && order.kind == delayed_kind_)
            {
                late_.emplace_back(simulation.ms + delay_, order);
                sender->on_order_result(simulation.now(), order, engine_order_result::unknown);
                continue;
            }
            sender->on_order_result(simulation.now(), order, simulation.accept_order(order));
        }
    }

    load_planner_simulation simulation;

private:
    void carry_out_late_orders()
    {
        for (auto each = late_.begin(); each != late_.end();)
        {
            bool const due = simulation.ms >= each->first;
            if (due)
            {
                (void)simulation.accept_order(each->second);
            }
            each = due ? late_.erase(each) : std::next(each);
        }
    }

    order_kind delayed_kind_ = order_kind::load_model;
    std::int64_t delay_ = 0;
    std::vector<std::pair<std::int64_t, engine_order>> late_;
};

// An engine that holds m1 and has copies of all models gets an order towards loading m4, of the kind that is
// delayed, while m1 and m2 fill its memory.
void fill_and_delay(late_order_play& play, order_kind kind, std::int64_t delay)
{
    auto& simulation = play.simulation;
    auto& engine = simulation.engines_by_name[engine_name];
    for (int i = 0; i < 9; ++i)
    {
        engine.entry.copies_on_disk.insert("m" + std::to_string(i));
    }
    engine.models = {"m1"};
    simulation.publish(engine);
    play.run(2000, {"m2"});
    play.delay_orders(kind, delay);
    for (int i = 0; i < 60 && !play.any_delayed(); ++i)
    {
        play.run(step_ms, {"m2", "m4"});
    }
    cr_assert(play.any_delayed());
    play.stop_delaying();
}

// An engine that holds two of three large models is ordered to load the third, and carries this order out
// `delay` later; meanwhile it starts again, and the two others are asked for.
void play_restart(std::int64_t delay, std::int64_t down, bool hands_over)
{
    late_order_play play(1, 1, 9);
    auto& simulation = play.simulation;
    fill_and_delay(play, order_kind::load_model, delay);
    simulation.advance(down);
    simulation.restart(engine_name);
    if (hands_over)
    {
        simulation.hand_over();
    }
    play.run(delay + 2000, {"m1", "m2"});
    cr_assert_not(simulation.overcommitted, "delay %ld ms, down for %ld ms, %s", static_cast<long>(delay),
                  static_cast<long>(down), hands_over ? "next holder" : "same holder");
    play.run(latest_ms + 8000, {"m1", "m2"});
    cr_expect(simulation.held("m1"));
    cr_expect(simulation.held("m2"));
}

enum class engine_start
{
    known_from_the_beginning, ///< The planner has seen one run only.
    again_in_the_entry,
    again_in_the_report, ///< The engine names another start than its entry.
};

// A planner that has followed an engine's entry begins its lease. The engine holds one large model then. True
// when the planner loads a second one within 2 s.
bool next_holder_loads_second_model(engine_start start, earlier_orders earlier)
{
    load_planner_simulation simulation(1, 1, 9);
    backend_entry entry = simulation.engines_by_name[engine_name].entry;
    load_planner next({});
    next.on_config(simulation.config);
    next.on_backend(simulation.now(), entry);
    if (start == engine_start::again_in_the_entry)
    {
        ++entry.started_at;
        next.on_backend(simulation.now(), entry);
    }
    next.begin_lease(simulation.now(), earlier);
    std::int64_t const reported = entry.started_at + (start == engine_start::again_in_the_report ? 1 : 0);
    for (int i = 0; i < 40; ++i)
    {
        simulation.ms += step_ms;
        next.on_demand(simulation.now(), {"i", "i:1", {{"llm", "m2", "", 2, 1, 0, 1}}, {}});
        for (planner_action const& step : next.plan(simulation.now()))
        {
            if (auto const* const order = std::get_if<engine_order>(&step))
            {
                if (order->model == "m2")
                {
                    return true;
                }
                next.on_order_result(simulation.now(), *order, engine_order_result::not_sent);
                continue;
            }
            next.on_report(simulation.now(), {engine_name, 1, false, {{"m1", {}}}, reported});
        }
    }
    return false;
}

} // namespace

// Guards against an engine that crashes because an order to its former run, sent by this holder, is carried
// out in the next one, when it has accepted as many orders again.
Test(late_order, order_to_a_former_run_fits_into_the_next_one)
{
    for (std::int64_t delay = 1000; delay <= latest_ms; delay += 500)
    {
        play_restart(delay, 500, false);
        play_restart(delay, 2000, false);
    }
}

// Guards against the same when another instance has become the lease holder, which does not know the orders
// of the one before it.
Test(late_order, order_of_the_holder_before_fits_into_the_next_run)
{
    for (std::int64_t delay = 1000; delay <= latest_ms; delay += 500)
    {
        play_restart(delay, 500, true);
        play_restart(delay, 2000, true);
    }
}

// Guards against the same when the engine's entry does not show its new run yet, and against room that is
// kept where no order to a former run is possible: it delays the loads of all engines after each change of
// the holder.
Test(late_order, next_holder_keeps_room_only_at_engines_that_started_again)
{
    auto const of_others = earlier_orders::of_other_holders;
    cr_expect_not(next_holder_loads_second_model(engine_start::again_in_the_entry, of_others));
    cr_expect_not(next_holder_loads_second_model(engine_start::again_in_the_report, of_others));
    cr_expect(next_holder_loads_second_model(engine_start::known_from_the_beginning, of_others));
    cr_expect(next_holder_loads_second_model(engine_start::again_in_the_entry, earlier_orders::own_only));
}

// Guards against a planner that takes the answer to an order to a former run for that to its order to the
// present one: it would count an order that this run has not accepted.
Test(late_order, answer_of_a_former_run_is_not_one_of_the_next)
{
    load_planner_simulation simulation(1, 1, 9);
    simulation.planning = false;
    auto const next_order = [&simulation](std::string const& model) -> engine_order
    {
        for (int i = 0; i < 100; ++i)
        {
            simulation.report_demand(model, 1);
            for (planner_action const& step : simulation.planner.plan(simulation.now()))
            {
                if (auto const* const order = std::get_if<engine_order>(&step))
                {
                    return *order;
                }
                simulation.answer_inquiry(std::get<engine_inquiry>(step));
            }
            simulation.advance(step_ms);
        }
        cr_assert(false, "no order for %s", model.c_str());
        return engine_order{};
    };
    engine_order const former = next_order("m1");
    simulation.restart(engine_name);
    engine_order const present = next_order("m1");
    cr_assert_eq(simulation.planner.open_orders(), std::size_t{1});
    simulation.planner.on_order_result(simulation.now(), former, engine_order_result::accepted);
    cr_expect_eq(simulation.planner.open_orders(), std::size_t{1});
    simulation.planner.on_order_result(simulation.now(), present, simulation.accept_order(present));
    simulation.advance(7000);
    cr_expect_eq(next_order("m2").expected_sequence, std::uint64_t{1});
}

// Guards against a model that the planner believes to be held after a late order has unloaded it: nobody
// would load it again.
Test(late_order, model_that_a_late_order_unloads_is_loaded_again)
{
    late_order_play play(1, 1, 9);
    fill_and_delay(play, order_kind::unload_model, 10000);
    play.simulation.restart(engine_name);
    play.run(8000, {"m1"});
    cr_assert(play.simulation.held("m1"));
    play.run(1900, {"m1"});
    cr_assert(play.any_delayed());
    play.run(200, {"m1"});
    cr_assert_not(play.simulation.held("m1"), "the late order has unloaded another model");
    play.run(3000, {"m1"});
    cr_expect(play.simulation.held("m1"));
}

// Guards against room that is kept although nothing can need it: an order without an answer concerns its
// engine's next run only, so that it delays nothing as long as the engine runs on.
Test(late_order, engine_that_runs_on_keeps_no_room)
{
    late_order_play play(1, 1, 9);
    fill_and_delay(play, order_kind::load_model, 6000);
    play.run(3000, {"m4"});
    cr_expect(play.simulation.held("m4"));
    play.run(3000, {"m5"});
    cr_expect(play.simulation.held("m5"));
    cr_expect(play.simulation.planner.take_held_orders().empty());
}

// Guards against the same in all orders of events: late orders of all kinds, answers that cross a restart,
// restarts and changes of the holder. No engine holds more than fits, and what is asked for is loaded in the
// end.
Test(late_order, random_restarts_and_holders_never_overcommit)
{
    constexpr std::uint64_t seeds = 60;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        load_planner_simulation simulation(seed, 2, 10);
        simulation.planning = false;
        struct sent_order
        {
            load_planner* sender;
            engine_order order;
            std::int64_t at;
            bool answers; ///< Its sender waits for the answer.
        };
        std::vector<sent_order> on_their_way;
        auto& random = simulation.random;
        for (auto& [name, each] : simulation.engines_by_name)
        {
            for (int i = 0; i < 10; ++i)
            {
                each.entry.copies_on_disk.insert("m" + std::to_string(i));
            }
            simulation.publish(each);
        }
        for (int i = 0; i < 1500; ++i)
        {
            simulation.advance(step_ms);
            for (std::size_t j = on_their_way.size(); j-- > 0;)
            {
                if (simulation.ms < on_their_way[j].at)
                {
                    continue;
                }
                sent_order const due = on_their_way[j];
                on_their_way.erase(on_their_way.begin() + static_cast<std::ptrdiff_t>(j));
                engine_order_result const result = simulation.accept_order(due.order);
                if (due.answers)
                {
                    due.sender->on_order_result(simulation.now(), due.order, result);
                }
            }
            cr_assert_not(simulation.overcommitted, "seed %lu at %ld ms", static_cast<unsigned long>(seed),
                          static_cast<long>(simulation.ms));
            simulation.report_demand("m" + std::to_string(random.below(10)), 1);
            simulation.holder->on_demand(
                simulation.now(),
                {"a", "a:1", {{"llm", "m0", "a" + std::to_string(random.below(20)), 2, 1, 0, 1}}, {}});
            if (random.below(60) == 0)
            {
                simulation.restart("e" + std::to_string(random.below(2)));
            }
            if (random.below(200) == 0)
            {
                simulation.hand_over();
            }
            for (planner_action const& step : simulation.holder->plan(simulation.now()))
            {
                if (auto const* const inquiry = std::get_if<engine_inquiry>(&step))
                {
                    simulation.answer_inquiry(*inquiry);
                    continue;
                }
                auto const& order = std::get<engine_order>(step);
                std::uint64_t const fault = random.below(6);
                if (fault == 0)
                {
                    simulation.holder->on_order_result(simulation.now(), order, engine_order_result::unknown);
                }
                std::int64_t const delay = fault == 0 ? 2000 + static_cast<std::int64_t>(random.below(10000))
                                           : fault == 1 ? static_cast<std::int64_t>(random.below(700))
                                                        : 0;
                on_their_way.push_back({simulation.holder, order, simulation.ms + delay, fault != 0});
            }
        }
        for (sent_order const& each : on_their_way)
        {
            each.sender->on_order_result(simulation.now(), each.order, engine_order_result::unknown);
        }
        on_their_way.clear();
        simulation.planning = true;
        for (int i = 0; i < 800 && !simulation.held("m7"); ++i)
        {
            simulation.report_demand("m7", 1, i == 0 ? 1 : 0);
            simulation.advance(step_ms);
        }
        cr_assert(simulation.held("m7"), "seed %lu: the model was not loaded",
                  static_cast<unsigned long>(seed));
    }
}
