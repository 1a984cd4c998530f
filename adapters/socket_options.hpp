#pragma once

#include "core/steady_time.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace siskinusher
{

/// Makes the kernel end an idle connection whose path has gone silent within about 3 s, and one whose peer
/// takes no bytes within `unacknowledged`; sends small writes at once. Errors are ignored: the connection
/// then ends by the deadlines of its user.
void set_liveness_options(boost::asio::ip::tcp::socket& socket, duration unacknowledged);

/// Parses an IP number and port, for example 10.1.0.38:8149; empty when it is not one.
std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string const& address);

} // namespace siskinusher
