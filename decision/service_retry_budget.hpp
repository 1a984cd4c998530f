#pragma once

#include "core/steady_time.hpp"

#include <memory>
#include <string>

namespace siskinusher
{

/// Limits on how often requests are sent again, for all instances together.
struct retry_limits
{
    double ratio = 0.2; ///< Retries allowed for each request of a service.
    duration window = seconds{10};
    unsigned slack = 0;     ///< Retries of a service allowed in each window in addition to the ratio.
    unsigned instances = 1; ///< The slack is divided evenly among them.
};

/// This instance's share of the fleet's retry budget, by service. The ratio applies to the instance's own
/// requests and the slack is divided evenly, so that the sum over all instances stays within the budget
/// without messages between them.
class service_retry_budget
{
public:
    explicit service_retry_budget(retry_limits limits);
    ~service_retry_budget();
    service_retry_budget(service_retry_budget const&) = delete;
    service_retry_budget& operator=(service_retry_budget const&) = delete;

    void on_limits(retry_limits limits);
    void on_request(steady_time now, std::string const& service);
    /// Takes one retry; false when none is left in the window.
    bool try_take(steady_time now, std::string const& service);

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace siskinusher
