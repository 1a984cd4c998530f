#pragma once

#include "core/steady_time.hpp"

#include <optional>
#include <string>
#include <unordered_map>

namespace siskinusher
{

/// The time of the latest answer to requests with a name, for a bounded number of names: those that were
/// answered least recently are forgotten.
class answer_memory
{
public:
    void remember(steady_time now, std::string const& name);
    /// No value when the name was never answered, or long ago.
    std::optional<steady_time> answered_at(std::string const& name) const;

private:
    // When the first map is full, it replaces the second one.
    std::unordered_map<std::string, steady_time> recent_;
    std::unordered_map<std::string, steady_time> earlier_;
};

} // namespace siskinusher
