#pragma once

#include "domain/action.hpp"
#include "domain/engine_report.hpp"
#include "domain/identifiers.hpp"
#include "domain/store_records.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace siskinusher
{

/// Durations of the lease protocol (docs/design.md, 3.1).
struct data_centre_lease_settings
{
    instance_id self;
    std::string data_centre;
    duration renew_interval = seconds{2};
    duration term = seconds{6};
    double clock_drift = 0.01; ///< Largest relative difference in rate between two steady clocks.
    duration intent_interval = milliseconds{100}; ///< Shortest time between writes that carry new intents.
    /// After this time without an answer, a write is relayed through members and promises are requested.
    duration answer_timeout = milliseconds{400};
};

/// Claims and renews the lease on the engines of one data centre and makes the intents of its holder durable.
///
/// The lease is a record in the object store. While the store is unavailable, the holder extends the lease
/// when all confirmed members that are not proven gone promise not to claim it.
class data_centre_lease
{
public:
    data_centre_lease(data_centre_lease_settings settings, std::uint64_t seed);
    ~data_centre_lease();
    data_centre_lease(data_centre_lease const&) = delete;
    data_centre_lease& operator=(data_centre_lease const&) = delete;

    void on_tick(steady_time now, outbox& out);
    void on_store_reply(steady_time now, store_reply const& reply, outbox& out);
    void on_peer(steady_time now, instance_id const& from, peer_message const& message, outbox& out);
    void on_incarnation(steady_time now, instance_id const& seen);
    void on_instances(steady_time now, std::vector<listed_server> const& servers);

    /// Has the intent recorded with the next write or promise round.
    void add_intent(intent const& what);
    /// Leaves the intent out of later writes.
    void remove_intent(std::uint64_t id);
    /// True when the intent is durable, so that its order may be sent.
    bool is_durable(std::uint64_t id) const;
    /// Intents that this holder is responsible for, including those of earlier holders.
    std::vector<intent> intents() const;
    /// Intents of the last record seen, whoever holds the lease.
    std::vector<intent> const& recorded_intents() const;

    /// Releases the lease; this instance does not claim it again. The next write tells the other members.
    void release(steady_time now, outbox& out);

    bool holds(steady_time now) const;
    /// True when the last record seen names this instance, even if the lease has run out.
    bool is_recorded_holder() const;
    steady_time lease_until() const;
    std::uint64_t epoch() const;
    instance_id holder() const;
    bool store_reached(steady_time now) const;
    /// When the instance was proven gone; empty when it was not.
    std::optional<steady_time> proven_gone_at(instance_id const& id) const;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace siskinusher
