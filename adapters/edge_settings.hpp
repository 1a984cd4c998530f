#pragma once

#include "adapters/read_result.hpp"
#include "core/steady_time.hpp"

#include <cstddef>
#include <map>
#include <string>

namespace siskinusher
{

/// Settings of one siskin-edge process.
struct edge_settings
{
    std::string name;
    std::string data_centre;
    std::string region;
    std::map<std::string, std::string> region_of; ///< Region of each data centre.
    std::string caller_address;
    std::string readiness_address;
    std::string peer_address;
    std::string store_address;
    double retry_ratio = 0.0;
    duration retry_window = seconds{10};
    unsigned spare_retries = 0;
    duration leaving_time = milliseconds{2500}; ///< After which a leaving server gets no new work.
    duration change_time = milliseconds{2500};  ///< Within which a configuration must be in force.
    duration holder_gap{0};     ///< Between the last order of one lease holder and the first of the next.
    double load_window_s = 5.0; ///< In which loads from the weight store are bounded.
    duration stop_time = seconds{8}; ///< From SIGTERM to the end of the process.
    std::size_t descriptors = 4100;
    double cpu_share = 1.0; ///< Of a core.
    std::string log_level = "info";
};

bool operator==(edge_settings const& a, edge_settings const& b);

/// Reads and checks settings; every fault is reported with its line and what is accepted.
read_result<edge_settings> read_edge_settings(std::string const& text, std::string const& file);

} // namespace siskinusher
