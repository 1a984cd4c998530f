#include "decision/membership_table.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace siskinusher;

namespace
{

member seed(std::string const& name, std::string const& data_centre = "a")
{
    return {{name, 0}, data_centre, "127.0.0.1:1", "127.0.0.1:2", false};
}

listed_server listed(std::string const& name, listed_state state = listed_state::live)
{
    return {name, "127.0.0.9:1", "127.0.0.9:2", listed_kind::instance, "a", "", state, true};
}

heartbeat heartbeat_of(std::string const& data_centre = "a", bool draining = false)
{
    heartbeat beat;
    beat.data_centre = data_centre;
    beat.draining = draining;
    return beat;
}

bool is_live(membership_table const& table, std::string const& name)
{
    auto const live = table.live();
    return std::any_of(live.begin(), live.end(), [&](member const& m) { return m.id.name == name; });
}

/// Ticks of 50 ms up to and including `end`.
void tick_until(membership_table& table, steady_time& now, steady_time end)
{
    for (; now < end; now += milliseconds{50})
    {
        table.on_tick(now);
    }
    table.on_tick(now);
}

} // namespace

// Guards against a dead instance that stays live, and against one that is considered dead before 3 s of
// silence.
Test(membership_table, a_member_silent_for_three_seconds_is_dead)
{
    membership_table table({"a-1", 1}, "a", {seed("a-1"), seed("a-2"), seed("a-3")});
    steady_time now{seconds{50}};
    table.on_tick(now);
    cr_assert_eq(table.live().size(), 3);
    cr_assert(table.live().at(0).id.incarnation == 1 && table.live().at(0).address == "127.0.0.1:1");
    steady_time const start = now;
    for (int i = 1; i <= 4; ++i)
    {
        tick_until(table, now, start + i * seconds{1} - milliseconds{50});
        table.on_heartbeat(now, {"a-2", 7}, heartbeat_of());
        cr_assert_eq(is_live(table, "a-3"), i < 4);
    }
    cr_assert(is_live(table, "a-2") && !is_live(table, "a-3"));
    table.on_heartbeat(now, {"a-3", 8}, heartbeat_of());
    cr_assert(is_live(table, "a-3"));
}

// Guards against live members that are considered dead in a large data centre, where each instance gets a
// heartbeat only every third second, and against partitions that never end because dead members get none.
Test(membership_table, heartbeat_rotation_reaches_everyone_and_extends_the_allowed_silence)
{
    std::vector<member> seeds;
    for (int i = 2; i <= 33; ++i)
    {
        seeds.push_back(seed("a-" + std::to_string(i)));
    }
    seeds.push_back(seed("b-1", "b"));
    seeds.push_back(seed("b-2", "b"));
    membership_table table({"a-1", 1}, "a", seeds);
    steady_time now{seconds{50}};
    table.on_tick(now);
    std::map<std::string, int> sent;
    for (int i = 0; i < 6; ++i)
    {
        auto const targets = table.heartbeat_targets();
        cr_assert_eq(targets.size(), 13);
        for (auto const& name : targets)
        {
            ++sent[name];
        }
    }
    for (auto const& each : seeds)
    {
        cr_assert_geq(sent[each.id.name], 2);
    }
    steady_time const start = now;
    tick_until(table, now, start + milliseconds{4950});
    cr_assert_eq(table.live().size(), 35);
    tick_until(table, now, start + seconds{5});
    // Members of data centre b may be silent for longer: their heartbeats are due every 33 s.
    cr_assert_eq(table.live().size(), 3);
    cr_assert_eq(table.heartbeat_targets().size(), 13);
}

// Guards against a late heartbeat of a replaced process that changes the state of its successor.
Test(membership_table, a_new_incarnation_replaces_the_old_one)
{
    membership_table table({"a-1", 1}, "a", {seed("a-2")});
    steady_time const now{seconds{50}};
    table.on_heartbeat(now, {"a-2", 7}, heartbeat_of("a", true));
    cr_assert(table.live().at(1).draining);
    table.on_heartbeat(now, {"a-2", 3}, heartbeat_of());
    table.on_heartbeat(now, {"a-2", 7}, heartbeat_of("a", true));
    cr_assert(table.live().at(1).id.incarnation == 3 && !table.live().at(1).draining);
}

// Guards against a member that is removed because a lagging list omits it, or kept although it is gone.
Test(membership_table, the_instance_list_adds_marks_and_removes_members)
{
    membership_table table({"a-1", 1}, "a", {});
    steady_time now{seconds{50}};
    table.on_tick(now);
    table.on_instances(now, {listed("a-1"), listed("a-2"), listed("a-3", listed_state::leaving)});
    auto const live = table.live();
    cr_assert(live.size() == 3 && live.at(0).address == "127.0.0.9:1" && live.at(1).address == "127.0.0.9:1");
    cr_assert(live.at(2).draining, "a leaving member stays a peer and is marked");
    table.on_heartbeat(now, {"a-2", 7}, heartbeat_of());
    table.on_instances(now, {listed("a-1")});
    cr_assert(is_live(table, "a-2"));
    steady_time const end = now + seconds{3};
    tick_until(table, now, end);
    cr_assert_eq(table.live().size(), 1);
    cr_assert(table.heartbeat_targets().empty());
}

// Guards against an instance that considers all others dead when it continues after a pause.
Test(membership_table, a_pause_of_this_instance_makes_no_member_dead)
{
    membership_table table({"a-1", 1}, "a", {seed("a-2")});
    steady_time now{seconds{50}};
    table.on_tick(now);
    table.on_heartbeat(now, {"a-2", 7}, heartbeat_of());
    now += seconds{30};
    table.on_tick(now);
    cr_assert(is_live(table, "a-2"));
    steady_time const end = now + seconds{3};
    tick_until(table, now, end);
    cr_assert_not(is_live(table, "a-2"));
}

// Guards against a change of the members that the revision does not show: this instance would still send work
// to a dead, restarted or draining member and count it as a home.
Test(membership_table, revision_increases_with_every_change_of_the_live_members)
{
    membership_table table({"a-1", 1}, "a", {seed("a-2")});
    steady_time now{seconds{50}};
    table.on_tick(now);
    std::uint64_t last = table.revision();
    auto const increased = [&] { return std::exchange(last, table.revision()) < table.revision(); };
    table.on_heartbeat(now, {"a-2", 7}, heartbeat_of());
    cr_assert(increased(), "its incarnation is known now");
    table.on_heartbeat(now, {"a-2", 7}, heartbeat_of());
    cr_assert_not(increased(), "the same heartbeat changes nothing");
    table.on_heartbeat(now, {"a-2", 7}, heartbeat_of("a", true));
    cr_assert(increased(), "it drains");
    table.on_heartbeat(now, {"a-2", 8}, heartbeat_of());
    cr_assert(increased(), "it restarted");
    table.on_heartbeat(now, {"a-3", 1}, heartbeat_of());
    cr_assert(increased(), "a-3 is new");
    table.on_instances(now, {listed("a-2", listed_state::leaving)});
    cr_assert(increased(), "a-2 leaves");
    steady_time const end = now + seconds{3};
    tick_until(table, now, end);
    cr_assert(increased() && table.live().size() == 1, "both are dead");
    table.on_heartbeat(now, {"a-2", 8}, heartbeat_of());
    cr_assert(increased() && is_live(table, "a-2"), "it is back");
}
