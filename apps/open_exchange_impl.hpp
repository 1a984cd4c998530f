#pragma once

#include "adapters/caller_server.hpp"
#include "adapters/event_splitter.hpp"
#include "adapters/outbound_pool.hpp"
#include "domain/dispatch_request.hpp"
#include "domain/event.hpp"
#include "domain/serving_config.hpp"
#include "platform/request_codec.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace siskinusher
{

/// One sending of a request to a backend server.
struct server_attempt
{
    request_number number = 0; ///< Names the attempt in the dispatcher.
    dispatch_target target;
    steady_time begun_at;
    std::shared_ptr<outbound_exchange> exchange; ///< Null once the attempt has ended.
    std::optional<platform::answer_info> facts;
    std::string body; ///< Body of an answer that is forwarded as a whole.
    event_splitter events;
    std::string leading_comments; ///< Of a stream, before its first event; they are passed on with it.
    std::string version;          ///< Of the server's software.
    steady_time first_event_at;   ///< Zero until an event has arrived.
    bool counted_as_answered = false;
    bool via_peer = false;        ///< Sent to another instance, which passes it on to a server.
    unsigned servers_lent = 0;    ///< How many servers the peer may let run it; 0 for a server.
    std::uint64_t connection = 0; ///< Its number in this process.
    std::string invalid_status;   ///< What its answer had in the place of a status; empty for none.
    std::string withdrawn;        ///< Why it was not sent, for a reason that says nothing about the server.
};

/// State of one request in the request service, from its arrival to its final answer.
struct open_exchange
{
    open_exchange(boost::asio::io_context& loop, std::shared_ptr<caller_exchange> caller_in)
        : caller(std::move(caller_in)), deadline_timer(loop), progress_timer(loop)
    {
    }

    bool is_running() const { return current && current->exchange; }

    request_number number = 0;
    std::shared_ptr<caller_exchange> caller;
    platform::caller_request request;
    route_rule route;
    std::uint64_t config_version = 0; ///< Of the configuration that the route was taken from.
    /// Passed on by another instance, which answers the caller: it is not passed on again.
    bool forwarded = false;
    /// Identified and charged by the instance that passed it on.
    bool caller_checked = false;
    /// Identified here. It stays so when a later configuration has no organisations.
    bool identified = false;
    std::uint64_t quota_cost = 0; ///< In units of the limit of its organisation.
    std::uint64_t work = 0;       ///< Its tokens, for the division of scarce room among organisations.
    bool awaits_credit = false;   ///< Of its organisation; it has not been passed on yet.
    bool charged = false;         ///< Its organisation has paid for it.
    std::string passed_on_by;     ///< Address of that instance; empty for none.
    bool tries_servers = false;   ///< Sent to see whether servers are reached again.
    bool began_at_peer = false;   ///< The stream; its software version is not known here.
    std::string service;
    suspect_names suspects; ///< Of the request, should a server crash on it.
    bool on_trial = false;  ///< Blocked, and sent to see whether it still crashes servers.
    steady_time deadline;
    boost::asio::steady_timer deadline_timer;
    boost::asio::steady_timer progress_timer; ///< Expires when the current attempt makes no progress.

    /// Number under which the request waits for a server in the dispatcher, if it does.
    std::optional<request_number> awaited;
    std::shared_ptr<server_attempt> current; ///< The latest attempt; null before the first.
    /// Attempt at another server while `current` makes no progress. It takes the place of `current` unless
    /// its server rejects the request or `current` goes on.
    std::shared_ptr<server_attempt> replacement;

    // Results of earlier attempts.
    std::vector<backend_name> failed_servers;    ///< And addresses of peers that could not take it.
    std::vector<std::string> unsuccessful_peers; ///< Addresses of peers whose server may have run it.
    unsigned attempts = 0;                       ///< Attempts that were begun.
    unsigned times_sent = 0;                     ///< Attempts that reached a server.
    unsigned backends_run = 0;
    bool may_have_run = false;
    bool answer_started = false;
    unsigned events_forwarded = 0;
    std::optional<std::uint64_t> last_event; ///< The last event that was forwarded to the caller.
    bool events_without_id = false;
    /// Software version at which the stream must go on, once it has begun here or at another instance.
    std::optional<std::string> version;
    std::string last_failure;
    // Failure answer of a server; forwarded when no further attempt is made.
    std::optional<platform::answer_info> failed_facts;
    std::string failed_body;
    duration first_event_after{0};
    steady_time last_event_at;
    duration longest_pause{0}; ///< Between two forwarded events.
};

} // namespace siskinusher
