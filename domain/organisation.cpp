#include "domain/organisation.hpp"

#include <tuple>

namespace siskinusher
{

bool operator==(organisation_quota const& a, organisation_quota const& b)
{
    return std::tie(a.unit, a.per_second, a.burst, a.default_tokens) ==
           std::tie(b.unit, b.per_second, b.burst, b.default_tokens);
}

bool operator==(organisation const& a, organisation const& b)
{
    return std::tie(a.name, a.keys, a.priority, a.quota, a.has_known_limit) ==
           std::tie(b.name, b.keys, b.priority, b.quota, b.has_known_limit);
}

bool operator==(caller_credentials const& a, caller_credentials const& b)
{
    return std::tie(a.form, a.key) == std::tie(b.form, b.key);
}

} // namespace siskinusher
