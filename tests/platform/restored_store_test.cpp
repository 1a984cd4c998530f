#include "tests/adapters/tcp_relay.hpp"
#include "tests/wire/small_fleet.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace siskinusher::standins;

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using steady = std::chrono::steady_clock;

// Within this time after its acknowledgement a configuration is in force, and a leaving server gets nothing
// new.
constexpr milliseconds change_time{2500};
// An instance is bound by that from this time after its start.
constexpr milliseconds contact_time{3000};

// The example's configuration with one more route for each version after the first.
json config_with_routes(std::uint64_t version)
{
    json config = example_config(version);
    for (std::uint64_t each = 2; each <= version; ++each)
    {
        json route = config["routes"][1];
        route["name"] = "added-" + std::to_string(each);
        route["path_prefix"] = "/added-" + std::to_string(each) + "/";
        config["routes"].push_back(route);
    }
    return config;
}

/// Three instances before two plain servers and two engines, with a store that can go back to a copy.
class restored_fleet
{
public:
    restored_fleet()
    {
        write_config(1);
        for (unsigned i = 0; i < 3; ++i)
        {
            edges_.push_back(std::make_unique<edge_child>("edge-" + std::to_string(i), store.address()));
        }
        for (auto const& edge : edges_)
        {
            cr_assert(edge->wait_ready(), "%s", edge->log_text().c_str());
        }
        std::this_thread::sleep_for(seconds{1}); // Each instance follows the lease holder.
    }

    void write_config(std::uint64_t version) { store.write("config", "main", config_with_routes(version)); }

    /// Raises the store's revision, so that after a restoration the next writes get revisions that were given
    /// out before.
    void write_elsewhere(unsigned count)
    {
        for (unsigned i = 0; i < count; ++i)
        {
            store.write("elsewhere", "x", {{"count", ++elsewhere_}});
        }
    }

    /// Keeps a copy, then brings version 2 in force, by a revision that follows `count` others.
    void write_version_2_after_the_copy(unsigned count)
    {
        store.keep_copy();
        write_elsewhere(count);
        write_config(2);
        expect_in_force(2, "before the restoration");
    }

    /// The store is away for the time and comes back from the copy.
    void restore(milliseconds away)
    {
        store.set_mode(store_standin::mode::silent);
        std::this_thread::sleep_for(away);
        store.restore();
        store.set_mode(store_standin::mode::up);
    }

    /// Names the instances that answer 404 on the route that the version added.
    std::string without_route_of(std::uint64_t version)
    {
        std::string missing;
        for (std::size_t i = 0; i < edges_.size(); ++i)
        {
            auto const answer = edges_[i]->call("GET", "/added-" + std::to_string(version) + "/1",
                                                "r" + std::to_string(++last_id_));
            if (!answer || answer->status != 200)
            {
                missing += std::to_string(i) + " ";
            }
        }
        return missing;
    }

    void expect_in_force(std::uint64_t version, char const* when, milliseconds time = change_time)
    {
        bool const in_force = eventually([&] { return without_route_of(version).empty(); }, time);
        cr_expect(in_force, "%s: version %d is not in force at the instances %s", when,
                  static_cast<int>(version), without_route_of(version).c_str());
    }

    void expect_unused(backend_standin& server)
    {
        unsigned const before = server.total_runs();
        for (unsigned i = 0; i < 60; ++i)
        {
            (void)edges_[i % edges_.size()]->call("GET", "/again/1", "r" + std::to_string(++last_id_));
        }
        cr_expect_eq(server.total_runs(), before, "%u of 60 requests reached the leaving server %s",
                     server.total_runs() - before, server.name().c_str());
    }

    edge_child& edge(std::size_t index) { return *edges_[index]; }

    store_standin store;
    backend_standin plain_1{store, "p1", "plain"};
    backend_standin plain_2{store, "p2", "plain"};
    backend_standin engine_1{store, "e1", "llm", {"m0"}};
    backend_standin engine_2{store, "e2", "llm", {"m0"}};

private:
    std::vector<std::unique_ptr<edge_child>> edges_;
    unsigned elsewhere_ = 0;
    unsigned last_id_ = 0;
};

} // namespace

// Guards against instances that ignore a new configuration because its revision was given out before.
Test(restored_store, new_configuration_is_in_force_in_time)
{
    restored_fleet fleet;
    fleet.write_version_2_after_the_copy(50);
    fleet.restore(seconds{2});
    fleet.write_config(2);
    std::this_thread::sleep_for(seconds{1});
    fleet.write_config(3);
    fleet.expect_in_force(3, "after the restoration");
    fleet.restore(milliseconds{300});
    fleet.write_config(4);
    fleet.expect_in_force(4, "after a second, short restoration");
}

// Guards against an older configuration in force while the operators have not written theirs again.
Test(restored_store, confirmed_configuration_stays_in_force)
{
    restored_fleet fleet;
    fleet.write_version_2_after_the_copy(20);
    fleet.restore(seconds{1});
    for (auto const end = steady::now() + seconds{4}; steady::now() < end;)
    {
        std::string const missing = fleet.without_route_of(2);
        cr_assert(missing.empty(), "the instances %s took the version of the copy", missing.c_str());
        std::this_thread::sleep_for(milliseconds{50});
    }
}

// Guards against a text that is never in force because a lost one had the same version.
Test(restored_store, another_text_by_the_same_version_is_in_force)
{
    restored_fleet fleet;
    fleet.write_version_2_after_the_copy(20);
    fleet.restore(seconds{1});
    json other = config_with_routes(3);
    other["version"] = 2;
    fleet.store.write("config", "main", other);
    fleet.expect_in_force(3, "after the restoration");
}

// Guards against requests to a server that has announced its end by a revision that was given out before.
Test(restored_store, leaving_server_gets_nothing_new)
{
    restored_fleet fleet;
    fleet.store.keep_copy();
    fleet.write_elsewhere(50);
    // Two changes, so that the instances know the entry by a revision that the copy does not have.
    fleet.plain_1.publish_address("127.0.0.1:1");
    fleet.plain_1.publish_address(fleet.plain_1.address());
    std::this_thread::sleep_for(seconds{1});
    fleet.restore(seconds{1});
    std::this_thread::sleep_for(seconds{3});
    fleet.plain_1.write_entry("draining");
    std::this_thread::sleep_for(change_time);
    fleet.expect_unused(fleet.plain_1);
}

// Guards against requests to servers that have announced their end when the copy shows them as ready.
Test(restored_store, server_that_announced_its_end_stays_out_of_use)
{
    restored_fleet fleet;
    backend_standin gone{fleet.store, "p3", "plain"};
    std::this_thread::sleep_for(seconds{1});
    fleet.store.keep_copy();
    fleet.plain_1.write_entry("draining");
    gone.write_entry("draining");
    std::this_thread::sleep_for(seconds{1});
    fleet.store.remove("servers", "p3");
    std::this_thread::sleep_for(change_time);
    fleet.expect_unused(fleet.plain_1);
    fleet.restore(seconds{1});
    std::this_thread::sleep_for(seconds{1});
    fleet.expect_unused(fleet.plain_1);
    fleet.expect_unused(gone);
    std::this_thread::sleep_for(seconds{3}); // The instances follow a holder again.
    fleet.expect_unused(fleet.plain_1);
    fleet.expect_unused(gone);
}

// Guards against changes that are missed by a watch that goes on from a revision of before the restoration.
Test(restored_store, suspended_instance_learns_what_was_written_meanwhile)
{
    small_fleet fleet;
    fleet.store.keep_copy();
    for (unsigned i = 0; i < 50; ++i)
    {
        fleet.store.write("elsewhere", "x", {{"count", i}});
    }
    std::this_thread::sleep_for(seconds{4}); // The instance's next watch begins at the latest revision.
    fleet.edge.process().send(SIGSTOP);
    std::this_thread::sleep_for(seconds{4}); // The store answers the watch, as nothing has changed.
    fleet.store.restore();
    fleet.store.write("config", "main", config_with_routes(2));
    for (unsigned i = 0; i < 100; ++i)
    {
        fleet.store.write("elsewhere", "x", {{"count", 100 + i}});
    }
    fleet.edge.process().send(SIGCONT);
    auto const added_route_is_served = [&fleet]
    {
        auto const answer = fleet.edge.call("GET", "/added-2/1", "r1");
        return answer && answer->status == 200;
    };
    cr_expect(eventually(added_route_is_served, change_time), "version 2 is not in force");
}

// Guards against an instance that is cut off from the store and takes what a peer passes on for outdated.
Test(restored_store, instance_that_is_cut_off_follows_through_a_peer)
{
    restored_fleet fleet;
    siskinusher::tcp_relay link(Poco::Net::SocketAddress(fleet.store.address()).port());
    edge_child cut_off("edge-cut-off", link.address());
    cr_assert(cut_off.wait_ready());
    fleet.write_version_2_after_the_copy(50);
    link.refuse();
    fleet.restore(seconds{2});
    fleet.write_config(2);
    std::this_thread::sleep_for(seconds{5});
    fleet.write_config(3);
    auto const added_route_is_served = [&cut_off]
    {
        auto const answer = cut_off.call("GET", "/added-3/1", "r1");
        return answer && answer->status == 200;
    };
    cr_expect(eventually(added_route_is_served, change_time), "version 3 is not in force: %s",
              cut_off.log_text().c_str());
}

// Guards against an older configuration at instances that start while the store has only the copy.
Test(restored_store, instance_that_starts_with_the_copy_takes_the_configuration_of_its_peers)
{
    restored_fleet fleet;
    fleet.write_version_2_after_the_copy(20);
    fleet.restore(seconds{1});
    for (std::size_t const restarted : {0U, 1U})
    {
        fleet.edge(restarted).process().send(SIGKILL);
        cr_assert(fleet.edge(restarted).process().wait(seconds{5}));
        fleet.edge(restarted).start();
        cr_assert(fleet.edge(restarted).wait_ready());
    }
    fleet.expect_in_force(2, "after the restart of two of three instances", contact_time + change_time);
    std::this_thread::sleep_for(seconds{4}); // A new holder may have been chosen.
    fleet.expect_in_force(2, "later");
}
