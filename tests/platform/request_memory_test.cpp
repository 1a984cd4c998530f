#include "tests/wire/small_fleet.hpp"

#include <criterion/criterion.h>
#include <criterion/logging.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <future>
#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace siskinusher;
using namespace siskinusher::standins;
using std::chrono::milliseconds;

namespace
{

using steady = std::chrono::steady_clock;

constexpr std::size_t largest_body = 4194304; ///< max_body_bytes.
constexpr milliseconds work_time{60};
constexpr unsigned retry_slack = 640;
constexpr unsigned holder_gap_ms = 300;
constexpr unsigned least_memory_mb = 160; ///< What a process has whose settings do not name it.

// Largest resident size of the process so far, in MB; zero when it has ended.
double peak_memory_mb(edge_child& edge)
{
    std::ifstream status("/proc/" + std::to_string(edge.process().process_id()) + "/status");
    std::string word;
    double kilobytes = 0.0;
    while (status >> word)
    {
        if (word == "VmHWM:")
        {
            status >> kilobytes;
        }
    }
    return kilobytes * 1.024 / 1000.0;
}

struct timed_answer
{
    std::optional<http_answer> answer;
    milliseconds took{0};
};

// A store, two plain servers, and one siskin-edge process that may be sent bodies of largest_body.
struct upload_fleet
{
    // The settings do not name the memory if `memory_mb` is 0.
    explicit upload_fleet(unsigned memory_mb)
        : edge("edge-1", store.address(), holder_gap_ms, retry_slack, memory_mb)
    {
        nlohmann::json config = example_config(1);
        config["limits"]["max_body_bytes"] = largest_body;
        store.write("config", "main", config);
        plain_1.set_work_time(work_time);
        plain_2.set_work_time(work_time);
        cr_assert(edge.wait_ready(), "%s", edge.log_text().c_str());
    }

    timed_answer send(std::string const& id, std::string const& text) const
    {
        auto const begin = steady::now();
        auto answer = http_call(edge.caller_address(), "POST", "/once/" + id, text,
                                {{"Host", "h"}, {"Attempt-Id", id}}, std::chrono::seconds{8});
        return {std::move(answer), std::chrono::duration_cast<milliseconds>(steady::now() - begin)};
    }

    // How often the request has run.
    unsigned runs(std::string const& id)
    {
        auto const first = plain_1.runs();
        auto const second = plain_2.runs();
        return (first.count(id) > 0 ? first.at(id) : 0) + (second.count(id) > 0 ? second.at(id) : 0);
    }

    store_standin store;
    backend_standin plain_1{store, "p1", "plain"};
    backend_standin plain_2{store, "p2", "plain"};
    edge_child edge;
};

// All callers send the largest body at once. Each is served or refused, what is refused has not run, and
// small requests are served meanwhile.
void send_at_once(upload_fleet& fleet, std::string const& round, unsigned callers, double memory_mb)
{
    std::string const body(largest_body, 'x');
    std::vector<std::future<timed_answer>> pending;
    pending.reserve(callers);
    for (unsigned i = 0; i < callers; ++i)
    {
        pending.push_back(std::async(std::launch::async, [&fleet, &body, &round, i]
                                     { return fleet.send(round + std::to_string(i), body); }));
    }
    unsigned small_served = 0;
    unsigned small_sent = 0;
    auto const done = [&pending]
    {
        return std::all_of(pending.begin(), pending.end(),
                           [](auto const& each)
                           { return each.wait_for(milliseconds{0}) == std::future_status::ready; });
    };
    while (!done())
    {
        auto const small = fleet.send("small-" + round + std::to_string(small_sent++), "body").answer;
        small_served += small && small->status == 200 ? 1 : 0;
    }
    std::map<int, unsigned> statuses; // 0 for no answer.
    milliseconds last_refusal{0};
    for (unsigned i = 0; i < callers; ++i)
    {
        timed_answer const each = pending[i].get();
        int const status = each.answer ? each.answer->status : 0;
        ++statuses[status];
        if (status == 503)
        {
            std::string const id = round + std::to_string(i);
            cr_expect_eq(each.answer->headers.count("Retry-After"), 1U, "%s", id.c_str());
            cr_expect_eq(fleet.runs(id), 0U, "%s", id.c_str());
            last_refusal = std::max(last_refusal, each.took);
        }
    }
    double const peak = peak_memory_mb(fleet.edge);
    cr_log_info(
        "%u callers, %.0f MB: peak %.1f MB, served %u, refused %u (the last after %lld ms), without an "
        "answer %u; small requests served %u of %u",
        callers, memory_mb, peak, statuses[200], statuses[503], static_cast<long long>(last_refusal.count()),
        statuses[0], small_served, small_sent);
    cr_expect_gt(peak, 0.0);
    cr_expect_lt(peak, memory_mb);
    cr_expect_gt(statuses[200], 0U);
    cr_expect_eq(statuses[200] + statuses[503], callers);
    cr_expect_eq(small_served, small_sent);
}

void check_rounds(unsigned memory_mb_in_settings, unsigned callers)
{
    constexpr int rounds = 3;
    unsigned const memory_mb = std::max(memory_mb_in_settings, least_memory_mb);
    upload_fleet fleet(memory_mb_in_settings);
    for (int round = 0; round < rounds; ++round)
    {
        send_at_once(fleet, std::to_string(round) + "-", callers, memory_mb);
    }
    auto const after = fleet.send("after", std::string(largest_body, 'x')).answer;
    cr_expect(after && after->status == 200, "memory was not returned");
}

} // namespace

// Guards against a process that the platform ends because many callers send large bodies at once. The
// settings do not name the memory.
Test(request_memory, large_bodies_at_once_stay_within_the_least_memory)
{
    check_rounds(0, 40);
}

// The same with the memory of the settings.
Test(request_memory, large_bodies_at_once_stay_within_the_memory_of_the_settings)
{
    check_rounds(260, 40);
}

// The same with ten times as many callers, whose connections and refusals take memory too.
Test(request_memory, large_bodies_of_many_callers_stay_within_the_least_memory)
{
    check_rounds(0, 400);
}

Test(request_memory, large_bodies_of_many_callers_stay_within_the_memory_of_the_settings)
{
    check_rounds(260, 400);
}

// Guards against a refusal that the log does not explain.
Test(request_memory, refusal_is_explained_in_the_log)
{
    upload_fleet fleet(32);
    std::string const body(largest_body, 'x');
    fleet.plain_1.set_work_time(milliseconds{1500});
    fleet.plain_2.set_work_time(milliseconds{1500});
    constexpr int callers = 4;
    std::vector<std::future<timed_answer>> pending;
    pending.reserve(callers);
    for (int i = 0; i < callers; ++i)
    {
        pending.push_back(std::async(std::launch::async, [&fleet, &body, i]
                                     { return fleet.send("r" + std::to_string(i), body); }));
    }
    unsigned refused = 0;
    for (std::size_t i = 0; i < pending.size(); ++i)
    {
        timed_answer const each = pending[i].get();
        if (each.answer && each.answer->status == 503)
        {
            ++refused;
            cr_expect(eventually(
                          [&]
                          {
                              std::string const line =
                                  "event=refused request=r" + std::to_string(i) + " reason=no_memory";
                              return fleet.edge.log_text().find(line) != std::string::npos;
                          }),
                      "%s", fleet.edge.log_text().c_str());
        }
    }
    cr_expect_gt(refused, 0U);
    cr_expect(fleet.edge.log_text().find(" budget=12800000 ") != std::string::npos);
}
