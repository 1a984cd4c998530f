#include "tests/wire/crash_fleet.hpp"

#include <criterion/criterion.h>

#include <csignal>
#include <string>
#include <thread>
#include <vector>

using namespace siskinusher::standins;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// The rule of the platform counts the runs after the third crash under a request.
constexpr std::size_t crashes_before_rule = 3;
constexpr milliseconds call_interval{60};

/// Three instances before three plain servers.
struct call_fleet : crash_fleet
{
    call_fleet() : crash_fleet(3, 3, "plain", {}) {}

    void repeat_bad_call(milliseconds span, std::vector<std::size_t> const& edges)
    {
        repeat_for(span, edges, call_interval, [this](std::size_t edge) { call(edge, "GET", "/again/bad"); });
    }

    void expect_few_late_bad_runs() { crash_fleet::expect_few_late_bad_runs(crashes_before_rule); }

    void expect_all_refused(time_point from, std::string const& name)
    {
        for (sent_request const& each : sent_after(from, name))
        {
            cr_expect(each.status == 503 && !each.retry_after.empty(), "%s: status %d, Retry-After \"%s\"",
                      each.id.c_str(), each.status, each.retry_after.c_str());
        }
    }
};

} // namespace

// Guards against a call without a prompt that ends server after server, and against refusing the calls beside
// it.
Test(crashing_request, is_refused_by_all_instances_while_sound_calls_are_served)
{
    call_fleet fleet;
    std::vector<std::size_t> const all{0, 1, 2};
    std::vector<std::thread> callers;
    callers.emplace_back([&] { fleet.repeat_bad_call(seconds{13}, all); });
    callers.emplace_back(
        [&]
        {
            fleet.repeat_for(seconds{13}, all, call_interval,
                             [&](std::size_t edge) { fleet.call(edge, "GET", "/again/popular"); });
        });
    callers.emplace_back(
        [&]
        {
            unsigned sent = 0;
            fleet.repeat_for(seconds{13}, all, call_interval,
                             [&](std::size_t edge)
                             { fleet.call(edge, "POST", "/once/debit", "debit-" + std::to_string(++sent)); });
        });
    for (std::thread& each : callers)
    {
        each.join();
    }
    fleet.expect_few_late_bad_runs();
    auto const late = fleet.crashes().front() + 2 * contact_time;
    expect_mostly_whole(fleet.sent_after(late, "popular"));
    expect_mostly_whole(fleet.sent_after(late, "debit"));
    fleet.expect_all_refused(late, "bad");
}

// Guards against calls that are told apart by their path alone.
Test(crashing_request, is_known_by_its_body)
{
    call_fleet fleet;
    std::vector<std::size_t> const all{0, 1, 2};
    std::vector<std::thread> callers;
    for (std::string const body : {"bad", "sound"})
    {
        callers.emplace_back(
            [&fleet, &all, body]
            {
                fleet.repeat_for(seconds{10}, all, call_interval,
                                 [&](std::size_t edge) { fleet.call(edge, "POST", "/again/1", body); });
            });
    }
    for (std::thread& each : callers)
    {
        each.join();
    }
    fleet.expect_few_late_bad_runs();
    auto const late = fleet.crashes().front() + 2 * contact_time;
    expect_mostly_whole(fleet.sent_after(late, "sound"));
    fleet.expect_all_refused(late, "bad");
}

// Guards against a call that may run only once and that its callers repeat.
Test(crashing_request, is_refused_when_only_its_callers_repeat_it)
{
    call_fleet fleet;
    fleet.repeat_for(seconds{8}, {0, 1, 2}, call_interval,
                     [&](std::size_t edge) { fleet.call(edge, "POST", "/once/1", "bad"); });
    fleet.expect_few_late_bad_runs();
    fleet.expect_all_refused(fleet.crashes().front() + 2 * contact_time, "bad");
}

// Guards against several such calls that hide each other, since each crash is explained by one of them.
Test(crashing_request, is_refused_beside_others_that_crash_servers)
{
    call_fleet fleet;
    std::vector<std::size_t> const all{0, 1, 2};
    std::vector<std::thread> callers;
    for (std::string const name : {"bad_a", "bad_b", "bad_c", "bad_d"})
    {
        callers.emplace_back(
            [&fleet, &all, name]
            {
                fleet.repeat_for(seconds{13}, all, call_interval,
                                 [&](std::size_t edge) { fleet.call(edge, "GET", "/again/" + name); });
            });
    }
    callers.emplace_back(
        [&]
        {
            fleet.repeat_for(seconds{13}, all, call_interval,
                             [&](std::size_t edge) { fleet.call(edge, "GET", "/again/popular"); });
        });
    for (std::thread& each : callers)
    {
        each.join();
    }
    auto const late = fleet.crashes().front() + 2 * contact_time;
    for (std::string const name : {"bad_a", "bad_b", "bad_c", "bad_d"})
    {
        std::size_t const runs = fleet.runs_after(late, name);
        cr_expect_leq(runs, allowed_late_requests, "%s: %zu late runs", name.c_str(), runs);
    }
    expect_mostly_whole(fleet.sent_after(late, "popular"));
}

// Guards against a stream whose prompt has no part of its own that crashes engines.
Test(crashing_request, is_recognised_when_all_its_prompt_parts_are_sound)
{
    crash_fleet fleet(3, 6, "llm", {"m0"});
    auto const stream = [&fleet](std::size_t edge, std::string const& name)
    {
        fleet.call(edge, "POST", "/stream/" + name, {},
                   {{"Model", "m0"}, {"Prompt-Prefix", "system:10,shared:10," + name + ":10"}});
    };
    std::vector<std::size_t> const all{0, 1, 2};
    unsigned sound = 0;
    std::thread bad(
        [&] { fleet.repeat_for(seconds{12}, all, call_interval, [&](auto edge) { stream(edge, "bad"); }); });
    fleet.repeat_for(seconds{12}, all, call_interval,
                     [&](auto edge) { stream(edge, "sound" + std::to_string(++sound)); });
    bad.join();
    fleet.expect_few_late_bad_runs(crashes_before_rule);
    expect_mostly_whole(fleet.sent_after(fleet.crashes().front() + 2 * contact_time, "sound"));
}

// Guards against forgetting the request when all instances restart.
Test(crashing_request, is_still_refused_after_all_instances_have_restarted)
{
    call_fleet fleet;
    fleet.repeat_bad_call(seconds{3}, {0, 1, 2});
    fleet.restart_all_instances();
    std::this_thread::sleep_for(contact_time);
    fleet.repeat_bad_call(seconds{3}, {0, 1, 2});
    fleet.expect_few_late_bad_runs();
}

// Guards against instances that do not learn of the request in an outage of the store.
Test(crashing_request, is_refused_by_all_instances_during_an_outage_of_the_store)
{
    call_fleet fleet;
    std::size_t const one = (fleet.holder() + 1) % 3;
    std::size_t const other = (fleet.holder() + 2) % 3;
    fleet.store().set_mode(store_standin::mode::busy);
    std::this_thread::sleep_for(seconds{2}); // The lease is valid for 1.5 s.
    fleet.repeat_bad_call(seconds{2}, {one});
    std::this_thread::sleep_for(seconds{2}); // Instances report every 500 ms.
    std::size_t const before = fleet.crashes().size();
    fleet.repeat_bad_call(seconds{2}, {other});
    cr_expect_geq(before, std::size_t{3}, "%zu crashes", before);
    cr_expect_eq(fleet.crashes().size(), before, "%zu more crashes\n%s", fleet.crashes().size() - before,
                 fleet.log_of_marks().c_str());
}

// Guards against forgetting the request when the instance that found it is killed, and the store has lost the
// marks.
Test(crashing_request, is_still_refused_when_its_witness_is_killed_and_the_store_goes_back)
{
    call_fleet fleet;
    std::size_t const witness = (fleet.holder() + 1) % 3;
    std::size_t const other = (fleet.holder() + 2) % 3;
    fleet.store().keep_copy();
    fleet.repeat_bad_call(seconds{3}, {witness});
    fleet.store().restore();
    fleet.edge(witness).process().send(SIGKILL);
    cr_assert(fleet.edge(witness).process().wait(seconds{5}));
    std::this_thread::sleep_for(contact_time);
    fleet.repeat_bad_call(seconds{2}, {fleet.holder(), other});
    fleet.expect_few_late_bad_runs();
    fleet.edge(witness).start();
    cr_assert(fleet.edge(witness).wait_ready());
    fleet.repeat_bad_call(seconds{2}, {witness});
    fleet.expect_few_late_bad_runs();
}
