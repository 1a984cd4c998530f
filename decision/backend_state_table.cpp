#include "decision/backend_state_table.hpp"

#include <algorithm>
#include <cmath>

namespace siskinusher
{

namespace
{

// For this time the load that an engine itself reported takes precedence over the sums of all instances,
// which lag behind by the report interval of 500 ms.
constexpr duration direct_load_lifetime = milliseconds{500};
// An older load report is ignored: most requests that it counted have ended since.
constexpr duration load_lifetime = seconds{2};
// Time for which a placement counts. The lease holder repeats it with each reply, every 500 ms, and the
// server's entry shows it within a heartbeat.
constexpr duration placement_lifetime = seconds{5};
constexpr double failure_weight = 0.2;
constexpr double server_error_weight = 0.1;
constexpr double pause_weight = 0.3;
// A pause longer than four times the allowed one counts as four times: a stalled stream adds no information.
constexpr double max_pause_share = 4.0;
// Time constant of the decay of the pause level. A burst of prompts is read within a second.
constexpr double pause_decay_s = 1.5;
// Time constant of the decay of the failure rate. Crashed servers are back after some seconds.
constexpr double failure_decay_s = 3.0;
constexpr duration initial_avoidance = milliseconds{400};
constexpr duration max_avoidance = seconds{4};

bool is_active(std::map<placement_key, steady_time> const& times, placement_key const& key, steady_time now)
{
    auto const found = times.find(key);
    return found != times.end() && now < found->second;
}

bool entry_lists(backend_entry const& entry, placement_key const& key)
{
    resident_model const* const model = find_resident(entry, key.first);
    return model != nullptr && (key.second.empty() || model->adapters.count(key.second) > 0);
}

bool holds(steady_time now, known_backend const& backend, placement_key const& key)
{
    if (key.first.empty())
    {
        return true;
    }
    if (is_active(backend.absent_until, key, now) || is_active(backend.leaving_until, {key.first, ""}, now))
    {
        return false;
    }
    return entry_lists(backend.entry, key) || is_active(backend.placed_until, key, now);
}

void raise_failure_rate(steady_time now, known_backend& backend, double weight)
{
    double const rate = backend_state_table::failure_rate(now, backend);
    backend.failure_rate = rate + weight * (1.0 - rate);
    backend.failed_at = now;
}

} // namespace

void backend_state_table::on_backend(backend_entry const& entry)
{
    auto& slot = backends_[entry.name];
    if (slot && slot->entry.started_at != entry.started_at)
    {
        // The server was restarted under the same name: what was observed of its earlier run no longer
        // applies.
        unsigned const own_requests = slot->own_requests;
        known_backend fresh;
        fresh.own_requests = own_requests;
        fresh.entry = slot->entry;
        *slot = fresh;
    }
    if (slot && slot->entry.service != entry.service)
    {
        auto& list = by_service_[slot->entry.service];
        list.erase(std::remove(list.begin(), list.end(), slot.get()), list.end());
        by_service_[entry.service].push_back(slot.get());
    }
    if (!slot)
    {
        slot = std::make_unique<known_backend>();
        by_service_[entry.service].push_back(slot.get());
    }
    if (!(slot->entry.models == entry.models))
    {
        slot->absent_until.clear();
    }
    slot->entry = entry;
}

void backend_state_table::on_backend_gone(backend_name const& name)
{
    auto const found = backends_.find(name);
    if (found == backends_.end())
    {
        return;
    }
    auto& list = by_service_[found->second->entry.service];
    list.erase(std::remove(list.begin(), list.end(), found->second.get()), list.end());
    backends_.erase(found);
}

void backend_state_table::on_placements(steady_time now, placement_update const& placement)
{
    for (recent_placement const& each : placement.placements)
    {
        known_backend* const backend = find(each.engine);
        if (backend == nullptr)
        {
            continue;
        }
        placement_key const key{each.model, each.adapter};
        if (each.leaving)
        {
            backend->leaving_until[key] = now + placement_lifetime;
            backend->placed_until.erase(key);
        }
        else
        {
            backend->placed_until[key] = now + placement_lifetime;
            backend->leaving_until.erase({each.model, ""});
            backend->absent_until.erase(key);
        }
    }
    if (placement.running)
    {
        on_fleet_load(now, *placement.running);
    }
}

void backend_state_table::on_fleet_load(steady_time now, std::vector<engine_requests> const& running)
{
    std::map<backend_name, unsigned> totals;
    for (engine_requests const& each : running)
    {
        totals[each.engine] = each.running;
    }
    for (auto const& [name, backend] : backends_)
    {
        if (backend->entry.is_engine && now - backend->direct_load_at >= direct_load_lifetime)
        {
            auto const found = totals.find(name);
            unsigned const total = found == totals.end() ? 0 : found->second;
            backend->other_requests = total > backend->own_requests ? total - backend->own_requests : 0;
            backend->load_updated_at = now;
        }
    }
}

std::vector<engine_requests> backend_state_table::running_at_engines() const
{
    std::vector<engine_requests> rows;
    for (auto const& [name, backend] : backends_)
    {
        if (backend->entry.is_engine && backend->own_requests > 0)
        {
            rows.push_back({name, backend->own_requests});
        }
    }
    return rows;
}

void backend_state_table::on_load(steady_time now, backend_name const& name, backend_load const& load)
{
    known_backend* const backend = find(name);
    if (backend == nullptr)
    {
        return;
    }
    unsigned const total = load.running + load.waiting;
    backend->other_requests = total > backend->own_requests ? total - backend->own_requests : 0;
    backend->load_updated_at = now;
    backend->direct_load_at = now;
}

double backend_state_table::failure_rate(steady_time now, known_backend const& backend)
{
    double const age = std::chrono::duration<double>(now - backend.failed_at).count();
    return backend.failure_rate * std::exp(-age / failure_decay_s);
}

double backend_state_table::pause_level(steady_time now, known_backend const& backend)
{
    double const age = std::chrono::duration<double>(now - backend.paused_at).count();
    return backend.pause_level * std::exp(-age / pause_decay_s);
}

void backend_state_table::on_pause(steady_time now, known_backend& backend, double share)
{
    double const level = pause_level(now, backend);
    backend.pause_level = level + pause_weight * (std::min(share, max_pause_share) - level);
    backend.paused_at = now;
}

void backend_state_table::on_server_error(steady_time now, known_backend& backend)
{
    raise_failure_rate(now, backend, server_error_weight);
}

void backend_state_table::on_silence(steady_time now, known_backend& backend)
{
    raise_failure_rate(now, backend, failure_weight);
}

void backend_state_table::on_failure(steady_time now, known_backend& backend)
{
    raise_failure_rate(now, backend, failure_weight);
    duration const span = std::min<duration>(
        initial_avoidance * (1U << std::min(backend.consecutive_failures, 4U)), max_avoidance);
    ++backend.consecutive_failures;
    backend.avoid_until = now + span;
}

void backend_state_table::on_success(known_backend& backend)
{
    backend.failure_rate -= failure_weight * backend.failure_rate;
    backend.consecutive_failures = 0;
}

known_backend* backend_state_table::find(backend_name const& name)
{
    auto const found = backends_.find(name);
    return found == backends_.end() ? nullptr : found->second.get();
}

known_backend const* backend_state_table::find(backend_name const& name) const
{
    auto const found = backends_.find(name);
    return found == backends_.end() ? nullptr : found->second.get();
}

void backend_state_table::forget_failures()
{
    for (auto const& [name, backend] : backends_)
    {
        backend->failure_rate = 0.0;
        backend->consecutive_failures = 0;
        backend->avoid_until = {};
        backend->unreachable_until = {};
    }
}

std::string backend_state_table::any_address(std::uint64_t draw,
                                             std::function<bool(backend_name const&)> const& left_out) const
{
    std::vector<std::string> addresses;
    for (auto const& [name, backend] : backends_)
    {
        if (!backend->entry.leaving && !left_out(name))
        {
            addresses.push_back(backend->entry.address);
        }
    }
    return addresses.empty() ? std::string() : addresses[draw % addresses.size()];
}

std::vector<known_backend*> backend_state_table::candidates(steady_time now, std::string const& service,
                                                            placement_key const& key)
{
    std::vector<known_backend*> found;
    auto const list = by_service_.find(service);
    if (list == by_service_.end())
    {
        return found;
    }
    for (known_backend* const backend : list->second)
    {
        if (!backend->entry.leaving && !backend->said_leaving && holds(now, *backend, key))
        {
            found.push_back(backend);
        }
    }
    return found;
}

bool backend_state_table::has_version_of(std::string const& service,
                                         std::set<std::string> const& versions) const
{
    auto const list = by_service_.find(service);
    return list != by_service_.end() &&
           std::any_of(list->second.begin(), list->second.end(),
                       [&versions](known_backend const* each)
                       { return !each->entry.leaving && versions.count(each->entry.software_version) > 0; });
}

std::vector<backend_name> backend_state_table::unreachable(steady_time now) const
{
    std::vector<backend_name> names;
    for (auto const& [name, backend] : backends_)
    {
        if (now < backend->unreachable_until)
        {
            names.push_back(name);
        }
    }
    return names;
}

bool backend_state_table::has_servers_of(std::string const& service) const
{
    auto const list = by_service_.find(service);
    return list != by_service_.end() && !list->second.empty();
}

unsigned backend_state_table::in_use(steady_time now, known_backend const& backend)
{
    bool const recent =
        backend.load_updated_at != steady_time{} && now - backend.load_updated_at < load_lifetime;
    return backend.own_requests + (recent ? backend.other_requests : 0);
}

} // namespace siskinusher
