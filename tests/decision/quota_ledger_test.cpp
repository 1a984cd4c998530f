#include "decision/control_simulation.hpp"
#include "decision/quota_ledger.hpp"

#include <criterion/criterion.h>

#include <map>
#include <memory>
#include <string>
#include <variant>

using namespace siskinusher;
using siskinusher::testing::control_simulation;

namespace
{

/// Two data centres with one instance and two engines each.
void populate(control_simulation& world)
{
    world.config.data_centres = {"a", "b"};
    for (std::string const centre : {"a", "b"})
    {
        world.add_engine("e1" + centre, 100, centre);
        world.add_engine("e2" + centre, 100, centre);
        world.add_instance("n" + centre, centre);
    }
    world.run(seconds{10});
}

unsigned granted_in_all(control_simulation const& world, std::string const& model)
{
    unsigned total = 0;
    for (auto const& row : world.quota_rows(model))
    {
        total += row.second.granted;
    }
    return total;
}

void expect_no_violation(control_simulation const& world)
{
    cr_assert(world.violation.empty(), "%s", world.violation.c_str());
}

} // namespace

// Guards invariant I1 (no model has more replicas than the configured number) across data centres: both want
// the only replica, and the unused grant of one has to move to the other.
Test(quota_ledger, two_data_centres_compete_for_one_replica)
{
    control_simulation world{31};
    world.add_model("m", 40, 1);
    populate(world);
    std::string const owner = world.quota_rows("m")["a"].granted == 1 ? "na" : "nb";
    std::string const without = owner == "na" ? "nb" : "na";
    world.send_load_requests_for(seconds{6}, without, "m"); // The data centre without the grant gets it.
    cr_assert_eq(world.replicas("m"), 1U);
    cr_assert_eq(world.quota_rows("m")[without.substr(1)].granted, 1U);
    for (int i = 0; i < 20; ++i)
    {
        world.send_load_request("na", "m");
        world.send_load_requests_for(milliseconds{200}, "nb", "m");
    }
    cr_assert_eq(world.replicas("m"), 1U);
    cr_assert_eq(granted_in_all(world, "m"), 1U);
    expect_no_violation(world);
}

// Guards against replicas that stay loaded beyond a lowered bound, and against a grant that is lowered before
// the unload.
Test(quota_ledger, a_lowered_bound_unloads_replicas)
{
    control_simulation world{32};
    world.add_model("m", 40, 4);
    populate(world);
    for (int i = 0; i < 40; ++i)
    {
        world.send_load_request("na", "m");
        world.send_load_requests_for(milliseconds{200}, "nb", "m");
    }
    cr_assert_eq(world.replicas("m"), 4U);
    world.check_bounds = false; // The bound is exceeded until the unloads are done.
    world.config.models.at("m").max_replicas = 1;
    world.apply_config();
    for (int i = 0; i < 100; ++i)
    {
        world.run(milliseconds{100});
        cr_assert_geq(granted_in_all(world, "m"), world.replicas("m"));
    }
    cr_assert_eq(world.replicas("m"), 1U);
    cr_assert_eq(granted_in_all(world, "m"), 1U);
    expect_no_violation(world);
}

// Guards against more simultaneous loads than the row of the weight store grants.
Test(quota_ledger, loads_at_once_stay_within_the_weight_store_row)
{
    control_simulation world{33};
    world.add_model("m1", 40, 4);
    world.add_model("m2", 40, 4);
    world.config.weight_store = {100.0, 1}; // One load at a time in the whole fleet.
    populate(world);
    world.run(seconds{5});
    world.hold_orders = true;
    for (int i = 0; i < 30; ++i)
    {
        world.send_load_request("na", "m1");
        world.send_load_requests_for(milliseconds{200}, "nb", "m2");
    }
    cr_assert_eq(world.orders.size(), 1U);
    world.deliver_held_orders();
    world.send_load_requests_for(seconds{5}, "na", "m1");
    world.send_load_requests_for(seconds{5}, "nb", "m2");
    cr_assert_geq(world.replicas("m1"), 1U);
    cr_assert_geq(world.replicas("m2"), 1U);
    expect_no_violation(world);
}

// Guards invariant I1 against a write in flight of an earlier holder: until a write of this epoch has taken
// effect, the earlier one may lower the grant below what this holder would load. Guards likewise against a
// write of this holder whose answer was lost.
Test(quota_ledger, grants_need_a_write_of_this_epoch_and_an_unanswered_write_counts_if_lower)
{
    auto config = std::make_shared<fleet_config>();
    config->data_centres = {"a", "b"};
    config->models["m"].name = "m";
    config->models["m"].max_replicas = 4;
    quota_ledger ledger{"a", 1};
    ledger.on_config(config);
    quota_record record;
    record.rows["m"]["a"] = {3, 3};
    record.rows["m"]["b"] = {1, 1};
    steady_time now{seconds{10}};
    auto const next_call = [&](std::uint64_t epoch, quota_demand demand)
    {
        outbox out;
        for (int i = 0; i < 100 && out.empty(); ++i)
        {
            now += milliseconds{50};
            ledger.on_tick(now, true, epoch, {{"m", demand}}, out);
        }
        return std::get<store_request>(out.at(0));
    };
    auto const answer = [&](store_request const& request, store_result const& result) {
        ledger.on_store_reply(now, {store_owner::quota, request.tag, request.key, result});
    };
    answer(next_call(1, {3, 3}), store_found{record, 5});
    cr_assert_eq(ledger.usable("m"), 0U);
    answer(next_call(1, {3, 3}), store_written{6});
    cr_assert_eq(ledger.usable("m"), 3U);
    record.rows["m"]["b"] = {1, 2}; // The other data centre wants one more, and this one needs only two.
    answer(next_call(1, {2, 2}), store_found{record, 7});
    store_request const lowering = next_call(1, {2, 2});
    cr_assert(std::holds_alternative<store_put>(lowering.operation));
    cr_assert_eq(ledger.usable("m"), 2U); // The write is in flight.
    answer(lowering, store_unavailable{});
    cr_assert_eq(ledger.usable("m"), 2U); // The write may have taken effect.
    next_call(2, {2, 2});
    cr_assert_eq(ledger.usable("m"), 0U); // In a new epoch, a write has to take effect first.
}

// Guards against rows that are still considered up to date after the demand or the configured number has
// changed.
Test(quota_ledger, a_change_of_demand_or_bound_is_written_at_once)
{
    quota_ledger ledger("a", 1);
    auto const set_bound = [&](unsigned bound)
    {
        auto config = std::make_shared<fleet_config>();
        config->data_centres = {"a", "b"};
        config->models["m"].max_replicas = bound;
        ledger.on_config(config);
    };
    steady_time now{seconds{100}};
    object_version version = 0;
    std::map<std::string, quota_demand> demand;
    // Answers the calls of one tick, which reads or writes; returns whether it wrote.
    auto const wrote = [&]
    {
        outbox out;
        bool written = false;
        now += milliseconds{250};
        ledger.on_tick(now, true, 1, demand, out);
        for (action const& item : out)
        {
            auto const& request = std::get<store_request>(item);
            bool const put = std::holds_alternative<store_put>(request.operation);
            version += put ? 1 : 0;
            written = written || put;
            store_reply answer{request.owner, request.tag, request.key, store_absent{}};
            if (put)
            {
                answer.result.emplace<store_written>(store_written{version});
            }
            ledger.on_store_reply(now, answer);
        }
        return written;
    };
    set_bound(4);
    cr_assert(!wrote() && wrote(), "the first call reads, the second writes the fair share");
    cr_assert(!wrote() && !wrote(), "no write is needed");
    demand["m"] = {2, 6};
    cr_assert(wrote() || wrote(), "the higher demand is written");
    cr_assert_not(wrote());
    set_bound(10);
    cr_assert(wrote() || wrote(), "the higher bound allows a larger grant");
}
