#include "decision/change_ledger.hpp"

#include <criterion/criterion.h>

using namespace siskinusher;

// Guards against a follower that serves by an old configuration because the watch of the lease holder is
// silent while its lease is renewed: the change between two renewals is unknown.
Test(change_ledger, a_change_that_no_watch_showed_is_missed)
{
    change_ledger ledger;
    ledger.on_change({1, 11}); // The lease.
    cr_assert(ledger.knows_all({1, 10}, {1, 11}));
    ledger.on_change({1, 13}); // The lease again: some object has changed at 12.
    cr_assert_not(ledger.knows_all({1, 10}, {1, 13}));
    ledger.on_change({1, 12});
    cr_assert(ledger.knows_all({1, 10}, {1, 13}));
}

// Guards against counting a change twice in place of one that is unknown.
Test(change_ledger, counts_each_change_once)
{
    change_ledger ledger;
    ledger.on_change({1, 12});
    ledger.on_change({1, 12});
    ledger.on_change({1, 14});
    cr_assert_not(ledger.knows_all({1, 11}, {1, 14}));
    ledger.forget_until({1, 12});
    ledger.on_change({1, 13});
    cr_assert(ledger.knows_all({1, 12}, {1, 14}));
    cr_assert_not(ledger.knows_all({1, 11}, {1, 14}), "what is forgotten is not known");
}

// Guards against revisions of another era, which the store gives out again after it has come back from a
// copy.
Test(change_ledger, eras_are_not_compared)
{
    change_ledger ledger;
    ledger.on_change({1, 11});
    ledger.on_change({2, 11});
    cr_assert_not(ledger.knows_all({1, 10}, {2, 11}));
    cr_assert(ledger.knows_all({2, 10}, {2, 11}));
    ledger.on_change({1, 12}); // A late answer.
    cr_assert_not(ledger.knows_all({2, 10}, {2, 12}));
    cr_assert(ledger.knows_all({2, 10}, {2, 10}));
    cr_assert_not(ledger.knows_all({2, 12}, {2, 11}));
}
