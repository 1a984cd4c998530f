#include "tests/support/endless_server.hpp"
#include "tests/support/fault_server.hpp"
#include "tests/wire/backend_standin.hpp"
#include "tests/wire/edge_child.hpp"
#include "tests/wire/store_standin.hpp"

#include <criterion/criterion.h>

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <functional>
#include <future>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace siskinusher;
using namespace siskinusher::standins;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// The smallest instance has 160 MB; the rest is left for requests that are served meanwhile.
constexpr std::size_t memory_bound_kb = 102400;
// From the end of the request to the close by the instance: well below the 4 s that a route allows.
constexpr milliseconds close_limit{1500};
constexpr int floods = 8;

std::string id_of(std::string const& request)
{
    std::size_t const at = request.find("Attempt-Id: ");
    return at == std::string::npos ? std::string()
                                   : request.substr(at + 12, request.find('\r', at) - at - 12);
}

// Answer of a server that signs its answers, up to the end of its head, and an endless body.
std::function<endless_bytes(std::string const&)> flood(std::string const& status_line,
                                                       std::string const& header_lines,
                                                       std::string const& filler,
                                                       std::string const& body_start = {})
{
    return [=](std::string const& request)
    {
        std::string head = "HTTP/1.1 " + status_line + "\r\nAttempt-Id: " + id_of(request);
        head.append("\r\nServer-Stamp: s\r\nServer-Load: 1,0,8\r\n").append(header_lines).append("\r\n");
        return endless_bytes{head + body_start, filler};
    };
}

std::function<endless_bytes(std::string const&)> raw(std::string const& start, std::string const& filler)
{
    return [=](std::string const&) { return endless_bytes{start, filler}; };
}

// Largest resident size of the process so far; zero when it has ended.
std::size_t peak_memory_kb(edge_child& edge)
{
    std::ifstream status("/proc/" + std::to_string(edge.process().process_id()) + "/status");
    std::string word;
    std::size_t value = 0;
    while (status >> word)
    {
        if (word == "VmHWM:")
        {
            status >> value;
        }
    }
    return value;
}

// A store with a configuration, a plain server, two engines, a server whose answers have no end, and one
// siskin-edge process.
struct flooded_fleet
{
    explicit flooded_fleet(std::function<endless_bytes(std::string const&)> answer)
        : server(std::move(answer))
    {
        store.write("config", "main", example_config(1));
    }

    void start()
    {
        edge.emplace("edge-1", store.address());
        cr_assert(edge->wait_ready(), "%s", edge->log_text().c_str());
        cr_log_info("resident before: %zu kB", peak_memory_kb(*edge));
    }

    std::vector<std::optional<http_answer>> call_all(std::string const& method, std::string const& path,
                                                     std::string const& prefix,
                                                     std::map<std::string, std::string> const& headers = {})
    {
        std::vector<std::future<std::optional<http_answer>>> pending;
        pending.reserve(floods);
        for (int i = 0; i < floods; ++i)
        {
            pending.push_back(
                std::async(std::launch::async,
                           [=] { return edge->call(method, path, prefix + std::to_string(i), headers); }));
        }
        std::vector<std::optional<http_answer>> answers;
        answers.reserve(floods);
        for (auto& each : pending)
        {
            answers.push_back(each.get());
        }
        return answers;
    }

    bool received(std::string const& id) const
    {
        auto const all = server.connections();
        return std::any_of(all.begin(), all.end(),
                           [&id](endless_connection const& each) { return id_of(each.request) == id; });
    }

    // The process is alive, small and ready, and has closed each connection on which bytes came without end.
    void check_end()
    {
        bool const closed = server.wait_for_closes();
        std::size_t const peak = peak_memory_kb(*edge);
        milliseconds longest{0};
        std::size_t most = 0;
        for (endless_connection const& each : server.connections())
        {
            longest = std::max(longest, each.lifetime);
            most = std::max(most, each.sent);
        }
        cr_log_info("peak %zu kB, longest connection %lld ms, most bytes %zu, connections %zu", peak,
                    static_cast<long long>(longest.count()), most, server.connections().size());
        cr_expect(edge->process().running());
        cr_expect(edge->ready());
        cr_expect_leq(peak, memory_bound_kb, "peak %zu kB", peak);
        cr_expect(closed);
        cr_expect_leq(longest.count(), close_limit.count(), "open for %lld ms",
                      static_cast<long long>(longest.count()));
        for (endless_connection const& each : server.connections())
        {
            std::string const& text = each.request;
            cr_expect_eq(text.find("HTTP/1.1", text.find("HTTP/1.1") + 1), std::string::npos, "reused");
        }
        edge.reset(); // Before the stand-ins, which are declared after the fleet.
    }

    endless_server server;
    store_standin store;
    std::optional<edge_child> edge;
};

// Calls that may be repeated get another server's answer, and an unrelated stream is served meanwhile.
void check_idempotent(std::function<endless_bytes(std::string const&)> const& answer)
{
    flooded_fleet fleet(answer);
    backend_standin bad{fleet.store, "p1", "plain"};
    backend_standin const good{fleet.store, "p2", "plain"};
    backend_standin const engine{fleet.store, "e1", "llm", {"m0"}};
    bad.publish_address(fleet.server.address());
    fleet.start();
    auto others = std::async(std::launch::async,
                             [&fleet]
                             {
                                 int served = 0;
                                 for (int i = 0; i < 20; ++i)
                                 {
                                     auto const stream = fleet.edge->call(
                                         "POST", "/stream/1", "s" + std::to_string(i), {{"Model", "m0"}});
                                     served += stream && stream->status == 200 ? 1 : 0;
                                     std::this_thread::sleep_for(milliseconds{20});
                                 }
                                 return served;
                             });
    auto const answers = fleet.call_all("GET", "/again/1", "r");
    for (int i = 0; i < floods; ++i)
    {
        auto const& each = answers[static_cast<std::size_t>(i)];
        cr_expect(each && each->status == 200, "status %d", each ? each->status : 0);
        cr_expect(each && each->body == "body of r" + std::to_string(i));
    }
    cr_expect_eq(others.get(), 20);
    cr_expect_geq(fleet.server.connections().size(), 1);
    fleet.check_end();
}

// A call that must not be repeated gets 502 or 504 when it has reached a server whose answer has no end.
void check_at_most_once(std::function<endless_bytes(std::string const&)> const& answer)
{
    flooded_fleet fleet(answer);
    backend_standin bad{fleet.store, "p1", "plain"};
    bad.publish_address(fleet.server.address());
    fleet.start();
    auto const answers = fleet.call_all("POST", "/once/1", "r");
    unsigned ran = 0;
    for (int i = 0; i < floods; ++i)
    {
        auto const& each = answers[static_cast<std::size_t>(i)];
        cr_expect(each.has_value());
        if (each && fleet.received("r" + std::to_string(i)))
        {
            ++ran;
            cr_expect(each->status == 502 || each->status == 504, "status %d", each->status);
        }
    }
    cr_expect_geq(ran, 1);
    fleet.check_end();
}

void check_plain(std::function<endless_bytes(std::string const&)> const& answer)
{
    check_idempotent(answer);
    check_at_most_once(answer);
}

std::size_t count_events(std::string const& body)
{
    std::size_t count = 0;
    for (std::size_t at = body.find("id: "); at != std::string::npos; at = body.find("id: ", at + 1))
    {
        ++count;
    }
    return count;
}

std::string const text_block(4096, 'x');

} // namespace

// Guards against a header value without an end.
Test(endless_answer, header_value)
{
    check_plain(raw("HTTP/1.1 200 OK\r\nX-Endless: ", text_block));
}

// Guards against header lines without an end.
Test(endless_answer, header_lines)
{
    check_plain(raw("HTTP/1.1 200 OK\r\n", "X-Line: 1\r\n"));
}

// Guards against interim answers that are never followed by a final one.
Test(endless_answer, interim_answers)
{
    check_plain(raw("", "HTTP/1.1 100 Continue\r\n\r\n"));
}

// Guards against bytes that are not HTTP, with and without empty lines.
Test(endless_answer, bytes_that_are_not_http)
{
    check_plain(raw("", std::string("\x01\x02garbage\n", 10)));
    check_plain(raw("", "garbage\r\n\r\n"));
}

// Guards against a body without a length.
Test(endless_answer, body_until_close)
{
    check_plain(flood("200 OK", "", text_block));
}

// Guards against a chunked body without a last chunk.
Test(endless_answer, chunked_body)
{
    check_plain(flood("200 OK", "Transfer-Encoding: chunked\r\n", http_chunk(text_block)));
}

// Guards against one chunk that is longer than any answer.
Test(endless_answer, huge_chunk)
{
    check_plain(flood("200 OK", "Transfer-Encoding: chunked\r\n", text_block, "ffffffffff\r\n"));
}

// Guards against an announced length that is longer than any answer.
Test(endless_answer, huge_content_length)
{
    check_plain(flood("200 OK", "Content-Length: 1000000000000\r\n", text_block));
}

// Guards against bytes without end where the framing of chunks is due: a size, an extension, trailers.
Test(endless_answer, chunk_framing)
{
    std::string const zeros(4096, '0');
    for (std::string const& start : {std::string(), std::string("1;x="), std::string("1\r\na"),
                                     std::string("1\r\na\r\n0\r\nX-Trailer: ")})
    {
        check_plain(flood("200 OK", "Transfer-Encoding: chunked\r\n", zeros, start));
    }
    check_plain(flood("200 OK", "Transfer-Encoding: chunked\r\n", "X-Trailer: 1\r\n", "0\r\n"));
}

// Guards against a failure answer, which is kept while another server is tried, without an end.
Test(endless_answer, failure_body)
{
    check_plain(flood("500 Internal Server Error", "", text_block));
    check_plain(flood("503 Service Unavailable", "Transfer-Encoding: chunked\r\n", http_chunk(text_block)));
}

// Guards against treating a request as run, although the head of the endless answer states that it was not.
Test(endless_answer, refusal_keeps_its_meaning)
{
    for (char const* const status : {"503 Service Unavailable", "421 Misdirected Request"})
    {
        for (char const* const framing : {"", "Transfer-Encoding: chunked\r\n"})
        {
            std::string const header_lines = std::string("Not-Executed: 1\r\n") + framing;
            std::string const filler = *framing == 0 ? text_block : http_chunk(text_block);
            flooded_fleet fleet(flood(status, header_lines, filler));
            backend_standin bad{fleet.store, "p1", "plain"};
            bad.publish_address(fleet.server.address());
            backend_standin const good{fleet.store, "p2", "plain"};
            fleet.start();
            for (auto const& each : fleet.call_all("POST", "/once/1", "r"))
            {
                cr_expect(each && each->status == 200, "status %d", each ? each->status : 0);
            }
            cr_expect_geq(fleet.server.connections().size(), 1);
            fleet.check_end();
        }
    }
}

// Guards against a stream whose event has no end: another engine gives a resumable stream, and one that
// cannot be resumed is visibly broken off.
Test(endless_answer, event_without_end)
{
    std::string const chunked = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    std::string const first = http_chunk("id: 1\ndata: a\n\n");
    for (std::string const& start : {std::string(), first})
    {
        for (std::string const& line : {text_block, std::string("data: b\n")})
        {
            flooded_fleet fleet(flood("200 OK", chunked, http_chunk(line), start));
            backend_standin bad{fleet.store, "e1", "llm", {"m0"}};
            bad.publish_address(fleet.server.address());
            backend_standin const good{fleet.store, "e2", "llm", {"m0"}};
            fleet.start();
            for (auto const& each : fleet.call_all("POST", "/stream/1", "r", {{"Model", "m0"}}))
            {
                std::size_t const events = each ? count_events(each->body) : 0;
                cr_expect(each && each->status == 200, "status %d", each ? each->status : 0);
                cr_expect_eq(events, 6, "%zu events", events);
            }
            cr_expect_geq(fleet.server.connections().size(), 1);
            fleet.check_end();
        }
    }
}

// Guards against a crash of the process when it ends an attempt because of the event that it has just
// received.
Test(endless_answer, events_out_of_order)
{
    flooded_fleet fleet(flood("200 OK", "Transfer-Encoding: chunked\r\n", http_chunk("id: 7\ndata: b\n\n"),
                              http_chunk("id: 1\ndata: a\n\n")));
    backend_standin bad{fleet.store, "e1", "llm", {"m0"}};
    bad.publish_address(fleet.server.address());
    backend_standin const good{fleet.store, "e2", "llm", {"m0"}};
    fleet.start();
    for (auto const& each : fleet.call_all("POST", "/stream/1", "r", {{"Model", "m0"}}))
    {
        cr_expect(each && each->status == 200, "status %d", each ? each->status : 0);
        cr_expect_eq(each ? count_events(each->body) : 0, 6);
    }
    cr_expect_geq(fleet.server.connections().size(), 1);
    fleet.check_end();
}

// Guards against a broken-off stream that looks complete to the caller.
Test(endless_answer, stream_that_cannot_be_resumed)
{
    flooded_fleet fleet(flood("200 OK", "Transfer-Encoding: chunked\r\n", http_chunk(text_block),
                              http_chunk("id: 1\ndata: a\n\n")));
    backend_standin bad{fleet.store, "e1", "llm", {"m0"}};
    bad.publish_address(fleet.server.address());
    fleet.start();
    std::string const request = "POST /stream-once/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: r1\r\nModel: m0\r\n"
                                "Content-Length: 0\r\n\r\n";
    std::string const text = exchange(fleet.edge->caller_address(), request);
    cr_expect_neq(text.find("id: 1\n"), std::string::npos, "%s", text.substr(0, 500).c_str());
    cr_expect_eq(text.find("\r\n0\r\n\r\n"), std::string::npos);
    fleet.check_end();
}

// Guards against orders and inquiries to an engine whose answers have no end: the process that holds the
// lease must go on.
Test(endless_answer, engine_order)
{
    flooded_fleet fleet(flood("202 Accepted", "Transfer-Encoding: chunked\r\n", http_chunk(text_block)));
    backend_standin bad{fleet.store, "e1", "llm", {"m0"}};
    bad.publish_address(fleet.server.address());
    backend_standin const plain{fleet.store, "p1", "plain"};
    fleet.start();
    for (int i = 0; i < 8; ++i)
    {
        auto const model = "m" + std::to_string(i % 4 + 1);
        (void)fleet.edge->call("POST", "/stream/1", "x" + std::to_string(i), {{"Model", model}});
        auto const answer = fleet.edge->call("GET", "/again/1", "r" + std::to_string(i));
        cr_expect(answer && answer->status == 200);
    }
    cr_expect_geq(fleet.server.connections().size(), 1);
    bad.write_entry("draining");
    fleet.check_end();
}

// Guards against a store, or a peer that relays it, whose answers have no end. The instance is not ready
// without a store, but must be alive for when it is back.
Test(endless_answer, store_call)
{
    endless_server const server(flood("200 OK", "Transfer-Encoding: chunked\r\n", http_chunk(text_block),
                                      http_chunk("{\"items\":[")));
    edge_child edge("edge-1", server.address());
    std::this_thread::sleep_for(seconds{4});
    std::size_t const peak = peak_memory_kb(edge);
    cr_expect(edge.process().running());
    cr_expect_leq(peak, memory_bound_kb, "peak %zu kB", peak);
    std::size_t closed = 0;
    for (endless_connection const& each : server.connections())
    {
        closed += each.closed_by_peer ? 1 : 0;
        cr_expect_lt(each.sent, endless_server::byte_limit);
        cr_expect_leq(each.lifetime.count(), close_limit.count());
    }
    cr_log_info("peak %zu kB, connections %zu", peak, server.connections().size());
    cr_expect_geq(closed, 1);
}
