#include "tests/wire/crash_fleet.hpp"

#include "tests/wire/request_checks.hpp"
#include "tests/wire/small_fleet.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <csignal>
#include <iterator>
#include <sstream>
#include <thread>
#include <utility>

namespace siskinusher::standins
{

using std::chrono::milliseconds;
using std::chrono::seconds;

crash_fleet::crash_fleet(unsigned instances, unsigned servers, std::string const& service,
                         std::set<std::string> const& models)
{
    store_.write("config", "main", example_config(1));
    for (unsigned i = 0; i < servers; ++i)
    {
        engines_.push_back(
            std::make_unique<crashing_engine>(store_, "e" + std::to_string(i), service, models));
        engines_.back()->server().set_work_time(milliseconds{20});
    }
    for (unsigned i = 0; i < instances; ++i)
    {
        store_links_.push_back(
            std::make_unique<tcp_relay>(Poco::Net::SocketAddress(store_.address()).port()));
        edges_.push_back(
            std::make_unique<edge_child>("edge-" + std::to_string(i), store_links_.back()->address()));
    }
    for (auto const& edge : edges_)
    {
        cr_assert(edge->wait_ready(), "%s", edge->log_text().c_str());
    }
    cr_assert(eventually([this] { return all_know_the_holder(); }));
}

std::size_t crash_fleet::holder() const
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

// False until each other instance has reported to the lease holder: before that it has no peer to learn from
// while the store is away.
bool crash_fleet::all_know_the_holder() const
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

void crash_fleet::record(sent_request const& sent)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    sent_.push_back(sent);
}

sent_request crash_fleet::send(std::size_t edge, std::string const& part)
{
    sent_request sent;
    sent.id = part + std::to_string(++last_id_);
    sent.at = std::chrono::steady_clock::now();
    auto const answer = edges_[edge]->call(
        "POST", "/stream/1", sent.id,
        {{"Model", "m0"}, {"Prompt-Prefix", "system:10," + part + ":10," + sent.id + ":10"}});
    sent.status = answer ? answer->status : 0;
    sent.whole = answer && event_ids(answer->body) == all_events;
    record(sent);
    return sent;
}

void crash_fleet::send_for(milliseconds span, std::string const& part, std::vector<std::size_t> const& edges,
                           milliseconds interval)
{
    repeat_for(span, edges, interval, [this, &part](std::size_t edge) { send(edge, part); });
}

sent_request crash_fleet::call(std::size_t edge, std::string const& method, std::string const& path,
                               std::string const& body, std::map<std::string, std::string> headers)
{
    sent_request sent;
    std::string const name = body.empty() ? path.substr(path.rfind('/') + 1) : body;
    sent.id = name + "-" + std::to_string(++last_id_);
    sent.at = std::chrono::steady_clock::now();
    auto const answer = edges_[edge]->call(method, path, sent.id, std::move(headers), body);
    sent.status = answer ? answer->status : 0;
    sent.whole = answer && answer->status == 200 &&
                 (answer->body == "body of " + sent.id || event_ids(answer->body) == all_events);
    auto const retry_after = answer ? answer->headers.find("Retry-After") : decltype(answer->headers.end()){};
    sent.retry_after = answer && retry_after != answer->headers.end() ? retry_after->second : "";
    record(sent);
    return sent;
}

void crash_fleet::repeat_for(milliseconds span, std::vector<std::size_t> const& edges, milliseconds interval,
                             std::function<void(std::size_t)> const& send_one)
{
    auto const end = std::chrono::steady_clock::now() + span;
    for (std::size_t i = 0; std::chrono::steady_clock::now() < end; ++i)
    {
        auto const next = std::chrono::steady_clock::now() + interval;
        send_one(edges[i % edges.size()]);
        std::this_thread::sleep_until(next);
    }
}

std::vector<crash_fleet::time_point> crash_fleet::crashes()
{
    std::vector<time_point> all;
    for (auto const& engine : engines_)
    {
        auto const some = engine->crashes();
        all.insert(all.end(), some.begin(), some.end());
    }
    std::sort(all.begin(), all.end());
    return all;
}

std::size_t crash_fleet::runs_after(time_point from, std::string const& name)
{
    std::size_t runs = 0;
    for (sent_request const& each : sent_after(from, name))
    {
        for (auto const& engine : engines_)
        {
            runs += engine->server().runs()[each.id];
        }
    }
    return runs;
}

std::vector<sent_request> crash_fleet::sent_after(time_point from, std::string const& name)
{
    std::vector<sent_request> found;
    std::lock_guard<std::mutex> const lock(mutex_);
    std::copy_if(sent_.begin(), sent_.end(), std::back_inserter(found),
                 [&](sent_request const& each) { return each.id.rfind(name, 0) == 0 && each.at >= from; });
    return found;
}

std::string crash_fleet::log_of_marks() const
{
    std::string lines;
    for (auto const& edge : edges_)
    {
        std::istringstream text(edge->log_text());
        for (std::string line; std::getline(text, line);)
        {
            for (char const* const event :
                 {"event=suspect_", "event=crash_mark_", "event=engine_check", "event=holder_",
                  "event=lease_", "event=state_source", "event=start"})
            {
                lines += line.find(event) == std::string::npos ? "" : line + "\n";
            }
        }
    }
    return lines;
}

void crash_fleet::restart_all_instances()
{
    for (auto const& edge : edges_)
    {
        edge->process().send(SIGKILL);
        cr_assert(edge->process().wait(seconds{5}));
    }
    for (auto const& edge : edges_)
    {
        edge->start();
    }
    for (auto const& edge : edges_)
    {
        cr_assert(edge->wait_ready());
    }
}

void crash_fleet::expect_few_late_bad_runs(std::size_t crashes_before_rule)
{
    auto const all = crashes();
    cr_assert_geq(all.size(), std::size_t{1}, "no engine crashed");
    if (all.size() < crashes_before_rule)
    {
        return; // The part or request was recognised before the rule begins to count.
    }
    std::size_t const late = runs_after(all[crashes_before_rule - 1] + contact_time);
    cr_expect_leq(late, allowed_late_requests, "%zu runs after crash %zu, %zu engines ended\n%s", late,
                  crashes_before_rule, all.size(), log_of_marks().c_str());
}

void expect_mostly_whole(std::vector<sent_request> const& sent)
{
    auto const whole =
        std::count_if(sent.begin(), sent.end(), [](sent_request const& each) { return each.whole; });
    cr_assert_geq(sent.size(), std::size_t{20}, "only %zu requests were sent", sent.size());
    cr_expect_geq(static_cast<std::size_t>(whole) * 2, sent.size(), "%zu of %zu served",
                  static_cast<std::size_t>(whole), sent.size());
}

} // namespace siskinusher::standins
