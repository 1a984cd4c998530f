#pragma once

#include "adapters/body_decoder.hpp"
#include "adapters/http_head.hpp"
#include "adapters/wire_connection.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace siskinusher
{

/// Result of receiving the head of a message.
enum class head_status
{
    ok,
    closed,       ///< Closed before the head was complete.
    timed_out,    ///< The deadline passed first.
    watched_gone, ///< The watched connection was closed.
    too_large,
    malformed,
};

/// Receives the start line and the header lines, including the empty line, as raw bytes.
head_status receive_head(wire_connection& from, std::string& head, std::size_t limit, steady_time until,
                         int watched = -1);

/// False for the statuses whose answers have no body, whatever the request: 204 and 304.
bool status_has_body(int status);

/// True when the headers of an answer announce a body. A 304 may state the length of the body that it leaves
/// out.
bool announces_body(header_fields const& fields);

/// True when the headers of an answer announce a body although its status allows none. Where the answer ends
/// is then unknown, and what follows may be taken for the next answer.
bool announces_forbidden_body(response_head const& response);

/// True for the bytes behind the head of an answer without a body, unless they begin another answer.
bool is_forbidden_body(response_head const& response, std::string_view bytes_behind);

/// Framing of a request body; empty when the headers contradict each other, which would let two servers see
/// different message ends.
std::optional<body_framing> request_framing(request_head const& request);
std::optional<body_framing> response_framing(response_head const& response, std::string const& method);

/// Result of one step of reading a body.
enum class body_status
{
    more,     ///< Bytes were appended; the body is not complete.
    complete, ///< The body has been read to its end.
    truncated,
    timed_out,
    watched_gone,
    malformed,
};

/// Reads a message body from a connection step by step.
class body_reader
{
public:
    body_reader(wire_connection& from, body_framing framing);

    /// Waits for more bytes of the body and appends them to `out`.
    body_status read(std::string& out, steady_time until, int watched = -1);

private:
    wire_connection& from_;
    body_decoder decoder_;
};

/// Parses a text that consists of an unsigned decimal number only.
std::optional<std::uint64_t> parse_number(std::string_view text);

} // namespace siskinusher
