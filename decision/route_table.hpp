#pragma once

#include "domain/serving_config.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace siskinusher
{

/// Finds the route of a request: of the routes of its host, the one with the longest prefix of its path.
class route_table
{
public:
    explicit route_table(std::shared_ptr<serving_config const> config);
    ~route_table();
    route_table(route_table&&) noexcept;
    route_table& operator=(route_table&&) noexcept;

    /// Null when no route matches. `host` may carry a port; letter case does not count. The rule lives as
    /// long as the configuration.
    route_rule const* find(std::string_view host, std::string_view path) const;

    serving_config const& config() const;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

/// The service for one request of a route, chosen in proportion to the weights. `draw` is uniform over all
/// 64-bit values. Empty when the route has no target with a weight.
std::string choose_target(route_rule const& route, std::uint64_t draw);

} // namespace siskinusher
