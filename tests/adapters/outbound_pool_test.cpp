#include "adapters/outbound_pool.hpp"
#include "tests/support/endless_server.hpp"
#include "tests/support/fault_server.hpp"

#include <boost/asio/io_context.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace siskinusher;

namespace
{

constexpr duration call_limit = seconds{5};
// From the first byte of an endless answer to the close of its connection: well below the limit of a call.
constexpr std::chrono::milliseconds end_limit{1500};
constexpr std::size_t mebibyte = 1U << 20U;
// Bytes that the server may get rid of; several MiB of them are in the buffers of the sockets.
constexpr std::size_t read_limit = 24 * mebibyte;

http_outcome call(outbound_pool& pool, boost::asio::io_context& loop, std::string const& address)
{
    std::optional<http_outcome> result;
    http_call what;
    what.path = "/";
    pool.call(address, what, call_limit, [&result](http_outcome outcome) { result = std::move(outcome); });
    loop.restart();
    loop.run();
    cr_assert(result.has_value());
    return *result;
}

// The call ends soon and without an answer, its connection is closed and the next call opens another.
void check_ended(endless_bytes const& bytes, char const* why, std::size_t limit = read_limit)
{
    boost::asio::io_context loop;
    outbound_pool pool(loop);
    endless_server const server([&bytes](std::string const&) { return bytes; });
    for (std::size_t i = 1; i <= 2; ++i)
    {
        http_outcome const outcome = call(pool, loop, server.address());
        cr_expect_eq(outcome.status, 0);
        cr_expect(outcome.sent);
        cr_expect_eq(outcome.why, why, "%s", outcome.why.c_str());
        cr_expect_eq(pool.opened(), i);
    }
    cr_expect(server.wait_for_closes());
    for (endless_connection const& each : server.connections())
    {
        cr_expect_leq(each.lifetime.count(), end_limit.count());
        cr_expect_leq(each.sent, limit, "%zu bytes", each.sent);
    }
}

std::string const block(4096, 'x');

} // namespace

// Guards against heads that are read, or searched, without an end.
Test(outbound_pool, endless_head_ends_the_exchange)
{
    check_ended({"HTTP/1.1 200 OK\r\nX: ", block}, "answer_too_large");
    check_ended({"HTTP/1.1 200 OK\r\n", "X-Line: 1\r\n"}, "answer_too_large");
    check_ended({"", "garbage\n"}, "answer_too_large");
    check_ended({"", "garbage\r\n\r\n"}, "malformed");
}

// Guards against interim answers without a final one, and against refusing the few that servers send.
Test(outbound_pool, interim_answers_are_limited)
{
    std::string const interim = "HTTP/1.1 100 Continue\r\n\r\n";
    check_ended({"", interim}, "answer_too_large");
    boost::asio::io_context loop;
    outbound_pool pool(loop);
    fault_server const server({[&interim](fault_connection& connection)
                               {
                                   (void)connection.receive();
                                   connection.send(interim + interim);
                                   connection.answer(200, "body");
                               }});
    http_outcome const outcome = call(pool, loop, server.address());
    cr_expect_eq(outcome.status, 200);
    cr_expect_eq(outcome.body, "body");
}

// Guards against bodies that are collected without an end, whatever their framing or status.
Test(outbound_pool, endless_body_ends_the_call)
{
    std::string const ok = "HTTP/1.1 200 OK\r\n";
    check_ended({ok + "\r\n", block}, "answer_too_large");
    check_ended({ok + "Transfer-Encoding: chunked\r\n\r\n", http_chunk(block)}, "answer_too_large");
    // Chunks of one byte take six bytes each, so that the server sends six times the limit.
    check_ended({ok + "Transfer-Encoding: chunked\r\n\r\n", http_chunk("x")}, "answer_too_large",
                endless_server::byte_limit - mebibyte);
    check_ended({ok + "Transfer-Encoding: chunked\r\n\r\nffffffffff\r\n", block}, "answer_too_large");
    check_ended({ok + "Content-Length: 1000000000000\r\n\r\n", block}, "answer_too_large");
    check_ended({"HTTP/1.1 500 Error\r\n\r\n", block}, "answer_too_large");
    check_ended({ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Trailer: 1\r\n"}, "malformed");
    check_ended({ok + "Transfer-Encoding: chunked\r\n\r\n1;", "x"}, "malformed");
}

// Guards against a limit that large but correct answers exceed.
Test(outbound_pool, answer_of_some_megabytes_passes)
{
    boost::asio::io_context loop;
    outbound_pool pool(loop);
    std::string const body(7 * mebibyte, 'b');
    fault_server const server({[&body](fault_connection& connection)
                               {
                                   (void)connection.receive();
                                   connection.answer(200, body);
                               }});
    http_outcome const outcome = call(pool, loop, server.address());
    cr_expect_eq(outcome.status, 200, "%s", outcome.why.c_str());
    cr_expect(outcome.body == body);
}

// Guards against answers that are each within the limit, but exhaust the memory together, and against ending
// small answers instead of the largest.
Test(outbound_pool, largest_answer_ends_when_all_together_are_too_large)
{
    constexpr std::size_t small_answers = 28;
    auto const sends = [](std::size_t bytes)
    {
        return [bytes](fault_connection& connection)
        {
            (void)connection.receive();
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n" + std::string(bytes, 'b'));
            connection.wait_for_close();
        };
    };
    fault_server const large({sends(7 * mebibyte)});
    fault_server const small(std::vector<fault_server::script>(small_answers, sends(mebibyte)));
    boost::asio::io_context loop;
    outbound_pool pool(loop);
    std::vector<std::string> ends;
    http_call what;
    what.path = "/";
    auto const start = [&](std::string const& address)
    {
        pool.call(address, what, seconds{2},
                  [&ends](http_outcome const& outcome) { ends.push_back(outcome.why); });
    };
    start(large.address());
    for (std::size_t i = 0; i < small_answers; ++i)
    {
        start(small.address());
    }
    loop.run();
    cr_assert_eq(ends.size(), small_answers + 1);
    cr_expect_eq(ends.front(), "answer_too_large", "%s", ends.front().c_str());
    cr_expect_eq(std::count(ends.begin(), ends.end(), "timed_out"), small_answers);
}

// Guards against a stream that is ended because of the bytes that its user has already passed on.
Test(outbound_pool, bytes_that_are_passed_on_do_not_count)
{
    boost::asio::io_context loop;
    outbound_pool pool(loop);
    std::string const body(40 * mebibyte, 'b');
    fault_server const server({[&body](fault_connection& connection)
                               {
                                   (void)connection.receive();
                                   connection.answer(200, body);
                               }});
    outbound_request request;
    request.address = server.address();
    request.method = "GET";
    request.bytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    request.time_limit = call_limit;
    std::shared_ptr<outbound_exchange> exchange;
    std::size_t received = 0;
    std::string end;
    exchange_handlers handlers;
    handlers.on_body = [&](std::string const& part)
    {
        received += part.size();
        exchange->set_kept_bytes(0);
    };
    handlers.on_end = [&end](exchange_end how) { end = to_string(how); };
    exchange = pool.start(std::move(request), std::move(handlers));
    loop.run();
    cr_expect_eq(end, "complete", "%s", end.c_str());
    cr_expect_eq(received, body.size());
}

// Guards against a handler that calls cancel() and then uses what it has captured, although cancel() has
// freed it.
Test(outbound_pool, handler_lives_until_it_returns)
{
    boost::asio::io_context loop;
    outbound_pool pool(loop);
    fault_server const server({[](fault_connection& connection)
                               {
                                   (void)connection.receive();
                                   connection.answer(200, "body");
                                   connection.wait_for_close();
                               }});
    auto captured = std::make_shared<int>(1);
    std::weak_ptr<int> const observer = captured;
    std::shared_ptr<outbound_exchange> exchange;
    long owners_after_cancel = 0;
    exchange_handlers handlers;
    handlers.on_body =
        [captured = std::move(captured), &observer, &exchange, &owners_after_cancel](std::string const&)
    {
        // After a fault the captured references cannot be used, either.
        auto const& weak = observer;
        long& result = owners_after_cancel;
        exchange->cancel();
        result = weak.use_count();
    };
    outbound_request request;
    request.address = server.address();
    request.method = "GET";
    request.bytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    request.time_limit = call_limit;
    exchange = pool.start(std::move(request), std::move(handlers));
    loop.run();
    cr_expect_eq(owners_after_cancel, 1);
    cr_expect_eq(observer.use_count(), 0);
}

// Guards against a late second copy of an answer that is taken for the answer to an order: it arrives when
// the kept connection is in use again, and answers to orders do not name what they answer.
Test(outbound_pool, call_on_a_fresh_connection_gets_its_own_answer)
{
    fault_server const server({[](fault_connection& caller)
                               {
                                   if (caller.receive())
                                   {
                                       caller.answer(200, "first");
                                   }
                                   if (caller.receive())
                                   {
                                       caller.answer(200, "first");
                                       caller.answer(202, "order");
                                   }
                                   caller.wait_for_close();
                               },
                               [](fault_connection& caller)
                               {
                                   if (caller.receive())
                                   {
                                       caller.answer(202, "order");
                                   }
                                   caller.wait_for_close();
                               }});
    boost::asio::io_context loop;
    outbound_pool pool(loop);
    cr_assert_eq(call(pool, loop, server.address()).body, std::string("first"));
    std::optional<http_outcome> result;
    http_call order;
    order.method = "POST";
    order.path = "/";
    order.fresh_connection = true;
    pool.call(server.address(), order, call_limit,
              [&result](http_outcome outcome) { result = std::move(outcome); });
    loop.restart();
    loop.run();
    cr_assert(result.has_value());
    cr_assert_eq(result->status, 202);
    cr_assert_eq(result->body, std::string("order"));
    cr_assert_eq(pool.opened(), 2);
}

// Guards against a copy of an answer that is taken for the answer to a later request with the same id.
Test(outbound_pool, connection_carries_an_id_once)
{
    auto const script = [](fault_connection& connection)
    {
        while (connection.receive())
        {
            connection.answer(200, "body");
        }
    };
    fault_server const server(std::vector<fault_server::script>(4, script));
    boost::asio::io_context loop;
    outbound_pool pool(loop);
    auto const connection_of = [&](std::string const& id)
    {
        outbound_request request;
        request.address = server.address();
        request.method = "GET";
        request.bytes = "GET / HTTP/1.1\r\n\r\n";
        request.time_limit = call_limit;
        request.id = id;
        exchange_handlers handlers;
        handlers.on_end = [](exchange_end end) { cr_expect_eq(end, exchange_end::complete); };
        auto const exchange = pool.start(std::move(request), std::move(handlers));
        loop.restart();
        loop.run();
        return exchange->use();
    };
    cr_expect_eq(connection_of("a"), (connection_use{1, 0, 0}));
    cr_expect_eq(connection_of("b"), (connection_use{1, 1, 0}));
    cr_expect_eq(connection_of("a"), (connection_use{2, 0, 0}));
    cr_expect_eq(connection_of("b"), (connection_use{2, 1, 0}));
    cr_expect_eq(connection_of("a"), (connection_use{3, 0, 0}));
    cr_expect_eq(connection_of(""), (connection_use{3, 1, 0}));
}
