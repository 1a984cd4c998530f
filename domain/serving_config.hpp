#pragma once

#include "core/steady_time.hpp"
#include "domain/organisation.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace siskinusher
{

/// How often a request of a route may run.
enum class repeat_rule
{
    idempotent,       ///< Any number of times.
    at_most_once,     ///< At most once for each request of a caller.
    resumable_stream, ///< A second run may continue a stream after the last delivered event.
};

/// A service that takes a share of a route's requests.
struct route_target
{
    std::string service;
    double weight = 1.0; ///< Relative to the other targets of the route.
};

/// Where requests of one host and path prefix go, and under which limits.
struct route_rule
{
    std::string name;
    std::string host;
    std::string path_prefix; ///< Begins and ends with a slash.
    std::vector<route_target> targets;
    bool streaming = false; ///< The answer is a series of events.
    repeat_rule repeat{repeat_rule::at_most_once};
    unsigned max_backends = 1; ///< Largest number of backend servers that may run one request.
    duration time_limit{0};    ///< From arrival to the final answer.
    /// Target time from arrival to the answer, or to the first event of a stream.
    duration latency_objective{0};
    unsigned priority = 0;     ///< Zero is the most urgent.
    duration max_event_gap{0}; ///< Longest pause between events that counts as in time; zero for no limit.
    bool is_public = false;    ///< Needs no key where organisations are configured.
};

/// A model that the engines of a service can load.
struct model_profile
{
    std::string name;
    double weights_mb = 0.0;
    duration load_from_memory{0}; ///< Load time when the engine has a copy in host memory.
    duration load_from_disk{0};
    duration load_from_store{0};
    unsigned adapters = 0;
    double adapter_mb = 0.0;
};

/// What the engines of a service have in common.
struct engine_profile
{
    unsigned places = 1;            ///< Number of requests in one batch.
    double memory_mb = 0.0;         ///< For weights and adapters.
    unsigned adapter_places = 0;    ///< Adapters that fit beside the models.
    double store_loads_per_s = 0.0; ///< Rate at which loads may begin, over all engines.
    double disk_mb = 0.0;           ///< For copies of weights.
    std::vector<model_profile> models;
};

/// A service and the limits of its backend servers.
struct service_profile
{
    std::string name;
    unsigned max_connections = 0;         ///< Accepted by one backend server from all instances together.
    std::optional<engine_profile> engine; ///< Empty for plain services.
};

/// Bounds on what callers may send.
struct caller_limits
{
    std::size_t head_bytes = 16384;
    std::size_t body_bytes = 4194304;
    duration head_timeout = seconds{3};
    duration idle_timeout = seconds{15};
};

/// One version of the operators' configuration. Immutable once built.
struct serving_config
{
    std::uint64_t version = 0;
    std::vector<route_rule> routes;
    std::vector<service_profile> services;
    caller_limits limits;
    /// Empty when callers are not told apart; otherwise each route that is not public needs a key.
    std::optional<std::vector<organisation>> organisations{};
};

bool operator==(route_target const& a, route_target const& b);
bool operator==(route_rule const& a, route_rule const& b);
bool operator==(model_profile const& a, model_profile const& b);
bool operator==(engine_profile const& a, engine_profile const& b);
bool operator==(service_profile const& a, service_profile const& b);
bool operator==(caller_limits const& a, caller_limits const& b);
bool operator==(serving_config const& a, serving_config const& b);

/// The organisation with this name; null when the configuration does not name it.
organisation const* find_organisation(serving_config const& config, std::string const& name);
/// The service's profile; null when the configuration does not name it.
service_profile const* find_service(serving_config const& config, std::string const& name);
/// The model's profile; null when the engine profile does not name it.
model_profile const* find_model(engine_profile const& engine, std::string const& name);

} // namespace siskinusher
