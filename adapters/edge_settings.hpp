#pragma once

#include "adapters/read_result.hpp"
#include "core/steady_time.hpp"
#include "domain/quota_exchange.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
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
    duration leaving_time = milliseconds{2500}; ///< Time until a leaving server gets no new work.
    duration change_time = milliseconds{2500};  ///< Time within which a configuration must take effect.
    duration holder_gap{0}; ///< Time from the last order of one lease holder to the first order of the next.
    double load_window_s = 5.0;      ///< Window, in seconds, for the limit on loads from the weight store.
    duration stop_time = seconds{8}; ///< Time limit from SIGTERM to the end of the process.
    std::size_t descriptors = 4100;
    double cpu_share = 1.0;        ///< Processor cores that the process may use; 1.0 is one whole core.
    std::uint64_t memory_mb = 160; ///< Memory above which the process is ended, in MB. The least known one.
    std::string log_level = "info";
    /// A request that is sent later than this after its key was taken away must not run; none when keys that
    /// were taken away may work while an instance cannot know.
    std::optional<duration> revocation_time;
    quota_bounds quotas;
    /// Servers that have just started or failed get work as they answer it, see server_pace.
    bool slow_start = false;
};

bool operator==(edge_settings const& a, edge_settings const& b);

/// Reads and checks settings; every fault is reported with its line and the accepted values.
read_result<edge_settings> read_edge_settings(std::string const& text, std::string const& file);

} // namespace siskinusher
