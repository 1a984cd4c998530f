#include "tests/wire/small_fleet.hpp"

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>

#include <criterion/criterion.h>

#include <algorithm>
#include <csignal>
#include <future>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace siskinusher::standins;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace

// Guards against failures of routes, answers, streams and unknown paths while there is no fault.
Test(edge_process, serves_without_faults)
{
    small_fleet fleet;
    auto const plain = fleet.edge.call("POST", "/once/1", "r1");
    cr_assert(plain && plain->status == 200);
    cr_assert_eq(plain->body, "body of r1");
    cr_assert(plain->headers.count("Server-Stamp") == 1);
    auto const stream = fleet.edge.call("POST", "/stream/1", "r2", {{"Model", "m0"}});
    cr_assert(stream && stream->status == 200);
    cr_assert_eq(event_ids(stream->body), "1 2 3 4 5 6 ");
    auto const none = fleet.edge.call("GET", "/elsewhere/", "r3");
    cr_assert(none && none->status == 404);
    cr_assert_eq(fleet.engine_1.last_header("Hold") + fleet.engine_2.last_header("Hold"), "");
}

// Guards against a 404 from an instance that knows no configuration yet.
Test(edge_process, without_a_configuration_it_is_not_ready_and_refuses)
{
    store_standin store;
    edge_child const edge("edge-1", store.address());
    cr_assert(eventually([&edge] { return edge.call("GET", "/again/1", "r1").has_value(); }));
    cr_assert_not(edge.ready());
    auto const refused = edge.call("GET", "/again/1", "r2");
    cr_assert(refused && refused->status == 503);
    cr_assert(refused->headers.count("Retry-After") == 1);
    store.write("config", "main", example_config(1));
    cr_assert(edge.wait_ready());
}

// Guards against a call that must not be repeated running twice, for example a debit, or being refused as
// "not run" although it may have run.
Test(edge_process, lost_answer_of_a_call_is_not_repeated)
{
    small_fleet fleet;
    fleet.plain_1.set_fault(backend_fault::lost_answer);
    fleet.plain_2.set_fault(backend_fault::lost_answer);
    auto const answer = fleet.edge.call("POST", "/once/1", "r1");
    cr_assert(answer && (answer->status == 502 || answer->status == 504));
    cr_assert_eq(fleet.plain_1.total_runs() + fleet.plain_2.total_runs(), 1);
}

// Guards against an idempotent request failing although another server could answer it.
Test(edge_process, idempotent_request_is_tried_elsewhere)
{
    small_fleet fleet;
    for (backend_fault const fault : {backend_fault::server_error, backend_fault::lost_answer,
                                      backend_fault::rejects, backend_fault::wrong_request_id})
    {
        fleet.plain_1.set_fault(fault);
        for (int i = 0; i < 4; ++i)
        {
            auto const id = "r" + std::to_string(static_cast<int>(fault)) + "-" + std::to_string(i);
            auto const answer = fleet.edge.call("GET", "/again/1", id);
            cr_assert(answer && answer->status == 200, "fault %d", static_cast<int>(fault));
            cr_assert_eq(answer->body, "body of " + id);
        }
    }
}

// Guards against refusing a call that another server would accept: a rejection proves that it did not run.
Test(edge_process, rejected_call_goes_to_another_server)
{
    small_fleet fleet;
    fleet.plain_1.set_fault(backend_fault::rejects);
    auto const answer = fleet.edge.call("POST", "/once/1", "r1");
    cr_assert(answer && answer->status == 200);
    cr_assert_eq(fleet.plain_1.total_runs(), 0);
    fleet.plain_2.set_fault(backend_fault::rejects);
    auto const refused = fleet.edge.call("POST", "/once/1", "r2");
    cr_assert(refused && refused->status == 503);
    cr_assert(refused->headers.count("Retry-After") == 1);
    cr_assert_eq(fleet.plain_1.runs()["r2"] + fleet.plain_2.runs()["r2"], 0);
}

// Guards against missing or repeated events when an engine closes a stream in the middle of an event.
Test(edge_process, broken_stream_goes_on_at_another_engine)
{
    small_fleet fleet;
    fleet.engine_1.set_fault(backend_fault::breaks_stream);
    for (int i = 0; i < 3; ++i)
    {
        auto const stream = fleet.edge.call("POST", "/stream/1", "r" + std::to_string(i), {{"Model", "m0"}});
        cr_assert(stream.has_value());
        cr_assert_eq(event_ids(stream->body), "1 2 3 4 5 6 ");
    }
    auto const resumed =
        fleet.edge.call("POST", "/stream/1", "r9", {{"Model", "m0"}, {"Last-Event-Id", "4"}});
    cr_assert(resumed.has_value());
    cr_assert_eq(event_ids(resumed->body), "5 6 ");
}

// Guards against passing on a stream as complete when its engine, which marks no end, closed the connection
// before it had written a whole event, and against refusing whole streams of that form.
Test(edge_process, stream_without_a_length_that_ends_early_goes_on_elsewhere)
{
    small_fleet fleet;
    for (backend_fault const fault :
         {backend_fault::empty_stream, backend_fault::broken_stream, backend_fault::open_stream})
    {
        fleet.engine_1.set_fault(fault);
        for (int i = 0; i < 4; ++i)
        {
            auto const id = "r" + std::to_string(static_cast<int>(fault)) + "-" + std::to_string(i);
            auto const stream = fleet.edge.call("POST", "/stream/1", id, {{"Model", "m0"}});
            cr_assert(stream && stream->status == 200, "%s", id.c_str());
            cr_expect_eq(event_ids(stream->body), "1 2 3 4 5 6 ", "%s: events %s", id.c_str(),
                         event_ids(stream->body).c_str());
        }
    }
}

// Guards against a requested model that is never loaded, and against orders of two lease holders.
Test(edge_process, missing_model_is_loaded)
{
    small_fleet fleet;
    edge_child const second("edge-2", fleet.store.address());
    cr_assert(second.wait_ready());
    for (int i = 1; i < 5; ++i)
    {
        auto const model = "m" + std::to_string(i);
        cr_assert(eventually(
            [&]
            {
                auto const answer = (i % 2 == 0 ? second : fleet.edge)
                                        .call("POST", "/stream/1", "r" + model, {{"Model", model}});
                return answer && answer->status == 200;
            }));
    }
    cr_assert_not(fleet.engine_1.exceeded_memory());
    cr_assert_not(fleet.engine_2.exceeded_memory());
    std::set<std::string> holders;
    for (backend_standin* const engine : {&fleet.engine_1, &fleet.engine_2})
    {
        for (received_order const& order : engine->orders())
        {
            holders.insert(order.holder);
        }
    }
    cr_assert_eq(holders.size(), 1);
}

// Guards against store calls that grow with the number of instances, and against a change that does not reach
// all instances: only the lease holder reads it from the store, and the others get it from the holder.
Test(edge_process, instances_follow_the_lease_holder)
{
    small_fleet fleet;
    std::vector<std::unique_ptr<edge_child>> others;
    for (int i = 2; i < 6; ++i)
    {
        others.push_back(std::make_unique<edge_child>("edge-" + std::to_string(i), fleet.store.address()));
    }
    auto const follow = [&]
    {
        unsigned followers = fleet.edge.log_text().find("source=holder") != std::string::npos ? 1 : 0;
        for (auto const& each : others)
        {
            followers += each->log_text().find("source=holder") != std::string::npos ? 1 : 0;
        }
        return followers == 4;
    };
    cr_assert(eventually(follow));
    std::this_thread::sleep_for(milliseconds{500});
    unsigned const before = fleet.store.server_entry_reads();
    std::this_thread::sleep_for(seconds{7});
    // The holder's watch waits 3 s, so that it makes about two calls in 7 s; five instances that each watch
    // the store make ten or more.
    unsigned const reads = fleet.store.server_entry_reads() - before;
    cr_assert_leq(reads, 4, "%u reads", reads);
    fleet.plain_1.write_entry("draining");
    std::this_thread::sleep_for(milliseconds{1500});
    unsigned const runs = fleet.plain_1.total_runs();
    auto changed = example_config(5);
    changed["routes"][0]["path_prefix"] = "/new/";
    fleet.store.write("config", "main", changed);
    for (auto const& each : others)
    {
        for (int i = 0; i < 4; ++i)
        {
            cr_assert(each->call("GET", "/again/1", "r")->status == 200);
        }
        cr_assert(
            eventually([&each] { return each->call("POST", "/new/1", "n")->status == 200; }, seconds{2}));
    }
    cr_assert_eq(fleet.plain_1.total_runs(), runs);
}

// Guards against instances that keep using old state while the lease holder is suspended.
Test(edge_process, instances_turn_to_the_store_when_the_holder_stops)
{
    small_fleet fleet;
    cr_assert(eventually([&fleet]
                         { return fleet.edge.log_text().find("event=lease_gained") != std::string::npos; }));
    edge_child const other("edge-2", fleet.store.address());
    cr_assert(eventually([&other] { return other.log_text().find("source=holder") != std::string::npos; }));
    fleet.edge.process().send(SIGSTOP);
    fleet.plain_1.write_entry("draining");
    std::this_thread::sleep_for(milliseconds{2500});
    unsigned const runs = fleet.plain_1.total_runs();
    for (int i = 0; i < 4; ++i)
    {
        cr_assert(other.call("GET", "/again/1", "r" + std::to_string(i))->status == 200);
    }
    cr_assert_eq(fleet.plain_1.total_runs(), runs);
    fleet.edge.process().send(SIGCONT);
}

// Guards against new requests for a server that is leaving.
Test(edge_process, leaving_server_gets_nothing_new)
{
    small_fleet fleet;
    fleet.plain_1.write_entry("draining");
    std::this_thread::sleep_for(milliseconds{2500});
    unsigned const before = fleet.plain_1.total_runs();
    for (int i = 0; i < 8; ++i)
    {
        cr_assert(fleet.edge.call("POST", "/once/1", "r" + std::to_string(i))->status == 200);
    }
    cr_assert_eq(fleet.plain_1.total_runs(), before);
}

// Guards against a stopping process that breaks off a request or leaves it without an answer, and against
// load balancers sending it new callers.
Test(edge_process, sigterm_finishes_what_was_accepted)
{
    small_fleet fleet;
    fleet.plain_1.set_work_time(milliseconds{1500});
    fleet.plain_2.set_work_time(milliseconds{1500});
    auto slow =
        std::async(std::launch::async, [&fleet] { return fleet.edge.call("POST", "/once/1", "slow"); });
    cr_assert(eventually([&fleet] { return fleet.plain_1.total_runs() + fleet.plain_2.total_runs() == 1; }));
    fleet.edge.process().send(SIGTERM);
    cr_assert(eventually([&fleet] { return !fleet.edge.ready(); }, seconds{2}));
    auto const answer = slow.get();
    cr_assert(answer && answer->status == 200);
    cr_assert_eq(answer->headers.at("Connection"), "close");
    cr_assert(fleet.edge.process().wait(seconds{9}));
    cr_assert_eq(fleet.edge.process().exit_code(), 0);
}

// Guards against a stopping process that exits before a slowly reading caller has received the whole answer.
Test(edge_process, sigterm_waits_for_slow_readers)
{
    small_fleet fleet;
    constexpr std::size_t size = 3000000;
    fleet.plain_1.set_padding(size);
    fleet.plain_2.set_padding(size);
    Poco::Net::StreamSocket caller;
    caller.init(AF_INET);
    caller.setReceiveBufferSize(4096); // Most of the answer stays in the process's buffers.
    caller.connect(Poco::Net::SocketAddress(fleet.edge.caller_address()));
    std::string const request = "GET /again/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: slow\r\n\r\n";
    caller.sendBytes(request.data(), static_cast<int>(request.size()));
    cr_assert(
        eventually([&fleet] { return fleet.edge.log_text().find("outcome=served") != std::string::npos; }));
    fleet.edge.process().send(SIGTERM);
    std::this_thread::sleep_for(milliseconds{3500}); // Longer than a stopping process without requests runs.
    std::size_t received = 0;
    std::vector<char> buffer(65536);
    for (int count = 1; count > 0;)
    {
        count = caller.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        received += count > 0 ? static_cast<std::size_t>(count) : 0;
    }
    cr_assert(received > size, "%zu of %zu bytes", received, size);
}

// Guards against SIGHUP ending the process, and against a broken settings file taking effect.
Test(edge_process, sighup_keeps_serving)
{
    small_fleet fleet;
    for (int i = 0; i < 3; ++i)
    {
        fleet.edge.process().send(SIGHUP);
        auto const answer = fleet.edge.call("POST", "/once/1", "r" + std::to_string(i));
        cr_assert(answer && answer->status == 200);
    }
    cr_assert(
        eventually([&fleet] { return fleet.edge.log_text().find("event=reload") != std::string::npos; }));
}

// Guards against a store outage interrupting requests to known servers, against a new configuration being
// missed when the store has dropped its history, and against an older one replacing it.
Test(edge_process, store_outage_and_lost_history)
{
    small_fleet fleet;
    for (store_standin::mode const mode : {store_standin::mode::busy, store_standin::mode::silent})
    {
        fleet.store.set_mode(mode);
        std::this_thread::sleep_for(milliseconds{600});
        cr_assert(fleet.edge.call("POST", "/once/1", "r" + std::to_string(static_cast<int>(mode)))->status ==
                  200);
        cr_assert(fleet.edge.ready());
        fleet.store.set_mode(store_standin::mode::up);
    }
    auto changed = example_config(5);
    changed["routes"][0]["path_prefix"] = "/new/";
    fleet.store.drop_history();
    fleet.store.write("config", "main", changed);
    cr_assert(
        eventually([&fleet] { return fleet.edge.call("POST", "/new/1", "n")->status == 200; }, seconds{3}));
    fleet.store.write("config", "main", example_config(4));
    std::this_thread::sleep_for(milliseconds{500});
    cr_assert_eq(fleet.edge.call("POST", "/new/1", "n2")->status, 200);
}

// Guards against a foreign entry or configuration ending the process or replacing the known ones.
Test(edge_process, unreadable_objects_are_ignored)
{
    small_fleet fleet;
    fleet.store.write("servers", "odd", {{"service", 7}, {"address", nlohmann::json::array()}});
    fleet.store.write("servers", "odd2", "text");
    fleet.store.write("config", "main", {{"version", 9}, {"routes", "none"}});
    fleet.store.write("config", "other", example_config(99));
    cr_assert(eventually(
        [&fleet] { return fleet.edge.log_text().find("event=config_ignored") != std::string::npos; }));
    cr_assert_eq(fleet.edge.call("POST", "/once/1", "r1")->status, 200);
}

// Guards against engines that continue to work for a caller that has closed its connection.
Test(edge_process, work_ends_when_the_caller_leaves)
{
    small_fleet fleet;
    fleet.engine_1.set_event_count(1000);
    fleet.engine_2.set_event_count(1000);
    fleet.engine_1.set_work_time(milliseconds{300});
    fleet.engine_2.set_work_time(milliseconds{300});
    // The caller gives up before the first event.
    (void)http_call(fleet.edge.caller_address(), "POST", "/stream-once/1", "body",
                    {{"Host", "h"}, {"Attempt-Id", "r1"}, {"Model", "m0"}}, milliseconds{120});
    cr_assert_eq(fleet.engine_1.total_runs() + fleet.engine_2.total_runs(), 1);
    cr_assert(eventually([&fleet] { return fleet.engine_1.cancelled() + fleet.engine_2.cancelled() == 1; },
                         seconds{3}));
}

// Guards against body bytes after the answer to HEAD on a streaming route: the caller takes them for the
// start of its next answer on the kept connection.
Test(edge_process, head_on_a_streaming_route_leaves_the_connection_usable)
{
    small_fleet fleet;
    Poco::Net::StreamSocket caller;
    caller.connect(Poco::Net::SocketAddress(fleet.edge.caller_address()));
    caller.setReceiveTimeout(Poco::Timespan(5, 0));
    std::string received;
    auto const exchange = [&](std::string const& request, std::string const& end)
    {
        caller.sendBytes(request.data(), static_cast<int>(request.size()));
        std::vector<char> buffer(65536);
        while (received.find(end) == std::string::npos)
        {
            int const count = caller.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            cr_assert(count > 0, "closed after: %s", received.c_str());
            received.append(buffer.data(), static_cast<std::size_t>(count));
        }
    };
    exchange("HEAD /stream/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: r1\r\nModel: m0\r\n\r\n", "\r\n\r\n");
    cr_assert_eq(received.find("HTTP/1.1 200 OK\r\n"), 0, "%s", received.c_str());
    cr_assert(received.find("text/event-stream") != std::string::npos, "%s", received.c_str());
    exchange("GET /again/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: r2\r\n\r\n", "body of r2");
    std::string const next = received.substr(received.find("\r\n\r\n") + 4);
    cr_assert_eq(next.find("HTTP/1.1 200 OK\r\n"), 0, "%s", next.c_str());
}

// Guards against chunk framing in a stream to a caller that speaks HTTP/1.0, and against a broken stream that
// looks complete to it.
Test(edge_process, stream_to_http_1_0_ends_with_the_connection)
{
    small_fleet fleet;
    // Returns the received bytes; sets `reset` when the connection ends with a reset.
    auto const stream = [&fleet](std::string const& id, bool& reset)
    {
        Poco::Net::StreamSocket caller;
        caller.connect(Poco::Net::SocketAddress(fleet.edge.caller_address()));
        caller.setReceiveTimeout(Poco::Timespan(5, 0));
        std::string const request =
            "POST /stream-once/1 HTTP/1.0\r\nHost: h\r\nAttempt-Id: " + id + "\r\nModel: m0\r\n\r\n";
        caller.sendBytes(request.data(), static_cast<int>(request.size()));
        std::string received;
        reset = false;
        try
        {
            std::vector<char> buffer(65536);
            for (int count = 1; count > 0;)
            {
                count = caller.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
                received.append(buffer.data(), static_cast<std::size_t>(std::max(count, 0)));
            }
        }
        catch (Poco::Net::ConnectionResetException const&)
        {
            reset = true;
        }
        return received;
    };
    bool reset = false;
    std::string const complete = stream("r1", reset);
    cr_assert_not(reset);
    cr_assert(complete.find("Transfer-Encoding") == std::string::npos, "%s", complete.c_str());
    std::string const body = complete.substr(complete.find("\r\n\r\n") + 4);
    cr_assert_eq(body.find("id: 1\n"), 0, "%s", complete.c_str());
    cr_assert_eq(event_ids(body), "1 2 3 4 5 6 ");
    fleet.engine_1.set_fault(backend_fault::breaks_stream);
    fleet.engine_2.set_fault(backend_fault::breaks_stream);
    std::string const broken = stream("r2", reset);
    cr_assert(reset, "closed in order after: %s", broken.c_str());
}

// Guards against bad input being passed on, or ending the process.
Test(edge_process, bad_requests_get_a_clear_error)
{
    small_fleet fleet;
    auto const with = [&fleet](std::map<std::string, std::string> const& headers)
    { return fleet.edge.call("POST", "/once/1", "r", headers); };
    cr_assert_eq(with({{"X-Large", std::string(20000, 'x')}})->status, 431);
    auto const large = http_call(fleet.edge.caller_address(), "POST", "/once/1", std::string(8U << 20U, 'x'),
                                 {{"Host", "h"}, {"Attempt-Id", "r"}});
    cr_assert(large && large->status == 413);
    auto const without_id = http_call(fleet.edge.caller_address(), "POST", "/once/1", "x", {{"Host", "h"}});
    cr_assert(without_id && without_id->status == 400);
    cr_assert_eq(fleet.plain_1.total_runs() + fleet.plain_2.total_runs(), 0);
    cr_assert_eq(fleet.edge.call("POST", "/once/1", "fine")->status, 200);
}

// Guards against a failed request whose cause cannot be found in the log. Follows the steps of
// docs/OPERATIONS.md from the request id to the cause, for a refused request, one that may have run, and a
// broken stream.
Test(edge_process, log_leads_from_an_id_to_its_cause)
{
    small_fleet fleet;
    auto const line = [&fleet](std::string const& event, std::string const& id)
    {
        std::string const text = fleet.edge.log_text();
        std::size_t const at = text.find("event=" + event + " request=" + id + " ");
        return at == std::string::npos ? std::string() : text.substr(at, text.find('\n', at) - at);
    };
    auto const has = [](std::string const& text, std::string const& part)
    { return text.find(part) != std::string::npos; };
    (void)fleet.edge.call("POST", "/stream/1", "unknown-model", {{"Model", "m99"}});
    fleet.plain_1.set_fault(backend_fault::lost_answer);
    fleet.plain_2.set_fault(backend_fault::lost_answer);
    (void)fleet.edge.call("POST", "/once/1", "lost");
    fleet.engine_1.set_fault(backend_fault::breaks_stream);
    fleet.engine_2.set_fault(backend_fault::breaks_stream);
    (void)fleet.edge.call("POST", "/stream-once/1", "broken", {{"Model", "m0"}});
    cr_assert(eventually([&] { return !line("request", "broken").empty(); }));
    cr_assert(has(line("no_server", "unknown-model"), "candidates=0"));
    cr_assert(has(line("request", "unknown-model"), "outcome=refused_not_run"));
    cr_assert(has(line("attempt_failed", "lost"), "why=lost"));
    cr_assert(has(line("request", "lost"), "outcome=may_have_run"));
    cr_assert(has(line("attempt_failed", "broken"), "next=end"));
    cr_assert(has(line("request", "broken"), "outcome=broken_off"));
}

// Guards against a log that does not tell whether the server, the instance or the caller ended an attempt.
Test(edge_process, log_tells_who_ended_an_attempt)
{
    small_fleet fleet;
    auto const ended = [&fleet](std::string const& id, std::string const& why, std::string const& ender)
    {
        return eventually(
            [&]
            {
                std::string const text = fleet.edge.log_text();
                std::size_t const at = text.find("event=attempt_failed request=" + id + " ");
                return at != std::string::npos &&
                       text.substr(at, text.find('\n', at) - at).find("why=" + why + " ended_by=" + ender) !=
                           std::string::npos;
            },
            seconds{3});
    };
    fleet.engine_1.set_work_time(milliseconds{300});
    fleet.engine_2.set_work_time(milliseconds{300});
    (void)fleet.edge.call("POST", "/stream-once/1", "late", {{"Model", "m0"}, {"Deadline-Ms", "700"}});
    cr_assert(ended("late", "deadline", "instance"), "%s", fleet.edge.log_text().c_str());
    (void)http_call(fleet.edge.caller_address(), "POST", "/stream-once/1", "body",
                    {{"Host", "h"}, {"Attempt-Id", "left"}, {"Model", "m0"}}, milliseconds{120});
    cr_assert(ended("left", "caller_gone", "caller"));
    fleet.plain_1.set_fault(backend_fault::lost_answer);
    fleet.plain_2.set_fault(backend_fault::lost_answer);
    (void)fleet.edge.call("POST", "/once/1", "lost");
    cr_assert(ended("lost", "lost", "server"));
}
