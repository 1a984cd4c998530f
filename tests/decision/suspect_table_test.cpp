#include "decision/suspect_table.hpp"

#include <criterion/criterion.h>

using namespace siskinusher;

// Guards against two instances that run the same suspect at the same time, and against a permit that stays
// open after its holder has left the fleet.
Test(suspect_table, issues_one_permit_at_a_time)
{
    suspect_table table;
    steady_time const now{};
    cr_assert(table.grant_permit(now, 1, "a", 10));
    cr_assert(table.grant_permit(now, 1, "a", 10), "the reply may have been lost");
    cr_assert(!table.grant_permit(now, 1, "b", 11));
    table.release_permit(1, "b", 0);
    cr_assert(!table.grant_permit(now, 1, "b", 11));
    table.release_permit(1, "a", 0);
    cr_assert(table.grant_permit(now, 1, "b", 11));
    table.release_absent_holders({"a", "c"});
    cr_assert(table.grant_permit(now, 1, "a", 12));
    table.confirm(now, 1);
    cr_assert(!table.grant_permit(now, 1, "a", 12));
    cr_assert(!table.clear(1), "a confirmed fingerprint is not cleared by one run that succeeds");
}

// Guards against unbounded memory, and against a flood of suspects that displaces the confirmed ones.
Test(suspect_table, is_bounded_and_keeps_confirmed_fingerprints)
{
    suspect_table table(8);
    steady_time const now{};
    table.confirm(now, 1);
    for (std::uint64_t i = 2; i < 100; ++i)
    {
        table.suspect(now, i);
    }
    cr_assert_eq(table.size(), 8);
    cr_assert(table.status_of(now, 1) == suspect_table::status::confirmed);
    cr_assert(table.status_of(now, 99) == suspect_table::status::suspect);
    table.expire(now + minutes(15));
    cr_assert_eq(table.size(), 0);
}
