#include "decision/refusal_limiter.hpp"

#include <criterion/criterion.h>

using namespace siskinusher;

namespace
{

steady_time at(std::int64_t ms)
{
    return steady_time(milliseconds{ms});
}

} // namespace

// Guards against more refusals a second, of all instances together, than a server bears.
Test(refusal_limiter, refusals_of_all_instances_stay_within_the_limit)
{
    refusal_limiter limiter;
    limiter.on_instances(9);
    cr_expect(limiter.may_send(at(0), "s", 20, 20, 6), "no limit is named");
    cr_expect(limiter.on_answer("s", 4.0));
    cr_expect_not(limiter.on_answer("s", 4.0));
    unsigned refused = 0;
    for (std::int64_t ms = 0; ms < 45000; ms += 10)
    {
        if (limiter.may_send(at(ms), "s", 0, 5, 6))
        {
            limiter.on_refused(at(ms), "s");
            ++refused;
        }
    }
    cr_expect_eq(refused, 20U, "a ninth of four a second in 45 s; %u refused", refused);
}

// Guards against many requests on their way to a server when the first refusal shows that it is full.
Test(refusal_limiter, requests_on_their_way_are_the_instances_part_of_the_places)
{
    refusal_limiter limiter;
    limiter.on_instances(9);
    (void)limiter.on_answer("s", 2.0);
    (void)limiter.on_answer("large", 2.0);
    cr_expect(limiter.may_send(at(0), "s", 0, 5, 6) && !limiter.may_send(at(0), "s", 1, 5, 6));
    cr_expect_not(limiter.may_send(at(0), "large", 0, 64, 64), "no place is free");
    cr_expect(limiter.may_send(at(0), "large", 6, 60, 64) && !limiter.may_send(at(0), "large", 7, 60, 64));
}

// Guards against a server that is left alone after it has ceased to name the limit, or has started again.
Test(refusal_limiter, limit_ends_with_an_answer_without_it)
{
    refusal_limiter limiter;
    (void)limiter.on_answer("s", 0.0);
    limiter.on_refused(at(0), "s");
    cr_expect_not(limiter.may_send(at(4900), "s", 0, 0, 6));
    cr_expect(limiter.may_send(at(5000), "s", 0, 0, 6), "only an answer can show the end of the limit");
    cr_expect(limiter.on_answer("s", std::nullopt));
    cr_expect(limiter.may_send(at(1), "s", 9, 9, 6));
    (void)limiter.on_answer("s", 1.0);
    limiter.on_refused(at(1), "s");
    limiter.forget("s");
    cr_expect(limiter.may_send(at(2), "s", 9, 9, 6) && !limiter.is_limited("s"));
}

// Guards against an instance that causes more refusals within a second than its part, when that is more than
// one.
Test(refusal_limiter, large_parts_hold_in_each_second)
{
    refusal_limiter limiter;
    limiter.on_instances(3);
    (void)limiter.on_answer("s", 10.0);
    for (int i = 0; i < 3; ++i)
    {
        cr_expect(limiter.may_send(at(100LL * i), "s", 0, 0, 6));
        limiter.on_refused(at(100LL * i), "s");
    }
    cr_expect_not(limiter.may_send(at(999), "s", 0, 0, 6));
    cr_expect(limiter.may_send(at(1000), "s", 0, 0, 6));
}
