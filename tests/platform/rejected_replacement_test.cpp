#include "tests/wire/request_checks.hpp"
#include "tests/wire/scripted_fleet.hpp"

#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace siskinusher;
using namespace siskinusher::standins;

namespace
{

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

// A request at a silent server is sent to another one after 500 ms. The instance stands still while both
// answer, so that it reads both answers in one turn of its loop.
constexpr milliseconds stand_still_at{700};
constexpr milliseconds earlier_answer{800};
constexpr milliseconds later_answer{850};
constexpr milliseconds go_on_at{950};

void refuse(fault_connection const& connection)
{
    connection.send("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: " + connection.header("Attempt-Id") +
                    "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
}

void answer_well(fault_connection const& connection)
{
    std::string const body = "body of " + connection.header("Attempt-Id");
    connection.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + connection.header("Attempt-Id") +
                    "\r\nServer-Stamp: s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                    body);
}

/// Two servers that treat the n-th sending of a request as the script says, at the time of the first ones
/// above.
class two_servers
{
public:
    /// Returns false to close the connection.
    using script = std::function<bool(fault_connection const&, unsigned sending)>;

    two_servers(bool first_answers_first, script answers)
        : first_answers_first_(first_answers_first), answers_(std::move(answers))
    {
        std::vector<fault_server::script> const scripts(20, [this](fault_connection& connection)
                                                        { serve(connection); });
        fleet_.add("p1", "plain", scripts);
        fleet_.add("p2", "plain", scripts);
    }

    edge_child& edge() { return fleet_.edge(); }

    int status_of_request()
    {
        (void)edge();
        begin_ = clock::now();
        std::thread stopper(
            [this]
            {
                std::this_thread::sleep_until(begin_ + stand_still_at);
                edge().process().send(SIGSTOP);
                std::this_thread::sleep_until(begin_ + go_on_at);
                edge().process().send(SIGCONT);
            });
        auto const answer = edge().call("GET", "/again/1", "r1", {{"Deadline-Ms", "3500"}});
        stopper.join();
        return answer ? answer->status : 0;
    }

private:
    void serve(fault_connection& connection)
    {
        while (connection.receive())
        {
            unsigned const sending = ++sendings_;
            if (sending <= 2)
            {
                bool const earlier = (sending == 1) == first_answers_first_;
                std::this_thread::sleep_until(begin_ + (earlier ? earlier_answer : later_answer));
            }
            if (!answers_(connection, sending))
            {
                return;
            }
        }
    }

    bool const first_answers_first_;
    script const answers_;
    std::atomic<unsigned> sendings_{0};
    clock::time_point begin_;
    scripted_fleet fleet_;
};

} // namespace

// Guards against an attempt that has ended already and is taken for the current one: the request waits then
// until its silence is noticed, or until its deadline.
Test(rejected_replacement, does_not_take_over_from_a_rejected_attempt)
{
    two_servers servers(true,
                        [](fault_connection const& connection, unsigned sending)
                        {
                            sending <= 2 ? refuse(connection) : answer_well(connection);
                            return true;
                        });
    cr_expect_eq(servers.status_of_request(), 200, "%s", log_of(servers.edge(), "r1").c_str());
    cr_expect_eq(log_of(servers.edge(), "r1").find("why=silent"), std::string::npos, "%s",
                 log_of(servers.edge(), "r1").c_str());
}

// As above, where nothing runs and the caller must be told so.
Test(rejected_replacement, leaves_a_request_that_all_servers_refuse_refused)
{
    two_servers servers(true,
                        [](fault_connection const& connection, unsigned)
                        {
                            refuse(connection);
                            return true;
                        });
    cr_expect_eq(servers.status_of_request(), 503, "%s", log_of(servers.edge(), "r1").c_str());
}

// As above, where the connection of the attempt before the replacement ends.
Test(rejected_replacement, does_not_take_over_from_a_lost_attempt)
{
    two_servers servers(false,
                        [](fault_connection const& connection, unsigned sending)
                        {
                            if (sending > 2)
                            {
                                answer_well(connection);
                                return true;
                            }
                            if (sending == 2)
                            {
                                refuse(connection);
                            }
                            return sending == 2;
                        });
    cr_expect_eq(servers.status_of_request(), 200, "%s", log_of(servers.edge(), "r1").c_str());
}
