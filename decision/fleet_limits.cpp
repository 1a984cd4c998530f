#include "decision/fleet_limits.hpp"

#include <algorithm>
#include <cmath>

namespace siskinusher
{

namespace
{

// One request in ten seconds shows whether the server still names its limit.
constexpr double min_rate = 0.1;
// A bucket holds the requests of this time, or one. Instances report every 500 ms.
constexpr double bucket_seconds = 0.25;
// A server that names no limit is forgotten after this time; every instance has heard of the end by then.
constexpr duration ended_limit_lifetime = seconds{10};
// A limit that no answer has confirmed for this time belongs to a server that is gone or no longer used.
constexpr duration limit_lifetime = seconds{60};

double to_seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

double usable_rate(double per_second)
{
    return std::max(per_second, min_rate);
}

void fleet_limits::learn(steady_time now, server_limit const& limit)
{
    auto const named_at = now - limit.age;
    auto const found = buckets_.find(limit.backend);
    if (found == buckets_.end())
    {
        buckets_[limit.backend] = {limit.per_second, named_at, 0.0, now};
        return;
    }
    if (named_at > found->second.named_at)
    {
        fill(now, found->second);
        found->second.per_second = limit.per_second;
        found->second.named_at = named_at;
    }
}

void fleet_limits::fill(steady_time now, bucket& of_server)
{
    double const rate = usable_rate(of_server.per_second);
    double const most = std::max(1.0, rate * bucket_seconds);
    of_server.requests = std::min(most, of_server.requests + rate * to_seconds(now - of_server.filled_at));
    of_server.filled_at = now;
}

std::vector<limit_grant> fleet_limits::grant(steady_time now, std::vector<limit_report> const& reports)
{
    std::map<backend_name, unsigned> wanted;
    for (limit_report const& each : reports)
    {
        learn(now, each.limit);
        wanted[each.limit.backend] = each.wanted;
    }
    std::vector<limit_grant> grants;
    for (auto each = buckets_.begin(); each != buckets_.end();)
    {
        auto& [name, of_server] = *each;
        bool const ended = of_server.per_second < 0.0;
        duration const age = std::max(now - of_server.named_at, duration{0});
        if (age >= (ended ? ended_limit_lifetime : limit_lifetime))
        {
            each = buckets_.erase(each);
            continue;
        }
        limit_grant result{{name, of_server.per_second, age}, 0};
        if (!ended)
        {
            fill(now, of_server);
            result.requests = std::min(wanted[name], static_cast<unsigned>(std::floor(of_server.requests)));
            of_server.requests -= result.requests;
        }
        grants.push_back(std::move(result));
        ++each;
    }
    return grants;
}

} // namespace siskinusher
