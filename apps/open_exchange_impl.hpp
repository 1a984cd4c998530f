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

/// A request on its way through the request service.
struct open_exchange
{
    open_exchange(boost::asio::io_context& loop, std::shared_ptr<caller_exchange> caller_in)
        : caller(std::move(caller_in)), deadline_timer(loop), progress_timer(loop)
    {
    }

    request_number number = 0;
    std::shared_ptr<caller_exchange> caller;
    platform::caller_request request;
    route_rule route;
    std::string service;
    steady_time deadline;
    boost::asio::steady_timer deadline_timer;
    boost::asio::steady_timer progress_timer; ///< Ends an attempt whose server makes no progress.

    // The attempt under way, if any.
    std::shared_ptr<outbound_exchange> attempt;
    dispatch_target target;
    steady_time sent_at;
    std::optional<platform::answer_facts> facts;
    std::string body; ///< Of an answer that is passed on as a whole.
    event_splitter events;

    // What earlier attempts have left.
    std::vector<backend_name> avoid;
    unsigned attempts = 0; ///< Begun.
    unsigned sends = 0;    ///< Attempts that reached a server.
    unsigned backends_run = 0;
    bool may_have_run = false;
    bool answer_begun = false;
    std::optional<std::uint64_t> last_event; ///< The last event passed on to the caller.
    bool events_without_id = false;
    std::string last_failure;
    // A server's own failure answer, passed on when no further attempt is made.
    std::optional<platform::answer_facts> failed_facts;
    std::string failed_body;
    duration first_event_after{0};
    steady_time last_event_at;
    duration longest_pause{0}; ///< Between two events passed on.
};

} // namespace siskinusher
