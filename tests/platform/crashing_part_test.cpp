#include "tests/adapters/tcp_relay.hpp"
#include "tests/wire/crashing_engine.hpp"
#include "tests/wire/request_checks.hpp"
#include "tests/wire/small_fleet.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace siskinusher::standins;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using steady = std::chrono::steady_clock;

// The rule of the platform: later than the contact time after the fifth crash under a part, at most three
// requests with it reach engines.
constexpr std::size_t crashes_before_rule = 5;
constexpr milliseconds contact_time{3000};
constexpr std::size_t allowed_late_requests = 3;

struct sent_request
{
    std::string id;
    steady::time_point at;
    int status = 0;
    bool whole = false;
};

/// Several instances before ten engines with one model.
class crash_fleet
{
public:
    explicit crash_fleet(unsigned instances)
    {
        store_.write("config", "main", example_config(1));
        for (unsigned i = 0; i < 10; ++i)
        {
            engines_.push_back(std::make_unique<crashing_engine>(store_, "e" + std::to_string(i), "m0"));
            engines_.back()->server().set_work_time(milliseconds{20});
        }
        for (unsigned i = 0; i < instances; ++i)
        {
            store_links_.push_back(
                std::make_unique<siskinusher::tcp_relay>(Poco::Net::SocketAddress(store_.address()).port()));
            edges_.push_back(
                std::make_unique<edge_child>("edge-" + std::to_string(i), store_links_.back()->address()));
        }
        for (auto const& edge : edges_)
        {
            cr_assert(edge->wait_ready(), "%s", edge->log_text().c_str());
        }
        cr_assert(eventually([this] { return all_know_the_holder(); }));
    }

    store_standin& store() { return store_; }
    edge_child& edge(std::size_t index) { return *edges_[index]; }
    siskinusher::tcp_relay& store_link(std::size_t index) { return *store_links_[index]; }
    crashing_engine& engine(std::size_t index) { return *engines_[index]; }

    /// Index of the instance that gained the lease last; the number of instances when none has.
    std::size_t holder() const
    {
        for (std::size_t i = 0; i < edges_.size(); ++i)
        {
            std::string const log = edges_[i]->log_text();
            std::size_t const gained = log.rfind("event=lease_gained");
            if (gained != std::string::npos && log.find("event=lease_lost", gained) == std::string::npos)
            {
                return i;
            }
        }
        return edges_.size();
    }

    /// False until each other instance has reported to the lease holder: before that it has no peer to learn
    /// from while the store is away.
    bool all_know_the_holder() const
    {
        std::size_t const held_by = holder();
        for (std::size_t i = 0; i < edges_.size(); ++i)
        {
            if (i != held_by && edges_[i]->log_text().find("event=holder_reached") == std::string::npos)
            {
                return false;
            }
        }
        return held_by < edges_.size();
    }

    /// Sends a request with the middle part `part`; its last part is its own.
    sent_request send(std::size_t edge, std::string const& part)
    {
        sent_request sent;
        sent.id = part + std::to_string(++last_id_);
        sent.at = steady::now();
        auto const answer = edges_[edge]->call(
            "POST", "/stream/1", sent.id,
            {{"Model", "m0"}, {"Prompt-Prefix", "system:10," + part + ":10," + sent.id + ":10"}});
        sent.status = answer ? answer->status : 0;
        sent.whole = answer && event_ids(answer->body) == all_events;
        std::lock_guard<std::mutex> const lock(mutex_);
        sent_.push_back(sent);
        return sent;
    }

    /// Sends such requests to the instances in turn, at most one every `interval` for each thread.
    void send_for(milliseconds span, std::string const& part, std::vector<std::size_t> const& edges,
                  milliseconds interval = milliseconds{60})
    {
        auto const end = steady::now() + span;
        for (std::size_t i = 0; steady::now() < end; ++i)
        {
            auto const next = steady::now() + interval;
            send(edges[i % edges.size()], part);
            std::this_thread::sleep_until(next);
        }
    }

    std::vector<steady::time_point> crashes()
    {
        std::vector<steady::time_point> all;
        for (auto const& engine : engines_)
        {
            auto const some = engine->crashes();
            all.insert(all.end(), some.begin(), some.end());
        }
        std::sort(all.begin(), all.end());
        return all;
    }

    /// How often requests with the crashing part that were sent after `from` reached an engine.
    std::size_t bad_runs_after(steady::time_point from)
    {
        std::size_t runs = 0;
        std::lock_guard<std::mutex> const lock(mutex_);
        for (sent_request const& each : sent_)
        {
            if (each.id.rfind("bad", 0) == 0 && each.at >= from)
            {
                for (auto const& engine : engines_)
                {
                    runs += engine->server().runs()[each.id];
                }
            }
        }
        return runs;
    }

    std::vector<sent_request> sent_after(steady::time_point from, std::string const& part)
    {
        std::vector<sent_request> found;
        std::lock_guard<std::mutex> const lock(mutex_);
        std::copy_if(sent_.begin(), sent_.end(), std::back_inserter(found),
                     [&](sent_request const& each)
                     { return each.id.rfind(part, 0) == 0 && each.at >= from; });
        return found;
    }

    /// Lines of all instances that show what they know of crashes, and from whom.
    std::string log_of_marks() const
    {
        std::string lines;
        for (auto const& edge : edges_)
        {
            std::istringstream text(edge->log_text());
            for (std::string line; std::getline(text, line);)
            {
                for (char const* const event : {"event=part_", "event=engine_check", "event=holder_",
                                                "event=lease_", "event=state_source", "event=start"})
                {
                    lines += line.find(event) == std::string::npos ? "" : line + "\n";
                }
            }
        }
        return lines;
    }

    void expect_few_late_bad_runs()
    {
        auto const all = crashes();
        cr_assert_geq(all.size(), std::size_t{1}, "no engine crashed");
        if (all.size() < crashes_before_rule)
        {
            return; // The part was recognised before the rule begins to count.
        }
        std::size_t const late = bad_runs_after(all[crashes_before_rule - 1] + contact_time);
        cr_expect_leq(late, allowed_late_requests, "%zu runs after the fifth crash, %zu engines ended", late,
                      all.size());
    }

private:
    store_standin store_;
    std::vector<std::unique_ptr<crashing_engine>> engines_;
    std::vector<std::unique_ptr<siskinusher::tcp_relay>> store_links_;
    std::vector<std::unique_ptr<edge_child>> edges_;
    std::atomic<unsigned> last_id_{0};
    std::mutex mutex_;
    std::vector<sent_request> sent_;
};

void expect_mostly_whole(std::vector<sent_request> const& sent)
{
    auto const whole =
        std::count_if(sent.begin(), sent.end(), [](sent_request const& each) { return each.whole; });
    cr_assert_geq(sent.size(), std::size_t{20}, "only %zu requests were sent", sent.size());
    cr_expect_geq(static_cast<std::size_t>(whole) * 2, sent.size(), "%zu of %zu served",
                  static_cast<std::size_t>(whole), sent.size());
}

} // namespace

// Guards against each new request with such a part ending further engines, at whichever instance it arrives,
// and against refusing the sound requests that share its other parts.
Test(crashing_part, is_refused_by_all_instances_while_sound_requests_are_served)
{
    crash_fleet fleet(3);
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
    crash_fleet fleet(3);
    fleet.send_for(seconds{4}, "bad", {0, 1, 2});
    for (std::size_t i = 0; i < 3; ++i)
    {
        fleet.edge(i).process().send(SIGKILL);
        cr_assert(fleet.edge(i).process().wait(seconds{5}));
    }
    for (std::size_t i = 0; i < 3; ++i)
    {
        fleet.edge(i).start();
    }
    for (std::size_t i = 0; i < 3; ++i)
    {
        cr_assert(fleet.edge(i).wait_ready());
    }
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
    crash_fleet fleet(3);
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
    crash_fleet fleet(3);
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
    crash_fleet fleet(3);
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
    crash_fleet fleet(3);
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
    crash_fleet fleet(2);
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
    crash_fleet fleet(2);
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
