#include "decision/late_orders_impl.hpp"

#include <algorithm>
#include <set>
#include <string>

namespace siskinusher
{

namespace
{

// An engine carries out a late order up to 12 s after it arrived. Before that the order may be on its way
// until the kernel gives up the connection, after 3 s without an acknowledgement.
constexpr duration late_order_lifetime = seconds{16};
// Places that are kept for late orders of other holders. Adapters load within milliseconds, so that two
// orders in a row may both be late; after a load of a model, seconds pass until the next order.
constexpr std::size_t foreign_adapter_places = 2;

double weights_of(model_index const& profile, std::string const& model)
{
    model_profile const* const found = profile.find(model);
    return found == nullptr ? 0.0 : found->weights_mb;
}

double largest_weights(model_index const& profile)
{
    double largest = 0.0;
    for (model_profile const& model : profile.engine().models)
    {
        largest = std::max(largest, model.weights_mb);
    }
    return largest;
}

// The models and adapters of one engine.
struct engine_contents
{
    std::set<std::string> models;
    std::set<demand_table::key> adapters;

    void apply(engine_order const& order)
    {
        switch (order.kind)
        {
        case order_kind::load_model:
            models.insert(order.model);
            break;
        case order_kind::unload_model:
            remove(order.model);
            break;
        case order_kind::load_adapter:
            if (models.count(order.model) > 0)
            {
                adapters.insert({order.model, order.adapter});
            }
            break;
        case order_kind::unload_adapter:
            adapters.erase({order.model, order.adapter});
            break;
        }
    }

    // Unloading a model drops its adapters.
    void remove(std::string const& model)
    {
        models.erase(model);
        for (auto each = adapters.begin(); each != adapters.end();)
        {
            each = each->first == model ? adapters.erase(each) : std::next(each);
        }
    }

    double used_mb(model_index const& profile) const
    {
        double sum = 0.0;
        for (std::string const& model : models)
        {
            sum += weights_of(profile, model);
        }
        return sum;
    }
};

engine_contents contents_of(engine_load_state const& engine)
{
    engine_contents result{engine.occupants(), {}};
    for (auto const& [adapter, used_at] : engine.adapters)
    {
        result.adapters.insert(adapter);
    }
    return result;
}

// Adds what the late orders load that fit at `count` or at the counts behind it: each one that is carried out
// may bring the engine to the count of the next. Returns the number of these loads.
std::size_t apply_from(std::uint64_t count, std::vector<engine_order const*> const& orders,
                       model_index const& profile, engine_contents& contents)
{
    std::size_t applied = 0;
    for (bool any = true; any; ++count)
    {
        any = false;
        engine_order const* largest = nullptr;
        for (engine_order const* const each : orders)
        {
            if (each->expected_sequence != count)
            {
                continue;
            }
            any = true;
            if (each->kind == order_kind::load_adapter)
            {
                contents.apply(*each);
                ++applied;
                continue;
            }
            bool const loads =
                each->kind == order_kind::load_model && contents.models.count(each->model) == 0;
            if (loads && (largest == nullptr ||
                          weights_of(profile, each->model) > weights_of(profile, largest->model)))
            {
                largest = each;
            }
        }
        if (largest != nullptr)
        {
            contents.apply(*largest);
            ++applied;
        }
    }
    return applied;
}

} // namespace

void late_orders::on_entry(steady_time now, backend_entry const& entry)
{
    auto const [found, inserted] = runs_.try_emplace(entry.name);
    engine_run& run = found->second;
    if (!inserted && run.started_at != entry.started_at)
    {
        run.restarted_at = now;
    }
    run.started_at = entry.started_at;
    run.gone_at = steady_time::max();
}

void late_orders::on_entry_gone(steady_time now, backend_name const& engine)
{
    auto const found = runs_.find(engine);
    if (found != runs_.end())
    {
        found->second.gone_at = now;
    }
}

void late_orders::on_restart(steady_time now, backend_name const& engine)
{
    runs_[engine].restarted_at = now;
}

void late_orders::on_lease(steady_time now, earlier_orders earlier)
{
    if (earlier == earlier_orders::of_other_holders)
    {
        foreign_until_ = now + late_order_lifetime;
    }
}

void late_orders::on_sent(steady_time now, engine_order const& order)
{
    orders_[order.engine].push_back({order, now + late_order_lifetime});
}

void late_orders::on_result(engine_order const& order, engine_order_result result)
{
    auto const found = orders_.find(order.engine);
    if (found == orders_.end() || result == engine_order_result::unknown)
    {
        return;
    }
    auto& list = found->second;
    list.erase(std::remove_if(list.begin(), list.end(),
                              [&order](sent_order const& each) { return each.order.number == order.number; }),
               list.end());
}

void late_orders::expire(steady_time now)
{
    for (auto each = orders_.begin(); each != orders_.end();)
    {
        auto& list = each->second;
        list.erase(std::remove_if(list.begin(), list.end(),
                                  [now](sent_order const& sent) { return now >= sent.until; }),
                   list.end());
        each = list.empty() ? orders_.erase(each) : std::next(each);
    }
    for (auto each = runs_.begin(); each != runs_.end();)
    {
        bool const forgotten =
            each->second.gone_at != steady_time::max() && now - each->second.gone_at >= late_order_lifetime;
        each = forgotten ? runs_.erase(each) : std::next(each);
    }
}

bool late_orders::cautious(steady_time now, backend_name const& engine) const
{
    auto const run = runs_.find(engine);
    return now < foreign_until_ && run != runs_.end() && run->second.restarted_at != steady_time::min() &&
           now - run->second.restarted_at < late_order_lifetime;
}

bool late_orders::leave_room(steady_time now, engine_load_state const& engine, model_index const& profile,
                             engine_order const& order) const
{
    std::vector<engine_order const*> late;
    if (auto const found = orders_.find(engine.entry.name); found != orders_.end())
    {
        for (sent_order const& each : found->second)
        {
            if (now < each.until)
            {
                late.push_back(&each.order);
            }
        }
    }
    bool const foreign = cautious(now, engine.entry.name);
    if (late.empty() && !foreign)
    {
        return true;
    }
    engine_contents contents = contents_of(engine);
    contents.apply(order);
    std::size_t const applied = apply_from(order.expected_sequence + 1, late, profile, contents);
    if (applied == 0 && !foreign)
    {
        return true;
    }
    double const foreign_mb = foreign ? largest_weights(profile) : 0.0;
    std::size_t const places = profile.engine().adapter_places;
    std::size_t const foreign_adapters = foreign ? std::min(foreign_adapter_places, places) : 0;
    return contents.used_mb(profile) + foreign_mb <= profile.model_memory_mb() &&
           contents.adapters.size() + foreign_adapters <= places;
}

bool late_orders::may_change(steady_time now, backend_name const& engine) const
{
    return now < foreign_until_ || orders_.count(engine) > 0;
}

steady_time late_orders::last_at(steady_time now, backend_name const& engine) const
{
    steady_time last = now;
    if (auto const found = orders_.find(engine); found != orders_.end())
    {
        for (sent_order const& each : found->second)
        {
            last = std::max(last, each.until);
        }
    }
    return cautious(now, engine) ? std::max(last, foreign_until_) : last;
}

} // namespace siskinusher
