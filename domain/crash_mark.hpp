#pragma once

#include "domain/dispatch_request.hpp"
#include "domain/identifiers.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace siskinusher
{

/// A shared prompt part of a request that an engine had just begun to answer when it crashed.
struct crash_mark
{
    std::string suspect;   ///< As in part_names().
    unsigned position = 0; ///< Of the part in its prompt; 0 is the first.
    backend_name engine;
    std::int64_t engine_started_at = 0; ///< Tells the starts of one engine apart.
};

bool operator==(crash_mark const& a, crash_mark const& b);

/// Identifies the part and the crash in the fleet; the position does not count.
std::string id_of(crash_mark const& crash);

/// Names of the parts that other requests may share, in their order. Callers choose the ids of parts, so an
/// id that is long or has unusual characters is replaced by a hash of fixed length.
std::vector<std::string> part_names(std::vector<prompt_part> const& prompt);

} // namespace siskinusher
