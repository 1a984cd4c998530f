#pragma once

#include "core/steady_time.hpp"
#include "domain/action.hpp"
#include "domain/event.hpp"
#include "domain/member.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace siskinusher
{

/// Settings of the configuration register.
struct register_settings
{
    std::string self;                     ///< Name of this instance.
    std::vector<std::string> peers;       ///< Instances known at start, asked before this one is ready.
    duration source_timeout = seconds{3}; ///< After this time, a silent source is not waited for any longer.
    duration peer_request_interval = seconds{1}; ///< Between two requests to a peer that has not answered.
    /// Longest time that the store adapter lets a watch wait. A watch that gets no answer because the
    /// connection was cut must be replaced within the 11 s of invariant I9 (docs/design.md).
    duration watch_time = seconds{3};
    duration reply_margin = seconds{3};     ///< A store call that is late by more than this counts as lost.
    duration reconnect_spread = seconds{5}; ///< Calls after an outage start at a random time within this.
    duration watch_spacing = milliseconds{200}; ///< Bounds the reads: 360 instances x 5 reads/s < 2,000/s.
    /// A peer's heartbeat may announce a change before the watch returns it. The text is fetched from the
    /// peer only after this time, so that it is not transferred twice. While the store does not answer, the
    /// text is fetched at once.
    duration fetch_delay = seconds{1};
    duration parse_timeout = seconds{10}; ///< After this, a text without a parse outcome is parsed again.
};

/// Keeps the accepted configuration of the highest generation that this instance has received from the store
/// or from its peers. The generation in force never decreases.
class configuration_register
{
public:
    configuration_register(register_settings settings, std::uint64_t seed);
    ~configuration_register();
    configuration_register(configuration_register&&) noexcept;
    configuration_register& operator=(configuration_register&&) noexcept;

    /// Starts, repeats and times out calls; to be called at least every 50 ms.
    void on_tick(steady_time now, outbox& out);
    /// Handles replies to store requests of the owner `configuration`.
    void on_store_reply(steady_time now, store_reply const& reply, outbox& out);
    /// Handles heartbeat, config_fetch and config_text; ignores other messages.
    void on_peer(steady_time now, instance_id const& from, peer_message const& message, outbox& out);
    /// Handles the outcome of a parse_config action. A null configuration means that the text was refused.
    void on_parsed(steady_time now, config_parsed const& parsed, outbox& out);
    /// Takes the list of all live instances. New ones are asked for their configuration until this instance
    /// is ready.
    void on_members(steady_time now, std::vector<member> const& members);
    /// The configuration in force; null before the first one.
    std::shared_ptr<fleet_config const> current() const;
    /// True once the store and all known peers have answered or timed out, and the newest text found is
    /// in force. Stays true.
    bool ready() const;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace siskinusher
