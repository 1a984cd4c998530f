#include "decision/service_retry_budget.hpp"

#include <criterion/criterion.h>

using namespace siskinusher;

namespace
{

steady_time at(double s)
{
    return steady_time(duration(static_cast<std::int64_t>(s * 1e6)));
}

retry_limits limits()
{
    retry_limits made;
    made.ratio = 0.2;
    made.slack = 58;
    made.instances = 9;
    return made;
}

unsigned taken(service_retry_budget& allowance, steady_time now, unsigned tries)
{
    unsigned count = 0;
    for (unsigned i = 0; i < tries; ++i)
    {
        count += allowance.try_take(now, "s") ? 1 : 0;
    }
    return count;
}

} // namespace

// Guards against a retry storm: nine instances together stay within ratio x requests + slack in every window.
Test(service_retry_budget, sum_over_instances_stays_within_the_budget)
{
    unsigned sum = 0;
    for (int instance = 0; instance < 9; ++instance)
    {
        service_retry_budget allowance(limits());
        for (int i = 0; i < 50; ++i)
        {
            allowance.on_request(at(1 + i * 0.1), "s");
        }
        sum += taken(allowance, at(7), 1000);
    }
    cr_assert(sum > 100, "only %u retries are allowed", sum);
    cr_assert(sum <= 0.2 * 9 * 50 + 58, "%u retries", sum);
}

// Guards against retries that become available again before the window has passed, or never.
Test(service_retry_budget, window_slides)
{
    service_retry_budget allowance(limits());
    unsigned const first = taken(allowance, at(1), 100);
    cr_assert_eq(first, 6);
    cr_assert_eq(taken(allowance, at(10.9), 100), 0);
    cr_assert_eq(taken(allowance, at(11.1), 100), 6);
}

// Guards against one service's failures using up the budget of another.
Test(service_retry_budget, services_are_separate)
{
    service_retry_budget allowance(limits());
    (void)taken(allowance, at(1), 100);
    cr_assert(allowance.try_take(at(1), "other"));
}
