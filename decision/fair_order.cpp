#include "decision/fair_order.hpp"

#include <algorithm>
#include <cmath>

namespace siskinusher
{

namespace
{

// Long beside the time between the lease holder's reports (0.5 s), short beside a flood.
constexpr double use_time_s = 4.0;
// An organisation that was not used for this time is forgotten: less than a thousandth of its use is left.
constexpr duration forget_after = seconds{30};
// A sweep over 10,000 organisations takes less than a millisecond.
constexpr duration sweep_interval = seconds{5};
// The lease holder is asked every 0.5 s.
constexpr duration min_report_interval = milliseconds{400};
// Weight of one request in the mean cost.
constexpr double mean_weight = 1.0 / 16.0;

double decay(steady_time from, steady_time to)
{
    double const passed_s = std::chrono::duration<double>(to - from).count();
    return std::exp(-std::max(passed_s, 0.0) / use_time_s);
}

} // namespace

fair_order::account& fair_order::account_of(steady_time now, std::string const& organisation)
{
    forget_unused(now);
    account& of = accounts_[organisation];
    double const left = decay(of.at, now);
    of.own *= left;
    of.elsewhere *= left;
    of.raised *= left;
    of.at = std::max(of.at, now);
    return of;
}

void fair_order::forget_unused(steady_time now)
{
    if (now < next_sweep_)
    {
        return;
    }
    next_sweep_ = now + sweep_interval;
    for (auto each = accounts_.begin(); each != accounts_.end();)
    {
        each = now - each->second.at >= forget_after ? accounts_.erase(each) : std::next(each);
    }
}

void fair_order::on_assigned(steady_time now, std::string const& organisation, double cost)
{
    account& of = account_of(now, organisation);
    of.own += cost;
    of.mean_cost = of.mean_cost > 0.0 ? of.mean_cost + (cost - of.mean_cost) * mean_weight : cost;
    mean_cost_ = knows_cost_ ? mean_cost_ + (cost - mean_cost_) * mean_weight : cost;
    knows_cost_ = true;
}

void fair_order::on_fleet_use(steady_time now, std::string const& organisation, double cost_per_s)
{
    if (cost_per_s <= 0.0 && accounts_.count(organisation) == 0)
    {
        return;
    }
    account& of = account_of(now, organisation);
    if (of.told_at != steady_time::min() && now - of.told_at < min_report_interval)
    {
        return;
    }
    of.told_at = now;
    // The reported use includes what was assigned here.
    of.elsewhere = std::max(cost_per_s * use_time_s - of.own, 0.0);
}

void fair_order::on_return(steady_time now, std::string const& organisation, double least)
{
    double const missing = least - use(now, organisation);
    if (missing > 0.0)
    {
        account_of(now, organisation).raised += missing;
    }
}

double fair_order::use(steady_time now, std::string const& organisation) const
{
    auto const found = accounts_.find(organisation);
    if (found == accounts_.end())
    {
        return 0.0;
    }
    account const& of = found->second;
    return (of.own + of.elsewhere + of.raised) * decay(of.at, now);
}

double fair_order::own_use(steady_time now, std::string const& organisation) const
{
    auto const found = accounts_.find(organisation);
    return found == accounts_.end() ? 0.0 : found->second.own * decay(found->second.at, now);
}

double fair_order::cost_per_request(std::string const& organisation) const
{
    auto const found = accounts_.find(organisation);
    return found == accounts_.end() || found->second.mean_cost <= 0.0 ? mean_cost_ : found->second.mean_cost;
}

} // namespace siskinusher
