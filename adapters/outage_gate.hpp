#pragma once

#include "core/random_source.hpp"
#include "core/steady_time.hpp"

#include <mutex>

namespace siskinusher
{

/// Decides whether a call to the object store may be made. After consecutive failures it blocks calls for a
/// random time of at most `spread`, and then admits one call to check whether the store is back. So when an
/// outage ends, the instances of the fleet resume their calls over that time instead of all at once. Safe to
/// call from every thread.
class outage_gate
{
public:
    outage_gate(unsigned failures_to_outage, duration spread, std::uint64_t seed);

    /// True when the call may be made; the caller must then report its result by on_answer or on_failure.
    bool admit(steady_time now);
    void on_answer();
    void on_failure(steady_time now);

private:
    unsigned const failures_to_outage_;
    duration const spread_;
    std::mutex mutex_;
    random_source random_;
    unsigned failures_ = 0;
    bool probing_ = false; ///< The one admitted call is in progress.
    steady_time blocked_until_{};
};

} // namespace siskinusher
