#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "domain/identifiers.hpp"

namespace siskinusher
{

/// Where an engine can read a checkpoint, fastest first.
enum class checkpoint_tier
{
    memory = 0,
    disk = 1,
    remote = 2,
};

/// A backend server's report about itself. Reports lag behind orders; `revision` shows which orders a report
/// already includes.
struct engine_report
{
    backend_name name;
    std::uint64_t boot_id = 0;  ///< Changes with each start of the server.
    std::uint64_t revision = 0; ///< Raised by the server with each change of what it has loaded.
    bool leaving = false;
    std::uint64_t memory_bytes = 0;       ///< For models, adapters, prefix cache and imported KV cache.
    std::uint64_t prefix_cache_bytes = 0; ///< Memory set aside for the prefix cache.
    std::uint64_t import_bytes = 0;       ///< Memory taken by imported KV cache.
    unsigned places = 0;                  ///< Number of requests that can run at the same time.
    unsigned running = 0;
    unsigned waiting = 0;
    std::map<std::string, std::uint64_t> models;   ///< Loaded models and their bytes.
    std::map<std::string, std::uint64_t> adapters; ///< Loaded adapters and their bytes.
    bool counts_use = false; ///< in_use is complete: a model or adapter that it omits has no requests.
    std::map<std::string, std::uint64_t> in_use; ///< Requests running or waiting, by model and by adapter.
    std::map<std::string, checkpoint_tier> checkpoints; ///< Local checkpoints; any other one is remote.

    /// Bytes in use according to this report.
    std::uint64_t used_bytes() const;
};

bool operator==(engine_report const& a, engine_report const& b);
inline bool operator!=(engine_report const& a, engine_report const& b)
{
    return !(a == b);
}

/// State of a server or an instance in the platform's instance list.
enum class listed_state
{
    live,
    leaving,
};

enum class listed_kind
{
    instance,
    engine,
    service,
};

/// One row of the platform's instance list.
struct listed_server
{
    std::string name;
    std::string address;      ///< IP number and port of the HTTP interface.
    std::string peer_address; ///< IP number and port of the peer link; empty for backend servers.
    listed_kind kind{listed_kind::engine};
    std::string data_centre;
    std::string pool;
    listed_state state{listed_state::live};
    bool checks_epoch = false; ///< The engine refuses orders with an old fencing epoch.
};

bool operator==(listed_server const& a, listed_server const& b);

} // namespace siskinusher
