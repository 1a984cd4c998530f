#pragma once

#include "adapters/ports.hpp"

#include <memory>

namespace siskinusher
{

struct order_client_settings
{
    unsigned workers = 16; ///< Also the limit of orders in flight; a load occupies its thread for seconds.
    /// A load from a slow weight store takes tens of seconds. After this time the outcome is unknown.
    duration answer_limit = seconds{60};
};

/// Sends orders to engines as POST /engine/orders and pushes one order_outcome for each. The lease is checked
/// against the local clock immediately before the first byte is written; an order that comes too late, or
/// whose connection fails before that byte, ends as not_sent. Without a clear answer the outcome is unknown.
/// Results are counted in siskin_order_results_total; decision/ counts sent orders by kind.
class order_client final : public order_port
{
public:
    /// Starts the threads. The ports must outlive the client.
    order_client(order_client_settings settings, event_sink& sink, metric_port& metrics, log_port& log);

    /// Drops the orders in progress without an outcome and waits for the threads.
    ~order_client() override;
    order_client(order_client const&) = delete;
    order_client& operator=(order_client const&) = delete;

    /// Never blocks and may be called by the thread that consumes the events.
    void submit(order const& what, std::string const& address) override;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace siskinusher
