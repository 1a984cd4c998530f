#pragma once

#include "domain/backend_entry.hpp"
#include "domain/store_revision.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace siskinusher
{

/// A position in the sequence of changes that one process has seen.
struct update_position
{
    std::string source; ///< Identifies the process; changes with each start.
    std::uint64_t sequence = 0;
};

/// A server's entry with the store's revision of its last change.
struct revised_backend
{
    backend_entry entry;
    store_revision revision;
};

/// Changes of the backend servers, sent by one instance to another. The copies of weights that engines keep
/// are not included: only the lease holder needs them, and it reads the store itself.
struct backend_update
{
    update_position position; ///< The position after this update.
    bool complete = false;    ///< Lists every server: a known server that is not listed is gone.
    store_revision followed;  ///< Up to which the sender knows the changes in the store.
    std::vector<revised_backend> changed;
    std::vector<backend_name> removed;
};

bool operator==(update_position const& a, update_position const& b);
bool operator==(revised_backend const& a, revised_backend const& b);
bool operator==(backend_update const& a, backend_update const& b);

} // namespace siskinusher
