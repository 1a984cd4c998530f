#pragma once

#include "decision/engine_load_state_impl.hpp"
#include "decision/load_planner.hpp"
#include "decision/model_index.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace siskinusher
{

/// The orders that may still be carried out although nobody waits for their answers any more, and the room
/// that they would need.
///
/// An engine checks of a late order only its own name and how many orders it has accepted. Within one run of
/// the engine such an order finds what it was planned for. An engine that has started again under its name
/// counts anew, so that an order to its former run fits it a second time, with other contents. No order that
/// brings an engine to that count may therefore leave less room than the late order needs.
///
/// The orders of this instance are known. Those of an earlier lease holder are not: until they are too old,
/// an engine that has started again since then keeps room for the largest model and for two adapters. More of
/// them in a row are not covered.
class late_orders
{
public:
    void on_entry(steady_time now, backend_entry const& entry);
    void on_entry_gone(steady_time now, backend_name const& engine);
    /// The engine itself has named another start than its entry.
    void on_restart(steady_time now, backend_name const& engine);
    void on_lease(steady_time now, earlier_orders earlier);

    void on_sent(steady_time now, engine_order const& order);
    void on_result(engine_order const& order, engine_order_result result);
    void expire(steady_time now);

    /// False when a late order would exceed the engine's memory or adapter places right after this order.
    bool leave_room(steady_time now, engine_load_state const& engine, model_index const& profile,
                    engine_order const& order) const;
    /// True when a late order may change what the engine holds.
    bool may_change(steady_time now, backend_name const& engine) const;
    /// When the last late order to the engine is too old to be carried out.
    steady_time last_at(steady_time now, backend_name const& engine) const;

private:
    struct sent_order
    {
        engine_order order;
        steady_time until;
    };
    struct engine_run
    {
        std::int64_t started_at = 0;
        /// When this instance noticed that the name has started again; the least time when it has not.
        steady_time restarted_at = steady_time::min();
        steady_time gone_at = steady_time::max();
    };

    bool cautious(steady_time now, backend_name const& engine) const;

    std::map<backend_name, std::vector<sent_order>> orders_;
    std::map<backend_name, engine_run> runs_;
    steady_time foreign_until_ = steady_time::min();
};

} // namespace siskinusher
