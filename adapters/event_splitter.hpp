#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace siskinusher
{

/// One event of a text/event-stream with the empty line that ends it.
struct stream_event
{
    std::string bytes;
    std::optional<std::uint64_t> id; ///< Empty when the event has no numeric id.
};

/// Splits a text/event-stream into whole events, so that no part of an event is passed on when its server
/// stops in the middle of one.
class event_splitter
{
public:
    /// Adds bytes and returns the events that are complete now.
    std::vector<stream_event> feed(std::string_view bytes);
    /// True when the bytes so far end in the middle of an event.
    bool in_event() const { return !pending_.empty(); }
    /// Bytes of the event that is not complete.
    std::size_t pending_bytes() const { return pending_.size(); }

private:
    std::string pending_;
};

} // namespace siskinusher
