#include "decision/quota_gate.hpp"

#include "decision/quota_terms.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <numeric>
#include <utility>

namespace siskinusher
{

namespace
{

// An account with less credit than it needs for the first time asks for as much as it needs for the second.
constexpr double low_credit_s = 0.5;
constexpr double wanted_credit_s = 1.5;
// Interval of questions for credit ahead of need, and of those that only tell what was returned or spent.
constexpr duration ahead_interval = milliseconds{250};
// After a question without an answer, the next one waits this long: the holder may be changing, or have a
// slow link.
constexpr duration retry_interval = milliseconds{250};
// The first ones wait for less: a request with a limit of 1 s was refused after two late replies.
constexpr duration first_retry_interval = milliseconds{100};
constexpr unsigned first_retries = 2;
// Questions of an instance are at least this far apart: the holder may have a link of 10 Mbit/s for the
// questions of all instances.
constexpr duration min_question_interval = milliseconds{40};
// An instance that has a share of a rate tells the holder at least this often that it needs no share any
// more, or that it is there: the holder counts with a silent instance spending it.
constexpr duration share_interval = milliseconds{800};
// A share that was not spent is kept for this long, or up to the cost of this many requests: with one,
// requests above the mean cost were never served.
constexpr double max_saved_share_s = 1.0;
constexpr double max_saved_requests = 2.0;
// Most times without a holder are shorter; requests wait for its return before the share decides about them.
constexpr duration short_absence = seconds{2};
// Waiting requests are looked at this often while a share is spent.
constexpr duration share_poll = milliseconds{50};
// An account with something to tell is looked at no more often than this.
constexpr duration news_poll = milliseconds{100};
// Time constant of the measured need of an organisation.
constexpr double need_time_s = 2.0;
constexpr double mean_cost_weight = 0.2;
// The holder measures the use of an organisation with the same time constant.
constexpr double fleet_use_decay_s = 2.0;
// Accounts that were not used for this long are forgotten.
constexpr duration account_lifetime = seconds{30};
// Callers of an organisation that is over its limit are told to come back within this time at most: later
// they have given up.
constexpr std::uint64_t max_retry_after_ms = 4000;
constexpr duration max_retry_after = milliseconds{max_retry_after_ms};
// A request waits for room that comes within this time. An organisation that is hardly over its limit is
// smoothed so, and the caller is spared a second try.
constexpr std::uint64_t max_smoothing_ms = 150;
// Then it asks again.
constexpr duration smoothing_interval = milliseconds{150};
// An organisation without room is not asked for again for this time at least: otherwise all instances would
// ask the holder for each request of a flood.
constexpr std::uint64_t min_refusal_ms = 200;
// Requests whose cost is stated in one question for one organisation; the others wait for the next one.
constexpr std::size_t max_stated_requests = 64;

struct credit_lot
{
    std::uint64_t amount = 0;
    steady_time expires;
};

// Cost by the time from which on it counts, in parts of a window.
using dated_cost = std::map<steady_time, std::uint64_t>;

struct account
{
    std::deque<credit_lot> lots; ///< The first one expires first.
    std::deque<quota_request> waiting;
    dated_cost admitted; ///< With credit, within the last window.
    dated_cost returned; ///< Since the last question.
    std::uint64_t spent = 0;
    double need = 0.0; ///< Cost a second.
    steady_time need_at;
    double mean_cost = 0.0;
    steady_time refuse_until; ///< There is no room, and the holder is not asked before.
    steady_time told_until;   ///< The latest time that a refused caller was told.
    double share_level = 0.0; ///< Of what the limit tolerates while no holder answers.
    steady_time share_at;
    steady_time used_at;
    steady_time asked_at; ///< Of the last question that named it.
    std::optional<double> fleet_use;
    double rate_share = 0.0; ///< Units a second, by the holder, for a time without one.
    steady_time rate_share_until;
    double saved_share = 0.0;
    steady_time saved_at;
    steady_time fleet_use_at;
};

// What a question said of an account, to be said again when it is not answered.
struct open_question
{
    std::uint64_t sequence = 0;
    steady_time asked_at;
    std::map<std::string, std::uint64_t> told; ///< Spent.
};

double seconds_between(steady_time from, steady_time to)
{
    return std::max(std::chrono::duration<double>(to - from).count(), 0.0);
}

std::uint64_t credit_of(account const& of)
{
    std::uint64_t sum = 0;
    for (credit_lot const& each : of.lots)
    {
        sum += each.amount;
    }
    return sum;
}

double need_of(steady_time now, account const& of)
{
    return of.need * std::exp(-seconds_between(of.need_at, now) / need_time_s);
}

std::uint64_t sum_of(dated_cost const& of)
{
    return std::accumulate(of.begin(), of.end(), std::uint64_t{0},
                           [](std::uint64_t sum, auto const& each) { return sum + each.second; });
}

void spend(account& of, std::uint64_t cost)
{
    of.spent += cost;
    while (cost > 0)
    {
        credit_lot& lot = of.lots.front();
        std::uint64_t const part = std::min(cost, lot.amount);
        lot.amount -= part;
        cost -= part;
        if (lot.amount == 0)
        {
            of.lots.pop_front();
        }
    }
}

} // namespace

class quota_gate::implementation
{
public:
    implementation(quota_bounds bounds_in, std::string instance_in, std::uint64_t start_in)
        : bounds(bounds_in), instance(std::move(instance_in)), start(start_in)
    {
    }

    // The limit of an organisation; null when it has none.
    organisation_quota const* limit_of(std::string const& name) const
    {
        auto const found = limits.find(name);
        return found == limits.end() ? nullptr : &found->second;
    }

    // Adds to the part of a window in which `at` is; a part counts from its beginning.
    void add(dated_cost& to, steady_time at, std::uint64_t cost) const
    {
        constexpr int window_parts = 32;
        duration const length = std::max<duration>(bounds.window / window_parts, microseconds{1});
        to[at - at.time_since_epoch() % length] += cost;
    }

    // What counts from before the last window cannot be used again: it is in no window that is still open.
    void drop_old(steady_time now, dated_cost& of) const
    {
        of.erase(of.begin(), of.upper_bound(now - bounds.window));
    }

    void drop_expired(steady_time now, account& of) const
    {
        while (!of.lots.empty() && now >= of.lots.front().expires)
        {
            add(of.returned, of.lots.front().expires, of.lots.front().amount);
            of.lots.pop_front();
        }
        drop_old(now, of.returned);
        drop_old(now, of.admitted);
    }

    // Work that was admitted in the last window and did not run is returned. Which work it was is not known:
    // the oldest, which counts for the shortest time.
    void give_back(steady_time now, account& of, std::uint64_t cost) const
    {
        drop_old(now, of.admitted);
        while (cost > 0 && !of.admitted.empty())
        {
            auto const oldest = of.admitted.begin();
            std::uint64_t const part = std::min(cost, oldest->second);
            add(of.returned, oldest->first, part);
            oldest->second -= part;
            cost -= part;
            if (oldest->second == 0)
            {
                of.admitted.erase(oldest);
            }
        }
    }

    void step_account(steady_time now, std::string const& name, account& of, std::vector<quota_step>& steps)
    {
        organisation_quota const* const limit = limit_of(name);
        drop_expired(now, of);
        refuse_unfitting(limit, of, steps);
        while (!of.waiting.empty())
        {
            quota_request const& first = of.waiting.front();
            if (limit == nullptr)
            {
                of.spent += first.cost;
            }
            else if (first.cost <= credit_of(of))
            {
                spend(of, first.cost);
                add(of.admitted, now, first.cost);
            }
            else if (!take_rate_share(now, of, first.cost) && !take_share(now, *limit, of, first.cost))
            {
                break;
            }
            steps.emplace_back(admit_request{first.number});
            of.waiting.pop_front();
        }
        if (limit != nullptr && now < of.refuse_until)
        {
            refuse_all(now, *limit, of, steps);
        }
        refuse_unaffordable(now, of, steps);
        refuse_late(now, of, steps);
    }

    // The time told to callers grows with what was told to come back before, so that they do not come back
    // together. The time at which the holder is asked again stays: a flood would put it off for ever.
    static void refuse_all(steady_time now, organisation_quota const& limit, account& of,
                           std::vector<quota_step>& steps)
    {
        std::uint64_t const held = credit_of(of);
        for (quota_request const& each : of.waiting)
        {
            of.told_until = std::min(std::max(of.told_until, of.refuse_until), now + max_retry_after);
            steps.emplace_back(refuse_over_limit{each.number, of.told_until - now, held});
            auto const room =
                std::chrono::duration<double>(static_cast<double>(each.cost) / limit.per_second);
            of.told_until += std::chrono::duration_cast<duration>(room);
        }
        of.waiting.clear();
    }

    // A request that never fits would make all others of its organisation wait for a time that never comes.
    void refuse_unfitting(organisation_quota const* limit, account& of, std::vector<quota_step>& steps) const
    {
        if (limit == nullptr || of.waiting.empty())
        {
            return;
        }
        quota_terms const terms = terms_of(*limit, bounds);
        for (auto each = of.waiting.begin(); each != of.waiting.end();)
        {
            if (can_fit(terms, each->cost))
            {
                ++each;
                continue;
            }
            steps.emplace_back(refuse_over_limit{each->number, max_retry_after, credit_of(of)});
            each = of.waiting.erase(each);
        }
    }

    static void refuse_late(steady_time now, account& of, std::vector<quota_step>& steps)
    {
        for (auto each = of.waiting.begin(); each != of.waiting.end();)
        {
            if (now < each->refuse_at)
            {
                ++each;
                continue;
            }
            steps.emplace_back(refuse_unchecked{each->number, now - each->submitted_at});
            each = of.waiting.erase(each);
        }
    }

    // The time since which the instance lives on its shares; none while a holder answers.
    std::optional<steady_time> without_holder_since(steady_time now) const
    {
        if (nobody_issues_since)
        {
            return nobody_issues_since;
        }
        bool const silent = unanswered_since && now - *unanswered_since >= holder_silence;
        return silent ? std::optional(*unanswered_since + holder_silence) : std::nullopt;
    }

    // While no holder answers, the organisation's rate is shared as it was used before.
    bool take_rate_share(steady_time now, account& of, std::uint64_t cost) const
    {
        auto const since = without_holder_since(now);
        if (!since || of.rate_share <= 0.0)
        {
            return false;
        }
        steady_time const until = std::min(now, of.rate_share_until);
        bool const begins = of.saved_at < *since;
        double const most = std::max(of.rate_share * max_saved_share_s, max_saved_requests * of.mean_cost);
        of.saved_share = std::min((begins ? 0.0 : of.saved_share) +
                                      of.rate_share * seconds_between(begins ? *since : of.saved_at, until),
                                  most);
        of.saved_at = std::max(now, *since);
        if (static_cast<double>(cost) > of.saved_share)
        {
            return false;
        }
        of.saved_share -= static_cast<double>(cost);
        of.spent += cost;
        return true;
    }

    // Requests that the share cannot serve in time are refused at once.
    void refuse_unaffordable(steady_time now, account& of, std::vector<quota_step>& steps) const
    {
        // Two replies may have been late; the next question is answered within the request's time.
        auto const since = without_holder_since(now);
        bool const is_lost = since && now - *since >= short_absence && unanswered > first_retries;
        if (!is_lost || of.rate_share <= 0.0)
        {
            return;
        }
        double missing = -of.saved_share;
        for (auto each = of.waiting.begin(); each != of.waiting.end();)
        {
            double const with_this = missing + static_cast<double>(each->cost);
            steady_time const served_at =
                now + std::chrono::duration_cast<duration>(
                          std::chrono::duration<double>(std::max(with_this, 0.0) / of.rate_share));
            if (served_at <= std::min(each->refuse_at, of.rate_share_until))
            {
                missing = with_this;
                ++each;
                continue;
            }
            steps.emplace_back(refuse_unchecked{each->number, now - each->submitted_at});
            each = of.waiting.erase(each);
        }
    }

    // While no holder answers, an instance uses an even share of what the limits tolerate: half of it at
    // once, the other half in the course of a window.
    bool take_share(steady_time now, organisation_quota const& limit, account& of, std::uint64_t cost)
    {
        if (!without_holder_since(now) || instances == 0 || bounds.window <= duration{0})
        {
            return false;
        }
        double const most = terms_of(limit, bounds).without_holder / 2.0 / instances;
        double const passed = of.share_at == steady_time{}
                                  ? std::chrono::duration<double>(bounds.window).count()
                                  : seconds_between(of.share_at, now);
        of.share_level = std::min(
            of.share_level + most * passed / std::chrono::duration<double>(bounds.window).count(), most);
        of.share_at = now;
        if (static_cast<double>(cost) > of.share_level)
        {
            return false;
        }
        of.share_level -= static_cast<double>(cost);
        of.spent += cost;
        return true;
    }

    // Credit wanted for requests to come; less than one request is not worth a question.
    static std::uint64_t ahead_of(steady_time now, account const& of)
    {
        double const need = need_of(now, of);
        auto const credit = static_cast<double>(credit_of(of));
        double const wanted = wanted_credit_s * need - credit;
        bool const low = credit < low_credit_s * need;
        return low && wanted >= of.mean_cost ? static_cast<std::uint64_t>(wanted) : 0;
    }

    quota_need need_for(steady_time now, std::string const& name, account& of) const
    {
        quota_need need;
        need.organisation = name;
        need.held = credit_of(of);
        need.returned = sum_of(of.returned);
        need.spent = of.spent;
        if (limit_of(name) == nullptr)
        {
            return need;
        }
        need.ahead = ahead_of(now, of);
        need.typical = static_cast<std::uint64_t>(of.mean_cost);
        std::uint64_t available = need.held;
        for (quota_request const& each : of.waiting)
        {
            if (need.waiting.size() >= max_stated_requests)
            {
                break;
            }
            // Credit in hand counts for the first ones.
            std::uint64_t const covered = std::min(available, each.cost);
            available -= covered;
            need.waiting.push_back(each.cost - covered);
        }
        return need;
    }

    // True when there is a reason for a question about the account.
    bool wants_question(steady_time now, std::string const& name, account const& of) const
    {
        if (limit_of(name) == nullptr)
        {
            return false;
        }
        // Credit counts against the limit at the holder until it is told to be spent.
        bool const has_news = !of.returned.empty() || of.spent > 0;
        bool const wants_ahead = now >= of.refuse_until && ahead_of(now, of) > 0;
        return !of.waiting.empty() || (now >= next_ahead && (has_news || wants_ahead)) ||
               (of.rate_share > 0.0 && now >= of.asked_at + share_interval);
    }

    // A question that is sent for one organisation tells of others only what is worth its bytes.
    static bool belongs_in_question(steady_time now, quota_need const& need, account const& of)
    {
        bool const has_news = need.held + need.ahead + need.returned + need.spent > 0 || of.rate_share > 0.0;
        return !need.waiting.empty() || (has_news && now >= of.asked_at + ahead_interval);
    }

    void forget_unused(steady_time now)
    {
        for (auto each = accounts.begin(); each != accounts.end();)
        {
            account const& of = each->second;
            bool const unused = of.waiting.empty() && of.lots.empty() && now - of.used_at >= account_lifetime;
            each = unused ? accounts.erase(each) : std::next(each);
        }
    }

    quota_bounds const bounds;
    std::string const instance;
    std::uint64_t const start;
    std::map<std::string, organisation_quota> limits; ///< Of the organisations that have one.
    std::map<std::string, account> accounts;
    std::optional<open_question> open;
    std::uint64_t last_sequence = 0;
    steady_time next_ahead;
    steady_time next_try; ///< After a question without an answer.
    std::optional<steady_time> unanswered_since;
    std::optional<steady_time> nobody_issues_since;
    unsigned unanswered = 0; ///< Questions since then.
    unsigned instances = 0;
};

quota_gate::quota_gate(quota_bounds bounds, std::string instance, std::uint64_t start)
    : impl_(std::make_unique<implementation>(bounds, std::move(instance), start))
{
}

quota_gate::~quota_gate() = default;

void quota_gate::on_config(std::shared_ptr<serving_config const> const& config)
{
    impl_->limits.clear();
    if (!config->organisations)
    {
        return;
    }
    for (organisation const& each : *config->organisations)
    {
        if (each.quota.per_second > 0.0)
        {
            impl_->limits[each.name] = each.quota;
        }
    }
}

void quota_gate::submit(steady_time now, quota_request request)
{
    account& of = impl_->accounts[request.organisation];
    auto const cost = static_cast<double>(request.cost);
    of.need = need_of(now, of) + cost / need_time_s;
    of.need_at = now;
    of.mean_cost += (of.mean_cost > 0.0 ? mean_cost_weight : 1.0) * (cost - of.mean_cost);
    of.used_at = now;
    request.submitted_at = now;
    of.waiting.push_back(std::move(request));
}

void quota_gate::withdraw(request_number number)
{
    for (auto& [name, of] : impl_->accounts)
    {
        auto const found =
            std::find_if(of.waiting.begin(), of.waiting.end(),
                         [number](quota_request const& each) { return each.number == number; });
        if (found != of.waiting.end())
        {
            of.waiting.erase(found);
            return;
        }
    }
}

void quota_gate::give_back(steady_time now, std::string const& organisation, std::uint64_t cost)
{
    account& of = impl_->accounts[organisation];
    of.used_at = now;
    if (impl_->limit_of(organisation) == nullptr)
    {
        of.spent -= std::min(of.spent, cost);
        return;
    }
    // Not to the credit in hand: a mass of refused requests could be spent again at once.
    impl_->give_back(now, of, cost);
}

std::vector<quota_step> quota_gate::step(steady_time now)
{
    std::vector<quota_step> steps;
    for (auto& [name, of] : impl_->accounts)
    {
        impl_->step_account(now, name, of, steps);
    }
    impl_->forget_unused(now);
    return steps;
}

std::optional<steady_time> quota_gate::next_due(steady_time now) const
{
    std::optional<steady_time> due;
    auto const at = [&due](steady_time when) { due = due ? std::min(*due, when) : when; };
    for (auto const& [name, of] : impl_->accounts)
    {
        for (quota_request const& each : of.waiting)
        {
            at(each.refuse_at);
        }
        if (!of.waiting.empty() && !impl_->open)
        {
            at(std::max(impl_->next_try, now));
        }
        if (!of.waiting.empty() && impl_->without_holder_since(now) && of.rate_share > 0.0)
        {
            at(now + share_poll);
        }
        if (of.rate_share > 0.0 && !impl_->open)
        {
            at(std::max(impl_->next_try, of.asked_at + share_interval));
        }
        bool const is_used =
            !of.lots.empty() || !of.returned.empty() || of.spent > 0 || implementation::ahead_of(now, of) > 0;
        if (is_used && impl_->limit_of(name) != nullptr && !impl_->open)
        {
            at(std::max({impl_->next_ahead, impl_->next_try, now + news_poll}));
        }
    }
    return due;
}

std::optional<quota_question> quota_gate::next_question(steady_time now)
{
    bool const wanted = !impl_->open && now >= impl_->next_try &&
                        std::any_of(impl_->accounts.begin(), impl_->accounts.end(),
                                    [this, now](auto const& each)
                                    { return impl_->wants_question(now, each.first, each.second); });
    if (!wanted)
    {
        return std::nullopt;
    }
    quota_question question;
    question.instance = impl_->instance;
    question.start = impl_->start;
    question.sequence = ++impl_->last_sequence;
    question.instances = impl_->instances;
    open_question open{question.sequence, now, {}};
    for (auto& [name, of] : impl_->accounts)
    {
        impl_->drop_expired(now, of);
        quota_need need = impl_->need_for(now, name, of);
        if (!impl_->belongs_in_question(now, need, of))
        {
            continue;
        }
        open.told[name] = of.spent;
        of.asked_at = now;
        of.returned.clear();
        of.spent = 0;
        question.needs.push_back(std::move(need));
    }
    impl_->open = std::move(open);
    impl_->next_ahead = now + ahead_interval;
    return question;
}

void quota_gate::on_reply(steady_time now, quota_reply const& reply)
{
    if (!impl_->open || impl_->open->sequence != reply.sequence)
    {
        return;
    }
    steady_time const asked_at = impl_->open->asked_at;
    impl_->open.reset();
    impl_->unanswered_since.reset();
    impl_->nobody_issues_since.reset();
    impl_->unanswered = 0;
    impl_->instances = reply.instances;
    for (quota_grant const& grant : reply.grants)
    {
        account& of = impl_->accounts[grant.organisation];
        of.fleet_use = static_cast<double>(grant.spent_per_s);
        of.rate_share = static_cast<double>(grant.share_per_s);
        of.rate_share_until = asked_at + share_lifetime;
        of.fleet_use_at = now;
        if (grant.granted > 0)
        {
            of.lots.push_back({grant.granted, asked_at + credit_lifetime});
        }
        if (grant.room_after_ms > max_smoothing_ms)
        {
            auto const from_now = [now](std::uint64_t ms) {
                return now + milliseconds{
                                 static_cast<std::int64_t>(std::min<std::uint64_t>(ms, max_retry_after_ms))};
            };
            of.refuse_until = from_now(std::max(grant.ask_after_ms, min_refusal_ms));
            of.told_until = std::max(of.told_until, from_now(grant.room_after_ms));
        }
    }
    // What still waits, without a time for its return, is asked for again.
    bool const lacks = std::any_of(impl_->accounts.begin(), impl_->accounts.end(),
                                   [](auto const& each)
                                   {
                                       account const& of = each.second;
                                       return !of.waiting.empty() && of.waiting.front().cost > credit_of(of);
                                   });
    impl_->next_try = std::max(asked_at + min_question_interval, lacks ? now + smoothing_interval : now);
}

void quota_gate::on_no_reply(steady_time now, bool nobody_issues)
{
    if (!impl_->open)
    {
        return;
    }
    // What was returned is not told again: the holder may have added it to the level, and only the reply was
    // lost. What was spent may be counted twice.
    for (auto const& [name, spent] : impl_->open->told)
    {
        impl_->accounts[name].spent += spent;
    }
    impl_->unanswered_since = impl_->unanswered_since.value_or(impl_->open->asked_at);
    if (nobody_issues)
    {
        impl_->nobody_issues_since = impl_->nobody_issues_since.value_or(now);
    }
    impl_->open.reset();
    ++impl_->unanswered;
    impl_->next_try = now + (impl_->unanswered <= first_retries ? first_retry_interval : retry_interval);
}

std::size_t quota_gate::waiting() const
{
    std::size_t sum = 0;
    for (auto const& [name, of] : impl_->accounts)
    {
        sum += of.waiting.size();
    }
    return sum;
}

std::optional<double> quota_gate::fleet_use(steady_time now, std::string const& organisation) const
{
    auto const found = impl_->accounts.find(organisation);
    if (found == impl_->accounts.end() || !found->second.fleet_use)
    {
        return std::nullopt;
    }
    double const age_s = std::chrono::duration<double>(now - found->second.fleet_use_at).count();
    return *found->second.fleet_use * std::exp(-age_s / fleet_use_decay_s);
}

} // namespace siskinusher
