#include "apps/forwarded_call.hpp"

#include "adapters/http_message.hpp"

#include <algorithm>

namespace siskinusher
{

char const* const forward_path = "/forward";

namespace
{

constexpr char const* servers_left_header = "Servers-Left";
constexpr char const* caller_checked_header = "Organisation-Checked";
constexpr std::uint64_t max_servers = 1000;

} // namespace

std::string encode_forwarded_head(platform::caller_request const& request, std::size_t body_size,
                                  platform::attempt_headers const& headers, unsigned servers_left,
                                  std::string const& peer_address, std::string const& authorization,
                                  bool caller_checked)
{
    std::string const inner = platform::encode_attempt_head(request, body_size, headers);
    std::string text = std::string("POST ") + forward_path + " HTTP/1.1\r\nHost: " + peer_address +
                       "\r\nAuthorization: " + authorization + "\r\n" + servers_left_header + ": " +
                       std::to_string(servers_left) +
                       (caller_checked ? std::string("\r\n") + caller_checked_header + ": 1" : "") +
                       "\r\nContent-Length: " + std::to_string(inner.size() + body_size) + "\r\n\r\n";
    return text.append(inner);
}

std::optional<forwarded_call> decode_forwarded_call(request_head const& call, std::string const& bytes)
{
    auto const servers_left = parse_number(call.fields.value(servers_left_header));
    std::size_t const end = bytes.find("\r\n\r\n");
    if (!servers_left || end == std::string::npos)
    {
        return std::nullopt;
    }
    auto head = parse_request_head(std::string_view(bytes).substr(0, end + 4));
    if (!head)
    {
        return std::nullopt;
    }
    forwarded_call decoded;
    decoded.head = std::move(*head);
    decoded.body = bytes.substr(end + 4);
    decoded.caller_checked = call.fields.value(caller_checked_header) == "1";
    decoded.servers_left = static_cast<unsigned>(std::min(*servers_left, max_servers));
    return decoded;
}

} // namespace siskinusher
