#pragma once

#include "core/steady_time.hpp"

#include <cstddef>
#include <string>
#include <unordered_map>

namespace siskinusher
{

/// Tells how much of the capacity for a model, or for a plain service, each organisation has used of late, so
/// that scarce capacity goes to the organisation that has used the least.
///
/// Use is a sum of costs that decays with a time constant of 4 s. It is designed for floods by some of 10,000
/// organisations (they use the most, and are served last) and for floods at other instances, which count
/// through the use that the lease holder reports. See docs/design/fair-share.md.
class fair_order
{
public:
    /// A request of the organisation was sent to a server.
    void on_assigned(steady_time now, std::string const& organisation, double cost);
    /// Use by all instances together, this one included, in cost a second. A report within 0.4 s of the one
    /// before is ignored: the same figure told again would hide what was assigned here since.
    void on_fleet_use(steady_time now, std::string const& organisation, double cost_per_s);
    /// The organisation begins to wait after a time without waiting requests. Its use is raised to `least`,
    /// the least use among those that wait already.
    void on_return(steady_time now, std::string const& organisation, double least);

    double use(steady_time now, std::string const& organisation) const;
    /// Cost assigned at this instance of late.
    double own_use(steady_time now, std::string const& organisation) const;
    /// Mean cost of the organisation's requests; of all organisations' when none of its own is known.
    double cost_per_request(std::string const& organisation) const;
    /// Mean cost of the requests of all organisations; 1 before the first.
    double cost_per_request() const { return mean_cost_; }
    /// Forgets organisations that nothing was told of for 30 s: less than a thousandth of their use is left.
    /// The functions that change a use call it.
    void forget_unused(steady_time now);
    /// Organisations that are remembered.
    std::size_t size() const { return accounts_.size(); }

private:
    struct account
    {
        double own = 0.0;                         ///< Cost assigned here.
        double elsewhere = 0.0;                   ///< Use by other instances, as reported.
        double raised = 0.0;                      ///< Added when it began to wait.
        double mean_cost = 0.0;                   ///< Zero before the first request.
        steady_time at;                           ///< To which the sums have been decayed.
        steady_time told_at = steady_time::min(); ///< Of the last report of the use by all instances.
    };

    account& account_of(steady_time now, std::string const& organisation);

    std::unordered_map<std::string, account> accounts_;
    double mean_cost_ = 1.0;
    bool knows_cost_ = false;
    steady_time next_sweep_;
};

} // namespace siskinusher
