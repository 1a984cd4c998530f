#pragma once

#include "domain/backend_update.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace siskinusher
{

/// Effect of put().
enum class directory_change
{
    outdated, ///< The directory has a later revision of the server, or knows of its later removal.
    same,     ///< Nothing changed that is sent to peers.
    changed,
};

/// Whether a complete update proves that the servers which it does not list are gone.
enum class unlisted_servers
{
    gone,
    kept, ///< Their entries may have expired during an outage and may be written again.
};

/// Effect of merge().
struct merge_result
{
    std::vector<revised_backend> changed;
    std::vector<backend_name> removed;
    /// The whole update is in force here. Otherwise its position must not be taken: the next update of the
    /// same sender has to be complete again.
    bool whole = true;
};

/// The backend servers that an instance knows, with the store's revision of each one, and the sequence of
/// their changes, so that a peer can be sent only what changed since its last request.
///
/// A large fleet would exceed the request rates of the store if each instance read it. With this directory
/// one instance follows the store for all of them.
///
/// Updates come from several peers, whose state may be older than this one: a lease holder that stood still
/// sends the list that it had before. The directory remembers at which revision a server was gone, so that an
/// older list does not add it again, and an older removal does not remove a server that is back.
class backend_directory
{
public:
    /// `source` identifies this process in update positions; it must be different after each start.
    explicit backend_directory(std::string source);
    ~backend_directory();
    backend_directory(backend_directory const&) = delete;
    backend_directory& operator=(backend_directory const&) = delete;

    directory_change put(backend_entry const& entry, store_revision const& revision);
    /// The entry, with the end that this start of the server has announced in an earlier era of the store: a
    /// server does not take it back, but the copy may be older.
    backend_entry settled(backend_entry entry, store_revision const& revision) const;
    /// The server does not exist in the store's state of the revision `absent_at`. False when it was not
    /// known.
    bool remove(backend_name const& name, store_revision const& absent_at = {});

    /// The changes after the position `known` of a peer. The update is complete (all servers) when the
    /// position is of another process or too old. `followed` is the revision up to which this process
    /// has followed the store.
    backend_update changes_since(update_position const& known, store_revision const& followed) const;
    /// Applies a peer's update. Returns what it changed here.
    merge_result merge(backend_update const& update, unlisted_servers unlisted = unlisted_servers::gone);

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace siskinusher
