#pragma once

#include "domain/store_revision.hpp"

#include <cstdint>
#include <string>

namespace siskinusher
{

/// What an instance knows of the operators' configuration, for its peers.
struct known_config
{
    std::uint64_t version = 0; ///< In force at the instance; zero when none is.
    store_revision revision;   ///< The latest one of the configuration that the instance has read.
    /// The configuration as the operators wrote it. Empty unless the peer needs it, because the store does
    /// not have it any more.
    std::string text{};
};

bool operator==(known_config const& a, known_config const& b);

/// True when a peer that knows `peer` needs the text of `own`: it has read all that this instance has read of
/// the store, and has an older version in force, or none because it cannot use the text in the store.
bool needs_text(known_config const& peer, known_config const& own);

} // namespace siskinusher
