#pragma once

#include "domain/backend_entry.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace siskinusher
{

/// A place in the sequence of changes that one process has seen.
struct update_position
{
    std::string source; ///< Names the process; differs after each start.
    std::uint64_t sequence = 0;
};

/// A server's entry with the store's revision of its last change.
struct revised_backend
{
    backend_entry entry;
    std::uint64_t revision = 0;
};

/// What one instance tells another of the backend servers. The copies of weights that engines keep are left
/// out: only the lease holder needs them, and it reads the store itself.
struct backend_update
{
    update_position position;         ///< After this update.
    bool complete = false;            ///< All servers are listed: others that were known before are gone.
    std::uint64_t store_revision = 0; ///< Up to which the sender has followed the store.
    std::vector<revised_backend> changed;
    std::vector<backend_name> gone;
};

bool operator==(update_position const& a, update_position const& b);
bool operator==(revised_backend const& a, revised_backend const& b);
bool operator==(backend_update const& a, backend_update const& b);

} // namespace siskinusher
