#pragma once

#include "core/random_source.hpp"
#include "core/rank.hpp"
#include "core/steady_time.hpp"
#include "decision/request_settings.hpp"
#include "domain/engine_report.hpp"
#include "domain/fleet_config.hpp"
#include "domain/identifiers.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace siskinusher
{

/// What this instance knows about one backend server of its data centre.
struct backend_state
{
    backend_name name;
    std::string address;
    std::string pool;
    bool is_engine = true;
    bool listed_live = false;
    bool config_draining = false;
    bool leaving = false; ///< Announced by the server since its last start.
    bool dead = false;    ///< The server has died and has not reported a later boot id.
    std::uint64_t boot_id = 0;
    steady_time reported_at;
    steady_time died_at;
    engine_report report;
    unsigned other_load = 0;                ///< Requests of other instances at the time of the last report.
    std::array<unsigned, rank_count> own{}; ///< Requests of this instance in flight, by rank.
    unsigned suspects = 0;                  ///< Suspects among the requests in `own`.
    /// Suspects whose attempt on this server was lost for a reason not known yet.
    unsigned unsettled_suspects = 0;
    std::deque<std::uint64_t> ended_boots; ///< The latest boot ids that are known to have ended.

    unsigned own_total() const { return own[0] + own[1] + own[2]; }
    unsigned used() const { return other_load + own_total(); }
};

/// What a request requires of a server.
struct route_query
{
    std::string const* group = nullptr; ///< Model, or name of the plain service.
    bool service = false;
    std::string const* adapter = nullptr; ///< Null or empty for none.
    rank request_rank{rank::standard};
    std::uint64_t prefix_hash = 0;
    bool suspect = false;   ///< The request may run only on a server without another suspect.
    bool floor_due = false; ///< The rank's floor is due, so other instances' load is not counted against it.
    bool ignore_ceiling = false;         ///< Any free place will do, regardless of the rank's ceiling.
    backend_state const* only = nullptr; ///< If set, only this server may be chosen.
    std::vector<backend_name> const* allowed = nullptr;         ///< If not empty, only these may be chosen.
    std::vector<backend_name> const* avoided_servers = nullptr; ///< Chosen only if there is no other server.
};

/// Places on the usable servers for one model or service.
struct route_capacity
{
    unsigned servers = 0;
    unsigned places = 0;
    unsigned free = 0;
    unsigned own = 0; ///< Requests of this instance in flight on these servers.
};

/// Indexes the backend servers of the data centre by what they serve and chooses one for each request.
class request_router
{
public:
    request_router(request_settings const& settings, std::uint64_t seed);

    void on_config(fleet_config const& config);
    void on_instances(std::vector<listed_server> const& rows);

    enum class report_effect
    {
        ignored, ///< The server is unknown, or the report is older than what is known.
        same_boot,
        new_boot, ///< The boot id has changed, so the server has restarted.
    };
    /// A `direct` report was polled by this instance; one from a peer may be a second older.
    report_effect on_report(steady_time now, engine_report const& report, bool direct);

    /// Records that a boot of the server has ended. False when that was known already, or when the server has
    /// another boot id now.
    bool mark_dead(steady_time now, backend_name const& name, std::uint64_t boot_id);
    void mark_leaving(backend_name const& name, std::uint64_t boot_id);
    /// The server refused a request for lack of places: it gets no further request before its next report.
    void mark_full(backend_state& server);

    backend_state* find(backend_name const& name);
    /// Live servers of the list whose latest report is older than `age`, or that are dead or never reported.
    std::vector<backend_state const*> find_unreported(steady_time now, duration age) const;

    /// The server may get new work: it is live, not leaving or draining, and has sent a recent report.
    bool usable(steady_time now, backend_state const& server) const;
    /// The best server with a free place; null when there is none.
    backend_state* choose(steady_time now, route_query const& query);
    /// All usable servers that have the model, adapter or service of the query.
    std::vector<backend_name> serving(steady_time now, route_query const& query) const;
    route_capacity capacity(steady_time now, route_query const& query) const;
    /// The server is usable and has the model, adapter or service of the query, whether or not a place is
    /// free.
    bool serves(steady_time now, backend_state const& server, route_query const& query) const;

    bool any_listed_engine(std::vector<std::string> const& pools) const;
    bool any_listed_service(std::string const& pool) const;
    /// The nearest tier in which an engine of the data centre has the checkpoint.
    checkpoint_tier nearest_tier(std::string const& checkpoint) const;

    /// Records that the server was the last to be sent a request with this prompt prefix.
    void remember_prefix(std::string const& group, std::uint64_t prefix_hash, backend_state& server);

    /// Names of the models or services that the server can serve.
    std::vector<std::string> groups_of(backend_state const& server) const;
    /// Adds the names of all groups that the candidate servers of the query can serve.
    void add_groups_sharing_servers(route_query const& query, std::set<std::string>& groups) const;

private:
    using server_list = std::vector<backend_state*>;

    server_list const* candidates(route_query const& query) const;
    bool serves_as_candidate(steady_time now, backend_state const& server, route_query const& query) const;
    bool has_place(backend_state const& server, route_query const& query) const;
    void index_contents(backend_state& server, engine_report const& fresh);
    void drop_contents(backend_state& server);

    request_settings settings_;
    random_source random_;
    std::array<rank_policy, rank_count> ranks_{};
    std::map<std::string, std::string> pool_of_service_;
    std::map<std::string, std::vector<std::string>> services_of_pool_;
    std::set<std::string> draining_;
    std::unordered_map<backend_name, std::unique_ptr<backend_state>> servers_;
    std::unordered_map<std::string, server_list> by_model_;
    std::unordered_map<std::string, server_list> by_adapter_;
    std::unordered_map<std::string, server_list> by_pool_;
    std::unordered_map<std::string, std::map<backend_name, checkpoint_tier>> checkpoints_;
    std::unordered_map<std::uint64_t, backend_state*> prefixes_;
    std::deque<std::uint64_t> prefix_order_;
};

} // namespace siskinusher
