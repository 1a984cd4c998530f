#include "decision/service_retry_budget.hpp"

#include <deque>
#include <unordered_map>

namespace siskinusher
{

namespace
{

struct service_history
{
    std::deque<steady_time> requests;
    std::deque<steady_time> retries;
};

void drop_until(std::deque<steady_time>& times, steady_time limit)
{
    while (!times.empty() && times.front() <= limit)
    {
        times.pop_front();
    }
}

} // namespace

class service_retry_budget::implementation
{
public:
    retry_limits limits;
    std::unordered_map<std::string, service_history> services;
};

service_retry_budget::service_retry_budget(retry_limits limits) : impl_(std::make_unique<implementation>())
{
    impl_->limits = limits;
}

service_retry_budget::~service_retry_budget() = default;

void service_retry_budget::on_limits(retry_limits limits)
{
    impl_->limits = limits;
}

void service_retry_budget::on_request(steady_time now, std::string const& service)
{
    service_history& history = impl_->services[service];
    drop_until(history.requests, now - impl_->limits.window);
    history.requests.push_back(now);
}

bool service_retry_budget::try_take(steady_time now, std::string const& service)
{
    service_history& history = impl_->services[service];
    drop_until(history.requests, now - impl_->limits.window);
    drop_until(history.retries, now - impl_->limits.window);
    unsigned const instances = impl_->limits.instances == 0 ? 1 : impl_->limits.instances;
    double const allowed = impl_->limits.ratio * static_cast<double>(history.requests.size()) +
                           static_cast<double>(impl_->limits.slack) / instances;
    if (static_cast<double>(history.retries.size()) + 1.0 > allowed)
    {
        return false;
    }
    history.retries.push_back(now);
    return true;
}

} // namespace siskinusher
