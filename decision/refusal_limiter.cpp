#include "decision/refusal_limiter.hpp"

#include <algorithm>
#include <cstddef>

namespace siskinusher
{

namespace
{

// Only an answer shows that the limit has ended, so that a server is not left alone for longer.
constexpr duration max_pause = seconds{5};
// Limits are per second.
constexpr duration window = seconds{1};

} // namespace

bool refusal_limiter::on_answer(backend_name const& backend, std::optional<double> per_second)
{
    auto const known = servers_.find(backend);
    if (!per_second)
    {
        return servers_.erase(backend) > 0;
    }
    if (known != servers_.end())
    {
        bool const changed = known->second.per_second != *per_second;
        known->second.per_second = *per_second;
        return changed;
    }
    servers_[backend].per_second = *per_second;
    return true;
}

void refusal_limiter::on_refused(steady_time now, backend_name const& backend)
{
    auto const found = servers_.find(backend);
    if (found == servers_.end())
    {
        return;
    }
    limited_server& server = found->second;
    while (!server.refusals.empty() && now - server.refusals.front() >= window)
    {
        server.refusals.pop_front();
    }
    server.refusals.push_back(now);
    double const part = server.per_second / instances_;
    if (part >= 1.0)
    {
        return;
    }
    std::chrono::duration<double> const pause{part > 0.0 ? 1.0 / part : 1e9};
    server.next = now + (pause < max_pause ? std::chrono::duration_cast<duration>(pause) : max_pause);
}

void refusal_limiter::forget(backend_name const& backend)
{
    servers_.erase(backend);
}

void refusal_limiter::on_instances(unsigned instances)
{
    instances_ = instances > 0 ? instances : instances_;
}

bool refusal_limiter::may_send(steady_time now, backend_name const& backend, unsigned own_requests,
                               unsigned in_use, unsigned places) const
{
    auto const found = servers_.find(backend);
    if (found == servers_.end())
    {
        return true;
    }
    limited_server const& server = found->second;
    if (now < server.next || in_use >= places || own_requests >= std::max(places / instances_, 1U))
    {
        return false;
    }
    auto const recent = std::count_if(server.refusals.begin(), server.refusals.end(),
                                      [now](steady_time each) { return now - each < window; });
    return recent < static_cast<std::ptrdiff_t>(std::max(server.per_second / instances_, 1.0));
}

} // namespace siskinusher
