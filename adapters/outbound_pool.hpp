#pragma once

#include "adapters/http_connection.hpp"
#include "adapters/http_head.hpp"
#include "core/steady_time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio
{
class io_context;
}

namespace siskinusher
{

/// How an outbound exchange ended.
enum class exchange_end
{
    complete,         ///< The whole answer was received.
    refused,          ///< Nothing listens at the address; nothing was sent.
    not_sent,         ///< No connection in time; nothing was sent.
    lost,             ///< The connection ended after the first byte may have been written.
    malformed,        ///< The answer is not valid HTTP.
    invalid_status,   ///< The status of the answer is not valid, or an answer that was not asked for.
    body_not_allowed, ///< The answer has a body although its status allows none.
    too_large,        ///< The answer exceeds a limit, or all answers together do and this one holds most.
    timed_out,        ///< The deadline passed after the first byte may have been written.
};

/// Name for logs and metrics, for example "timed_out".
char const* to_string(exchange_end end);

/// Callbacks of an exchange. They run on the event loop's thread and are never called after cancel().
struct exchange_handlers
{
    /// Called immediately before the first byte is written; false ends the exchange as not_sent. May be
    /// empty.
    std::function<bool()> may_send;
    /// Id of the request that an answer names; empty if it names none. With this handler, answers to earlier
    /// requests of the connection are skipped: a server may repeat them. May be empty.
    std::function<std::string(response_head const&)> named_id;
    /// An answer is skipped. May be empty.
    std::function<void(response_head const&)> on_skipped;
    /// The head of the answer. Returning false ends the exchange at once, without a call of on_end.
    std::function<bool(response_head const&)> on_head;
    /// Decoded bytes of the body, as they arrive.
    std::function<void(std::string const&)> on_body;
    std::function<void(exchange_end)> on_end;
};

/// A request in the form in which it is written to the connection.
struct outbound_request
{
    std::string address;
    std::string method;
    std::string bytes; ///< Head, and body unless `body` is set.
    /// Written after `bytes`; null for none. All attempts at a request share it with the caller's exchange.
    std::shared_ptr<std::string const> body;
    duration connect_limit = milliseconds{700}; ///< Allows for 8 ms between regions and a lost first packet.
    duration time_limit{0};                     ///< From start() to the end of the answer.
    bool fresh_connection = false;              ///< Do not use a connection that has carried other requests.
    /// Id by which answers name the request; empty if they name none.
    std::string id;
};

/// How an exchange got its connection.
struct connection_use
{
    std::uint64_t connection = 0;  ///< Number of the connection in this process, from 1; 0 for none.
    unsigned earlier_requests = 0; ///< Requests that the connection has carried before.
    /// Kept connections that were closed instead, because bytes had arrived that belong to no request.
    unsigned closed_with_bytes = 0;

    friend bool operator==(connection_use const& a, connection_use const& b)
    {
        return a.connection == b.connection && a.earlier_requests == b.earlier_requests &&
               a.closed_with_bytes == b.closed_with_bytes;
    }
};

/// A request in progress.
class outbound_exchange
{
public:
    virtual ~outbound_exchange() = default;
    /// Closes the connection, which makes the server stop its work. No handler is called afterwards.
    virtual void cancel() = 0;
    /// True when the first byte may have been written.
    virtual bool sent() const = 0;
    /// True when the connection has carried no other request.
    virtual bool fresh() const = 0;
    /// Known from the start of the exchange on.
    virtual connection_use use() const = 0;
    /// Answers to earlier requests that were skipped so far.
    virtual unsigned skipped_answers() const = 0;
    /// Bytes that had arrived behind the complete answer when the exchange ended; they belong to no request.
    virtual std::size_t bytes_behind() const = 0;
    /// What the answer had in the place of its status, after invalid_status; empty otherwise.
    virtual std::string const& invalid_status() const = 0;
    /// Bytes of the answer that the user still keeps. Without this call all bytes that on_body has received
    /// count as kept, and an answer that keeps too many ends as too_large.
    virtual void set_kept_bytes(std::size_t bytes) = 0;
};

/// Makes HTTP/1.1 requests from the event loop over connections that are kept open for each address.
///
/// A kept connection is used again only if its last answer was complete, nothing has arrived on it since,
/// and less than half of the server's keep-alive time has passed. No connection carries two requests with one
/// id, or a request with an id behind one without: a copy of an earlier answer could not be told from its own
/// answer.
///
/// The bytes that the users of all exchanges keep are limited, for each answer and together, because a faulty
/// server may send a body that never ends.
class outbound_pool
{
public:
    explicit outbound_pool(boost::asio::io_context& loop);
    ~outbound_pool();
    outbound_pool(outbound_pool const&) = delete;
    outbound_pool& operator=(outbound_pool const&) = delete;

    std::shared_ptr<outbound_exchange> start(outbound_request request, exchange_handlers handlers);

    /// Makes a call whose whole answer is collected. `done` is called exactly once, from the loop.
    void call(std::string const& address, http_call const& what, duration time_limit,
              std::function<void(http_outcome)> done, std::function<bool()> may_send = {});

    /// Connections opened so far.
    std::size_t opened() const;

private:
    class implementation;
    std::shared_ptr<implementation> impl_;
};

} // namespace siskinusher
