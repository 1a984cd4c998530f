#pragma once

#include "fleet/fake_fleet.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace siskinusher::testing
{

/// The result of one scenario.
struct scenario_result
{
    std::vector<std::string> failures; ///< Unmet expectations and violated invariants; empty when it passed.
    std::vector<std::string> figures;  ///< Results of the measure statements, one line each.
    std::vector<std::string> trace;    ///< The last log lines before the end.
};

/// Runs a scenario with one statement on each line, in the language that docs/scenarios.md describes.
scenario_result run_scenario(std::string const& text, std::uint64_t seed);

/// Returns the small configuration that scenarios and randomised runs start with: the given models, adapters
/// a1 to a9 for the first model, and the plain service "ledger".
fleet_config base_config(std::vector<model_config> const& models);

} // namespace siskinusher::testing
