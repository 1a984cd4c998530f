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

// A request with these parts that is never recognised as a whole.
suspect_names of(parts const& prompt)
{
    return {prompt, {}};
}

suspect_names call_named(std::string const& name)
{
    return {{}, name};
}

// Adds the marks that lost calls leave.
void lose_calls(crash_ledger& ledger, steady_time now, std::vector<std::string> const& calls, unsigned server)
{
    for (std::string const& name : calls)
    {
        for (crash_suspect const& each : ledger.suspects(call_named(name), "s" + std::to_string(server), 1))
        {
            (void)ledger.add_own(now, each.crash);
        }
    }
}

// Adds the marks of the suspects that a lost request with these parts leaves.
void lose(crash_ledger& ledger, steady_time now, parts const& prompt, unsigned engine)
{
    for (crash_suspect const& each : ledger.suspects(of(prompt), "e" + std::to_string(engine), 1))
    {
        (void)ledger.add_own(now, each.crash);
    }
}

} // namespace

// Guards against a request that crashes servers and is sent again: a lease holder that stood still tells the
// marks that it had before.
Test(crash_ledger, older_marks_of_a_peer_do_not_replace_later_ones)
{
    crash_ledger ledger;
    crash_mark const mark = crash_of("p", 1);
    ledger.add(at(1000), mark);
    ledger.on_listed(at(5000));
    cr_assert_not(ledger.replace_by_told(at(20000), {}, at(1500)));
    cr_assert_eq(ledger.crashes().size(), 1);
    cr_assert(ledger.replace_by_told(at(20000), {mark}, at(4500)), "peers follow the store with delays");
    cr_assert(ledger.replace_by_told(at(20000), {}, at(19000)));
    cr_assert_eq(ledger.crashes().size(), 0);
    cr_assert_not(ledger.replace_by_told(at(20100), {mark}, at(5000)));
}

// Guards against a part that is never recognised, and against one that is blocked after a coincidence.
Test(crash_ledger, three_crashes_block_a_part)
{
    crash_ledger ledger;
    (void)ledger.on_answered(at(0), of({"system"}));
    lose(ledger, at(1), {"system", "bad"}, 1);
    lose(ledger, at(2), {"system", "bad"}, 2);
    lose(ledger, at(3), {"system", "bad"}, 2);
    cr_expect_not(ledger.find_block(at(4), of({"system", "bad"})));
    lose(ledger, at(4), {"system", "bad"}, 3);
    auto const block = ledger.find_block(at(5), of({"system", "bad"}));
    cr_assert(block.has_value());
    cr_expect(block->suspect == "bad" && block->crashes == 3 && block->age == milliseconds{1});
    cr_expect_not(ledger.find_block(at(5), of({"system", "good"})), "the first part is shared");
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
    cr_expect(ledger.find_block(at(9), of({"system", "bad"})).has_value());
    cr_expect_not(ledger.find_block(at(9), of({"system", "unlucky"})));
}

// Guards against refusing a whole route after a restart, when no part has been answered yet.
Test(crash_ledger, first_part_is_not_blocked_when_a_later_one_explains_the_crashes)
{
    crash_ledger ledger;
    for (unsigned engine = 0; engine < 8; ++engine)
    {
        lose(ledger, at(engine), {"system", "bad"}, engine);
    }
    cr_expect(ledger.find_block(at(9), of({"system", "bad"})).has_value());
    cr_expect_not(ledger.find_block(at(9), of({"system", "good"})));
}

// Guards against a first part that crashes engines and is never blocked.
Test(crash_ledger, first_part_is_blocked_after_five_crashes)
{
    crash_ledger ledger;
    for (unsigned engine = 0; engine < 4; ++engine)
    {
        lose(ledger, at(engine), {"bad"}, engine);
    }
    cr_expect_not(ledger.find_block(at(9), of({"bad"})));
    lose(ledger, at(9), {"bad"}, 4);
    cr_expect(ledger.find_block(at(9), of({"bad"})).has_value());
}

// Guards against refusing a part that engines answer: an answer disproves the earlier marks.
Test(crash_ledger, answer_clears_a_part)
{
    crash_ledger ledger;
    for (unsigned engine = 0; engine < 3; ++engine)
    {
        lose(ledger, at(engine), {"system", "slow"}, engine);
    }
    cr_assert(ledger.find_block(at(9), of({"slow"})).has_value());
    cr_expect_eq(ledger.on_answered(at(10), of({"system", "slow"})).size(), 6U);
    cr_expect_not(ledger.find_block(at(11), of({"slow"})));
    cr_expect_eq(ledger.digest(), crash_ledger().digest());
}

// Guards against blaming a part that engines have just answered, and against sparing one that was sound once.
Test(crash_ledger, part_with_the_oldest_answer_is_suspected)
{
    crash_ledger ledger;
    (void)ledger.on_answered(at(0), of({"system", "turned"}));
    (void)ledger.on_answered(at(500), of({"system", "good"}));
    auto const answered = ledger.suspects(of({"system", "turned"}), "e1", 7);
    cr_assert_eq(answered.size(), 1U);
    cr_expect(answered[0] == (crash_suspect{{"turned", 1, "e1", 7}, true}));
    auto const fresh = ledger.suspects(of({"system", "new", "newer"}), "e1", 7);
    cr_assert_eq(fresh.size(), 2U);
    cr_expect(fresh[0] == (crash_suspect{{"new", 1, "e1", 7}, false}));
    cr_expect(ledger.answered_after(crash_of("system", 1), at(499)) &&
              !ledger.answered_after(crash_of("turned", 1), at(499)));
}

// Guards against refusing a part for good after few crashes, and against trying a proven one again soon.
Test(crash_ledger, block_lasts_longer_once_the_part_is_proven)
{
    crash_ledger ledger;
    for (unsigned engine = 0; engine < 4; ++engine)
    {
        ledger.add(at(0), crash_of("bad", engine));
    }
    cr_expect(ledger.find_block(at(29000), of({"bad"})).has_value());
    cr_expect_not(ledger.find_block(at(31000), of({"bad"})));
    ledger.add(at(31000), crash_of("bad", 4));
    auto const block = ledger.find_block(at(32000), of({"bad"}));
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
    (void)ledger.on_answered(at(2), of({"cleared"}));
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
    cr_expect(ledger.find_block(at(3), of({"bad"})).has_value());
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
                (void)ledger.on_answered(at(now + 10),
                                         of({"system", "s" + std::to_string(random.below(12))}));
            }
        }
        cr_expect(ledger.find_block(at(now), of({"bad"})).has_value(), "round %d", round);
        cr_expect_not(ledger.find_block(at(now), of({"system"})), "round %d", round);
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

// Guards against a request without a part of its own that is never recognised, and against blaming those
// beside it.
Test(crash_ledger, three_crashes_block_a_request)
{
    crash_ledger ledger;
    lose_calls(ledger, at(1), {"bad", "debit1"}, 1);
    lose_calls(ledger, at(2), {"bad", "debit2", "stock"}, 2);
    cr_expect_not(ledger.find_block(at(3), call_named("bad")));
    lose_calls(ledger, at(4), {"bad", "stock"}, 3);
    auto const block = ledger.find_block(at(5), call_named("bad"));
    cr_assert(block.has_value());
    cr_expect(block->suspect == "bad" && block->crashes == 3);
    cr_expect_not(ledger.find_block(at(5), call_named("stock")));
}

// Guards against a request that goes on ending servers because another one explains the same crashes.
Test(crash_ledger, requests_that_crash_the_same_servers_are_all_blocked)
{
    crash_ledger ledger;
    for (unsigned server = 0; server < 3; ++server)
    {
        lose_calls(ledger, at(server), {"bad_a", "bad_b", "debit" + std::to_string(server)}, server);
    }
    cr_expect(ledger.find_block(at(5), call_named("bad_a")).has_value());
    cr_expect(ledger.find_block(at(5), call_named("bad_b")).has_value());
    cr_expect_not(ledger.find_block(at(5), call_named("debit1")));
}

// Guards against all instances trying a blocked request at once when its block ends, and against trying it
// again soon.
Test(crash_ledger, blocked_request_is_sent_again_in_single_trials)
{
    crash_ledger ledger;
    for (unsigned server = 0; server < 3; ++server)
    {
        lose_calls(ledger, at(0), {"bad"}, server);
        lose_calls(ledger, at(0), {"worse"}, 10 + server);
    }
    cr_expect_not(ledger.begin_trial(at(29000), "bad"));
    cr_expect(ledger.find_block(at(31000), call_named("bad")).has_value(), "only a trial may be sent");
    cr_assert(ledger.begin_trial(at(31000), "bad"));
    cr_expect_not(ledger.begin_trial(at(31000), "bad"));
    cr_expect_not(ledger.begin_trial(at(31000), "worse"), "one trial at a time");
    lose_calls(ledger, at(31100), {"bad"}, 3);
    ledger.end_trial(at(31100), "bad", true);
    cr_expect_not(ledger.begin_trial(at(31500), "worse"), "the lost server is being checked");
    cr_expect(ledger.begin_trial(at(33000), "worse"));
    ledger.end_trial(at(33100), "worse", false);
    cr_expect_not(ledger.begin_trial(at(61100 + 30000), "bad"), "four times as long for the fourth crash");
    cr_expect(ledger.begin_trial(at(31100 + 121000), "bad"));
}

// Guards against refusing a request for good that is sound again.
Test(crash_ledger, answer_on_trial_ends_the_block_of_a_request)
{
    crash_ledger ledger;
    for (unsigned server = 0; server < 3; ++server)
    {
        lose_calls(ledger, at(0), {"mended"}, server);
    }
    cr_assert(ledger.begin_trial(at(30000), "mended"));
    cr_expect_eq(ledger.on_answered(at(30100), call_named("mended")).size(), 3U);
    ledger.end_trial(at(30100), "mended", false);
    cr_expect_not(ledger.find_block(at(30101), call_named("mended")));
}

// Guards against a request whose further crashes leave no mark because it has enough of them: it would be
// tried again at once after each trial.
Test(crash_ledger, lost_trial_delays_the_next_one_at_the_limit_of_marks)
{
    crash_ledger ledger;
    for (unsigned server = 0; server < 12; ++server)
    {
        lose_calls(ledger, at(0), {"bad"}, server);
    }
    cr_assert(ledger.begin_trial(at(601000), "bad"));
    lose_calls(ledger, at(601100), {"bad"}, 20);
    ledger.end_trial(at(601100), "bad", true);
    cr_expect_not(ledger.begin_trial(at(700000), "bad"));
    cr_expect(ledger.begin_trial(at(1202000), "bad"));
}

// Guards against a crashing request that is found late, and a sound one that is refused for long, over random
// mixes of several crashing requests, sound ones that callers repeat, and crashes that no request causes.
Test(crash_ledger, random_mixes_block_the_bad_requests)
{
    random_source random(20261205);
    for (int round = 0; round < 300; ++round)
    {
        crash_ledger ledger;
        std::vector<unsigned> crashes(4, 0);
        std::int64_t now = 0;
        for (unsigned server = 0; server < 40; ++server)
        {
            now += 300;
            std::vector<std::string> lost;
            for (std::size_t bad = 0; bad < crashes.size(); ++bad)
            {
                std::string const name = "bad" + std::to_string(bad);
                bool const sent = random.below(3) == 0 && !ledger.find_block(at(now), call_named(name));
                crashes[bad] += sent ? 1 : 0;
                lost.insert(lost.end(), sent ? 1 : 0, name);
            }
            std::string const popular = "popular" + std::to_string(random.below(4));
            bool const sent = random.below(2) == 0 && !ledger.find_block(at(now), call_named(popular));
            lost.insert(lost.end(), sent ? 1 : 0, popular);
            lost.push_back("debit" + std::to_string(server));
            lose_calls(ledger, at(now), lost, server);
            for (std::uint64_t answers = random.below(4); answers > 0; --answers)
            {
                (void)ledger.on_answered(at(now + 10),
                                         call_named("popular" + std::to_string(random.below(4))));
            }
        }
        for (std::size_t bad = 0; bad < crashes.size(); ++bad)
        {
            cr_expect_leq(crashes[bad], 3U, "round %d: request %zu, %u crashes", round, bad, crashes[bad]);
        }
        for (unsigned popular = 0; popular < 4; ++popular)
        {
            auto const block = ledger.find_block(at(now), call_named("popular" + std::to_string(popular)));
            cr_expect(!block || block->remaining <= seconds{30}, "round %d", round);
        }
    }
}
