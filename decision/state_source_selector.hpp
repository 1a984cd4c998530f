#pragma once

#include "core/steady_time.hpp"

#include <optional>

namespace siskinusher
{

/// Where an instance gets the configuration and the list of servers from.
enum class state_source
{
    store,   ///< From the store itself.
    holder,  ///< From the lease holder's replies.
    standby, ///< From an instance that reads the store for others while there is no lease holder.
};

/// Name for logs, "store", "holder" or "standby".
char const* to_string(state_source source);

/// Decides where an instance gets the configuration and the list of servers from. It uses the lease holder,
/// so that the calls to the store do not grow with the fleet, as long as the holder's replies are recent and
/// what the holder knows is.
///
/// Without such a holder, hundreds of instances would list and watch the store at the same moment, most of
/// all while it fails or has just come back. Instead a few instances, the standbys, read the store, and the
/// others ask one of them. An instance reads the store itself when no standby answers in time, or when what
/// they know is too old although the store answers this instance.
class state_source_selector
{
public:
    /// `max_told_age` is the greatest age of the state that another instance tells. Together with the
    /// interval of the reports, 500 ms, and the time for a standby to answer, 700 ms, it must leave time to
    /// learn of a change within the limits on changes.
    explicit state_source_selector(duration max_told_age = milliseconds{1000});

    /// The holder sent a usable reply. `age` is the age of the state that it tells.
    void on_reply(steady_time now, duration age);
    /// A standby sent a usable reply.
    void on_standby_reply(steady_time now, duration age);
    /// The holder replied that it no longer holds the lease, or nothing listens at its address.
    void on_holder_lost();
    /// This instance has gained or lost the lease.
    void on_lease(bool holds);
    /// Whether this instance is a standby, and whether it knows other ones.
    void on_standbys(bool is_standby, bool knows_others);

    /// `store_answered_at` is the time of the store's latest answer to this instance, if there was one.
    state_source choose(steady_time now, std::optional<steady_time> store_answered_at = std::nullopt);
    /// True when this instance should ask a standby.
    bool wants_standby(steady_time now) const;
    /// Age of what the source other than the store told; empty when neither source has told anything
    /// recently.
    std::optional<duration> told_age(steady_time now) const;

private:
    struct told_state
    {
        steady_time replied_at;
        steady_time confirmed_at; ///< When the state was the store's.
    };

    static bool is_recent(std::optional<told_state> const& told, steady_time now);
    bool is_current(std::optional<told_state> const& told, steady_time now) const;

    duration max_told_age_;
    bool holds_ = false;
    bool is_standby_ = false;
    bool knows_standbys_ = false;
    std::optional<told_state> holder_;
    std::optional<told_state> standby_;
    std::optional<steady_time> without_holder_since_;
};

} // namespace siskinusher
