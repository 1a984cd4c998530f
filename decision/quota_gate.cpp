#include "decision/quota_gate.hpp"

#include "decision/quota_terms.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <utility>

namespace siskinusher
{

namespace
{

// An account with less credit than it needs for the first time asks for as much as it needs for the second.
constexpr double low_credit_s = 0.5;
constexpr double wanted_credit_s = 1.5;
// Interval of questions for credit ahead of need, and of those that only tell what was returned.
constexpr duration ahead_interval = milliseconds{250};
// After a question without an answer, the next one waits this long: the holder may be changing.
constexpr duration retry_interval = milliseconds{100};
// An instance that has had no answer for this long lives on its share of what the limit tolerates.
constexpr duration holder_silence = milliseconds{1100};
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
// Requests whose cost is stated in one question for one organisation; the others wait for the next one.
constexpr std::size_t max_stated_requests = 64;

struct credit_lot
{
    std::uint64_t amount = 0;
    steady_time expires;
};

struct account
{
    std::deque<credit_lot> lots; ///< The first one expires first.
    std::deque<quota_request> waiting;
    std::uint64_t returned = 0; ///< Since the last question that was answered.
    std::uint64_t spent = 0;
    double need = 0.0; ///< Cost a second.
    steady_time need_at;
    double mean_cost = 0.0;
    steady_time refuse_until; ///< The holder named this time.
    double share_level = 0.0; ///< Of what the limit tolerates while no holder answers.
    steady_time share_at;
    steady_time used_at;
    std::optional<double> fleet_use;
    steady_time fleet_use_at;
};

// What a question said of an account, to be said again when it is not answered.
struct open_question
{
    std::uint64_t sequence = 0;
    steady_time asked_at;
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> told; ///< Returned and spent.
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

void drop_expired(steady_time now, account& of)
{
    while (!of.lots.empty() && now >= of.lots.front().expires)
    {
        of.returned += of.lots.front().amount;
        of.lots.pop_front();
    }
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

    void step_account(steady_time now, std::string const& name, account& of, std::vector<quota_step>& steps)
    {
        organisation_quota const* const limit = limit_of(name);
        drop_expired(now, of);
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
            }
            else if (!take_share(now, *limit, of, first.cost))
            {
                break;
            }
            steps.emplace_back(admit_request{first.number});
            of.waiting.pop_front();
        }
        if (now < of.refuse_until)
        {
            refuse_all(now, *limit, of, steps);
        }
        refuse_late(now, of, steps);
    }

    static void refuse_all(steady_time now, organisation_quota const& limit, account& of,
                           std::vector<quota_step>& steps)
    {
        std::uint64_t const held = credit_of(of);
        for (quota_request const& each : of.waiting)
        {
            duration const wait = std::min<duration>(of.refuse_until - now, max_retry_after);
            steps.emplace_back(refuse_over_limit{each.number, wait, held});
            // The callers do not come back together.
            auto const room =
                std::chrono::duration<double>(static_cast<double>(each.cost) / limit.per_second);
            of.refuse_until =
                std::min(of.refuse_until + std::chrono::duration_cast<duration>(room), now + max_retry_after);
        }
        of.waiting.clear();
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

    // While no holder answers, an instance uses an even share of what the limits tolerate: half of it at
    // once, the other half in the course of a window.
    bool take_share(steady_time now, organisation_quota const& limit, account& of, std::uint64_t cost)
    {
        bool const silent = unanswered_since && now - *unanswered_since >= holder_silence;
        if (!silent || instances == 0 || bounds.window <= duration{0})
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
        need.returned = of.returned;
        need.spent = of.spent;
        if (limit_of(name) == nullptr)
        {
            return need;
        }
        need.ahead = ahead_of(now, of);
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
        bool const may_ask_ahead = now >= next_ahead && now >= of.refuse_until;
        return !of.waiting.empty() || (may_ask_ahead && (of.returned > 0 || ahead_of(now, of) > 0));
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
    unsigned instances = 0;
};

quota_gate::quota_gate(quota_bounds bounds, std::string instance, std::uint64_t start)
    : impl_(std::make_unique<implementation>(bounds, std::move(instance), start))
{
}

quota_gate::~quota_gate() = default;

void quota_gate::on_config(std::shared_ptr<serving_config const> config)
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
    // Not to the credit in hand: a mass of refused requests could be spent again at once.
    account& of = impl_->accounts[organisation];
    of.returned += cost;
    of.spent -= std::min(of.spent, cost);
    of.used_at = now;
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
        bool const is_used = !of.lots.empty() || of.returned > 0 || implementation::ahead_of(now, of) > 0;
        if (is_used && impl_->limit_of(name) != nullptr && !impl_->open)
        {
            at(std::max({impl_->next_ahead, impl_->next_try, now + retry_interval}));
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
    open_question open{question.sequence, now, {}};
    for (auto& [name, of] : impl_->accounts)
    {
        drop_expired(now, of);
        quota_need need = impl_->need_for(now, name, of);
        if (need.held + need.ahead + need.returned + need.spent == 0 && need.waiting.empty())
        {
            continue;
        }
        open.told[name] = {of.returned, of.spent};
        of.returned = 0;
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
    impl_->instances = reply.instances;
    for (quota_grant const& grant : reply.grants)
    {
        account& of = impl_->accounts[grant.organisation];
        of.fleet_use = static_cast<double>(grant.spent_per_s);
        of.fleet_use_at = now;
        if (grant.granted > 0)
        {
            of.lots.push_back({grant.granted, asked_at + credit_lifetime});
        }
        if (grant.room_after_ms > max_smoothing_ms)
        {
            auto const wait = milliseconds{
                static_cast<std::int64_t>(std::min<std::uint64_t>(grant.room_after_ms, max_retry_after_ms))};
            of.refuse_until = now + wait;
        }
    }
    // What still waits, without a time for its return, is asked for again.
    bool const lacks = std::any_of(impl_->accounts.begin(), impl_->accounts.end(),
                                   [](auto const& each)
                                   {
                                       account const& of = each.second;
                                       return !of.waiting.empty() && of.waiting.front().cost > credit_of(of);
                                   });
    impl_->next_try = lacks ? now + retry_interval : now;
}

void quota_gate::on_no_reply(steady_time now)
{
    if (!impl_->open)
    {
        return;
    }
    for (auto const& [name, told] : impl_->open->told)
    {
        account& of = impl_->accounts[name];
        of.returned += told.first;
        of.spent += told.second;
    }
    impl_->unanswered_since = impl_->unanswered_since.value_or(impl_->open->asked_at);
    impl_->open.reset();
    impl_->next_try = now + retry_interval;
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
