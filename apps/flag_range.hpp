#pragma once

#include <cstdint>

namespace siskinusher
{

/// Returns whether the value of a command line flag lies within its range; prints an error if it does not.
bool in_range(char const* flag, std::uint64_t value, std::uint64_t low, std::uint64_t high);

} // namespace siskinusher
