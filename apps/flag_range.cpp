#include "apps/flag_range.hpp"

#include <cstdio>

namespace siskinusher
{

bool in_range(char const* flag, std::uint64_t value, std::uint64_t low, std::uint64_t high)
{
    if (value >= low && value <= high)
    {
        return true;
    }
    std::fprintf(stderr, "--%s=%llu is out of range %llu to %llu\n", flag,
                 static_cast<unsigned long long>(value), static_cast<unsigned long long>(low),
                 static_cast<unsigned long long>(high));
    return false;
}

} // namespace siskinusher
