#pragma once

#include "adapters/caller_server.hpp"
#include "apps/caller_access.hpp"
#include "apps/crash_reporter.hpp"
#include "apps/quota_keeper.hpp"
#include "decision/dispatcher.hpp"
#include "decision/relay_directory.hpp"
#include "decision/server_reach.hpp"
#include "decision/service_retry_budget.hpp"
#include "decision/stream_register.hpp"
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
struct log_port;
struct latency_port;
struct metric_port;

/// Handles each caller's request from its arrival to its single final answer: finds the route, waits for a
/// backend server, makes attempts and answers. While this instance is cut off from all servers, attempts go
/// through other instances. The decisions are made by route_table, dispatcher,
/// attempt_policy, service_retry_budget, crash_ledger and stream_register.
class request_service
{
public:
    /// All references must outlive the service.
    request_service(boost::asio::io_context& loop, outbound_pool& pool, dispatcher& requests,
                    service_retry_budget& retries, crash_reporter& crashes, stream_register& streams,
                    server_reach& reach, relay_directory& relays, caller_access& access, quota_keeper& quotas,
                    log_port& log, metric_port& metrics, latency_port& latencies, std::uint64_t seed);
    ~request_service();
    request_service(request_service const&) = delete;
    request_service& operator=(request_service const&) = delete;

    void on_config(std::shared_ptr<serving_config const> config);
    void on_request(std::shared_ptr<caller_exchange> exchange);
    /// The refusal of a request whose caller has no valid key, by its head alone; none when it may go on.
    std::optional<head_refusal> refuse_by_head(request_head const& head);
    /// Takes a request that a peer, which is cut off from all servers, has accepted.
    void on_forwarded(std::shared_ptr<caller_exchange> const& call);
    /// This instance has lost all servers, or reaches them again. What waits for a server, or has got no
    /// answer yet, is passed on to other instances as far as that is safe.
    void on_reach_change();
    /// The instances that take requests may have changed.
    void on_relays();
    /// Sets the function that returns the value of the header by which peers know each other.
    void on_authorization(std::function<std::string()> provider);
    /// A request or prompt part has become blocked: requests that wait are refused if they have it.
    void on_blocked();
    /// Carries out the dispatcher's decisions. Must be called after each event that was passed to the
    /// dispatcher.
    void run_dispatcher();
    /// The process ends at `end`. Waiting requests are refused soon, and new requests that might not be
    /// finished by then are refused at once, so that callers try another instance.
    void begin_stop(steady_time end);
    /// Answers all open requests at once; to be called at the end of a stop.
    void end_all();
    /// Sets the handler that is called when a request begins to wait for a model that no engine holds.
    void on_missing_model(std::function<void()> handler);
    /// Sets the function that finds out how a stream may go on that this instance does not know. It is given
    /// the service and the stream's id.
    using stream_question =
        std::function<void(std::string const&, std::string const&, std::function<void(take_up_choice)>)>;
    void on_unknown_stream(stream_question handler);

    bool has_config() const;
    std::size_t open_requests() const;

private:
    class implementation;
    std::shared_ptr<implementation> impl_;
};

} // namespace siskinusher
