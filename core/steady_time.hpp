#pragma once

#include <chrono>

namespace siskinusher
{

/// A span of time in microseconds.
using duration = std::chrono::microseconds;

/// Tag type for the monotonic clock that the caller of the decision layer reads. It has no now(): the
/// decision layer receives the time with each event.
struct event_clock
{
};

/// A reading of one instance's monotonic clock. Readings of different instances are not comparable.
using steady_time = std::chrono::time_point<event_clock, duration>;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

} // namespace siskinusher
