#include "tests/wire/request_checks.hpp"
#include "tests/wire/small_fleet.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <atomic>
#include <csignal>
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

// The rule of the platform: from the contact time after the engine first named its limit, at most one and a
// half times what the limit allows in 4 s, and 5 requests.
constexpr milliseconds contact_time{3000};
constexpr seconds window{4};

std::size_t allowed_in_window(double per_second)
{
    return static_cast<std::size_t>(1.5 * per_second * static_cast<double>(window.count()) + 5.0);
}

std::size_t most_in_window(std::vector<steady::time_point> const& arrivals, steady::time_point from)
{
    std::size_t most = 0;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first)
    {
        if (*first >= from)
        {
            auto const end = std::lower_bound(first, arrivals.end(), *first + window);
            most = std::max(most, static_cast<std::size_t>(end - first));
        }
    }
    return most;
}

/// Five instances before three engines; the first engine can name a limit.
class limit_fleet
{
public:
    explicit limit_fleet(unsigned engines = 3)
    {
        store_.write("config", "main", example_config(1));
        for (unsigned i = 0; i < engines; ++i)
        {
            engines_.push_back(std::make_unique<backend_standin>(store_, "e" + std::to_string(i), "llm",
                                                                 std::set<std::string>{"m0"}));
        }
        for (unsigned i = 0; i < 5; ++i)
        {
            edges_.push_back(std::make_unique<edge_child>("edge-" + std::to_string(i), store_.address()));
        }
        for (auto const& edge : edges_)
        {
            cr_assert(edge->wait_ready(), "%s", edge->log_text().c_str());
        }
        std::this_thread::sleep_for(seconds{1}); // Each instance has reported to the holder.
    }

    backend_standin& limited() { return *engines_.front(); }
    edge_child& edge(std::size_t index) { return *edges_[index]; }

    std::size_t holder() const
    {
        for (std::size_t i = 0; i < edges_.size(); ++i)
        {
            if (edges_[i]->log_text().find("event=lease_gained") != std::string::npos)
            {
                return i;
            }
        }
        return 0;
    }

    /// Has each of the instances send 12 requests a second; returns how many were answered.
    unsigned send_for(milliseconds span, std::vector<std::size_t> const& edges)
    {
        std::atomic<unsigned> served{0};
        std::vector<std::thread> callers;
        callers.reserve(edges.size());
        for (std::size_t const edge : edges)
        {
            callers.emplace_back([this, edge, span, &served] { served += send_from(edge, span); });
        }
        for (std::thread& each : callers)
        {
            each.join();
        }
        return served;
    }

    void expect_limit_kept(double per_second, steady::time_point named)
    {
        auto const arrivals = limited().arrivals();
        std::size_t const most = most_in_window(arrivals, named + contact_time);
        cr_expect_leq(most, allowed_in_window(per_second), "%zu requests in 4 s", most);
    }

private:
    unsigned send_from(std::size_t edge, milliseconds span)
    {
        unsigned served = 0;
        auto const end = steady::now() + span;
        for (auto next = steady::now(); next < end; next += milliseconds{83})
        {
            std::this_thread::sleep_until(next);
            auto const answer =
                edges_[edge]->call("POST", "/stream/1", "r" + std::to_string(++last_id_), {{"Model", "m0"}});
            served += answer && answer->status == 200 ? 1 : 0;
        }
        return served;
    }

    store_standin store_;
    std::vector<std::unique_ptr<backend_standin>> engines_;
    std::vector<std::unique_ptr<edge_child>> edges_;
    std::atomic<unsigned> last_id_{0};
};

std::vector<std::size_t> const all_edges{0, 1, 2, 3, 4};

} // namespace

// Guards against an engine in need that gets more from all instances together than it has named, and against
// requests that fail for it although other engines could take them.
Test(server_limit, is_kept_by_all_instances_together)
{
    limit_fleet fleet;
    (void)fleet.send_for(seconds{1}, all_edges);
    fleet.limited().set_limit("1.4");
    auto const named = steady::now();
    unsigned const served = fleet.send_for(seconds{12}, all_edges);
    fleet.expect_limit_kept(1.4, named);
    cr_expect_geq(served, 650U, "%u of about 720 requests served", served);
    cr_expect_geq(fleet.limited().arrivals().size(), std::size_t{8}, "the engine is hardly used");
}

// Guards against a share of the limit that is divided anew, or forgotten, when the instances that divide it
// restart or are suspended.
Test(server_limit, is_kept_while_the_holder_is_suspended_and_an_instance_restarts)
{
    limit_fleet fleet;
    fleet.limited().set_limit("1");
    auto const named = steady::now();
    std::size_t const holder = fleet.holder();
    std::vector<std::size_t> others;
    for (std::size_t const each : all_edges)
    {
        if (each != holder)
        {
            others.push_back(each);
        }
    }
    (void)fleet.send_for(seconds{4}, all_edges);
    fleet.edge(holder).process().send(SIGSTOP);
    (void)fleet.send_for(seconds{4}, others);
    fleet.edge(others.back()).process().send(SIGKILL);
    cr_assert(fleet.edge(others.back()).process().wait(seconds{5}));
    fleet.edge(others.back()).start();
    cr_assert(fleet.edge(others.back()).wait_ready());
    (void)fleet.send_for(seconds{4}, others);
    fleet.edge(holder).process().send(SIGCONT);
    (void)fleet.send_for(seconds{3}, all_edges);
    fleet.expect_limit_kept(1, named);
}

// Guards against a limit that is never lifted.
Test(server_limit, ends_when_the_engine_no_longer_names_it)
{
    limit_fleet fleet(1);
    fleet.limited().set_limit("2");
    (void)fleet.send_for(seconds{5}, all_edges);
    fleet.limited().set_limit("");
    std::this_thread::sleep_for(seconds{1});
    (void)fleet.send_for(seconds{2}, all_edges);
    std::size_t const before = fleet.limited().arrivals().size();
    unsigned const served = fleet.send_for(seconds{2}, all_edges);
    cr_expect_geq(served, 100U, "%u of about 120 requests served", served);
    cr_expect_geq(fleet.limited().arrivals().size() - before, std::size_t{100}, "the engine is hardly used");
}
