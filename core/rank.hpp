#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace siskinusher
{

/// Class of service of a request, the most important first.
enum class rank
{
    urgent = 0,
    standard = 1,
    background = 2,
};

constexpr std::size_t rank_count = 3;
constexpr std::array<rank, rank_count> all_ranks{rank::urgent, rank::standard, rank::background};

/// Position of a rank in arrays of rank_count elements.
constexpr std::size_t index_of(rank value)
{
    return static_cast<std::size_t>(value);
}

/// The name used in headers, settings, logs and metrics.
std::string_view to_string(rank value);

/// Parses a name as written by to_string; empty for any other text.
std::optional<rank> parse_rank(std::string_view text);

} // namespace siskinusher
