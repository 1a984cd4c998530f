#pragma once

#include "domain/backend_update.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace siskinusher
{

/// What an entry changed.
enum class put_outcome
{
    outdated, ///< A later state of the server is known already.
    same,     ///< Nothing that peers are told of.
    changed,
};

/// The backend servers that an instance knows, with the store's revision of each one, and the sequence of
/// their changes, so that a peer can be told just what changed since it asked last.
///
/// It answers a fleet that is large against the store's rates: with it one instance follows the store for
/// all.
class backend_directory
{
public:
    /// `source` names this process in positions; it must differ after each start.
    explicit backend_directory(std::string source);
    ~backend_directory();
    backend_directory(backend_directory const&) = delete;
    backend_directory& operator=(backend_directory const&) = delete;

    put_outcome put(backend_entry const& entry, std::uint64_t revision);
    /// False when the server was not known.
    bool remove(backend_name const& name);

    /// What a peer that is at `known` has missed; everything when its position says nothing here.
    /// `store_revision` is the one up to which this process has followed the store.
    backend_update since(update_position const& known, std::uint64_t store_revision) const;
    /// Takes over a peer's update. Returns what it changed here: the entries and the names of those gone.
    backend_update merge(backend_update const& update);

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace siskinusher
