#include "adapters/stream_relay.hpp"

#include "adapters/http_message.hpp"

#include <algorithm>
#include <limits>

namespace siskinusher
{

namespace
{

// Limit of the size of an event; a longer one cannot be a token and would let a faulty engine fill the
// memory.
constexpr std::size_t event_limit = 65536;

// Position after the closing quote of the string that starts at `start`; npos when it is not closed.
std::size_t end_of_string(std::string_view json, std::size_t start)
{
    for (std::size_t i = start + 1; i < json.size(); ++i)
    {
        if (json[i] == '\\')
        {
            ++i;
        }
        else if (json[i] == '"')
        {
            return i + 1;
        }
    }
    return std::string_view::npos;
}

// Position of the empty line that ends the first event, and its length.
std::size_t find_event_end(std::string_view text, std::size_t& separator)
{
    for (std::size_t i = text.find('\n'); i != std::string_view::npos; i = text.find('\n', i + 1))
    {
        if (text.substr(i + 1, 1) == "\n")
        {
            separator = 2;
            return i;
        }
        if (text.substr(i + 1, 2) == "\r\n")
        {
            separator = 3;
            return i;
        }
    }
    return std::string_view::npos;
}

} // namespace

std::optional<unsigned> top_level_number(std::string_view json, std::string_view key)
{
    int depth = 0;
    for (std::size_t i = 0; i < json.size(); ++i)
    {
        char const c = json[i];
        if (c == '{' || c == '[')
        {
            ++depth;
        }
        else if (c == '}' || c == ']')
        {
            --depth;
        }
        else if (c == '"')
        {
            std::size_t const end = end_of_string(json, i);
            if (end == std::string_view::npos)
            {
                return std::nullopt;
            }
            std::size_t colon = json.find_first_not_of(" \t", end);
            if (depth == 1 && json.substr(i + 1, end - i - 2) == key && colon != std::string_view::npos &&
                json[colon] == ':')
            {
                std::size_t const first = json.find_first_not_of(" \t", colon + 1);
                if (first == std::string_view::npos)
                {
                    return std::nullopt;
                }
                std::size_t const last = json.find_first_not_of("0123456789", first);
                auto const value = parse_number(json.substr(first, last - first));
                if (!value || *value > std::numeric_limits<int>::max())
                {
                    return std::nullopt;
                }
                return static_cast<unsigned>(*value);
            }
            i = end - 1;
        }
    }
    return std::nullopt;
}

void stream_relay::restart()
{
    pending_.clear();
    resumed_ = next_token_ > 0;
}

relay_status stream_relay::feed(std::string_view bytes, std::string& out)
{
    pending_.append(bytes);
    std::size_t start = 0;
    relay_status status = relay_status::more;
    while (status == relay_status::more)
    {
        std::string_view const rest = std::string_view(pending_).substr(start);
        std::size_t separator = 0;
        std::size_t const end = find_event_end(rest, separator);
        if (end == std::string_view::npos)
        {
            break;
        }
        status = process_event(rest.substr(0, end), out);
        start += end + separator;
    }
    pending_.erase(0, start);
    return pending_.size() > event_limit ? relay_status::broken : status;
}

relay_status stream_relay::process_event(std::string_view lines, std::string& out)
{
    constexpr std::string_view field = "data:";
    constexpr std::string_view end_mark = "[DONE]";
    if (lines.substr(0, 6) == "event:" && lines.find("error") != std::string_view::npos)
    {
        return relay_status::refused;
    }
    if (lines.substr(0, field.size()) != field)
    {
        return relay_status::more; // Comments keep the connection alive and carry nothing for the caller.
    }
    std::string_view data = lines.substr(field.size());
    data.remove_prefix(std::min(data.find_first_not_of(' '), data.size()));
    while (!data.empty() && (data.back() == '\r' || data.back() == ' '))
    {
        data.remove_suffix(1);
    }
    if (data == end_mark)
    {
        out.append("data: [DONE]\n\n");
        return relay_status::done;
    }
    if (data.empty() || data.front() != '{' || data.back() != '}')
    {
        return relay_status::broken;
    }
    auto const index = top_level_number(data, "token_index");
    if (index)
    {
        if (*index < next_token_)
        {
            return relay_status::more;
        }
        if (*index > next_token_)
        {
            return relay_status::broken;
        }
        ++next_token_;
        resumed_ = false;
    }
    else if (resumed_)
    {
        return relay_status::more; // The opening event, which the caller already has from the first engine.
    }
    out.append("data: ").append(data).append("\n\n");
    return relay_status::more;
}

} // namespace siskinusher
