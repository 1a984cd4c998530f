#include "decision/request_memory.hpp"

#include <algorithm>

namespace siskinusher
{

namespace
{

// Bytes of a request that counts as small. Most requests have some KB.
constexpr std::size_t small_request = 65536;
// One part in this many of the budget is for small requests only, so that they are served while large ones
// use up the rest.
constexpr std::size_t small_request_part = 8;
// Answers to requests that have been admitted may exceed the budget by one part in this many of it.
constexpr std::size_t overdraft_part = 4;
// Released and refused bytes are counted over this time.
constexpr duration count_window = seconds{1};
// Bounds of the time after which a refused caller should come again. Below the lower one the caller would
// come before its body could have been sent; the upper one limits what a wrong estimate can cost.
constexpr duration shortest_pause = milliseconds{200};
constexpr duration longest_pause = seconds{5};
// While nothing has been released lately, the rate is unknown.
constexpr duration usual_pause = seconds{1};

} // namespace

request_memory::request_memory(std::size_t budget) : budget_(budget) {}

bool request_memory::overdrawn() const
{
    return held_ > budget_ && held_ - budget_ > budget_ / overdraft_part;
}

std::size_t request_memory::largest_request() const
{
    return std::max(limit_for(budget_), std::min(budget_, small_request));
}

std::size_t request_memory::limit_for(std::size_t bytes) const
{
    return bytes <= small_request ? budget_ : budget_ - budget_ / small_request_part;
}

bool request_memory::try_reserve(std::size_t more, std::size_t admitted)
{
    std::size_t const limit = limit_for(admitted + more);
    if (held_ > limit || more > limit - held_)
    {
        return false;
    }
    held_ += more;
    return true;
}

void request_memory::release(steady_time now, std::size_t bytes)
{
    advance(now);
    held_ -= bytes;
    current_.released += bytes;
}

duration request_memory::on_refused(steady_time now, std::size_t wanted)
{
    advance(now);
    std::size_t const refused_before = previous_.refused + current_.refused;
    current_.refused += wanted;
    std::size_t const released = previous_.released + current_.released;
    if (released == 0)
    {
        return usual_pause;
    }
    std::size_t const limit = limit_for(wanted);
    std::size_t const needed = held_ + wanted + refused_before;
    double const missing = needed > limit ? static_cast<double>(needed - limit) : 0.0;
    double const windows = missing / static_cast<double>(released);
    double const most = static_cast<double>(longest_pause.count());
    double const pause =
        std::min(windows * static_cast<double>((count_window + (now - window_begin_)).count()), most);
    return std::max(duration{static_cast<duration::rep>(pause)}, shortest_pause);
}

void request_memory::advance(steady_time now)
{
    duration const passed = now - window_begin_;
    if (passed < count_window)
    {
        return;
    }
    previous_ = passed < 2 * count_window ? current_ : window_counts{};
    current_ = {};
    window_begin_ = now;
}

} // namespace siskinusher
