#pragma once

#include "core/steady_time.hpp"
#include "domain/identifiers.hpp"

#include <cstddef>
#include <string>

namespace siskinusher
{

/// Settings of a request_controller. The durations follow docs/design.md, sections 3.3 and 3.5.
struct request_settings
{
    instance_id self;
    std::string data_centre;
    std::size_t queue_limit = 2048;      ///< Queued requests of one rank.
    duration max_report_age{seconds(3)}; ///< A server with an older report gets no new work (I7).
    /// Shortest time between two load requests for one model or adapter.
    duration load_request_interval{milliseconds(200)};
    duration max_summary_age{seconds(6)}; ///< An older summary is not used; three in a row may be lost.
    unsigned max_retries = 2;
    double retry_share = 0.1; ///< Retries that one first attempt allows.
    /// Largest number of unused retries: about the streams that one instance has on ten engines at the
    /// target.
    double retry_capacity = 32.0;
};

} // namespace siskinusher
