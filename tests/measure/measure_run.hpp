#pragma once

#include "measure/trace.hpp"

#include <map>
#include <string>
#include <vector>

namespace siskinusher::testing
{

/// A policy to measure: a baseline, the decision layer, or the decision layer with one mechanism changed or
/// off.
struct policy
{
    std::string name;
    bool baseline = false; ///< The invariants of docs/design.md do not apply to it.
    bool complete = false; ///< No mechanism of the policy is changed or off.
};

/// All policies, in the order of the result table.
std::vector<policy> const& all_policies();

/// Figures of one run by name, and the invariants that it violated.
struct run_result
{
    std::map<std::string, double> figures;
    std::vector<std::string> violations;
};

/// Runs one policy on one trace in virtual time.
run_result run_policy(policy const& which, measured_trace const& trace, std::uint64_t seed, bool print_trace);

} // namespace siskinusher::testing
