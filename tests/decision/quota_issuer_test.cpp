#include "decision/quota_issuer.hpp"

#include "decision/quota_terms.hpp"

#include <criterion/criterion.h>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace siskinusher;

namespace
{

constexpr double rate = 4200.0;

quota_bounds page_bounds()
{
    return {seconds{8}, 0.1, 17000.0};
}

std::shared_ptr<serving_config const> config_of(double per_second, double burst)
{
    organisation limited;
    limited.name = "o";
    limited.quota = {quota_unit::tokens, per_second, burst, 1.0};
    auto config = std::make_shared<serving_config>();
    config->organisations.emplace();
    config->organisations->push_back(limited);
    return config;
}

steady_time at(duration since)
{
    return steady_time{seconds{1000}} + since;
}

/// A holder of the example of the page. It has been in office for long, unless a test begins a lease.
class issuer_fixture
{
public:
    explicit issuer_fixture(double per_second = rate, double burst = 0.0)
    {
        issuer.on_config(at(duration{0}), config_of(per_second, burst));
    }

    quota_grant ask(duration when, std::string const& instance, quota_need need, unsigned instances = 65,
                    unsigned told = 0)
    {
        need.organisation = "o";
        quota_question question;
        question.instance = instance;
        question.start = start;
        question.sequence = ++sequence;
        question.instances = told;
        question.needs.push_back(std::move(need));
        quota_reply const reply = issuer.answer(at(when), instances, question);
        cr_assert(reply.sequence == sequence && reply.instances == instances && reply.grants.size() == 1);
        return reply.grants.front();
    }

    static quota_need waiting(std::vector<std::uint64_t> costs)
    {
        quota_need need;
        need.waiting = std::move(costs);
        return need;
    }

    quota_issuer issuer{page_bounds()};
    std::uint64_t start = 1;
    std::uint64_t sequence = 0;
};

} // namespace

// Guards against shares of the tolerance that together exceed it, with the figures of the page.
Test(quota_issuer, shares_of_the_tolerance_are_those_of_the_page)
{
    quota_terms const small = terms_of({quota_unit::tokens, rate, 0.0, 1.0}, page_bounds());
    cr_assert(small.capacity == 5090.0 && small.in_window == 38690.0);
    cr_assert(small.for_takeover == 10180.0 && small.without_holder == 2545.0 && small.for_repeats == 2545.0);
    quota_terms const large = terms_of({quota_unit::tokens, 329349.0, 329349.0, 1.0}, page_bounds());
    double const bound = 9.0 * 329349.0 * 1.1 + 17000.0;
    cr_assert(large.in_window + large.for_takeover + large.without_holder + large.for_repeats <=
              bound + 1e-6);
}

// Guards against part of a request's cost being granted, and against a refusal that states no time.
Test(quota_issuer, whole_requests_are_granted_in_their_order)
{
    issuer_fixture holder;
    quota_grant const grant = holder.ask(seconds{10}, "i1", holder.waiting({2000, 2000, 2000, 500}));
    // The fourth would fit, but comes after one that does not. What a window allows beyond the rate has
    // 1,272.
    cr_assert(grant.granted == 4000, "%lu", static_cast<unsigned long>(grant.granted));
    cr_assert(grant.room_after_ms > 0);
    quota_grant const all = issuer_fixture().ask(seconds{10}, "i1", holder.waiting({1100, 1100}));
    cr_assert(all.granted == 2200 && all.room_after_ms == 0);
}

// Guards against credit that is issued a second time while another instance may spend it.
Test(quota_issuer, outstanding_credit_counts_until_it_is_spent_or_expires)
{
    issuer_fixture holder;
    cr_assert(holder.ask(seconds{10}, "i1", holder.waiting({5000})).granted == 5000);
    // The level has been full again for long, but for the credit of i1. 1,100 come from what a window allows
    // beyond the rate.
    cr_assert(holder.ask(milliseconds{13900}, "i2", holder.waiting({1300})).granted == 0);
    // The clock of i1 may run 1 % slower, so that its credit ends at 14.04 s.
    cr_assert(holder.ask(milliseconds{14020}, "i2", holder.waiting({1300})).granted == 0);
    cr_assert(holder.ask(milliseconds{16000}, "i2", holder.waiting({1300})).granted == 1300);
}

// Guards against spent credit that is missing for 4 s although the instance tells of it.
Test(quota_issuer, spent_credit_makes_room)
{
    issuer_fixture holder;
    cr_assert(holder.ask(seconds{10}, "i1", holder.waiting({5000})).granted == 5000);
    quota_need spent;
    spent.spent = 5000;
    cr_assert(holder.ask(milliseconds{10300}, "i1", spent).granted == 0);
    cr_assert(holder.ask(milliseconds{11300}, "i2", holder.waiting({4000})).granted == 4000);
}

// Guards against the credit of a lost reply being missing, and against that of a restarted instance, which
// may have spent it, being issued again.
Test(quota_issuer, credit_of_a_lost_reply_comes_back_but_not_after_a_restart)
{
    issuer_fixture holder;
    cr_assert(holder.ask(seconds{10}, "i1", holder.waiting({5000})).granted == 5000);
    cr_assert(holder.ask(milliseconds{10100}, "i1", holder.waiting({5000})).granted == 5000);
    holder.start = 2;
    cr_assert(holder.ask(milliseconds{10200}, "i1", holder.waiting({5000})).granted == 0);
}

// Guards against an overtaken or repeated question that sets back what an instance holds.
Test(quota_issuer, questions_that_were_overtaken_are_ignored)
{
    issuer_fixture holder;
    quota_question question{"i1", 1, 7, 65, {}};
    question.needs.push_back(holder.waiting({1100}));
    question.needs.front().organisation = "o";
    cr_assert(holder.issuer.answer(at(seconds{10}), 65, question).grants.size() == 1);
    cr_assert(holder.issuer.answer(at(seconds{10}), 65, question).grants.empty());
    question.sequence = 6;
    cr_assert(holder.issuer.answer(at(seconds{10}), 65, question).grants.empty());
    question.start = 2; // After a restart, numbers begin again.
    cr_assert(holder.issuer.answer(at(seconds{10}), 65, question).grants.size() == 1);
    question.instance = "i2";
    cr_assert(holder.issuer.answer(at(seconds{10}), 65, question).grants.size() == 1);
}

// Guards against credit ahead of need that takes what waiting requests need elsewhere.
Test(quota_issuer, credit_ahead_takes_an_eighth_of_the_level)
{
    issuer_fixture holder;
    quota_need need;
    need.ahead = 100000;
    cr_assert(holder.ask(seconds{10}, "i1", need).granted == 636);
    cr_assert(holder.ask(seconds{10}, "i2", need).granted == 556);
    quota_need both = holder.waiting({3000});
    both.ahead = 100000;
    both.typical = 113; // An eighth of the 898 that are left is less, and of no use.
    cr_assert(holder.ask(seconds{10}, "i3", both).granted == 3000);
    quota_need last;
    last.ahead = 100000;
    last.typical = 112;
    cr_assert(holder.ask(seconds{10}, "i4", last).granted == 112);
}

// Guards against a request above the capacity that is never granted while any instance holds credit, and
// against one that the limit does not cover.
Test(quota_issuer, requests_above_the_capacity_are_granted_when_the_tolerance_covers_them)
{
    issuer_fixture holder;
    cr_assert(holder.ask(seconds{10}, "i1", holder.waiting({100})).granted == 100);
    cr_assert(holder.ask(seconds{11}, "i2", holder.waiting({7000})).granted == 7000);
    // The level is below zero now.
    cr_assert(holder.ask(seconds{11}, "i3", holder.waiting({1300})).granted == 0);
    issuer_fixture other;
    cr_assert(other.ask(seconds{10}, "i1", other.waiting({7636})).granted == 0);
}

// Guards against a new holder that issues what the holder before has issued.
Test(quota_issuer, a_new_holder_begins_with_a_quarter_of_the_tolerance)
{
    issuer_fixture holder;
    holder.issuer.begin_lease(at(seconds{10}));
    // D/4 is 5,090.
    quota_grant const first = holder.ask(seconds{10}, "i1", holder.waiting({5000, 200}));
    cr_assert(first.granted == 5000);
    // It waits, since the organisation may be within its limit.
    cr_assert(first.room_after_ms == 0 && first.ask_after_ms == 0);
    // What i1 may still spend keeps the rate of the next second from being issued.
    cr_assert(holder.ask(seconds{11}, "i2", holder.waiting({200})).granted == 0);
    issuer_fixture spending;
    spending.issuer.begin_lease(at(seconds{10}));
    cr_assert(spending.ask(seconds{10}, "i1", spending.waiting({5000})).granted == 5000);
    quota_need need = spending.waiting({4200, 200});
    need.spent = 5000;
    // After 1 s, 4,200 have come in at the rate, and 90 were left.
    cr_assert(spending.ask(seconds{11}, "i1", need).granted == 4200);
    // Half of its share of the tolerance, D/4, is the most until credit of the holder before has expired.
    issuer_fixture later;
    later.issuer.begin_lease(at(seconds{10}));
    cr_assert(later.ask(milliseconds{13900}, "i1", later.waiting({5000, 200})).granted == 5000);
}

// Guards against a full level for an organisation whose configuration is read after the lease was gained.
Test(quota_issuer, organisation_learnt_in_a_takeover_begins_empty)
{
    quota_issuer issuer(page_bounds());
    issuer.begin_lease(at(seconds{10}));
    issuer.on_config(at(seconds{10}), config_of(rate, 0.0));
    quota_need need = issuer_fixture::waiting({1100});
    need.organisation = "o";
    quota_question question{"i1", 1, 1, 65, {}};
    question.needs.push_back(need);
    quota_reply const reply = issuer.answer(at(seconds{10}), 65, question);
    cr_assert(reply.grants.size() == 1 && reply.grants.front().granted == 0);
}

// Guards against returned cost that is issued again in a window that did not contain it: a new holder takes
// back a bounded amount.
Test(quota_issuer, returned_cost_comes_back_within_bounds)
{
    issuer_fixture holder;
    cr_assert(holder.ask(seconds{10}, "i1", holder.waiting({5000})).granted == 5000);
    quota_need returned = holder.waiting({4900});
    returned.spent = 5000;
    returned.returned = 5000; // All of it did not run.
    cr_assert(holder.ask(milliseconds{10100}, "i1", returned).granted == 4900);
    issuer_fixture taking_over;
    taking_over.issuer.begin_lease(at(seconds{10}));
    std::uint64_t granted = 0;
    for (int i = 0; i < 20; ++i)
    {
        quota_need need = taking_over.waiting({1000});
        need.returned = 1000;
        granted += taking_over.ask(seconds{10}, "i" + std::to_string(i), need).granted;
    }
    cr_assert(granted == 5000, "%lu", static_cast<unsigned long>(granted)); // Of D/4 = 5,090.
}

// Guards against an organisation with a large burst that gets its burst only once.
Test(quota_issuer, the_burst_comes_back_with_each_window)
{
    issuer_fixture holder(329349.0, 329349.0);
    std::uint64_t granted = 0;
    std::uint64_t last_granted = 0;
    for (duration when = seconds{10}; when < seconds{90}; when += milliseconds{20})
    {
        quota_need need = holder.waiting(std::vector<std::uint64_t>(10, 9000));
        need.spent = last_granted;
        last_granted = holder.ask(when, "i1", need).granted;
        granted += last_granted;
    }
    double const each_window = static_cast<double>(granted) / 10.0;
    cr_assert(each_window >= 8 * 329349.0 + 0.5 * 329349.0, "%f", each_window);
    cr_assert(each_window <= (9 * 329349.0) * 1.1 + 17000.0, "%f", each_window);
}

// Guards against a lowered limit that becomes effective only when the level is used up, and a removed
// organisation that keeps its state.
Test(quota_issuer, changed_limits_are_in_force_at_once)
{
    issuer_fixture holder(329349.0, 329349.0);
    holder.issuer.on_config(at(seconds{10}), config_of(rate, 0.0));
    cr_assert(holder.ask(seconds{10}, "i1", holder.waiting({5000, 5000})).granted == 5000);
    auto none = std::make_shared<serving_config>();
    none->organisations.emplace();
    holder.issuer.on_config(at(seconds{11}), none);
    quota_question question{"i1", 1, 99, 65, {}};
    question.needs.emplace_back();
    question.needs.front().organisation = "o";
    cr_assert(holder.issuer.answer(at(seconds{11}), 65, question).grants.empty());
}

// Guards against callers of one organisation that are told to come back together.
Test(quota_issuer, the_time_grows_with_what_was_told_to_come_back)
{
    issuer_fixture holder;
    std::uint64_t last = 0;
    for (int i = 0; i < 4; ++i)
    {
        quota_grant const grant =
            holder.ask(seconds{10}, "i" + std::to_string(i), holder.waiting({5000, 2000}));
        cr_assert(grant.room_after_ms > last, "%lu", static_cast<unsigned long>(grant.room_after_ms));
        last = grant.room_after_ms;
    }
}

// Guards against log lines for each refusal, and against none when an organisation goes over its limit.
Test(quota_issuer, changes_of_the_standing_are_told_once)
{
    issuer_fixture holder;
    cr_assert(holder.issuer.take_changes(at(seconds{10})).empty());
    holder.ask(seconds{10}, "i1", holder.waiting({5000, 5000}));
    auto const over = holder.issuer.take_changes(at(seconds{10}));
    cr_assert(over.size() == 1 && over.front().organisation == "o" && over.front().over_limit);
    cr_assert(over.front().outstanding == 5000.0 && over.front().capacity == 5090.0);
    cr_assert(holder.issuer.take_changes(at(milliseconds{10500})).empty());
    auto const within = holder.issuer.take_changes(at(seconds{12}));
    cr_assert(within.size() == 1 && !within.front().over_limit);
}

// Guards against organisations without a limit whose use is not known, or that are refused.
Test(quota_issuer, organisations_without_a_limit_are_granted_all)
{
    issuer_fixture holder(0.0, 0.0);
    quota_need need = holder.waiting({1000000, 2000000});
    need.spent = 4000;
    quota_grant const grant = holder.ask(seconds{10}, "i1", need);
    cr_assert(grant.granted == 3000000 && grant.room_after_ms == 0 && grant.spent_per_s == 2000);
}

// Guards against shares that together exceed the rate, and against one above twice of what its instance used,
// which would leave nothing of the rate to all others when that instance is cut off.
Test(quota_issuer, told_shares_add_up_to_the_rate_at_most)
{
    issuer_fixture holder;
    std::vector<std::uint64_t> shares(9, 0);
    for (int round = 0; round < 400; ++round)
    {
        std::size_t const i = static_cast<std::size_t>(round * 7 + round / 9) % shares.size();
        quota_need need;
        need.spent = round < 200 ? 1100 : (i < 2 ? 4000 : 0);
        quota_grant const grant =
            holder.ask(seconds{10} + milliseconds{50 * round}, "i" + std::to_string(i), need);
        shares[i] = grant.share_per_s;
        std::uint64_t sum = 0;
        for (std::uint64_t const share : shares)
        {
            sum += share;
        }
        cr_assert(sum <= static_cast<std::uint64_t>(rate), "%lu in round %d", static_cast<unsigned long>(sum),
                  round);
    }
    issuer_fixture first;
    quota_need need;
    need.spent = 1000; // 500 a second in the time constant of 2 s.
    cr_assert(first.ask(seconds{10}, "i1", need).share_per_s == 1000);
}

// Guards against a share that stays with an instance whose callers have gone elsewhere.
Test(quota_issuer, an_idle_instance_gives_its_share_up)
{
    issuer_fixture holder;
    quota_need busy;
    busy.spent = 4000;
    std::uint64_t share = holder.ask(seconds{10}, "i1", busy).share_per_s;
    cr_assert(share == 4000, "%lu", static_cast<unsigned long>(share));
    for (duration when = milliseconds{10800}; when <= seconds{22}; when += milliseconds{800})
    {
        share = holder.ask(when, "i1", quota_need{}).share_per_s;
    }
    cr_assert(share <= 42, "%lu", static_cast<unsigned long>(share)); // A hundredth of the rate.
    cr_assert(holder.ask(seconds{22}, "i2", busy).share_per_s >= 3900);
}

// Guards against the rate being issued to others while an instance that is silent may spend its share of it.
Test(quota_issuer, the_share_of_a_silent_instance_is_not_issued)
{
    // Issued within 1.1 s to 8.08 s after the last question of i1, in requests of 100.
    auto const issued = [](std::uint64_t spent_by_silent)
    {
        issuer_fixture holder;
        quota_need silent;
        silent.spent = spent_by_silent;
        holder.ask(seconds{10}, "i1", silent);
        std::uint64_t sum = 0;
        std::uint64_t last = 0;
        for (duration when = seconds{10}; when <= milliseconds{18080}; when += milliseconds{20})
        {
            quota_need need = issuer_fixture::waiting(std::vector<std::uint64_t>(60, 100));
            need.spent = last;
            last = holder.ask(when, "i2", need).granted;
            sum += last;
        }
        return static_cast<double>(sum);
    };
    double const all = issued(0);
    double const without_share = issued(2000);
    // The share is 2,000 a second for 6.98 s; up to 0.2 s of it are taken off later.
    cr_assert(all - without_share >= 2000.0 * (6.98 - 0.2) - 100.0, "%f and %f", all, without_share);
    cr_assert(all - without_share <= 2000.0 * 6.98 + 2000.0 + 100.0, "%f and %f", all, without_share);
}

// Guards against a new holder that issues the whole rate while instances that do not report to it spend
// shares from the holder before.
Test(quota_issuer, a_new_holder_issues_the_part_of_the_instances_that_report_to_it)
{
    auto const issued = [](unsigned told, duration begin, duration end)
    {
        issuer_fixture holder;
        holder.issuer.begin_lease(at(seconds{10}));
        std::uint64_t sum = 0;
        std::uint64_t last = 0;
        for (duration when = seconds{10}; when < end; when += milliseconds{20})
        {
            quota_need need = issuer_fixture::waiting(std::vector<std::uint64_t>(60, 100));
            need.spent = last;
            last = holder.ask(when, "i1", need, 13, told).granted;
            sum += when >= begin ? last : 0;
        }
        return static_cast<double>(sum);
    };
    // 13 of 65 instances have a fifth of the rate, and D/4 is there at first.
    double const part = issued(65, seconds{11}, seconds{18});
    cr_assert(part <= 7.0 * rate / 5.0 + 200.0, "%f", part);
    cr_assert(part >= 7.0 * rate / 5.0 - 200.0, "%f", part);
    // Without others that were told of, it is the whole rate, as it is after 8.08 s. What a window allows
    // beyond the rate is issued by then as well.
    double const whole = issued(13, seconds{11}, seconds{18});
    cr_assert(whole >= 7.0 * rate - 200.0 && whole <= 7.0 * rate + 200.0, "%f", whole);
    double const later = issued(65, milliseconds{18100}, milliseconds{22100});
    cr_assert(later >= 4.0 * rate - 200.0, "%f", later);
}
