#pragma once

#include "core/steady_time.hpp"
#include "domain/serving_config.hpp"

#include <Poco/Net/HTTPRequest.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace boost::asio
{
class io_context;
}

namespace siskinusher
{

class caller_connection;

/// One request of a caller and the way to answer it. Used on the loop's thread only.
class caller_exchange
{
public:
    caller_exchange(std::shared_ptr<caller_connection> connection, Poco::Net::HTTPRequest const& head,
                    std::string body, steady_time arrived);
    ~caller_exchange();
    caller_exchange(caller_exchange const&) = delete;
    caller_exchange& operator=(caller_exchange const&) = delete;

    Poco::Net::HTTPRequest const& head() const { return head_; }
    std::string const& body() const { return body_; }
    steady_time arrived() const { return arrived_; }
    /// IP number and port of the caller.
    std::string caller_address() const;

    /// Called once if the caller closes the connection before its answer has ended.
    void on_gone(std::function<void()> handler);

    /// Sends a complete answer. `header_lines` are ended by CRLF each.
    void answer(int status, std::string_view header_lines, std::string_view body);
    /// Begins an answer whose body follows in parts.
    void begin(int status, std::string_view header_lines);
    void write(std::string_view part);
    /// Ends the answer begun; without it the caller sees that the answer is incomplete.
    void end();
    /// Closes the connection, which leaves an answer begun visibly incomplete.
    void abort();

private:
    std::shared_ptr<caller_connection> connection_;
    Poco::Net::HTTPRequest const head_;
    std::string const body_;
    steady_time const arrived_;
    bool done_ = false;
};

struct caller_server_settings
{
    std::string address;                ///< IP number and port to listen on.
    std::size_t max_connections = 3000; ///< Descriptors of the process less those for other uses.
};

/// Serves HTTP/1.1 on one address from the event loop, without a thread for each connection. When all places
/// are taken, the connection that has been idle longest is closed in favour of a new caller.
class caller_server
{
public:
    using handler = std::function<void(std::shared_ptr<caller_exchange>)>;

    caller_server(boost::asio::io_context& loop, caller_server_settings settings, handler on_request);
    ~caller_server();
    caller_server(caller_server const&) = delete;
    caller_server& operator=(caller_server const&) = delete;

    /// Returns an empty text, or why the address cannot be listened on.
    std::string start();
    void set_limits(caller_limits const& limits);
    /// From now on each answer is the last of its connection.
    void drain();
    /// Closes the connections that wait for a request.
    void close_idle();

    /// Requests whose answer has not ended.
    std::size_t open_requests() const;
    std::size_t connections() const;
    /// Connections with a part of an answer that is not written yet.
    std::size_t unsent_connections() const;

private:
    class implementation;
    std::shared_ptr<implementation> impl_;
};

} // namespace siskinusher
