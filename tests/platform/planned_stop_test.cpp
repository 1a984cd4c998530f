#include "tests/wire/partition_fleet.hpp"
#include "tests/wire/request_checks.hpp"
#include "tests/wire/small_fleet.hpp"

#include <criterion/criterion.h>

#include <csignal>
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

// The stop time of the processes' settings.
constexpr seconds stop_time{8};

struct long_routes_fleet : small_fleet
{
    long_routes_fleet()
    {
        nlohmann::json config = example_config(2);
        for (nlohmann::json& route : config["routes"])
        {
            route["timeout_ms"] = 30000;
        }
        store.write("config", "main", config);
        cr_assert(eventually([this] { return edge.log_text().find("version=2 ") != std::string::npos; }));
        for (backend_standin* const each : {&plain_1, &plain_2})
        {
            each->set_work_time(seconds{12});
        }
    }
};

} // namespace

// Guards against requests that end with a closed connection because their server is silent until the end.
Test(planned_stop, requests_that_outlast_the_stop_time_are_answered)
{
    long_routes_fleet fleet;
    std::vector<std::future<std::optional<http_answer>>> answers;
    answers.reserve(2);
    for (char const* const path : {"/once/", "/again/"})
    {
        answers.push_back(std::async(std::launch::async,
                                     [&fleet, path]
                                     {
                                         return http_call(fleet.edge.caller_address(), "POST",
                                                          std::string(path) + "1", "x",
                                                          {{"Host", "h"}, {"Attempt-Id", path}}, seconds{15});
                                     }));
    }
    cr_assert(eventually([&fleet] { return fleet.plain_1.total_runs() + fleet.plain_2.total_runs() >= 2; }));
    fleet.edge.process().send(SIGTERM);
    for (auto& each : answers)
    {
        auto const answer = each.get();
        cr_assert(answer.has_value(), "no answer\n%s", fleet.edge.log_text().c_str());
        cr_expect_eq(answer->status, 502, "it may have run");
    }
    cr_expect(fleet.edge.process().wait(stop_time));
    cr_expect_eq(fleet.edge.process().exit_code(), 0);
}

// Guards against refusing requests whose own time ends before the stop time, late in it.
Test(planned_stop, short_requests_on_kept_connections_are_served_or_refused)
{
    long_routes_fleet fleet;
    fleet.plain_1.set_work_time(milliseconds{20});
    fleet.plain_2.set_work_time(milliseconds{20});
    // A request of 5 s keeps the process from ending early.
    fleet.engine_1.set_work_time(milliseconds{1000});
    fleet.engine_2.set_work_time(milliseconds{1000});
    auto stream = begin_stream(fleet.edge, "long");
    cr_assert(eventually([&fleet] { return fleet.engine_1.total_runs() + fleet.engine_2.total_runs() > 0; }));
    fleet.edge.process().send(SIGTERM);
    unsigned served = 0;
    auto const begun = std::chrono::steady_clock::now();
    for (unsigned i = 0; std::chrono::steady_clock::now() - begun < seconds{4}; ++i)
    {
        std::string const id = "late" + std::to_string(i);
        auto const answer = fleet.edge.call("POST", "/once/1", id, {{"Deadline-Ms", "1000"}});
        cr_assert(answer.has_value(), "%s", log_of(fleet.edge, id).c_str());
        cr_expect(answer->status == 200 || answer->status == 503, "status %d", answer->status);
        served += answer->status == 200 ? 1 : 0;
        std::this_thread::sleep_for(milliseconds{100});
    }
    cr_expect_geq(served, 20U);
    expect_whole_stream(fleet.edge, "long", stream.get());
}

// Guards against a process that ends while it serves requests for an instance without servers.
Test(planned_stop, requests_of_peers_are_finished)
{
    partition_fleet fleet(2);
    std::size_t const cut = (fleet.holder() + 1) % 2;
    fleet.cut_off(cut, partition::reset);
    cr_assert(eventually(
        [&]
        {
            bool const noticed = fleet.has_noticed_cut(cut);
            return fleet.send_for(cut, milliseconds{200}).served > 0 && noticed;
        }));
    for (std::size_t i = 0; i < 3; ++i)
    {
        fleet.server(i).set_work_time(milliseconds{3500});
    }
    std::vector<std::future<std::optional<http_answer>>> answers;
    answers.reserve(6);
    for (unsigned i = 0; i < 6; ++i)
    {
        std::string const id = "passed" + std::to_string(i);
        answers.push_back(
            std::async(std::launch::async,
                       [&fleet, cut, id] {
                           return fleet.edge(cut).call("POST", "/once/" + id, id, {{"Deadline-Ms", "4000"}});
                       }));
    }
    cr_assert(eventually([&] { return fleet.runs()["passed5"] > 0; }));
    fleet.edge(1 - cut).process().send(SIGTERM);
    unsigned served = 0;
    for (auto& each : answers)
    {
        auto const answer = each.get();
        served += answer && answer->status == 200 ? 1 : 0;
    }
    // The cut instance may have tried its servers with one of them.
    cr_expect_geq(served, 5U, "%s", fleet.log_of_request("passed").c_str());
}
