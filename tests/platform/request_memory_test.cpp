#include "tests/wire/small_fleet.hpp"

#include <criterion/criterion.h>
#include <criterion/logging.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <future>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

using namespace siskinusher;
using namespace siskinusher::standins;
using std::chrono::milliseconds;

namespace
{

using steady = std::chrono::steady_clock;

constexpr std::size_t largest_body = 4194304; ///< max_body_bytes.
constexpr milliseconds work_time{60};
constexpr unsigned retry_slack = 640;
constexpr unsigned holder_gap_ms = 300;
constexpr unsigned least_memory_mb = 160; ///< What a process has whose settings do not name it.
Poco::Timespan const call_limit(8, 0);
// With the kernel's default, which grows to 4 MB, 400 callers take nearly all memory that the machine has for
// sockets. It then drops what is received and aborts connections, also those between instance and servers.
constexpr int caller_send_buffer = 131072;

// Largest resident size of the process so far, in MB; zero when it has ended.
double peak_memory_mb(edge_child& edge)
{
    std::ifstream status("/proc/" + std::to_string(edge.process().process_id()) + "/status");
    std::string word;
    double kilobytes = 0.0;
    while (status >> word)
    {
        if (word == "VmHWM:")
        {
            status >> kilobytes;
        }
    }
    return kilobytes * 1.024 / 1000.0;
}

struct timed_answer
{
    std::optional<http_answer> answer;
    milliseconds took{0};
    std::size_t sent_bytes = 0; ///< Of the request, as far as the kernel took them.
    std::string failure;        ///< What ended a call without an answer.
};

std::string header_value(std::string const& head, std::string const& name)
{
    std::size_t const at = head.find("\r\n" + name + ": ");
    std::size_t const begin = at + name.size() + 4;
    return at == std::string::npos ? std::string() : head.substr(begin, head.find("\r\n", begin) - begin);
}

// An answer whose head, and whose body if it has a length, have arrived.
std::optional<http_answer> parse_answer(std::string const& received)
{
    std::size_t const end = received.find("\r\n\r\n");
    if (end == std::string::npos || received.rfind("HTTP/1.1 ", 0) != 0)
    {
        return std::nullopt;
    }
    std::string const head = received.substr(0, end + 2);
    std::string const length = header_value(head, "Content-Length");
    http_answer answer;
    answer.status = std::atoi(head.substr(9, 3).c_str());
    answer.body = received.substr(end + 4);
    if (std::string const retry_after = header_value(head, "Retry-After"); !retry_after.empty())
    {
        answer.headers["Retry-After"] = retry_after;
    }
    answer.whole = answer.body.size() == std::strtoul(length.c_str(), nullptr, 10);
    return answer.whole ? std::optional(answer) : std::nullopt;
}

// Sends one request on a connection of its own, the body whole before the answer is read, as Poco's client
// does. Each operation that waits for longer than call_limit ends the call.
timed_answer call(std::string const& address, std::string const& id, std::string const& body)
{
    auto const begin = steady::now();
    timed_answer result;
    std::string const head = "POST /once/" + id + " HTTP/1.1\r\nHost: h\r\nAttempt-Id: " + id +
                             "\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) +
                             "\r\n\r\n";
    char const* step = "connect";
    std::string received;
    try
    {
        Poco::Net::StreamSocket socket;
        socket.init(AF_INET);
        socket.setSendBufferSize(caller_send_buffer);
        socket.connect(Poco::Net::SocketAddress(address), call_limit);
        socket.setSendTimeout(call_limit);
        socket.setReceiveTimeout(call_limit);
        step = "send";
        for (std::string const* const part : {&head, &body})
        {
            for (std::size_t at = 0; at < part->size();)
            {
                std::size_t const size = std::min<std::size_t>(part->size() - at, 65536);
                int const sent = socket.sendBytes(part->data() + at, static_cast<int>(size));
                at += static_cast<std::size_t>(sent);
                result.sent_bytes += static_cast<std::size_t>(sent);
            }
        }
        step = "receive";
        std::array<char, 4096> bytes{};
        while (!result.answer)
        {
            int const count = socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
            if (count <= 0)
            {
                break;
            }
            received.append(bytes.data(), static_cast<std::size_t>(count));
            result.answer = parse_answer(received);
        }
        result.failure = result.answer ? "" : "end after " + std::to_string(received.size()) + " bytes";
    }
    catch (Poco::Exception const& error)
    {
        result.failure = std::string(step) + ": " + error.displayText() + " after " +
                         std::to_string(received.size()) + " bytes";
    }
    result.took = std::chrono::duration_cast<milliseconds>(steady::now() - begin);
    return result;
}

// The kernel's memory for the sockets of the whole machine, in pages, and how often it has dropped what was
// received for lack of it: without memory, transfers stand still until their time-outs.
std::string kernel_memory()
{
    std::ostringstream text;
    std::string line;
    std::ifstream used("/proc/net/sockstat");
    while (std::getline(used, line))
    {
        text << (line.rfind("TCP:", 0) == 0 ? line : "");
    }
    std::ifstream limits("/proc/sys/net/ipv4/tcp_mem");
    std::getline(limits, line);
    text << ", tcp_mem " << line;
    std::ifstream counters("/proc/net/netstat");
    std::string names;
    while (std::getline(counters, names) && std::getline(counters, line))
    {
        std::istringstream name(names);
        std::istringstream value(line);
        std::string each;
        for (std::string number; name >> each && value >> number;)
        {
            bool const shown = each == "TCPRcvQDrop" || each == "PruneCalled" || each == "TCPTimeouts" ||
                               each == "TCPMemoryPressures" || each == "TCPAbortOnMemory";
            if (shown)
            {
                text << ", " << each << " " << number;
            }
        }
    }
    return text.str();
}

// A store, two plain servers, and one siskin-edge process that may be sent bodies of largest_body.
struct upload_fleet
{
    // The settings do not name the memory if `memory_mb` is 0.
    explicit upload_fleet(unsigned memory_mb)
        : edge("edge-1", store.address(), holder_gap_ms, retry_slack, memory_mb)
    {
        nlohmann::json config = example_config(1);
        config["limits"]["max_body_bytes"] = largest_body;
        store.write("config", "main", config);
        plain_1.set_work_time(work_time);
        plain_2.set_work_time(work_time);
        cr_assert(edge.wait_ready(), "%s", edge.log_text().c_str());
    }

    timed_answer send(std::string const& id, std::string const& text) const
    {
        return call(edge.caller_address(), id, text);
    }

    // How often the request has run.
    unsigned runs(std::string const& id)
    {
        auto const first = plain_1.runs();
        auto const second = plain_2.runs();
        return (first.count(id) > 0 ? first.at(id) : 0) + (second.count(id) > 0 ? second.at(id) : 0);
    }

    store_standin store;
    backend_standin plain_1{store, "p1", "plain"};
    backend_standin plain_2{store, "p2", "plain"};
    edge_child edge;
};

// All callers send the largest body at once. Each is served or refused, what is refused has not run, and
// small requests are served meanwhile.
void send_at_once(upload_fleet& fleet, std::string const& round, unsigned callers, double memory_mb)
{
    std::string const body(largest_body, 'x');
    std::vector<std::future<timed_answer>> pending;
    pending.reserve(callers);
    for (unsigned i = 0; i < callers; ++i)
    {
        pending.push_back(std::async(std::launch::async, [&fleet, &body, &round, i]
                                     { return fleet.send(round + std::to_string(i), body); }));
    }
    unsigned small_served = 0;
    unsigned small_sent = 0;
    auto const done = [&pending]
    {
        return std::all_of(pending.begin(), pending.end(),
                           [](auto const& each)
                           { return each.wait_for(milliseconds{0}) == std::future_status::ready; });
    };
    while (!done())
    {
        auto const small = fleet.send("small-" + round + std::to_string(small_sent++), "body").answer;
        small_served += small && small->status == 200 ? 1 : 0;
    }
    std::map<int, unsigned> statuses; // 0 for no answer.
    std::ostringstream others;        // Those that were neither served nor refused.
    milliseconds last_refusal{0};
    for (unsigned i = 0; i < callers; ++i)
    {
        timed_answer const each = pending[i].get();
        int const status = each.answer ? each.answer->status : 0;
        ++statuses[status];
        if (status != 200 && status != 503)
        {
            others << "\n"
                   << round << i << ": status " << status << " after " << each.took.count() << " ms, "
                   << each.sent_bytes << " bytes sent, runs " << fleet.runs(round + std::to_string(i)) << " "
                   << each.failure;
        }
        if (status == 503)
        {
            std::string const id = round + std::to_string(i);
            cr_expect_eq(each.answer->headers.count("Retry-After"), 1U, "%s", id.c_str());
            cr_expect_eq(fleet.runs(id), 0U, "%s", id.c_str());
            last_refusal = std::max(last_refusal, each.took);
        }
    }
    double const peak = peak_memory_mb(fleet.edge);
    cr_log_info(
        "%u callers, %.0f MB: peak %.1f MB, served %u, refused %u (the last after %lld ms), without an "
        "answer %u; small requests served %u of %u",
        callers, memory_mb, peak, statuses[200], statuses[503], static_cast<long long>(last_refusal.count()),
        statuses[0], small_served, small_sent);
    cr_expect_gt(peak, 0.0);
    cr_expect_lt(peak, memory_mb);
    cr_expect_gt(statuses[200], 0U);
    cr_expect_eq(statuses[200] + statuses[503], callers, "neither served nor refused:%s\n%s",
                 others.str().c_str(), kernel_memory().c_str());
    cr_expect_eq(small_served, small_sent);
}

void check_rounds(unsigned memory_mb_in_settings, unsigned callers)
{
    constexpr int rounds = 3;
    unsigned const memory_mb = std::max(memory_mb_in_settings, least_memory_mb);
    upload_fleet fleet(memory_mb_in_settings);
    for (int round = 0; round < rounds; ++round)
    {
        send_at_once(fleet, std::to_string(round) + "-", callers, memory_mb);
    }
    auto const after = fleet.send("after", std::string(largest_body, 'x')).answer;
    cr_expect(after && after->status == 200, "memory was not returned");
}

} // namespace

// Guards against a process that the platform ends because many callers send large bodies at once. The
// settings do not name the memory.
Test(request_memory, large_bodies_at_once_stay_within_the_least_memory)
{
    check_rounds(0, 40);
}

// The same with the memory of the settings.
Test(request_memory, large_bodies_at_once_stay_within_the_memory_of_the_settings)
{
    check_rounds(260, 40);
}

// The same with ten times as many callers, whose connections and refusals take memory too.
Test(request_memory, large_bodies_of_many_callers_stay_within_the_least_memory)
{
    check_rounds(0, 400);
}

Test(request_memory, large_bodies_of_many_callers_stay_within_the_memory_of_the_settings)
{
    check_rounds(260, 400);
}

// Guards against a refusal that the log does not explain.
Test(request_memory, refusal_is_explained_in_the_log)
{
    upload_fleet fleet(32);
    std::string const body(largest_body, 'x');
    fleet.plain_1.set_work_time(milliseconds{1500});
    fleet.plain_2.set_work_time(milliseconds{1500});
    constexpr int callers = 4;
    std::vector<std::future<timed_answer>> pending;
    pending.reserve(callers);
    for (int i = 0; i < callers; ++i)
    {
        pending.push_back(std::async(std::launch::async, [&fleet, &body, i]
                                     { return fleet.send("r" + std::to_string(i), body); }));
    }
    unsigned refused = 0;
    for (std::size_t i = 0; i < pending.size(); ++i)
    {
        timed_answer const each = pending[i].get();
        if (each.answer && each.answer->status == 503)
        {
            ++refused;
            cr_expect(eventually(
                          [&]
                          {
                              std::string const line =
                                  "event=refused request=r" + std::to_string(i) + " reason=no_memory";
                              return fleet.edge.log_text().find(line) != std::string::npos;
                          }),
                      "%s", fleet.edge.log_text().c_str());
        }
    }
    cr_expect_gt(refused, 0U);
    cr_expect(fleet.edge.log_text().find(" budget=12800000 ") != std::string::npos);
}
