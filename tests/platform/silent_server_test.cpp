#include "tests/wire/small_fleet.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <future>
#include <optional>
#include <string>
#include <vector>

using namespace siskinusher::standins;

// Streams of example_config() may pause for 250 ms; after three times that, 750 ms, an instance looks for
// another engine. Every answer is due 4 s after its request, so that a server that is silent for 1.5 s still
// answers in time.

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds long_pause{1500};
// Several requests fail together in the incident; a server with several failures is avoided for longer.
constexpr unsigned requests_at_once = 8;
constexpr char const* all_events = "1 2 3 4 5 6 ";

// Outcome of a request in the log; empty while the request is open.
std::string logged_outcome(edge_child const& edge, std::string const& id)
{
    std::string const text = edge.log_text();
    std::string const line = "event=request request=" + id + " outcome=";
    std::size_t const at = text.find(line);
    std::size_t const begin = at + line.size();
    return at == std::string::npos ? std::string() : text.substr(begin, text.find(' ', begin) - begin);
}

// Lines of the log that show what became of a request.
std::string log_of(edge_child const& edge, std::string const& id)
{
    std::string const text = edge.log_text();
    std::string lines;
    for (std::size_t at = 0; at < text.size();)
    {
        std::size_t const end = std::min(text.find('\n', at), text.size());
        std::string const line = text.substr(at, end - at);
        lines += line.find("request=" + id + " ") == std::string::npos ? "" : line + "\n";
        at = end + 1;
    }
    return lines;
}

std::future<std::optional<http_answer>> begin_stream(edge_child const& edge, std::string const& id)
{
    return std::async(std::launch::async,
                      [&edge, id] {
                          return edge.call("POST", "/stream/1", id, {{"Model", "m0"}});
                      });
}

// Opens requests_at_once repeatable requests.
std::vector<std::future<std::optional<http_answer>>> begin_requests(edge_child const& edge)
{
    std::vector<std::future<std::optional<http_answer>>> answers;
    for (unsigned i = 0; i < requests_at_once; ++i)
    {
        answers.push_back(std::async(std::launch::async, [&edge, i]
                                     { return edge.call("GET", "/again/1", "r" + std::to_string(i)); }));
    }
    return answers;
}

void expect_plain_answer(edge_child const& edge, std::string const& id,
                         std::optional<http_answer> const& answer)
{
    cr_expect(answer && answer->status == 200 && answer->body == "body of " + id, "%s: status %d\n%s",
              id.c_str(), answer ? answer->status : 0, log_of(edge, id).c_str());
}

void expect_whole_stream(edge_child const& edge, std::string const& id,
                         std::optional<http_answer> const& answer)
{
    (void)eventually([&] { return !logged_outcome(edge, id).empty(); }, seconds{2});
    std::string const events = answer ? event_ids(answer->body) : std::string("no answer");
    std::string const log = log_of(edge, id);
    cr_expect(answer && answer->status == 200, "%s: status %d", id.c_str(), answer ? answer->status : 0);
    cr_expect(events == all_events, "%s: events %s\n%s", id.c_str(), events.c_str(), log.c_str());
    cr_expect(logged_outcome(edge, id) == "served", "%s: outcome %s", id.c_str(),
              logged_outcome(edge, id).c_str());
}

// Expects that an engine has run each of the requests r0, r1, ... once, and that none was cancelled.
void expect_one_run_each(backend_standin& engine, unsigned requests)
{
    for (unsigned i = 0; i < requests; ++i)
    {
        std::string const id = "r" + std::to_string(i);
        cr_expect(engine.runs()[id] == 1, "%s: %u runs", id.c_str(), engine.runs()[id]);
    }
    cr_expect(engine.cancelled() == 0, "%u of %u runs cancelled", engine.cancelled(), engine.total_runs());
}

// Opens requests_at_once streams at the only engine, calls `during_pause` while all are silent, and expects
// that all of them complete.
template <typename Action>
void expect_streams_survive_a_pause(single_server_fleet& fleet, Action during_pause)
{
    fleet.engine.set_pause(2, long_pause);
    std::vector<std::future<std::optional<http_answer>>> streams;
    for (unsigned i = 0; i < requests_at_once; ++i)
    {
        streams.push_back(begin_stream(fleet.edge, "r" + std::to_string(i)));
    }
    cr_assert(eventually([&fleet] { return fleet.engine.pausing() == requests_at_once; }, seconds{1}));
    during_pause();
    for (unsigned i = 0; i < requests_at_once; ++i)
    {
        expect_whole_stream(fleet.edge, "r" + std::to_string(i), streams[i].get());
    }
    expect_one_run_each(fleet.engine, requests_at_once);
}

} // namespace

// Guards against giving up an engine that pauses when no other engine holds the model.
Test(silent_server, pausing_stream_of_the_only_engine_completes)
{
    single_server_fleet fleet;
    fleet.engine.set_pause(2, long_pause);
    expect_whole_stream(fleet.edge, "r0", begin_stream(fleet.edge, "r0").get());
    expect_one_run_each(fleet.engine, 1);
}

// Guards against breaking off all streams that an engine pauses at the same time.
Test(silent_server, many_pausing_streams_complete)
{
    single_server_fleet fleet;
    expect_streams_survive_a_pause(fleet, [] {});
}

// Guards against breaking off open streams when new time limits arrive: a request keeps those of its arrival.
Test(silent_server, many_pausing_streams_complete_beside_new_time_limits)
{
    single_server_fleet fleet;
    expect_streams_survive_a_pause(
        fleet,
        [&fleet]
        {
            auto changed = example_config(2);
            for (auto& route : changed["routes"])
            {
                route["timeout_ms"] = 1000;
            }
            fleet.store.write("config", "main", changed);
            cr_expect(eventually(
                [&fleet] {
                    return fleet.edge.log_text().find("event=config_in_force version=2") != std::string::npos;
                },
                seconds{1}));
            cr_expect(fleet.engine.pausing() == requests_at_once, "the change came after the pause");
        });
}

// Guards against giving up an engine that pauses before another one has accepted the stream.
Test(silent_server, pausing_stream_completes_when_the_other_engine_rejects)
{
    small_fleet fleet;
    fleet.engine_1.set_pause(2, long_pause);
    fleet.engine_2.set_pause(2, long_pause);
    auto stream = begin_stream(fleet.edge, "r0");
    cr_assert(eventually([&fleet] { return fleet.engine_1.pausing() + fleet.engine_2.pausing() == 1; },
                         seconds{1}));
    bool const at_first = fleet.engine_1.pausing() == 1;
    (at_first ? fleet.engine_2 : fleet.engine_1).set_fault(backend_fault::rejects);
    expect_whole_stream(fleet.edge, "r0", stream.get());
    expect_one_run_each(at_first ? fleet.engine_1 : fleet.engine_2, 1);
}

// Guards against giving up an engine that pauses when the other one cannot be reached.
Test(silent_server, pausing_stream_completes_when_the_other_engine_is_unreachable)
{
    small_fleet fleet;
    fleet.engine_1.set_pause(2, long_pause);
    fleet.engine_2.set_pause(2, long_pause);
    auto stream = begin_stream(fleet.edge, "r0");
    cr_assert(eventually([&fleet] { return fleet.engine_1.pausing() + fleet.engine_2.pausing() == 1; },
                         seconds{1}));
    bool const at_first = fleet.engine_1.pausing() == 1;
    (at_first ? fleet.engine_2 : fleet.engine_1).publish_address("127.0.0.1:1");
    expect_whole_stream(fleet.edge, "r0", stream.get());
    expect_one_run_each(at_first ? fleet.engine_1 : fleet.engine_2, 1);
}

// Guards against giving up a slow server of repeatable requests when there is no other.
Test(silent_server, slow_answers_of_the_only_server_arrive)
{
    single_server_fleet fleet;
    fleet.plain.set_work_time(milliseconds{1200}); // An instance looks for another server after 500 ms.
    auto answers = begin_requests(fleet.edge);
    for (unsigned i = 0; i < requests_at_once; ++i)
    {
        expect_plain_answer(fleet.edge, "r" + std::to_string(i), answers[i].get());
    }
    expect_one_run_each(fleet.plain, requests_at_once);
}

// Guards against waiting for a server that does not answer in time while another server is free.
Test(silent_server, requests_of_a_silent_server_are_answered_by_another)
{
    small_fleet fleet;
    fleet.plain_1.set_work_time(milliseconds{4500}); // Longer than the route's time limit.
    auto answers = begin_requests(fleet.edge);
    for (unsigned i = 0; i < requests_at_once; ++i)
    {
        expect_plain_answer(fleet.edge, "r" + std::to_string(i), answers[i].get());
    }
    cr_expect(fleet.plain_1.total_runs() > 0, "the silent server got no request");
}

// Guards against waiting for an engine that stays silent while another engine with the model is free.
Test(silent_server, stream_of_a_silent_engine_goes_on_at_another)
{
    small_fleet fleet;
    fleet.engine_1.set_pause(2, milliseconds{3500});
    fleet.engine_2.set_pause(2, milliseconds{3500}); // A stream resumed after event 2 does not pause.
    expect_whole_stream(fleet.edge, "r0", begin_stream(fleet.edge, "r0").get());
    cr_expect(fleet.engine_1.runs()["r0"] == 1 && fleet.engine_2.runs()["r0"] == 1, "%s",
              log_of(fleet.edge, "r0").c_str());
    cr_expect(eventually([&fleet] { return fleet.engine_1.cancelled() + fleet.engine_2.cancelled() == 1; },
                         seconds{1}));
}
