#pragma once

#include "core/steady_time.hpp"
#include "domain/identifiers.hpp"

namespace siskinusher
{

/// The limit that a backend server names in its answers, for the requests of all instances together.
struct server_limit
{
    backend_name backend;
    double per_second = 0.0; ///< Requests a second; negative when the server names no limit any more.
    duration age{0};         ///< Since the answer that says so.
};

/// What one instance knows about a server's limit, and how many requests it would send there. Sent to the
/// lease holder.
struct limit_report
{
    server_limit limit;
    unsigned wanted = 0; ///< Requests since the previous report for which the server was the best one.
};

/// What the lease holder knows about a server's limit, and how many requests the instance may send there
/// before the grant expires.
struct limit_grant
{
    server_limit limit;
    unsigned requests = 0;
};

bool operator==(server_limit const& a, server_limit const& b);
bool operator==(limit_report const& a, limit_report const& b);
bool operator==(limit_grant const& a, limit_grant const& b);

} // namespace siskinusher
