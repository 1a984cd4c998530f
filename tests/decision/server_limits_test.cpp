#include "core/random_source.hpp"
#include "decision/fleet_limits.hpp"
#include "decision/send_limiter.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace siskinusher;

namespace
{

steady_time at(std::int64_t ms)
{
    return steady_time(milliseconds{ms});
}

limit_report report_of(double per_second, unsigned wanted, duration age = {})
{
    return {{"e1", per_second, age}, wanted};
}

unsigned granted(std::vector<limit_grant> const& grants)
{
    return grants.empty() ? 0 : grants.front().requests;
}

std::size_t most_in_window(std::vector<std::int64_t> const& times, std::int64_t window_ms)
{
    std::size_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first)
    {
        most = std::max(
            most, static_cast<std::size_t>(std::lower_bound(first, times.end(), *first + window_ms) - first));
    }
    return most;
}

} // namespace

// Guards against grants that exceed the limit in sum, and against a limit that is left unused.
Test(fleet_limits, grants_follow_the_rate)
{
    fleet_limits limits;
    cr_expect_eq(granted(limits.grant(at(0), {report_of(2.0, 5)})), 0U);
    unsigned sum = 0;
    for (std::int64_t ms = 100; ms <= 10000; ms += 100)
    {
        sum += granted(limits.grant(at(ms), {report_of(2.0, 5)}));
    }
    cr_expect(sum >= 19 && sum <= 21, "%u in 10 s", sum);
    cr_expect_leq(granted(limits.grant(at(60000), {report_of(2.0, 50)})), 1U, "unused time is not saved");
}

// Guards against an old answer that undoes a newer one, and against instances that never hear of the end.
Test(fleet_limits, newest_answer_counts)
{
    fleet_limits limits;
    (void)limits.grant(at(1000), {report_of(2.0, 0)});
    auto const ended = limits.grant(at(2000), {report_of(-1.0, 0)});
    cr_assert_eq(ended.size(), 1U);
    cr_expect(ended[0].limit.per_second < 0.0);
    cr_expect(limits.grant(at(2500), {report_of(2.0, 1, seconds{1})})[0].limit.per_second < 0.0);
    cr_expect(limits.grant(at(3000), {report_of(3.0, 1)})[0].limit.per_second > 2.9);
    cr_expect(limits.grant(at(70000), {}).empty());
}

// Guards against sending without a grant while the holder answers, and against grants that never expire.
Test(send_limiter, sends_what_the_holder_grants)
{
    send_limiter limiter(1);
    cr_expect(limiter.may_send(at(0), "e1"));
    limiter.on_grants(at(0), {}, 9);
    cr_expect(limiter.on_answer(at(10), "e1", 1.0));
    cr_expect_not(limiter.on_answer(at(11), "e1", 1.0));
    cr_expect_not(limiter.may_send(at(12), "e1"));
    cr_expect(limiter.may_send(at(12), "e2"));
    limiter.on_held_back("e1", 4);
    limiter.on_held_back("e1", 4);
    limiter.on_held_back("e1", 5);
    cr_expect(limiter.take_reports(at(20)) == (std::vector<limit_report>{{{"e1", 1.0, milliseconds{9}}, 2}}));
    limiter.on_grants(at(30), {{{"e1", 1.0, milliseconds{5}}, 1}}, 9);
    cr_expect(limiter.may_send(at(31), "e1"));
    limiter.on_sent(at(31), "e1");
    cr_expect_not(limiter.may_send(at(32), "e1"));
    limiter.on_grants(at(500), {{{"e1", 1.0, milliseconds{5}}, 1}}, 9);
    limiter.on_grants(at(1000), {}, 9);
    limiter.on_grants(at(1500), {}, 9);
    cr_expect_not(limiter.may_send(at(1750), "e1"), "the grant has expired");
}

// Guards against a limit that outlasts the engine or its last word, and against one that no instance but the
// first has heard of.
Test(send_limiter, limit_comes_and_goes_with_answers_and_starts)
{
    send_limiter limiter(1);
    limiter.on_grants(at(0), {{{"e1", 1.0, milliseconds{100}}, 0}}, 9);
    cr_expect_not(limiter.may_send(at(1), "e1"), "told by the holder");
    cr_expect(limiter.on_answer(at(10), "e1", std::nullopt));
    cr_expect(limiter.may_send(at(11), "e1"));
    limiter.on_grants(at(20), {{{"e1", 1.0, milliseconds{100}}, 0}}, 9);
    cr_expect(limiter.may_send(at(21), "e1"), "the holder's word is older");
    (void)limiter.on_answer(at(30), "e1", 0.0);
    cr_expect_not(limiter.may_send(at(31), "e1"));
    limiter.forget("e1");
    cr_expect(limiter.may_send(at(32), "e1"));
}

// Guards against more requests than the limit allows, in sum over instances that send at different rates,
// while the holder answers, is away, and is back with nothing remembered.
Test(send_limiter, sum_of_all_instances_stays_below_the_limit)
{
    for (std::uint64_t seed = 0; seed < 60; ++seed)
    {
        random_source random(seed);
        std::size_t const instances = 2 + random.below(8);
        double const limit = 0.5 + random.unit() * 20.0;
        std::vector<std::unique_ptr<send_limiter>> limiters;
        std::vector<std::uint64_t> rates;
        for (std::size_t i = 0; i < instances; ++i)
        {
            limiters.push_back(std::make_unique<send_limiter>(seed * 100 + i));
            rates.push_back(random.below(3) == 0 ? 0 : 1 + random.below(60));
        }
        auto holder = std::make_unique<fleet_limits>();
        std::vector<std::int64_t> sent;
        request_number number = 0;
        for (std::int64_t ms = 0; ms < 30000; ++ms)
        {
            bool const holder_away = ms > 10000 && ms < 15000;
            if (ms == 15000)
            {
                holder = std::make_unique<fleet_limits>();
            }
            for (std::size_t i = 0; i < instances; ++i)
            {
                send_limiter& limiter = *limiters[i];
                if (!holder_away && (ms + static_cast<std::int64_t>(i) * 37) % 500 == 0)
                {
                    limiter.on_grants(at(ms), holder->grant(at(ms), limiter.take_reports(at(ms))),
                                      static_cast<unsigned>(instances));
                }
                if (random.below(1000) >= rates[i])
                {
                    continue;
                }
                ++number;
                if (!limiter.may_send(at(ms), "e1"))
                {
                    limiter.on_held_back("e1", number);
                    continue;
                }
                limiter.on_sent(at(ms), "e1");
                sent.push_back(ms);
                (void)limiter.on_answer(at(ms), "e1", limit);
            }
        }
        sent.erase(sent.begin(), std::lower_bound(sent.begin(), sent.end(), 3000));
        std::size_t const most = most_in_window(sent, 4000);
        cr_expect_leq(static_cast<double>(most), 1.5 * 4.0 * limit + 5.0, "seed %lu: %zu at a limit of %.2f",
                      seed, most, limit);
    }
}
