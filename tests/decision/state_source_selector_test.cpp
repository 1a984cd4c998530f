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
