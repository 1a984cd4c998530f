#pragma once

#include "adapters/header_fields.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace siskinusher
{

enum class http_version
{
    http_1_0,
    http_1_1,
};

/// Start line and header fields of a request.
struct request_head
{
    std::string method;
    std::string target; ///< As received, with the query.
    http_version version{http_version::http_1_1};
    header_fields fields;
};

/// Start line and header fields of an answer. The reason phrase is not kept.
struct response_head
{
    int status = 0;
    http_version version{http_version::http_1_1};
    header_fields fields;
};

/// Parses a head that ends with its empty line; nothing when it is not valid HTTP/1.x. A line that continues
/// the one before it is not valid, because servers read it in different ways. The parser sets no limit on
/// the length of a name or value or on the number of lines: whoever receives the head limits its size. The
/// status of an answer is a number from 100 to 599: no other one may reach a caller.
std::optional<request_head> parse_request_head(std::string_view head);
std::optional<response_head> parse_response_head(std::string_view head);

/// What the first line of an answer has in the place of its status when that is no valid status, for log
/// lines; "none" when there is nothing. Empty when the status is valid or the line is not that of an answer.
std::string invalid_status_text(std::string_view head);

/// True when the sender of the head keeps the connection open after this message.
bool keeps_connection(http_version version, header_fields const& fields);

/// The usual reason phrase of a status; empty for an unknown one.
std::string_view reason_phrase(int status);

} // namespace siskinusher
