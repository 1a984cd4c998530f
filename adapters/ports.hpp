#pragma once

#include "core/steady_time.hpp"
#include "domain/action.hpp"
#include "domain/event.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace siskinusher
{

/// Accepts the events of the adapters; the core thread consumes them. Safe to call from every thread.
struct event_sink
{
    virtual ~event_sink() = default;
    /// Returns false when the event was refused because the queue is full or closed. The caller decides how
    /// to treat the loss; outcomes of orders and store calls must be pushed again until accepted.
    virtual bool push(event what) = 0;
};

/// Sends messages to other instances. Received ones are pushed as peer_received.
struct peer_port
{
    virtual ~peer_port() = default;
    /// Queues the message and returns at once; it is dropped when the peer is unknown or unreachable.
    virtual void send(std::string const& to, peer_message const& message) = 0;
    /// Called with each instance list, before the core sees it, so that names can be resolved to addresses.
    virtual void on_instances(std::vector<listed_server> const& servers) = 0;
};

/// Makes calls to the object store. Each submitted request is answered by exactly one store_reply.
struct store_port
{
    virtual ~store_port() = default;
    virtual void submit(store_request const& request) = 0;
};

/// Sends orders to engines. Each submitted order is answered by exactly one order_outcome.
struct order_port
{
    virtual ~order_port() = default;
    virtual void submit(order const& what, std::string const& address) = 0;
};

/// Reads the report of a backend server; answered by engine_report_received or engine_unreachable.
struct poll_port
{
    virtual ~poll_port() = default;
    virtual void poll(backend_name const& name, std::string const& address) = 0;
};

/// Parses and checks a configuration text; answered by config_parsed, without a configuration when the text
/// has faults.
struct config_parser_port
{
    virtual ~config_parser_port() = default;
    virtual void parse(config_object const& object) = 0;
};

/// What the core decided about one request.
using request_decision = std::variant<dispatch, forward, refuse, replay_answer>;

/// Hands decisions to the threads that serve the requests.
struct decision_port
{
    virtual ~decision_port() = default;
    /// Returns false when no thread serves the request any more.
    virtual bool deliver(request_number number, request_decision decision) = 0;
};

/// Writes one line for each event. Safe to call from every thread; never blocks.
struct log_port
{
    virtual ~log_port() = default;
    virtual void write(log_event const& entry) = 0;
};

/// Increments counters. Safe to call from every thread.
struct metric_port
{
    virtual ~metric_port() = default;
    /// `label` is the value of the label "reason" or "kind"; empty for none.
    virtual void add(std::string_view name, std::string_view label, std::uint64_t amount) = 0;
};

/// Records durations.
struct latency_port
{
    virtual ~latency_port() = default;
    virtual void observe(std::string const& name, std::string const& label, duration value) = 0;
};

/// The decision layer as the core thread sees it. Only the core thread calls it.
struct decision_core
{
    virtual ~decision_core() = default;
    virtual void handle(steady_time now, event const& what, outbox& out) = 0;
    /// True once a configuration is known and requests may be accepted.
    virtual bool ready() const = 0;
    /// The configuration in force; null before the first.
    virtual std::shared_ptr<fleet_config const> config() const = 0;
    /// Requests accepted and not yet finished.
    virtual std::size_t open_requests() const = 0;
    /// Gives up the lease on shutdown. Called every tick until it returns true, which means that no order is
    /// in flight.
    virtual bool release(steady_time now, outbox& out) = 0;
    /// Recent decisions about a request or a model, oldest first.
    virtual std::vector<std::string> explain_request(request_number number) const = 0;
    virtual std::vector<std::string> explain_model(std::string const& model) const = 0;
    /// Fields for the operator's status call.
    virtual std::vector<std::pair<std::string, std::string>> status(steady_time now) const = 0;
};

} // namespace siskinusher
