#include "decision/crash_ledger.hpp"

#include "core/random_source.hpp"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace siskinusher;

namespace
{

using parts = std::vector<std::string>;

steady_time at(std::int64_t ms)
{
    return steady_time(milliseconds{ms});
}

crash_mark crash_of(std::string const& part, unsigned engine, unsigned position = 1)
{
    return {part, position, "e" + std::to_string(engine), 1};
}

// Adds the marks of the suspects that a lost request with these parts leaves.
void lose(crash_ledger& ledger, steady_time now, parts const& prompt, unsigned engine)
{
    for (crash_suspect const& each : ledger.suspects(prompt, "e" + std::to_string(engine), 1))
    {
        (void)ledger.add_own(now, each.crash);
    }
}

} // namespace

// Guards against a part that is never recognised, and against one that is blocked after a coincidence.
Test(crash_ledger, three_crashes_block_a_part)
{
    crash_ledger ledger;
    (void)ledger.on_answered(at(0), {"system"});
    lose(ledger, at(1), {"system", "bad"}, 1);
    lose(ledger, at(2), {"system", "bad"}, 2);
    lose(ledger, at(3), {"system", "bad"}, 2);
    cr_expect_not(ledger.find_block(at(4), {"system", "bad"}));
    lose(ledger, at(4), {"system", "bad"}, 3);
    auto const block = ledger.find_block(at(5), {"system", "bad"});
    cr_assert(block.has_value());
    cr_expect(block->suspect == "bad" && block->crashes == 3 && block->age == milliseconds{1});
    cr_expect_not(ledger.find_block(at(5), {"system", "good"}), "the first part is shared");
}

// Guards against blocking parts of requests that often run on the engines which another part ends.
Test(crash_ledger, part_with_most_crashes_explains_them)
{
    crash_ledger ledger;
    for (unsigned engine = 0; engine < 6; ++engine)
    {
        lose(ledger, at(engine), {"system", "bad"}, engine);
        if (engine % 4 != 0)
        {
            lose(ledger, at(engine), {"system", "unlucky"}, engine);
        }
    }
    cr_expect(ledger.find_block(at(9), {"system", "bad"}).has_value());
    cr_expect_not(ledger.find_block(at(9), {"system", "unlucky"}));
}

// Guards against refusing a whole route after a restart, when no part has been answered yet.
Test(crash_ledger, first_part_is_not_blocked_when_a_later_one_explains_the_crashes)
{
    crash_ledger ledger;
    for (unsigned engine = 0; engine < 8; ++engine)
    {
        lose(ledger, at(engine), {"system", "bad"}, engine);
    }
    cr_expect(ledger.find_block(at(9), {"system", "bad"}).has_value());
    cr_expect_not(ledger.find_block(at(9), {"system", "good"}));
}

// Guards against a first part that crashes engines and is never blocked.
Test(crash_ledger, first_part_is_blocked_after_five_crashes)
{
    crash_ledger ledger;
    for (unsigned engine = 0; engine < 4; ++engine)
    {
        lose(ledger, at(engine), {"bad"}, engine);
    }
    cr_expect_not(ledger.find_block(at(9), {"bad"}));
    lose(ledger, at(9), {"bad"}, 4);
    cr_expect(ledger.find_block(at(9), {"bad"}).has_value());
}

// Guards against refusing a part that engines answer: an answer disproves the earlier marks.
Test(crash_ledger, answer_clears_a_part)
{
    crash_ledger ledger;
    for (unsigned engine = 0; engine < 3; ++engine)
    {
        lose(ledger, at(engine), {"system", "slow"}, engine);
    }
    cr_assert(ledger.find_block(at(9), {"slow"}).has_value());
    cr_expect_eq(ledger.on_answered(at(10), {"system", "slow"}).size(), 6U);
    cr_expect_not(ledger.find_block(at(11), {"slow"}));
    cr_expect_eq(ledger.digest(), crash_ledger().digest());
}

// Guards against blaming a part that engines have just answered, and against sparing one that was sound once.
Test(crash_ledger, part_with_the_oldest_answer_is_suspected)
{
    crash_ledger ledger;
    (void)ledger.on_answered(at(0), {"system", "turned"});
    (void)ledger.on_answered(at(500), {"system", "good"});
    auto const answered = ledger.suspects({"system", "turned"}, "e1", 7);
    cr_assert_eq(answered.size(), 1U);
    cr_expect(answered[0] == (crash_suspect{{"turned", 1, "e1", 7}, true}));
    auto const fresh = ledger.suspects({"system", "new", "newer"}, "e1", 7);
    cr_assert_eq(fresh.size(), 2U);
    cr_expect(fresh[0] == (crash_suspect{{"new", 1, "e1", 7}, false}));
    cr_expect(ledger.answered_after("system", at(499)) && !ledger.answered_after("turned", at(499)));
}

// Guards against refusing a part for good after few crashes, and against trying a proven one again soon.
Test(crash_ledger, block_lasts_longer_once_the_part_is_proven)
{
    crash_ledger ledger;
    for (unsigned engine = 0; engine < 4; ++engine)
    {
        ledger.add(at(0), crash_of("bad", engine));
    }
    cr_expect(ledger.find_block(at(29000), {"bad"}).has_value());
    cr_expect_not(ledger.find_block(at(31000), {"bad"}));
    ledger.add(at(31000), crash_of("bad", 4));
    auto const block = ledger.find_block(at(32000), {"bad"});
    cr_assert(block.has_value());
    cr_expect(block->remaining == minutes{15} - seconds{1});
    cr_expect(ledger.expire(at(60000)).empty());
    cr_expect_eq(ledger.expire(at(900000)).size(), 4U);
    cr_expect_eq(ledger.crashes().size(), 1U);
}

// Guards against a reply of the lease holder that undoes what this instance has just found.
Test(crash_ledger, recent_changes_outlast_a_reply_without_them)
{
    crash_ledger ledger;
    crash_mark const own = crash_of("own", 1);
    crash_mark const saved = crash_of("saved", 1);
    crash_mark const cleared = crash_of("cleared", 1);
    crash_mark const old = crash_of("old", 1);
    ledger.add(at(0), old);
    ledger.add(at(0), cleared);
    cr_assert(ledger.add_own(at(1), own));
    cr_assert(ledger.add_own(at(1), saved));
    ledger.on_saved(at(2), id_of(saved));
    (void)ledger.on_answered(at(2), {"cleared"});
    cr_expect_eq(ledger.new_crashes(at(3)).size(), 2U, "own and saved may be unknown to the holder");
    ledger.replace(at(3), {cleared});
    cr_expect_eq(ledger.crashes().size(), 2U, "own and saved stay, cleared does not return");
    ledger.replace(at(5000), {cleared});
    auto const later = ledger.crashes();
    cr_assert_eq(later.size(), 2U, "own stays until the store has it");
    cr_expect(later[0] == cleared || later[1] == cleared);
}

// Guards against a mark that its finder has cleared before it was saved, and that stays at the lease holder.
Test(crash_ledger, reported_mark_needs_confirmation)
{
    crash_ledger ledger;
    ledger.add_reported(at(0), crash_of("cleared", 1));
    ledger.add_reported(at(0), crash_of("saved", 1));
    ledger.add_reported(at(0), crash_of("unsaved", 1));
    ledger.add(at(100), crash_of("saved", 1));
    ledger.add_reported(at(200), crash_of("saved", 1));
    ledger.add_reported(at(1500), crash_of("unsaved", 1));
    ledger.drop_unconfirmed(at(1900));
    cr_expect_eq(ledger.crashes().size(), 3U);
    ledger.drop_unconfirmed(at(2100));
    cr_expect_eq(ledger.crashes().size(), 2U);
    ledger.drop_unconfirmed(at(3600));
    auto const left = ledger.crashes();
    cr_assert_eq(left.size(), 1U);
    cr_expect(left[0] == crash_of("saved", 1));
}

// Guards against memory and store objects that grow with the parts that callers invent.
Test(crash_ledger, marks_are_limited)
{
    crash_ledger ledger;
    for (unsigned engine = 0; engine < 20; ++engine)
    {
        ledger.add_own(at(0), crash_of("bad", engine));
    }
    cr_expect_eq(ledger.crashes().size(), 8U);
    for (unsigned part = 0; part < 2000; ++part)
    {
        lose(ledger, at(1), {"system", "p" + std::to_string(part)}, part % 7);
    }
    cr_expect_leq(ledger.crashes().size(), 512U);
    std::vector<prompt_part> const prompt{
        {std::string(5000, 'x'), 1}, {"\xff\n", 1}, {"", 1}, {"5c1e07a2", 1}, {"own", 1}};
    for (std::string const& name : part_names(prompt))
    {
        cr_expect_leq(name.size(), 32U);
        cr_expect_eq(name.find_first_not_of("0123456789abcdefghijklmnopqrstuvwxyz-"), std::string::npos);
    }
    cr_expect_eq(part_names(prompt)[3], "5c1e07a2");
}

// Guards against a ledger that is full of parts that were suspected once and has no room for the one that
// crashes engines.
Test(crash_ledger, full_ledger_still_recognises_a_part)
{
    crash_ledger ledger;
    for (unsigned part = 0; part < 2000; ++part)
    {
        lose(ledger, at(1), {"system", "p" + std::to_string(part)}, part % 40);
    }
    for (unsigned engine = 50; engine < 53; ++engine)
    {
        lose(ledger, at(2), {"system", "bad"}, engine);
        lose(ledger, at(2), {"system", "q" + std::to_string(engine)}, engine);
    }
    cr_expect(ledger.find_block(at(3), {"bad"}).has_value());
    cr_expect_leq(ledger.crashes().size(), 512U);
}

// Guards against a block that appears late or a sound part that is blocked, over random mixes of requests and
// of crashes that no request causes.
Test(crash_ledger, random_mixes_block_only_the_bad_part)
{
    random_source random(20261204);
    for (int round = 0; round < 300; ++round)
    {
        crash_ledger ledger;
        unsigned bad_crashes = 0;
        std::int64_t now = 0;
        for (unsigned engine = 0; bad_crashes < 6; ++engine)
        {
            now += 50;
            bool const caused = random.below(3) > 0;
            bad_crashes += caused ? 1 : 0;
            if (caused)
            {
                lose(ledger, at(now), {"system", "bad"}, engine);
            }
            for (std::uint64_t others = random.below(4); others > 0; --others)
            {
                lose(ledger, at(now), {"system", "s" + std::to_string(random.below(12))}, engine);
            }
            for (std::uint64_t answers = random.below(6); answers > 0; --answers)
            {
                (void)ledger.on_answered(at(now + 10), {"system", "s" + std::to_string(random.below(12))});
            }
        }
        cr_expect(ledger.find_block(at(now), {"bad"}).has_value(), "round %d", round);
        cr_expect_not(ledger.find_block(at(now), {"system"}), "round %d", round);
    }
}

// Guards against marks that are gone because the store has lost them.
Test(crash_ledger, marks_that_the_store_has_lost_are_kept_and_returned_once)
{
    crash_ledger ledger;
    crash_mark const crash{"p", 1, "e1", 7};
    ledger.add(at(0), crash);
    ledger.on_lost(id_of(crash));
    cr_assert_eq(ledger.crashes_of("p"), 1);
    cr_assert_eq(ledger.take_lost().size(), 1);
    cr_assert(ledger.take_lost().empty());
}
