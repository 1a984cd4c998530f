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

// The rule of the platform counts the runs after the fifth crash under a part.
constexpr std::size_t crashes_before_rule = 5;

/// Several instances before ten engines with one model.
struct part_fleet : crash_fleet
{
    explicit part_fleet(unsigned instances) : crash_fleet(instances, 10, "llm", {"m0"}) {}

    void expect_few_late_bad_runs() { crash_fleet::expect_few_late_bad_runs(crashes_before_rule); }
};

} // namespace

// Guards against each new request with such a part ending further engines, at whichever instance it arrives,
// and against refusing the sound requests that share its other parts.
Test(crashing_part, is_refused_by_all_instances_while_sound_requests_are_served)
{
    part_fleet fleet(3);
    fleet.send(0, "good");
    std::vector<std::thread> callers;
    for (std::string const part : {"bad", "good", "fine"})
    {
        callers.emplace_back([&fleet, part] { fleet.send_for(seconds{13}, part, {0, 1, 2}); });
    }
    for (std::thread& each : callers)
    {
        each.join();
    }
    fleet.expect_few_late_bad_runs();
    auto const late = fleet.crashes().front() + 2 * contact_time;
    expect_mostly_whole(fleet.sent_after(late, "good"));
    expect_mostly_whole(fleet.sent_after(late, "fine"));
    for (sent_request const& each : fleet.sent_after(late, "bad"))
    {
        cr_expect_eq(each.status, 503, "%s: status %d", each.id.c_str(), each.status);
    }
}

// Guards against forgetting the part when instances restart, one or all.
Test(crashing_part, is_still_refused_after_all_instances_have_restarted)
{
    part_fleet fleet(3);
    fleet.send_for(seconds{4}, "bad", {0, 1, 2});
    fleet.restart_all_instances();
    std::this_thread::sleep_for(contact_time);
    std::size_t const before = fleet.crashes().size();
    fleet.send_for(seconds{3}, "bad", {0, 1, 2});
    fleet.expect_few_late_bad_runs();
    cr_expect_leq(fleet.crashes().size() - before, allowed_late_requests,
                  "%zu engines ended after the restart", fleet.crashes().size() - before);
}

// Guards against forgetting the part when the store comes back from a copy without the marks.
Test(crashing_part, is_still_refused_after_the_store_has_lost_the_marks)
{
    part_fleet fleet(3);
    fleet.store().keep_copy();
    fleet.send_for(seconds{4}, "bad", {0, 1, 2});
    fleet.store().restore();
    fleet.send_for(seconds{3}, "bad", {0, 1, 2});
    for (std::size_t i = 0; i < 3; ++i)
    {
        fleet.edge(i).process().send(SIGKILL);
        cr_assert(fleet.edge(i).process().wait(seconds{5}));
        fleet.edge(i).start();
    }
    for (std::size_t i = 0; i < 3; ++i)
    {
        cr_assert(fleet.edge(i).wait_ready());
    }
    std::this_thread::sleep_for(contact_time);
    fleet.send_for(seconds{3}, "bad", {0, 1, 2});
    fleet.expect_few_late_bad_runs();
}

// Guards against a fleet in which nobody learns of the part while the lease holder is suspended.
Test(crashing_part, is_refused_by_all_instances_without_a_lease_holder)
{
    part_fleet fleet(3);
    std::size_t const holder = fleet.holder();
    std::vector<std::size_t> others;
    for (std::size_t i = 0; i < 3; ++i)
    {
        if (i != holder)
        {
            others.push_back(i);
        }
    }
    fleet.edge(holder).process().send(SIGSTOP);
    fleet.send_for(milliseconds{1500}, "bad", {others[0]});
    std::this_thread::sleep_for(contact_time);
    fleet.send_for(seconds{2}, "bad", {others[1]});
    fleet.edge(holder).process().send(SIGCONT);
    fleet.expect_few_late_bad_runs();
    cr_expect_geq(fleet.crashes().size(), std::size_t{3}, "%zu crashes", fleet.crashes().size());
}

// Guards against instances that do not learn of the part while the store refuses every call, so that the
// order lease has run out.
Test(crashing_part, is_refused_by_all_instances_during_an_outage_of_the_store)
{
    part_fleet fleet(3);
    std::size_t const one = (fleet.holder() + 1) % 3;
    std::size_t const other = (fleet.holder() + 2) % 3;
    fleet.store().set_mode(store_standin::mode::busy);
    std::this_thread::sleep_for(seconds{2}); // The lease is valid for 1.5 s.
    fleet.send_for(milliseconds{800}, "bad", {one});
    std::this_thread::sleep_for(seconds{2}); // Instances report every 500 ms.
    std::size_t const before = fleet.crashes().size();
    fleet.send_for(milliseconds{800}, "bad", {other});
    fleet.store().set_mode(store_standin::mode::up);
    cr_expect_geq(before, std::size_t{3}, "%zu crashes", before);
    cr_expect_eq(fleet.crashes().size(), before, "%zu more crashes\n%s", fleet.crashes().size() - before,
                 fleet.log_of_marks().c_str());
}

// Guards against an instance that neither tells the others of the part nor learns of it while its link to the
// store is cut.
Test(crashing_part, is_refused_by_all_instances_when_one_is_cut_off_from_the_store)
{
    part_fleet fleet(3);
    std::size_t const cut_off = (fleet.holder() + 1) % 3;
    std::size_t const other = (fleet.holder() + 2) % 3;
    fleet.store_link(cut_off).cut(true);
    fleet.send_for(seconds{1}, "bad", {cut_off});
    std::this_thread::sleep_for(seconds{2});
    std::size_t const before = fleet.crashes().size();
    fleet.send_for(seconds{1}, "bad", {other});
    cr_expect_geq(before, std::size_t{3}, "%zu crashes", before);
    cr_expect_eq(fleet.crashes().size(), before, "%zu more crashes\n%s", fleet.crashes().size() - before,
                 fleet.log_of_marks().c_str());
    fleet.edge(cut_off).process().send(SIGKILL);
    cr_assert(fleet.edge(cut_off).process().wait(seconds{5}));
    fleet.store_link(cut_off).heal();
    fleet.edge(cut_off).start();
    cr_assert(fleet.edge(cut_off).wait_ready());
    fleet.send_for(seconds{1}, "bad", {cut_off});
    cr_expect_leq(fleet.crashes().size() - before, allowed_late_requests, "%zu more after the restart",
                  fleet.crashes().size() - before);
}

// Guards against blaming the sound requests that run on an engine when another one ends it.
Test(crashing_part, does_not_make_requests_on_the_same_engine_suspect)
{
    part_fleet fleet(2);
    for (unsigned i = 0; i < 10; ++i)
    {
        fleet.engine(i).server().set_work_time(milliseconds{150});
    }
    std::vector<std::thread> callers;
    for (std::string const part : {"bad", "fair", "fair", "fair"})
    {
        callers.emplace_back([&fleet, part] { fleet.send_for(seconds{4}, part, {0, 1}); });
    }
    for (std::thread& each : callers)
    {
        each.join();
    }
    fleet.send_for(seconds{5}, "fair", {0, 1}, milliseconds{10});
    for (sent_request const& each : fleet.sent_after(fleet.crashes().back() + seconds{3}, "fair"))
    {
        cr_expect(each.whole, "%s: status %d", each.id.c_str(), each.status);
    }
}

// Guards against refusing a part because answers were lost on the way, while no engine has ended.
Test(crashing_part, is_not_suspected_when_connections_break_and_engines_live)
{
    part_fleet fleet(2);
    for (unsigned i = 0; i < 10; ++i)
    {
        fleet.engine(i).server().set_fault(backend_fault::lost_answer);
    }
    fleet.send_for(seconds{3}, "fair", {0, 1});
    for (unsigned i = 0; i < 10; ++i)
    {
        fleet.engine(i).server().set_fault(backend_fault::none);
    }
    std::this_thread::sleep_for(seconds{5}); // Servers that lost connections are avoided for at most 4 s.
    cr_expect(fleet.send(0, "fair").whole);
    cr_expect(fleet.send(1, "fair").whole);
}
