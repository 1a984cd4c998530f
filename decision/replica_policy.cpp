#include "decision/replica_policy.hpp"

#include <algorithm>
#include <cmath>

namespace siskinusher
{

namespace
{

// Requests of one model at one engine beyond which a further replica is worth its place; on engines with few
// places half of these.
constexpr double replica_load = 16.0;
constexpr double replica_share = 0.5;
// From this rate on, a model has two replicas, so that a lost engine does not stop it.
constexpr double two_replica_rate = 0.8;
// Requests a second of one model at one engine. Each request's prompt is read between the tokens of the
// others: at this rate and 900 tokens a prompt that takes a tenth of the engine's time, so that pauses stay
// short.
constexpr double rate_per_replica = 4.0;
constexpr unsigned most_replicas = 8;
// A model asked for once a second is kept as if its next load cost this much more.
constexpr double keep_ms_per_rate = 2500.0;
// Requests of the first priority are late after 400 ms, less than any load from disk takes.
constexpr double most_urgent_weight = 4.0;
// Among models that nobody asks for, those with a further replica leave first.
constexpr double last_replica_ms = 20.0;
// Below this rate a model makes room for one that is fetched ahead.
constexpr double idle_rate = 0.3;
constexpr unsigned kept_idle_replicas = 3;

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
        replica_count& count = replicas_[model];
        ++count.held;
        count.places = std::max(count.places, places);
    }
}

unsigned replica_policy::held(std::string const& model) const
{
    auto const found = replicas_.find(model);
    return found == replicas_.end() ? 0 : found->second.held;
}

unsigned replica_policy::desired(std::string const& model) const
{
    demand_sum const sum = demand_.of_model(model);
    auto const found = replicas_.find(model);
    unsigned const places = found == replicas_.end() ? 0 : found->second.places;
    double const most = places == 0 ? replica_load : std::min(replica_load, places * replica_share);
    auto const by_load = static_cast<unsigned>((sum.running + sum.waiting) / most) + 1;
    auto const by_rate = static_cast<unsigned>(std::ceil(sum.rate / rate_per_replica));
    unsigned count = sum.running + sum.waiting > 0 ? 1 : 0;
    count = sum.rate >= two_replica_rate ? 2 : count;
    count = std::max({count, sum.running > 0 ? by_load : 0, sum.rate >= two_replica_rate ? by_rate : 0});
    return std::min(count, most_replicas);
}

double replica_policy::keep_ms(std::string const& model) const
{
    demand_sum const sum = demand_.of_model(model);
    unsigned const count = std::max(held(model), 1U);
    if (count > std::max(desired(model), 1U))
    {
        return sum.rate / count;
    }
    double const urgency = sum.priority == 0 ? most_urgent_weight : 1.0;
    return sum.rate * urgency * keep_ms_per_rate / count + (count == 1 ? last_replica_ms : 0.0);
}

bool replica_policy::may_leave(std::string const& model, bool only_if_idle) const
{
    demand_sum const sum = demand_.of_model(model);
    unsigned const count = held(model);
    if (only_if_idle)
    {
        // Models with two or three replicas were busy before; those with more have some to spare.
        bool const spare = count <= 1 || count > kept_idle_replicas;
        return sum.waiting == 0 && sum.running == 0 && spare &&
               (sum.rate < idle_rate || count > desired(model));
    }
    return count > std::max(desired(model), 1U) || (sum.running == 0 && sum.waiting == 0);
}

} // namespace siskinusher
