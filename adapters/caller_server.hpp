#pragma once

#include "adapters/http_head.hpp"
#include "adapters/memory_share.hpp"
#include "core/steady_time.hpp"
#include "domain/serving_config.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace boost::asio
{
class io_context;
}

namespace siskinusher
{

class caller_connection;

/// One request of a caller, and the functions that answer it. Used on the thread of the event loop only.
class caller_exchange
{
public:
    /// `share` has the bytes of the request reserved.
    caller_exchange(std::shared_ptr<caller_connection> connection, request_head const& head, std::string body,
                    std::shared_ptr<memory_share const> share, steady_time arrived);
    ~caller_exchange();
    caller_exchange(caller_exchange const&) = delete;
    caller_exchange& operator=(caller_exchange const&) = delete;

    /// An exchange for a request that the body of this one holds. It answers in place of this one, which must
    /// not be answered any more.
    std::shared_ptr<caller_exchange> unwrap(request_head const& head, std::string body);

    request_head const& head() const { return head_; }
    std::string const& body() const { return body_->text; }
    /// The body for users that may outlive the exchange. Its bytes stay reserved until the last one is gone.
    std::shared_ptr<std::string const> shared_body() const;
    steady_time arrived() const { return arrived_; }
    /// IP number and port of the caller.
    std::string caller_address() const;

    /// Called once if the caller closes the connection before its answer has ended.
    void on_gone(std::function<void()> handler);

    /// Sends a complete answer. Each line of `header_lines` ends with CRLF. To HEAD only the head is sent,
    /// with the length of `body` unless that is empty.
    void answer(int status, std::string_view header_lines, std::string_view body);
    /// Begins an answer whose body follows in parts. HTTP/1.0 gets a body that ends with the connection.
    void begin(int status, std::string_view header_lines);
    void write(std::string_view part);
    /// Ends an answer started by begin(); without this call the caller sees that the answer is incomplete.
    void end();
    /// Closes the connection. The caller can see that an answer already started is incomplete.
    void abort();

private:
    struct reserved_body
    {
        std::string const text;
        std::shared_ptr<memory_share const> const share;
    };

    std::shared_ptr<caller_connection> connection_;
    request_head const head_;
    std::shared_ptr<reserved_body const> const body_;
    steady_time const arrived_;
    bool done_ = false;
};

struct caller_server_settings
{
    std::string address; ///< IP number and port to listen on.
    /// The descriptor limit of the process less the descriptors for other uses.
    std::size_t max_connections = 3000;
    /// Counts the requests of this server and of others that have the same one. Null for no limit.
    std::shared_ptr<request_memory> memory = nullptr;
};

/// A request that is refused because there is no memory for it.
struct memory_refusal
{
    std::size_t wanted = 0; ///< Bytes that the request needs, as far as known.
    std::size_t held = 0;   ///< Bytes that are held for all requests.
    std::size_t budget = 0;
    duration retry_after{0};
};

/// An answer that is broken off because its caller reads slowly and there is no memory for all answers.
struct broken_off_answer
{
    std::string caller;    ///< IP number and port.
    std::size_t bytes = 0; ///< That its connection held.
    std::size_t held = 0;  ///< Bytes that are held for all callers.
    std::size_t budget = 0;
};

/// The answer to a request that is refused by its head alone.
struct head_refusal
{
    int status = 0;
    std::string header_lines; ///< Each ended by CRLF.
};

/// Serves HTTP/1.1 and HTTP/1.0 on one address from the event loop, without a thread for each connection. At
/// the limit on connections, the one that has been idle longest is closed to admit a new caller.
///
/// A request for which there is no memory is refused with 503 before its body is read, and a body of unknown
/// length as soon as it finds no room.
class caller_server
{
public:
    using handler = std::function<void(std::shared_ptr<caller_exchange>)>;
    /// Returns a refusal for a request that needs no look at its body.
    using head_check = std::function<std::optional<head_refusal>(request_head const&)>;
    /// Returns further header lines of the refusal, each ended by CRLF.
    using refusal_handler = std::function<std::string(request_head const&, memory_refusal const&)>;

    caller_server(boost::asio::io_context& loop, caller_server_settings settings, handler on_request);
    ~caller_server();
    caller_server(caller_server const&) = delete;
    caller_server& operator=(caller_server const&) = delete;

    /// Starts to listen. Returns an empty text, or the reason why this failed.
    std::string start();
    void set_limits(caller_limits const& limits);
    /// The handler is called for each request that is refused because there is no memory for it.
    void on_no_memory(refusal_handler handler);
    /// The handler is called for each answer that is broken off for lack of memory.
    void on_broken_off(std::function<void(broken_off_answer const&)> handler);
    /// The check is made for each request that has a body, before the body is read. The connection of a
    /// request that it refuses is closed.
    void check_heads(head_check check);
    /// Makes each connection close after its next answer.
    void drain();
    /// Closes the connections that wait for a request.
    void close_idle();

    /// Number of requests whose answer has not ended.
    std::size_t open_requests() const;
    std::size_t connections() const;
    /// Number of connections with a part of an answer that is not written yet.
    std::size_t unsent_connections() const;

private:
    class implementation;
    std::shared_ptr<implementation> impl_;
};

} // namespace siskinusher
