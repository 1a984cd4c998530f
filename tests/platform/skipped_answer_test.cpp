#include "tests/wire/request_checks.hpp"
#include "tests/wire/scripted_fleet.hpp"

#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <map>
#include <string>
#include <vector>

using namespace siskinusher;
using namespace siskinusher::standins;

namespace
{

using std::chrono::milliseconds;

// Well below the deadline of 4 s, and above the time for which the body of a copy is awaited.
constexpr milliseconds early{1500};
constexpr char const* refusal_lines = "Not-Executed: 1\r\n";

std::string answer(std::string const& status, std::string const& id, std::string const& lines,
                   std::string const& body)
{
    return "HTTP/1.1 " + status + "\r\nAttempt-Id: " + id + "\r\n" + lines +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string success(std::string const& id)
{
    return answer("200 OK", id, "Server-Stamp: s\r\n", "body of " + id);
}

// Answers the request "first" well, and any other one with `copy` before its own answer.
class repeating_server
{
public:
    repeating_server(std::string copy, std::string own, std::string first_answer = success("first"))
        : copy_(std::move(copy)), own_(std::move(own)), first_answer_(std::move(first_answer))
    {
        fleet_.add("p1", "plain",
                   std::vector<fault_server::script>(8, [this](fault_connection& connection)
                                                     { serve(connection); }));
    }

    scripted_fleet& fleet() { return fleet_; }
    unsigned runs() const { return runs_; }

    /// Status of the request "second", which comes behind "first" on one connection.
    int second_status(std::string const& method, std::string const& first_method = "POST")
    {
        (void)fleet_.edge().call(first_method, "/once/1", "first");
        auto const begin = std::chrono::steady_clock::now();
        auto const second = fleet_.edge().call(method, "/once/1", "second", {{"Deadline-Ms", "4000"}});
        auto const took = std::chrono::steady_clock::now() - begin;
        cr_expect(took < early, "%s", log_of(fleet_.edge(), "second").c_str());
        return second ? second->status : 0;
    }

private:
    void serve(fault_connection& connection)
    {
        bool carried = false;
        while (connection.receive())
        {
            if (connection.header("Attempt-Id") == "first")
            {
                carried = true;
                connection.send(first_answer_);
                continue;
            }
            ++runs_;
            connection.send((carried ? copy_ : std::string()) + own_);
        }
    }

    std::string const copy_;
    std::string const own_;
    std::string const first_answer_;
    std::atomic<unsigned> runs_{0};
    scripted_fleet fleet_;
};

} // namespace

// Guards against a second run after a proof that was read from the body of a copy: the answer to HEAD has no
// body, a copy of another answer has.
Test(skipped_answer, body_of_a_copy_is_no_proof_for_a_head_request)
{
    std::string const body = answer("503 Service Unavailable", "second", refusal_lines, "");
    std::string const own =
        "HTTP/1.1 200 OK\r\nAttempt-Id: second\r\nServer-Stamp: s\r\nContent-Length: 4\r\n\r\n";
    repeating_server server(answer("200 OK", "first", "Server-Stamp: s\r\n", body), own);
    (void)server.second_status("HEAD");
    cr_expect_eq(server.runs(), 1, "%u runs", server.runs());
}

// Guards against telling the caller of a call that its server refused, behind a copy, that it may have run.
Test(skipped_answer, refusal_behind_a_copy_is_passed_on_as_one)
{
    repeating_server server(success("first"), answer("503 Service Unavailable", "second", refusal_lines, ""));
    int const status = server.second_status("POST");
    cr_expect_eq(status, 503, "status %d\n%s", status, log_of(server.fleet().edge(), "second").c_str());
}

// Guards against a copied head of an answer to HEAD that takes the next answer for its body.
Test(skipped_answer, copy_of_an_answer_to_head_does_not_hide_the_next_one)
{
    std::string const head =
        "HTTP/1.1 200 OK\r\nAttempt-Id: first\r\nServer-Stamp: s\r\nContent-Length: 1000\r\n\r\n";
    repeating_server server(head, success("second"), head);
    cr_expect_eq(server.second_status("POST", "HEAD"), 200, "%s",
                 log_of(server.fleet().edge(), "second").c_str());
}

// Guards against a call that waits until its deadline behind a copy that its server truncated.
Test(skipped_answer, truncated_copy_ends_the_attempt)
{
    std::string copy = success("first");
    copy.replace(copy.find("Content-Length: "), 17, "Content-Length: 4000");
    repeating_server server(copy, success("second"));
    cr_expect_eq(server.second_status("POST"), 502, "%s", log_of(server.fleet().edge(), "second").c_str());
}
