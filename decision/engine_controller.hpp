#pragma once

#include "domain/action.hpp"
#include "domain/engine_report.hpp"
#include "domain/fleet_config.hpp"
#include "domain/identifiers.hpp"
#include "domain/order.hpp"
#include "domain/peer_message.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace siskinusher
{

struct controller_settings
{
    instance_id self;
    std::string data_centre;
    duration renew_interval = seconds{2};
    duration lease_term = seconds{6};
    double clock_drift = 0.01; ///< Largest difference in rate between the steady clocks of two instances.
    /// Between two load requests for the same model to the holder.
    duration load_request_interval = milliseconds{200};
};

/// Decides which orders go to the engines of one data centre while this instance holds the lease of that data
/// centre (docs/design.md, 3.1 and 7). Otherwise it sends this instance's load requests, which ask to load a
/// model or adapter, to the holder.
class engine_controller
{
public:
    engine_controller(controller_settings settings, std::uint64_t seed);
    ~engine_controller();
    engine_controller(engine_controller const&) = delete;
    engine_controller& operator=(engine_controller const&) = delete;

    void on_config(steady_time now, std::shared_ptr<fleet_config const> config, outbox& out);
    void on_tick(steady_time now, outbox& out);
    /// Handles replies to store requests of the owners `lease` and `quota`.
    void on_store_reply(steady_time now, store_reply const& reply, outbox& out);
    /// Handles load_request, promise_request, promise_reply, relay_write, relay_result and intent_settled.
    void on_peer(steady_time now, instance_id const& from, peer_message const& message, outbox& out);
    /// Called when an incarnation of an instance was seen: it proves that earlier incarnations have ended.
    void on_incarnation(steady_time now, instance_id const& seen);
    void on_instances(steady_time now, std::vector<listed_server> const& servers, outbox& out);
    void on_report(steady_time now, engine_report const& report, outbox& out);
    void on_engine_dead(steady_time now, backend_name const& name, outbox& out);
    void on_order_outcome(steady_time now, order_outcome const& outcome, outbox& out);
    /// Takes a load request of this instance: it is planned here when this instance holds the lease, else
    /// sent to the holder.
    void on_load_request(steady_time now, load_request const& what, outbox& out);
    /// Stops sending orders for good. Gives the lease up and returns true once no order is in flight.
    bool release(steady_time now, outbox& out);
    bool holds_lease(steady_time now) const;
    std::string holder() const; ///< Empty when unknown.
    std::uint64_t epoch() const;
    /// True when the object store answered within the last lease term.
    bool store_reached(steady_time now) const;
    /// Recent decisions about a model or adapter, the oldest first.
    std::vector<std::string> decision_history(std::string const& model) const;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace siskinusher
