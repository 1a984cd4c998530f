#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace siskinusher
{

/// What a server sends to each request: `start` once, and then `filler` again and again.
struct endless_bytes
{
    std::string start;
    std::string filler;
};

/// One connection of an endless_server.
struct endless_connection
{
    std::string request;                   ///< Head of the request; empty when the client sent none.
    std::size_t sent = 0;                  ///< Bytes that the socket has taken.
    bool closed_by_peer = false;           ///< The client closed it before the server gave up.
    std::chrono::milliseconds lifetime{0}; ///< From the end of the request's head to the client's close.
};

/// TCP server on a free port that answers each request with bytes without end, as fast as the client takes
/// them. It stops by itself: it sends at most `byte_limit` bytes on a connection and closes it after
/// `time_limit`.
class endless_server
{
public:
    static constexpr std::size_t byte_limit = 64U << 20U;
    static constexpr std::chrono::seconds time_limit{8};

    /// `answer` is called with the head of a request, from the connection's thread.
    explicit endless_server(std::function<endless_bytes(std::string const&)> answer);
    ~endless_server();
    endless_server(endless_server const&) = delete;
    endless_server& operator=(endless_server const&) = delete;

    std::string address() const;
    /// The connections so far, in the order of their arrival.
    std::vector<endless_connection> connections() const;
    /// Waits until the client has closed all connections; false when the server ended one of them.
    bool wait_for_closes() const;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

/// Chunk of a chunked body with the given content.
std::string http_chunk(std::string const& content);

} // namespace siskinusher
