#pragma once

#include <string>
#include <vector>

namespace siskinusher
{

/// Settings of siskinctl.
struct operator_settings
{
    std::string object_store_address;   ///< IP number and port.
    std::string instance_list_address;  ///< IP number and port; empty when not used.
    std::vector<std::string> instances; ///< IP numbers and ports; empty: taken from the instance list.
    std::string operator_key;           ///< Empty when the file has none; never logged.
};

bool operator==(operator_settings const& a, operator_settings const& b);

} // namespace siskinusher
