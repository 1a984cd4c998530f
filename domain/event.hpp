#pragma once

#include "domain/engine_report.hpp"
#include "domain/fleet_config.hpp"
#include "domain/order.hpp"
#include "domain/peer_message.hpp"
#include "domain/request_profile.hpp"
#include "domain/store_call.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace siskinusher
{

/// Time has passed; sent at least every 50 ms.
struct tick
{
    std::int64_t wall_clock_s = 0; ///< Seconds since 1970; used only to expire old call records.
};

struct request_arrived
{
    request_profile profile;
};

/// How one attempt at a backend server ended.
enum class attempt_result
{
    answered,        ///< The whole answer was received (any status that the server chose).
    refused_not_run, ///< The server refused before running, for example with a full queue or while leaving.
    not_sent,        ///< No byte was written.
    connection_lost, ///< The connection ended after the first byte was written.
    silent,          ///< No progress within the deadline.
    bad_answer,      ///< The answer was truncated, or belonged to another request.
    caller_gone,     ///< The caller closed its connection; the engine's work was cancelled.
};

struct attempt_finished
{
    request_number number = 0;
    unsigned attempt = 0;
    attempt_result result{attempt_result::answered};
    bool server_dead = false;      ///< A fresh connection to the server was refused after the loss.
    std::uint64_t boot_id = 0;     ///< From the answer; zero when unknown.
    unsigned delivered_tokens = 0; ///< Tokens already passed on to the caller; a retry continues after them.
    int status = 0;                ///< Of the answer to record, for calls with an idempotency key.
    std::string content_type;
    std::string body; ///< Only for calls with an idempotency key.
    /// Why the status of the answer is not valid; empty when it is, or there was no answer.
    std::string invalid_status;
};

/// The first byte of an answer was passed on to the caller. A request's deadline is the time by which this
/// must happen.
struct attempt_progress
{
    request_number number = 0;
    unsigned attempt = 0;
};

/// The caller closed its connection while the request was queued.
struct request_cancelled
{
    request_number number = 0;
};

struct peer_received
{
    instance_id from;
    peer_message message;
};

struct engine_report_received
{
    engine_report report;
};
struct engine_unreachable
{
    backend_name name;
    bool refused = false; ///< Nothing listens at the address: the server is dead.
};

struct instance_list_received
{
    std::vector<listed_server> servers;
};

/// A configuration text passed the checks; sent by the adapter that parses texts.
struct config_parsed
{
    std::shared_ptr<fleet_config const> config;
    config_object object;
};

struct drain_requested
{
};

using event = std::variant<tick, request_arrived, attempt_finished, attempt_progress, request_cancelled,
                           peer_received, store_reply, order_outcome, engine_report_received,
                           engine_unreachable, instance_list_received, config_parsed, drain_requested>;

} // namespace siskinusher
