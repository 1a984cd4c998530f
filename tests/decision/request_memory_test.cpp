#include "decision/request_memory.hpp"

#include <criterion/criterion.h>

using namespace siskinusher;

namespace
{

constexpr std::size_t megabyte = 1000000;
constexpr std::size_t small = 4000;
constexpr steady_time start{minutes{60}};

// Reserves requests until one is refused, and returns their number.
std::size_t fill(request_memory& memory, std::size_t size)
{
    std::size_t admitted = 0;
    while (memory.try_reserve(size))
    {
        ++admitted;
    }
    return admitted;
}

} // namespace

// Guards against requests that together hold more than the budget.
Test(request_memory, admits_requests_up_to_its_budget)
{
    request_memory memory(16 * megabyte);
    cr_assert_eq(fill(memory, 4 * megabyte), 3U);
    cr_assert_leq(memory.held(), memory.budget());
    memory.release(start, 4 * megabyte);
    cr_assert(memory.try_reserve(4 * megabyte));
}

// Guards against large requests that leave no room for small ones.
Test(request_memory, keeps_a_part_for_small_requests)
{
    request_memory memory(16 * megabyte);
    (void)fill(memory, megabyte);
    cr_assert_eq(memory.held(), 14 * megabyte);
    cr_assert_geq(fill(memory, small), 2 * megabyte / small);
    cr_assert_leq(memory.held(), memory.budget());
}

// Guards against a body of unknown length that counts as small because it grows in small steps.
Test(request_memory, request_that_grows_counts_with_all_its_bytes)
{
    request_memory memory(16 * megabyte);
    std::size_t admitted = 0;
    while (memory.try_reserve(small, admitted))
    {
        admitted += small;
    }
    cr_assert_leq(admitted, 14 * megabyte);
    cr_assert_geq(admitted, 14 * megabyte - small);
}

// Guards against an overflow, and against new requests, while input that is in memory already exceeds the
// budget.
Test(request_memory, refuses_while_more_than_the_budget_is_held)
{
    request_memory memory(megabyte);
    memory.hold(2 * megabyte);
    cr_assert(!memory.has_room());
    cr_assert(!memory.try_reserve(1));
    memory.let_go(2 * megabyte);
    cr_assert_eq(memory.held(), 0U);
    cr_assert(memory.try_reserve(1));
}

// Guards against a request that is refused with the promise of room later although it is never admitted.
Test(request_memory, largest_request_is_admitted_when_nothing_is_held)
{
    for (std::size_t const budget : {std::size_t{0}, small, megabyte, 64 * megabyte})
    {
        request_memory memory(budget);
        std::size_t const largest = memory.largest_request();
        cr_assert(memory.try_reserve(largest), "budget %zu", budget);
        request_memory other(budget);
        cr_assert(!other.try_reserve(largest + 1), "budget %zu", budget);
    }
}

// Guards against callers who all come again at once, or later than the released memory allows.
Test(request_memory, pause_follows_the_rate_of_release)
{
    request_memory memory(80 * megabyte);
    cr_assert_eq(fill(memory, 5 * megabyte), 14U);
    cr_assert(memory.on_refused(start, 5 * megabyte) == seconds{1}, "no rate is known");
    for (int i = 0; i < 4; ++i)
    {
        memory.release(start + milliseconds{500}, 5 * megabyte);
        cr_assert(memory.try_reserve(5 * megabyte));
    }
    // 20 MB in 1.5 s; 5 MB for each of the two that were refused.
    duration const second = memory.on_refused(start + milliseconds{500}, 5 * megabyte);
    cr_assert(second > milliseconds{600} && second < milliseconds{1000});
    duration last = second;
    for (int i = 0; i < 100; ++i)
    {
        duration const next = memory.on_refused(start + milliseconds{500}, 5 * megabyte);
        cr_assert(next >= last);
        last = next;
    }
    cr_assert(last == seconds{5}, "the longest pause");
}

// Guards against a rate that is remembered from a time that has nothing to do with the present.
Test(request_memory, old_rate_is_forgotten)
{
    request_memory memory(80 * megabyte);
    cr_assert(memory.try_reserve(60 * megabyte));
    memory.release(start, 60 * megabyte);
    (void)fill(memory, 5 * megabyte);
    cr_assert(memory.on_refused(start + milliseconds{100}, 5 * megabyte) < seconds{1});
    cr_assert(memory.on_refused(start + seconds{10}, 5 * megabyte) == seconds{1});
}
