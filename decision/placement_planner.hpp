#pragma once

#include "decision/engine_ledger.hpp"
#include "decision/quota_ledger.hpp"
#include "domain/peer_message.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace siskinusher
{

/// An order that the planner submits.
struct planned_order
{
    order_kind kind{order_kind::load_model};
    backend_name engine;
    std::string subject;
    std::uint64_t bytes = 0;
    bool from_weight_store = true;
    std::string reason; ///< For the event log.
};

/// The state on which a plan is based. The callbacks take effect at once, so that later decisions of the same
/// plan take earlier ones into account.
struct placement_input
{
    steady_time now{};
    fleet_config const& config;
    engine_ledger const& ledger;
    quota_ledger const& quota;
    steady_time acquired{};                           ///< When this instance took the lease.
    std::function<bool(planned_order const&)> submit; ///< False when the order was refused.
    /// Reports why a load request has to wait.
    std::function<void(std::string const& model, std::string const& reason)> refuse;
};

/// Decides which models and adapters the engines load, evict and unload (docs/design.md, 7).
class placement_planner
{
public:
    placement_planner();
    ~placement_planner();
    placement_planner(placement_planner const&) = delete;
    placement_planner& operator=(placement_planner const&) = delete;

    /// Adds a load request. It replaces an earlier load request of the same sender for the same model and
    /// adapter.
    void on_load_request(steady_time now, std::string const& sender, load_request const& what);
    void clear_load_requests();
    bool has_load_requests() const;
    /// Submits the orders, and returns the demand of the data centre for each row of the quota object.
    std::map<std::string, quota_demand> plan(placement_input const& input);

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace siskinusher
