#pragma once

#include "core/steady_time.hpp"

#include <chrono>

namespace siskinusher
{

/// The monotonic clock of this process as the decision layer's time.
inline steady_time steady_now()
{
    auto const since_start = std::chrono::steady_clock::now().time_since_epoch();
    return steady_time(std::chrono::duration_cast<duration>(since_start));
}

} // namespace siskinusher
