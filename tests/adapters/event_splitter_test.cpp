#include "adapters/event_splitter.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace siskinusher;

namespace
{

// Size of the parts in which the connection pool passes on a body.
constexpr std::size_t part_size = 16384;
// 2 MiB are more than an engine streams in a second; splitting them must leave most of a core to other work.
constexpr std::chrono::milliseconds time_bound{500};

std::string repeated(std::string const& text, std::size_t size)
{
    std::string result;
    while (result.size() < size)
    {
        result.append(text);
    }
    return result;
}

// Feeds the text in parts and returns the events.
std::vector<stream_event> split(event_splitter& splitter, std::string const& text, std::size_t part)
{
    std::vector<stream_event> all;
    for (std::size_t at = 0; at < text.size(); at += part)
    {
        auto const events = splitter.feed(std::string_view(text).substr(at, part));
        all.insert(all.end(), events.begin(), events.end());
    }
    return all;
}

std::chrono::milliseconds time_to_split(std::string const& text, std::size_t part)
{
    event_splitter splitter;
    auto const begin = std::chrono::steady_clock::now();
    (void)split(splitter, text, part);
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begin);
}

} // namespace

// Guards against events that are cut, joined or lost when their bytes arrive in other parts, with each of the
// line ends that servers use.
Test(event_splitter, events_do_not_depend_on_the_parts)
{
    for (std::string const& end : {std::string("\n"), std::string("\r\n")})
    {
        std::string text;
        for (int id = 1; id <= 20; ++id)
        {
            text.append("id: ").append(std::to_string(id)).append(end);
            text.append("data: a").append(end).append("data: b").append(end).append(end);
        }
        for (std::size_t part = 1; part <= 40; ++part)
        {
            event_splitter splitter;
            std::string joined;
            std::uint64_t next = 1;
            for (stream_event const& event : split(splitter, text, part))
            {
                cr_assert(event.id == next, "part %zu, event %zu", part, static_cast<std::size_t>(next));
                ++next;
                joined += event.bytes;
            }
            cr_expect(joined == text, "part %zu", part);
            cr_expect_not(splitter.in_event());
        }
    }
}

// Guards against an empty line that ends in LF and CRLF and is not seen, so that the event never ends.
Test(event_splitter, line_ends_may_be_mixed)
{
    event_splitter splitter;
    cr_expect_eq(splitter.feed("data: a\n\r\ndata: b\r\n\ndata: c\n").size(), 2);
    cr_expect(splitter.in_event());
    cr_expect_eq(splitter.feed("\r").size(), 0);
    cr_expect_eq(splitter.feed("\n").size(), 1);
    cr_expect_not(splitter.in_event());
}

// Guards against work that grows with the square of the bytes: a server could keep a core busy.
Test(event_splitter, work_is_linear)
{
    constexpr std::size_t size = 2U << 20U;
    std::string const short_events = repeated("d\n\n", size);
    std::string const crlf_events = repeated("d\r\n\r\n", size);
    std::string const one_event = repeated("data: b\n", event_splitter::max_event_bytes);
    for (auto const& [text, part] :
         {std::make_pair(short_events, part_size), std::make_pair(crlf_events, part_size),
          std::make_pair(one_event, std::size_t{16})})
    {
        auto const time = time_to_split(text, part);
        cr_log_info("%lld ms", static_cast<long long>(time.count()));
        cr_expect_leq(time.count(), time_bound.count(), "%lld ms", static_cast<long long>(time.count()));
    }
}

// Guards against an event without an end that fills the memory, and against taking a stream that ends in it
// for a complete one.
Test(event_splitter, event_without_end_is_too_large)
{
    for (std::string const& text : {std::string(part_size, 'x'), repeated("data: b\n", part_size)})
    {
        event_splitter splitter;
        cr_expect_eq(splitter.feed("id: 1\n\n").size(), 1);
        for (std::size_t fed = part_size; fed <= event_splitter::max_event_bytes; fed += part_size)
        {
            cr_expect(splitter.feed(text).empty());
            cr_expect_not(splitter.too_large());
        }
        cr_expect(splitter.feed(text).empty());
        cr_expect(splitter.too_large());
        cr_expect(splitter.in_event());
        cr_expect_eq(splitter.pending_bytes(), 0);
        cr_expect(splitter.feed("\n\nid: 2\n\n").empty());
    }
}

// Guards against a limit that depends on how the bytes of an event are divided into parts.
Test(event_splitter, limit_does_not_depend_on_the_parts)
{
    std::string const largest = std::string(event_splitter::max_event_bytes - 2, 'x') + "\n\n";
    for (std::size_t const part : {part_size, largest.size() + 1})
    {
        event_splitter allowed;
        cr_expect_eq(split(allowed, largest, part).size(), 1);
        cr_expect_not(allowed.too_large());
        event_splitter refused;
        cr_expect_eq(split(refused, "id: 1\n\nx" + largest + "id: 2\n\n", part).size(), 1);
        cr_expect(refused.too_large());
    }
}

// Guards against comments, which keep a connection open, being counted as events of a stream.
Test(event_splitter, tells_comments_from_events)
{
    event_splitter splitter;
    auto const events = splitter.feed(": a\n\n: b\r\n\r\nid: 1\n: c\ndata: x\n\ndata: y\n\n");
    cr_assert_eq(events.size(), 4);
    cr_assert(events[0].is_comment && events[1].is_comment);
    cr_assert_not(events[2].is_comment || events[3].is_comment);
    cr_assert(events[2].id == std::optional<std::uint64_t>(1));
}
