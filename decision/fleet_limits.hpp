#pragma once

#include "core/steady_time.hpp"
#include "domain/server_limit.hpp"

#include <map>
#include <vector>

namespace siskinusher
{

/// Divides, on the lease holder, the limits of backend servers among the instances that want to send there.
///
/// Each server has one bucket of requests, which fills at the rate of its limit. Instances send at very
/// different rates, and a limit of one request a second is less than one for each of nine instances, so that
/// fixed shares would leave most of it unused or round it up.
class fleet_limits
{
public:
    /// Takes an instance's report and returns the grants for it: an entry for each server whose limit is
    /// known, so that the instance learns of limits, and of their end, from the answers that others got.
    std::vector<limit_grant> grant(steady_time now, std::vector<limit_report> const& reports);

private:
    struct bucket
    {
        double per_second = 0.0; ///< Negative when the server names no limit any more.
        steady_time named_at;    ///< Of the answer that says so.
        double requests = 0.0;
        steady_time filled_at;
    };

    void learn(steady_time now, server_limit const& limit);
    static void fill(steady_time now, bucket& of_server);

    std::map<backend_name, bucket> buckets_;
};

/// The rate at which a server with this limit is used; it is never zero, because only an answer can show that
/// the limit has ended.
double usable_rate(double per_second);

} // namespace siskinusher
