#include "adapters/event_splitter.hpp"

#include "adapters/http_message.hpp"

#include <algorithm>

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

// Position after the empty line that ends the first event; npos when the event is not complete.
std::size_t event_end(std::string const& text, std::size_t from)
{
    std::size_t const lf_end = text.find("\n\n", from);
    std::size_t const crlf_end = text.find("\r\n\r\n", from);
    if (lf_end == std::string::npos && crlf_end == std::string::npos)
    {
        return std::string::npos;
    }
    return lf_end < crlf_end ? lf_end + 2 : crlf_end + 4;
}

} // namespace

std::vector<stream_event> event_splitter::feed(std::string_view bytes)
{
    pending_.append(bytes);
    std::vector<stream_event> events;
    std::size_t start = 0;
    for (std::size_t end = event_end(pending_, start); end != std::string::npos;
         end = event_end(pending_, start))
    {
        std::string event = pending_.substr(start, end - start);
        auto const id = event_id(event);
        events.push_back({std::move(event), id});
        start = end;
    }
    pending_.erase(0, start);
    return events;
}

} // namespace siskinusher
