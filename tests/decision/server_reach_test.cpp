#include "decision/server_reach.hpp"

#include <criterion/criterion.h>

#include <string>

using namespace siskinusher;

namespace
{

constexpr std::size_t known_servers = 15;

steady_time at(std::int64_t ms)
{
    return steady_time(milliseconds{100000 + ms});
}

// New connections to `servers` servers hang, one every 100 ms.
void lose_connections(server_reach& reach, std::int64_t from_ms, unsigned servers)
{
    for (unsigned i = 0; i < servers; ++i)
    {
        reach.on_failure(at(from_ms + 100LL * i), "s" + std::to_string(i), true, known_servers);
    }
}

} // namespace

// Guards against a cut that stays unnoticed because connections that are kept go on bringing answers.
Test(server_reach, new_connections_alone_show_a_cut)
{
    server_reach reach;
    reach.on_answer(at(0), true);
    for (unsigned i = 0; i < 3; ++i)
    {
        cr_expect_not(reach.suspects_cut());
        reach.on_answer(at(690 + 10LL * i), false);
        reach.on_failure(at(700 + 10LL * i), "s" + std::to_string(i), true, known_servers);
    }
    cr_expect(reach.suspects_cut() && !reach.cut_off());
    reach.on_probe(at(800), false);
    cr_expect_not(reach.cut_off());
    reach.on_probe(at(801), false);
    cr_expect(reach.cut_off() && !reach.suspects_cut());
    reach.on_answer(at(900), false);
    cr_expect(reach.cut_off(), "a kept connection shows nothing about new ones");
}

// Guards against taking servers that crash, or one that is silent, for a cut.
Test(server_reach, failures_of_single_servers_are_no_cut)
{
    server_reach reach;
    reach.on_answer(at(0), true);
    for (unsigned i = 0; i < 20; ++i)
    {
        reach.on_failure(at(100LL * i), "same", true, known_servers);
    }
    lose_connections(reach, 9000, 2);
    cr_expect_not(reach.suspects_cut());
    reach.on_answer(at(9150), true);
    lose_connections(reach, 9200, 2);
    cr_expect_not(reach.suspects_cut());
    server_reach slow;
    slow.on_answer(at(0), true);
    for (unsigned i = 0; i < 3; ++i)
    {
        slow.on_failure(at(3000LL * i), "s" + std::to_string(i), true, known_servers);
    }
    cr_expect_not(slow.suspects_cut(), "three failures in six seconds");
}

// Guards against taking servers that are only slow for a cut, and against waiting for connections to fail
// when all hang.
Test(server_reach, silence_counts_when_nothing_arrives)
{
    server_reach busy;
    server_reach hanging;
    for (unsigned i = 0; i < 6; ++i)
    {
        busy.on_answer(at(200LL * i), false);
        busy.on_failure(at(200LL * i + 1), "s" + std::to_string(i), false, known_servers);
        hanging.on_failure(at(200LL * i), "s" + std::to_string(i), false, known_servers);
    }
    cr_expect_not(busy.cut_off());
    cr_expect(hanging.cut_off(), "servers may accept connections and not answer");
}

// Guards against an instance with one or two servers that never counts as cut off.
Test(server_reach, all_of_few_servers_are_enough)
{
    server_reach reach;
    reach.on_failure(at(0), "a", true, 2);
    cr_expect_not(reach.cut_off());
    reach.on_failure(at(10), "b", true, 2);
    cr_expect(reach.cut_off());
}

// Guards against sending every request to servers that accept connections and reset them, and against staying
// away for good.
Test(server_reach, single_trials_end_a_cut)
{
    server_reach reach;
    lose_connections(reach, 0, 3);
    reach.on_all_failed(at(250));
    cr_assert(reach.cut_off());
    cr_expect_not(reach.begin_trial(at(300), true), "no server has accepted a connection");
    reach.on_probe(at(390), true);
    cr_expect(reach.begin_trial(at(400), true));
    cr_expect_not(reach.begin_trial(at(401), true), "one at a time");
    reach.on_failure(at(410), "s4", true, known_servers);
    cr_expect_not(reach.begin_trial(at(1500), true));
    reach.on_probe(at(390), true);
    cr_expect_not(reach.begin_trial(at(1600), false), "a request that may run once waits for others to try");
    cr_expect(reach.begin_trial(at(3700), false));
    reach.on_answer(at(3710), true);
    cr_expect_not(reach.cut_off());
    cr_expect(reach.cut_off_for(at(3710)) == duration{0});
}

// Guards against refusing the requests of all services when the servers of one are gone, for example ended by
// a request.
Test(server_reach, sound_server_elsewhere_shows_that_there_is_no_cut)
{
    server_reach reach;
    reach.on_answer(at(0), true);
    lose_connections(reach, 1000, 3);
    cr_assert(reach.suspects_cut());
    cr_expect(reach.has_failed("s2") && !reach.has_failed("s3"));
    reach.on_probe(at(1250), true);
    reach.on_probe(at(1251), false);
    cr_expect_not(reach.suspects_cut());
    cr_expect_not(reach.cut_off());
}
