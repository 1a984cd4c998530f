#include "adapters/event_splitter.hpp"

#include "adapters/http_message.hpp"

#include <algorithm>
#include <utility>

namespace siskinusher
{

namespace
{

constexpr std::string_view id_field = "id:";

std::optional<std::uint64_t> event_id(std::string_view event)
{
    for (std::size_t start = 0; start < event.size();)
    {
        std::size_t const end = std::min(event.find('\n', start), event.size());
        std::string_view line = event.substr(start, end - start);
        if (!line.empty() && line.back() == '\r')
        {
            line.remove_suffix(1);
        }
        if (line.substr(0, id_field.size()) == id_field)
        {
            line.remove_prefix(id_field.size());
            line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
            return parse_number(line);
        }
        start = end + 1;
    }
    return std::nullopt;
}

// True when each line begins with a colon, but the empty one at the end.
bool is_comment(std::string_view event)
{
    for (std::size_t start = 0; start < event.size();)
    {
        std::size_t const end = std::min(event.find('\n', start), event.size());
        std::string_view const line = event.substr(start, end - start);
        if (!line.empty() && line != "\r" && line.front() != ':')
        {
            return false;
        }
        start = end + 1;
    }
    return true;
}

// Position after the empty line that ends the first event; npos when there is none after `from`. Lines end in
// LF or CRLF.
std::size_t event_end(std::string_view text, std::size_t from)
{
    for (std::size_t i = text.find('\n', from); i != std::string_view::npos; i = text.find('\n', i + 1))
    {
        if (text.substr(i + 1, 1) == "\n")
        {
            return i + 2;
        }
        if (text.substr(i + 1, 2) == "\r\n")
        {
            return i + 3;
        }
    }
    return std::string_view::npos;
}

} // namespace

std::vector<stream_event> event_splitter::feed(std::string_view bytes)
{
    std::vector<stream_event> events;
    if (too_large_)
    {
        return events;
    }
    // Only the last two of the old bytes, "\n" or "\n\r", may belong to an end that was not seen yet.
    std::size_t const from = pending_.size() - std::min<std::size_t>(pending_.size(), 2);
    pending_.append(bytes);
    std::size_t start = 0;
    std::size_t end = event_end(pending_, from);
    while (end != std::string::npos && end - start <= max_event_bytes)
    {
        std::string event = pending_.substr(start, end - start);
        auto const id = event_id(event);
        bool const comment = is_comment(event);
        events.push_back({std::move(event), id, comment});
        start = end;
        end = event_end(pending_, start);
    }
    pending_.erase(0, start);
    too_large_ = pending_.size() > max_event_bytes;
    if (too_large_)
    {
        std::string().swap(pending_);
    }
    return events;
}

} // namespace siskinusher
