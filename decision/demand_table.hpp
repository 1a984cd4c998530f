#pragma once

#include "domain/placement_exchange.hpp"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace siskinusher
{

/// Demand for one model or adapter, summed over all instances.
struct demand_sum
{
    unsigned priority = 9; ///< The most urgent one of the requests; a lower number is more urgent.
    unsigned waiting = 0;
    unsigned running = 0;
    double rate = 0.0;         ///< Requests a second, averaged over about five seconds.
    steady_time waiting_since; ///< Since when at least one request has waited; the epoch when none waits.
};

/// The demand of the whole fleet, summed from the reports of its instances.
class demand_table
{
public:
    using key = std::pair<std::string, std::string>; ///< Model and adapter.

    void on_report(steady_time now, demand_report const& report);
    /// Drops the reports of silent instances, updates the rates and sums the remaining reports.
    void advance(steady_time now);

    /// Demand for the model without an adapter, or for one of its adapters.
    demand_sum demand_of(key const& which) const;
    /// Demand for the model with any adapter or none.
    demand_sum demand_of_model(std::string const& model) const;
    std::vector<std::pair<key, demand_sum>> all_demands() const;
    /// Instances whose last report is recent.
    std::size_t instances() const { return instances_.size(); }

private:
    struct instance_demand
    {
        steady_time reported_at;
        std::vector<model_demand> models;
    };
    struct history
    {
        double rate = 0.0;
        steady_time waiting_since;
    };

    void rebuild(steady_time now);

    std::map<std::string, instance_demand> instances_;
    std::map<key, history> histories_;
    std::map<key, demand_sum> sums_;
    std::map<std::string, demand_sum> by_model_;
    steady_time advanced_at_;
};

} // namespace siskinusher
