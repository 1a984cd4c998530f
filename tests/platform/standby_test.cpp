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

// Within this time after its acknowledgement a configuration is in force, with or without a lease holder.
constexpr milliseconds change_time{2500};
// No instance claims the lease of a lost holder before this time.
constexpr unsigned holder_gap_ms = 8000;
constexpr std::size_t instances = 8;

std::size_t count_of(std::string const& text, std::string const& part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
    {
        ++count;
    }
    return count;
}

/// Instances that all follow one lease holder, in one data centre.
class led_fleet
{
public:
    led_fleet()
    {
        store.write("config", "main", example_config(1));
        for (std::size_t i = 0; i < instances; ++i)
        {
            edges.push_back(
                std::make_unique<edge_child>("edge-" + std::to_string(i), store.address(), holder_gap_ms));
        }
        for (auto const& edge : edges)
        {
            cr_assert(edge->wait_ready(), "%s", edge->log_text().c_str());
        }
        bool const led = eventually(
            [this]
            {
                std::size_t followers = 0;
                for (auto const& edge : edges)
                {
                    std::string const log = edge->log_text();
                    followers += log.find("event=standbys") != std::string::npos &&
                                         log.rfind("source=holder") != std::string::npos
                                     ? 1
                                     : 0;
                }
                return followers == instances - 1;
            });
        cr_assert(led, "not all instances follow one holder");
        for (std::size_t i = 0; i < instances; ++i)
        {
            holder = edges[i]->log_text().find("event=lease_gained") != std::string::npos ? i : holder;
        }
        std::this_thread::sleep_for(seconds{1}); // The holder hears from all and names the standbys.
    }

    void kill_holder()
    {
        edges[holder]->process().send(SIGKILL);
        cr_assert(edges[holder]->process().wait(seconds{5}));
    }

    bool serves_everywhere(std::string const& path)
    {
        for (std::size_t i = 0; i < instances; ++i)
        {
            if (i == holder)
            {
                continue;
            }
            auto const answer = edges[i]->call("GET", path, "r" + std::to_string(++last_id));
            if (!answer || answer->status != 200)
            {
                return false;
            }
        }
        return true;
    }

    std::size_t lines_of_all(std::string const& part) const
    {
        std::size_t count = 0;
        for (auto const& edge : edges)
        {
            count += count_of(edge->log_text(), part);
        }
        return count;
    }

    store_standin store;
    backend_standin plain_1{store, "p1", "plain"};
    backend_standin plain_2{store, "p2", "plain"};
    backend_standin engine_1{store, "e1", "llm", {"m0"}};
    std::vector<std::unique_ptr<edge_child>> edges;
    std::size_t holder = 0;
    unsigned last_id = 0;
};

} // namespace

// Guards against a fleet that turns to the store as a whole when its lease holder is lost, and against
// changes that are late meanwhile: a standby reads the store, and the others ask it.
Test(standby, instances_follow_a_standby_while_there_is_no_holder, .timeout = 120)
{
    led_fleet fleet;
    std::size_t const before = fleet.lines_of_all("event=state_source source=store");
    fleet.kill_holder();
    std::this_thread::sleep_for(milliseconds{300});
    json config = example_config(2);
    json route = config["routes"][1];
    route["name"] = "added";
    route["path_prefix"] = "/added/";
    config["routes"].push_back(route);
    fleet.store.write("config", "main", config);
    cr_expect(eventually([&fleet] { return fleet.serves_everywhere("/added/1"); }, change_time),
              "a new route is not in force within %ld ms", static_cast<long>(change_time.count()));
    std::this_thread::sleep_for(seconds{2});
    std::size_t const turned = fleet.lines_of_all("event=state_source source=store") - before;
    cr_expect(turned >= 1 && turned <= 2, "%zu of %zu instances turned to the store", turned, instances - 1);
}

// Guards against instances that all list the store again and again while it fails, which it prices and which
// floods it when it returns. What they know stays in force, and a change is in force soon after the return.
Test(standby, an_outage_of_the_store_makes_few_instances_call_it, .timeout = 120)
{
    led_fleet fleet;
    fleet.store.set_mode(store_standin::mode::busy);
    std::this_thread::sleep_for(seconds{5});
    cr_expect(fleet.serves_everywhere("/again/1"));
    fleet.store.set_mode(store_standin::mode::up);
    unsigned const refused = fleet.store.refused_calls();
    cr_expect_leq(refused, 100, "%u calls were refused in an outage of 5 s", refused);
    json config = example_config(2);
    json route = config["routes"][1];
    route["name"] = "added";
    route["path_prefix"] = "/added/";
    config["routes"].push_back(route);
    fleet.store.write("config", "main", config);
    cr_expect(eventually([&fleet] { return fleet.serves_everywhere("/added/1"); }, seconds{4}),
              "a change is not in force 4 s after the store's return");
}
