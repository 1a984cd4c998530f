#include "tests/wire/request_checks.hpp"
#include "tests/wire/small_fleet.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <thread>

using namespace siskinusher::standins;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using steady = std::chrono::steady_clock;

// The rules of the platform: a server that leaves gets nothing that was sent later than this after its
// answer, and one that asks for a pause at most two requests from half a second after it asked until the
// pause is over.
constexpr milliseconds leaving_time{2500};
constexpr milliseconds pause_start{500};
constexpr std::size_t requests_in_pause = 2;

std::size_t arrivals_after(backend_standin& server, steady::time_point from)
{
    auto const all = server.arrivals();
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [from](auto each) { return each >= from; }));
}

// Sends calls for a while; returns how many got each status.
std::map<int, unsigned> call_for(edge_child const& edge, milliseconds span, std::string const& name)
{
    std::map<int, unsigned> statuses;
    auto const end = steady::now() + span;
    for (unsigned i = 0; steady::now() < end; ++i)
    {
        std::string const id = name + std::to_string(i);
        auto const answer = edge.call("GET", "/again/" + id, id, {{"Deadline-Ms", "2000"}});
        ++statuses[answer ? answer->status : 0];
        std::this_thread::sleep_for(milliseconds{10});
    }
    return statuses;
}

} // namespace

// Guards against new requests for a server that says in its answers that it leaves, while its entry does not
// change, and against staying away from its next start.
Test(server_announcement, leaving_server_gets_nothing_new_until_it_starts_again)
{
    small_fleet fleet;
    (void)call_for(fleet.edge, milliseconds{300}, "before");
    fleet.plain_1.set_leaving(true);
    (void)call_for(fleet.edge, milliseconds{500}, "learn");
    auto const learned = steady::now();
    auto const statuses = call_for(fleet.edge, leaving_time, "leaving");
    cr_expect_eq(arrivals_after(fleet.plain_1, learned), std::size_t{0});
    cr_expect(statuses.size() == 1 && statuses.count(200) == 1, "served by the other server");
    fleet.plain_1.set_leaving(false);
    fleet.plain_1.start_again();
    auto const started = steady::now();
    cr_expect(eventually(
        [&]
        {
            (void)call_for(fleet.edge, milliseconds{50}, "again");
            return arrivals_after(fleet.plain_1, started) > 0;
        }));
}

// Guards against sending on to a server that asked for a pause.
Test(server_announcement, paused_server_gets_nothing_while_another_serves)
{
    small_fleet fleet;
    fleet.plain_1.set_pause_request("2");
    (void)call_for(fleet.edge, milliseconds{300}, "learn");
    auto const begin = steady::now();
    auto const statuses = call_for(fleet.edge, milliseconds{1500}, "paused");
    cr_expect_leq(arrivals_after(fleet.plain_1, begin + pause_start), requests_in_pause);
    cr_expect(statuses.size() == 1 && statuses.count(200) == 1);
}

// Guards against requests that wait for servers which have all asked for a longer pause, and against a
// Retry-After that says nothing about it.
Test(server_announcement, requests_are_refused_at_once_when_all_servers_pause)
{
    single_server_fleet fleet;
    fleet.plain.set_pause_request("5");
    (void)fleet.edge.call("GET", "/again/1", "learn", {{"Deadline-Ms", "1000"}});
    auto const begin = steady::now();
    auto const refused = fleet.edge.call("GET", "/again/2", "r2", {{"Deadline-Ms", "2000"}});
    cr_expect(steady::now() - begin < milliseconds{200});
    cr_assert(refused && refused->status == 503, "status %d", refused ? refused->status : 0);
    std::string const text =
        refused->headers.count("Retry-After") > 0 ? refused->headers.at("Retry-After") : "0";
    cr_expect(std::stod(text) > 3.0 && std::stod(text) < 7.0, "Retry-After %s", text.c_str());
    (void)call_for(fleet.edge, milliseconds{1000}, "more");
    cr_expect_leq(arrivals_after(fleet.plain, begin + pause_start), requests_in_pause);
}

// Guards against a server that is left alone for good because of a pause that no server means.
Test(server_announcement, unreadable_pauses_are_bounded)
{
    for (std::string const text : {"0", "-1", "soon", "1e9", "Wed, 21 Oct 2015 07:28:00 GMT"})
    {
        single_server_fleet fleet;
        fleet.plain.set_pause_request(text);
        (void)fleet.edge.call("GET", "/again/1", "learn", {{"Deadline-Ms", "500"}});
        fleet.plain.set_pause_request("");
        bool const served = eventually(
            [&] { return call_for(fleet.edge, milliseconds{50}, "r").count(200) > 0; }, seconds{12});
        cr_expect(served, "\"%s\"", text.c_str());
    }
}
