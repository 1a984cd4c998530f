#include "tests/wire/request_checks.hpp"
#include "tests/wire/scripted_fleet.hpp"

#include <criterion/criterion.h>

#include <map>
#include <string>
#include <vector>

using namespace siskinusher;
using namespace siskinusher::standins;

namespace
{

// Answers each request with this status and a signature. `lines` are further headers.
fault_server::script answering(std::string const& status, std::string const& lines)
{
    return [status, lines](fault_connection& connection)
    {
        while (connection.receive())
        {
            std::string answer = "HTTP/1.1 " + status + "\r\nAttempt-Id: ";
            answer.append(connection.header("Attempt-Id")).append("\r\nServer-Stamp: s\r\n");
            answer.append("Retry-After: 0.1\r\n").append(lines).append("Content-Length: 4\r\n\r\nbusy");
            connection.send(answer);
        }
    };
}

std::vector<std::string> const statuses{"408 Request Timeout", "429 Too Many Requests",
                                        "503 Service Unavailable"};

} // namespace

// Guards against a caller that sends a request again, because a server's status is passed on that promises
// more than the server has said.
Test(unproven_refusal, is_not_passed_on_as_a_promise)
{
    for (std::string const& status : statuses)
    {
        for (std::string const service : {"plain", "llm"})
        {
            scripted_fleet fleet;
            std::vector<fault_server::script> const scripts(40, answering(status, ""));
            fleet.add("s1", service, scripts);
            std::string const path = service == "llm" ? "/stream-once/1" : "/once/1";
            std::map<std::string, std::string> const headers =
                service == "llm" ? std::map<std::string, std::string>{{"Model", "m0"}}
                                 : std::map<std::string, std::string>{};
            auto const answer = fleet.edge().call("POST", path, "r1", headers);
            cr_assert(answer.has_value());
            cr_expect_eq(answer->status, 502, "%s %s: %d\n%s", status.c_str(), path.c_str(), answer->status,
                         log_of(fleet.edge(), "r1").c_str());
            cr_expect_eq(answer->headers.count("Server-Stamp"), 0);
            cr_expect_eq(answer->headers.count("Retry-After"), 0);
            cr_expect(eventually([&] { return !logged_outcome(fleet.edge(), "r1").empty(); }));
            cr_expect_eq(logged_outcome(fleet.edge(), "r1"), "unproven_refusal");
        }
    }
}

// Guards against a failure answer of one server that ends a request which another one could serve.
Test(unproven_refusal, of_a_request_that_may_be_repeated_is_tried_elsewhere)
{
    for (std::string const& status : statuses)
    {
        scripted_fleet fleet;
        std::vector<fault_server::script> const scripts(10, answering(status, ""));
        std::vector<fault_server::script> const good(10, answering("200 OK", ""));
        fleet.add("p1", "plain", scripts);
        fleet.add("p2", "plain", good);
        for (int i = 0; i < 4; ++i)
        {
            auto const answer = fleet.edge().call("GET", "/again/1", "r" + std::to_string(i));
            cr_expect(answer && answer->status == 200, "%s: %d", status.c_str(), answer ? answer->status : 0);
        }
    }
}

// Guards against a request that is not sent elsewhere although its server has proved that it did not run.
Test(unproven_refusal, proven_refusals_of_a_call_go_to_another_server)
{
    for (std::string const& status : statuses)
    {
        scripted_fleet fleet;
        std::vector<fault_server::script> const scripts(10, answering(status, "Not-Executed: 1\r\n"));
        std::vector<fault_server::script> const good(10, answering("200 OK", ""));
        fleet.add("p1", "plain", scripts);
        fleet.add("p2", "plain", good);
        auto const answer = fleet.edge().call("POST", "/once/1", "r1");
        cr_expect(answer && answer->status == 200, "%s: %d", status.c_str(), answer ? answer->status : 0);
    }
}
