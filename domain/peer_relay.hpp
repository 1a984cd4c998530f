#pragma once

#include <string>

namespace siskinusher
{

/// An instance that helps others: it takes requests for those that are cut off from all servers, or reads the
/// store for them.
struct peer_relay
{
    std::string address; ///< Where it accepts calls from its peers.
    std::string data_centre;
};

inline bool operator==(peer_relay const& a, peer_relay const& b)
{
    return a.address == b.address && a.data_centre == b.data_centre;
}

} // namespace siskinusher
