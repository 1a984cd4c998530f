#pragma once

#include "core/steady_time.hpp"

#include <memory>
#include <string>

namespace siskinusher
{

/// Limits of repeated sends for all instances together.
struct retry_limits
{
    double ratio = 0.2; ///< Repeated sends for each request of a service.
    duration window = seconds{10};
    unsigned slack = 0;     ///< Repeated sends of a service in a window beside the ratio.
    unsigned instances = 1; ///< Among which the slack is divided.
};

/// This instance's share of the fleet's retry budget, by service. The ratio follows the instance's own
/// requests and the slack is divided evenly, so that the sum over all instances stays within the budget
/// without any exchange between them.
class retry_allowance
{
public:
    explicit retry_allowance(retry_limits limits);
    ~retry_allowance();
    retry_allowance(retry_allowance const&) = delete;
    retry_allowance& operator=(retry_allowance const&) = delete;

    void on_limits(retry_limits limits);
    void on_request(steady_time now, std::string const& service);
    /// Takes one repeated send; false when none is left in the window.
    bool try_take(steady_time now, std::string const& service);

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace siskinusher
