#include "core/rank.hpp"

namespace siskinusher
{

std::string_view to_string(rank value)
{
    switch (value)
    {
    case rank::urgent:
        return "urgent";
    case rank::standard:
        return "standard";
    case rank::background:
        return "background";
    }
    return "invalid";
}

std::optional<rank> parse_rank(std::string_view text)
{
    for (rank candidate : all_ranks)
    {
        if (to_string(candidate) == text)
        {
            return candidate;
        }
    }
    return std::nullopt;
}

} // namespace siskinusher
