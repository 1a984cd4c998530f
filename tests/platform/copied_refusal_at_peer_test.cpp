#include "tests/wire/request_checks.hpp"
#include "tests/wire/scripted_fleet.hpp"
#include "tests/wire/scripted_peer.hpp"

#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace siskinusher;
using namespace siskinusher::standins;

namespace
{

using std::chrono::milliseconds;

constexpr std::size_t script_count = 100;
constexpr unsigned request_count = 4;

// An answer that names the request, unless `id` is empty.
std::string answer_text(std::string const& status_line, std::string const& id,
                        std::string const& header_lines, std::string const& body)
{
    std::string const name = id.empty() ? std::string() : "Attempt-Id: " + id + "\r\n";
    return "HTTP/1.1 " + status_line + "\r\n" + name + header_lines +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string refusal(std::string const& id)
{
    return answer_text("503 Service Unavailable", id, "Not-Executed: 1\r\n", "");
}

std::string success(std::string const& id)
{
    return answer_text("200 OK", id, "Server-Stamp: s\r\n", "body of " + id);
}

// A server that follows a script for each request. When an id comes again on a connection that has carried
// it, a copy of the refusal of that id goes out first.
class watching_server
{
public:
    /// Answers the n-th sending of a request, from 1. Returns false to end the connection.
    using action = std::function<bool(fault_connection&, std::string const& id, unsigned sending)>;

    explicit watching_server(action what) : action_(std::move(what)) {}

    std::vector<fault_server::script> scripts()
    {
        return std::vector<fault_server::script>(script_count,
                                                 [this](fault_connection& connection) { serve(connection); });
    }

    /// Answers inquiries and orders with this text, and writes a copy of it before the answer to the next
    /// request of the connection. Such an answer names no request.
    void copy_control_answer(std::string text)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        control_answer_ = std::move(text);
        copies_control_answer_ = true;
    }

    /// How often an id came on a connection that had carried it.
    unsigned repeated_ids() const { return repeated_ids_; }
    /// How many copies of answers to inquiries and orders went out.
    unsigned control_copies() const { return control_copies_; }
    /// How many inquiries and orders were answered.
    unsigned control_answers() const { return control_answers_; }

    unsigned sendings(std::string const& id)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        return sendings_[id];
    }

    unsigned runs(std::string const& id)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        return runs_[id];
    }

    void run(std::string const& id)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        ++runs_[id];
    }

private:
    // The answer to an inquiry or an order, and its later copy.
    std::pair<std::string, std::string> control_answer()
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        return {control_answer_, copies_control_answer_ ? control_answer_ : std::string()};
    }

    void serve(fault_connection& connection)
    {
        std::set<std::string> carried;
        std::string copy;
        while (connection.receive())
        {
            std::string const id = connection.header("Attempt-Id");
            if (id.empty())
            {
                auto [answer, later] = control_answer();
                ++control_answers_;
                connection.send(answer);
                copy = std::move(later);
                continue;
            }
            if (!copy.empty())
            {
                ++control_copies_;
                connection.send(std::exchange(copy, {}));
            }
            if (!carried.insert(id).second)
            {
                ++repeated_ids_;
                connection.send(refusal(id));
            }
            std::unique_lock<std::mutex> lock(mutex_);
            unsigned const sending = ++sendings_[id];
            lock.unlock();
            if (!action_(connection, id, sending))
            {
                return;
            }
        }
    }

    action const action_;
    std::mutex mutex_;
    std::string control_answer_ = answer_text("404 Not Found", "", "", "");
    bool copies_control_answer_ = false;
    std::map<std::string, unsigned> sendings_;
    std::map<std::string, unsigned> runs_;
    std::atomic<unsigned> repeated_ids_{0};
    std::atomic<unsigned> control_copies_{0};
    std::atomic<unsigned> control_answers_{0};
};

void run_well(watching_server& server, fault_connection const& connection, std::string const& id)
{
    server.run(id);
    connection.send(success(id));
}

// Passes a call that must run once on to the instance.
std::optional<http_answer> pass_on(scripted_fleet& fleet, std::string const& id)
{
    std::string const call = "POST /once/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: " + id +
                             "\r\nDeadline-Ms: 1000\r\nContent-Length: 4\r\n\r\nbody";
    return call_as_peer(fleet, "/forward", call, {{"Servers-Left", "1"}});
}

std::optional<http_answer> send_once(scripted_fleet& fleet, std::string const& id)
{
    return fleet.edge().call("POST", "/once/1", id, {{"Deadline-Ms", "1000"}});
}

// Begins a stream whose events count from one up, behind those that the request names.
void begin_events(fault_connection const& connection, std::string const& id, unsigned last)
{
    connection.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
                    "\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n");
    std::string const after = connection.header("Last-Event-Id");
    for (unsigned event = after.empty() ? 1 : static_cast<unsigned>(std::stoul(after)) + 1; event <= last;
         ++event)
    {
        connection.send_chunk("id: " + std::to_string(event) + "\ndata: a\n\n");
    }
}

void send_all_events(fault_connection const& connection, std::string const& id)
{
    begin_events(connection, id, 6);
    connection.send("0\r\n\r\n");
}

} // namespace

// Guards against a second run after a copied refusal when an id comes from a peer first and from a caller
// afterwards, or the other way round.
Test(copied_refusal_at_peer, id_of_a_peer_and_of_a_caller_after_each_other)
{
    std::atomic<bool> full{false};
    watching_server server(
        [&](fault_connection& connection, std::string const& id, unsigned)
        {
            if (full)
            {
                connection.send(refusal(id));
                return true;
            }
            run_well(server, connection, id);
            return true;
        });
    scripted_fleet fleet;
    fleet.add("p1", "plain", server.scripts());
    (void)fleet.edge();
    for (unsigned i = 0; i < request_count; ++i)
    {
        for (bool const peer_first : {true, false})
        {
            std::string const id = (peer_first ? "peer" : "caller") + std::to_string(i);
            full = true;
            auto const first = peer_first ? pass_on(fleet, id) : send_once(fleet, id);
            cr_expect_eq(status_of(first), 503);
            full = false;
            auto const second = peer_first ? send_once(fleet, id) : pass_on(fleet, id);
            cr_expect(status_of(second) == 200 || server.runs(id) == 0, "status %d\n%s", status_of(second),
                      log_of(fleet.edge(), id).c_str());
            cr_expect_leq(server.runs(id), 1, "%s ran %u times", id.c_str(), server.runs(id));
        }
    }
    cr_expect_eq(server.repeated_ids(), 0);
}

// Guards against a run without its answer when an id comes from a peer and from a caller at one time.
Test(copied_refusal_at_peer, id_of_a_peer_and_of_a_caller_at_one_time)
{
    watching_server server(
        [&](fault_connection& connection, std::string const& id, unsigned sending)
        {
            std::this_thread::sleep_for(milliseconds{20});
            if (sending <= 2)
            {
                connection.send(refusal(id));
                return true;
            }
            run_well(server, connection, id);
            return true;
        });
    scripted_fleet fleet;
    fleet.add("p1", "plain", server.scripts());
    fleet.add_name("p2", "plain");
    (void)fleet.edge();
    for (unsigned i = 0; i < 2 * request_count; ++i)
    {
        std::string const id = "r" + std::to_string(i);
        auto at_peer = std::async(std::launch::async, [&] { return pass_on(fleet, id); });
        auto const own = send_once(fleet, id);
        auto const passed_on = at_peer.get();
        unsigned const served = (status_of(own) == 200 ? 1U : 0U) + (status_of(passed_on) == 200 ? 1U : 0U);
        cr_expect_geq(served, 1U);
        cr_expect_eq(server.runs(id), served, "%s ran %u times, statuses %d and %d\n%s", id.c_str(),
                     server.runs(id), status_of(own), status_of(passed_on), log_of(fleet.edge(), id).c_str());
    }
    cr_expect_eq(server.repeated_ids(), 0);
}

// Guards against a copy of a peer's first answer to a request that is passed on to it twice.
Test(copied_refusal_at_peer, request_that_is_passed_on_twice_uses_two_connections)
{
    watching_server script(
        [&](fault_connection& connection, std::string const& id, unsigned sending)
        {
            if (sending == 1 && id.rfind("first", 0) != 0)
            {
                connection.send(answer_text("502 Bad Gateway", "", "", ""));
                return true;
            }
            run_well(script, connection, id);
            return true;
        });
    scripted_peer peer(script.scripts());
    peer.await_use();
    for (unsigned i = 0; i < request_count; ++i)
    {
        std::string const id = "r" + std::to_string(i);
        auto const answer = peer.fleet().edge().call("GET", "/again/1", id);
        expect_plain_answer(peer.fleet().edge(), id, answer);
        cr_expect_eq(script.sendings(id), 2U);
    }
    cr_expect_eq(script.repeated_ids(), 0);
}

// Guards against a copy that meets the attempt beside a silent one: both names belong to one server, which
// has refused the request before.
Test(copied_refusal_at_peer, attempt_beside_a_silent_one_uses_a_new_connection)
{
    watching_server server(
        [&](fault_connection& connection, std::string const& id, unsigned sending)
        {
            if (sending == 1)
            {
                connection.send(refusal(id));
                return true;
            }
            if (sending == 2)
            {
                std::this_thread::sleep_for(milliseconds{1500});
            }
            run_well(server, connection, id);
            return true;
        });
    scripted_fleet fleet;
    fleet.add("p1", "plain", server.scripts());
    fleet.add_name("p2", "plain");
    fleet.add_name("p3", "plain");
    unsigned beside = 0;
    for (unsigned i = 0; i < request_count; ++i)
    {
        std::string const id = "r" + std::to_string(i);
        auto const answer = fleet.edge().call("GET", "/again/1", id);
        expect_plain_answer(fleet.edge(), id, answer);
        beside += server.sendings(id) > 2 ? 1 : 0;
    }
    cr_expect_geq(beside, 1U);
    cr_expect_eq(server.repeated_ids(), 0);
}

// Guards against a copy that meets a stream which goes on at another name of its server.
Test(copied_refusal_at_peer, stream_that_goes_on_uses_another_connection)
{
    watching_server server(
        [&](fault_connection& connection, std::string const& id, unsigned sending)
        {
            if (sending == 1)
            {
                connection.send(refusal(id));
                return true;
            }
            if (sending == 2)
            {
                begin_events(connection, id, 2);
                return false;
            }
            send_all_events(connection, id);
            return true;
        });
    scripted_fleet fleet;
    fleet.add("e1", "llm", server.scripts());
    fleet.add_name("e2", "llm");
    fleet.add_name("e3", "llm");
    for (unsigned i = 0; i < request_count; ++i)
    {
        std::string const id = "r" + std::to_string(i);
        auto const answer = fleet.edge().call("POST", "/stream/1", id, {{"Model", "m0"}});
        expect_whole_stream(fleet.edge(), id, answer);
        cr_expect_geq(server.sendings(id), 3U);
    }
    cr_expect_eq(server.repeated_ids(), 0);
}

// Guards against a copy that meets a stream which a caller takes up under the id of the complete one.
Test(copied_refusal_at_peer, stream_that_a_caller_takes_up_uses_another_connection)
{
    watching_server server(
        [&](fault_connection& connection, std::string const& id, unsigned)
        {
            send_all_events(connection, id);
            return true;
        });
    scripted_fleet fleet;
    fleet.add("e1", "llm", server.scripts());
    std::map<std::string, std::string> const take_up{{"Model", "m0"}, {"Last-Event-Id", "3"}};
    // Until the instance knows that all engines have one version, it refuses streams that it does not know.
    unsigned asked = 0;
    cr_assert(eventually(
        [&]
        {
            std::string const id = "early" + std::to_string(++asked);
            return status_of(fleet.edge().call("POST", "/stream/1", id, take_up)) == 200;
        }));
    for (unsigned i = 0; i < request_count; ++i)
    {
        std::string const id = "r" + std::to_string(i);
        expect_whole_stream(fleet.edge(), id, fleet.edge().call("POST", "/stream/1", id, {{"Model", "m0"}}));
        auto const rest = fleet.edge().call("POST", "/stream/1", id, take_up);
        cr_expect(rest && event_ids(rest->body) == "4 5 6 ", "status %d\n%s", status_of(rest),
                  log_of(fleet.edge(), id).c_str());
    }
    cr_expect_eq(server.repeated_ids(), 0);
}

// Guards against the copy of an answer to an inquiry or an order that hides the answer to a request, or is
// taken for it: such an answer names nothing, so that no request may use their connection.
Test(copied_refusal_at_peer, copied_answer_to_an_inquiry_meets_no_request)
{
    std::string const report = R"({"stage":"colocated","models":[{"name":"m0","version":1,"adapters":[]}],)"
                               R"("busy":false,"seq":0,"queued":0,"running":0,"kv_used":0,"kv_total":90000,)"
                               R"("handles":0})";
    std::vector<std::string> const answers{
        answer_text("200 OK", "", "", report), answer_text("409 Conflict", "", "", "{}"),
        answer_text("503 Service Unavailable", "", "Not-Executed: 1\r\n", ""),
        answer_text("421 Misdirected Request", "", "Not-Executed: 1\r\n", "")};
    unsigned controls = 0;
    for (std::string const& copied : answers)
    {
        watching_server server(
            [&](fault_connection& connection, std::string const& id, unsigned)
            {
                server.run(id);
                send_all_events(connection, id);
                return true;
            });
        server.copy_control_answer(copied);
        scripted_fleet fleet;
        fleet.add("e1", "llm", server.scripts());
        for (unsigned i = 0; i < request_count; ++i)
        {
            std::this_thread::sleep_for(milliseconds{300});
            std::string const id = "r" + std::to_string(i);
            auto const answer =
                fleet.edge().call("POST", "/stream-once/1", id, {{"Model", "m0"}, {"Deadline-Ms", "1500"}});
            bool const served = status_of(answer) == 200 && event_ids(answer->body) == all_events;
            cr_expect(served, "status %d\n%s", status_of(answer), log_of(fleet.edge(), id).c_str());
            cr_expect_leq(server.runs(id), 1U);
        }
        cr_expect_eq(server.control_copies(), 0);
        controls += server.control_answers();
    }
    cr_expect_geq(controls, 1U);
}

// Guards against a copy that an instance writes itself. The answers of a peer name no request when they are
// its own, and calls to peers use kept connections, so that a copy would be taken for the next answer.
Test(copied_refusal_at_peer, instance_answers_each_request_of_a_peer_once)
{
    watching_server server(
        [&](fault_connection& connection, std::string const& id, unsigned)
        {
            if (id == "refused")
            {
                connection.send(refusal(id));
                return true;
            }
            if (id == "failed")
            {
                connection.send(answer_text("500 Internal Server Error", id, "Server-Stamp: s\r\n", ""));
                return true;
            }
            if (id == "silent")
            {
                connection.wait_for_close();
                return false;
            }
            if (id == "lost")
            {
                return false;
            }
            connection.send(refusal("other") + success(id) + refusal(id));
            return true;
        });
    scripted_fleet fleet;
    fleet.add("p1", "plain", server.scripts());
    fleet.add_name("p2", "plain");
    (void)fleet.edge();
    nlohmann::json const record = lease_record(fleet);
    std::vector<std::string> const ids{"first", "refused", "failed", "silent", "lost", "last"};
    std::string calls;
    for (std::string const& id : ids)
    {
        std::string const call = "POST /once/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: " + id +
                                 "\r\nDeadline-Ms: 400\r\nContent-Length: 4\r\n\r\nbody";
        calls += "POST /forward HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " +
                 record["peer_key"].get<std::string>() + "\r\nServers-Left: 1\r\n" +
                 (id == "last" ? "Connection: close\r\n" : "") +
                 "Content-Length: " + std::to_string(call.size()) + "\r\n\r\n" + call;
    }
    raw_client const peer(record["peer_address"].get<std::string>());
    peer.send(calls);
    std::string const answers = peer.read_all();
    std::size_t count = 0;
    for (std::size_t at = answers.find("HTTP/1.1 "); at != std::string::npos;
         at = answers.find("HTTP/1.1 ", at + 1))
    {
        ++count;
    }
    cr_expect_eq(count, ids.size(), "%s", answers.c_str());
}
