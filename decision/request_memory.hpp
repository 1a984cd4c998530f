#pragma once

#include "core/steady_time.hpp"

#include <cstddef>

namespace siskinusher
{

/// Counts the bytes that a process holds for callers, for their requests and for answers that they have not
/// read, and decides whether it has room for another request.
///
/// A request is admitted with all bytes that it will need, so that an admitted one never waits for others.
/// What its answer will need is not known then, so that answers may exceed the budget.
class request_memory
{
public:
    /// `budget` is the number of bytes that may be held.
    explicit request_memory(std::size_t budget);

    std::size_t budget() const { return budget_; }
    std::size_t held() const { return held_; }
    /// False when the budget is used up.
    bool has_room() const { return held_ < budget_; }
    /// True when answers exceed the budget by so much that one must be broken off.
    bool overdrawn() const;
    /// Size of the largest request that is ever admitted.
    std::size_t largest_request() const;

    /// Counts a request of `more` bytes, or an admitted one of `admitted` bytes that grows by `more`. Returns
    /// false, and counts nothing, when there is no room for it.
    bool try_reserve(std::size_t more, std::size_t admitted = 0);
    /// Returns the bytes of an admitted request.
    void release(steady_time now, std::size_t bytes);

    /// Counts bytes that are in memory already, such as unread input, whether there is room or not.
    void hold(std::size_t bytes) { held_ += bytes; }
    void let_go(std::size_t bytes) { held_ -= bytes; }

    /// Records a request of `wanted` bytes that found no room, and returns when its caller should come again:
    /// when the bytes that are too many, and those of the requests refused lately, will have been released at
    /// the present rate.
    duration on_refused(steady_time now, std::size_t wanted);

private:
    std::size_t limit_for(std::size_t bytes) const;
    void advance(steady_time now);

    struct window_counts
    {
        std::size_t released = 0;
        std::size_t refused = 0;
    };

    std::size_t const budget_;
    std::size_t held_ = 0;
    steady_time window_begin_;
    window_counts current_;
    window_counts previous_;
};

} // namespace siskinusher
