#include "decision/load_planner.hpp"

#include "decision/demand_table.hpp"
#include "decision/engine_load_state_impl.hpp"
#include "decision/late_orders_impl.hpp"
#include "decision/model_index.hpp"
#include "decision/replica_policy.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace siskinusher
{

namespace
{

// Pauses after an order that was not answered and after one that was not accepted. They cover the lag of the
// engine's report, which is asked for afterwards.
constexpr duration inquiry_delay = milliseconds{500};
constexpr duration conflict_delay = milliseconds{120};
// An engine writes its entry within one heartbeat, 1.2 s, after a change.
constexpr duration entry_lag = seconds{2};
// Time between two searches for a model to prefetch. A load from the weight store takes seconds, and the
// search goes through every copy in the fleet.
constexpr duration prefetch_interval = milliseconds{250};
// Added cost, in milliseconds, of evicting a model with running requests: the engine unloads it only when
// they have ended and takes no other order before.
constexpr double unload_wait_ms = 1500.0;
// Greatest number of adapters on their way to one engine at the same time.
constexpr unsigned max_adapters_in_transit = 4;
// A model with fewer requests per second is unloaded without being announced, because hardly any request
// would be refused.
constexpr double min_announced_rate = 0.5;
// Time between announcing that a model leaves and unloading it. Instances report, and learn which models
// leave, every 500 ms.
constexpr duration leave_announcement_time = milliseconds{600};
// How long a new adapter is announced to the instances. The engine writes its adapters with its next
// heartbeat, within 1.2 s, and instances learn of the entry with the reply to their next report.
constexpr duration adapter_update_lifetime = milliseconds{2500};
// An engine that an instance reports as unreachable is left out of the plan for this long. Instances repeat
// the report while they cannot reach it; a crashed engine restarts within seconds.
constexpr duration unreachable_time = milliseconds{1200};
// How long a loaded or unloaded model is announced to the instances. Entries reach all of them within this
// time.
constexpr duration model_update_lifetime = seconds{3};
// An adapter that was requested within this time is not unloaded to make room for another one.
constexpr duration min_adapter_residence = milliseconds{1500};

struct placement_goal
{
    std::string model;
    std::string reason;
    unsigned priority = 9;
    steady_time since;
    /// Nobody requests the model yet: no busy model is evicted for it, and it waits for a free load slot.
    bool only_if_idle = false;
};

std::set<std::string> model_names(std::vector<resident_model> const& models)
{
    std::set<std::string> names;
    for (resident_model const& model : models)
    {
        names.insert(model.name);
    }
    return names;
}

} // namespace

class load_planner::implementation
{
public:
    explicit implementation(load_planner_settings settings_in) : settings(settings_in) {}

    model_index const* profile_of(engine_load_state const& engine) const
    {
        auto const found = services.find(engine.entry.service);
        return found == services.end() ? nullptr : &found->second;
    }

    void index_config()
    {
        services.clear();
        for (service_profile const& service : config->services)
        {
            if (!service.engine)
            {
                continue;
            }
            services.emplace(service.name, model_index(*service.engine));
        }
    }

    void count_replicas(steady_time now)
    {
        replicas.clear();
        for (auto const& [name, engine] : engines)
        {
            if (!engine.entry.leaving && now >= engine.unreachable_until)
            {
                replicas.add(engine.serving(), engine.entry.places);
            }
        }
    }

    // Models that at least one reachable engine holds, loads or has a copy of.
    std::set<std::string> available_models(steady_time now) const
    {
        std::set<std::string> available;
        for (auto const& [name, engine] : engines)
        {
            if (engine.entry.leaving || now < engine.unreachable_until)
            {
                continue;
            }
            for (auto const& models :
                 {engine.serving(), engine.entry.copies_on_disk, engine.entry.copies_in_memory})
            {
                available.insert(models.begin(), models.end());
            }
        }
        return available;
    }

    // Loads from the weight store that run, may run, or are decided and wait for memory.
    unsigned store_loads_in_progress() const
    {
        unsigned count = 0;
        for (auto const& [name, engine] : engines)
        {
            bool const open_load = engine.open && engine.open->order.kind == order_kind::load_model &&
                                   engine.tier_of(engine.open->order.model) == checkpoint_tier::remote;
            bool const running = engine.pending && engine.pending->from_store;
            bool const planned = !engine.model_to_load_next.empty() &&
                                 engine.tier_of(engine.model_to_load_next) == checkpoint_tier::remote;
            count += open_load || running || planned || engine.has_unknown_order ? 1 : 0;
        }
        return count;
    }

    bool store_load_allowed(steady_time now, engine_profile const& profile)
    {
        auto const window =
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(settings.window_s));
        while (!store_loads.empty() && store_loads.front() <= now - window)
        {
            store_loads.pop_front();
        }
        double const most = profile.store_loads_per_s * settings.window_s * settings.window_factor;
        return store_loads_in_progress() < settings.full_speed_loads &&
               static_cast<double>(store_loads.size()) + 1.0 <= most;
    }

    // The models to evict so that `needed_mb` become free, those whose loss costs least first. Adds what
    // their loss costs to `cost`. Empty when not enough memory can be freed.
    std::optional<std::vector<std::string>> choose_evictions(engine_load_state const& engine,
                                                             model_index const& profile, double needed_mb,
                                                             bool only_if_idle, double& cost) const
    {
        double free = engine.free_mb(profile);
        std::vector<std::pair<double, std::string>> order;
        for (resident_model const& model : engine.entry.models)
        {
            if (replicas.may_unload(model.name, only_if_idle))
            {
                bool const runs = demand.demand_of_model(model.name).running > 0;
                order.emplace_back(replicas.unload_cost_ms(model.name) + (runs ? unload_wait_ms : 0.0),
                                   model.name);
            }
        }
        std::sort(order.begin(), order.end());
        std::vector<std::string> chosen;
        for (auto const& [keep, name] : order)
        {
            if (free >= needed_mb)
            {
                break;
            }
            model_profile const* const model = profile.find(name);
            free += model == nullptr ? 0.0 : model->weights_mb;
            cost += keep;
            chosen.push_back(name);
        }
        return free >= needed_mb ? std::optional(chosen) : std::nullopt;
    }

    // An engine on which a model can be placed, with the cost of that in milliseconds of load time.
    struct placement
    {
        engine_load_state* engine = nullptr;
        double cost = 0.0;
        std::vector<std::string> evictions;
    };

    // The engine on which the time until the model is loaded plus the cost of the evictions is least. It may
    // be occupied at present, because a load from the weight store by another engine takes longer than
    // waiting for an engine with a copy.
    placement best_placement(steady_time now, placement_goal const& goal)
    {
        placement best;
        // Engines with a copy are examined first: hardly any other engine has a lower cost, so most of the
        // others are skipped at once.
        for (bool const with_copy : {true, false})
        {
            std::optional<bool> store_allowed;
            for (auto& [name, engine] : engines)
            {
                model_index const* const profile = profile_of(engine);
                model_profile const* const model = profile == nullptr ? nullptr : profile->find(goal.model);
                if (model == nullptr || engine.entry.leaving || now < engine.unreachable_until)
                {
                    continue;
                }
                checkpoint_tier const from = engine.tier_of(goal.model);
                if ((from != checkpoint_tier::remote) != with_copy)
                {
                    continue;
                }
                double cost = std::chrono::duration<double, std::milli>(load_time(from, *model)).count() +
                              engine.occupied_ms(now);
                if ((best.engine != nullptr && cost >= best.cost) || engine.occupants().count(goal.model) > 0)
                {
                    continue;
                }
                if (from == checkpoint_tier::remote && !store_allowed)
                {
                    store_allowed = store_load_allowed(now, profile->engine());
                }
                if (from == checkpoint_tier::remote && !*store_allowed)
                {
                    break;
                }
                auto evicted = choose_evictions(engine, *profile, model->weights_mb, goal.only_if_idle, cost);
                if (!evicted)
                {
                    continue;
                }
                engine_order const first =
                    evicted->empty() ? make_order(engine, order_kind::load_model, goal.model, goal.reason)
                                     : make_order(engine, order_kind::unload_model, evicted->front(),
                                                  "room for " + goal.model);
                cost += held_back_ms(now, engine, *profile, first);
                if (best.engine == nullptr || cost < best.cost)
                {
                    best = {&engine, cost, std::move(*evicted)};
                }
            }
        }
        return best;
    }

    // Sends the next order towards loading the model; false when no order is due now.
    bool place(steady_time now, placement_goal const& goal, std::vector<planner_action>& steps)
    {
        placement best = best_placement(now, goal);
        if (best.engine == nullptr || !best.engine->can_take_order(now) || best.engine->pending ||
            !best.engine->model_to_load_next.empty())
        {
            return false;
        }
        bool const evicts = !best.evictions.empty();
        if (holds_back(now, *best.engine,
                       make_order(*best.engine, evicts ? order_kind::unload_model : order_kind::load_model,
                                  evicts ? best.evictions.front() : goal.model, goal.reason)))
        {
            return false;
        }
        if (evicts)
        {
            best.engine->model_to_load_next = goal.model;
            evict_model(now, *best.engine, best.evictions.front(), steps);
            return true;
        }
        send(now, *best.engine, order_kind::load_model, goal.model, "", goal.reason, steps);
        return true;
    }

    static engine_order make_order(engine_load_state const& engine, order_kind kind, std::string const& model,
                                   std::string const& reason, std::string const& adapter = {})
    {
        return {engine.entry.name, engine.entry.address, kind, model, adapter, engine.sequence, reason, 0};
    }

    // How long the order would have to wait for late orders, in milliseconds.
    double held_back_ms(steady_time now, engine_load_state const& engine, model_index const& profile,
                        engine_order const& order) const
    {
        if (late.leave_room(now, engine, profile, order))
        {
            return 0.0;
        }
        duration const wait = late.last_at(now, engine.entry.name) - now;
        return std::chrono::duration<double, std::milli>(wait).count();
    }

    // True when the order must wait for late orders, which is noted once for each state of the engine.
    bool holds_back(steady_time now, engine_load_state& engine, engine_order const& order)
    {
        model_index const* const profile = profile_of(engine);
        if (profile == nullptr || late.leave_room(now, engine, *profile, order))
        {
            return false;
        }
        if (engine.held_back_at != engine.sequence)
        {
            engine.held_back_at = engine.sequence;
            held_back.push_back({order, late.last_at(now, engine.entry.name) - now});
        }
        return true;
    }

    void send(steady_time now, engine_load_state& engine, order_kind kind, std::string const& model,
              std::string const& adapter, std::string const& reason, std::vector<planner_action>& steps)
    {
        engine_order order = make_order(engine, kind, model, reason, adapter);
        order.number = ++sent_orders;
        late.on_sent(now, order);
        if (kind == order_kind::load_model && engine.tier_of(model) == checkpoint_tier::remote)
        {
            store_loads.push_back(now);
        }
        engine.open = open_order{order, now};
        steps.emplace_back(std::move(order));
    }

    // Sends the next order to an engine on which memory is being freed for a model.
    void continue_rotation(steady_time now, engine_load_state& engine, std::vector<planner_action>& steps)
    {
        model_index const* const profile = profile_of(engine);
        model_profile const* const model =
            profile == nullptr ? nullptr : profile->find(engine.model_to_load_next);
        if (model == nullptr || engine.occupants().count(engine.model_to_load_next) > 0)
        {
            engine.leaving_model.clear();
            engine.model_to_load_next.clear();
            return;
        }
        if (engine.free_mb(*profile) >= model->weights_mb)
        {
            std::string const name = std::exchange(engine.model_to_load_next, "");
            std::string const reason = "room was made";
            if (!holds_back(now, engine, make_order(engine, order_kind::load_model, name, reason)))
            {
                send(now, engine, order_kind::load_model, name, "", reason, steps);
            }
            return;
        }
        if (!engine.leaving_model.empty())
        {
            if (now >= engine.unload_at)
            {
                evict_model(now, engine, engine.leaving_model, steps);
            }
            return;
        }
        double cost = 0.0;
        auto const evicted = choose_evictions(engine, *profile, model->weights_mb, false, cost);
        if (!evicted || evicted->empty())
        {
            engine.model_to_load_next.clear();
            return;
        }
        evict_model(now, engine, evicted->front(), steps);
    }

    // Unloads a model to free memory. A model with requests is first announced as leaving, because an engine
    // refuses requests for a model that it is about to unload.
    void evict_model(steady_time now, engine_load_state& engine, std::string model,
                     std::vector<planner_action>& steps)
    {
        if (engine.leaving_model != model && demand.demand_of_model(model).rate >= min_announced_rate)
        {
            engine.leaving_model = std::move(model);
            engine.unload_at = now + leave_announcement_time;
            return;
        }
        engine.leaving_model.clear();
        std::string const reason = "room for " + engine.model_to_load_next;
        if (holds_back(now, engine, make_order(engine, order_kind::unload_model, model, reason)))
        {
            engine.model_to_load_next.clear(); // Another engine may load it sooner.
            return;
        }
        send(now, engine, order_kind::unload_model, model, "", reason, steps);
    }

    // Asks the engine for its state when the effect of an order is overdue or the state is not certain.
    void inquire_if_due(steady_time now, engine_load_state& engine, std::vector<planner_action>& steps)
    {
        // The entry shows the effect of an order soon after the expected end. An unload may take longer,
        // because it waits for the model's running requests.
        if (engine.pending && now >= engine.pending->expected_end + entry_lag)
        {
            engine.pending->expected_end = now;
            engine.inquiry_due = true;
        }
        if (now >= engine.unreachable_until && (engine.inquiry_due || !engine.confirmed) && !engine.open &&
            !engine.inquiry_open && now >= engine.no_orders_until)
        {
            engine.inquiry_due = false;
            engine.inquiry_open = true;
            steps.emplace_back(engine_inquiry{engine.entry.name, engine.entry.address});
        }
    }

    std::vector<placement_goal> placement_goals(steady_time now) const
    {
        std::vector<placement_goal> list;
        std::set<std::string> seen;
        for (auto const& [which, sum] : demand.all_demands())
        {
            if (!seen.insert(which.first).second)
            {
                continue;
            }
            demand_sum const total = demand.demand_of_model(which.first);
            unsigned const held = replicas.replica_count(which.first);
            if (held == 0 && total.waiting > 0)
            {
                list.push_back({which.first, "requests wait", total.priority, total.waiting_since, false});
            }
            else if (held > 0 && held < replicas.desired(which.first))
            {
                list.push_back({which.first, "demand rises", total.priority + 1, now, false});
            }
        }
        std::stable_sort(list.begin(), list.end(),
                         [](placement_goal const& a, placement_goal const& b)
                         { return std::tie(a.priority, a.since) < std::tie(b.priority, b.since); });
        return list;
    }

    // False when an engine that still exists has loaded the model before and has kept no copy: its disk is
    // full of other copies, and fetching the model again would displace one of them.
    bool may_prefetch(std::string const& model) const
    {
        auto const loaded = fetched_by.find(model);
        return loaded == fetched_by.end() || engines.count(loaded->second) == 0;
    }

    // Loads one model that no engine has a copy of, when the weight store has capacity to spare.
    void prefetch(steady_time now, std::vector<planner_action>& steps)
    {
        if (now < next_prefetch)
        {
            return;
        }
        next_prefetch = now + prefetch_interval;
        std::set<std::string> const available = available_models(now);
        for (service_profile const& service : config->services)
        {
            if (!service.engine || !store_load_allowed(now, *service.engine))
            {
                continue;
            }
            for (model_profile const& model : service.engine->models)
            {
                if (available.count(model.name) == 0 && may_prefetch(model.name) &&
                    place(now, {model.name, "no copy at any engine", 9, now, true}, steps))
                {
                    return;
                }
            }
        }
    }

    void plan_adapters(steady_time now, std::vector<planner_action>& steps)
    {
        for (auto const& [which, sum] : demand.all_demands())
        {
            if (!which.second.empty() && sum.waiting > 0)
            {
                place_adapter(now, which, steps);
            }
            else if (!which.second.empty() && sum.running > 0)
            {
                touch_adapter(now, which);
            }
        }
    }

    void touch_adapter(steady_time now, demand_table::key const& which)
    {
        for (auto& [name, engine] : engines)
        {
            if (auto const held = engine.adapters.find(which); held != engine.adapters.end())
            {
                held->second = now;
            }
        }
    }

    void place_adapter(steady_time now, demand_table::key const& which, std::vector<planner_action>& steps)
    {
        engine_load_state* best = nullptr;
        std::size_t best_count = 0;
        for (auto& [name, engine] : engines)
        {
            bool const usable = find_resident(engine.entry, which.first) != nullptr &&
                                engine.serving().count(which.first) > 0 && !engine.entry.leaving;
            if (!usable)
            {
                continue;
            }
            auto const sent = engine.adapter_order_sent_at.find(which);
            if (sent != engine.adapter_order_sent_at.end() && now - sent->second < min_adapter_residence)
            {
                return; // It is being loaded, or instances will learn of it with the next reply.
            }
            if (engine.can_take_order(now) && !engine.pending &&
                engine.adapter_loads_in_flight(now) < max_adapters_in_transit &&
                (best == nullptr || engine.adapters.size() < best_count) &&
                !holds_back(
                    now, engine,
                    make_order(engine, order_kind::load_adapter, which.first, "requests wait", which.second)))
            {
                best = &engine;
                best_count = engine.adapters.size();
            }
        }
        if (best == nullptr)
        {
            return;
        }
        model_index const* const profile = profile_of(*best);
        if (profile != nullptr && best->adapters.count(which) == 0 &&
            best->adapters.size() >= profile->engine().adapter_places)
        {
            auto const oldest =
                std::min_element(best->adapters.begin(), best->adapters.end(),
                                 [](auto const& a, auto const& b) { return a.second < b.second; });
            if (oldest != best->adapters.end() && now - oldest->second >= min_adapter_residence)
            {
                send(now, *best, order_kind::unload_adapter, oldest->first.first, oldest->first.second,
                     "room for adapter " + which.second, steps);
            }
            return;
        }
        send(now, *best, order_kind::load_adapter, which.first, which.second, "requests wait", steps);
    }

    void on_accepted(steady_time now, engine_load_state& engine, engine_order const& order)
    {
        demand_table::key const adapter{order.model, order.adapter};
        switch (order.kind)
        {
        case order_kind::load_model:
        {
            checkpoint_tier const from = engine.tier_of(order.model);
            model_index const* const profile = profile_of(engine);
            model_profile const* const model = profile ? profile->find(order.model) : nullptr;
            if (from == checkpoint_tier::remote)
            {
                fetched_by[order.model] = order.engine;
            }
            duration const span = model == nullptr ? seconds{6} : load_time(from, *model);
            engine.pending =
                accepted_order{order.kind, order.model, now, now + span, from == checkpoint_tier::remote};
            break;
        }
        case order_kind::unload_model:
            engine.pending = accepted_order{order.kind, order.model, now, now, false};
            break;
        case order_kind::load_adapter:
            engine.adapters[adapter] = now;
            engine.adapter_order_sent_at[adapter] = now;
            break;
        case order_kind::unload_adapter:
            // The adapter is unloaded when its last request has ended, which only the engine's report shows.
            engine.adapters[adapter] = now;
            engine.no_orders_until = now + inquiry_delay;
            engine.inquiry_due = true;
            break;
        }
    }

    load_planner_settings const settings;
    late_orders late;
    std::vector<held_order> held_back;
    std::uint64_t sent_orders = 0;
    std::shared_ptr<serving_config const> config;
    std::unordered_map<std::string, model_index> services;
    std::map<backend_name, engine_load_state> engines;
    demand_table demand;
    replica_policy replicas{demand};
    steady_time next_prefetch;
    std::deque<steady_time> store_loads;
    /// The engine that last loaded each model from the weight store.
    std::map<std::string, backend_name> fetched_by;
};

load_planner::load_planner(load_planner_settings settings) : impl_(std::make_unique<implementation>(settings))
{
}

load_planner::~load_planner() = default;

void load_planner::on_config(std::shared_ptr<serving_config const> config)
{
    impl_->config = std::move(config);
    impl_->index_config();
}

void load_planner::on_backend(steady_time now, backend_entry const& entry)
{
    if (!entry.is_engine)
    {
        return;
    }
    impl_->late.on_entry(now, entry);
    auto const [found, inserted] = impl_->engines.try_emplace(entry.name);
    engine_load_state& engine = found->second;
    if (!inserted && engine.entry.started_at != entry.started_at)
    {
        engine = engine_load_state{}; // The engine has restarted and has lost its models.
    }
    std::vector<resident_model> const held = std::move(engine.entry.models);
    engine.entry = entry;
    if (!engine.confirmed)
    {
        return;
    }
    // During an outage of the store engines cannot write their entries, so an entry may show what the engine
    // held before the outage. What the engine itself reported, and the orders it accepted since, are used
    // instead.
    engine.entry.models = held;
    if (!engine.pending)
    {
        // A late order has perhaps been carried out.
        bool const differs = model_names(entry.models) != model_names(held);
        engine.inquiry_due |= differs && !engine.open && impl_->late.may_change(now, entry.name);
        return;
    }
    std::string const model = engine.pending->model;
    resident_model const* const shown = find_resident(entry, model);
    bool const load = engine.pending->kind == order_kind::load_model;
    if (load && shown != nullptr)
    {
        engine.pending.reset();
        engine.entry.models.push_back({model, {}});
        engine.loaded_at[model] = now;
        engine.unloaded_at.erase(model);
    }
    else if (!load && shown == nullptr)
    {
        engine.pending.reset();
        engine.unloaded_at[model] = now;
        engine.remove_model(model);
    }
}

void load_planner::on_backend_gone(steady_time now, backend_name const& name)
{
    impl_->late.on_entry_gone(now, name);
    impl_->late.expire(now);
    impl_->engines.erase(name);
}

void load_planner::on_demand(steady_time now, demand_report const& report)
{
    impl_->demand.on_report(now, report);
    for (backend_name const& name : report.unreachable)
    {
        auto const found = impl_->engines.find(name);
        if (found != impl_->engines.end())
        {
            found->second.unreachable_until = now + unreachable_time;
        }
    }
}

void load_planner::begin_lease(steady_time now, earlier_orders earlier)
{
    impl_->late.on_lease(now, earlier);
    for (auto& [name, engine] : impl_->engines)
    {
        engine.open.reset();
        engine.pending.reset();
        engine.model_to_load_next.clear();
        engine.leaving_model.clear();
        engine.inquiry_open = false;
        engine.inquiry_due = false;
        engine.has_unknown_order = false;
        engine.confirmed = false;
    }
}

std::vector<planner_action> load_planner::plan(steady_time now)
{
    std::vector<planner_action> steps;
    if (!impl_->config)
    {
        return steps;
    }
    impl_->demand.advance(now);
    impl_->late.expire(now);
    for (auto& [name, engine] : impl_->engines)
    {
        impl_->inquire_if_due(now, engine, steps);
        if (!engine.model_to_load_next.empty() && engine.can_take_order(now) && !engine.pending)
        {
            impl_->continue_rotation(now, engine, steps);
        }
    }
    impl_->count_replicas(now);
    std::size_t tries = 2 * impl_->engines.size();
    for (placement_goal const& goal : impl_->placement_goals(now))
    {
        if (tries-- == 0)
        {
            break; // Every engine is occupied, and the most urgent goals have been examined.
        }
        if (impl_->place(now, goal, steps))
        {
            impl_->count_replicas(now);
        }
    }
    impl_->plan_adapters(now, steps);
    impl_->prefetch(now, steps);
    return steps;
}

void load_planner::on_order_result(steady_time now, engine_order const& order, engine_order_result result)
{
    impl_->late.on_result(order, result);
    auto const found = impl_->engines.find(order.engine);
    if (found == impl_->engines.end())
    {
        return;
    }
    engine_load_state& engine = found->second;
    if (!engine.open || engine.open->order.number != order.number)
    {
        // The order was sent to a former run of the engine or during an earlier lease, so that its answer
        // says nothing certain about what the engine holds now.
        engine.inquiry_due = true;
        return;
    }
    engine.open.reset();
    switch (result)
    {
    case engine_order_result::accepted:
        engine.sequence = std::max(engine.sequence, order.expected_sequence + 1);
        impl_->on_accepted(now, engine, order);
        break;
    case engine_order_result::already_holds:
        // An engine unloads an idle adapter at once and counts that order in its sequence. An order that
        // changes nothing may not be counted, which shows as a conflict of the next order.
        engine.sequence += order.kind == order_kind::unload_adapter ? 1 : 0;
        if (order.kind == order_kind::unload_adapter)
        {
            engine.adapters.erase({order.model, order.adapter});
            engine.adapter_order_sent_at.erase({order.model, order.adapter});
        }
        else if (order.kind != order_kind::load_model)
        {
            impl_->on_accepted(now, engine, order);
        }
        break;
    case engine_order_result::conflict:
        engine.no_orders_until = now + conflict_delay;
        engine.inquiry_due = true;
        break;
    case engine_order_result::refused:
        engine.no_orders_until = now + entry_lag;
        engine.model_to_load_next.clear();
        break;
    case engine_order_result::not_sent:
        engine.no_orders_until = now + conflict_delay;
        break;
    case engine_order_result::unknown:
        engine.no_orders_until = now + inquiry_delay;
        engine.inquiry_due = true;
        break;
    }
}

void load_planner::on_report(steady_time now, engine_state_report const& report)
{
    auto const found = impl_->engines.find(report.engine);
    if (found == impl_->engines.end())
    {
        return;
    }
    engine_load_state& engine = found->second;
    engine.inquiry_open = false;
    if (report.started_at != 0 && report.started_at != engine.entry.started_at)
    {
        impl_->late.on_restart(now, report.engine); // Its entry follows.
    }
    if (engine.open)
    {
        // The report may be of before the order, and the order's result would then restore the sequence, but
        // not what the report does not show.
        engine.inquiry_due = true;
        return;
    }
    engine.confirmed = true;
    engine.sequence = report.order_sequence;
    engine.entry.models = report.models;
    // The report shows the engine's state at its order sequence. If it is outdated, the sequence of the next
    // order does not match and the engine refuses that order.
    std::map<demand_table::key, steady_time> held;
    for (resident_model const& model : report.models)
    {
        for (std::string const& adapter : model.adapters)
        {
            auto const known = engine.adapters.find({model.name, adapter});
            held[{model.name, adapter}] = known == engine.adapters.end() ? now : known->second;
        }
    }
    engine.adapters = std::move(held);
    engine.has_unknown_order = report.busy && !engine.pending;
    if (!report.busy)
    {
        engine.pending.reset();
        return;
    }
    if (!engine.pending)
    {
        engine.inquiry_due = true; // The engine is carrying out an order of an earlier lease holder.
        engine.no_orders_until = now + inquiry_delay;
    }
}

void load_planner::on_inquiry_failed(steady_time now, backend_name const& engine)
{
    auto const found = impl_->engines.find(engine);
    if (found != impl_->engines.end())
    {
        found->second.inquiry_open = false;
        found->second.inquiry_due = true;
        found->second.no_orders_until = now + entry_lag;
    }
}

placement_update load_planner::current_placement_update(steady_time now) const
{
    placement_update result;
    result.instances = static_cast<unsigned>(impl_->demand.instances());
    for (auto const& [name, engine] : impl_->engines)
    {
        for (auto const& [which, sent] : engine.adapter_order_sent_at)
        {
            if (now - sent < adapter_update_lifetime && engine.adapters.count(which) > 0)
            {
                result.placements.push_back({name, which.first, which.second, false});
            }
        }
        for (auto const& [model, at] : engine.loaded_at)
        {
            if (now - at < model_update_lifetime && find_resident(engine.entry, model) != nullptr)
            {
                result.placements.push_back({name, model, "", false});
            }
        }
        for (auto const& [model, at] : engine.unloaded_at)
        {
            if (now - at < model_update_lifetime && find_resident(engine.entry, model) == nullptr)
            {
                result.placements.push_back({name, model, "", true});
            }
        }
        bool const unloading = (engine.pending && engine.pending->kind == order_kind::unload_model) ||
                               (engine.open && engine.open->order.kind == order_kind::unload_model);
        if (unloading)
        {
            std::string const& model = engine.pending ? engine.pending->model : engine.open->order.model;
            result.placements.push_back({name, model, "", true});
        }
        if (!engine.leaving_model.empty())
        {
            result.placements.push_back({name, engine.leaving_model, "", true});
        }
    }
    return result;
}

std::vector<held_order> load_planner::take_held_orders()
{
    return std::exchange(impl_->held_back, {});
}

std::size_t load_planner::open_orders() const
{
    return static_cast<std::size_t>(std::count_if(impl_->engines.begin(), impl_->engines.end(),
                                                  [](auto const& item)
                                                  { return item.second.open || item.second.inquiry_open; }));
}

} // namespace siskinusher
