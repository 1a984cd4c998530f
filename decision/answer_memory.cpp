#include "decision/answer_memory.hpp"

#include <cstddef>
#include <utility>

namespace siskinusher
{

namespace
{

// Names in one of the two maps.
constexpr std::size_t max_names = 4096;

} // namespace

void answer_memory::remember(steady_time now, std::string const& name)
{
    if (recent_.size() >= max_names)
    {
        earlier_ = std::exchange(recent_, {});
    }
    recent_[name] = now;
}

std::optional<steady_time> answer_memory::answered_at(std::string const& name) const
{
    for (auto const* const each : {&recent_, &earlier_})
    {
        auto const found = each->find(name);
        if (found != each->end())
        {
            return found->second;
        }
    }
    return std::nullopt;
}

} // namespace siskinusher
