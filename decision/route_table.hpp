#pragma once

#include "domain/serving_config.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace siskinusher
{

/// Finds the route of a request: among the routes of its host, the one with the longest matching path prefix.
class route_table
{
public:
    explicit route_table(std::shared_ptr<serving_config const> config);
    ~route_table();
    route_table(route_table&&) noexcept;
    route_table& operator=(route_table&&) noexcept;

    /// Null when no route matches. `host` may include a port and is compared without regard to letter case.
    /// The rule is valid as long as the configuration exists.
    route_rule const* find(std::string_view host, std::string_view path) const;

    serving_config const& config() const;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

/// The host by which routes are found: without its port, in small letters.
std::string normalized_host(std::string_view host);

/// Chooses the service for one request of a route in proportion to the weights. `random_value` is uniformly
/// distributed over all 64-bit values. Empty when no target of the route has a positive weight.
std::string choose_target(route_rule const& route, std::uint64_t random_value);

} // namespace siskinusher
