#pragma once

#include <Poco/Net/StreamSocket.h>

#include <map>
#include <optional>
#include <string>

namespace siskinusher::standins
{

/// What a caller sees of the answer to one request.
struct caller_answer
{
    bool sent = false;  ///< The whole request was written to a connection.
    int status = 0;     ///< 0 when no head arrived.
    bool whole = false; ///< The answer has arrived to its end.
    /// The connection was reset before a byte of the answer arrived. To a caller this looks as if the process
    /// had closed the connection without reading the request.
    bool reset = false;
    std::string body;   ///< Without the framing of chunks.
    std::string server; ///< Name of the backend server in the Server-Stamp; empty when absent.
};

/// Sends requests one after the other, on new connections or on one that is kept until the peer closes it.
class wire_caller
{
public:
    explicit wire_caller(bool keeps_connection) : keeps_connection_(keeps_connection) {}

    bool connected() const { return socket_.has_value(); }
    /// Sends to the connected process, or connects to `address` first. Waits at most 8 s for the answer.
    caller_answer send(std::string const& address, std::string const& method, std::string const& path,
                       std::map<std::string, std::string> const& headers);

private:
    caller_answer receive();
    bool closed_by_peer();

    bool const keeps_connection_;
    std::optional<Poco::Net::StreamSocket> socket_;
};

} // namespace siskinusher::standins
