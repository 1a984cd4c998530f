#include "decision/control_simulation.hpp"
#include "decision/data_centre_lease.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <string>

using namespace siskinusher;
using siskinusher::testing::control_simulation;

namespace
{

/// Three instances and two engines; `n1` starts first and takes the lease.
void start(control_simulation& world)
{
    world.add_model("m", 40, 1);
    world.add_engine("e1", 100, "a", false);
    world.add_engine("e2", 60, "a", false);
    world.add_instance("n1");
    world.run(seconds{3});
    world.add_instance("n2");
    world.add_instance("n3");
    world.run(seconds{8});
    cr_assert_eq(world.holder(), "n1");
    cr_assert_eq(world.record().confirmed.size(), 3U);
}

void cut_all(control_simulation& world)
{
    world.cut = {{"n1", "n2"}, {"n1", "n3"}, {"n2", "n3"}};
}

void expect_no_violation(control_simulation const& world)
{
    cr_assert(world.violation.empty(), "%s", world.violation.c_str());
}

/// Runs for `span` and expects the instance to hold the lease all the time.
void expect_holds(control_simulation& world, std::string const& name, duration span)
{
    for (duration spent{0}; spent < span; spent += milliseconds{200})
    {
        world.run(milliseconds{200});
        cr_assert_eq(world.holder(), name);
    }
    expect_no_violation(world);
}

/// A lease machine of n1 that holds the lease of epoch 4. It has the confirmed member n2, gets messages from
/// the pending member n3, and then loses the store. Runs until it requests promises.
struct outage_round
{
    outage_round()
    {
        std::vector<listed_server> list;
        for (auto const* name : {"n1", "n2", "n3"})
        {
            listed_server server;
            server.name = name;
            server.kind = listed_kind::instance;
            list.push_back(server);
        }
        data_centre_record record;
        record.holder = {"n1", 1};
        record.epoch = 4;
        record.confirmed = {{"n1", 1}, {"n2", 2}};
        record.pending = {{"n3", 3}};
        machine.on_instances(now, list);
        for (int i = 0; i < 100 && asked.empty(); ++i)
        {
            now += milliseconds{50};
            bool const has_lease = machine.lease_until() != steady_time{};
            if (has_lease)
            {
                machine.on_incarnation(now, {"n3", 3});
            }
            outbox out;
            machine.on_tick(now, out);
            for (auto const& item : out)
            {
                if (auto const* call = std::get_if<store_request>(&item))
                {
                    bool const read = std::holds_alternative<store_get>(call->operation);
                    store_result const result = has_lease ? store_result{store_unavailable{}}
                                                : read    ? store_result{store_found{record, 9}}
                                                          : store_result{store_written{10}};
                    outbox ignored;
                    machine.on_store_reply(now, {store_owner::lease, call->tag, "dc/a", result}, ignored);
                }
                else if (auto const* message = std::get_if<send_peer>(&item))
                {
                    auto const* request = std::get_if<promise_request>(&message->message);
                    if (request != nullptr)
                    {
                        asked[message->to] = *request;
                    }
                }
            }
        }
        cr_assert(!asked.empty());
    }

    static data_centre_lease_settings settings()
    {
        data_centre_lease_settings result;
        result.self = {"n1", 1};
        result.data_centre = "a";
        return result;
    }

    data_centre_lease machine{settings(), 1};
    steady_time now{seconds{10}};
    std::map<std::string, promise_request> asked; ///< By instance.
};

} // namespace

// Guards against a holder that loses its lease because the answers to writes that took effect are lost.
Test(lease, a_lost_answer_is_resolved_by_the_nonce)
{
    control_simulation world{11};
    start(world);
    cut_all(world); // Neither relayed writes nor promises are possible.
    world.lose_answer = 0.6;
    expect_holds(world, "n1", seconds{20});
}

// Guards against a lease that ends although only the holder is cut off from the store, and against intents
// that are not recorded in this state.
Test(lease, a_member_relays_the_write_of_a_holder_without_the_store)
{
    control_simulation world{12};
    start(world);
    world.instances.at("n1").reaches_store = false;
    world.run(seconds{2});
    auto const before = world.record().write_nonce;
    expect_holds(world, "n1", seconds{20});
    cr_assert(world.record().write_nonce != before);
    world.send_load_requests_for(seconds{3}, "n2", "m");
    cr_assert_eq(world.replicas("m"), 1U);
    expect_no_violation(world);
}

// Guards against models that cannot be loaded during an outage of the store.
Test(lease, promises_keep_loads_possible_in_an_outage)
{
    control_simulation world{13};
    start(world);
    world.store_up = false;
    expect_holds(world, "n1", seconds{30});
    world.send_load_requests_for(seconds{2}, "n3", "m");
    cr_assert_eq(world.replicas("m"), 1U);
    expect_no_violation(world);
}

// Guards against a holder that keeps the lease although a confirmed member, which may claim it, has not
// promised.
Test(lease, a_silent_member_that_is_not_gone_ends_the_lease_in_an_outage)
{
    control_simulation world{14};
    start(world);
    world.cut = {{"n1", "n2"}};
    world.store_up = false;
    world.run(seconds{7});
    cr_assert(world.holder().empty());
    world.send_load_requests_for(seconds{3}, "n1", "m");
    cr_assert(world.orders.empty());
    expect_no_violation(world);
    world.store_up = true;
    world.run(seconds{10});
    cr_assert(!world.holder().empty());
}

// Guards against a dead member that keeps the holder from extending its lease in an outage.
Test(lease, a_member_proven_gone_needs_no_promise)
{
    control_simulation world{15};
    start(world);
    world.kill("n2");
    world.run(seconds{8}); // The instance list omits it.
    world.store_up = false;
    expect_holds(world, "n1", seconds{20});
}

// Guards against a claim by a new instance that reaches the store while the older members do not and the
// holder relies on their promises.
Test(lease, a_pending_instance_does_not_claim_while_confirmed_members_live)
{
    control_simulation world{16};
    start(world);
    for (auto const* name : {"n1", "n2", "n3"})
    {
        world.instances.at(name).reaches_store = false;
    }
    world.add_instance("n4");
    expect_holds(world, "n1", seconds{30});
}

// Guards against a data centre without a lease holder after all its instances were replaced under new names.
Test(lease, replacing_all_members_at_once_recovers)
{
    control_simulation world{17};
    start(world);
    for (auto const* name : {"n1", "n2", "n3"})
    {
        world.kill(name);
    }
    world.add_instance("x1");
    world.add_instance("x2");
    world.run(seconds{20});
    cr_assert(!world.holder().empty());
    world.send_load_requests_for(seconds{5}, "x1", "m");
    cr_assert_eq(world.replicas("m"), 1U);
    expect_no_violation(world);
}

// Guards against intents of an outage that are lost with their holder: the effect of a late order would not
// be counted.
Test(lease, members_keep_the_intents_of_an_outage)
{
    control_simulation world{18};
    start(world);
    world.store_up = false;
    world.run(seconds{3});
    world.hold_orders = true;
    world.send_load_requests_for(seconds{2}, "n1", "m");
    cr_assert_eq(world.orders.size(), 1U);
    world.kill("n1");
    world.store_up = true;
    for (int i = 0; i < 100 && world.holder().empty(); ++i)
    {
        world.run(milliseconds{100});
    }
    cr_assert(!world.holder().empty());
    world.run(milliseconds{500});
    auto const intents = world.record().intents;
    std::uint64_t const id = world.orders.front().what.what.id;
    cr_assert(
        std::any_of(intents.begin(), intents.end(), [id](intent const& item) { return item.id == id; }));
}

// Guards against a second replica from a late order: the old holder was paused between its lease check and
// the send, the engine ignores epochs, and the successor may not use that engine.
Test(lease, a_late_order_of_a_paused_holder_is_counted_by_the_successor)
{
    control_simulation world{19};
    start(world);
    world.hold_orders = true;
    world.send_load_requests_for(seconds{1}, "n1", "m");
    cr_assert_eq(world.orders.size(), 1U);
    cr_assert_eq(world.orders.front().what.what.engine, "e1");
    world.pause("n1");
    world.config.draining = {"e1"};
    world.apply_config();
    world.run(seconds{9});
    std::string const successor = world.holder();
    cr_assert(!successor.empty());
    auto const held = world.orders.size();
    world.send_load_requests_for(seconds{20}, successor, "m");
    cr_assert_eq(world.orders.size(), held); // The intent of the paused holder counts as the only replica.
    world.deliver_held_orders();
    world.send_load_requests_for(seconds{2}, successor, "m");
    expect_no_violation(world);
    world.resume("n1");
    world.send_load_requests_for(seconds{15}, successor, "m"); // The draining engine unloads its replica.
    expect_no_violation(world);
    cr_assert_eq(world.engines.at("e2").report.models.count("m"), 1U);
}

// Guards against orders of a holder that was paused until after its lease ended and then continues.
Test(lease, a_holder_resumed_after_its_lease_sends_nothing)
{
    control_simulation world{20};
    start(world);
    world.send_load_request("n1", "m");
    world.pause("n1");
    world.run(seconds{10});
    cr_assert(!world.holder().empty());
    world.resume("n1");
    world.run(seconds{1});
    expect_no_violation(world);
    cr_assert(std::none_of(world.orders.begin(), world.orders.end(),
                           [](auto const& sent) { return sent.from == "n1"; }));
}

// Guards against a long takeover after a holder left: it releases its lease, so that nobody has to wait for
// the end.
Test(lease, a_released_lease_is_taken_over_quickly)
{
    control_simulation world{21};
    start(world);
    outbox out;
    auto& node = world.instances.at("n1");
    cr_assert(node.controller->release(world.local_time(node), out));
    cr_assert(!node.controller->holds_lease(world.local_time(node)));
    world.carry_out(node, out);
    world.run(seconds{3});
    cr_assert(!world.holder().empty());
    expect_no_violation(world);
}

// Guards against two holders when a member promises while its own claim is in flight: the claim may take
// effect later, and the member must not act on it.
Test(lease, a_claim_that_takes_effect_after_a_promise_is_not_acted_on)
{
    data_centre_lease_settings settings;
    settings.self = {"n2", 2};
    settings.data_centre = "a";
    data_centre_lease machine{settings, 1};
    data_centre_record record;
    record.holder = {"n1", 1};
    record.epoch = 4;
    record.confirmed = {{"n1", 1}, {"n2", 2}};
    steady_time now{seconds{10}};
    outbox out;
    std::uint64_t claim = 0;
    for (int i = 0; i < 200 && claim == 0; ++i)
    {
        now += milliseconds{50};
        out.clear();
        machine.on_tick(now, out);
        outbox const calls = out;
        for (auto const& call : calls)
        {
            out.clear();
            std::uint64_t const tag = std::get<store_request>(call).tag;
            machine.on_store_reply(now, {store_owner::lease, tag, "dc/a", store_found{record, 9}}, out);
            auto const* sent = out.empty() ? nullptr : std::get_if<store_request>(&out.front());
            claim = sent == nullptr ? 0 : sent->tag;
        }
    }
    cr_assert(claim != 0);
    out.clear();
    machine.on_peer(now, {"n1", 1}, promise_request{4, 1, {}}, out);
    cr_assert(std::get<promise_reply>(std::get<send_peer>(out.front()).message).promised);
    machine.on_store_reply(now, {store_owner::lease, claim, "dc/a", store_written{10}}, out);
    cr_assert(machine.is_recorded_holder());
    cr_assert(!machine.holds(now));
    cr_assert(!machine.holds(now + seconds{7})); // Only a write sent after the promise gives the lease.
}

// Guards against an instance in a restart loop that delays every claim because each start writes to the
// record.
Test(lease, an_instance_that_keeps_restarting_does_not_delay_a_claim)
{
    control_simulation world{22};
    start(world);
    world.kill("n1");
    bool held = false;
    for (int i = 0; i < 5 && !held; ++i)
    {
        world.kill("n3");
        world.add_instance("n3");
        world.run(seconds{3});
        held = !world.holder().empty();
    }
    cr_assert(held);
    expect_no_violation(world);
}

// Guards against a holder that was paused until after its lease ended and then counts promises from before:
// other instances may have claimed the lease since.
Test(lease, promises_received_after_the_lease_ended_do_not_extend_it)
{
    outage_round outage;
    cr_assert(outage.machine.holds(outage.now));
    steady_time const end = outage.machine.lease_until();
    outbox out;
    outage.machine.on_peer(end, {"n2", 2}, promise_reply{4, outage.asked.begin()->second.round, true}, out);
    cr_assert_not(outage.machine.holds(end));
}

// Guards against a missing promise of a member that only the last, unanswered write confirms: if that write
// took effect, the member may claim the lease.
Test(lease, a_member_that_an_unanswered_write_confirms_must_promise_too)
{
    outage_round outage;
    cr_assert_eq(outage.asked.count("n2"), 1U);
    cr_assert_eq(outage.asked.count("n3"), 1U);
}

// Guards invariant I1 (no model has more replicas than the configured number) against a holder without a
// report of an engine: this engine may hold the only replica.
Test(lease, a_new_holder_counts_engines_that_have_not_reported)
{
    control_simulation world{23};
    start(world);
    world.send_load_requests_for(seconds{2}, "n1", "m");
    cr_assert_eq(world.engines.at("e1").report.models.count("m"), 1U);
    world.run(seconds{9}); // The record no longer shows the load.
    cr_assert(world.record().intents.empty());
    world.engines.at("e1").silent = true;
    for (auto const* name : {"n1", "n2", "n3"})
    {
        world.kill(name);
    }
    world.add_instance("x1");
    world.run(seconds{20});
    cr_assert_eq(world.holder(), "x1");
    auto const before = world.orders.size();
    world.send_load_requests_for(seconds{5}, "x1", "m");
    cr_assert_eq(world.orders.size(), before);
    world.engines.at("e1").silent = false;
    world.send_load_requests_for(seconds{5}, "x1", "m");
    expect_no_violation(world);
}

// Guards invariant I1 when another instance takes the lease soon after a load: its reports may be older than
// the load.
Test(lease, a_successor_with_older_reports_counts_a_load_that_has_just_ended)
{
    control_simulation world{24};
    start(world);
    world.engines.at("e1").silent = true;
    world.send_load_requests_for(seconds{2}, "n1", "m");
    cr_assert_eq(world.engines.at("e1").report.models.count("m"), 1U);
    world.run(seconds{3});          // The lease has been renewed since.
    world.config.draining = {"e1"}; // A load now would go to the other engine.
    world.apply_config();
    cr_assert_eq(world.replicas("m"), 1U);

    outbox out;
    auto& node = world.instances.at("n1");
    cr_assert(node.controller->release(world.local_time(node), out));
    world.carry_out(node, out);
    world.run(seconds{3});
    std::string const successor = world.holder();
    cr_assert(!successor.empty());
    world.send_load_requests_for(seconds{10}, successor, "m");
    world.engines.at("e1").silent = false;
    world.send_load_requests_for(seconds{10}, world.holder(), "m");
    expect_no_violation(world);
    cr_assert_eq(world.replicas("m"), 1U);
}
