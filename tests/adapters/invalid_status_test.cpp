#include "adapters/backend_client.hpp"
#include "adapters/engine_poller.hpp"
#include "adapters/http_connection.hpp"
#include "adapters/order_client.hpp"
#include "adapters/outbound_pool.hpp"
#include "adapters/process_clock.hpp"
#include "tests/adapters/recording_ports.hpp"
#include "tests/support/fault_server.hpp"
#include "tests/support/front_fixture.hpp"
#include "tests/support/invalid_answers.hpp"

#include <boost/asio/io_context.hpp>

#include <criterion/criterion.h>

#include <atomic>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace siskinusher;

namespace
{

// Answers each request with these bytes; `X-Request-Id` names the request, as siskin-entry requires. Counts
// the requests that come on a connection behind such an answer.
class answering_server
{
public:
    answering_server(invalid_answer answer, std::size_t connections)
        : answer_(std::move(answer)),
          server_(std::vector<fault_server::script>(connections, [this](fault_connection& connection)
                                                    { serve(connection); }))
    {
    }

    std::string address() const { return server_.address(); }
    unsigned behind_invalid() const { return behind_invalid_; }

private:
    void serve(fault_connection& connection)
    {
        while (connection.receive())
        {
            std::string const id = connection.header("X-Request-Id");
            if (id.find("good") != std::string::npos)
            {
                connection.answer(200, "good");
                continue;
            }
            connection.send(answer_.text("X-Request-Id: " + id + "\r\nX-Boot-Id: 7\r\n"));
            if (answer_.closes)
            {
                return;
            }
            behind_invalid_ += connection.receive() ? 1 : 0;
            return;
        }
    }

    invalid_answer const answer_;
    std::atomic<unsigned> behind_invalid_{0};
    fault_server server_;
};

// Collects what would be passed on to the caller.
class recording_sink : public answer_sink
{
public:
    int watched_descriptor() const override { return -1; }
    bool send_whole(answer_head const& head, std::string_view body) override
    {
        status = head.status;
        text.append(body);
        return true;
    }
    bool begin(answer_head const& head) override
    {
        status = head.status;
        return true;
    }
    bool write(std::string_view part) override
    {
        text.append(part);
        return true;
    }
    bool end() override { return true; }
    bool begun() const override { return status != 0; }

    int status = 0;
    std::string text;
};

backend_call plain_call(std::string const& id)
{
    backend_call call;
    call.number = 1;
    call.method = "POST";
    call.backend_path = "/bookings";
    call.caller_path = "/services/ledger/bookings";
    call.body = "{}";
    call.request_id = id;
    call.repeatable = true;
    return call;
}

backend_call stream_call(std::string const& id)
{
    backend_call call = plain_call(id);
    call.backend_path = "/v1/chat/completions";
    call.caller_path = call.backend_path;
    call.body = R"({"model":"m","stream":true})";
    call.inference = true;
    call.stream_wanted = true;
    return call;
}

bool is_status_line(invalid_answer const& answer)
{
    for (invalid_answer const& each : invalid_status_lines())
    {
        if (each.status_line == answer.status_line)
        {
            return true;
        }
    }
    return false;
}

http_outcome exchange_over_pool(std::string const& address)
{
    boost::asio::io_context loop;
    outbound_pool pool(loop);
    std::optional<http_outcome> result;
    http_call what;
    what.path = "/";
    pool.call(address, what, seconds{2}, [&result](http_outcome outcome) { result = std::move(outcome); });
    loop.run();
    cr_assert(result.has_value());
    return *result;
}

} // namespace

// Guards against an invalid status that counts as an answer in siskin-edge's calls to the store, to peers and
// to engines.
Test(invalid_status, call_over_the_pool_has_no_answer)
{
    for (invalid_answer const& answer : invalid_answers())
    {
        answering_server const server(answer, 1);
        http_outcome const outcome = exchange_over_pool(server.address());
        cr_expect_eq(outcome.status, 0, "%s: status %d", answer.name.c_str(), outcome.status);
        cr_expect(outcome.sent);
    }
}

// Guards against an invalid status that counts as an answer in siskin-entry's calls.
Test(invalid_status, call_over_a_blocking_connection_has_no_answer)
{
    std::atomic<bool> const stopping{false};
    for (invalid_answer const& answer : invalid_answers())
    {
        answering_server const server(answer, 2);
        http_connection connection(server.address(), stopping);
        http_call call;
        call.path = "/";
        http_outcome const outcome = connection.exchange(call, steady_now() + seconds{2});
        cr_expect_eq(outcome.status, 0, "%s: status %d", answer.name.c_str(), outcome.status);
        cr_expect(outcome.sent);
        (void)connection.exchange(call, steady_now() + seconds{2});
        cr_expect_eq(server.behind_invalid(), 0, "%s", answer.name.c_str());
    }
}

// Guards against an invalid status that siskin-entry passes on from a server or another instance, for a call
// or a stream, on a connection that is kept.
Test(invalid_status, attempt_of_the_entry_program_is_a_bad_answer)
{
    for (invalid_answer const& answer : invalid_answers())
    {
        for (bool const stream : {false, true})
        {
            for (bool const at_peer : {false, true})
            {
                answering_server const server(answer, 4);
                backend_client client("key", {});
                auto const run = [&](backend_call call, recording_sink& sink)
                {
                    std::string const address = server.address();
                    return at_peer ? client.run(forward{1, 0, "server", address, seconds{2}}, call, sink)
                                   : client.run(dispatch{1, 0, "server", address, seconds{2}, 0}, call, sink);
                };
                recording_sink first;
                cr_expect(run(plain_call("good"), first).result == attempt_result::answered);
                recording_sink sink;
                auto const ended = run(stream ? stream_call("i-1") : plain_call("i-1"), sink);
                attempt_result const expected =
                    answer.closes ? attempt_result::connection_lost : attempt_result::bad_answer;
                cr_expect(ended.result == expected, "%s, %s%s: result %d", answer.name.c_str(),
                          stream ? "stream" : "call", at_peer ? " at a peer" : "",
                          static_cast<int>(ended.result));
                cr_expect(sink.status == 0 && sink.text.empty(), "%s: status %d", answer.name.c_str(),
                          sink.status);
                recording_sink last;
                cr_expect(run(plain_call("good2"), last).result == attempt_result::answered);
                cr_expect_eq(server.behind_invalid(), 0, "%s", answer.name.c_str());
            }
        }
    }
}

// Guards against an invalid status that a caller of siskin-entry gets, and against an attempt elsewhere that
// is not made.
Test(invalid_status, caller_of_the_entry_program_gets_a_refusal_or_another_server)
{
    for (invalid_answer const& answer : invalid_answers())
    {
        answering_server const bad(answer, 4);
        fault_server const good({[](fault_connection& connection)
                                 {
                                     (void)connection.receive();
                                     connection.answer(200, "good");
                                 }});
        front_fixture const alone({bad.address()});
        std::string const refused = alone.call("POST", "/services/ledger/bookings", {}, "{}");
        cr_expect_eq(status_of(refused), 502, "%s\n%s", answer.name.c_str(), refused.c_str());
        std::string const why = answer.why;
        if (why == "invalid_status" || why == "body_not_allowed")
        {
            cr_expect(alone.metrics.text().find("siskin_invalid_statuses_total") != std::string::npos, "%s",
                      answer.name.c_str());
        }
        front_fixture const both({bad.address(), good.address()});
        std::string const served = both.call("GET", "/services/ledger/stock");
        cr_expect(status_of(served) == 200 && served.find("good") != std::string::npos, "%s\n%s",
                  answer.name.c_str(), served.c_str());
    }
}

// Guards against an order that counts as done or refused, and a poll that counts as a report, although the
// status of the answer is not valid.
Test(invalid_status, orders_and_polls_of_the_entry_program_have_no_answer)
{
    std::string const report =
        R"({"name":"e1","boot_id":7,"revision":8,"leaving":false,"places":4,"running":0,"waiting":0})";
    for (invalid_answer answer : invalid_answers())
    {
        if (!answer.body.empty() && is_status_line(answer))
        {
            answer.lines = "Content-Length: " + std::to_string(report.size()) + "\r\n";
            answer.body = report;
        }
        answering_server const server(answer, 4);
        recording_ports ports;
        engine_poller poller({1, seconds{2}}, ports, ports);
        poller.poll("e1", server.address());
        cr_expect_eq(ports.wait_for<engine_unreachable>(1).size(), 1, "%s", answer.name.c_str());
        order_client orders({1, seconds{2}}, ports, ports, ports);
        order what;
        what.what.id = 1;
        what.what.engine = "e1";
        what.lease_until = steady_now() + seconds{60};
        orders.submit(what, server.address());
        auto const outcomes = ports.wait_for<order_outcome>(1);
        cr_expect(outcomes.size() == 1 && outcomes[0].result == order_result::unknown, "%s",
                  answer.name.c_str());
    }
}

// Guards against refusing a 304 that states the length of the body which it leaves out, as HTTP allows, and
// against the use of its connection, on which the body may follow.
Test(invalid_status, length_of_a_304_is_valid)
{
    invalid_answer const answer{"304", "HTTP/1.1 304 Not Modified", "Content-Length: 4\r\n", "", false, ""};
    answering_server const server(answer, 8);
    std::atomic<bool> const stopping{false};
    http_connection connection(server.address(), stopping);
    http_call call;
    call.path = "/";
    boost::asio::io_context loop;
    outbound_pool pool(loop);
    backend_client client("key", {});
    for (unsigned i = 0; i < 2; ++i)
    {
        cr_expect_eq(connection.exchange(call, steady_now() + seconds{2}).status, 304);
        std::optional<http_outcome> result;
        pool.call(server.address(), call, seconds{2},
                  [&result](http_outcome outcome) { result = std::move(outcome); });
        loop.restart();
        loop.run();
        cr_expect(result && result->status == 304);
        backend_call attempt = plain_call("i-1");
        recording_sink sink;
        auto const ended =
            client.run(dispatch{1, 0, "server", server.address(), seconds{2}, 0}, attempt, sink);
        cr_expect(ended.result == attempt_result::answered);
        cr_expect_eq(sink.status, 304);
    }
    cr_expect_eq(server.behind_invalid(), 0);
}

// Guards against an interim answer that ends a request whose final answer may still come, or counts as one.
Test(invalid_status, interim_answer_alone_is_silence)
{
    answering_server const server({"100, open", "HTTP/1.1 100 Continue", "", "", false, ""}, 4);
    http_outcome const outcome = exchange_over_pool(server.address());
    cr_expect_eq(outcome.status, 0);
    cr_expect_eq(outcome.why, "timed_out", "%s", outcome.why.c_str());
    std::atomic<bool> const stopping{false};
    http_connection connection(server.address(), stopping);
    http_call call;
    call.path = "/";
    cr_expect_eq(connection.exchange(call, steady_now() + seconds{1}).status, 0);
    backend_client client("key", {});
    backend_call attempt = plain_call("i-1");
    recording_sink sink;
    auto const ended = client.run(dispatch{1, 0, "server", server.address(), seconds{1}, 0}, attempt, sink);
    cr_expect(ended.result == attempt_result::silent, "result %d", static_cast<int>(ended.result));
    cr_expect_eq(sink.status, 0);
}
