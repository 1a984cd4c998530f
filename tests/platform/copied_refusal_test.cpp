#include "tests/wire/request_checks.hpp"
#include "tests/wire/scripted_fleet.hpp"

#include <criterion/criterion.h>

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace siskinusher;
using namespace siskinusher::standins;

namespace
{

constexpr unsigned request_count = 12;
constexpr unsigned repeated_count = 4;
constexpr std::size_t script_count = 60;

std::string refusal(std::string const& status, std::string const& id)
{
    return "HTTP/1.1 " + status + "\r\nAttempt-Id: " + id +
           "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

std::string success(std::string const& id)
{
    std::string const body = "body of " + id;
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
           "\r\nServer-Stamp: s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Refuses the first sending of each request, or all while it is full, and runs the others. When a refused
// request comes again on the connection that carried the refusal, a copy of the refusal goes out before it
// runs.
class copying_server
{
public:
    explicit copying_server(std::string status = "503 Service Unavailable") : status_(std::move(status)) {}

    void set_full(bool value)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        full_ = value;
    }

    std::vector<fault_server::script> scripts()
    {
        return std::vector<fault_server::script>(script_count,
                                                 [this](fault_connection& connection) { serve(connection); });
    }

    unsigned runs(std::string const& id)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        return runs_[id];
    }

    unsigned copies()
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        return copies_;
    }

private:
    void serve(fault_connection& connection)
    {
        std::set<std::string> refused_here;
        while (connection.receive())
        {
            std::string const id = connection.header("Attempt-Id");
            std::unique_lock<std::mutex> lock(mutex_);
            if (refused_.insert(id).second || full_)
            {
                lock.unlock();
                refused_here.insert(id);
                connection.send(refusal(status_, id));
                continue;
            }
            bool const copy = refused_here.count(id) > 0;
            copies_ += copy ? 1 : 0;
            ++runs_[id];
            lock.unlock();
            connection.send((copy ? refusal(status_, id) : "") + success(id));
        }
    }

    std::string const status_;
    std::mutex mutex_;
    std::set<std::string> refused_;
    std::map<std::string, unsigned> runs_;
    unsigned copies_ = 0;
    bool full_ = false;
};

} // namespace

// Guards against a second run, or a false promise, after a copied refusal of a server with two names.
Test(copied_refusal, proves_nothing_about_a_sending_to_another_name_of_the_server)
{
    for (std::string const status : {"503 Service Unavailable", "421 Misdirected Request"})
    {
        copying_server server(status);
        scripted_fleet fleet;
        fleet.add("p1", "plain", server.scripts());
        fleet.add_name("p2", "plain");
        for (unsigned i = 0; i < request_count; ++i)
        {
            std::string const id = "r" + std::to_string(i);
            auto const answer = fleet.edge().call("POST", "/once/1", id);
            cr_assert(answer.has_value());
            cr_expect_eq(answer->status, 200, "status %d\n%s", answer->status,
                         log_of(fleet.edge(), id).c_str());
            cr_expect_eq(server.runs(id), 1, "%s ran %u times\n%s", id.c_str(), server.runs(id),
                         log_of(fleet.edge(), id).c_str());
        }
        cr_expect_eq(server.copies(), 0, "%u requests came again on one connection", server.copies());
    }
}

// Guards against a second run, or a false promise, when a caller sends a refused request again.
Test(copied_refusal, proves_nothing_about_a_request_that_arrives_again)
{
    copying_server server;
    scripted_fleet fleet;
    fleet.add("p1", "plain", server.scripts());
    std::map<std::string, std::string> const headers{{"Deadline-Ms", "1000"}};
    for (unsigned i = 0; i < repeated_count; ++i)
    {
        std::string const id = "r" + std::to_string(i);
        server.set_full(true);
        auto const first = fleet.edge().call("POST", "/once/1", id, headers);
        cr_assert(first && first->status == 503, "status %d", first ? first->status : 0);
        server.set_full(false);
        auto const second = fleet.edge().call("POST", "/once/1", id, headers);
        cr_assert(second.has_value());
        cr_expect(second->status == 200 || server.runs(id) == 0, "status %d\n%s", second->status,
                  log_of(fleet.edge(), id).c_str());
        cr_expect_leq(server.runs(id), 1, "%s ran %u times\n%s", id.c_str(), server.runs(id),
                      log_of(fleet.edge(), id).c_str());
    }
    cr_expect_eq(server.copies(), 0, "%u requests came again on one connection", server.copies());
}
