#include "domain/server_limit.hpp"

#include <tuple>

namespace siskinusher
{

bool operator==(server_limit const& a, server_limit const& b)
{
    return std::tie(a.backend, a.per_second, a.age) == std::tie(b.backend, b.per_second, b.age);
}

bool operator==(limit_report const& a, limit_report const& b)
{
    return std::tie(a.limit, a.wanted) == std::tie(b.limit, b.wanted);
}

bool operator==(limit_grant const& a, limit_grant const& b)
{
    return std::tie(a.limit, a.requests) == std::tie(b.limit, b.requests);
}

} // namespace siskinusher
