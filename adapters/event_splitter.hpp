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
    bool is_comment = false;         ///< All its lines are comments: it carries nothing and is no progress.
};

/// Splits a text/event-stream into whole events, so that no part of an event is passed on when its server
/// stops in the middle of one.
class event_splitter
{
public:
    /// Largest size of an event, with the empty line: four times what stream_relay allows for one token. A
    /// faulty server that never ends an event would otherwise fill the memory.
    static constexpr std::size_t max_event_bytes = 262144;

    /// Adds bytes and returns the events that are complete now. After an event that is too large there are no
    /// further ones.
    std::vector<stream_event> feed(std::string_view bytes);
    /// True when the bytes so far end in the middle of an event.
    bool in_event() const { return too_large_ || !pending_.empty(); }
    /// True once an event exceeds max_event_bytes.
    bool too_large() const { return too_large_; }
    /// Bytes of the event that is not complete.
    std::size_t pending_bytes() const { return pending_.size(); }

private:
    std::string pending_;
    bool too_large_ = false;
};

} // namespace siskinusher
