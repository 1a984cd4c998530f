#include "adapters/http_message.hpp"

#include <charconv>

namespace siskinusher
{

namespace
{

// Sets `announced` when one of the two headers is present; without them the framing is that of no body.
std::optional<body_framing> announced_framing(header_fields const& fields, bool& announced)
{
    auto const lengths = fields.count("Content-Length");
    auto const encodings = fields.count("Transfer-Encoding");
    announced = lengths + encodings > 0;
    if (lengths + encodings > 1)
    {
        return std::nullopt;
    }
    if (encodings == 1)
    {
        if (!equal_ignoring_case(fields.value("Transfer-Encoding"), "chunked"))
        {
            return std::nullopt;
        }
        return body_framing{body_kind::chunked, 0};
    }
    if (lengths == 1)
    {
        auto const length = parse_number(fields.value("Content-Length"));
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
        case io_status::failed:
            return head_status::closed;
        case io_status::timed_out:
            return head_status::timed_out;
        case io_status::watched_gone:
            return head_status::watched_gone;
        }
    }
}

bool status_has_body(int status)
{
    return status != 204 && status != 304;
}

bool announces_body(header_fields const& fields)
{
    return fields.has("Transfer-Encoding") ||
           (fields.has("Content-Length") && fields.value("Content-Length") != "0");
}

bool announces_forbidden_body(response_head const& response)
{
    return response.status == 204 && announces_body(response.fields);
}

bool is_forbidden_body(response_head const& response, std::string_view bytes_behind)
{
    constexpr std::string_view next_answer = "HTTP/";
    std::string_view const start = bytes_behind.substr(0, next_answer.size());
    return !status_has_body(response.status) && !start.empty() &&
           start != next_answer.substr(0, start.size());
}

std::optional<body_framing> request_framing(request_head const& request)
{
    bool announced = false;
    return announced_framing(request.fields, announced);
}

std::optional<body_framing> response_framing(response_head const& response, std::string const& method)
{
    if (method == "HEAD" || !status_has_body(response.status))
    {
        return body_framing{};
    }
    bool announced = false;
    auto const framing = announced_framing(response.fields, announced);
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
        case io_status::failed:
            return body_status::truncated;
        case io_status::timed_out:
            return body_status::timed_out;
        case io_status::watched_gone:
            return body_status::watched_gone;
        }
    }
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
