#pragma once

#include <cstddef>
#include <string>
#include <tuple>
#include <vector>

namespace siskinusher
{

/// Name and addresses of another instance, from the settings.
struct peer_settings
{
    std::string name;
    std::string data_centre;
    std::string http_address; ///< IP number and port.
    std::string peer_address; ///< IP number and port.

    friend bool operator==(peer_settings const& a, peer_settings const& b)
    {
        return std::tie(a.name, a.data_centre, a.http_address, a.peer_address) ==
               std::tie(b.name, b.data_centre, b.http_address, b.peer_address);
    }
    friend bool operator!=(peer_settings const& a, peer_settings const& b) { return !(a == b); }
};

/// Settings of one entry process. Immutable once read by read_entry_settings.
struct entry_settings
{
    std::string name; ///< Name of this instance, unique in the fleet.
    std::string data_centre;
    std::string region;
    std::string http_address;          ///< Where callers connect: IP number and port.
    std::string peer_address;          ///< Where other instances connect: IP number and port.
    std::string object_store_address;  ///< IP number and port.
    std::string instance_list_address; ///< IP number and port.
    std::string cluster_key;           ///< Shared by all instances; never logged.
    std::string operator_key;          ///< Bearer token of the operator calls; never logged.
    std::vector<peer_settings> peers;  ///< Known at start, without this instance; may be empty.
    unsigned connections = 1024;       ///< Limit on connections of callers that are open at the same time.
    std::size_t body_bytes = 1048576;  ///< Largest request body, in bytes.
    unsigned queue = 2048; ///< Limit on queued requests of one rank; eight times as many may be open.
    std::string log_level = "info"; ///< debug, info, warning or error. All events are logged as info.
};

bool operator==(entry_settings const& a, entry_settings const& b);
inline bool operator!=(entry_settings const& a, entry_settings const& b)
{
    return !(a == b);
}

} // namespace siskinusher
