#pragma once

#include "adapters/caller_server.hpp"
#include "core/steady_time.hpp"
#include "decision/fleet_limits.hpp"
#include "decision/fleet_load.hpp"
#include "decision/load_planner.hpp"
#include "decision/order_lease.hpp"
#include "decision/quota_issuer.hpp"
#include "domain/backend_entry.hpp"
#include "domain/placement_exchange.hpp"
#include "domain/serving_config.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace boost::asio
{
class io_context;
}

namespace siskinusher
{

class outbound_pool;
class state_follower;
class stream_register;
struct log_port;
struct metric_port;

namespace platform
{
class metadata_store;
struct store_relay;
} // namespace platform

struct placement_service_settings
{
    std::string name;              ///< Names this instance in the lease record: the machine and its address.
    std::string peer_address;      ///< Address at which this instance accepts demand reports.
    std::string proposed_peer_key; ///< Proposed as the key that peers share if the lease record has none yet.
    order_lease_times lease;
    load_planner_settings rotation;
    /// The instance has the processor for the questions of all others, and claims the lease before instances
    /// that have not.
    bool suits_as_holder = false;
    quota_bounds quotas;
};

/// Claims and renews the order lease, sends the rotation planner's orders while this instance holds the
/// lease, and reports this instance's demand to the lease holder, whose replies go to the state follower.
class placement_service
{
public:
    using demand_source = std::function<demand_report()>;
    using placement_update_handler = std::function<void(placement_update const&)>;
    using streams_handler = std::function<void(std::vector<begun_stream> const&)>;
    using relays_handler = std::function<void(std::vector<peer_relay> const&)>;
    using forward_handler = std::function<void(std::shared_ptr<caller_exchange>)>;

    /// All references must outlive the service.
    placement_service(boost::asio::io_context& loop, outbound_pool& pool, platform::metadata_store& store,
                      log_port& log, metric_port& metrics, placement_service_settings settings,
                      state_follower& state, stream_register& streams, demand_source demand,
                      placement_update_handler on_placement_update, streams_handler on_streams);
    ~placement_service();
    placement_service(placement_service const&) = delete;
    placement_service& operator=(placement_service const&) = delete;

    void start();
    /// True when the lease holder answered this instance's latest report.
    bool holder_answers() const;
    void on_config(std::shared_ptr<serving_config const> config);
    void on_backend(backend_entry const& entry);
    void on_backend_gone(backend_name const& name);
    /// Answers a question for credit of organisations; no value when this instance does not hold the lease.
    std::optional<quota_reply> answer_quotas(quota_question const& question);
    /// A request waits for a model that no engine holds: sends a demand report at the next opportunity.
    void report_soon();
    /// Sets the handlers of the instances that reach servers, told while this one is cut off, and of the
    /// requests that peers pass on to this instance.
    void on_forwarding(relays_handler on_relays, forward_handler on_forwarded);
    /// Value of the header by which peers know each other; empty when this instance knows no key yet.
    std::string peer_authorization() const;
    /// The lease holder; empty when this instance holds the lease or knows none.
    std::optional<platform::store_relay> holder() const;
    /// A peer that can make store calls when this instance does not reach the store; empty when none is
    /// known.
    std::optional<platform::store_relay> relay() const;
    /// Answers a call from another instance.
    void on_peer_call(std::shared_ptr<caller_exchange> const& call);

    /// Stops sending orders and releases the lease.
    void retire();
    bool retired() const;
    bool holds_lease() const;

private:
    class implementation;
    std::shared_ptr<implementation> impl_;
};

} // namespace siskinusher
