#pragma once

#include "domain/identifiers.hpp"

#include <string>
#include <tuple>

namespace siskinusher
{

/// An instance as another instance knows it.
struct member
{
    instance_id id; ///< Incarnation zero while no message has arrived from it.
    std::string data_centre;
    std::string address;      ///< IP number and port of the HTTP interface.
    std::string peer_address; ///< IP number and port of the peer link.
    bool draining = false;

    friend bool operator==(member const& a, member const& b)
    {
        return std::tie(a.id, a.data_centre, a.address, a.peer_address, a.draining) ==
               std::tie(b.id, b.data_centre, b.address, b.peer_address, b.draining);
    }
};

} // namespace siskinusher
