#pragma once

#include "core/steady_time.hpp"
#include "domain/identifiers.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace siskinusher
{

/// A model in an engine's memory, with the adapters that are loaded for it.
struct resident_model
{
    std::string name;
    std::set<std::string> adapters;
};

/// The entry that a backend server writes about itself into the platform's store.
struct backend_entry
{
    backend_name name; ///< Usually new with each start; the server refuses requests to another name.
    std::string service;
    std::string address;
    std::string data_centre;
    std::string software_version; ///< Streams cannot go on at another one; empty when the server names none.
    unsigned places = 1;          ///< Number of requests that can run at the same time.
    bool leaving = false;
    bool is_engine = false; ///< True when the server runs models.
    std::vector<resident_model> models;
    std::set<std::string> copies_in_memory; ///< Weights kept in host memory.
    std::set<std::string> copies_on_disk;
    std::int64_t started_at = 0; ///< Compared for equality only: clocks differ between machines.
};

/// Numbers of running and waiting requests that a backend server reported with an answer.
struct backend_load
{
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned places = 0;
};

bool operator==(resident_model const& a, resident_model const& b);
bool operator==(backend_entry const& a, backend_entry const& b);
bool operator==(backend_load const& a, backend_load const& b);

/// The resident model of that name; null when the engine does not hold it.
resident_model const* find_resident(backend_entry const& entry, std::string const& model);

} // namespace siskinusher
