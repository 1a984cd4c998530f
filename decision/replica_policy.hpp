#pragma once

#include "decision/demand_table.hpp"

#include <map>
#include <set>
#include <string>

namespace siskinusher
{

/// Computes how many replicas of each model the demand requires, and what it costs to unload one.
///
/// A model whose demand rises gets more replicas before the queue of one engine grows. When many rarely used
/// models compete for the same memory, the least requested one is unloaded.
class replica_policy
{
public:
    /// `demand` must outlive the policy.
    explicit replica_policy(demand_table const& demand);

    /// Removes all replicas; add() then enters the current ones, engine by engine.
    void clear();
    /// Adds an engine that serves these models or will soon; `places` is the number of requests that it can
    /// run at the same time.
    void add(std::set<std::string> const& models, unsigned places);

    unsigned replica_count(std::string const& model) const;
    unsigned desired(std::string const& model) const;
    /// Estimated cost of unloading a replica of the model, in milliseconds of load time.
    double unload_cost_ms(std::string const& model) const;
    /// True when a replica of the model may be unloaded. `only_if_idle` is set when the memory is for a model
    /// without requests yet.
    bool may_unload(std::string const& model, bool only_if_idle) const;

private:
    struct model_replicas
    {
        unsigned count = 0;
        unsigned places = 0; ///< Largest number of places of any engine that holds the model.
    };

    demand_table const& demand_;
    std::map<std::string, model_replicas> replicas_;
};

} // namespace siskinusher
