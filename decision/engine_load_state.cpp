#include "decision/engine_load_state_impl.hpp"

#include <algorithm>
#include <iterator>

namespace siskinusher
{

namespace
{

// Time from the end of a load until the holder sees it in the engine's entry.
constexpr duration entry_delay = milliseconds{50};
// Duration of an unload followed by a load from disk.
constexpr duration rotation_time = milliseconds{1000};
constexpr duration order_round_trip = milliseconds{40};
// A load order for an adapter counts as on its way for this time.
constexpr duration adapter_transit = milliseconds{60};

} // namespace

bool engine_load_state::can_take_order(steady_time now) const
{
    return now >= unreachable_until && confirmed && !open && !inquiry_open && !inquiry_due &&
           !entry.leaving && now >= no_orders_until;
}

std::set<std::string> engine_load_state::occupants() const
{
    std::set<std::string> names;
    for (resident_model const& model : entry.models)
    {
        names.insert(model.name);
    }
    if (pending && pending->kind == order_kind::load_model)
    {
        names.insert(pending->model);
    }
    if (open && open->order.kind == order_kind::load_model)
    {
        names.insert(open->order.model);
    }
    return names;
}

std::set<std::string> engine_load_state::serving() const
{
    std::set<std::string> names = occupants();
    if (pending && pending->kind == order_kind::unload_model)
    {
        names.erase(pending->model);
    }
    if (open && open->order.kind == order_kind::unload_model)
    {
        names.erase(open->order.model);
    }
    names.erase(leaving_model);
    if (!model_to_load_next.empty())
    {
        names.insert(model_to_load_next);
    }
    return names;
}

double engine_load_state::free_mb(model_index const& service) const
{
    double used = 0.0;
    for (std::string const& name : occupants())
    {
        model_profile const* const model = service.find(name);
        used += model == nullptr ? 0.0 : model->weights_mb;
    }
    return service.model_memory_mb() - used;
}

checkpoint_tier engine_load_state::tier_of(std::string const& model) const
{
    if (entry.copies_in_memory.count(model) > 0)
    {
        return checkpoint_tier::memory;
    }
    return entry.copies_on_disk.count(model) > 0 ? checkpoint_tier::disk : checkpoint_tier::remote;
}

double engine_load_state::occupied_ms(steady_time now) const
{
    duration span = std::max<duration>(no_orders_until - now, duration{0});
    if (pending)
    {
        span = std::max<duration>(span, pending->expected_end - now + entry_delay);
    }
    if (!model_to_load_next.empty())
    {
        span += rotation_time;
    }
    if (open || inquiry_open || inquiry_due)
    {
        span += order_round_trip;
    }
    return std::chrono::duration<double, std::milli>(span).count();
}

unsigned engine_load_state::adapter_loads_in_flight(steady_time now) const
{
    return static_cast<unsigned>(std::count_if(adapter_order_sent_at.begin(), adapter_order_sent_at.end(),
                                               [now](auto const& each)
                                               { return now - each.second < adapter_transit; }));
}

void engine_load_state::remove_model(std::string const& model)
{
    auto& models = entry.models;
    models.erase(std::remove_if(models.begin(), models.end(),
                                [&model](resident_model const& each) { return each.name == model; }),
                 models.end());
    for (auto each = adapters.begin(); each != adapters.end();)
    {
        each = each->first.first == model ? adapters.erase(each) : std::next(each);
    }
}

duration load_time(checkpoint_tier from, model_profile const& model)
{
    switch (from)
    {
    case checkpoint_tier::memory:
        return model.load_from_memory;
    case checkpoint_tier::disk:
        return model.load_from_disk;
    case checkpoint_tier::remote:
        break;
    }
    return model.load_from_store;
}

} // namespace siskinusher
