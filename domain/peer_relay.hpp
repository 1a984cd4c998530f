#pragma once

#include <string>

namespace siskinusher
{

/// An instance that takes requests for another one which is cut off from all servers.
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
