#include "tests/support/fault_server.hpp"
#include "tests/wire/scripted_fleet.hpp"

#include <criterion/criterion.h>

#include <map>
#include <mutex>
#include <string>
#include <vector>

using namespace siskinusher;
using namespace siskinusher::standins;

namespace
{

// The encoded text is "x\r\nContent-Length: 0\r\n\r\nPOST /hidden HTTP/1.1\r\nAttempt-Id: hidden\r\n".
constexpr char const* encoded_head = "=?utf-8?B?"
                                     "eA0KQ29udGVudC1MZW5ndGg6IDANCg0KUE9TVCAvaGlkZGVuIEhUVFAvMS4xDQpBdHRl"
                                     "bXB0LUlkOiBoaWRkZW4NCg==?=";

// Values that a reader made for mail would change.
std::vector<std::string> const plain_values{encoded_head,
                                            "=?iso-8859-1?Q?=0D=0AHold:_1?=",
                                            "=?utf-8?q?caf=C3=A9?=",
                                            "caf\xc3\xa9",
                                            "\xff\xfe",
                                            "a  \t b",
                                            "\"quoted \\\" text\"",
                                            ""};

std::string header_lines(std::vector<std::string> const& values)
{
    std::string lines;
    for (std::size_t i = 0; i < values.size(); ++i)
    {
        lines += "X-Note-" + std::to_string(i) + ": " + values[i] + "\r\n";
    }
    return lines;
}

// Checks that the head has each of the lines as it is.
void expect_lines(std::string const& message, std::vector<std::string> const& values)
{
    std::string const head = message.substr(0, message.find("\r\n\r\n") + 4);
    for (std::size_t i = 0; i < values.size(); ++i)
    {
        std::string const line = "\r\nX-Note-" + std::to_string(i) + ": " + values[i] + "\r\n";
        cr_expect_neq(head.find(line), std::string::npos, "no '%.200s' in\n%.2000s", line.c_str() + 2,
                      head.c_str());
    }
}

// A server that answers with header lines of its own, and keeps each request as it has received it.
class recording_server
{
public:
    explicit recording_server(std::string answer_lines = {}) : answer_lines_(std::move(answer_lines)) {}

    fault_server::script script()
    {
        return [this](fault_connection& connection)
        {
            while (connection.receive())
            {
                {
                    std::lock_guard<std::mutex> const lock(mutex_);
                    requests_.push_back(connection.request());
                }
                connection.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + connection.header("Attempt-Id") +
                                "\r\nServer-Stamp: s\r\n" + answer_lines_ + "Content-Length: 2\r\n\r\nok");
            }
        };
    }

    std::vector<std::string> requests()
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        return requests_;
    }

private:
    std::string const answer_lines_;
    std::mutex mutex_;
    std::vector<std::string> requests_;
};

std::string debit(std::string const& lines)
{
    return "POST /once/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: r1\r\nConnection: close\r\n" + lines +
           "Content-Length: 5\r\n\r\ndebit";
}

} // namespace

// Guards against a request that is smuggled to a server in a header value that is decoded on the way.
Test(header_values, reach_the_server_as_they_were_sent)
{
    recording_server server;
    scripted_fleet fleet;
    fleet.add("p1", "plain", {server.script()});
    std::string const answer =
        siskinusher::exchange(fleet.edge().caller_address(), debit(header_lines(plain_values)));
    cr_expect_eq(answer.rfind("HTTP/1.1 200 ", 0), 0, "%s", answer.c_str());
    auto const requests = server.requests();
    cr_assert_eq(requests.size(), 1);
    expect_lines(requests[0], plain_values);
    cr_expect_eq(requests[0].substr(requests[0].find("\r\n\r\n")), "\r\n\r\ndebit");
}

// Guards against an answer whose head ends within a header value that is decoded on the way.
Test(header_values, reach_the_caller_as_they_were_sent)
{
    recording_server server(header_lines(plain_values));
    scripted_fleet fleet;
    fleet.add("p1", "plain", {server.script()});
    std::string const answer = siskinusher::exchange(fleet.edge().caller_address(), debit(""));
    cr_expect_eq(answer.rfind("HTTP/1.1 200 ", 0), 0, "%s", answer.c_str());
    expect_lines(answer, plain_values);
    cr_expect_eq(answer.substr(answer.find("\r\n\r\n")), "\r\n\r\nok");
}

// Guards against a limit beside those of the configuration (16,384 bytes of a head), under which long prompts
// were denied.
Test(header_values, of_any_length_and_number_pass_within_the_limits)
{
    std::vector<std::vector<std::string>> const heads{
        {std::string(15800, 'v')}, std::vector<std::string>(900, "v"), {std::string(8193, '"'), "v"}};
    for (auto const& values : heads)
    {
        recording_server server(header_lines(values));
        scripted_fleet fleet;
        fleet.add("p1", "plain", {server.script()});
        std::string const answer =
            siskinusher::exchange(fleet.edge().caller_address(), debit(header_lines(values)));
        cr_expect_eq(answer.rfind("HTTP/1.1 200 ", 0), 0, "%.300s", answer.c_str());
        expect_lines(answer, values);
        cr_assert_eq(server.requests().size(), 1);
        expect_lines(server.requests()[0], values);
    }
    std::string const name(15000, 'n');
    recording_server server(name + ": v\r\n");
    scripted_fleet fleet;
    fleet.add("p1", "plain", {server.script()});
    std::string const answer = siskinusher::exchange(fleet.edge().caller_address(), debit(name + ": v\r\n"));
    cr_expect_neq(answer.find("\r\n" + name + ": v\r\n"), std::string::npos, "%.300s", answer.c_str());
    cr_assert_eq(server.requests().size(), 1);
    cr_expect_neq(server.requests()[0].find("\r\n" + name + ": v\r\n"), std::string::npos);
}

// Guards against a request that is accepted beyond the limit of the configuration.
Test(header_values, beyond_the_limit_of_a_head_are_refused)
{
    recording_server server;
    scripted_fleet fleet;
    fleet.add("p1", "plain", {server.script()});
    std::string const answer =
        siskinusher::exchange(fleet.edge().caller_address(), debit(header_lines({std::string(16384, 'v')})));
    cr_expect_eq(answer.rfind("HTTP/1.1 431 ", 0), 0, "%.300s", answer.c_str());
    cr_expect_eq(server.requests().size(), 0);
}

// Guards against a request whose long target is denied, although the head is within its limit.
Test(header_values, long_targets_pass_within_the_limits)
{
    std::string const target = "/once/1?q=" + std::string(16100, 'q');
    recording_server server;
    scripted_fleet fleet;
    fleet.add("p1", "plain", {server.script()});
    std::string const answer = siskinusher::exchange(
        fleet.edge().caller_address(), "POST " + target +
                                           " HTTP/1.1\r\nHost: h\r\nAttempt-Id: r1\r\nConnection: "
                                           "close\r\nContent-Length: 5\r\n\r\ndebit");
    cr_expect_eq(answer.rfind("HTTP/1.1 200 ", 0), 0, "%.300s", answer.c_str());
    cr_assert_eq(server.requests().size(), 1);
    cr_expect_eq(server.requests()[0].rfind("POST " + target + " HTTP/1.1\r\n", 0), 0);
}
