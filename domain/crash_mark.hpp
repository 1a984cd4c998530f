#pragma once

#include "domain/dispatch_request.hpp"
#include "domain/identifiers.hpp"

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace siskinusher
{

/// A request, or a shared part of its prompt, that a server ran when it crashed.
struct crash_mark
{
    std::string suspect;   ///< One of suspect_names.
    unsigned position = 0; ///< Of the part in its prompt; 0 is the first. Or whole_request.
    backend_name engine;
    std::int64_t engine_started_at = 0; ///< Tells the starts of one engine apart.
};

/// The position of a mark whose suspect is a whole request.
constexpr unsigned whole_request = std::numeric_limits<unsigned>::max();

/// Names by which the cause of a crash is recognised when it comes again.
struct suspect_names
{
    std::vector<std::string> parts; ///< As in part_names().
    std::string request;            ///< Equal for repetitions of one request; see request_name().
};

bool operator==(crash_mark const& a, crash_mark const& b);

/// Identifies the part and the crash in the fleet; the position does not count.
std::string id_of(crash_mark const& crash);

/// Names of the parts that other requests may share, in their order. Callers choose the ids of parts, so an
/// id that is long or has unusual characters is replaced by a hash of fixed length.
std::vector<std::string> part_names(std::vector<prompt_part> const& prompt);

/// Name of a request: a hash of `identity`, which holds all that the server is told of the request except its
/// body and what differs between two attempts, and of the body.
std::string request_name(std::string_view identity, std::string_view body);

} // namespace siskinusher
