#include "decision/route_table.hpp"

#include <algorithm>
#include <cctype>
#include <limits>
#include <unordered_map>
#include <utility>
#include <vector>

namespace siskinusher
{

std::string normalized_host(std::string_view host)
{
    std::string text(host.substr(0, host.find(':')));
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

class route_table::implementation
{
public:
    std::shared_ptr<serving_config const> config;
    // Routes of each host by path prefix.
    std::unordered_map<std::string, std::unordered_map<std::string, route_rule const*>> hosts;
};

route_table::route_table(std::shared_ptr<serving_config const> config)
    : impl_(std::make_unique<implementation>())
{
    impl_->config = std::move(config);
    for (route_rule const& route : impl_->config->routes)
    {
        impl_->hosts[normalized_host(route.host)][route.path_prefix] = &route;
    }
}

route_table::~route_table() = default;
route_table::route_table(route_table&&) noexcept = default;
route_table& route_table::operator=(route_table&&) noexcept = default;

route_rule const* route_table::find(std::string_view host, std::string_view path) const
{
    auto const routes = impl_->hosts.find(normalized_host(host));
    if (routes == impl_->hosts.end())
    {
        return nullptr;
    }
    path = path.substr(0, path.find('?'));
    // Every configured prefix ends with a slash, so only the parts of the path that end with one are looked
    // up, the longest first.
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;)
    {
        auto const found = routes->second.find(std::string(path.substr(0, slash + 1)));
        if (found != routes->second.end())
        {
            return found->second;
        }
        slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1);
    }
    return nullptr;
}

serving_config const& route_table::config() const
{
    return *impl_->config;
}

std::string choose_target(route_rule const& route, std::uint64_t random_value)
{
    double total = 0.0;
    for (route_target const& target : route.targets)
    {
        total += std::max(target.weight, 0.0);
    }
    double const point = static_cast<double>(random_value) /
                         static_cast<double>(std::numeric_limits<std::uint64_t>::max()) * total;
    double sum = 0.0;
    std::string chosen;
    for (route_target const& target : route.targets)
    {
        if (target.weight <= 0.0)
        {
            continue;
        }
        chosen = target.service;
        sum += target.weight;
        if (point < sum)
        {
            break;
        }
    }
    return chosen;
}

} // namespace siskinusher
