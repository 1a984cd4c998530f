#pragma once

#include "fleet/fake_fleet.hpp"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace siskinusher::testing
{

/// Sizes of one deployment, from the table in docs/design.md.
struct deployment
{
    std::string name;
    std::vector<std::string> data_centres;
    unsigned engines_per_dc = 0;
    unsigned models = 0;
    unsigned adapters = 0;
    double loads_per_second = 0;
};

/// Finds "authority" or "kidskin"; throws std::invalid_argument for another name.
deployment find_deployment(std::string const& name);

enum class phase
{
    warm_up,
    normal,
    background_flood,
    recovery,
    urgent_flood,
    count_,
};

constexpr std::size_t phase_count = static_cast<std::size_t>(phase::count_);

/// Lengths of the phases, in order.
using phase_lengths = std::array<duration, phase_count>;

/// One request of a trace; times count from the start of the run.
struct trace_request
{
    duration sent{0};
    std::string instance;
    caller_request request;
    int burst = -1; ///< Number of the burst for a newly active model; -1 for other requests.
};

/// Fleet, configuration and requests drawn from a seed; every policy is measured on the same ones.
struct measured_trace
{
    fleet_shape shape;
    fleet_config config;
    std::vector<trace_request> requests;   ///< By time.
    std::map<std::string, double> weights; ///< Relative traffic over the whole trace, by model.
    phase_lengths lengths{};

    duration start_of(phase which) const;
    phase phase_at(duration since_start) const;
    duration total() const;
};

measured_trace make_trace(deployment const& sizes, phase_lengths const& lengths, std::uint64_t seed);

} // namespace siskinusher::testing
