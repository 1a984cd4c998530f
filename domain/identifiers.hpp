#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace siskinusher
{

/// Identifies one run of an instance. A restarted process at the same address has another incarnation.
struct instance_id
{
    std::string name; ///< Name from the settings, unique in the fleet, for example "chaguanas-1".
    std::uint64_t incarnation = 0; ///< Drawn at random at start.

    friend bool operator==(instance_id const& a, instance_id const& b)
    {
        return std::tie(a.name, a.incarnation) == std::tie(b.name, b.incarnation);
    }
    friend bool operator!=(instance_id const& a, instance_id const& b) { return !(a == b); }
    friend bool operator<(instance_id const& a, instance_id const& b)
    {
        return std::tie(a.name, a.incarnation) < std::tie(b.name, b.incarnation);
    }
};

/// Name of a backend server, unique in the fleet, for example "chaguanas-engine-2".
using backend_name = std::string;

/// Version that the object store gives to a value; it changes with every write. Zero means no value.
using object_version = std::uint64_t;

/// Number that an instance gives to a request; unique within one incarnation.
using request_number = std::uint64_t;

} // namespace siskinusher
