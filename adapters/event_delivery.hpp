#pragma once

#include "adapters/ports.hpp"

#include <atomic>
#include <chrono>
#include <thread>

namespace siskinusher
{

/// Pushes an event until the sink accepts it, for outcomes that a state machine waits for. Gives up once
/// `stopping` is true. The thread that consumes the events must not call it, because it would wait for
/// itself.
inline void deliver(event_sink& sink, event const& what, std::atomic<bool> const& stopping)
{
    while (!stopping && !sink.push(what))
    {
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
}

} // namespace siskinusher
