#pragma once

#include "decision/demand_table.hpp"
#include "decision/load_planner.hpp"
#include "decision/model_index.hpp"
#include "domain/engine_report.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace siskinusher
{

/// An order without an answer yet.
struct open_order
{
    engine_order order;
    steady_time sent_at;
};

/// An order that the engine has accepted and whose effect its entry does not show yet.
struct accepted_order
{
    order_kind kind{order_kind::load_model};
    std::string model;
    steady_time accepted_at;
    steady_time expected_end;
    bool from_store = false;
};

/// The state of one engine in the load planner: its contents, its open orders, and when it can take the
/// next order.
struct engine_load_state
{
    backend_entry entry;
    std::uint64_t sequence = 0;
    std::optional<open_order> open;
    std::optional<accepted_order> pending;
    std::string leaving_model; ///< To be unloaded once all instances send it no new requests; empty for none.
    steady_time unload_at;
    std::string model_to_load_next; ///< Memory is being freed to load this model; empty for none.
    bool inquiry_open = false;
    bool inquiry_due = false;
    /// The engine is busy with an order of an earlier lease holder, which may be a load from the weight
    /// store.
    bool has_unknown_order = false;
    bool confirmed = false; ///< The engine itself reported its contents during this lease.
    std::map<std::string, steady_time> loaded_at;   ///< Models whose load ended recently.
    std::map<std::string, steady_time> unloaded_at; ///< Models that were unloaded recently.
    steady_time no_orders_until;                    ///< No order before this time.
    steady_time unreachable_until; ///< Set when an instance could not connect to its address.
    std::map<demand_table::key, steady_time> adapters; ///< Loaded or being loaded, with their last use.
    std::map<demand_table::key, steady_time> adapter_order_sent_at;
    /// Count of orders at which an order was last held back because of late ones.
    std::optional<std::uint64_t> held_back_at;

    bool can_take_order(steady_time now) const;
    /// Models that use memory or may come to do so.
    std::set<std::string> occupants() const;
    /// Models that can serve now or soon: the occupants without those to be unloaded, and model_to_load_next.
    std::set<std::string> serving() const;
    double free_mb(model_index const& service) const;
    /// The nearest copy of the model's weights.
    checkpoint_tier tier_of(std::string const& model) const;
    /// How long the engine is busy with its present orders, in milliseconds.
    double occupied_ms(steady_time now) const;
    unsigned adapter_loads_in_flight(steady_time now) const;
    void remove_model(std::string const& model);
};

/// How long an engine takes to load the model from that checkpoint tier.
duration load_time(checkpoint_tier from, model_profile const& model);

} // namespace siskinusher
