#pragma once

#include "adapters/ports.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace siskinusher
{

struct object_store_settings
{
    std::string address; ///< IP number and port.
    std::uint64_t seed = 0;
    unsigned workers = 4;                   ///< Threads for reads and writes.
    unsigned watch_workers = 2;             ///< Threads for watches; each waiting watch occupies one.
    duration call_limit = seconds{2};       ///< From submission to the reply.
    duration watch_time = seconds{3};       ///< The store answers a watch without a change after this time.
    duration watch_margin = seconds{1};     ///< Additional wait for the answer to a watch.
    duration reconnect_spread = seconds{5}; ///< Longest random wait between attempts in an outage.
    unsigned failures_to_outage = 3;        ///< Consecutive failed calls that start an outage.
};

/// Makes the calls of the decision layer to the object store over HTTP and pushes one store_reply for each. A
/// call without a clear answer ends as store_unavailable: a write may then have taken effect. During an
/// outage calls end as store_unavailable at once, see outage_gate.
///
/// Calls made are counted in siskin_store_calls_total by operation, calls without a usable answer in
/// siskin_store_failures_total by reason.
class object_store_client final : public store_port
{
public:
    /// Starts the threads. The ports must outlive the client.
    object_store_client(object_store_settings settings, event_sink& sink, metric_port& metrics,
                        log_port& log);

    /// Drops the calls in progress without a reply and waits for the threads.
    ~object_store_client() override;
    object_store_client(object_store_client const&) = delete;
    object_store_client& operator=(object_store_client const&) = delete;

    /// Never blocks and may be called by the thread that consumes the events.
    void submit(store_request const& request) override;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace siskinusher
