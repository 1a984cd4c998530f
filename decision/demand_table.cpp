#include "decision/demand_table.hpp"

#include <algorithm>
#include <cmath>

namespace siskinusher
{

namespace
{

// Time constant of the decay of request rates. Demand moves to other models within five to ten seconds.
constexpr double demand_decay_s = 5.0;
// A report counts for this time. Instances report every 500 ms.
constexpr duration report_lifetime = seconds{2};
// The rate of a model or adapter is dropped below this many requests a second.
constexpr double min_kept_rate = 0.001;

double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

void add(demand_sum& sum, demand_sum const& part)
{
    sum.priority = std::min(sum.priority, part.priority);
    sum.waiting += part.waiting;
    sum.running += part.running;
    sum.rate += part.rate;
    if (part.waiting > 0 && (sum.waiting_since == steady_time{} || part.waiting_since < sum.waiting_since))
    {
        sum.waiting_since = part.waiting_since;
    }
}

} // namespace

void demand_table::on_report(steady_time now, demand_report const& report)
{
    for (model_demand const& each : report.models)
    {
        histories_[{each.model, each.adapter}].rate += each.arrivals / demand_decay_s;
    }
    instances_[report.instance] = {now, report.models};
}

void demand_table::advance(steady_time now)
{
    double const elapsed_s = advanced_at_ == steady_time{} ? 0.0 : to_seconds(now - advanced_at_);
    advanced_at_ = now;
    double const decay = std::exp(-elapsed_s / demand_decay_s);
    for (auto each = histories_.begin(); each != histories_.end();)
    {
        each->second.rate *= decay;
        each = each->second.rate < min_kept_rate ? histories_.erase(each) : std::next(each);
    }
    for (auto each = instances_.begin(); each != instances_.end();)
    {
        each = now - each->second.reported_at > report_lifetime ? instances_.erase(each) : std::next(each);
    }
    rebuild(now);
}

void demand_table::rebuild(steady_time now)
{
    sums_.clear();
    for (auto const& [name, instance] : instances_)
    {
        for (model_demand const& each : instance.models)
        {
            demand_sum& sum = sums_[{each.model, each.adapter}];
            sum.priority = std::min(sum.priority, each.priority);
            sum.waiting += each.waiting;
            sum.running += each.running;
        }
    }
    for (auto const& [which, past] : histories_)
    {
        sums_[which].rate = past.rate;
    }
    by_model_.clear();
    for (auto& [which, sum] : sums_)
    {
        if (sum.waiting > 0)
        {
            history& past = histories_[which];
            past.waiting_since = past.waiting_since == steady_time{} ? now : past.waiting_since;
            past.rate = std::max(past.rate, min_kept_rate);
            sum.waiting_since = past.waiting_since;
        }
        else if (auto const past = histories_.find(which); past != histories_.end())
        {
            past->second.waiting_since = {};
        }
        add(by_model_[which.first], sum);
    }
}

demand_sum demand_table::demand_of(key const& which) const
{
    auto const found = sums_.find(which);
    return found == sums_.end() ? demand_sum{} : found->second;
}

demand_sum demand_table::demand_of_model(std::string const& model) const
{
    auto const found = by_model_.find(model);
    return found == by_model_.end() ? demand_sum{} : found->second;
}

std::vector<std::pair<demand_table::key, demand_sum>> demand_table::all_demands() const
{
    return {sums_.begin(), sums_.end()};
}

} // namespace siskinusher
