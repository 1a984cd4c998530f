#pragma once

#include "core/steady_time.hpp"
#include "decision/crash_ledger.hpp"
#include "domain/backend_entry.hpp"
#include "domain/placement_exchange.hpp"
#include "domain/serving_config.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace boost::asio
{
class io_context;
}

namespace siskinusher
{

struct log_port;
struct metric_port;

namespace platform
{
class metadata_store;
}

struct state_follower_settings
{
    std::string source;       ///< Identifies this process to its peers; differs after each start.
    duration leaving_time{0}; ///< Time after which a leaving server must get no new requests.
    duration change_time{0};  ///< Time within which a new configuration must be in force.
    /// Bound on the age of the proof that the configuration is the newest; none when no proof is needed.
    std::optional<duration> proof_limit{};
};

/// What a peer's reply tells about the age of the configuration that it rests on.
struct told_currency
{
    /// A time at which the configuration was the newest one; the epoch when the reply proves none.
    steady_time current_at;
    /// The peer does not know itself, as after its start. Older builds do not tell.
    bool peer_awaits = false;
};

/// Handlers for changes of the fleet's state, called on the event loop's thread.
struct state_handlers
{
    std::function<void(std::shared_ptr<serving_config const>)> on_config;
    std::function<void(backend_entry const&)> on_backend;
    std::function<void(backend_name const&)> on_backend_gone;
};

/// Follows the configuration, the entries of the backend servers and the marks of crashes: through the lease
/// holder's replies while the holder answers, through a standby while there is none, otherwise by watching
/// the store. On the lease holder and the standbys it also keeps the changes that are sent to the peers.
class state_follower
{
public:
    /// All references must outlive the follower.
    state_follower(boost::asio::io_context& loop, platform::metadata_store& store, log_port& log,
                   metric_port& metrics, crash_ledger& crashes, state_follower_settings settings,
                   state_handlers handlers);
    ~state_follower();
    state_follower(state_follower const&) = delete;
    state_follower& operator=(state_follower const&) = delete;

    void start();
    /// Called when this instance gains or loses the lease.
    void on_lease(bool holds);
    /// On the lease holder: the lease was written, by a call that was sent at `sent_at`.
    void on_renewed(store_revision const& revision, steady_time sent_at);
    void on_reply(holder_reply const& reply, told_currency const& currency);
    /// A standby answered a question for the state.
    void on_standby_reply(holder_reply const& reply, told_currency const& currency);
    /// Sets whether this instance is a standby, and whether it knows others to ask.
    void on_standbys(bool is_standby, bool knows_others);
    /// True when this instance should ask a standby.
    bool wants_standby() const;
    /// Age of the configuration and the servers that this instance knows, whatever their source. More than
    /// any limit when it has not listed them.
    duration age() const;
    /// The latest time at which the store is known to have had no newer configuration than this instance: the
    /// time at which a read that shows it was sent. The epoch when there was none, while peers have a later
    /// version that the store has lost, and while awaits_peers(). While the store has a text that this
    /// instance cannot use, which may take keys away, it stays what it was before that text was read.
    steady_time config_current_at() const;
    /// True when a peer has named a later revision of the configuration than this instance has read, or a
    /// later version that the store has lost, or when the text in the store cannot be used.
    bool config_behind() const;
    /// True after the start, while organisations need a proof, until a peer has named the version that it has
    /// in force: the store may show an older one, after it came back from an older copy of itself.
    bool awaits_peers() const;
    /// Called when the holder answers that it no longer holds the lease, or when nothing listens at its
    /// address.
    void on_holder_lost();

    /// On the lease holder: true when the servers were read from the store since this instance gained the
    /// lease.
    bool servers_fresh() const;
    /// True when the servers have been listed at least once.
    bool servers_known() const;

    /// Position in the holder's changes up to which this instance knows them.
    update_position position() const;
    /// The changes that follow the position `known` of a peer.
    backend_update servers_since(update_position const& known) const;
    /// The configuration that this instance knows, with its text when the peer needs it.
    known_config config_for(known_config const& peer) const;
    /// Takes over the text that a peer sends: the store may have lost it, or this instance may have started
    /// after the loss.
    void on_peer_config(known_config const& told);
    /// Digest of the marks that this instance knows, and those that it found lately.
    std::uint64_t crashes_digest() const;
    std::vector<crash_mark> new_crashes() const;
    /// Takes over the marks that a peer has found: it may not reach the store, or this instance may not.
    void on_peer_crashes(std::vector<crash_mark> const& found);
    /// Takes over the marks of an instance whose lease has run out, until the store or a holder tells others.
    void on_former_holder_crashes(std::vector<crash_mark> const& told);
    /// The marks for a peer that has those with the digest `known`; empty when they are the same ones, or
    /// when this instance does not know all of them.
    std::optional<std::vector<crash_mark>> crashes_since(std::uint64_t known) const;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace siskinusher
