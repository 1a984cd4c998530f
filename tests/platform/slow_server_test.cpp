#include "tests/wire/request_checks.hpp"
#include "tests/wire/small_fleet.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <csignal>
#include <future>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace siskinusher::standins;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds long_pause{1500};

} // namespace

// Guards against giving up an engine that pauses for one that rejects the streams half a second later.
Test(slow_server, streams_survive_a_late_rejection)
{
    small_fleet fleet;
    fleet.engine_2.write_entry("draining");
    std::this_thread::sleep_for(milliseconds{300});
    fleet.engine_1.set_pause(2, milliseconds{2500});
    fleet.engine_2.set_fault(backend_fault::rejects_late);
    std::vector<std::future<std::optional<http_answer>>> streams;
    for (unsigned i = 0; i < 4; ++i)
    {
        streams.push_back(begin_stream(fleet.edge, "r" + std::to_string(i)));
    }
    cr_assert(eventually([&fleet] { return fleet.engine_1.pausing() == 4; }, seconds{1}));
    fleet.engine_2.write_entry("ready");
    for (unsigned i = 0; i < 4; ++i)
    {
        expect_whole_stream(fleet.edge, "r" + std::to_string(i), streams[i].get());
    }
    expect_one_run_each(fleet.engine_1, 4);
}

// Guards against starting slow requests anew at a second server that is as slow.
Test(slow_server, slow_answers_arrive_although_another_server_is_as_slow)
{
    small_fleet fleet;
    fleet.plain_1.set_work_time(milliseconds{3600});
    fleet.plain_2.set_work_time(milliseconds{3600});
    auto answers = begin_requests(fleet.edge);
    for (unsigned i = 0; i < requests_at_once; ++i)
    {
        expect_plain_answer(fleet.edge, "r" + std::to_string(i), answers[i].get());
    }
}

// Guards against a limit below the time that the route allows.
Test(slow_server, slow_answers_arrive_from_the_only_server)
{
    single_server_fleet fleet;
    fleet.plain.set_work_time(milliseconds{3600});
    auto answers = begin_requests(fleet.edge);
    for (unsigned i = 0; i < requests_at_once; ++i)
    {
        expect_plain_answer(fleet.edge, "r" + std::to_string(i), answers[i].get());
    }
}

// Guards against refusing new streams because the only engine of their model has paused.
Test(slow_server, only_engine_serves_new_streams_after_a_pause)
{
    single_server_fleet fleet;
    fleet.engine.set_pause(2, milliseconds{1000});
    std::vector<std::future<std::optional<http_answer>>> streams;
    for (unsigned i = 0; i < 4; ++i)
    {
        streams.push_back(begin_stream(fleet.edge, "r" + std::to_string(i)));
    }
    cr_assert(eventually([&fleet] { return fleet.engine.pausing() == 4; }, seconds{1}));
    fleet.engine.set_pause(0, milliseconds{0});
    for (unsigned i = 0; i < 4; ++i)
    {
        expect_whole_stream(fleet.edge, "r" + std::to_string(i), streams[i].get());
    }
    expect_whole_stream(fleet.edge, "new", begin_stream(fleet.edge, "new").get());
}

// Guards against refusing a stream because of the short deadlines of earlier callers.
Test(slow_server, deadline_of_a_caller_leaves_the_only_engine_in_use)
{
    single_server_fleet fleet;
    fleet.engine.set_work_time(milliseconds{100});
    for (unsigned i = 0; i < 4; ++i)
    {
        (void)fleet.edge.call("POST", "/stream/1", "s" + std::to_string(i),
                              {{"Model", "m0"}, {"Deadline-Ms", "150"}});
    }
    expect_whole_stream(fleet.edge, "new", begin_stream(fleet.edge, "new").get());
}

// Guards against the answer 404 of another engine ending a begun stream.
Test(slow_server, failure_of_another_engine_does_not_end_a_begun_stream)
{
    small_fleet fleet;
    fleet.engine_2.write_entry("draining");
    std::this_thread::sleep_for(milliseconds{300});
    fleet.engine_1.set_pause(2, long_pause);
    fleet.engine_2.set_fault(backend_fault::not_found);
    auto stream = begin_stream(fleet.edge, "r0");
    cr_assert(eventually([&fleet] { return fleet.engine_1.pausing() == 1; }, seconds{1}));
    fleet.engine_2.write_entry("ready");
    auto const answer = stream.get();
    expect_whole_stream(fleet.edge, "r0", answer);
    expect_one_run_each(fleet.engine_1, 1);
}

// Guards against rejections during a silence using up the attempts that a stream needs when its engine breaks
// off.
Test(slow_server, stream_goes_on_after_rejections_and_a_break)
{
    small_fleet fleet;
    fleet.engine_2.write_entry("draining");
    std::this_thread::sleep_for(milliseconds{300});
    fleet.engine_1.set_pause(2, milliseconds{3100});
    fleet.engine_1.set_fault(backend_fault::breaks_stream);
    fleet.engine_2.set_fault(backend_fault::rejects);
    auto stream = begin_stream(fleet.edge, "r0");
    cr_assert(eventually([&fleet] { return fleet.engine_1.pausing() == 1; }, seconds{1}));
    fleet.engine_2.write_entry("ready");
    std::this_thread::sleep_for(milliseconds{2800});
    fleet.engine_2.set_fault(backend_fault::none);
    expect_whole_stream(fleet.edge, "r0", stream.get());
}

// Guards against giving up the answer of a slow server for an idle one that is as slow.
Test(slow_server, slow_answer_arrives_although_an_idle_server_is_as_slow)
{
    small_fleet fleet;
    fleet.plain_1.set_work_time(milliseconds{3600});
    fleet.plain_2.set_work_time(milliseconds{3600});
    expect_plain_answer(fleet.edge, "r0", fleet.edge.call("GET", "/again/1", "r0"));
}

// Guards against giving up an engine that pauses for one that begins later than the pause ends.
Test(slow_server, pausing_stream_completes_beside_an_engine_that_does_not_begin)
{
    small_fleet fleet;
    fleet.engine_2.write_entry("draining");
    std::this_thread::sleep_for(milliseconds{300});
    fleet.engine_1.set_pause(2, long_pause);
    fleet.engine_2.set_work_time(milliseconds{3000});
    auto stream = begin_stream(fleet.edge, "r0");
    cr_assert(eventually([&fleet] { return fleet.engine_1.pausing() == 1; }, seconds{1}));
    fleet.engine_2.write_entry("ready");
    expect_whole_stream(fleet.edge, "r0", stream.get());
}

// Guards against refusing a stream because of short deadlines that end at the same time.
Test(slow_server, short_deadlines_at_once_leave_the_only_engine_in_use)
{
    single_server_fleet fleet;
    fleet.engine.set_work_time(milliseconds{100});
    std::vector<std::future<std::optional<http_answer>>> calls;
    for (unsigned i = 0; i < 4; ++i)
    {
        calls.push_back(std::async(std::launch::async,
                                   [&fleet, i]
                                   {
                                       return fleet.edge.call("POST", "/stream/1", "s" + std::to_string(i),
                                                              {{"Model", "m0"}, {"Deadline-Ms", "150"}});
                                   }));
    }
    for (auto& call : calls)
    {
        (void)call.get();
    }
    expect_whole_stream(fleet.edge, "new", begin_stream(fleet.edge, "new").get());
}

// Guards against giving up an answer whose body is under way.
Test(slow_server, answer_with_a_slow_body_arrives)
{
    small_fleet fleet;
    fleet.plain_1.set_work_time(milliseconds{3600});
    fleet.plain_2.set_work_time(milliseconds{3600});
    fleet.plain_1.set_fault(backend_fault::slow_body);
    fleet.plain_2.set_fault(backend_fault::slow_body);
    expect_plain_answer(fleet.edge, "r0", fleet.edge.call("GET", "/again/1", "r0"));
}

// Guards against a limit on the time between the parts of a body.
Test(slow_server, answer_with_a_slow_body_arrives_from_the_only_server)
{
    single_server_fleet fleet;
    fleet.plain.set_work_time(milliseconds{3600});
    fleet.plain.set_fault(backend_fault::slow_body);
    expect_plain_answer(fleet.edge, "r0", fleet.edge.call("GET", "/again/1", "r0"));
}

// Guards against a stopping instance that no longer looks for another engine for a begun stream.
Test(slow_server, stopping_instance_goes_on_looking_for_another_engine)
{
    small_fleet fleet;
    fleet.engine_2.write_entry("draining");
    std::this_thread::sleep_for(milliseconds{300});
    fleet.engine_1.set_pause(2, milliseconds{5000});
    auto stream = begin_stream(fleet.edge, "r0");
    cr_assert(eventually([&fleet] { return fleet.engine_1.pausing() == 1; }, seconds{1}));
    fleet.edge.process().send(SIGTERM);
    std::this_thread::sleep_for(milliseconds{2000});
    fleet.engine_2.write_entry("ready");
    expect_whole_stream(fleet.edge, "r0", stream.get());
}

// Guards against places that stay taken, and requests that stay open, after silences close to the limits.
Test(slow_server, storm_leaves_no_place_taken)
{
    small_fleet fleet;
    backend_fault const faults[] = {backend_fault::none,         backend_fault::rejects,
                                    backend_fault::rejects_late, backend_fault::breaks_stream,
                                    backend_fault::lost_answer,  backend_fault::wrong_request_id,
                                    backend_fault::server_error};
    unsigned sent = 0;
    for (unsigned round = 0; round < 21; ++round)
    {
        milliseconds const pause{round % 3 == 0 ? 752 : round % 3 == 1 ? 850 : 953};
        fleet.engine_1.set_pause(2, pause);
        fleet.engine_2.set_pause(2, pause);
        fleet.engine_1.set_fault(backend_fault::none);
        fleet.engine_2.set_fault(backend_fault::none);
        std::vector<std::future<std::optional<http_answer>>> streams;
        for (unsigned i = 0; i < 10; ++i, ++sent)
        {
            streams.push_back(std::async(std::launch::async,
                                         [&fleet, i, sent]
                                         {
                                             std::map<std::string, std::string> headers{{"Model", "m0"}};
                                             if (i % 5 == 4)
                                             {
                                                 headers["Deadline-Ms"] = std::to_string(755 + i * 20);
                                             }
                                             return fleet.edge.call("POST", "/stream/1",
                                                                    "q" + std::to_string(sent), headers);
                                         }));
        }
        std::this_thread::sleep_for(milliseconds{200});
        fleet.engine_1.set_fault(faults[round % 7]);
        fleet.engine_2.set_fault(faults[(round / 3) % 7]);
        for (auto& stream : streams)
        {
            auto const answer = stream.get();
            std::string const events = answer ? event_ids(answer->body) : std::string();
            cr_expect(events.empty() || std::string(all_events).rfind(events, 0) == 0, "events %s",
                      events.c_str());
        }
    }
    for (unsigned i = 0; i < sent; ++i)
    {
        std::string const id = "q" + std::to_string(i);
        cr_expect(eventually([&] { return !logged_outcome(fleet.edge, id).empty(); }, seconds{5}),
                  "%s open\n%s", id.c_str(), log_of(fleet.edge, id).c_str());
    }
    fleet.engine_1.set_fault(backend_fault::none);
    fleet.engine_2.set_fault(backend_fault::none);
    fleet.engine_1.set_pause(2, milliseconds{400});
    fleet.engine_2.set_pause(2, milliseconds{400});
    std::this_thread::sleep_for(seconds{6});
    std::vector<std::future<std::optional<http_answer>>> streams;
    for (unsigned i = 0; i < 20; ++i)
    {
        streams.push_back(begin_stream(fleet.edge, "z" + std::to_string(i)));
    }
    for (unsigned i = 0; i < 20; ++i)
    {
        std::string const id = "z" + std::to_string(i);
        expect_whole_stream(fleet.edge, id, streams[i].get());
        cr_expect(log_of(fleet.edge, id).find("waited_ms=0") != std::string::npos, "%s",
                  log_of(fleet.edge, id).c_str());
    }
}

// Guards against breaking off a begun stream at once when its engine fails during a stop.
Test(slow_server, stopping_instance_lets_a_broken_stream_wait)
{
    small_fleet fleet;
    fleet.engine_2.write_entry("draining");
    std::this_thread::sleep_for(milliseconds{300});
    fleet.engine_1.set_pause(2, milliseconds{1600});
    fleet.engine_1.set_fault(backend_fault::breaks_stream);
    auto stream = begin_stream(fleet.edge, "r0");
    cr_assert(eventually([&fleet] { return fleet.engine_1.pausing() == 1; }, seconds{1}));
    fleet.edge.process().send(SIGTERM);
    std::this_thread::sleep_for(milliseconds{1800});
    fleet.engine_2.write_entry("ready");
    expect_whole_stream(fleet.edge, "r0", stream.get());
}

// Guards against breaking off a stream whose engine is lost after a long silence while its caller waits.
Test(slow_server, stream_lost_after_a_long_silence_waits_for_another_engine)
{
    small_fleet fleet;
    fleet.engine_2.write_entry("draining");
    std::this_thread::sleep_for(milliseconds{300});
    fleet.engine_1.set_pause(2, milliseconds{2200});
    fleet.engine_1.set_fault(backend_fault::breaks_stream);
    auto stream = begin_stream(fleet.edge, "r0");
    cr_assert(eventually([&fleet] { return fleet.engine_1.pausing() == 1; }, seconds{1}));
    std::this_thread::sleep_for(milliseconds{2500});
    fleet.engine_2.write_entry("ready");
    expect_whole_stream(fleet.edge, "r0", stream.get());
}

// Guards against cancelling the second server of a request because the first one answers with an error.
Test(slow_server, error_of_a_slow_server_leaves_the_other_one_at_work)
{
    small_fleet fleet;
    fleet.plain_1.set_fault(backend_fault::server_error); // Of equal servers, the first one is chosen.
    fleet.plain_1.set_work_time(milliseconds{800});
    fleet.plain_2.set_work_time(milliseconds{700});
    expect_plain_answer(fleet.edge, "r0", fleet.edge.call("GET", "/again/1", "r0"));
    expect_one_run_each(fleet.plain_2, 1);
    cr_expect(fleet.plain_1.runs()["r0"] == 1, "%s", log_of(fleet.edge, "r0").c_str());
}
