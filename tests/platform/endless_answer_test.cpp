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
// From the server's first byte to the close by the instance. Reading 32 MiB at an eighth of a core takes
// less.
constexpr milliseconds close_limit{1500};
constexpr int floods = 8;

std::string id_of(std::string const& request)
{
    std::size_t const at = request.find("Attempt-Id: ");
    return at == std::string::npos ? std::string()
                                   : request.substr(at + 12, request.find('\r', at) - at - 12);
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
