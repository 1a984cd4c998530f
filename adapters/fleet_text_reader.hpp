#pragma once

#include "adapters/read_result.hpp"
#include "domain/fleet_config.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace siskinusher
{

/// Contents of a checked fleet configuration text: the values for instances, and values for the checks alone.
struct fleet_text
{
    fleet_config config;
    std::map<std::string, std::uint64_t> engine_memory;                  ///< Bytes of one engine by pool.
    std::map<std::string, std::vector<std::string>> models_dependencies; ///< Models that depend on others.
};

/// Reads and checks the operators' text; `generation` is copied into the result. Reports every wrong,
/// unknown, duplicate or missing setting at once, together with unknown and circular dependencies, models
/// that fit no engine and floors whose sum exceeds 1. Never throws.
read_result<fleet_text> read_fleet_text(std::string const& text, std::string const& file,
                                        std::uint64_t generation);

/// Returns one line for each item (data centre, pool, model, adapter, service, rank, limit, draining server)
/// that was added (+), removed (-) or changed (~), in a fixed order; empty when the texts are equivalent.
std::vector<std::string> difference(fleet_text const& from, fleet_text const& to);

} // namespace siskinusher
