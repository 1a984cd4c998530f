#include "core/random_source.hpp"

namespace siskinusher
{

std::uint64_t random_source::next()
{
    state_ += 0x9E3779B97F4A7C15ULL;
    std::uint64_t z = state_;
    z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
    z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
    return z ^ (z >> 31);
}

std::uint64_t random_source::below(std::uint64_t bound)
{
    return bound == 0 ? 0 : next() % bound;
}

double random_source::unit()
{
    return static_cast<double>(next() >> 11) * 0x1.0p-53;
}

} // namespace siskinusher
