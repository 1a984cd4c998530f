#pragma once

#include "adapters/http_front.hpp"
#include "adapters/ports.hpp"
#include "apps/core_runner.hpp"

namespace siskinusher
{

/// Durations of a graceful shutdown.
struct shutdown_limits
{
    duration load_balancer = seconds{2}; ///< Time in which load balancers notice that /readyz fails.
    duration requests = seconds{600};    ///< The longest deadline, so that no accepted request is cut off.
    duration lease = seconds{8};         ///< A lease that is not released expires after 6 s by itself.
};

/// Serves until SIGTERM, SIGINT or an operator's drain, then shuts down gracefully.
class entry_process
{
public:
    /// Blocks the stop signals for the calling thread and all threads that it starts later. Must be called
    /// first.
    static void block_signals();

    entry_process(http_front& front, core_runner& core, event_queue& ring, log_port& log,
                  shutdown_limits limits);

    /// Waits for a stop signal or for request_stop, shuts down and returns the exit code.
    int run();

    /// Starts the shutdown from another thread.
    static void request_stop();

private:
    void shut_down(std::string const& cause);

    http_front& front_;
    core_runner& core_;
    event_queue& ring_;
    log_port& log_;
    shutdown_limits const limits_;
};

} // namespace siskinusher
