#pragma once

#include "core/steady_time.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

namespace siskinusher
{

/// An encoded message that waits to be sent.
struct queued_frame
{
    char const* kind = "";
    bool periodic = false; ///< A later message of the same kind replaces its content.
    steady_time queued_at{};
    std::string bytes;
};

/// Frames that wait for one peer, bounded in number and bytes. When the queue is full, the oldest periodic
/// message is dropped, since the next one repeats its content. If there is none, the new message is refused.
class peer_queue
{
public:
    static constexpr std::size_t max_frames = 256;
    static constexpr std::size_t max_bytes = std::size_t{4} << 20U;
    /// Messages carry times relative to their sending, for example the deadline of a load request. After this
    /// wait they are misleading and the senders have repeated them.
    static constexpr duration max_wait = seconds{2};

    /// Returns the number of frames that were dropped, the new one included when it did not fit.
    std::size_t push(queued_frame frame);

    /// The oldest frame; empty when there is none.
    std::optional<queued_frame> pop();

    /// Returns the number of frames dropped because they waited longer than max_wait.
    std::size_t drop_stale(steady_time now);

    bool empty() const { return frames_.empty(); }

private:
    bool fits(std::size_t bytes) const;
    bool drop_oldest_periodic();

    std::deque<queued_frame> frames_;
    std::size_t bytes_ = 0;
};

} // namespace siskinusher
