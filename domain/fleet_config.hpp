#pragma once

#include "core/rank.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace siskinusher
{

/// A model that engines can load.
struct model_config
{
    std::string name;
    std::string checkpoint;                ///< Name of the checkpoint in the weight store.
    std::uint64_t bytes = 0;               ///< Engine memory that one replica takes.
    unsigned max_replicas = 1;             ///< Largest number of replicas over the whole fleet.
    unsigned min_replicas = 0;             ///< Replicas kept loaded over the whole fleet while idle.
    unsigned load_time_ms = 0;             ///< Expected load time from the weight store at full speed.
    std::vector<std::string> engine_pools; ///< Pools whose engines may load it; empty means all.
};

/// A low-rank adapter that engines load beside its base model.
struct adapter_config
{
    std::string name;
    std::string base_model;
    std::uint64_t bytes = 0;
};

/// An application service; its backend servers can be called without loading anything first.
struct service_config
{
    std::string name;
    std::string pool;                    ///< Pool of backend servers that run the service.
    std::vector<std::string> depends_on; ///< Names of services and models that must exist.
    std::vector<std::string>
        repeatable_paths; ///< Path prefixes whose calls are idempotent with every method.
};

/// Shares that protect one rank from the others, as fractions from 0 to 1.
struct rank_policy
{
    double floor = 0.0;   ///< Share of dispatches kept for this rank while its requests wait.
    double ceiling = 1.0; ///< Largest share of an engine's places that this rank may hold.
};

/// Limits of the weight store for the whole fleet.
struct weight_store_config
{
    double loads_per_second = 4.0; ///< Rate at which loads may begin.
    unsigned full_speed_loads = 4; ///< Loads beyond this number slow each other down.
};

/// The operators' configuration, parsed and checked. Immutable once built; `generation` rises with every
/// accepted change.
struct fleet_config
{
    std::uint64_t generation = 0;
    std::vector<std::string> data_centres;        ///< Sorted names.
    std::map<std::string, std::string> region_of; ///< Region of each data centre.
    std::map<std::string, model_config> models;
    std::map<std::string, adapter_config> adapters;
    std::map<std::string, service_config> services;
    std::array<rank_policy, rank_count> ranks{{{0.5, 1.0}, {0.2, 0.9}, {0.05, 0.7}}};
    weight_store_config weight_store;
    std::set<std::string> draining; ///< Backend servers that get no new work.
};

bool operator==(model_config const& a, model_config const& b);
bool operator==(adapter_config const& a, adapter_config const& b);
bool operator==(service_config const& a, service_config const& b);
bool operator==(rank_policy const& a, rank_policy const& b);
bool operator==(weight_store_config const& a, weight_store_config const& b);
bool operator==(fleet_config const& a, fleet_config const& b);

} // namespace siskinusher
