#pragma once

#include "domain/serving_config.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace siskinusher
{

/// No organisation is asked for: none are configured, or the route is public.
struct unrestricted_caller
{
};

/// The caller gets no service of a route that needs a key.
struct rejected_caller
{
    /// The key may have been added by a later version of the configuration.
    bool unknown_key = false;
};

using caller_identity = std::variant<unrestricted_caller, organisation const*, rejected_caller>;

/// Finds the organisation of a caller by its key, in constant time.
///
/// It is designed for floods of wrong keys: `seed` is unknown to callers, so that they cannot choose keys
/// that collide.
class organisation_directory
{
public:
    organisation_directory(std::shared_ptr<serving_config const> config, std::uint64_t seed);
    ~organisation_directory();
    organisation_directory(organisation_directory&&) noexcept;
    organisation_directory& operator=(organisation_directory&&) noexcept;

    /// An organisation that is returned is valid as long as the configuration exists.
    caller_identity identify(route_rule const& route, caller_credentials const& credentials) const;
    /// The organisation of a request that another instance has identified; null when it is not known here.
    organisation const* find(std::string const& name) const;
    /// True when callers are told apart by their keys.
    bool is_active() const;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

/// What a request costs in the unit of the quota, rounded up. `tokens` are those that the request states, if
/// it does.
std::uint64_t quota_cost(organisation_quota const& quota, std::optional<std::uint64_t> tokens);
/// The tokens that a request counts in the division of scarce room, whatever the unit of the quota.
std::uint64_t work_of(organisation_quota const& quota, std::optional<std::uint64_t> tokens);

} // namespace siskinusher
