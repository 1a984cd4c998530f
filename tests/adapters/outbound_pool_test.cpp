#include "adapters/outbound_pool.hpp"
#include "tests/support/endless_server.hpp"
#include "tests/support/fault_server.hpp"

#include <boost/asio/io_context.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <optional>
#include <string>
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
