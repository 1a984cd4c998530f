#include "tests/wire/partition_fleet.hpp"
#include "tests/wire/small_fleet.hpp"

#include <criterion/criterion.h>

#include <csignal>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace siskinusher;
using namespace siskinusher::standins;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// From this time after the beginning of a cut on, the platform's rule counts.
constexpr milliseconds contact_time{3000};

// The rule: at least two thirds as often as at the other instances, or all but one in fifty.
void expect_served(served_share const& cut, served_share const& other)
{
    cr_assert_geq(cut.sent, 12U);
    cr_assert_geq(other.sent, 12U);
    double const share = static_cast<double>(cut.served) / cut.sent;
    double const other_share = static_cast<double>(other.served) / other.sent;
    cr_expect(share >= other_share * 2.0 / 3.0, "cut off: %u of %u, the other: %u of %u", cut.served,
              cut.sent, other.served, other.sent);
    cr_expect(other_share >= 0.9, "not cut off: %u of %u", other.served, other.sent);
}

void expect_callers_served(partition shape)
{
    partition_fleet fleet(3);
    std::size_t const sound = (fleet.holder() + 1) % 3;
    std::size_t const cut = (fleet.holder() + 2) % 3;
    fleet.cut_off(cut, shape);
    (void)fleet.send_for(cut, contact_time);
    served_share other;
    std::thread beside([&] { other = fleet.send_for(sound, seconds{4}); });
    served_share const at_cut = fleet.send_for(cut, seconds{4});
    beside.join();
    expect_served(at_cut, other);
}

void expect_callers_served_by_one_of_four(unsigned callers_of_instance)
{
    partition_fleet fleet(4);
    std::size_t const sound = (fleet.holder() + 1) % 4;
    std::vector<std::size_t> cut;
    for (std::size_t i = 0; i < 4; ++i)
    {
        if (i != sound)
        {
            cut.push_back(i);
            fleet.cut_off(i, partition::reset);
        }
    }
    std::vector<std::thread> callers;
    callers.reserve(4);
    for (std::size_t const each : cut)
    {
        callers.emplace_back([&fleet, each] { (void)fleet.send_for(each, contact_time); });
    }
    for (std::thread& each : callers)
    {
        each.join();
    }
    std::vector<served_share> shares(4);
    callers.clear();
    for (std::size_t i = 0; i < 4; ++i)
    {
        callers.emplace_back([&, i] { shares[i] = fleet.send_for(i, seconds{4}, callers_of_instance); });
    }
    for (std::thread& each : callers)
    {
        each.join();
    }
    for (std::size_t const each : cut)
    {
        expect_served(shares[each], shares[sound]);
    }
}

} // namespace

// Guards against callers of an instance that is cut off from all servers being served by nobody.
Test(server_partition, callers_are_served_while_connections_are_reset)
{
    expect_callers_served(partition::reset);
}

// Guards against the same when nothing shows the cut but silence.
Test(server_partition, callers_are_served_while_connections_hang)
{
    expect_callers_served(partition::silent);
}

// Guards against the same when the connections that are kept live on and hide the cut.
Test(server_partition, callers_are_served_while_only_new_connections_are_reset)
{
    expect_callers_served(partition::reset_new);
}

// Guards against a fleet whose lease holder is cut off, with most of the other instances.
Test(server_partition, callers_are_served_while_all_but_one_are_cut_off)
{
    expect_callers_served_by_one_of_four(12);
}

// Guards against the same at half of the load, which the remaining instance bears on a busy machine.
Test(server_partition, few_callers_are_served_while_all_but_one_are_cut_off)
{
    expect_callers_served_by_one_of_four(6);
}

// Guards against an instance that stays away from its servers after a cut, and against calls that run twice.
Test(server_partition, instance_serves_by_itself_again_after_a_short_cut)
{
    partition_fleet fleet(3);
    std::size_t const cut = (fleet.holder() + 2) % 3;
    for (int round = 0; round < 2; ++round)
    {
        fleet.cut_off(cut, partition::reset);
        (void)fleet.send_for(cut, seconds{1});
        fleet.cut_off(cut, partition::none);
        (void)fleet.send_for(cut, seconds{1});
    }
    served_share const after = fleet.send_for(cut, seconds{2});
    cr_expect_eq(after.served, after.sent, "%u of %u", after.served, after.sent);
    cr_expect(eventually([&] { return fleet.edge(cut).ready(); }));
    for (auto const& [id, count] : fleet.runs())
    {
        cr_expect_leq(count, 2U, "%s ran %u times\n%s", id.c_str(), count, fleet.log_of_request(id).c_str());
    }
}

// Guards against forwarding in circles, and against requests that wait for their deadline, when no instance
// reaches a server.
Test(server_partition, requests_are_refused_when_all_instances_are_cut_off)
{
    partition_fleet fleet(3);
    for (std::size_t i = 0; i < 3; ++i)
    {
        fleet.cut_off(i, partition::reset);
    }
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < 3; ++i)
    {
        callers.emplace_back([&fleet, i] { (void)fleet.send_for(i, seconds{2}); });
    }
    for (std::thread& each : callers)
    {
        each.join();
    }
    unsigned refused = 0;
    for (unsigned i = 0; i < 10; ++i)
    {
        std::string const id = "late" + std::to_string(i);
        auto const before = std::chrono::steady_clock::now();
        auto const answer = fleet.edge(0).call("POST", "/once/" + id, id, {{"Deadline-Ms", "2000"}});
        cr_expect(std::chrono::steady_clock::now() - before < milliseconds{700});
        refused += answer && answer->status == 503 ? 1 : 0;
    }
    // The others are sent to see whether servers are reached again.
    cr_expect_geq(refused, 8U, "%u of 10\n%s", refused, fleet.log_of_request("late").c_str());
    for (std::size_t i = 0; i < 3; ++i)
    {
        fleet.cut_off(i, partition::none);
    }
    cr_expect(eventually([&] { return fleet.send_for(1, milliseconds{300}).served >= 10; }));
}

// Guards against refusing streams because all servers of another service have ended.
Test(server_partition, streams_are_served_when_all_plain_servers_have_ended)
{
    partition_fleet fleet(2);
    fleet.end_plain_servers();
    served_share const mixed = fleet.send_for(0, seconds{4});
    cr_assert_geq(mixed.sent, 30U);
    // One of three callers asks for streams.
    cr_expect_geq(mixed.served * 3U + 3U, mixed.sent, "%u of %u", mixed.served, mixed.sent);
    cr_expect(fleet.log_of_request("none").find("event=servers_lost") == std::string::npos, "%s",
              fleet.log_of_request("none").c_str());
}
