#include "adapters/http_connection.hpp"
#include "adapters/process_clock.hpp"
#include "tests/support/endless_server.hpp"

#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <string>

using namespace siskinusher;

namespace
{

constexpr duration call_limit = seconds{5};
// From the first byte of an endless answer to the close of its connection: well below the limit of a call.
constexpr std::chrono::milliseconds end_limit{1500};
// Bytes that the server may get rid of; several MiB of them are in the buffers of the sockets.
constexpr std::size_t read_limit = 24U << 20U;

void check_ended(endless_bytes const& bytes)
{
    std::atomic<bool> const stopping{false};
    endless_server const server([&bytes](std::string const&) { return bytes; });
    http_connection connection(server.address(), stopping);
    http_call call;
    call.path = "/";
    http_outcome const outcome = connection.exchange(call, steady_now() + call_limit);
    cr_expect_eq(outcome.status, 0);
    cr_expect(outcome.sent);
    cr_expect(server.wait_for_closes());
    for (endless_connection const& each : server.connections())
    {
        cr_expect_leq(each.lifetime.count(), end_limit.count(), "%lld ms",
                      static_cast<long long>(each.lifetime.count()));
        cr_expect_leq(each.sent, read_limit, "%zu bytes", each.sent);
    }
}

} // namespace

// Guards against a head that fills the memory, with header lines or a value without an end.
Test(http_connection, endless_head_ends_the_call)
{
    check_ended({"HTTP/1.1 200 OK\r\n", "X-Line: 1\r\n"});
    check_ended({"HTTP/1.1 200 OK\r\nX: ", "xxxxxxxxxxxxxxxx"});
    check_ended({"", "garbage\n"});
}

// Guards against a body that fills the memory, whatever its framing.
Test(http_connection, endless_body_ends_the_call)
{
    std::string const ok = "HTTP/1.1 200 OK\r\n";
    std::string const block(4096, 'x');
    check_ended({ok + "\r\n", block});
    check_ended({ok + "Content-Length: 1000000000000\r\n\r\n", block});
    check_ended({ok + "Transfer-Encoding: chunked\r\n\r\n", http_chunk(block)});
}

// Guards against the size of a chunk that fills the memory.
Test(http_connection, endless_chunk_size_ends_the_call)
{
    check_ended({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "ffffffffffffffff"});
}

// Guards against bytes without end where the framing of chunks is due: a size, an extension, trailers.
Test(http_connection, endless_chunk_framing_ends_the_call)
{
    std::string const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::string const block(4096, '0');
    check_ended({chunked, block});
    check_ended({chunked + "1;x=", block});
    check_ended({chunked + "1\r\na", block});
    check_ended({chunked + "0\r\n", "X-Trailer: 1\r\n"});
    check_ended({chunked + "0\r\nX-Trailer: ", block});
}

// Guards against interim answers that are never followed by a final one.
Test(http_connection, endless_interim_answers_end_the_call)
{
    check_ended({"", "HTTP/1.1 100 Continue\r\n\r\n"});
    check_ended({"", "HTTP/1.1 103 Early Hints\r\n\r\n"});
}
