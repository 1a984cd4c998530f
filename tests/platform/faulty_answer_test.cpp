#include "tests/support/fault_server.hpp"
#include "tests/wire/request_checks.hpp"
#include "tests/wire/scripted_fleet.hpp"
#include "tests/wire/small_fleet.hpp"

#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace siskinusher;
using namespace siskinusher::standins;

namespace
{

using std::chrono::milliseconds;

// An answer that names the request, unless `id` is empty.
void send_answer(fault_connection const& connection, std::string const& status_line, std::string const& id,
                 std::string const& header_lines, std::string const& body)
{
    std::string const name = id.empty() ? std::string() : "Attempt-Id: " + id + "\r\n";
    connection.send("HTTP/1.1 " + status_line + "\r\n" + name + header_lines +
                    "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

void answer_well(fault_connection const& connection)
{
    std::string const id = connection.header("Attempt-Id");
    send_answer(connection, "200 OK", id, "Server-Stamp: s\r\n", "body of " + id);
}

void refuse(fault_connection const& connection, std::string const& id)
{
    send_answer(connection, "503 Service Unavailable", id, "Not-Executed: 1\r\n", "");
}

// Answers an engine's report and orders until a stream's request comes.
bool receive_stream(fault_connection& connection)
{
    while (connection.receive())
    {
        if (connection.request().rfind("POST /stream", 0) == 0)
        {
            return true;
        }
        send_answer(connection, "404 Not Found", "", "", "");
    }
    return false;
}

void begin_events(fault_connection const& connection)
{
    connection.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + connection.header("Attempt-Id") +
                    "\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n");
    connection.send_chunk("id: 1\ndata: a\n\n");
}

} // namespace

// Guards against telling the caller of a call that runs that it did not run, because of bytes left on a
// connection.
Test(faulty_answer, refusal_that_names_no_request_proves_nothing_on_a_kept_connection)
{
    scripted_fleet fleet;
    auto const script = [](fault_connection& connection)
    {
        while (connection.receive())
        {
            if (connection.header("Attempt-Id") == "first")
            {
                answer_well(connection);
                continue;
            }
            refuse(connection, "");
        }
    };
    fleet.add("p1", "plain", {script, script, script});
    auto const first = fleet.edge().call("POST", "/once/1", "first");
    cr_assert(first && first->status == 200);
    auto const second = fleet.edge().call("POST", "/once/2", "second");
    cr_expect(second && second->status == 502, "status %d\n%s", second ? second->status : 0,
              log_of(fleet.edge(), "second").c_str());
}

// Guards against taking a refusal that a server wrote twice for the answer to the next sending of the same
// call.
Test(faulty_answer, repeated_refusal_does_not_answer_the_next_sending)
{
    scripted_fleet fleet;
    auto const first = [](fault_connection& connection)
    {
        while (connection.receive())
        {
            refuse(connection, connection.header("Attempt-Id"));
        }
    };
    auto const second = [](fault_connection& connection)
    {
        while (connection.receive())
        {
            answer_well(connection);
        }
    };
    fleet.add("p1", "plain", {first, second, second});
    auto const answer = fleet.edge().call("POST", "/once/1", "r1");
    expect_plain_answer(fleet.edge(), "r1", answer);
}

// Guards against a call whose own answer is lost because its server repeats an answer to an earlier request.
Test(faulty_answer, repeated_answer_does_not_hide_the_next_one)
{
    scripted_fleet fleet;
    auto const script = [](fault_connection& connection)
    {
        std::string earlier;
        while (connection.receive())
        {
            if (!earlier.empty())
            {
                send_answer(connection, "200 OK", earlier, "Server-Stamp: s\r\n", "body of " + earlier);
                refuse(connection, earlier);
            }
            answer_well(connection);
            earlier = connection.header("Attempt-Id");
        }
    };
    fleet.add("p1", "plain", {script, script, script});
    for (std::string const id : {"r1", "r2", "r3", "r4"})
    {
        auto const answer = fleet.edge().call("POST", "/once/1", id);
        expect_plain_answer(fleet.edge(), id, answer);
    }
    auto const is_logged = [&fleet]
    { return log_of(fleet.edge(), "r2").find("event=extra_answer") != std::string::npos; };
    cr_expect(eventually(is_logged), "%s", log_of(fleet.edge(), "r2").c_str());
}

// Guards against a server that repeats its answers unnoticed.
Test(faulty_answer, bytes_behind_an_answer_are_logged)
{
    scripted_fleet fleet;
    auto const script = [](fault_connection& connection)
    {
        (void)connection.receive();
        std::string const id = connection.header("Attempt-Id");
        std::string const answer = "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: " + id +
                                   "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        connection.send(answer + answer);
        connection.wait_for_close();
    };
    fleet.add("p1", "plain", std::vector<fault_server::script>(20, script));
    (void)fleet.edge().call("POST", "/once/1", "r1", {{"Deadline-Ms", "600"}});
    auto const is_logged = [&fleet]
    { return log_of(fleet.edge(), "r1").find("place=behind") != std::string::npos; };
    cr_expect(eventually(is_logged), "%s", log_of(fleet.edge(), "r1").c_str());
}

// Guards against a call that waits until its deadline while its server repeats earlier answers without an
// end.
Test(faulty_answer, endless_repeated_answers_end_the_attempt)
{
    scripted_fleet fleet;
    auto const script = [](fault_connection& connection)
    {
        (void)connection.receive();
        std::string const earlier = connection.header("Attempt-Id");
        answer_well(connection);
        (void)connection.receive();
        for (unsigned i = 0; i < 1000; ++i)
        {
            refuse(connection, earlier);
        }
        connection.wait_for_close();
    };
    fleet.add("p1", "plain", {script, script, script});
    auto const first = fleet.edge().call("POST", "/once/1", "r1");
    cr_assert(first && first->status == 200);
    auto const second = fleet.edge().call("POST", "/once/2", "r2");
    cr_expect(second && second->status == 502, "status %d\n%s", second ? second->status : 0,
              log_of(fleet.edge(), "r2").c_str());
}

// Guards against an error's text in the middle of a stream, and against a stream that seems complete after
// it.
Test(faulty_answer, error_after_a_broken_stream_does_not_reach_the_caller)
{
    for (std::string const route : {"/stream/1", "/stream-once/1"})
    {
        scripted_fleet fleet;
        auto const script = [](fault_connection& connection)
        {
            if (!receive_stream(connection))
            {
                return;
            }
            if (connection.header("Last-Event-Id").empty())
            {
                begin_events(connection);
                connection.reset();
                return;
            }
            send_answer(connection, "500 Internal Server Error", connection.header("Attempt-Id"),
                        "Server-Stamp: s\r\n", "secret text of an error");
        };
        std::vector<fault_server::script> const scripts(12, script);
        fleet.add("e1", "llm", scripts);
        fleet.add("e2", "llm", scripts);
        auto const answer = fleet.edge().call("POST", route, "r1", {{"Model", "m0"}});
        std::string const body = answer ? answer->body : "";
        cr_expect(body.find("secret") == std::string::npos && body.find("HTTP/1.1") == std::string::npos,
                  "%s", body.c_str());
        cr_expect(eventually([&] { return !logged_outcome(fleet.edge(), "r1").empty(); }));
        cr_expect_eq(logged_outcome(fleet.edge(), "r1"), "broken_off");
    }
}

// Guards against a complete answer made of a head that its server did not finish.
Test(faulty_answer, head_that_ends_early_is_no_answer)
{
    for (std::string const head : {"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Le", "HTTP/1.1 200 OK\r\n",
                                   "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n", "HTTP/1.1 20"})
    {
        scripted_fleet fleet;
        auto const script = [head](fault_connection& connection)
        {
            if (connection.receive())
            {
                connection.send(head);
            }
        };
        fleet.add("p1", "plain", std::vector<fault_server::script>(6, script));
        auto const answer = fleet.edge().call("POST", "/once/1", "r1");
        cr_expect(answer && answer->status == 502, "\"%s\": status %d", head.c_str(),
                  answer ? answer->status : 0);
    }
}

// Guards against ending an attempt that runs because the silent one that it replaces is rejected late.
Test(faulty_answer, late_rejection_leaves_the_replacement_running)
{
    scripted_fleet fleet;
    std::atomic<unsigned> arrivals{0};
    auto const script = [&arrivals](fault_connection& connection)
    {
        while (connection.receive())
        {
            bool const first = ++arrivals == 1;
            // The replacement is sent after 500 ms of silence.
            std::this_thread::sleep_for(milliseconds{first ? 800 : 700});
            if (first)
            {
                refuse(connection, connection.header("Attempt-Id"));
                continue;
            }
            answer_well(connection);
        }
    };
    std::vector<fault_server::script> const scripts(4, script);
    fleet.add("p1", "plain", scripts);
    fleet.add("p2", "plain", scripts);
    auto const answer = fleet.edge().call("GET", "/again/1", "r1");
    expect_plain_answer(fleet.edge(), "r1", answer);
    cr_expect_eq(arrivals, 2, "%u sendings\n%s", arrivals.load(), log_of(fleet.edge(), "r1").c_str());
}
