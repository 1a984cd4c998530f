#include "decision/placement_planner.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

namespace siskinusher
{

namespace
{

// Ten times the interval at which instances repeat a load request.
constexpr duration load_request_lifetime = seconds{2};
// An engine without a report for 2 s is polled once a second, so the report of an engine that answers is
// younger than this.
constexpr duration report_lifetime = seconds{4};
constexpr duration minimum_loaded_time = seconds{10};
// Reports of a finished load reach every instance within this time. Until then, instances may still send
// load requests that the load has already met.
constexpr duration settling_time = seconds{3};
// A replica beyond the configured number is unloaded after this time even if its engine never becomes idle.
constexpr duration forced_unload_after = seconds{30};
constexpr double return_half_life_s = 1800.0; // Most models that become active again do so within an hour.
constexpr std::size_t max_return_rates = 16384;

struct sender_load_request
{
    rank highest{rank::background};
    steady_time deadline{};
    unsigned waiting = 0;
    steady_time received{};
};

using load_request_key = std::pair<std::string, std::string>; ///< Model and adapter.

struct load_need
{
    std::string model;
    std::string adapter;
    rank highest{rank::background};
    steady_time deadline{steady_time::max()};
    double value = 0.0; ///< Waiting requests per millisecond of load time.
};

/// How often load requests for a model or adapter came back after a time without any.
struct return_rate
{
    double score = 0.0; ///< Number of returns; halves every return_half_life_s.
    steady_time at{};
    steady_time last_load_request{};
};

double seconds_of(duration value)
{
    return static_cast<double>(value.count()) / 1e6;
}

checkpoint_tier tier_of(engine_state const& state, model_config const& model)
{
    for (auto const& name : {model.checkpoint, model.name})
    {
        auto const found = state.report->checkpoints.find(name);
        if (found != state.report->checkpoints.end())
        {
            return found->second;
        }
    }
    return checkpoint_tier::remote;
}

/// Models or adapters to unload from one engine.
struct eviction
{
    backend_name engine;
    std::vector<std::pair<order_kind, std::string>> unloads;
    double cost = std::numeric_limits<double>::infinity();
    std::uint64_t freed = 0;
};

} // namespace

class placement_planner::implementation
{
public:
    void on_load_request(steady_time now, std::string const& sender, load_request const& what)
    {
        auto& parts = load_requests_[{what.model, what.adapter}];
        if (parts.empty())
        {
            record_return(now, what.model);
            if (!what.adapter.empty())
            {
                record_return(now, what.adapter);
            }
        }
        parts[sender] = {what.highest_rank, now + what.nearest_deadline, what.waiting, now};
        returns_[what.adapter.empty() ? what.model : what.adapter].last_load_request = now;
    }

    void clear_load_requests()
    {
        load_requests_.clear();
        evictions_.clear();
        over_bound_since_.clear();
    }

    bool has_load_requests() const { return !load_requests_.empty(); }

    std::map<std::string, quota_demand> plan(placement_input const& input)
    {
        extra_wanted_.clear();
        blocked_loads_ = 0;
        blocked_adapters_ = 0;
        drop_expired(input);
        refill_load_tokens(input);
        unload_excess_replicas(input);
        for (auto const& item : sorted_needs(input))
        {
            if (item.adapter.empty() || !base_is_loaded(input, item.model))
            {
                plan_model(input, item);
            }
            else
            {
                plan_adapter(input, item);
            }
        }
        return demand(input);
    }

private:
    void record_return(steady_time now, std::string const& name)
    {
        return_rate& rate = returns_[name];
        rate.score = decayed_score(rate, now) + 1.0;
        rate.at = now;
    }

    static double decayed_score(return_rate const& rate, steady_time now)
    {
        return rate.score * std::exp2(-seconds_of(now - rate.at) / return_half_life_s);
    }

    double return_score(steady_time now, std::string const& name) const
    {
        auto const found = returns_.find(name);
        return found == returns_.end() ? 0.0 : decayed_score(found->second, now);
    }

    void drop_expired(placement_input const& input)
    {
        for (auto it = load_requests_.begin(); it != load_requests_.end();)
        {
            auto& parts = it->second;
            for (auto sender_part = parts.begin(); sender_part != parts.end();)
            {
                bool const old = input.now >= sender_part->second.received + load_request_lifetime;
                sender_part = old ? parts.erase(sender_part) : std::next(sender_part);
            }
            it = parts.empty() ? load_requests_.erase(it) : std::next(it);
        }
        for (auto it = evictions_.begin(); it != evictions_.end();)
        {
            bool open = false;
            for (auto const& subject : it->second.unloads)
            {
                open = open || input.ledger.has_unresolved_intent(it->second.engine, subject.second, true);
            }
            it = open ? std::next(it) : evictions_.erase(it);
        }
        for (auto it = returns_.begin(); returns_.size() > max_return_rates && it != returns_.end();)
        {
            it = decayed_score(it->second, input.now) < 0.1 ? returns_.erase(it) : std::next(it);
        }
    }

    void refill_load_tokens(placement_input const& input)
    {
        unsigned const slots = input.quota.usable(weight_store_row);
        auto const& store = input.config.weight_store;
        double const share =
            store.full_speed_loads == 0 ? 0.0 : static_cast<double>(slots) / store.full_speed_loads;
        double const cap = std::max(1.0, static_cast<double>(slots));
        if (!tokens_refilled_at_)
        {
            load_tokens_ = 1.0;
        }
        else
        {
            load_tokens_ += seconds_of(input.now - *tokens_refilled_at_) * store.loads_per_second * share;
        }
        load_tokens_ = std::min(load_tokens_, cap);
        tokens_refilled_at_ = input.now;
    }

    // --- needs ---

    std::vector<load_need> sorted_needs(placement_input const& input) const
    {
        std::vector<load_need> needs;
        for (auto const& entry : load_requests_)
        {
            auto const model = input.config.models.find(entry.first.first);
            bool const known_adapter =
                entry.first.second.empty() || input.config.adapters.count(entry.first.second) != 0;
            if (model == input.config.models.end() || !known_adapter)
            {
                continue;
            }
            load_need item;
            item.model = entry.first.first;
            item.adapter = entry.first.second;
            unsigned waiting = 0;
            for (auto const& sender_part : entry.second)
            {
                item.highest = std::min(item.highest, sender_part.second.highest);
                item.deadline = std::min(item.deadline, sender_part.second.deadline);
                waiting += sender_part.second.waiting;
            }
            item.value = static_cast<double>(waiting) / std::max(1U, model->second.load_time_ms);
            needs.push_back(std::move(item));
        }
        for (auto const& entry : input.config.models)
        {
            if (entry.second.min_replicas > 0 && load_requests_.count({entry.first, ""}) == 0 &&
                input.ledger.replicas(entry.first) < local_min_replicas(input, entry.second))
            {
                load_need item;
                item.model = entry.first;
                needs.push_back(std::move(item));
            }
        }
        std::stable_sort(needs.begin(), needs.end(),
                         [](load_need const& a, load_need const& b)
                         {
                             return std::make_tuple(a.highest, a.deadline, -a.value) <
                                    std::make_tuple(b.highest, b.deadline, -b.value);
                         });
        return needs;
    }

    static unsigned local_min_replicas(placement_input const& input, model_config const& model)
    {
        unsigned const total = std::min(model.min_replicas, model.max_replicas);
        return input.quota.fair_share(model.name, total);
    }

    static bool usable(placement_input const& input, backend_name const& name, engine_state const& state)
    {
        return state.listed && state.report && !state.leaving && !state.dead &&
               input.config.draining.count(name) == 0;
    }

    static bool takes_loads(placement_input const& input, backend_name const& name, engine_state const& state)
    {
        return usable(input, name, state) && !state.run_uncertain && input.now >= state.avoid_until &&
               input.now < state.report_at + report_lifetime;
    }

    static bool in_pool(model_config const& model, engine_state const& state)
    {
        auto const& pools = model.engine_pools;
        return pools.empty() || std::find(pools.begin(), pools.end(), state.pool) != pools.end();
    }

    bool base_is_loaded(placement_input const& input, std::string const& model) const
    {
        for (auto const& entry : input.ledger.engines())
        {
            if (usable(input, entry.first, entry.second) && entry.second.models.count(model) != 0)
            {
                return true;
            }
        }
        return false;
    }

    // --- models ---

    void plan_model(placement_input const& input, load_need const& item)
    {
        model_config const& model = input.config.models.at(item.model);
        if (load_under_way(input, order_kind::load_model, item.model))
        {
            return;
        }
        if (evictions_.count(item.model) != 0)
        {
            // Memory is being freed; the grant must not go to another data centre.
            extra_wanted_[item.model] = 1;
            return;
        }
        std::optional<steady_time> newest;
        for (auto const& entry : input.ledger.engines())
        {
            auto const held = entry.second.models.find(item.model);
            if (held != entry.second.models.end() && usable(input, entry.first, entry.second))
            {
                newest = std::max(newest.value_or(held->second.loaded_since), held->second.loaded_since);
            }
        }
        if (newest && input.now < *newest + settling_time)
        {
            return;
        }
        if (repeat_adopted_load(input, model, item))
        {
            return;
        }
        unsigned const count = possible_replicas(input, model);
        unsigned const bound = input.quota.load_bound(item.model);
        if (count >= bound)
        {
            extra_wanted_[item.model] = 1;
            if (!unload_unusable_replica(input, item.model))
            {
                input.refuse(item.model, "no_replica_quota");
            }
            return;
        }
        extra_wanted_[item.model] = 1;
        load_on_best_engine(input, model, item);
    }

    static bool load_under_way(placement_input const& input, order_kind kind, std::string const& subject)
    {
        auto const& intents = input.ledger.intents();
        return std::any_of(intents.begin(), intents.end(),
                           [&](auto const& entry)
                           {
                               tracked_intent const& tracked = entry.second;
                               return !tracked.adopted && tracked.what.kind == kind &&
                                      tracked.what.subject == subject;
                           });
    }

    /// Replicas that are loaded, may become loaded, or may be in an engine that has not reported yet.
    static unsigned possible_replicas(placement_input const& input, model_config const& model)
    {
        return input.ledger.replicas(model.name) + input.ledger.count_engines_without_recent_report(
                                                       input.acquired, model.engine_pools, model.name);
    }

    /// Sends the order of an unresolved load of an earlier holder again. That load already counts as a
    /// replica, and loading a model twice has no effect.
    bool repeat_adopted_load(placement_input const& input, model_config const& model, load_need const& item)
    {
        for (auto const& entry : input.ledger.intents())
        {
            intent const& what = entry.second.what;
            if (!entry.second.adopted || what.kind != order_kind::load_model || what.subject != model.name)
            {
                continue;
            }
            auto const state = input.ledger.engines().find(what.engine);
            if (state == input.ledger.engines().end() || !takes_loads(input, what.engine, state->second) ||
                !in_pool(model, state->second) || state->second.models.count(model.name) != 0)
            {
                continue;
            }
            // Since the intent was recorded, an operator may have lowered the bound below the grants.
            unsigned const bound = input.quota.load_bound(model.name);
            if (possible_replicas(input, model) > bound)
            {
                return false;
            }
            bool const remote = tier_of(state->second, model) == checkpoint_tier::remote;
            // The adopted load already counts against the load slots of the weight store.
            if (submit_load(input, model, what.engine, remote, item, "adopted"))
            {
                return true;
            }
        }
        return false;
    }

    void load_on_best_engine(placement_input const& input, model_config const& model, load_need const& item)
    {
        struct candidate
        {
            checkpoint_tier tier;
            std::uint64_t free;
            backend_name name;
        };
        std::vector<candidate> fitting;
        bool any_engine = false;
        for (auto const& entry : input.ledger.engines())
        {
            engine_state const& state = entry.second;
            bool const eligible = takes_loads(input, entry.first, state) && in_pool(model, state) &&
                                  state.models.count(model.name) == 0 &&
                                  !input.ledger.has_unresolved_intent(entry.first, model.name, false) &&
                                  !eviction_under_way(entry.first);
            if (!eligible)
            {
                continue;
            }
            any_engine = any_engine || state.report->memory_bytes >= model.bytes;
            if (state.free_bytes() >= model.bytes)
            {
                fitting.push_back({tier_of(state, model), state.free_bytes(), entry.first});
            }
        }
        if (fitting.empty())
        {
            if (!any_engine)
            {
                input.refuse(model.name, "no_engine");
                return;
            }
            evict_models(input, model, item.highest);
            return;
        }
        auto const best = std::min_element(fitting.begin(), fitting.end(),
                                           [](candidate const& a, candidate const& b)
                                           { return a.tier != b.tier ? a.tier < b.tier : a.free > b.free; });
        bool const remote = best->tier == checkpoint_tier::remote;
        if (remote && !weight_store_free(input))
        {
            ++blocked_loads_;
            input.refuse(model.name, "weight_store_busy");
            return;
        }
        submit_load(input, model, best->name, remote, item, "wish");
    }

    bool weight_store_free(placement_input const& input) const
    {
        return input.ledger.loads_in_flight(order_kind::load_model) < input.quota.usable(weight_store_row) &&
               load_tokens_ >= 1.0;
    }

    bool submit_load(placement_input const& input, model_config const& model, backend_name const& engine,
                     bool remote, load_need const& item, char const* cause)
    {
        bool const without_load_request = item.deadline == steady_time::max();
        std::string const reason =
            std::string{cause} +
            (without_load_request ? ":min_replicas" : ":" + std::string{to_string(item.highest)});
        if (!input.submit({order_kind::load_model, engine, model.name, model.bytes, remote, reason}))
        {
            return false;
        }
        if (remote)
        {
            load_tokens_ -= 1.0;
        }
        return true;
    }

    // --- evictions ---

    bool may_evict_model(placement_input const& input, backend_name const& engine, std::string const& name,
                         loaded_subject const& held, rank requested) const
    {
        if (input.now < held.loaded_since + minimum_loaded_time || is_requested(name, requested) ||
            input.ledger.has_unresolved_intent(engine, name, false))
        {
            return false;
        }
        auto const model = input.config.models.find(name);
        return model == input.config.models.end() ||
               input.ledger.replicas(name) > local_min_replicas(input, model->second);
    }

    /// True while a load request of at least this rank exists for the model or adapter. A load request of a
    /// lower rank must not keep an unused model loaded while a load request of a higher rank waits for
    /// memory.
    bool is_requested(std::string const& subject, rank least) const
    {
        auto const ranks_at_least = [least](auto const& sender_part)
        { return sender_part.second.highest <= least; };
        return std::any_of(
            load_requests_.begin(), load_requests_.end(),
            [&](auto const& entry)
            {
                bool const is_subject = entry.first.first == subject || entry.first.second == subject;
                return is_subject && std::any_of(entry.second.begin(), entry.second.end(), ranks_at_least);
            });
    }

    /// True while an eviction frees memory of the engine, which a load request of lower rank must not take.
    bool eviction_under_way(backend_name const& engine) const
    {
        return std::any_of(evictions_.begin(), evictions_.end(),
                           [&](auto const& entry) { return entry.second.engine == engine; });
    }

    void evict_models(placement_input const& input, model_config const& model, rank requested)
    {
        eviction best;
        for (auto const& entry : input.ledger.engines())
        {
            engine_state const& state = entry.second;
            if (!takes_loads(input, entry.first, state) || !in_pool(model, state) ||
                eviction_under_way(entry.first) || state.models.count(model.name) != 0 ||
                input.ledger.has_unresolved_intent(entry.first, model.name, false))
            {
                continue;
            }
            eviction const option = cheapest_eviction(input, entry.first, state, model.bytes, requested);
            if (option.cost < best.cost)
            {
                best = option;
            }
        }
        if (best.unloads.empty())
        {
            input.refuse(model.name, "no_memory");
            return;
        }
        submit_eviction(input, model.name, best, "evict_for:" + model.name);
    }

    eviction cheapest_eviction(placement_input const& input, backend_name const& name,
                               engine_state const& state, std::uint64_t bytes, rank requested) const
    {
        std::vector<std::pair<double, std::string>> order;
        for (auto const& held : state.models)
        {
            if (state.unused(held.first) && may_evict_model(input, name, held.first, held.second, requested))
            {
                order.emplace_back(eviction_cost(input, held.first), held.first);
            }
        }
        std::sort(order.begin(), order.end());
        eviction result;
        result.engine = name;
        result.cost = 0.0;
        for (auto const& victim : order)
        {
            if (state.free_bytes() + result.freed >= bytes)
            {
                break;
            }
            result.cost += victim.first;
            result.freed += state.models.at(victim.second).bytes;
            for (auto const& adapter : state.adapters)
            {
                auto const config = input.config.adapters.find(adapter.first);
                if (config != input.config.adapters.end() && config->second.base_model == victim.second)
                {
                    result.unloads.emplace_back(order_kind::unload_adapter, adapter.first);
                }
            }
            result.unloads.emplace_back(order_kind::unload_model, victim.second);
        }
        // For an overcommitted engine, free_bytes() is zero and does not show the shortage.
        bool const enough =
            state.used_bytes <= state.report->memory_bytes && state.free_bytes() + result.freed >= bytes;
        if (!enough || result.unloads.empty())
        {
            result.unloads.clear();
            result.cost = std::numeric_limits<double>::infinity();
        }
        return result;
    }

    double eviction_cost(placement_input const& input, std::string const& name) const
    {
        auto const model = input.config.models.find(name);
        double const load_ms = model == input.config.models.end() ? 0.0 : model->second.load_time_ms;
        return return_score(input.now, name) * load_ms;
    }

    void submit_eviction(placement_input const& input, std::string const& requested, eviction const& what,
                         std::string const& reason)
    {
        for (auto const& subject : what.unloads)
        {
            input.submit({subject.first, what.engine, subject.second, 0, false, reason});
        }
        evictions_[requested] = what;
    }

    /// Unloads a replica in an engine that gets no new work, since it uses a grant without serving requests.
    /// Returns true when such a replica is being unloaded.
    bool unload_unusable_replica(placement_input const& input, std::string const& name) const
    {
        for (auto const& entry : input.ledger.engines())
        {
            engine_state const& state = entry.second;
            if (state.models.count(name) == 0 || usable(input, entry.first, state))
            {
                continue;
            }
            if (input.ledger.has_unresolved_intent(entry.first, name, true))
            {
                return true;
            }
            if (state.listed && !state.dead && state.idle() &&
                input.submit({order_kind::unload_model, entry.first, name, 0, false, "engine_leaving"}))
            {
                return true;
            }
        }
        return false;
    }

    /// Does not count unresolved loads: for a load that never took effect, no loaded replica must be
    /// unloaded.
    static unsigned loaded_replicas(placement_input const& input, std::string const& name)
    {
        auto const& engines = input.ledger.engines();
        return static_cast<unsigned>(std::count_if(engines.begin(), engines.end(),
                                                   [&](auto const& entry)
                                                   { return entry.second.models.count(name) != 0; }));
    }

    void unload_excess_replicas(placement_input const& input)
    {
        if (!input.quota.ready())
        {
            return;
        }
        std::map<std::string, steady_time> still_over;
        for (auto const& name : input.ledger.held_models())
        {
            unsigned const count = loaded_replicas(input, name);
            unsigned const bound = input.quota.unload_bound(name);
            if (count <= bound)
            {
                continue;
            }
            auto const before = over_bound_since_.find(name);
            steady_time const since = before == over_bound_since_.end() ? input.now : before->second;
            still_over[name] = since;
            unload_replicas(input, name, count - bound, input.now >= since + forced_unload_after);
        }
        over_bound_since_ = std::move(still_over);
    }

    static void unload_replicas(placement_input const& input, std::string const& name, unsigned excess,
                                bool force)
    {
        std::vector<std::tuple<bool, bool, std::uint64_t, backend_name>> order;
        for (auto const& entry : input.ledger.engines())
        {
            engine_state const& state = entry.second;
            if (state.models.count(name) == 0)
            {
                continue;
            }
            if (input.ledger.has_unresolved_intent(entry.first, name, true))
            {
                excess -= std::min(excess, 1U); // Already being unloaded.
                continue;
            }
            if (state.listed && state.report && !state.dead && (force || state.unused(name)))
            {
                order.emplace_back(usable(input, entry.first, state), !state.unused(name),
                                   state.report->running + state.report->waiting, entry.first);
            }
        }
        std::sort(order.begin(), order.end());
        for (auto const& candidate : order)
        {
            if (excess == 0)
            {
                return;
            }
            if (input.submit(
                    {order_kind::unload_model, std::get<3>(candidate), name, 0, false, "beyond_bound"}))
            {
                --excess;
            }
        }
    }

    // --- adapters ---

    void plan_adapter(placement_input const& input, load_need const& item)
    {
        adapter_config const& adapter = input.config.adapters.at(item.adapter);
        if (load_under_way(input, order_kind::load_adapter, item.adapter) ||
            evictions_.count(item.adapter) != 0)
        {
            return;
        }
        backend_name best;
        std::uint64_t best_free = 0;
        std::vector<backend_name> full;
        for (auto const& entry : input.ledger.engines())
        {
            engine_state const& state = entry.second;
            if (!takes_loads(input, entry.first, state) || state.models.count(adapter.base_model) == 0 ||
                input.ledger.has_unresolved_intent(entry.first, adapter.base_model, true))
            {
                continue;
            }
            if (state.adapters.count(item.adapter) != 0)
            {
                return; // The load request is out of date: an engine has the adapter already.
            }
            if (eviction_under_way(entry.first))
            {
                continue;
            }
            if (state.free_bytes() < adapter.bytes)
            {
                full.push_back(entry.first);
            }
            else if (best.empty() || state.free_bytes() > best_free)
            {
                best = entry.first;
                best_free = state.free_bytes();
            }
        }
        if (best.empty())
        {
            evict_adapters(input, adapter, full);
            return;
        }
        if (input.ledger.loads_in_flight(order_kind::load_adapter) >=
            input.quota.usable(weight_store_adapters_row))
        {
            ++blocked_adapters_;
            input.refuse(item.adapter, "weight_store_busy");
            return;
        }
        input.submit({order_kind::load_adapter, best, item.adapter, adapter.bytes, true,
                      "wish:" + std::string{to_string(item.highest)}});
    }

    void evict_adapters(placement_input const& input, adapter_config const& adapter,
                        std::vector<backend_name> const& engines)
    {
        eviction best;
        for (auto const& name : engines)
        {
            engine_state const& state = input.ledger.engines().at(name);
            if (!state.report || state.used_bytes > state.report->memory_bytes)
            {
                continue;
            }
            std::vector<std::pair<steady_time, std::string>> order;
            for (auto const& held : state.adapters)
            {
                bool const kept = !state.unused(held.first) ||
                                  input.now < held.second.loaded_since + minimum_loaded_time ||
                                  is_requested(held.first, rank::background) ||
                                  input.ledger.has_unresolved_intent(name, held.first, false);
                if (!kept)
                {
                    auto const used = returns_.find(held.first);
                    steady_time const last =
                        used == returns_.end() ? steady_time{} : used->second.last_load_request;
                    order.emplace_back(std::max(held.second.loaded_since, last), held.first);
                }
            }
            std::sort(order.begin(), order.end());
            eviction option;
            option.engine = name;
            for (auto const& victim : order)
            {
                if (state.free_bytes() + option.freed >= adapter.bytes)
                {
                    break;
                }
                option.freed += state.adapters.at(victim.second).bytes;
                option.unloads.emplace_back(order_kind::unload_adapter, victim.second);
            }
            bool const enough = state.free_bytes() + option.freed >= adapter.bytes;
            option.cost = static_cast<double>(option.unloads.size());
            if (enough && option.cost < best.cost)
            {
                best = option;
            }
        }
        if (best.unloads.empty())
        {
            input.refuse(adapter.name, "no_memory");
            return;
        }
        submit_eviction(input, adapter.name, best, "evict_for:" + adapter.name);
    }

    // --- quota ---

    std::map<std::string, quota_demand> demand(placement_input const& input) const
    {
        std::map<std::string, quota_demand> rows;
        for (auto const& name : input.ledger.held_models())
        {
            rows[name] = {};
        }
        for (auto const& model : input.config.models)
        {
            rows[model.first] = {};
        }
        for (auto& row : rows)
        {
            auto const model = input.config.models.find(row.first);
            std::vector<std::string> const pools =
                model == input.config.models.end() ? std::vector<std::string>{} : model->second.engine_pools;
            unsigned const count = input.ledger.replicas(row.first);
            auto const extra = extra_wanted_.find(row.first);
            unsigned wanted = count + (extra == extra_wanted_.end() ? 0 : extra->second);
            if (model != input.config.models.end())
            {
                wanted = std::min(std::max(wanted, local_min_replicas(input, model->second)),
                                  model->second.max_replicas);
            }
            // The grant of a replica that an engine without a report may hold must not go to another data
            // centre.
            unsigned const possible =
                count + input.ledger.count_engines_without_recent_report(input.acquired, pools, row.first);
            row.second = {possible, wanted};
        }
        unsigned const loads = input.ledger.loads_in_flight(order_kind::load_model);
        unsigned const slots = input.config.weight_store.full_speed_loads;
        rows[weight_store_row] = {loads, std::min(loads + blocked_loads_, slots)};
        unsigned const adapters = input.ledger.loads_in_flight(order_kind::load_adapter);
        rows[weight_store_adapters_row] = {adapters,
                                           std::min(adapters + blocked_adapters_, adapter_loads_in_flight)};
        return rows;
    }

    std::map<load_request_key, std::map<std::string, sender_load_request>>
        load_requests_; ///< Last load request of each sender.
    std::map<std::string, return_rate> returns_;
    /// Evictions under way, by the model or adapter for which they free memory.
    std::map<std::string, eviction> evictions_;
    std::map<std::string, steady_time> over_bound_since_;
    /// Replicas that the current plan needs beyond those held.
    std::map<std::string, unsigned> extra_wanted_;
    unsigned blocked_loads_ = 0;    ///< Model loads of the current plan that wait for the weight store.
    unsigned blocked_adapters_ = 0; ///< Adapter loads of the current plan that wait for the weight store.
    double load_tokens_ = 0.0;      ///< Model loads that the load rate allows to start now.
    std::optional<steady_time> tokens_refilled_at_;
};

placement_planner::placement_planner() : impl_(std::make_unique<implementation>()) {}
placement_planner::~placement_planner() = default;

void placement_planner::on_load_request(steady_time now, std::string const& sender, load_request const& what)
{
    impl_->on_load_request(now, sender, what);
}
void placement_planner::clear_load_requests()
{
    impl_->clear_load_requests();
}
bool placement_planner::has_load_requests() const
{
    return impl_->has_load_requests();
}
std::map<std::string, quota_demand> placement_planner::plan(placement_input const& input)
{
    return impl_->plan(input);
}

} // namespace siskinusher
