#include "adapters/http_message.hpp"

#include <Poco/Exception.h>
#include <Poco/MemoryStream.h>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace siskinusher
{

namespace
{

constexpr std::size_t header_line_limit = 100;

bool is_token_char(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
           std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool is_valid_header_line(std::string_view line)
{
    std::size_t const colon = line.find(':');
    return colon != std::string_view::npos && colon > 0 &&
           std::all_of(line.begin(), line.begin() + static_cast<std::ptrdiff_t>(colon), is_token_char);
}

// POCO skips header lines that it cannot parse; a line that another server understands differently could
// smuggle a request, so that such a head is refused.
bool is_valid_head(std::string_view head)
{
    std::size_t lines = 0;
    std::size_t start = head.find("\r\n");
    if (start == std::string_view::npos)
    {
        return false;
    }
    for (char const c : head)
    {
        bool const is_control = static_cast<unsigned char>(c) < 0x20 && c != '\r' && c != '\n' && c != '\t';
        if (is_control || c == 0x7F)
        {
            return false;
        }
    }
    for (start += 2; start < head.size(); ++lines)
    {
        std::size_t const end = head.find("\r\n", start);
        if (end == std::string_view::npos || lines > header_line_limit)
        {
            return false;
        }
        std::string_view const line = head.substr(start, end - start);
        if (line.find_first_of("\r\n") != std::string_view::npos)
        {
            return false;
        }
        start = end + 2;
        if (line.empty())
        {
            return start == head.size();
        }
        if (!is_valid_header_line(line))
        {
            return false;
        }
    }
    return false;
}

template <typename Message>
bool parse_head(std::string const& head, Message& message)
{
    if (!is_valid_head(head))
    {
        return false;
    }
    try
    {
        Poco::MemoryInputStream stream(head.data(), static_cast<std::streamsize>(head.size()));
        message.read(stream);
        return message.getVersion() == "HTTP/1.1" || message.getVersion() == "HTTP/1.0";
    }
    catch (Poco::Exception const&)
    {
        return false;
    }
}

// Searches a comma-separated list.
bool list_contains(std::string_view list, std::string_view token)
{
    std::size_t start = 0;
    while (start < list.size())
    {
        std::size_t const end = std::min(list.find(',', start), list.size());
        std::string_view item = list.substr(start, end - start);
        item.remove_prefix(std::min(item.find_first_not_of(" \t"), item.size()));
        item = item.substr(0, item.find_last_not_of(" \t") + 1);
        if (equal_ignoring_case(item, token))
        {
            return true;
        }
        start = end + 1;
    }
    return false;
}

// Sets `announced` when one of the two headers is present; without them the framing is that of no body.
std::optional<body_framing> announced_framing(Poco::Net::HTTPMessage const& message, bool& announced)
{
    auto const count = [&message](std::string const& name)
    {
        return std::count_if(message.begin(), message.end(),
                             [&name](auto const& field) { return equal_ignoring_case(field.first, name); });
    };
    auto const lengths = count("Content-Length");
    auto const encodings = count("Transfer-Encoding");
    announced = lengths + encodings > 0;
    if (lengths + encodings > 1)
    {
        return std::nullopt;
    }
    if (encodings == 1)
    {
        if (!equal_ignoring_case(header_value(message, "Transfer-Encoding"), "chunked"))
        {
            return std::nullopt;
        }
        return body_framing{body_kind::chunked, 0};
    }
    if (lengths == 1)
    {
        auto const length = parse_number(header_value(message, "Content-Length"));
        if (!length)
        {
            return std::nullopt;
        }
        return body_framing{*length == 0 ? body_kind::none : body_kind::length, *length};
    }
    return body_framing{};
}

} // namespace

head_status receive_head(wire_connection& from, std::string& head, std::size_t limit, steady_time until,
                         int watched)
{
    std::size_t searched = 0;
    for (;;)
    {
        std::string_view const bytes = from.buffered();
        std::size_t const end = bytes.find("\r\n\r\n", searched < 3 ? 0 : searched - 3);
        if (end != std::string_view::npos && end + 4 <= limit)
        {
            head.assign(bytes.substr(0, end + 4));
            from.consume(end + 4);
            return head_status::ok;
        }
        if (bytes.size() >= limit)
        {
            return head_status::too_large;
        }
        searched = bytes.size();
        switch (from.fill(until, watched))
        {
        case io_status::ok:
            break;
        case io_status::closed:
            return head_status::closed;
        case io_status::timed_out:
            return head_status::timed_out;
        case io_status::watched_gone:
            return head_status::watched_gone;
        }
    }
}

bool parse_request_head(std::string const& head, Poco::Net::HTTPRequest& request)
{
    return parse_head(head, request);
}

bool parse_response_head(std::string const& head, Poco::Net::HTTPResponse& response)
{
    return parse_head(head, response);
}

bool status_has_body(int status)
{
    return status != 204 && status != 304;
}

std::optional<body_framing> request_framing(Poco::Net::HTTPRequest const& request)
{
    bool announced = false;
    return announced_framing(request, announced);
}

std::optional<body_framing> response_framing(Poco::Net::HTTPResponse const& response,
                                             std::string const& method)
{
    if (method == "HEAD" || !status_has_body(response.getStatus()))
    {
        return body_framing{};
    }
    bool announced = false;
    auto const framing = announced_framing(response, announced);
    if (framing && !announced)
    {
        return body_framing{body_kind::until_close, 0};
    }
    return framing;
}

body_reader::body_reader(wire_connection& from, body_framing framing) : from_(from), decoder_(framing) {}

body_status body_reader::read(std::string& out, steady_time until, int watched)
{
    for (;;)
    {
        std::size_t const old_size = out.size();
        std::size_t used = 0;
        decode_status const status = decoder_.decode(from_.buffered(), used, out);
        from_.consume(used);
        if (status != decode_status::more)
        {
            return status == decode_status::complete ? body_status::complete : body_status::malformed;
        }
        if (out.size() > old_size)
        {
            return body_status::more;
        }
        switch (from_.fill(until, watched))
        {
        case io_status::ok:
            break;
        case io_status::closed:
            return decoder_.kind() == body_kind::until_close ? body_status::complete : body_status::truncated;
        case io_status::timed_out:
            return body_status::timed_out;
        case io_status::watched_gone:
            return body_status::watched_gone;
        }
    }
}

std::string const& header_value(Poco::Net::MessageHeader const& headers, std::string const& name)
{
    static std::string const none;
    return headers.get(name, none);
}

bool equal_ignoring_case(std::string_view a, std::string_view b)
{
    return a.size() == b.size() &&
           std::equal(a.begin(), a.end(), b.begin(),
                      [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

bool has_token(Poco::Net::MessageHeader const& headers, std::string_view name, std::string_view token)
{
    return std::any_of(headers.begin(), headers.end(),
                       [&](auto const& field) {
                           return equal_ignoring_case(field.first, name) &&
                                  list_contains(field.second, token);
                       });
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    auto const parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size())
    {
        return std::nullopt;
    }
    return value;
}

} // namespace siskinusher
