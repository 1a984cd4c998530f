#include "decision/quota_issuer.hpp"

#include "decision/quota_terms.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <deque>
#include <iterator>
#include <unordered_map>
#include <utility>

namespace siskinusher
{

namespace
{

// Credit ahead of need takes at most this share of the level, so that what is left serves requests that wait
// elsewhere. An organisation beyond its limit gets it too: each instance then spends its part without a
// question for each request.
constexpr double max_share_for_ahead = 0.125;
// Time constant of the measured use of an organisation.
constexpr double use_time_s = 2.0;
// Callers that were told to come back are expected for this long at most; their retries end about then.
constexpr double max_backlog_s = 3.0;
// A new holder lets requests wait that it can serve within this time: their organisation may be within its
// limit, and what the holder before it had saved up is lost.
constexpr std::uint64_t max_takeover_wait_ms = 1000;
// A new holder uses this share of the tolerance for it for its level, and the same for credit that is
// returned: it does not know whether that is in a window that is still open.
constexpr double share_of_takeover = 0.5;
// A share is at most this multiple of what its instance used of late: an organisation at half of its limit
// keeps its rate. A new holder that gave the whole rate to the first instance that spent anything refused all
// others for 8 s when that instance was cut off (quota_random, seed 13).
constexpr double max_share_of_use = 2.0;
// The clocks of the instances may run 1 % slower than that of the holder.
constexpr duration held_credit_lifetime = credit_lifetime * 101 / 100;
constexpr duration held_share_lifetime = share_lifetime * 101 / 100;
// Shares of silent instances are taken off the level this often: a look at each of hundreds of instances with
// each question would take as much time as all else.
constexpr duration silence_check_interval = milliseconds{200};
// An organisation counts as over its limit for this long after a request was refused.
constexpr duration over_limit_time = seconds{1};

double seconds_between(steady_time from, steady_time to)
{
    return std::max(std::chrono::duration<double>(to - from).count(), 0.0);
}

// Instances that have asked nothing for this long are forgotten. A question is answered within its time limit
// of 300 ms or not at all.
constexpr duration question_memory = seconds{60};
// The use of a window is kept in this many parts.
constexpr std::size_t window_parts = 32;
// What a window allows beyond the rate may be saved up for this long.
constexpr double max_saved_s = 2.0;

struct used_part
{
    steady_time begun_at;
    steady_time last_at;
    double used = 0.0;
};

struct last_question
{
    std::uint64_t start = 0;
    std::uint64_t sequence = 0;
    steady_time at;
};

struct outstanding_credit
{
    double held = 0.0;
    steady_time expires;
    std::uint64_t start = 0; ///< Of the instance.
    double use = 0.0;        ///< Units a second, by this instance, when it last asked.
    double share = 0.0;      ///< Of the rate, that the instance may spend without a holder.
    steady_time asked_at;
    steady_time counted_until; ///< The share was taken off the level up to here.
    double counted = 0.0;      ///< What was taken off since the instance last asked.
};

struct bucket
{
    organisation_quota quota;
    quota_terms terms;
    double level = 0.0;
    steady_time filled_at;
    double unknown = 0.0; ///< Credit of an earlier holder that no instance has reported yet.
    std::unordered_map<std::string, outstanding_credit> outstanding; ///< By instance.
    double outstanding_total = 0.0;
    steady_time next_expiry = steady_time::max(); ///< No credit expires before.
    /// What was used in the last window, the oldest part first.
    std::deque<used_part> used;
    double returns_left = 0.0; ///< Accepted while the windows before the lease are not known.
    double extra = 0.0;        ///< Saved up of what a window allows beyond the rate.
    double told_shares = 0.0;  ///< Of the rate, by all instances.
    steady_time next_silence_check;
    double backlog = 0.0; ///< Cost of requests that were told to come back.
    double use = 0.0;     ///< Units a second.
    steady_time use_at;
    std::optional<steady_time> refused_at;
    bool told_over = false; ///< By take_changes().
};

bool is_limited(bucket const& of)
{
    return of.quota.per_second > 0.0;
}

void note_use(steady_time now, bucket& of, double cost)
{
    double const earlier = of.use * std::exp(-seconds_between(of.use_at, now) / use_time_s);
    of.use = std::max(earlier + cost / use_time_s, 0.0);
    of.use_at = now;
}

} // namespace

class quota_issuer::implementation
{
public:
    explicit implementation(quota_bounds bounds_in) : bounds(bounds_in) {}

    void refill(steady_time now, bucket& of) const
    {
        drop_expired(now, of);
        double const passed = seconds_between(of.filled_at, now);
        of.filled_at = now;
        of.level += known_part() * of.quota.per_second * passed - take_silent_shares(now, of);
        double const extra_per_s = extra_rate(of);
        of.extra = std::min(of.extra + extra_per_s * passed, extra_per_s * max_saved_s);
        of.backlog = std::max(of.backlog - of.quota.per_second * passed, 0.0);
        if (!takes_over(now))
        {
            of.unknown = 0.0;
        }
        limit_level(now, of);
    }

    // What instances may have spent of their shares since the last call: those that have asked nothing for a
    // while. It counts as used, or has_extra() would allow it to be issued again.
    double take_silent_shares(steady_time now, bucket& of) const
    {
        if (now < of.next_silence_check)
        {
            return 0.0;
        }
        of.next_silence_check = now + silence_check_interval;
        double sum = 0.0;
        for (auto& [instance, credit] : of.outstanding)
        {
            double const part = silent_share(credit, now);
            credit.counted += part;
            sum += part;
            credit.counted_until =
                std::max(credit.counted_until, std::min(now, credit.asked_at + held_share_lifetime));
        }
        if (sum > 0.0)
        {
            note_used(now, of, sum);
        }
        return sum;
    }

    // What an instance may have spent of its share that was not counted yet.
    static double silent_share(outstanding_credit const& credit, steady_time now)
    {
        steady_time const begin = std::max(credit.asked_at + holder_silence, credit.counted_until);
        return credit.share * seconds_between(begin, std::min(now, credit.asked_at + held_share_lifetime));
    }

    // The part of the rate that is not shared among instances that this holder may not know of. A new holder
    // counts with those that the holder before told of and that do not report to it.
    double known_part() const
    {
        return shares_unknown && told_instances > instances_now
                   ? static_cast<double>(instances_now) / told_instances
                   : 1.0;
    }

    // Divides the rate for a time without a holder, as it was used of late.
    static double share_of(bucket const& of, outstanding_credit const& credit)
    {
        double const part = of.use > 0.0 ? credit.use / of.use : 0.0;
        double const left = of.quota.per_second - (of.told_shares - credit.share);
        return std::max(std::min({part * of.quota.per_second, max_share_of_use * credit.use, left}), 0.0);
    }

    void limit_level(steady_time now, bucket& of) const
    {
        double const most =
            of.terms.capacity + (takes_over(now) ? share_of_takeover * of.terms.for_takeover : 0.0);
        of.level = std::min(of.level, std::max(most - of.unknown - of.outstanding_total, 0.0));
    }

    bool knows_window(steady_time now) const { return !lease_begun || now - *lease_begun >= bounds.window; }

    // Credit of the holder before may be outstanding.
    bool takes_over(steady_time now) const
    {
        return lease_begun && now - *lease_begun < held_credit_lifetime;
    }

    // Credit of an instance that asks no more may have been spent.
    void drop_expired(steady_time now, bucket& of) const
    {
        if (now < of.next_expiry)
        {
            return;
        }
        of.next_expiry = steady_time::max();
        for (auto each = of.outstanding.begin(); each != of.outstanding.end();)
        {
            outstanding_credit& credit = each->second;
            if (now >= credit.expires && credit.held > 0.0)
            {
                note_used(now, of, credit.held);
                of.outstanding_total -= credit.held;
                credit.held = 0.0;
            }
            steady_time const share_ends = credit.asked_at + held_share_lifetime;
            if (credit.held <= 0.0 && now >= share_ends)
            {
                // What the checks of silent shares have not seen yet.
                double const rest = silent_share(credit, now);
                of.level -= rest;
                note_used(now, of, rest);
                of.told_shares -= credit.share;
                each = of.outstanding.erase(each);
                continue;
            }
            of.next_expiry = std::min(of.next_expiry, credit.held > 0.0 ? credit.expires : share_ends);
            ++each;
        }
    }

    void note_used(steady_time now, bucket& of, double cost) const
    {
        while (!of.used.empty() && now - of.used.front().begun_at > bounds.window + part_length())
        {
            of.used.pop_front();
        }
        if (of.used.empty() || now - of.used.back().begun_at >= part_length())
        {
            of.used.push_back({now, now, 0.0});
        }
        of.used.back().last_at = now;
        of.used.back().used += cost;
    }

    // Work that did not run is taken off the oldest parts, which count no longer than it did.
    static void take_off(bucket& of, double cost)
    {
        for (used_part& each : of.used)
        {
            double const part = std::min(each.used, cost);
            each.used -= part;
            cost -= part;
        }
    }

    duration part_length() const { return bounds.window / window_parts; }

    // What a window allows beyond the rate, evenly.
    double extra_rate(bucket const& of) const
    {
        double const window_s = std::chrono::duration<double>(bounds.window).count();
        return window_s > 0.0 ? of.terms.capacity / window_s : 0.0;
    }

    // What may be issued beyond the level such that each window stays within its bound, whatever the rate
    // adds to the level in it: the level is never held back for what was issued beyond it before.
    double room_beyond_level(steady_time now, bucket const& of) const
    {
        double const available = of.level + of.outstanding_total;
        // Of the windows that end from now on, those that have just lost a part are less full.
        double most = available + of.quota.per_second * std::chrono::duration<double>(bounds.window).count();
        double used = 0.0;
        for (auto part = of.used.rbegin(); part != of.used.rend(); ++part)
        {
            steady_time const end = part->last_at + bounds.window;
            if (end < now)
            {
                break;
            }
            used += part->used;
            most = std::max(most, used + available + of.quota.per_second * seconds_between(now, end));
        }
        return of.terms.in_window - most;
    }

    // A limit on windows allows more than its rate and one burst: the burst may come back with each window. A
    // holder that has seen a whole window issues that as well. `granted` is for the question in work.
    bool has_extra(steady_time now, bucket const& of, double cost, double granted) const
    {
        return knows_window(now) && cost <= of.extra && cost + granted <= room_beyond_level(now, of);
    }

    // False for a question that was overtaken by a later one of the same start.
    bool is_new(steady_time now, quota_question const& question)
    {
        forget_silent(now);
        last_question& last = questions[question.instance];
        if (last.start == question.start && last.sequence >= question.sequence)
        {
            return false;
        }
        last = {question.start, question.sequence, now};
        return true;
    }

    void forget_silent(steady_time now)
    {
        if (now < next_forgetting)
        {
            return;
        }
        next_forgetting = now + question_memory;
        for (auto each = questions.begin(); each != questions.end();)
        {
            each = now - each->second.at >= question_memory ? questions.erase(each) : std::next(each);
        }
    }

    quota_grant serve(steady_time now, quota_question const& question, quota_need const& need,
                      bucket& of) const
    {
        quota_grant grant;
        grant.organisation = need.organisation;
        if (!is_limited(of))
        {
            note_use(now, of, static_cast<double>(need.spent));
            grant.spent_per_s = static_cast<std::uint64_t>(of.use);
            for (std::uint64_t const cost : need.waiting)
            {
                grant.granted += cost;
            }
            return grant;
        }
        double unused = 0.0;
        double taken_off = 0.0;
        take_statement(now, question, need, of, unused, taken_off);
        note_use(now, of, static_cast<double>(need.spent) - taken_off);
        grant.spent_per_s = static_cast<std::uint64_t>(of.use);
        refill(now, of);
        restore(now, unused, taken_off, of);
        grant_waiting(now, need, of, grant);
        double const ahead = std::min(static_cast<double>(need.ahead), max_share_for_ahead * of.level);
        if (ahead >= static_cast<double>(need.typical))
        {
            issue(of, grant, static_cast<std::uint64_t>(ahead));
        }
        outstanding_credit& credit = of.outstanding[question.instance];
        credit.held += static_cast<double>(grant.granted);
        credit.expires = now + held_credit_lifetime;
        credit.use = credit.use * std::exp(-seconds_between(credit.asked_at, now) / use_time_s) +
                     (static_cast<double>(need.spent) - taken_off) / use_time_s;
        credit.asked_at = now;
        double const share = share_of(of, credit);
        of.told_shares += share - credit.share;
        credit.share = share;
        grant.share_per_s = static_cast<std::uint64_t>(share);
        of.outstanding_total += static_cast<double>(grant.granted);
        of.next_expiry = std::min(of.next_expiry, credit.expires);
        return grant;
    }

    // What the instance says that it holds. Sets how much goes back to the level: `unused` was never counted
    // as used, `taken_off` was.
    void take_statement(steady_time now, quota_question const& question, quota_need const& need, bucket& of,
                        double& unused, double& taken_off) const
    {
        auto const held = static_cast<double>(need.held);
        auto const spent = static_cast<double>(need.spent);
        auto const returned = static_cast<double>(need.returned);
        auto const [entry, is_first] = of.outstanding.try_emplace(question.instance);
        outstanding_credit& credit = entry->second;
        if (is_first)
        {
            of.unknown = std::max(of.unknown - held, 0.0);
        }
        // Credit that is neither held nor told to be spent has expired, its work did not run, or the reply
        // was lost and is ignored when it comes now. After a restart it may have been spent.
        double const unspent = std::max(credit.held - held - spent, 0.0);
        unused = is_first || credit.start == question.start ? unspent : std::min(returned, unspent);
        taken_off = std::max(returned - unspent, 0.0);
        // Spent of a share, and counted as used before it was told.
        double const known = std::min(credit.counted, std::max(spent - credit.held, 0.0));
        credit.counted = 0.0;
        note_used(now, of, spent - known + unspent - unused);
        of.outstanding_total += held - credit.held;
        credit.held = held;
        credit.start = question.start;
        credit.expires = steady_time::max(); // Set once the grant is known.
    }

    // Adds what is returned to the level. What had been counted as used is added as far as each window that
    // contains this instant has room for it. A new holder does not know the windows: it accepts what its
    // share of the tolerance covers.
    void restore(steady_time now, double unused, double taken_off, bucket& of) const
    {
        of.level += unused;
        take_off(of, taken_off);
        double& left = of.returns_left;
        double const most = knows_window(now) ? std::max(room_beyond_level(now, of), 0.0) : left;
        double const accepted = std::min(taken_off, most);
        left = knows_window(now) ? 0.0 : left - accepted;
        of.level += accepted;
        limit_level(now, of);
    }

    static void issue(bucket& of, quota_grant& grant, std::uint64_t cost)
    {
        grant.granted += cost;
        of.level -= static_cast<double>(cost);
    }

    void grant_waiting(steady_time now, quota_need const& need, bucket& of, quota_grant& grant) const
    {
        for (std::uint64_t const cost : need.waiting)
        {
            auto const needed = static_cast<double>(cost);
            bool const fits = needed <= of.level;
            // Nothing more can be saved up for a request that costs more than the capacity.
            bool const oversized = needed > of.terms.capacity && needed <= of.level + of.terms.for_repeats;
            if (grant.room_after_ms == 0 && (fits || oversized))
            {
                issue(of, grant, cost);
                continue;
            }
            if (grant.room_after_ms == 0 && has_extra(now, of, needed, static_cast<double>(grant.granted)))
            {
                grant.granted += cost;
                of.extra -= needed;
                continue;
            }
            if (grant.room_after_ms == 0)
            {
                double const missing = std::max(needed - of.level, 0.0);
                grant.ask_after_ms = time_to_issue_ms(of, missing);
                grant.room_after_ms = time_to_issue_ms(of, missing + of.backlog);
            }
            of.refused_at = now;
            // A request that waits for room and asks again counts again, so that it is soon told a time that
            // it does not wait for. With long waits, requests sent in one window would run in the next.
            of.backlog = std::min(of.backlog + needed, of.quota.per_second * max_backlog_s);
        }
    }

    std::uint64_t time_to_issue_ms(bucket const& of, double missing) const
    {
        constexpr double ms_per_s = 1000.0;
        return static_cast<std::uint64_t>(
                   std::ceil(missing / (of.quota.per_second + extra_rate(of)) * ms_per_s)) +
               1;
    }

    quota_bounds const bounds;
    std::unordered_map<std::string, bucket> buckets; ///< By organisation, also those without a limit.
    /// Start and sequence number of the latest question of each instance.
    std::unordered_map<std::string, last_question> questions;
    steady_time next_forgetting;
    std::optional<steady_time> lease_begun;
    bool shares_unknown = false; ///< Shares that the holder before told may be in use.
    unsigned told_instances = 0; ///< The most that the holder before told of.
    unsigned instances_now = 0;  ///< That report to this one.
};

quota_issuer::quota_issuer(quota_bounds bounds) : impl_(std::make_unique<implementation>(bounds)) {}

quota_issuer::~quota_issuer() = default;

void quota_issuer::on_config(steady_time now, std::shared_ptr<serving_config const> const& config)
{
    std::unordered_map<std::string, bucket> kept;
    if (config->organisations)
    {
        for (organisation const& each : *config->organisations)
        {
            auto const known = impl_->buckets.find(each.name);
            bool const is_known = known != impl_->buckets.end();
            bucket& of = kept[each.name];
            of = is_known ? std::move(known->second) : bucket{};
            bool const was_limited = is_known && is_limited(of);
            of.quota = each.quota;
            of.terms = terms_of(each.quota, impl_->bounds);
            if (!was_limited)
            {
                // The holder before may have issued credit for it.
                of.unknown = impl_->takes_over(now) ? of.terms.capacity : 0.0;
                of.level = of.terms.capacity - of.unknown;
                of.returns_left = share_of_takeover * of.terms.for_takeover;
                of.filled_at = now;
            }
            if (is_limited(of))
            {
                impl_->refill(now, of);
            }
        }
    }
    impl_->buckets = std::move(kept);
}

void quota_issuer::begin_lease(steady_time now)
{
    impl_->lease_begun = now;
    impl_->questions.clear();
    impl_->told_instances = 0;
    for (auto& [name, of] : impl_->buckets)
    {
        of.outstanding.clear();
        of.outstanding_total = 0.0;
        of.told_shares = 0.0;
        of.next_expiry = steady_time::max();
        of.used.clear();
        of.extra = 0.0;
        of.level = share_of_takeover * of.terms.for_takeover;
        of.filled_at = now;
        of.unknown = of.terms.capacity;
        of.returns_left = share_of_takeover * of.terms.for_takeover;
        of.backlog = 0.0;
    }
}

void quota_issuer::resume_lease(steady_time now)
{
    for (auto& [name, of] : impl_->buckets)
    {
        // The shares add up to the rate, which is not added to the level for that time.
        of.filled_at = now;
        for (auto& [instance, credit] : of.outstanding)
        {
            credit.counted_until = std::max(credit.counted_until, now);
        }
    }
}

quota_reply quota_issuer::answer(steady_time now, unsigned instances, quota_question const& question)
{
    quota_reply reply;
    reply.sequence = question.sequence;
    reply.instances = instances;
    if (!impl_->is_new(now, question))
    {
        return reply;
    }
    impl_->shares_unknown = impl_->lease_begun && now - *impl_->lease_begun < held_share_lifetime;
    impl_->instances_now = instances;
    if (impl_->shares_unknown)
    {
        impl_->told_instances = std::max(impl_->told_instances, question.instances);
    }
    for (quota_need const& need : question.needs)
    {
        // An organisation that is not known here yet is left out; the instance asks again.
        auto const found = impl_->buckets.find(need.organisation);
        if (found != impl_->buckets.end())
        {
            quota_grant grant = impl_->serve(now, question, need, found->second);
            bool const waits = impl_->takes_over(now) && grant.room_after_ms <= max_takeover_wait_ms;
            grant.room_after_ms = waits ? 0 : grant.room_after_ms;
            grant.ask_after_ms = waits ? 0 : grant.ask_after_ms;
            reply.grants.push_back(std::move(grant));
        }
    }
    return reply;
}

std::vector<quota_issuer::standing> quota_issuer::take_changes(steady_time now)
{
    std::vector<standing> changes;
    for (auto& [name, of] : impl_->buckets)
    {
        bool const over = of.refused_at && now - *of.refused_at < over_limit_time;
        if (over != of.told_over)
        {
            of.told_over = over;
            changes.push_back(
                {name, of.quota.per_second, of.level, of.outstanding_total, of.terms.capacity, of.use, over});
        }
    }
    return changes;
}

} // namespace siskinusher
