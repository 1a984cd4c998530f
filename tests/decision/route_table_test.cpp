#include "decision/route_table.hpp"

#include <criterion/criterion.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

using namespace siskinusher;

namespace
{

route_rule rule(std::string const& name, std::string const& host, std::string const& prefix)
{
    route_rule route;
    route.name = name;
    route.host = host;
    route.path_prefix = prefix;
    route.targets = {{"service", 1.0}};
    return route;
}

std::string found(route_table const& table, std::string const& host, std::string const& path)
{
    route_rule const* const route = table.find(host, path);
    return route == nullptr ? "none" : route->name;
}

} // namespace

// Guards against a request that is sent to the service of a shorter prefix, or to the route of another host.
Test(route_table, longest_prefix_of_the_host_wins)
{
    auto config = std::make_shared<serving_config>();
    config->routes = {rule("short", "a.example", "/x/"), rule("long", "a.example", "/x/y/"),
                      rule("other", "b.example", "/x/y/z/")};
    route_table const table(config);
    cr_assert_eq(found(table, "a.example", "/x/1"), "short");
    cr_assert_eq(found(table, "a.example", "/x/y/z/1?q=/x/"), "long");
    cr_assert_eq(found(table, "A.Example:8080", "/x/y/1"), "long");
    cr_assert_eq(found(table, "b.example", "/x/y/1"), "none");
    cr_assert_eq(found(table, "a.example", "/x"), "none");
    cr_assert_eq(found(table, "", ""), "none");
}

// Guards against a traffic split that sends requests to a service whose weight is zero.
Test(route_table, split_follows_the_weights)
{
    route_rule route = rule("r", "h", "/");
    route.targets = {{"large", 90.0}, {"none", 0.0}, {"small", 10.0}};
    std::map<std::string, int> counts;
    for (std::uint64_t i = 0; i < 1000; ++i)
    {
        ++counts[choose_target(route, i * (UINT64_MAX / 1000))];
    }
    cr_assert_eq(counts["none"], 0);
    cr_assert(counts["large"] > 890 && counts["large"] < 910);
    cr_assert(choose_target(route, UINT64_MAX) == "small");
}
