#include "adapters/socket_options.hpp"

#include "adapters/http_message.hpp"

#include <boost/asio/ip/address.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace siskinusher
{

namespace
{

// Two unanswered probes, one second apart, after one idle second: a silent path is noticed within 3 s.
constexpr int keep_alive_idle_s = 1;
constexpr int keep_alive_interval_s = 1;
constexpr int keep_alive_probes = 2;

void set_option(int descriptor, int level, int name, int value)
{
    (void)::setsockopt(descriptor, level, name, &value, sizeof value);
}

} // namespace

void set_liveness_options(boost::asio::ip::tcp::socket& socket, duration unacknowledged)
{
    int const descriptor = socket.native_handle();
    set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keep_alive_idle_s);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, keep_alive_interval_s);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keep_alive_probes);
    auto const limit_ms = std::chrono::duration_cast<milliseconds>(unacknowledged).count();
    set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(limit_ms));
}

std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string const& address)
{
    std::size_t const colon = address.rfind(':');
    if (colon == std::string::npos)
    {
        return std::nullopt;
    }
    boost::system::error_code error;
    auto const ip = boost::asio::ip::make_address(address.substr(0, colon), error);
    auto const port = parse_number(std::string_view(address).substr(colon + 1));
    if (error || !port || *port > 65535)
    {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(ip, static_cast<unsigned short>(*port));
}

} // namespace siskinusher
