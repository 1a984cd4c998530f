#include "tests/support/invalid_answers.hpp"
#include "tests/wire/request_checks.hpp"
#include "tests/wire/scripted_fleet.hpp"
#include "tests/wire/scripted_peer.hpp"

#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

using namespace siskinusher;
using namespace siskinusher::standins;

namespace
{

constexpr std::size_t script_count = 4000;

std::string id_lines(std::string const& id)
{
    return "Attempt-Id: " + id + "\r\nServer-Stamp: s\r\n";
}

std::string good_answer(std::string const& id)
{
    std::string const body = "body of " + id;
    return "HTTP/1.1 200 OK\r\n" + id_lines(id) + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

// A server that gives the invalid answer `cases[N]` to requests whose id begins with "case<N>-", and good
// ones to all others. Of an id that ends with "-once", only the first sending gets the invalid answer.
class failing_server
{
public:
    explicit failing_server(std::vector<invalid_answer> cases) : cases_(std::move(cases)) {}

    std::vector<fault_server::script> scripts()
    {
        return std::vector<fault_server::script>(script_count,
                                                 [this](fault_connection& connection) { serve(connection); });
    }

    /// Requests that came on a connection behind an invalid answer.
    unsigned behind_invalid() const { return behind_invalid_; }

    /// Answers reports and orders of an engine with this text.
    void set_control(std::string report, std::string order)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        report_ = std::move(report);
        order_ = std::move(order);
    }

    unsigned orders() const { return orders_; }
    unsigned reports() const { return reports_; }

private:
    bool gets_invalid(std::string const& id)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        bool const first = seen_.insert(id).second;
        bool const invalid = id.rfind("case", 0) == 0 && (first || id.find("-once") == std::string::npos);
        return invalid;
    }

    std::string control_answer(bool order)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        ++(order ? orders_ : reports_);
        return order ? order_ : report_;
    }

    static void send_good(fault_connection const& connection, std::string const& id)
    {
        if (connection.request().rfind("POST /stream", 0) != 0)
        {
            connection.send(good_answer(id));
            return;
        }
        connection.send("HTTP/1.1 200 OK\r\n" + id_lines(id) + "Transfer-Encoding: chunked\r\n\r\n");
        std::string const after = connection.header("Last-Event-Id");
        for (unsigned event = after.empty() ? 1 : static_cast<unsigned>(std::stoul(after)) + 1; event <= 6;
             ++event)
        {
            connection.send_chunk("id: " + std::to_string(event) + "\ndata: a\n\n");
        }
        connection.send("0\r\n\r\n");
    }

    void serve(fault_connection& connection)
    {
        bool invalid_sent = false;
        while (connection.receive())
        {
            behind_invalid_ += invalid_sent ? 1 : 0;
            // A request that a peer passes on has the caller's head in its body, where header() finds it.
            std::string const id = connection.header("Attempt-Id");
            if (id.empty())
            {
                connection.send(control_answer(connection.request().rfind("POST", 0) == 0));
                continue;
            }
            if (!gets_invalid(id))
            {
                send_good(connection, id);
                continue;
            }
            invalid_answer const& answer = cases_.at(std::stoul(id.substr(4)));
            connection.send(answer.text(id_lines(id)));
            invalid_sent = true;
            if (answer.closes)
            {
                return;
            }
        }
    }

    std::vector<invalid_answer> const cases_;
    std::mutex mutex_;
    std::set<std::string> seen_;
    std::string report_ = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
    std::string order_ = report_;
    std::atomic<unsigned> behind_invalid_{0};
    std::atomic<unsigned> orders_{0};
    std::atomic<unsigned> reports_{0};
};

std::string case_id(std::size_t number, std::string const& suffix)
{
    return "case" + std::to_string(number) + "-" + suffix;
}

// Writes as many names of one server as there are cases, and a few more: one that has failed is left out for
// a while, and the others are there for the next case.
void add_names(scripted_fleet& fleet, failing_server& server, std::string const& service, std::size_t cases)
{
    fleet.add("s0", service, server.scripts());
    for (std::size_t i = 1; i < cases + 3; ++i)
    {
        fleet.add_name("s" + std::to_string(i), service);
    }
}

// Sends good requests: attempts beyond the first take from a budget that is a share of the requests.
void earn_retries(edge_child const& edge, std::string const& path,
                  std::map<std::string, std::string> const& headers, std::size_t number)
{
    for (unsigned i = 0; i < 20; ++i)
    {
        std::string const id = "good" + std::to_string(number) + "-" + std::to_string(i);
        cr_assert_eq(status_of(edge.call("POST", path, id, headers)), 200);
    }
}

struct stream_form
{
    char const* path;
    std::map<std::string, std::string> headers;
    std::string events; ///< Empty when the stream must fail.
};

// The first sending of each stream gets an invalid answer, and a second one a good one.
void check_streams(stream_form const& form)
{
    auto const cases = invalid_answers();
    failing_server server(cases);
    scripted_fleet fleet;
    add_names(fleet, server, "llm", cases.size());
    // Until the instance knows that all engines have one version, it refuses streams that it does not know.
    unsigned asked = 0;
    cr_assert(eventually(
        [&]
        {
            std::string const id = "early" + std::to_string(++asked);
            return status_of(fleet.edge().call("POST", form.path, id, form.headers)) == 200;
        }));
    for (std::size_t i = 0; i < cases.size(); ++i)
    {
        earn_retries(fleet.edge(), form.path, form.headers, i);
        std::string const id = case_id(i, "once");
        auto const answer = fleet.edge().call("POST", form.path, id, form.headers);
        bool const served = status_of(answer) == 200 && event_ids(answer->body) == form.events;
        cr_expect(form.events.empty() ? status_of(answer) == 502 : served, "%s: status %d\n%s",
                  cases[i].name.c_str(), status_of(answer), log_of(fleet.edge(), id).c_str());
    }
    cr_expect_eq(server.behind_invalid(), 0);
}

} // namespace

// Guards against an invalid status, or a body of another answer, that reaches a caller whose call must run
// once, and against the use of the connection on which it came. Each call follows a good one, so that it uses
// a kept connection.
Test(invalid_status, call_on_a_kept_connection_gets_502)
{
    auto const cases = invalid_answers();
    failing_server server(cases);
    scripted_fleet fleet;
    fleet.add("p1", "plain", server.scripts());
    for (std::size_t i = 0; i < cases.size(); ++i)
    {
        // A server that has failed is left out for a while.
        unsigned sent = 0;
        cr_assert(eventually(
            [&]
            {
                std::string const before = "before" + std::to_string(i) + "-" + std::to_string(++sent);
                return status_of(fleet.edge().call("POST", "/once/1", before)) == 200;
            }));
        std::string const id = case_id(i, "kept");
        auto const answer = fleet.edge().call("POST", "/once/1", id, {{"Deadline-Ms", "1500"}});
        std::string const why = std::string(" why=") + cases[i].why + " ";
        (void)eventually([&] { return log_of(fleet.edge(), id).find(why) != std::string::npos; },
                         std::chrono::seconds{2});
        std::string const log = log_of(fleet.edge(), id);
        cr_expect(answer && answer->status == 502 && answer->body.empty(), "%s: status %d\n%s",
                  cases[i].name.c_str(), status_of(answer), log.c_str());
        cr_expect(log.find(why) != std::string::npos, "%s\n%s", cases[i].name.c_str(), log.c_str());
    }
    cr_expect_eq(server.behind_invalid(), 0);
}

// Guards against an invalid status of a server that ends a request which another server could serve.
Test(invalid_status, repeatable_request_is_tried_elsewhere)
{
    auto const cases = invalid_answers();
    failing_server server(cases);
    scripted_fleet fleet;
    add_names(fleet, server, "plain", cases.size());
    for (std::size_t i = 0; i < cases.size(); ++i)
    {
        earn_retries(fleet.edge(), "/once/1", {}, i);
        std::string const id = case_id(i, "once");
        expect_plain_answer(fleet.edge(), id, fleet.edge().call("GET", "/again/1", id));
    }
    cr_expect_eq(server.behind_invalid(), 0);
}

// Guards against an invalid status that begins a stream which could go on elsewhere.
Test(invalid_status, resumable_stream_goes_on_elsewhere)
{
    check_streams({"/stream/1", {{"Model", "m0"}}, all_events});
}

// Guards against an invalid status that a caller gets who takes up a stream.
Test(invalid_status, stream_that_is_taken_up_goes_on_elsewhere)
{
    check_streams({"/stream/1", {{"Model", "m0"}, {"Last-Event-Id", "3"}, {"Resumes", "early"}}, "4 5 6 "});
}

// Guards against an invalid status that begins a stream which must run once.
Test(invalid_status, stream_that_runs_once_fails_with_502)
{
    check_streams({"/stream-once/1", {{"Model", "m0"}}, ""});
}

// Guards against an invalid status that an instance gives to the peer which passed the request on.
Test(invalid_status, instance_answers_502_to_a_peer)
{
    auto const cases = invalid_answers();
    failing_server server(cases);
    scripted_fleet fleet;
    fleet.add("p1", "plain", server.scripts());
    (void)fleet.edge();
    for (std::size_t i = 0; i < cases.size(); ++i)
    {
        auto const pass_on = [&fleet](std::string const& id)
        {
            std::string const call = "POST /once/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: " + id +
                                     "\r\nDeadline-Ms: 1500\r\nContent-Length: 4\r\n\r\nbody";
            return call_as_peer(fleet, "/forward", call, {{"Servers-Left", "1"}});
        };
        // A server that has failed is left out for a while.
        unsigned sent = 0;
        cr_assert(eventually(
            [&] {
                return status_of(pass_on("before" + std::to_string(i) + "-" + std::to_string(++sent))) == 200;
            }));
        std::string const id = case_id(i, "passed-on");
        auto const answer = pass_on(id);
        cr_expect_eq(status_of(answer), 502, "%s: status %d\n%s", cases[i].name.c_str(), status_of(answer),
                     log_of(fleet.edge(), id).c_str());
    }
    cr_expect_eq(server.behind_invalid(), 0);
}

// Guards against an invalid status of a peer, of an earlier build or in trouble, that reaches a caller.
Test(invalid_status, answer_of_a_peer_is_not_passed_on)
{
    auto const cases = invalid_answers();
    failing_server server(cases);
    scripted_peer peer(server.scripts());
    peer.await_use();
    for (std::size_t i = 0; i < cases.size(); ++i)
    {
        std::string const id = case_id(i, "kept");
        auto const answer = peer.fleet().edge().call("POST", "/once/1", id, {{"Deadline-Ms", "1500"}});
        cr_expect_eq(status_of(answer), 502, "%s: status %d\n%s", cases[i].name.c_str(), status_of(answer),
                     log_of(peer.fleet().edge(), id).c_str());
        std::string const again = case_id(i, "once");
        auto const second = peer.fleet().edge().call("GET", "/again/1", again);
        expect_plain_answer(peer.fleet().edge(), again, second);
    }
    cr_expect_eq(server.behind_invalid(), 0);
}

// Guards against an engine's report or the answer to an order that counts although its status is not valid.
Test(invalid_status, reports_and_orders_count_as_unanswered)
{
    std::string const report = R"({"stage":"colocated","models":[{"name":"m0","version":1,"adapters":[]}],)"
                               R"("busy":false,"seq":0,"queued":0,"running":0,"kv_used":0,"kv_total":90000,)"
                               R"("handles":0})";
    std::string const framing = "Content-Length: " + std::to_string(report.size()) + "\r\n\r\n" + report;
    for (std::string const status :
         {"000 Zero", "600 High", "999 High", "+200 Sign", "2000 Four", "101 Other"})
    {
        failing_server server({});
        std::string invalid = "HTTP/1.1 ";
        invalid.append(status).append("\r\n").append(framing);
        server.set_control(invalid, invalid);
        scripted_fleet fleet;
        fleet.add("e1", "llm", server.scripts());
        (void)fleet.edge();
        cr_assert(eventually([&] { return server.reports() > 0; }));
        auto const told = [&]
        {
            std::string const log = fleet.edge().log_text();
            std::size_t const at = log.find("event=inquiry ");
            return at != std::string::npos &&
                   log.find("status=0 why=invalid_status", at) != std::string::npos;
        };
        cr_expect(eventually(told, std::chrono::seconds{3}), "%s\n%s", status.c_str(),
                  fleet.edge().log_text().c_str());
        server.set_control("HTTP/1.1 200 OK\r\n" + framing, invalid);
        (void)fleet.edge().call("POST", "/stream/1", "wants-m1", {{"Model", "m1"}, {"Deadline-Ms", "300"}});
        cr_expect(eventually([&] { return server.orders() > 0; }, std::chrono::seconds{8}), "no order\n%s",
                  fleet.edge().log_text().c_str());
        auto const order_told = [&]
        {
            std::string const log = fleet.edge().log_text();
            std::size_t const at = log.find("event=order ");
            std::string const line =
                at == std::string::npos ? std::string() : log.substr(at, log.find('\n', at) - at);
            return line.find("result=unknown") != std::string::npos &&
                   line.find("status=0") != std::string::npos &&
                   line.find("why=invalid_status") != std::string::npos;
        };
        cr_expect(eventually(order_told, std::chrono::seconds{3}), "%s\n%s", status.c_str(),
                  fleet.edge().log_text().c_str());
    }
}
