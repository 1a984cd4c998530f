#include "decision/replica_policy.hpp"

#include <algorithm>
#include <cmath>

namespace siskinusher
{

namespace
{

// Number of requests of a model at one engine beyond which a further replica is worth its memory. On engines
// with few places, half of the places is the limit instead.
constexpr double max_requests_per_replica = 16.0;
constexpr double max_share_of_places = 0.5;
// A model with at least this many requests a second gets two replicas, so that it is still served after the
// loss of an engine.
constexpr double two_replica_rate = 0.8;
// Requests a second of one model at one engine. The engine processes each prompt between the tokens of other
// requests. At this rate and 900 tokens a prompt, this takes a tenth of its time, so that gaps between tokens
// stay short.
constexpr double rate_per_replica = 4.0;
constexpr unsigned max_desired_replicas = 8;
// Cost of unloading, in ms of load time, for each request a second of the model.
constexpr double cost_ms_per_rate = 2500.0;
// Factor for models with requests of the most urgent priority. These are late after 400 ms, less than any
// load from disk takes.
constexpr double most_urgent_cost_factor = 4.0;
// Added to the cost of the last replica, so that among unused models those with several replicas are unloaded
// first.
constexpr double last_replica_cost_ms = 20.0;
// A model with fewer requests a second may be unloaded for a model that is loaded before any request for it.
constexpr double idle_rate = 0.3;
constexpr unsigned max_formerly_busy_replicas = 3;

} // namespace

replica_policy::replica_policy(demand_table const& demand) : demand_(demand) {}

void replica_policy::clear()
{
    replicas_.clear();
}

void replica_policy::add(std::set<std::string> const& models, unsigned places)
{
    for (std::string const& model : models)
    {
        model_replicas& count = replicas_[model];
        ++count.count;
        count.places = std::max(count.places, places);
    }
}

unsigned replica_policy::replica_count(std::string const& model) const
{
    auto const found = replicas_.find(model);
    return found == replicas_.end() ? 0 : found->second.count;
}

unsigned replica_policy::desired(std::string const& model) const
{
    demand_sum const sum = demand_.demand_of_model(model);
    auto const found = replicas_.find(model);
    unsigned const places = found == replicas_.end() ? 0 : found->second.places;
    double const most = places == 0 ? max_requests_per_replica
                                    : std::min(max_requests_per_replica, places * max_share_of_places);
    auto const by_load = static_cast<unsigned>((sum.running + sum.waiting) / most) + 1;
    auto const by_rate = static_cast<unsigned>(std::ceil(sum.rate / rate_per_replica));
    unsigned count = sum.running + sum.waiting > 0 ? 1 : 0;
    count = sum.rate >= two_replica_rate ? 2 : count;
    count = std::max({count, sum.running > 0 ? by_load : 0, sum.rate >= two_replica_rate ? by_rate : 0});
    return std::min(count, max_desired_replicas);
}

double replica_policy::unload_cost_ms(std::string const& model) const
{
    demand_sum const sum = demand_.demand_of_model(model);
    unsigned const count = std::max(replica_count(model), 1U);
    if (count > std::max(desired(model), 1U))
    {
        return sum.rate / count;
    }
    double const urgency = sum.priority == 0 ? most_urgent_cost_factor : 1.0;
    return sum.rate * urgency * cost_ms_per_rate / count + (count == 1 ? last_replica_cost_ms : 0.0);
}

bool replica_policy::may_unload(std::string const& model, bool only_if_idle) const
{
    demand_sum const sum = demand_.demand_of_model(model);
    unsigned const count = replica_count(model);
    if (only_if_idle)
    {
        // Models with two or three replicas were busy before and keep them. Models with more can
        // spare one.
        bool const spare = count <= 1 || count > max_formerly_busy_replicas;
        return sum.waiting == 0 && sum.running == 0 && spare &&
               (sum.rate < idle_rate || count > desired(model));
    }
    return count > std::max(desired(model), 1U) || (sum.running == 0 && sum.waiting == 0);
}

} // namespace siskinusher
