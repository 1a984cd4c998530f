#pragma once

#include "core/refusal.hpp"
#include "domain/order.hpp"
#include "domain/peer_message.hpp"
#include "domain/request_profile.hpp"
#include "domain/store_call.hpp"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace siskinusher
{

/// Send the request to a backend server.
struct dispatch
{
    request_number number = 0;
    unsigned attempt = 0;
    backend_name server;
    std::string address;
    duration time_left{0}; ///< Until the request's deadline.
    unsigned continue_from_token = 0;
};

/// Send the request to an instance of another data centre.
struct forward
{
    request_number number = 0;
    unsigned attempt = 0;
    std::string instance;
    std::string address;
    duration time_left{0};
};

struct refuse
{
    request_number number = 0;
    refusal answer;
};

/// Answer the request with a recorded answer.
struct replay_answer
{
    request_number number = 0;
    call_entry entry;
};

struct send_peer
{
    std::string to; ///< Name of the instance.
    peer_message message;
};

struct send_order
{
    order what;
    std::string address;
};

struct poll_engine
{
    backend_name name;
    std::string address;
};

/// Parse and check a configuration text; the result comes back as config_parsed.
struct parse_config
{
    config_object object;
};

/// One line for the event log: the name of the event and its fields.
struct log_event
{
    std::string name;
    std::vector<std::pair<std::string, std::string>> fields;
};

/// Adds to a counter of the metrics registry.
struct count_metric
{
    std::string name;  ///< For example "siskin_retries_total".
    std::string label; ///< Value of the label "reason" or "kind"; empty for none.
    std::uint64_t amount = 1;
};

using action = std::variant<dispatch, forward, refuse, replay_answer, send_peer, store_request, send_order,
                            poll_engine, parse_config, log_event, count_metric>;

/// Collects the actions of one step in the order in which they are to be carried out.
using outbox = std::vector<action>;

} // namespace siskinusher
