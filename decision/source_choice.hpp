#pragma once

#include "core/steady_time.hpp"

namespace siskinusher
{

/// Where an instance learns of the configuration and the servers.
enum class state_source
{
    store,  ///< From the store itself.
    holder, ///< From the lease holder's replies.
};

/// Name for logs, "store" or "holder".
char const* to_string(state_source source);

/// Decides where an instance learns of the configuration and the servers. It follows the lease holder, so
/// that the calls to the store do not grow with the fleet, as long as the holder's replies are recent and the
/// holder itself has heard of the store lately; otherwise it follows the store.
class source_choice
{
public:
    /// A usable reply. `age` is the time since the sending of the holder's last call that the store answered.
    void on_reply(steady_time now, duration age);
    /// The holder said that it holds the lease no more, or nothing listens at its address.
    void on_refusal();
    /// This instance holds the lease, or holds it no more.
    void on_lease(bool holds);

    state_source choose(steady_time now) const;

private:
    bool holds_ = false;
    bool replied_ = false;
    steady_time confirmed_at_; ///< For this long the holder's knowledge of the store is certain.
    steady_time replied_at_;
};

} // namespace siskinusher
