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
    outdated, ///< The directory has a later revision of the server.
    same,     ///< Nothing changed that is sent to peers.
    changed,
};

/// The backend servers that an instance knows, with the store's revision of each one, and the sequence of
/// their changes, so that a peer can be sent only what changed since its last request.
///
/// A large fleet would exceed the request rates of the store if each instance read it. With this directory
/// one instance follows the store for all of them.
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
    /// False when the server was not known.
    bool remove(backend_name const& name);

    /// The changes after the position `known` of a peer. The update is complete (all servers) when the
    /// position is of another process or too old. `followed` is the revision up to which this process
    /// has followed the store.
    backend_update changes_since(update_position const& known, store_revision const& followed) const;
    /// Applies a peer's update. Returns what it changed here: the changed entries and the names of the
    /// removed servers.
    backend_update merge(backend_update const& update);

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace siskinusher
