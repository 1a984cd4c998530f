#include "adapters/forward_proof.hpp"
#include "adapters/http_front.hpp"
#include "core/random_source.hpp"
#include "tests/support/front_fixture.hpp"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace siskinusher;

namespace
{

std::string const chat = "/v1/chat/completions";

bool contains(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

fault_server::script answering(std::string const& body)
{
    return [body](fault_connection& c)
    {
        while (c.receive())
        {
            c.answer(200, body);
        }
    };
}

} // namespace

// Guards against accepting a request that exceeds a limit or is ambiguous, and against leaving it without an
// answer.
Test(http_front, bounds_are_answered_with_a_clear_error)
{
    struct bad_request
    {
        int status;
        std::string text;
    };
    std::string const post = "POST " + chat + " HTTP/1.1\r\nHost: x\r\n";
    std::string const deep = "{\"model\":\"m\",\"a\":" + std::string(16, '[') + std::string(16, ']') + "}";
    auto const with_body = [&post](std::string const& body)
    { return post + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body; };
    std::vector<bad_request> const table{
        {400, "nonsense\r\n\r\n"},
        {400, "GET / HTTP/3.0\r\n\r\n"},
        {400, "GET /healthz HTTP/1.1\r\nno colon\r\n\r\n"},
        {400, "GET /healthz HTTP/1.1\r\nBad Name: 1\r\n\r\n"},
        {400, std::string("GET /healthz HTTP/1.1\r\nA: \0\r\n\r\n", 31)},
        {400, post + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}"},
        {400, post + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{}"},
        {400, post + "Content-Length: -1\r\n\r\n"},
        {400, post + "Transfer-Encoding: gzip, chunked\r\n\r\n"},
        {400, post + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n"},
        {413, post + "Content-Length: 1048577\r\n\r\n"},
        {413, post + "Transfer-Encoding: chunked\r\n\r\n100001\r\n" + std::string(1048577, 'x') + "\r\n"},
        {431, "GET /healthz HTTP/1.1\r\nA: " + std::string(20000, 'a') + "\r\n\r\n"},
        {405, "GET " + chat + " HTTP/1.1\r\nConnection: close\r\n\r\n"},
        {404, "GET /nowhere HTTP/1.1\r\nConnection: close\r\n\r\n"},
        {400, with_body("{\"model\":\"m\"")},
        {400, with_body("[1]")},
        {400, with_body("7")},
        {400, with_body("{}")},
        {400, with_body("{\"model\":7}")},
        {400, with_body("{\"model\":\"m\",\"model\":\"n\"}")},
        {400, with_body("{\"model\":\"m\",\"stream\":\"yes\"}")},
        {400, with_body("{\"model\":\"m\",\"continue_from_token\":1}")},
        {400, with_body(deep)},
        {400, post + "X-Rank: vip\r\nContent-Length: 13\r\n\r\n{\"model\":\"m\"}"},
        {400, post + "X-Deadline-Ms: 600001\r\nContent-Length: 13\r\n\r\n{\"model\":\"m\"}"},
        {400, post + "Idempotency-Key: " + std::string(129, 'k') +
                  "\r\nContent-Length: 13\r\n\r\n{\"model\":\"m\"}"},
    };
    front_fixture const fixture({dead_address()});
    for (bad_request const& each : table)
    {
        raw_client client(fixture.address());
        client.send(each.text);
        std::string const answer = client.read_until("}");
        cr_expect_eq(status_of(answer), each.status, "%d expected for %.60s, got %.300s", each.status,
                     each.text.c_str(), answer.c_str());
        cr_expect(contains(answer, "\"execution\":\"not_run\""));
    }
}

// Guards against input that crashes or blocks the server: mutated valid requests, with a fixed seed.
Test(http_front, malformed_input_never_stops_the_server)
{
    fault_server const backend(std::vector<fault_server::script>(400, answering("{}")));
    front_settings settings = front_fixture::default_settings();
    settings.head_timeout = milliseconds{50};
    settings.body_time = milliseconds{50};
    settings.idle_timeout = milliseconds{50};
    front_fixture const fixture({backend.address()}, settings);
    std::string const valid = "POST " + chat +
                              " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 28\r\n\r\n"
                              "{\"model\":\"m\",\"a\":[{\"b\":\"c\"}]}";
    random_source random(20261204);
    for (int i = 0; i < 300; ++i)
    {
        std::string text = valid;
        for (std::uint64_t changes = 1 + random.below(4); changes > 0; --changes)
        {
            std::size_t const at = random.below(text.size());
            switch (random.below(3))
            {
            case 0:
                text[at] = static_cast<char>(random.below(256));
                break;
            case 1:
                text.erase(at, 1 + random.below(8));
                break;
            default:
                text.insert(at, text.substr(random.below(text.size()), random.below(40)));
                break;
            }
        }
        std::string const answer = exchange(fixture.address(), text);
        cr_assert(answer.empty() || status_of(answer) >= 200, "mutation %d got %.100s", i, answer.c_str());
    }
    cr_assert_eq(status_of(fixture.call("GET", "/healthz")), 200);
}

// Guards against a slow sender that occupies a thread for longer than the limit.
Test(http_front, slow_sender_is_timed_out)
{
    front_settings settings = front_fixture::default_settings();
    settings.head_timeout = milliseconds{200};
    front_fixture const fixture({dead_address()}, settings);
    raw_client client(fixture.address());
    client.send("GET /healthz HT");
    cr_assert_eq(status_of(client.read_all()), 408);
}

// Guards against connections beyond the limit that wait without an answer.
Test(http_front, connections_beyond_the_limit_are_refused)
{
    front_settings settings = front_fixture::default_settings();
    settings.connections = 1;
    front_fixture const fixture({dead_address()}, settings);
    raw_client first(fixture.address());
    first.send("GET /healthz HTTP/1.1\r\n\r\n");
    cr_assert(contains(first.read_until("ok\n"), "200 OK"));
    cr_assert(contains(raw_client(fixture.address()).read_all(), "\"reason\":\"overloaded\""));
}

// Guards against answers that are changed on the way to the caller, and against a connection that cannot be
// reused after a stream.
Test(http_front, streams_and_whole_answers_reach_the_caller)
{
    fault_server const backend({[](fault_connection& c)
                                {
                                    c.receive();
                                    c.begin_stream();
                                    c.send_token(0);
                                    c.end_stream();
                                    c.receive();
                                    c.answer(200, "{\"whole\":1}");
                                }});
    front_fixture fixture({backend.address()});
    std::string const stream = "{\"model\":\"m:a\",\"stream\":true,\"messages\":[{\"content\":\"hi\"}]}";
    std::string const whole = "{\"model\":\"m\"}";
    raw_client client(fixture.address());
    client.send("POST " + chat + " HTTP/1.1\r\nX-Request-Id: mine\r\nX-Rank: urgent\r\nContent-Length: " +
                std::to_string(stream.size()) + "\r\n\r\n" + stream);
    std::string const first = client.read_until("\r\n0\r\n\r\n");
    cr_assert(contains(first, "X-Request-Id: mine\r\n"));
    cr_assert(contains(first, "{\"token_index\":0,\"t\":\"w0\"}"));
    cr_assert(contains(first, "data: [DONE]\n\n"));
    client.send("POST " + chat + " HTTP/1.1\r\nConnection: close\r\nContent-Length: " +
                std::to_string(whole.size()) + "\r\n\r\n" + whole);
    cr_assert(contains(client.read_all(), "\r\n\r\n{\"whole\":1}"));
    std::lock_guard<std::mutex> const lock(fixture.record.mutex);
    request_profile const& profile = fixture.record.arrived.at(0);
    cr_assert(profile.model == "m" && profile.adapter == "a" && profile.request_rank == rank::urgent);
    cr_assert(profile.repeatable && profile.prefix_hash != 0);
}

// Guards against a stream that ends like a complete one although its request was refused after the first
// token.
Test(http_front, refusal_within_a_stream_leaves_it_incomplete)
{
    fault_server const backend({[](fault_connection& c)
                                {
                                    c.receive();
                                    c.begin_stream();
                                    c.send_token(0);
                                }});
    front_fixture const fixture({backend.address()});
    std::string const answer = fixture.call("POST", chat, {}, "{\"model\":\"m\",\"stream\":true}");
    cr_assert(contains(answer, "token_index\":0"));
    cr_assert(contains(answer, "event: error\ndata: {"));
    cr_assert(contains(answer, "\"reason\":\"backend_failed\""));
    cr_assert_not(contains(answer, "[DONE]"));
    cr_assert_not(contains(answer, "\r\n0\r\n\r\n"));
}

// Guards against refusals that a caller's program cannot read.
Test(http_front, refusals_are_problem_documents)
{
    front_fixture fixture({dead_address()});
    std::string const answer = fixture.call("POST", chat, {}, "{\"model\":\"none\"}");
    cr_assert_eq(status_of(answer), 404);
    cr_assert(contains(answer, "Content-Type: application/problem+json\r\n"));
    cr_assert(contains(answer, "Retry-After: 2\r\n"));
    cr_assert(
        contains(answer, "\"reason\":\"unknown_model\",\"execution\":\"not_run\",\"retry_after_ms\":1500"));
    cr_assert_eq(fixture.metrics.value("siskin_refusals_total", "unknown_model"), 1U);
}

// Guards against a service call that is changed on its way or wrongly taken for one that may be repeated.
Test(http_front, service_calls_pass_through_and_are_classified)
{
    std::string seen;
    fault_server const backend({[&seen](fault_connection& c)
                                {
                                    c.receive();
                                    seen = c.request();
                                    c.answer(201, "made", "X-Extra: yes\r\n");
                                }});
    front_fixture fixture({backend.address(), dead_address()});
    std::string const answer = fixture.call("PATCH", "/services/ledger/debits/1?x=%20y",
                                            "X-Custom: v\r\nIdempotency-Key: k1\r\n", "{ }");
    cr_assert_eq(status_of(answer), 201);
    cr_assert(contains(answer, "X-Extra: yes\r\n"));
    cr_assert(contains(answer, "\r\n\r\nmade"));
    cr_assert(contains(seen, "PATCH /debits/1?x=%20y HTTP/1.1\r\n"));
    cr_assert(contains(seen, "X-Custom: v\r\n"));
    cr_assert(contains(seen, "\r\n\r\n{ }"));
    for (char const* const path : {"/stock/7", "/stockpile", "/stock/../debits", "/stock/%2e%2e/debits"})
    {
        (void)fixture.call("POST", std::string("/services/ledger") + path);
    }
    (void)fixture.call("GET", "/services/ledger/debits");
    std::lock_guard<std::mutex> const lock(fixture.record.mutex);
    std::vector<bool> repeatable;
    for (request_profile const& profile : fixture.record.arrived)
    {
        repeatable.push_back(profile.repeatable);
    }
    cr_assert(repeatable == std::vector<bool>({false, true, false, false, false, true}));
    cr_assert(fixture.record.arrived.at(0).idempotency_key == "k1");
    cr_assert(fixture.record.finished.at(0).status == 201 && fixture.record.finished.at(0).body == "made");
}

// Guards against header values that are decoded on the way, which could carry a second message.
Test(http_front, header_values_pass_through_as_they_were_sent)
{
    std::string const lines =
        "X-A: =?utf-8?B?eA0KSG9sZDogMQ==?=\r\nX-B: caf\xc3\xa9  \t au lait\r\nX-C: \r\n";
    std::string seen;
    fault_server const backend({[&](fault_connection& c)
                                {
                                    c.receive();
                                    seen = c.request();
                                    c.answer(200, "made", lines);
                                }});
    front_fixture fixture({backend.address()});
    std::string const answer = fixture.call("POST", "/services/ledger/debits/1", lines, "{ }");
    cr_expect_eq(status_of(answer), 200);
    cr_expect(contains(answer, lines), "%s", answer.c_str());
    cr_expect(contains(seen, lines), "%s", seen.c_str());
}

// Guards against operator calls without the key.
Test(http_front, operator_calls_need_the_key)
{
    front_fixture fixture({dead_address()});
    std::string const key = "Authorization: Bearer operator-secret\r\n";
    cr_assert_eq(status_of(fixture.call("GET", "/operator/status")), 401);
    cr_assert_eq(
        status_of(fixture.call("POST", "/operator/drain", "Authorization: Bearer operator-secre\r\n")), 401);
    cr_assert_not(fixture.drain_called);
    cr_assert(contains(fixture.call("GET", "/operator/status", key), "\"holder\":\"self\""));
    cr_assert(contains(fixture.call("GET", "/operator/explain?request=east-1-9-3", key), "request 3"));
    cr_assert_eq(status_of(fixture.call("GET", "/operator/explain?request=east-2-9-3", key)), 404);
    cr_assert_eq(status_of(fixture.call("POST", "/operator/drain", key)), 202);
    cr_assert(fixture.drain_called);
}

// Guards against a caller that pretends to be another instance.
Test(http_front, forwarded_requests_need_a_proof)
{
    fault_server const backend({answering("{}")});
    front_fixture fixture({backend.address()});
    std::string const body = "{\"model\":\"m\"}";
    std::string const start =
        "X-Siskin-Forward-Id: i\r\nX-Siskin-Forward-Token: 0\r\nX-Siskin-Forward-Proof: ";
    std::string const other_body = forward_proof("shared", "i", "0", "{}");
    cr_assert_eq(status_of(fixture.call("POST", chat, start + other_body + "\r\n", body)), 403);
    std::string const genuine = forward_proof("shared", "i", "0", body);
    cr_assert_eq(status_of(fixture.call("POST", chat, start + genuine + "\r\n", body)), 200);
    std::lock_guard<std::mutex> const lock(fixture.record.mutex);
    cr_assert_eq(fixture.record.arrived.size(), 1U);
    cr_assert(fixture.record.arrived.at(0).forwarded);
}

// Guards against queued work for callers that have disconnected, and against a request that is never answered
// because no decision comes.
Test(http_front, waiting_requests_end_with_their_caller_or_deadline)
{
    front_fixture fixture({dead_address()});
    std::string const body = "{\"model\":\"later\"}";
    raw_client client(fixture.address());
    client.send("POST " + chat + " HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                body);
    cr_assert(fixture.record.wait_until([](core_record const& r) { return !r.arrived.empty(); }));
    client.close();
    cr_assert(fixture.record.wait_until([](core_record const& r) { return r.cancelled == 1; }));
    std::string const answer = fixture.call("POST", chat, "X-Deadline-Ms: 1\r\n", body);
    cr_assert(contains(answer, "\"reason\":\"deadline_passed\",\"execution\":\"not_run\""));
    cr_assert(fixture.record.wait_until([](core_record const& r) { return r.cancelled == 2; }));
}
