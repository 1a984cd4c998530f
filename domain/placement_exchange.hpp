#pragma once

#include "core/steady_time.hpp"
#include "domain/backend_update.hpp"
#include "domain/begun_stream.hpp"
#include "domain/crash_mark.hpp"
#include "domain/identifiers.hpp"
#include "domain/known_config.hpp"
#include "domain/peer_relay.hpp"
#include "domain/server_limit.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace siskinusher
{

/// The demand of one instance's callers for a model, or for one of its adapters.
struct model_demand
{
    std::string service;
    std::string model;
    std::string adapter;   ///< Empty for the model without an adapter.
    unsigned priority = 0; ///< The most urgent priority of these requests.
    unsigned waiting = 0;  ///< Requests that no engine can take yet.
    unsigned running = 0;  ///< Requests that run at engines.
    unsigned arrivals = 0; ///< Requests since the previous report.
};

/// Number of requests of one instance, or of all instances, that run at an engine.
struct engine_requests
{
    backend_name engine;
    unsigned running = 0;
};

/// Sent by every instance to the lease holder.
struct demand_report
{
    std::string instance;
    std::string peer_address; ///< Where the instance accepts calls from its peers.
    std::vector<model_demand> models;
    std::vector<backend_name> unreachable;  ///< Engines at whose address nothing listens.
    std::vector<engine_requests> running{}; ///< This instance's requests; engines without any are left out.
    bool sent_early = false; ///< Sent early because requests wait; the reply leaves out what is not urgent.
    /// Position in the holder's sequence of server changes up to which this instance knows them.
    update_position servers_position{};
    std::uint64_t crash_marks_digest = 0; ///< Of the marks that this instance has; see crash_ledger.
    /// Marks that this instance found and that the holder may not have from the store yet.
    std::vector<crash_mark> new_crash_marks{};
    std::vector<limit_report> limits{}; ///< Servers that name a limit, or have ceased to.
    known_config config{};
    std::vector<begun_stream> streams{}; ///< Those that the holder has not been told yet.
    std::string data_centre{};
    bool cut_off = false; ///< The instance reaches no server; it is no relay, and asks for relays.
};

/// A model or adapter whose load the lease holder ordered recently, so that the engine's entry may not show
/// it yet.
struct recent_placement
{
    backend_name engine;
    std::string model;
    std::string adapter;  ///< Empty for the model itself.
    bool leaving = false; ///< The holder ordered its unload: the engine gets no new request for it.
};

/// The placements and loads that the lease holder sends in reply to a demand report.
struct placement_update
{
    std::vector<recent_placement> placements;
    unsigned instances = 0; ///< Instances that reported to the holder recently; zero when unknown.
    /// Requests of all instances; engines without any are left out. Empty in the reply to an early report.
    std::optional<std::vector<engine_requests>> running{};
    std::vector<limit_grant> grants{}; ///< For the instance that gets this reply.
};

/// The lease holder's whole reply to a demand report.
struct holder_reply
{
    placement_update placement;
    backend_update servers;
    known_config config{};
    duration store_state_age{0}; ///< Since the holder sent its latest call that the store answered.
    /// All marks of the holder; empty when the reported digest shows that the instance has the same ones.
    std::optional<std::vector<crash_mark>> crash_marks{};
    std::vector<stream_versions> versions{}; ///< Recorded in the store.
    std::vector<peer_relay> relays{};        ///< For an instance that is cut off; otherwise empty.
};

bool operator==(engine_requests const& a, engine_requests const& b);
bool operator==(model_demand const& a, model_demand const& b);
bool operator==(demand_report const& a, demand_report const& b);
bool operator==(recent_placement const& a, recent_placement const& b);
bool operator==(placement_update const& a, placement_update const& b);
bool operator==(holder_reply const& a, holder_reply const& b);

} // namespace siskinusher
