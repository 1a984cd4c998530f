#pragma once

#include "domain/backend_entry.hpp"
#include "domain/order.hpp"
#include "domain/placement_exchange.hpp"
#include "domain/serving_config.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace siskinusher
{

/// An order that is to be sent to an engine.
struct engine_order
{
    backend_name engine;
    std::string address;
    order_kind kind{order_kind::load_model};
    std::string model;
    std::string adapter; ///< For orders that concern an adapter.
    /// The engine refuses this order if it has accepted other orders since.
    std::uint64_t expected_sequence = 0;
    std::string reason;       ///< Why the order is sent, for the log.
    std::uint64_t number = 0; ///< Tells the orders of one planner apart.
};
/// The engine is to be asked for its state, because the outcome of an order is not clear.
struct engine_inquiry
{
    backend_name engine;
    std::string address;
};
using planner_action = std::variant<engine_order, engine_inquiry>;

/// An order that is not sent yet, because one that may still be carried out late would not fit after it.
struct held_order
{
    engine_order order;
    duration wait{0}; ///< Until the late order is too old.
};

/// Whose orders may still be carried out late when a lease begins.
enum class earlier_orders
{
    own_only,
    of_other_holders,
};

/// How an engine answered an order.
enum class engine_order_result
{
    accepted,
    already_holds,
    conflict, ///< Another order is in progress, or the engine has accepted orders unknown to the planner.
    refused,  ///< Permanently: the order is impossible, or another server has the address.
    not_sent,
    unknown, ///< No answer: the order may still be carried out later, if its sequence matches then.
};

/// An engine's own report of its state; it lags some hundred milliseconds behind.
struct engine_state_report
{
    backend_name engine;
    std::uint64_t order_sequence = 0;
    bool busy = false;
    std::vector<resident_model> models;
    std::int64_t started_at = 0; ///< As in the engine's entry; 0 when the report does not tell.
};

struct load_planner_settings
{
    double window_s = 5.0;         ///< Seconds over which the rate of loads from the weight store is limited.
    double window_factor = 1.0;    ///< Share of the configured rate of loads that is used.
    unsigned full_speed_loads = 4; ///< Loads from the weight store beyond this number slow each other down.
};

/// Decides on the lease holder which models and adapters the engines hold: which model is loaded next, on
/// which engine, and which model is evicted for it.
///
/// It handles these loads: requests wait for a model or adapter that no engine holds (it is loaded at once,
/// from the nearest copy); the demand for a model rises (it gets more replicas); many rarely used models need
/// the same memory in turn (the one with the least demand is evicted); the weight store is idle (models that
/// no engine has a copy of are prefetched from it).
class load_planner
{
public:
    explicit load_planner(load_planner_settings settings);
    ~load_planner();
    load_planner(load_planner const&) = delete;
    load_planner& operator=(load_planner const&) = delete;

    void on_config(std::shared_ptr<serving_config const> config);
    void on_backend(steady_time now, backend_entry const& entry);
    void on_backend_gone(steady_time now, backend_name const& name);
    void on_demand(steady_time now, demand_report const& report);

    /// To be called when the lease was gained. Earlier holders may have sent orders, so each engine is asked
    /// for its state before it gets its first order.
    void begin_lease(steady_time now, earlier_orders earlier);

    /// Orders and inquiries to send now. At most one for each engine is open at a time.
    std::vector<planner_action> plan(steady_time now);
    void on_order_result(steady_time now, engine_order const& order, engine_order_result result);
    /// Orders that were held back since the last call, once for each state of an engine.
    std::vector<held_order> take_held_orders();
    void on_report(steady_time now, engine_state_report const& report);
    void on_inquiry_failed(steady_time now, backend_name const& engine);

    /// Changes of placements that instances should learn before the entries show them.
    placement_update current_placement_update(steady_time now) const;
    /// Number of orders and inquiries that have no answer yet.
    std::size_t open_orders() const;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace siskinusher
