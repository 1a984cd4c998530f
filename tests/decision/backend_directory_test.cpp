#include "decision/backend_directory.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace siskinusher;

namespace
{

backend_entry server(std::string const& name, bool leaving = false)
{
    backend_entry entry;
    entry.name = name;
    entry.service = "llm";
    entry.address = "10.0.0.1:80";
    entry.data_centre = "a";
    entry.leaving = leaving;
    entry.models = {{"m0", {"a1"}}};
    entry.copies_on_disk = {"m0", "m1"};
    return entry;
}

store_revision at(std::uint64_t number)
{
    return {1, number};
}

template <typename Update>
std::vector<std::string> changed_names(Update const& update)
{
    std::vector<std::string> names;
    for (revised_backend const& each : update.changed)
    {
        names.push_back(each.entry.name);
    }
    std::sort(names.begin(), names.end());
    return names;
}

using names = std::vector<std::string>;

} // namespace

// Guards against a peer that misses a change, and against replies that repeat all servers each time.
Test(backend_directory, peer_gets_the_changes_since_its_position)
{
    backend_directory holder("h1");
    holder.put(server("e1"), at(5));
    holder.put(server("e2"), at(6));
    backend_directory peer("p1");
    backend_update const first = holder.changes_since({}, at(6));
    cr_assert(first.complete);
    cr_assert_eq(changed_names(peer.merge(first)), (names{"e1", "e2"}));
    cr_assert(first.changed[0].entry.copies_on_disk.empty(), "copies are left out");
    holder.put(server("e2", true), at(8));
    holder.remove("e1");
    backend_update const second = holder.changes_since(first.position, at(9));
    cr_assert_not(second.complete);
    merge_result const effect = peer.merge(second);
    cr_assert_eq(changed_names(effect), (names{"e2"}));
    cr_assert_eq(effect.removed, (names{"e1"}));
    backend_update const third = holder.changes_since(second.position, at(9));
    cr_assert(third.changed.empty() && third.removed.empty());
}

// Guards against a change of copies alone, which only the holder needs, being sent to the whole fleet.
Test(backend_directory, copies_are_not_sent_to_peers)
{
    backend_directory holder("h1");
    holder.put(server("e1"), at(5));
    update_position const before = holder.changes_since({}, at(5)).position;
    backend_entry more = server("e1");
    more.copies_on_disk.insert("m2");
    cr_assert(holder.put(more, at(6)) == directory_change::same);
    cr_assert_eq(holder.changes_since(before, at(6)).changed.size(), 0);
}

// Guards against a new lease holder with a slightly older state that reverts newer entries of a peer.
Test(backend_directory, older_state_does_not_replace_a_newer_one)
{
    backend_directory peer("p1");
    peer.put(server("e1", true), at(20));
    peer.put(server("e2"), at(21));
    backend_directory holder("h2");
    holder.put(server("e1"), at(10));
    merge_result const effect = peer.merge(holder.changes_since({}, at(15)));
    cr_assert(effect.changed.empty(), "the peer has e1 as leaving since revision 20");
    cr_assert(effect.removed.empty(), "e2 was written after the holder's state");
}

// Guards against a peer that never drops a removed server because it missed the removal.
Test(backend_directory, complete_update_removes_servers_that_it_does_not_list)
{
    backend_directory peer("p1");
    peer.put(server("e1"), at(3));
    peer.put(server("e2"), at(4));
    backend_directory holder("h1");
    holder.put(server("e2"), at(4));
    cr_assert_eq(peer.merge(holder.changes_since({"h0", 7}, at(9))).removed, (names{"e1"}));
}

// Guards against a server that has left and gets requests again: a lease holder that stood still sends the
// list that it had before.
Test(backend_directory, removed_server_is_not_added_again_by_an_older_list)
{
    backend_directory holder("h1");
    holder.put(server("e1"), at(5));
    holder.put(server("e2"), at(9));
    backend_update const older = holder.changes_since({}, at(10));
    backend_directory watching("p1");
    watching.merge(older);
    cr_assert(watching.remove("e1", at(20)));
    cr_assert(watching.merge(older).changed.empty(), "removed by the own watch");
    backend_directory told("p2");
    told.merge(older);
    update_position const position = watching.changes_since({}, at(10)).position;
    watching.remove("e2", at(21));
    backend_update const removal = watching.changes_since(position, at(22));
    cr_assert_eq(told.merge(removal).removed, (names{"e2"}));
    cr_assert_eq(told.merge(watching.changes_since({}, at(23))).removed, (names{"e1"}));
    cr_assert(told.merge(older).changed.empty(), "removed by a standby's updates");
    backend_directory later("h2");
    later.put(server("e1"), at(15));
    cr_assert(told.merge(later.changes_since({}, at(16))).changed.empty(), "changed before it was removed");
    later.put(server("e1"), at(30));
    cr_assert_eq(changed_names(told.merge(later.changes_since({}, at(30)))), (names{"e1"}), "it is back");
}

// Guards against a server in use that is dropped because a peer tells late that it had been gone, and against
// a removal that is then missed for good.
Test(backend_directory, server_that_is_back_is_not_removed_by_an_older_removal)
{
    backend_directory sender("h1");
    sender.put(server("e1"), at(5));
    update_position const position = sender.changes_since({}, at(5)).position;
    sender.remove("e1", at(7));
    backend_directory peer("p1");
    peer.put(server("e1"), at(9));
    merge_result const result = peer.merge(sender.changes_since(position, at(7)));
    cr_assert(result.removed.empty());
    cr_assert_not(result.whole, "the next update must be complete");
    cr_assert_eq(peer.merge(sender.changes_since({}, at(12))).removed, (names{"e1"}));
}

// Guards against a leaving server that gets requests while lapsed entries may come back: the list said that
// it leaves, and was left out as a whole.
Test(backend_directory, list_that_proves_no_absence_still_tells_which_servers_leave)
{
    backend_directory peer("p1");
    peer.put(server("e1"), at(3));
    peer.put(server("e2"), at(4));
    backend_directory holder("h1");
    holder.put(server("e1", true), at(8));
    merge_result const result = peer.merge(holder.changes_since({}, at(9)), unlisted_servers::kept);
    cr_assert_eq(changed_names(result), (names{"e1"}));
    cr_assert(result.removed.empty());
    cr_assert_not(result.whole, "the next update must be complete");
}

// Guards against memory that grows with each replaced server, and against a peer that is far behind and
// misses a removal that is no longer kept.
Test(backend_directory, peer_that_is_far_behind_gets_a_complete_update)
{
    backend_directory holder("h1");
    holder.put(server("kept"), at(1));
    update_position const early = holder.changes_since({}, at(1)).position;
    for (unsigned i = 0; i < 2000; ++i)
    {
        std::string const name = "e" + std::to_string(i);
        holder.put(server(name), at(i + 2));
        holder.remove(name);
    }
    backend_update const update = holder.changes_since(early, at(3000));
    cr_assert(update.complete);
    cr_assert_eq(changed_names(update), (names{"kept"}));
}

// Guards against a position of an earlier process of the same machine that is taken for one of this process.
Test(backend_directory, position_of_another_source_gets_a_complete_update)
{
    backend_directory holder("h1");
    holder.put(server("e1"), at(1));
    update_position other = holder.changes_since({}, at(1)).position;
    other.source = "h1-earlier";
    cr_assert(holder.changes_since(other, at(1)).complete);
    cr_assert(holder.changes_since({"h1", 99}, at(1)).complete);
}

// Guards against entries that are ignored because their revisions were given out before.
Test(backend_directory, entry_of_a_later_era_replaces_one_with_a_higher_number)
{
    backend_directory directory("h1");
    directory.put(server("e1"), {1, 50});
    cr_assert(directory.put(server("e1", true), {2, 10}) == directory_change::changed);
    cr_assert(directory.put(server("e1"), {1, 60}) == directory_change::outdated);
}

// Guards against dropping new servers because the holder has not noticed the restoration yet.
Test(backend_directory, complete_update_of_an_earlier_era_removes_nothing_of_a_later_one)
{
    backend_directory peer("p1");
    peer.put(server("e1"), {2, 10});
    backend_directory const holder("h1");
    cr_assert(peer.merge(holder.changes_since({}, {1, 90})).removed.empty());
    cr_assert_eq(peer.merge(holder.changes_since({}, {2, 11})).removed, (names{"e1"}));
}

// Guards against a server that is used again because the copy is from before it announced its end.
Test(backend_directory, server_does_not_take_back_its_end_in_a_copy)
{
    backend_entry ready = server("e1");
    ready.started_at = 7;
    backend_entry leaving = server("e1", true);
    leaving.started_at = 7;
    backend_directory directory("h1");
    directory.put(leaving, {1, 50});
    cr_assert(directory.settled(ready, {2, 10}).leaving);
    cr_assert(directory.settled(ready, {1, 50}).leaving, "the same revision is no news");
    cr_assert_not(directory.settled(ready, {1, 51}).leaving, "the server itself wrote this");
    directory.remove("e1");
    cr_assert(directory.settled(ready, {2, 10}).leaving, "also when it had left");
    backend_entry started_again = ready;
    started_again.started_at = 8;
    cr_assert_not(directory.settled(started_again, {2, 11}).leaving);
    backend_directory holder("h2");
    holder.put(ready, {2, 10});
    merge_result const effect = directory.merge(holder.changes_since({}, {2, 10}));
    cr_assert(effect.changed.size() == 1 && effect.changed[0].entry.leaving, "also when a peer reports it");
}
