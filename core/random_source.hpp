#pragma once

#include <cstdint>

namespace siskinusher
{

/// SplitMix64 generator. It is seeded by the caller so that a run can be repeated exactly.
class random_source
{
public:
    explicit random_source(std::uint64_t seed) : state_(seed) {}

    /// The next 64 random bits.
    std::uint64_t next();

    /// Uniform in [0, bound); zero when bound is zero.
    std::uint64_t below(std::uint64_t bound);

    /// Uniform in [0, 1).
    double unit();

private:
    std::uint64_t state_;
};

} // namespace siskinusher
