#include "decision/state_source_selector.hpp"

#include <criterion/criterion.h>

using namespace siskinusher;

namespace
{

steady_time at(std::int64_t ms)
{
    return steady_time(milliseconds{ms});
}

} // namespace

// Guards against a fleet whose instances all watch the store although the lease holder answers them.
Test(state_source_selector, uses_a_holder_that_answers)
{
    state_source_selector choice;
    cr_assert(choice.choose(at(0)) == state_source::store);
    for (int ms = 500; ms < 5000; ms += 500)
    {
        choice.on_reply(at(ms), milliseconds{300});
        cr_assert(choice.choose(at(ms + 499)) == state_source::holder);
    }
    cr_assert(choice.choose(at(4500 + 950)) == state_source::holder, "one lost reply is tolerated");
}

// Guards against an instance that keeps using the last reply of a holder that was killed, cut off or
// suspended.
Test(state_source_selector, uses_the_store_when_the_holder_is_silent)
{
    state_source_selector choice;
    choice.on_reply(at(0), milliseconds{100});
    cr_assert(choice.choose(at(1200)) == state_source::store);
    choice.on_reply(at(1300), milliseconds{100});
    choice.on_holder_lost();
    cr_assert(choice.choose(at(1301)) == state_source::store);
}

// Guards against a leaving server that goes unnoticed because the holder itself does not reach the store.
Test(state_source_selector, uses_the_store_when_the_holder_is_cut_off_from_it)
{
    state_source_selector choice;
    choice.on_reply(at(0), milliseconds{1400});
    cr_assert(choice.choose(at(1)) == state_source::store);
    choice.on_reply(at(500), milliseconds{200});
    cr_assert(choice.choose(at(501)) == state_source::holder);
}

// Guards against a lease holder that uses itself as the source.
Test(state_source_selector, holder_uses_the_store)
{
    state_source_selector choice;
    choice.on_reply(at(0), duration{0});
    choice.on_lease(true);
    choice.on_reply(at(1), duration{0});
    cr_assert(choice.choose(at(2)) == state_source::store);
    choice.on_lease(false);
    choice.on_reply(at(3), duration{0});
    cr_assert(choice.choose(at(4)) == state_source::holder);
}

namespace
{

// An instance that knows standbys and has lost its holder at 1000 ms.
state_source_selector without_holder()
{
    state_source_selector choice;
    choice.on_standbys(false, true);
    choice.on_reply(at(900), milliseconds{100});
    choice.on_holder_lost();
    return choice;
}

} // namespace

// Guards against hundreds of instances that list and watch the store at the moment in which the holder is
// lost: 294 turned to it within 0.6 s.
Test(state_source_selector, asks_a_standby_when_the_holder_is_lost)
{
    state_source_selector choice = without_holder();
    cr_assert(choice.wants_standby(at(1000)));
    cr_assert(choice.choose(at(1000), at(1000)) == state_source::standby);
    choice.on_standby_reply(at(1300), milliseconds{200});
    for (int ms = 1300; ms < 6000; ms += 500)
    {
        choice.on_standby_reply(at(ms), milliseconds{300});
        cr_assert(choice.choose(at(ms + 499), at(ms)) == state_source::standby);
    }
    choice.on_reply(at(6100), milliseconds{100});
    cr_assert(choice.choose(at(6101)) == state_source::holder);
    cr_assert_not(choice.wants_standby(at(6101)));
}

// Guards against an instance that waits for a standby that was lost with the holder: it must know of a
// leaving server within 2.5 s of the last reply.
Test(state_source_selector, uses_the_store_when_no_standby_answers)
{
    state_source_selector choice = without_holder();
    cr_assert(choice.choose(at(1000), at(900)) == state_source::standby);
    cr_assert(choice.choose(at(1750), at(900)) == state_source::store);
}

// Guards against a fleet that lists the store again and again while it fails: standbys whose state is old
// show that it fails there, and it must answer this instance before this instance turns to it.
Test(state_source_selector, waits_with_the_standby_while_the_store_fails)
{
    state_source_selector choice = without_holder();
    cr_assert(choice.choose(at(1000), at(900)) == state_source::standby);
    for (int ms = 1200; ms < 9000; ms += 500)
    {
        choice.on_standby_reply(at(ms), milliseconds{ms});
        cr_assert(choice.choose(at(ms + 400), at(900)) == state_source::standby, "at %d ms", ms);
    }
    choice.on_standby_reply(at(9000), milliseconds{8000});
    cr_assert(choice.choose(at(9100), at(9050)) == state_source::store,
              "the store answers this instance, but not the standby");
}

// Guards against a standby that waits for another one: nobody would read the store.
Test(state_source_selector, a_standby_reads_the_store_itself)
{
    state_source_selector choice;
    choice.on_standbys(true, true);
    choice.on_reply(at(0), milliseconds{100});
    cr_assert(choice.choose(at(100)) == state_source::holder);
    cr_assert(choice.choose(at(1200)) == state_source::store);
    cr_assert_not(choice.wants_standby(at(1200)));
}

// Guards against an instance that counts what it was told as fresh because the teller has just answered.
Test(state_source_selector, tells_the_age_of_the_state_and_not_of_the_reply)
{
    state_source_selector choice;
    cr_assert_not(choice.told_age(at(0)).has_value());
    choice.on_reply(at(1000), milliseconds{700});
    cr_assert(choice.told_age(at(1200)) == std::optional<duration>(milliseconds{900}));
    cr_assert_not(choice.told_age(at(2200)).has_value());
}
