#include "decision/send_limiter.hpp"

#include "decision/fleet_limits.hpp"

#include <algorithm>

namespace siskinusher
{

namespace
{

// An unused grant expires after two intervals of reports, so that the grants in use are bounded.
constexpr duration grant_lifetime = milliseconds{1200};
// Reports are sent every 500 ms and answered within 400 ms; one lost reply is tolerated.
constexpr duration holder_silence_limit = milliseconds{1100};
// Assumed number of instances before the lease holder has reported it.
constexpr unsigned assumed_instances = 64;
constexpr double no_limit = -1.0;
// An ended limit is reported for this time, so that the lease holder hears of the end.
constexpr duration ended_limit_lifetime = seconds{3};

} // namespace

send_limiter::send_limiter(std::uint64_t seed) : random_(seed), instances_(assumed_instances) {}

bool send_limiter::holder_answers(steady_time now) const
{
    return grants_at_ && now - *grants_at_ < holder_silence_limit;
}

duration send_limiter::own_interval(limited_server const& server) const
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(instances_ / usable_rate(server.per_second)));
}

void send_limiter::set_limit(steady_time now, limited_server& server, double per_second, steady_time named_at)
{
    bool const begins = server.per_second < 0.0 && per_second >= 0.0;
    server.per_second = per_second;
    server.named_at = named_at;
    if (begins)
    {
        auto const interval =
            static_cast<std::uint64_t>(std::max<duration::rep>(own_interval(server).count(), 1));
        server.next_own = now + duration{static_cast<duration::rep>(random_.below(interval))};
    }
}

bool send_limiter::on_answer(steady_time now, backend_name const& backend, std::optional<double> per_second)
{
    auto found = servers_.find(backend);
    if (found == servers_.end())
    {
        if (!per_second)
        {
            return false;
        }
        found = servers_.emplace(backend, limited_server{}).first;
    }
    double const before = found->second.per_second;
    set_limit(now, found->second, per_second.value_or(no_limit), now);
    return found->second.per_second != before;
}

void send_limiter::forget(backend_name const& backend)
{
    servers_.erase(backend);
}

bool send_limiter::may_send(steady_time now, backend_name const& backend) const
{
    auto const found = servers_.find(backend);
    if (found == servers_.end() || found->second.per_second < 0.0)
    {
        return true;
    }
    limited_server const& server = found->second;
    return (server.granted > 0 && now < server.granted_until) ||
           (!holder_answers(now) && now >= server.next_own);
}

void send_limiter::on_sent(steady_time now, backend_name const& backend)
{
    auto const found = servers_.find(backend);
    if (found == servers_.end())
    {
        return;
    }
    limited_server& server = found->second;
    ++server.sent;
    if (server.granted > 0 && now < server.granted_until)
    {
        --server.granted;
        return;
    }
    server.next_own = now + own_interval(server);
}

void send_limiter::on_held_back(backend_name const& backend, request_number request)
{
    auto const found = servers_.find(backend);
    if (found != servers_.end())
    {
        found->second.held_back.insert(request);
    }
}

std::vector<limit_report> send_limiter::take_reports(steady_time now)
{
    std::vector<limit_report> reports;
    for (auto each = servers_.begin(); each != servers_.end();)
    {
        auto& [name, server] = *each;
        if (server.per_second < 0.0 && now - server.named_at >= ended_limit_lifetime)
        {
            each = servers_.erase(each);
            continue;
        }
        unsigned const in_hand = now < server.granted_until ? server.granted : 0;
        unsigned const wanted = server.sent + static_cast<unsigned>(server.held_back.size());
        reports.push_back(
            {{name, server.per_second, now - server.named_at}, wanted - std::min(wanted, in_hand)});
        server.sent = 0;
        server.held_back.clear();
        ++each;
    }
    return reports;
}

void send_limiter::on_grants(steady_time now, std::vector<limit_grant> const& grants, unsigned instances)
{
    grants_at_ = now;
    instances_ = instances > 0 ? instances : instances_;
    for (limit_grant const& each : grants)
    {
        auto found = servers_.find(each.limit.backend);
        if (found == servers_.end())
        {
            if (each.limit.per_second < 0.0)
            {
                continue;
            }
            found = servers_.emplace(each.limit.backend, limited_server{}).first;
        }
        limited_server& server = found->second;
        if (now - each.limit.age > server.named_at)
        {
            set_limit(now, server, each.limit.per_second, now - each.limit.age);
        }
        if (each.requests > 0)
        {
            server.granted = each.requests + (now < server.granted_until ? server.granted : 0);
            server.granted_until = now + grant_lifetime;
        }
    }
}

std::optional<double> send_limiter::limit_of(backend_name const& backend) const
{
    auto const found = servers_.find(backend);
    return found == servers_.end() || found->second.per_second < 0.0
               ? std::nullopt
               : std::optional(found->second.per_second);
}

} // namespace siskinusher
