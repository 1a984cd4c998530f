#include "decision/request_router.hpp"

#include "core/hash.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace siskinusher
{

namespace
{

constexpr std::size_t max_prefixes = 4096; // Of all servers together.
constexpr std::size_t max_ended_boots = 8; // Of each server.

// Bonus for a warm prefix cache, as a share of the server's places. It is below one half, so that a
// server with the prefix and a long queue is not preferred to an idle one.
constexpr double prefix_bonus = 0.25;

// A poll reply of a server that was taken for dead is accepted only this long after its death: an earlier
// reply may have been sent before the server died.
constexpr duration revival_delay = seconds(1);

bool contains(std::vector<backend_name> const& names, backend_name const& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

void insert_unique(std::vector<backend_state*>& list, backend_state* server)
{
    if (std::find(list.begin(), list.end(), server) == list.end())
    {
        list.push_back(server);
    }
}

template <typename Index>
void remove_from(Index& index, std::string const& key, backend_state* server)
{
    auto const found = index.find(key);
    if (found == index.end())
    {
        return;
    }
    auto& list = found->second;
    list.erase(std::remove(list.begin(), list.end(), server), list.end());
    if (list.empty())
    {
        index.erase(found);
    }
}

template <typename Index>
void update_index(Index& index, std::map<std::string, std::uint64_t> const& before,
                  std::map<std::string, std::uint64_t> const& after, backend_state* server)
{
    for (auto const& item : before)
    {
        if (after.count(item.first) == 0)
        {
            remove_from(index, item.first, server);
        }
    }
    for (auto const& item : after)
    {
        insert_unique(index[item.first], server);
    }
}

std::uint64_t prefix_key(std::string const& group, std::uint64_t prefix_hash)
{
    return stable_hash(group, prefix_hash);
}

} // namespace

request_router::request_router(request_settings const& settings, std::uint64_t seed)
    : settings_(settings), random_(seed)
{
}

void request_router::on_config(fleet_config const& config)
{
    ranks_ = config.ranks;
    draining_ = config.draining;
    pool_of_service_.clear();
    services_of_pool_.clear();
    for (auto const& item : config.services)
    {
        pool_of_service_[item.first] = item.second.pool;
        services_of_pool_[item.second.pool].push_back(item.first);
    }
    for (auto& item : servers_)
    {
        item.second->config_draining = draining_.count(item.first) != 0;
    }
}

void request_router::on_instances(std::vector<listed_server> const& rows)
{
    std::set<std::string> seen;
    for (listed_server const& row : rows)
    {
        if (row.kind == listed_kind::instance || row.data_centre != settings_.data_centre)
        {
            continue;
        }
        seen.insert(row.name);
        auto& slot = servers_[row.name];
        if (slot == nullptr)
        {
            slot = std::make_unique<backend_state>();
            slot->name = row.name;
            slot->config_draining = draining_.count(row.name) != 0;
        }
        backend_state& server = *slot;
        remove_from(by_pool_, server.pool, &server);
        server.address = row.address;
        server.pool = row.pool;
        server.is_engine = row.kind == listed_kind::engine;
        server.listed_live = row.state == listed_state::live;
        insert_unique(by_pool_[server.pool], &server);
    }
    for (auto it = servers_.begin(); it != servers_.end();)
    {
        backend_state& server = *it->second;
        if (seen.count(it->first) != 0)
        {
            ++it;
            continue;
        }
        server.listed_live = false;
        if (server.own_total() > 0)
        {
            ++it;
            continue;
        }
        drop_contents(server);
        remove_from(by_pool_, server.pool, &server);
        for (auto prefix = prefixes_.begin(); prefix != prefixes_.end();)
        {
            prefix = prefix->second == &server ? prefixes_.erase(prefix) : std::next(prefix);
        }
        it = servers_.erase(it);
    }
}

void request_router::index_contents(backend_state& server, engine_report const& fresh)
{
    engine_report const& known = server.report;
    if (known.models != fresh.models)
    {
        update_index(by_model_, known.models, fresh.models, &server);
    }
    if (known.adapters != fresh.adapters)
    {
        update_index(by_adapter_, known.adapters, fresh.adapters, &server);
    }
    if (known.checkpoints == fresh.checkpoints)
    {
        return;
    }
    for (auto const& item : known.checkpoints)
    {
        auto const found = checkpoints_.find(item.first);
        if (found != checkpoints_.end() && fresh.checkpoints.count(item.first) == 0)
        {
            found->second.erase(server.name);
            if (found->second.empty())
            {
                checkpoints_.erase(found);
            }
        }
    }
    for (auto const& item : fresh.checkpoints)
    {
        checkpoints_[item.first][server.name] = item.second;
    }
}

void request_router::drop_contents(backend_state& server)
{
    index_contents(server, engine_report{});
    server.report = engine_report{};
}

request_router::report_effect request_router::on_report(steady_time now, engine_report const& report,
                                                        bool direct)
{
    backend_state* const server = find(report.name);
    if (server == nullptr || report.boot_id == 0)
    {
        return report_effect::ignored;
    }
    auto& ended = server->ended_boots;
    auto const ended_boot = std::find(ended.begin(), ended.end(), report.boot_id);
    if (ended_boot != ended.end())
    {
        if (!direct || now - server->died_at < revival_delay)
        {
            return report_effect::ignored;
        }
        ended.erase(ended_boot);
    }
    report_effect effect = report_effect::same_boot;
    if (report.boot_id == server->boot_id)
    {
        if (report.revision < server->report.revision)
        {
            return report_effect::ignored;
        }
    }
    else
    {
        if (server->boot_id != 0 && !server->dead)
        {
            effect = report_effect::new_boot;
            mark_dead(now, report.name, server->boot_id);
        }
        server->leaving = false;
    }
    bool const restarted = server->dead || server->boot_id != report.boot_id;
    server->dead = false;
    server->boot_id = report.boot_id;
    server->leaving = server->leaving || report.leaving;
    server->reported_at = now;
    // The contents are copied only when they have changed: they change far less often than reports arrive,
    // and the list of adapters makes a report long.
    bool const changed = report.revision != server->report.revision ||
                         report.models != server->report.models ||
                         report.adapters.size() != server->report.adapters.size() ||
                         report.checkpoints.size() != server->report.checkpoints.size();
    if (restarted || changed)
    {
        index_contents(*server, report);
        server->report = report;
    }
    server->report.places = report.places;
    server->report.running = report.running;
    server->report.waiting = report.waiting;
    unsigned const total = report.running + report.waiting;
    // All requests of this instance are assumed to be part of the reported load. If one is not counted yet,
    // the server seems to have a free place too many; it then refuses the request that exceeds its places.
    unsigned const own = effect == report_effect::new_boot ? 0 : server->own_total();
    server->other_load = total > own ? total - own : 0;
    return effect;
}

bool request_router::mark_dead(steady_time now, backend_name const& name, std::uint64_t boot_id)
{
    backend_state* const server = find(name);
    if (server == nullptr || boot_id == 0 || server->boot_id != boot_id || server->dead)
    {
        return false;
    }
    server->dead = true;
    server->died_at = now;
    server->ended_boots.push_back(boot_id);
    if (server->ended_boots.size() > max_ended_boots)
    {
        server->ended_boots.pop_front();
    }
    drop_contents(*server);
    return true;
}

void request_router::mark_leaving(backend_name const& name, std::uint64_t boot_id)
{
    backend_state* const server = find(name);
    if (server != nullptr && server->boot_id == boot_id)
    {
        server->leaving = true;
    }
}

void request_router::mark_full(backend_state& server)
{
    unsigned const own = server.own_total();
    server.other_load =
        std::max(server.other_load, server.report.places > own ? server.report.places - own : 0U);
}

std::vector<backend_state const*> request_router::find_unreported(steady_time now, duration age) const
{
    std::vector<backend_state const*> result;
    for (auto const& item : servers_)
    {
        backend_state const& server = *item.second;
        if (server.listed_live && (server.boot_id == 0 || server.dead || now - server.reported_at > age))
        {
            result.push_back(&server);
        }
    }
    return result;
}

backend_state* request_router::find(backend_name const& name)
{
    auto const found = servers_.find(name);
    return found == servers_.end() ? nullptr : found->second.get();
}

bool request_router::usable(steady_time now, backend_state const& server) const
{
    return server.listed_live && !server.config_draining && !server.leaving && !server.dead &&
           server.boot_id != 0 && now - server.reported_at <= settings_.max_report_age;
}

request_router::server_list const* request_router::candidates(route_query const& query) const
{
    if (query.service)
    {
        auto const pool = pool_of_service_.find(*query.group);
        if (pool == pool_of_service_.end())
        {
            return nullptr;
        }
        auto const found = by_pool_.find(pool->second);
        return found == by_pool_.end() ? nullptr : &found->second;
    }
    bool const adapter = query.adapter != nullptr && !query.adapter->empty();
    auto const& index = adapter ? by_adapter_ : by_model_;
    auto const found = index.find(adapter ? *query.adapter : *query.group);
    return found == index.end() ? nullptr : &found->second;
}

bool request_router::serves(steady_time now, backend_state const& server, route_query const& query) const
{
    if (!usable(now, server) || server.is_engine == query.service)
    {
        return false;
    }
    if (query.service)
    {
        auto const pool = pool_of_service_.find(*query.group);
        return pool != pool_of_service_.end() && pool->second == server.pool;
    }
    if (server.report.models.count(*query.group) == 0)
    {
        return false;
    }
    return query.adapter == nullptr || query.adapter->empty() ||
           server.report.adapters.count(*query.adapter) != 0;
}

// For a server from candidates(), which match by pool, adapter or model; only the base model of an adapter
// remains to be checked.
bool request_router::serves_as_candidate(steady_time now, backend_state const& server,
                                         route_query const& query) const
{
    if (!usable(now, server) || server.is_engine == query.service)
    {
        return false;
    }
    bool const by_adapter = !query.service && query.adapter != nullptr && !query.adapter->empty();
    return !by_adapter || server.report.models.count(*query.group) != 0;
}

bool request_router::has_place(backend_state const& server, route_query const& query) const
{
    unsigned const places = server.report.places;
    if (server.used() >= places || (query.suspect && server.suspects + server.unsettled_suspects > 0))
    {
        return false;
    }
    if (query.allowed != nullptr && !query.allowed->empty() && !contains(*query.allowed, server.name))
    {
        return false;
    }
    if (query.ignore_ceiling)
    {
        return true;
    }
    std::size_t const r = index_of(query.request_rank);
    auto const limit = std::max(1U, static_cast<unsigned>(std::floor(ranks_[r].ceiling * places + 1e-9)));
    // Reports do not contain the ranks of other instances' requests. They are counted as requests of this
    // rank unless the rank would then fall below its floor.
    unsigned const held = server.own[r] + (query.floor_due ? 0 : server.other_load);
    return held < limit;
}

backend_state* request_router::choose(steady_time now, route_query const& query)
{
    if (query.only != nullptr)
    {
        backend_state* const server = find(query.only->name);
        return server != nullptr && serves(now, *server, query) && has_place(*server, query) ? server
                                                                                             : nullptr;
    }
    server_list const* const list = candidates(query);
    if (list == nullptr)
    {
        return nullptr;
    }
    backend_state const* warm = nullptr;
    if (query.prefix_hash != 0)
    {
        auto const found = prefixes_.find(prefix_key(*query.group, query.prefix_hash));
        warm = found == prefixes_.end() ? nullptr : found->second;
    }
    backend_state* best = nullptr;
    bool best_avoided = true;
    double best_score = 0.0;
    // The search starts at a random server, so that instances with the same reports do not all choose the
    // same one of several equal servers.
    std::size_t const start = random_.below(list->size());
    for (std::size_t i = 0; i < list->size(); ++i)
    {
        backend_state* const server = (*list)[(start + i) % list->size()];
        if (!serves_as_candidate(now, *server, query) || !has_place(*server, query))
        {
            continue;
        }
        bool const avoided = query.avoided_servers != nullptr &&
                             std::find(query.avoided_servers->begin(), query.avoided_servers->end(),
                                       server->name) != query.avoided_servers->end();
        double const score = static_cast<double>(server->used()) / server->report.places -
                             (server == warm ? prefix_bonus : 0.0);
        if (best == nullptr || (best_avoided && !avoided) || (best_avoided == avoided && score < best_score))
        {
            best = server;
            best_avoided = avoided;
            best_score = score;
        }
    }
    return best;
}

std::vector<backend_name> request_router::serving(steady_time now, route_query const& query) const
{
    std::vector<backend_name> names;
    server_list const* const list = candidates(query);
    if (list == nullptr)
    {
        return names;
    }
    for (backend_state const* server : *list)
    {
        if (serves_as_candidate(now, *server, query))
        {
            names.push_back(server->name);
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

route_capacity request_router::capacity(steady_time now, route_query const& query) const
{
    route_capacity total;
    server_list const* const list = candidates(query);
    if (list == nullptr)
    {
        return total;
    }
    for (backend_state* const server : *list)
    {
        if (!serves_as_candidate(now, *server, query))
        {
            continue;
        }
        unsigned const places = server->report.places;
        ++total.servers;
        total.places += places;
        total.free += places > server->used() ? places - server->used() : 0;
        total.own += server->own_total();
    }
    return total;
}

bool request_router::any_listed_engine(std::vector<std::string> const& pools) const
{
    return std::any_of(servers_.begin(), servers_.end(),
                       [&pools](auto const& item)
                       {
                           backend_state const& server = *item.second;
                           return server.is_engine && server.listed_live && !server.config_draining &&
                                  (pools.empty() ||
                                   std::find(pools.begin(), pools.end(), server.pool) != pools.end());
                       });
}

bool request_router::any_listed_service(std::string const& pool) const
{
    auto const found = by_pool_.find(pool);
    return found != by_pool_.end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [](backend_state const* server)
                       { return !server->is_engine && server->listed_live && !server->config_draining; });
}

checkpoint_tier request_router::nearest_tier(std::string const& checkpoint) const
{
    checkpoint_tier nearest = checkpoint_tier::remote;
    auto const found = checkpoints_.find(checkpoint);
    if (found != checkpoints_.end())
    {
        for (auto const& item : found->second)
        {
            nearest = std::min(nearest, item.second);
        }
    }
    return nearest;
}

void request_router::remember_prefix(std::string const& group, std::uint64_t prefix_hash,
                                     backend_state& server)
{
    if (prefix_hash == 0)
    {
        return;
    }
    std::uint64_t const key = prefix_key(group, prefix_hash);
    auto const inserted = prefixes_.insert_or_assign(key, &server);
    if (!inserted.second)
    {
        return;
    }
    prefix_order_.push_back(key);
    if (prefix_order_.size() > max_prefixes)
    {
        prefixes_.erase(prefix_order_.front());
        prefix_order_.pop_front();
    }
}

void request_router::add_groups_sharing_servers(route_query const& query, std::set<std::string>& groups) const
{
    server_list const* const list = candidates(query);
    if (list == nullptr)
    {
        return;
    }
    for (backend_state const* server : *list)
    {
        for (std::string& group : groups_of(*server))
        {
            groups.insert(std::move(group));
        }
    }
}

std::vector<std::string> request_router::groups_of(backend_state const& server) const
{
    std::vector<std::string> groups;
    if (!server.is_engine)
    {
        auto const found = services_of_pool_.find(server.pool);
        if (found != services_of_pool_.end())
        {
            groups = found->second;
        }
        return groups;
    }
    groups.reserve(server.report.models.size());
    for (auto const& item : server.report.models)
    {
        groups.push_back(item.first);
    }
    return groups;
}

} // namespace siskinusher
