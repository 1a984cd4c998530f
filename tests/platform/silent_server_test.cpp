#include "tests/support/fault_server.hpp"
#include "tests/wire/request_checks.hpp"
#include "tests/wire/small_fleet.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <cstddef>
#include <future>
#include <optional>
#include <string>
#include <vector>

using namespace siskinusher::standins;
using siskinusher::fault_connection;
using siskinusher::fault_server;

// Streams of example_config() may pause for 250 ms; after three times that, 750 ms, an instance looks for
// another engine. Every answer is due 4 s after its request, so that a server that is silent for 1.5 s still
// answers in time.

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds long_pause{1500};

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

// Scripts that reject requests as not run, with a body that never comes.
std::vector<fault_server::script> rejections_without_body()
{
    auto const script = [](fault_connection& caller)
    {
        if (caller.receive())
        {
            caller.send("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nAttempt-Id: " +
                        caller.header("Attempt-Id") + "\r\nContent-Length: 10\r\n\r\n");
            caller.wait_for_close();
        }
    };
    return std::vector<fault_server::script>(std::size_t{4} * requests_at_once, script);
}

// Two servers of each service, of which one rejects everything without sending the body of the rejection.
struct rejecting_fleet
{
    rejecting_fleet()
    {
        store.write("config", "main", example_config(1));
        rejecting_plain.publish_address(rejecting.address());
        rejecting_engine.publish_address(rejecting.address());
        edge.emplace("edge-1", store.address());
        cr_assert(edge->wait_ready(), "%s", edge->log_text().c_str());
    }

    fault_server rejecting{rejections_without_body()};
    store_standin store;
    backend_standin rejecting_plain{store, "p1", "plain"}; ///< Of equal servers, the first one is chosen.
    backend_standin plain{store, "p2", "plain"};
    backend_standin engine{store, "e1", "llm", {"m0"}};
    backend_standin rejecting_engine{store, "e2", "llm", {"m0"}};
    std::optional<edge_child> edge;
};

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

// Guards against a stalled stream that lasts until its deadline because its engine sends a byte now and then:
// progress is an event, not a byte.
Test(silent_server, stream_of_an_engine_that_sends_parts_of_an_event_goes_on_at_another)
{
    small_fleet fleet;
    for (backend_standin* const engine : {&fleet.engine_1, &fleet.engine_2})
    {
        engine->set_pause(2, milliseconds{3500}); // A stream resumed after event 2 does not pause.
        engine->set_pause_bytes("d");
    }
    expect_whole_stream(fleet.edge, "r0", begin_stream(fleet.edge, "r0").get());
    cr_expect(fleet.engine_1.runs()["r0"] == 1 && fleet.engine_2.runs()["r0"] == 1, "%s",
              log_of(fleet.edge, "r0").c_str());
}

// Guards against the same with comments, which keep a connection open and are no progress either. They also
// made the stream count as one that cannot go on elsewhere, because they have no id.
Test(silent_server, stream_of_an_engine_that_sends_comments_goes_on_at_another)
{
    small_fleet fleet;
    for (backend_standin* const engine : {&fleet.engine_1, &fleet.engine_2})
    {
        engine->set_pause(2, milliseconds{3500});
        engine->set_pause_bytes(": waiting\n\n");
    }
    expect_whole_stream(fleet.edge, "r0", begin_stream(fleet.edge, "r0").get());
    cr_expect(fleet.engine_1.runs()["r0"] == 1 && fleet.engine_2.runs()["r0"] == 1, "%s",
              log_of(fleet.edge, "r0").c_str());
}

// Guards against giving up a slow but sound engine for that: comments and parts of events beside events that
// come within the limit change nothing.
Test(silent_server, slow_stream_with_comments_completes_at_its_engine)
{
    small_fleet fleet;
    for (backend_standin* const engine : {&fleet.engine_1, &fleet.engine_2})
    {
        engine->set_work_time(milliseconds{300});
        engine->set_pause(2, milliseconds{250});
        engine->set_pause_bytes(": waiting\n\n");
    }
    expect_whole_stream(fleet.edge, "r0", begin_stream(fleet.edge, "r0").get());
    cr_expect(fleet.engine_1.runs()["r0"] + fleet.engine_2.runs()["r0"] == 1, "%s",
              log_of(fleet.edge, "r0").c_str());
}

// Guards against giving up a slow server of repeatable requests for one that accepts them and never answers.
Test(silent_server, slow_answer_arrives_although_the_other_server_is_silent)
{
    fault_server silent(std::vector<fault_server::script>(requests_at_once,
                                                          [](fault_connection& caller)
                                                          {
                                                              (void)caller.receive();
                                                              caller.wait_for_close();
                                                          }));
    store_standin store;
    store.write("config", "main", example_config(1));
    backend_standin slow(store, "p1", "plain"); // Of equal servers, the first one is chosen.
    slow.set_work_time(milliseconds{1200});
    backend_standin other(store, "p2", "plain");
    other.publish_address(silent.address());
    edge_child edge("edge-1", store.address());
    cr_assert(edge.wait_ready(), "%s", edge.log_text().c_str());
    expect_plain_answer(edge, "r0", edge.call("GET", "/again/1", "r0"));
    expect_one_run_each(slow, 1);
    cr_expect(silent.accepted() > 0, "%s", log_of(edge, "r0").c_str());
}

// Guards against waiting for the body of a rejection, which proves by its head that the request did not run.
Test(silent_server, rejection_whose_body_never_comes_goes_on_elsewhere)
{
    rejecting_fleet fleet;
    expect_plain_answer(*fleet.edge, "r0", fleet.edge->call("POST", "/once/1", "r0"));
    std::string const log = log_of(*fleet.edge, "r0");
    cr_expect(log.find("backend=p1 why=full") != std::string::npos, "%s", log.c_str());
}

// Guards against giving up an engine that pauses for one whose rejection comes without its body.
Test(silent_server, pausing_stream_outlasts_a_rejection_whose_body_never_comes)
{
    rejecting_fleet fleet;
    fleet.engine.set_pause(2, long_pause);
    expect_whole_stream(*fleet.edge, "r0", begin_stream(*fleet.edge, "r0").get());
    expect_one_run_each(fleet.engine, 1);
    cr_expect(log_of(*fleet.edge, "r0").find("replaces=e1") != std::string::npos, "%s",
              log_of(*fleet.edge, "r0").c_str());
}
