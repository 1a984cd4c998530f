#include "adapters/peer_queue.hpp"

#include <algorithm>
#include <utility>

namespace siskinusher
{

std::size_t peer_queue::push(queued_frame frame)
{
    std::size_t dropped = 0;
    while (!fits(frame.bytes.size()) && drop_oldest_periodic())
    {
        ++dropped;
    }
    if (!fits(frame.bytes.size()))
    {
        return dropped + 1;
    }
    bytes_ += frame.bytes.size();
    frames_.push_back(std::move(frame));
    return dropped;
}

std::optional<queued_frame> peer_queue::pop()
{
    if (frames_.empty())
    {
        return std::nullopt;
    }
    queued_frame frame = std::move(frames_.front());
    frames_.pop_front();
    bytes_ -= frame.bytes.size();
    return frame;
}

std::size_t peer_queue::drop_stale(steady_time now)
{
    std::size_t dropped = 0;
    while (!frames_.empty() && now - frames_.front().queued_at > max_wait)
    {
        pop();
        ++dropped;
    }
    return dropped;
}

bool peer_queue::fits(std::size_t bytes) const
{
    return frames_.size() < max_frames && bytes_ + bytes <= max_bytes;
}

bool peer_queue::drop_oldest_periodic()
{
    auto const found =
        std::find_if(frames_.begin(), frames_.end(), [](queued_frame const& one) { return one.periodic; });
    if (found == frames_.end())
    {
        return false;
    }
    bytes_ -= found->bytes.size();
    frames_.erase(found);
    return true;
}

} // namespace siskinusher
