#include "tests/wire/request_checks.hpp"
#include "tests/wire/small_fleet.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace siskinusher::standins;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using steady = std::chrono::steady_clock;

constexpr unsigned instances = 3;
constexpr unsigned callers = 60;
constexpr unsigned bearable_refusals = 4;
// The rule of the platform counts from this time after the servers began to name their limit.
constexpr milliseconds contact_time{3000};

std::size_t most_in_a_second(std::vector<steady::time_point> const& refusals, steady::time_point from)
{
    std::size_t most = 0;
    for (auto first = refusals.begin(); first != refusals.end(); ++first)
    {
        if (*first >= from)
        {
            auto const end = std::lower_bound(first, refusals.end(), *first + seconds{1});
            most = std::max(most, static_cast<std::size_t>(end - first));
        }
    }
    return most;
}

} // namespace

// Guards against a burst that makes servers fall over because all instances are refused there at once.
Test(brittle_server, refusals_of_all_instances_stay_within_what_it_bears)
{
    store_standin store;
    store.write("config", "main", example_config(1));
    std::vector<std::unique_ptr<backend_standin>> servers;
    for (unsigned i = 0; i < 3; ++i)
    {
        servers.push_back(std::make_unique<backend_standin>(store, "p" + std::to_string(i), "plain"));
        servers.back()->set_work_time(milliseconds{300});
        servers.back()->set_room(8); // As many as its entry says.
        servers.back()->set_brittle(std::to_string(bearable_refusals));
    }
    std::vector<std::unique_ptr<edge_child>> edges;
    for (unsigned i = 0; i < instances; ++i)
    {
        edges.push_back(std::make_unique<edge_child>("edge-" + std::to_string(i), store.address()));
    }
    for (auto const& edge : edges)
    {
        cr_assert(edge->wait_ready(), "%s", edge->log_text().c_str());
    }
    std::this_thread::sleep_for(seconds{1}); // Each instance has reported to the holder.
    auto const begin = steady::now();
    auto const end = begin + seconds{8};
    std::atomic<unsigned> served{0};
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < callers; ++i)
    {
        threads.emplace_back(
            [&, i]
            {
                for (unsigned n = 0; steady::now() < end; ++n)
                {
                    std::string const id = "r" + std::to_string(i) + "-" + std::to_string(n);
                    auto const answer =
                        edges[i % instances]->call("GET", "/again/" + id, id, {{"Deadline-Ms", "1000"}});
                    served += answer && answer->status == 200 ? 1 : 0;
                    std::this_thread::sleep_for(milliseconds{20});
                }
            });
    }
    for (std::thread& each : threads)
    {
        each.join();
    }
    for (auto const& server : servers)
    {
        std::size_t const most = most_in_a_second(server->refusals(), begin + contact_time);
        cr_expect_leq(most, bearable_refusals, "%s refused %zu in a second", server->name().c_str(), most);
    }
    // Three servers with eight places each could run eighty requests a second.
    cr_expect_geq(served.load(), 320U, "%u served in 8 s", served.load());
}
