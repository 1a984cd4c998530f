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

/// An order that is due.
struct rotation_order
{
    backend_name engine;
    std::string address;
    order_kind kind{order_kind::load_model};
    std::string model;
    std::string adapter;                 ///< For orders that concern an adapter.
    std::uint64_t expected_sequence = 0; ///< The engine refuses the order when it has accepted others since.
    std::string reason;                  ///< Why it is due, for the log.
};
/// The engine's own report is needed: an order's outcome is not clear.
struct engine_inquiry
{
    backend_name engine;
    std::string address;
};
using rotation_step = std::variant<rotation_order, engine_inquiry>;

/// How an engine answered an order.
enum class rotation_result
{
    accepted,
    already_holds,
    conflict, ///< Another order is in progress, or the engine has accepted orders that we do not know.
    refused,  ///< For good: the order is not possible, or another server has the address.
    not_sent,
    unknown, ///< No answer: the order may be carried out later, if the sequence still fits then.
};

/// What an engine's own report shows; it lags some hundred milliseconds.
struct engine_state_report
{
    backend_name engine;
    std::uint64_t order_sequence = 0;
    bool busy = false;
    std::vector<resident_model> models;
};

struct rotation_settings
{
    double window_s = 5.0;         ///< In which the loads from the weight store are bounded.
    double window_factor = 1.0;    ///< Share of the configured rate that is used.
    unsigned full_speed_loads = 4; ///< Loads from the weight store beyond this number slow each other down.
};

/// Decides on the lease holder which models and adapters the engines hold: which model comes next, on which
/// engine, and which one makes room.
///
/// It answers these loads: requests that wait for a model or adapter that no engine holds (loaded at once,
/// from the nearest copy), models whose demand rises (more replicas), many rare models that ask for the same
/// memory in turn (the least asked for makes room), and idle time (models that no engine has a copy of are
/// fetched from the weight store before they are asked for).
class rotation_planner
{
public:
    explicit rotation_planner(rotation_settings settings);
    ~rotation_planner();
    rotation_planner(rotation_planner const&) = delete;
    rotation_planner& operator=(rotation_planner const&) = delete;

    void on_config(std::shared_ptr<serving_config const> config);
    void on_backend(steady_time now, backend_entry const& entry);
    void on_backend_gone(backend_name const& name);
    void on_demand(steady_time now, demand_report const& report);

    /// The lease was gained, and others may have sent orders before: each engine is asked for its state
    /// before its first order.
    void begin_lease();

    /// Orders and inquiries that are due; at most one for each engine is open at a time.
    std::vector<rotation_step> plan(steady_time now);
    void on_order_result(steady_time now, rotation_order const& order, rotation_result result);
    void on_report(steady_time now, engine_state_report const& report);
    void on_inquiry_failed(steady_time now, backend_name const& engine);

    /// What instances should know before the entries show it.
    placement_news news(steady_time now) const;
    /// Orders and inquiries without an answer yet.
    std::size_t open_orders() const;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace siskinusher
