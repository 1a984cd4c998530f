#pragma once

#include "decision/demand_table.hpp"

#include <map>
#include <set>
#include <string>

namespace siskinusher
{

/// How many replicas of each model the demand asks for, and what it costs when one leaves.
///
/// It answers models whose demand rises (more replicas, before one engine's queue grows) and many rare models
/// that ask for the same memory (the least asked for leaves).
class replica_policy
{
public:
    /// The demand must outlive the policy.
    explicit replica_policy(demand_table const& demand);

    /// Forgets the replicas, which are then added anew, engine by engine.
    void clear();
    /// An engine serves these models, or will soon; `places` is how many requests it runs at the same time.
    void add(std::set<std::string> const& models, unsigned places);

    unsigned held(std::string const& model) const;
    unsigned desired(std::string const& model) const;
    /// What the model's leaving would cost, in milliseconds of load time.
    double keep_ms(std::string const& model) const;
    /// `only_if_idle`: room is made for a model that nobody asks for yet.
    bool may_leave(std::string const& model, bool only_if_idle) const;

private:
    struct replica_count
    {
        unsigned held = 0;
        unsigned places = 0; ///< The most that one of the engines has.
    };

    demand_table const& demand_;
    std::map<std::string, replica_count> replicas_;
};

} // namespace siskinusher
