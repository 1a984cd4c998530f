#include "adapters/connection_history.hpp"

#include <criterion/criterion.h>

#include <string>

using namespace siskinusher;

// Guards against a connection that forgets an id and carries it again.
Test(connection_history, knows_every_id_until_it_is_full)
{
    connection_history history(1);
    unsigned count = 0;
    while (!history.full())
    {
        history.add("r" + std::to_string(count));
        ++count;
        cr_assert_lt(count, 10000, "a history must be bounded");
    }
    for (unsigned i = 0; i < count; ++i)
    {
        cr_expect(history.has_carried("r" + std::to_string(i)), "r%u", i);
    }
    cr_expect_not(history.has_carried("another"));
    cr_expect_eq(history.requests(), count);
}

// Guards against connections that end early because of requests that answers do not name.
Test(connection_history, unnamed_requests_take_no_room)
{
    connection_history history(1);
    for (unsigned i = 0; i < 10000; ++i)
    {
        history.add("");
    }
    cr_expect_not(history.full());
    cr_expect_not(history.has_carried(""));
}

// Guards against a copy of an answer that names nothing, behind which the answer to a request is lost.
Test(connection_history, named_requests_do_not_follow_unnamed_ones)
{
    connection_history history(1);
    cr_expect(history.can_carry("a"));
    history.add("a");
    cr_expect_not(history.can_carry("a"));
    cr_expect(history.can_carry("b"));
    cr_expect(history.can_carry(""));
    history.add("");
    cr_expect_not(history.can_carry("b"));
    cr_expect(history.can_carry(""));
}
