#pragma once

#include "core/steady_time.hpp"

#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace siskinusher
{

/// How a step of blocking I/O ended.
enum class io_status
{
    ok,
    closed,       ///< The other end closed the connection; a write reports so whatever its end was.
    failed,       ///< A read met a reset or a time-out of the connection, so that bytes may be missing.
    timed_out,    ///< The deadline passed.
    watched_gone, ///< The watched connection was closed by its other end.
};

/// A TCP connection with a read buffer and absolute deadlines. Every wait is bounded by the deadline that the
/// caller passes, so that a sender that trickles bytes cannot hold a thread longer than that.
class wire_connection
{
public:
    /// Takes over a connected socket and disables Nagle's algorithm, which would delay small stream chunks.
    explicit wire_connection(Poco::Net::StreamSocket const& socket);
    ~wire_connection();
    wire_connection(wire_connection const&) = delete;
    wire_connection& operator=(wire_connection const&) = delete;

    int descriptor() const { return descriptor_; }

    /// Bytes received and not yet consumed.
    std::string_view buffered() const { return std::string_view(buffer_).substr(start_); }
    void consume(std::size_t count);

    /// Waits for at least one more byte. `watched` is a descriptor whose closing ends the wait; -1 for none.
    io_status fill(steady_time until, int watched = -1);

    /// Writes all bytes. `written` counts those handed to the kernel, also when the call fails.
    io_status write_all(std::string_view bytes, steady_time until, std::size_t& written);

    /// Writes all bytes when the caller does not need the count.
    io_status write_all(std::string_view bytes, steady_time until);

    /// True when the other end has neither closed nor sent anything unasked, as required before reuse.
    bool reusable() const;

    /// Detects a silent network path: the kernel ends the connection when keep-alive probes or sent bytes
    /// stay unacknowledged for about 5 s, while a server that only computes for long keeps acknowledging.
    void end_when_unacknowledged();

private:
    Poco::Net::StreamSocket socket_;
    int descriptor_;
    std::string buffer_;
    std::size_t start_ = 0;
};

/// True when the other end of the connection has closed it.
bool peer_has_closed(int descriptor);

} // namespace siskinusher
