#pragma once

#include "domain/backend_entry.hpp"
#include "domain/dispatch_request.hpp"
#include "domain/event.hpp"
#include "domain/placement_exchange.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace siskinusher
{

/// A model, or an adapter of it.
using placement_key = std::pair<std::string, std::string>;

/// What this instance knows about one backend server.
struct known_backend
{
    backend_entry entry;
    unsigned own_requests = 0;   ///< Requests of this instance at the server.
    unsigned other_requests = 0; ///< Requests of other instances, at the last load report.
    steady_time direct_load_at;  ///< When the server itself last reported its load.
    steady_time load_updated_at; ///< When the load was last reported by any source; the epoch when never.
    double failure_rate = 0.0;   ///< Moving average over this instance's attempts, 0 to 1.
    steady_time failed_at;       ///< Of the last failure.
    unsigned consecutive_failures = 0;
    steady_time unreachable_until;                      ///< Set when no connection could be opened.
    steady_time avoid_until;                            ///< Set after failures or a full queue.
    std::map<placement_key, steady_time> absent_until;  ///< Set when the server denied holding it.
    std::map<placement_key, steady_time> placed_until;  ///< Set when the lease holder had it loaded.
    std::map<placement_key, steady_time> leaving_until; ///< Set when the lease holder ordered its unload.
    std::map<placement_key, unsigned> running;
    bool said_leaving = false;  ///< It said in an answer that it leaves; its entry may not show it.
    steady_time paused_until;   ///< The server itself wants no request before.
    double unread_tokens = 0.0; ///< Prompt tokens sent by this instance and perhaps not read yet.
    double pause_level = 0.0; ///< Pauses in streams as a share of the longest one allowed; decays with time.
    steady_time paused_at;    ///< Of the last pause.
};

/// The backend servers that this instance knows, with their state as seen by its own attempts and by reports.
class backend_state_table
{
public:
    void on_backend(backend_entry const& entry);
    void on_backend_gone(backend_name const& name);
    void on_placements(steady_time now, placement_update const& placement);
    void on_load(steady_time now, backend_name const& name, backend_load const& load);
    /// Takes the number of requests of all instances at each engine; engines that are not listed run nothing.
    void on_fleet_load(steady_time now, std::vector<engine_requests> const& running);
    /// The server lost a request or could not be reached: it is avoided for a while.
    void on_failure(steady_time now, known_backend& backend);
    /// The server was slower than this instance waits. It may be sound, so that it is not avoided.
    void on_silence(steady_time now, known_backend& backend);
    void on_success(known_backend& backend);
    /// The server answered with an error, which is normal for some calls and weighs less than a failure.
    void on_server_error(steady_time now, known_backend& backend);

    known_backend* find(backend_name const& name);
    known_backend const* find(backend_name const& name) const;
    std::size_t size() const { return backends_.size(); }
    /// The failures of late were not those of the servers.
    void forget_failures();
    /// Address of a server that is not leaving and not left out, chosen by `draw`; empty when there is none.
    std::string any_address(std::uint64_t draw,
                            std::function<bool(backend_name const&)> const& left_out) const;

    /// Servers of the service that hold the model and adapter and are not leaving.
    std::vector<known_backend*> candidates(steady_time now, std::string const& service,
                                           placement_key const& key);
    std::vector<engine_requests> running_at_engines() const;
    std::vector<backend_name> unreachable(steady_time now) const;
    bool has_servers_of(std::string const& service) const;
    /// True when a server of the service that is not leaving has one of the software versions.
    bool has_version_of(std::string const& service, std::set<std::string> const& versions) const;

    /// A stream of the server paused; `share` is the pause as a share of the longest one allowed.
    static void on_pause(steady_time now, known_backend& backend, double share);
    static double pause_level(steady_time now, known_backend const& backend);
    /// The failure rate; it decays with time, so that a server that failed is tried again.
    static double failure_rate(steady_time now, known_backend const& backend);
    /// Requests at the server as far as known; a load report counts for two seconds after it came.
    static unsigned in_use(steady_time now, known_backend const& backend);

private:
    std::unordered_map<backend_name, std::unique_ptr<known_backend>> backends_;
    std::map<std::string, std::vector<known_backend*>> by_service_;
};

} // namespace siskinusher
