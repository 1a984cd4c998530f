#include "decision/engine_ledger.hpp"

#include <criterion/criterion.h>

#include <string>

using namespace siskinusher;

namespace
{

steady_time const start{seconds{100}};
instance_id const self{"n1", 1};
instance_id const other{"n2", 2};

/// One engine of 100 bytes with boot id 7, whose report is at revision 1.
struct ledger_fixture
{
    explicit ledger_fixture(bool checks_epoch = false)
    {
        listed_server server;
        server.name = "e";
        server.data_centre = "a";
        server.checks_epoch = checks_epoch;
        ledger.on_instances(start, {server});
        report(start, 7, 1, {});
    }

    void report(steady_time now, std::uint64_t boot, std::uint64_t revision,
                std::map<std::string, std::uint64_t> models)
    {
        engine_report what;
        what.name = "e";
        what.boot_id = boot;
        what.revision = revision;
        what.memory_bytes = 100;
        what.prefix_cache_bytes = 10;
        what.models = std::move(models);
        ledger.on_report(now, what);
    }

    static intent make(std::uint64_t id, order_kind kind, std::string subject, std::uint64_t bytes,
                       instance_id issuer = self)
    {
        return {id, std::move(issuer), "e", kind, std::move(subject), bytes};
    }

    void done(std::uint64_t id, order_kind kind, std::string const& subject, std::uint64_t bytes,
              std::uint64_t revision)
    {
        cr_assert(ledger.propose(make(id, kind, subject, bytes), true));
        ledger.mark_sent(start, id, 5);
        cr_assert(ledger.on_outcome(start, {id, order_result::done, 7, revision}));
    }

    std::size_t released(steady_time now)
    {
        return ledger.release(now, [this](auto const&) { return gone; }).size();
    }

    std::uint64_t used() const { return ledger.engines().at("e").used_bytes; }

    engine_ledger ledger{"a", 0.01};
    std::optional<steady_time> gone; ///< Since when the predecessor is known to have ended.
};

} // namespace

// Guards invariants I2 and I1 against a report that lags behind several orders: it must neither restore an
// unloaded model nor free the memory of a loaded one.
Test(engine_ledger, a_report_that_lags_behind_three_orders_changes_nothing)
{
    ledger_fixture f;
    f.done(1, order_kind::load_model, "x", 30, 2);
    f.done(2, order_kind::load_model, "y", 40, 3);
    f.done(3, order_kind::unload_model, "x", 0, 4);
    f.report(start, 7, 2, {{"x", 30}});
    cr_assert_eq(f.used(), 50U);
    cr_assert_eq(f.ledger.replicas("x"), 0U);
    cr_assert_eq(f.ledger.replicas("y"), 1U);
    f.report(start, 7, 4, {{"y", 45}}); // Newer than all orders: the report takes precedence.
    cr_assert_eq(f.used(), 55U);
    f.report(start, 7, 3, {{"x", 30}, {"y", 40}}); // An older report that arrives late.
    cr_assert_eq(f.ledger.replicas("x"), 0U);
}

// Guards invariant I2 against two loads that each fit into the memory, but not together.
Test(engine_ledger, memory_is_reserved_before_the_order_and_kept_until_proof)
{
    ledger_fixture f;
    cr_assert(f.ledger.propose(ledger_fixture::make(1, order_kind::load_model, "x", 50), true));
    cr_assert_not(f.ledger.propose(ledger_fixture::make(2, order_kind::load_model, "y", 50), true));
    f.ledger.mark_sent(start, 1, 5);
    f.ledger.on_outcome(start, {1, order_result::unknown, 0, 0});
    f.report(start + seconds{1}, 7, 1, {});
    cr_assert_eq(f.released(start + seconds{2}), 0U);
    cr_assert_eq(f.used(), 60U);                      // The order may still take effect.
    cr_assert_eq(f.released(start + seconds{6}), 0U); // No report since.
    f.report(start + seconds{9}, 7, 1, {});
    cr_assert_eq(f.released(start + seconds{9}), 1U);
    cr_assert_eq(f.used(), 10U);
}

// Guards against contents that stay after a restart of the engine, and against intents that are lost with it.
Test(engine_ledger, a_restart_replaces_the_contents_and_keeps_intents)
{
    ledger_fixture f;
    f.done(1, order_kind::load_model, "x", 30, 2);
    cr_assert(f.ledger.propose(ledger_fixture::make(2, order_kind::load_model, "y", 20), true));
    f.ledger.mark_sent(start, 2, 5);
    f.report(start, 8, 1, {{"z", 5}});
    cr_assert_eq(f.used(),
                 65U); // The contents of both runs: the report may be a late one of an earlier run.
    cr_assert_not(f.ledger.propose(ledger_fixture::make(3, order_kind::load_model, "w", 1), true));
    f.report(start + seconds{3}, 8, 1, {{"z", 5}});
    cr_assert_eq(f.used(), 35U);
    cr_assert_eq(f.ledger.replicas("x"), 0U);
    cr_assert_eq(f.ledger.replicas("y"), 1U);
    cr_assert(f.ledger.propose(ledger_fixture::make(3, order_kind::load_model, "w", 1), true));
}

// Guards invariant I2 against a late report of an earlier run of the engine that is taken for the current
// run: the engine's memory would count as free, and all later reports and acknowledgements would be ignored
// as old.
Test(engine_ledger, a_late_report_of_an_earlier_run_frees_nothing)
{
    ledger_fixture f;
    f.report(start, 7, 2, {{"x", 80}});
    f.report(start + seconds{1}, 6, 9, {});
    cr_assert_eq(f.used(), 90U);
    cr_assert_eq(f.ledger.replicas("x"), 1U);
    for (int i = 2; i < 6; ++i)
    {
        f.report(start + seconds{i}, 7, 2, {{"x", 80}});
    }
    cr_assert_eq(f.used(), 90U);
    cr_assert_not(f.ledger.engines().at("e").run_uncertain);
}

// Guards against releasing an adopted intent while its order can still take effect.
Test(engine_ledger, an_adopted_intent_needs_an_end_and_a_later_report)
{
    for (bool const settled : {true, false})
    {
        ledger_fixture f;
        f.ledger.adopt(start, {ledger_fixture::make(1, order_kind::load_model, "x", 30, other)}, self, 5);
        f.report(start + seconds{60}, 7, 1, {});
        cr_assert_eq(f.released(start + seconds{60}), 0U); // The issuer may be paused.
        if (settled)
        {
            f.ledger.on_settled(start + seconds{60}, 1);
        }
        f.gone = settled ? std::nullopt : std::optional<steady_time>{start + seconds{60}};
        f.report(start + seconds{62}, 7, 1, {});
        cr_assert_eq(f.released(start + seconds{62}), 0U); // The report may be older than the end.
        cr_assert_eq(f.ledger.replicas("x"), 1U);
        f.report(start + milliseconds{65500}, 7, 1, {});
        // An order can take effect until 5 s after its issuer ended, and the report must be later than that.
        cr_assert_eq(f.released(start + milliseconds{65500}), settled ? 1U : 0U);
        f.report(start + seconds{70}, 7, 1, {});
        cr_assert_eq(f.released(start + seconds{70}), settled ? 0U : 1U);
        cr_assert_eq(f.ledger.replicas("x"), 0U);
    }
}

// Guards against a needless wait when the engine itself refuses late orders of an earlier holder, and against
// relying on that after a restart, when the engine no longer knows the epoch.
Test(engine_ledger, an_acknowledged_order_of_the_new_epoch_ends_adopted_intents)
{
    for (bool const checks_epoch : {true, false})
    {
        ledger_fixture f{checks_epoch};
        f.ledger.adopt(start, {ledger_fixture::make(1, order_kind::load_model, "x", 30, other)}, self, 5);
        f.done(2, order_kind::load_model, "y", 30, 2);
        cr_assert_eq(f.released(start), 0U);
        f.report(start, 7, 2, {{"y", 30}});
        cr_assert_eq(f.released(start), checks_epoch ? 1U : 0U);
    }
    ledger_fixture f{true};
    f.ledger.adopt(start, {ledger_fixture::make(1, order_kind::load_model, "x", 30, other)}, self, 5);
    f.done(2, order_kind::load_model, "y", 30, 2);
    f.report(start, 8, 2, {});
    cr_assert_eq(f.released(start + seconds{1}), 0U);
}

// Guards invariant I1 against an engine whose last report is so old that an earlier holder may have loaded a
// model since.
Test(engine_ledger, an_engine_without_a_recent_report_may_hold_any_model)
{
    ledger_fixture f;
    f.report(start, 7, 2, {{"x", 30}});
    cr_assert_eq(f.ledger.count_engines_without_recent_report(start + seconds{4}, {}, "m"), 0U);
    cr_assert_eq(f.ledger.count_engines_without_recent_report(start + seconds{6}, {}, "m"), 1U);
    cr_assert_eq(f.ledger.count_engines_without_recent_report(start + seconds{6}, {"other pool"}, "m"), 0U);
    cr_assert_eq(f.ledger.count_engines_without_recent_report(start + seconds{6}, {}, "x"),
                 0U); // Counted as a replica.
    f.report(start + seconds{7}, 7, 2, {{"x", 30}});
    cr_assert_eq(f.ledger.count_engines_without_recent_report(start + seconds{6}, {}, "m"), 0U);
}

// Guards against too many loads from the weight store at once: a report lists a model as soon as its load was
// accepted, so the load must count as in flight until its answer has come.
Test(engine_ledger, a_reported_load_counts_as_in_flight_until_its_answer)
{
    ledger_fixture f;
    cr_assert(f.ledger.propose(ledger_fixture::make(1, order_kind::load_model, "x", 30), true));
    f.ledger.mark_sent(start, 1, 5);
    f.report(start, 7, 2, {{"x", 30}});
    cr_assert_eq(f.ledger.loads_in_flight(order_kind::load_model), 1U);
    cr_assert(f.ledger.on_outcome(start, {1, order_result::done, 7, 3}));
    cr_assert_eq(f.ledger.loads_in_flight(order_kind::load_model), 0U);
}
