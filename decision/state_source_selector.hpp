#pragma once

#include "core/steady_time.hpp"

namespace siskinusher
{

/// Where an instance gets the configuration and the list of servers from.
enum class state_source
{
    store,  ///< From the store itself.
    holder, ///< From the lease holder's replies.
};

/// Name for logs, "store" or "holder".
char const* to_string(state_source source);

/// Decides where an instance gets the configuration and the list of servers from. It uses the lease holder,
/// so that the calls to the store do not grow with the fleet, as long as the holder's replies are recent and
/// the holder itself had an answer from the store shortly before; otherwise it uses the store.
class state_source_selector
{
public:
    /// The holder sent a usable reply. `age` is the time since the holder sent its last call that the store
    /// answered.
    void on_reply(steady_time now, duration age);
    /// The holder replied that it no longer holds the lease, or nothing listens at its address.
    void on_holder_lost();
    /// This instance has gained or lost the lease.
    void on_lease(bool holds);

    state_source choose(steady_time now) const;

private:
    bool holds_ = false;
    bool replied_ = false;
    steady_time confirmed_at_; ///< When the holder sent its last call that the store answered.
    steady_time replied_at_;
};

} // namespace siskinusher
