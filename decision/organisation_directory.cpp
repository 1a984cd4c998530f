#include "decision/organisation_directory.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <unordered_map>
#include <utility>

namespace siskinusher
{

namespace
{

// FNV-1a over the seed and the key, with a final mix: the seed makes collisions unpredictable for callers.
struct seeded_hash
{
    std::uint64_t seed = 0;

    std::size_t operator()(std::string const& key) const
    {
        constexpr std::uint64_t prime = 1099511628211U;
        std::uint64_t hash = 14695981039346656037U ^ seed;
        for (char const c : key)
        {
            hash = (hash ^ static_cast<unsigned char>(c)) * prime;
            hash ^= hash >> 29U;
        }
        hash = (hash ^ seed) * prime;
        return static_cast<std::size_t>(hash ^ (hash >> 32U));
    }
};

} // namespace

class organisation_directory::implementation
{
public:
    implementation(std::shared_ptr<serving_config const> config_in, std::uint64_t seed)
        : config(std::move(config_in)), by_key(0, seeded_hash{seed})
    {
        if (!config->organisations)
        {
            return;
        }
        for (organisation const& each : *config->organisations)
        {
            by_name.emplace(each.name, &each);
            for (std::string const& key : each.keys)
            {
                by_key.emplace(key, &each);
            }
        }
    }

    std::shared_ptr<serving_config const> config;
    std::unordered_map<std::string, organisation const*, seeded_hash> by_key;
    std::unordered_map<std::string, organisation const*> by_name;
};

organisation_directory::organisation_directory(std::shared_ptr<serving_config const> config,
                                               std::uint64_t seed)
    : impl_(std::make_unique<implementation>(std::move(config), seed))
{
}

organisation_directory::~organisation_directory() = default;
organisation_directory::organisation_directory(organisation_directory&&) noexcept = default;
organisation_directory& organisation_directory::operator=(organisation_directory&&) noexcept = default;

caller_identity organisation_directory::identify(route_rule const& route,
                                                 caller_credentials const& credentials) const
{
    if (!is_active() || route.is_public)
    {
        return unrestricted_caller{};
    }
    if (credentials.form != credentials_form::bearer)
    {
        return rejected_caller{false};
    }
    auto const found = impl_->by_key.find(credentials.key);
    if (found == impl_->by_key.end())
    {
        return rejected_caller{true};
    }
    return found->second;
}

organisation const* organisation_directory::find(std::string const& name) const
{
    auto const found = impl_->by_name.find(name);
    return found == impl_->by_name.end() ? nullptr : found->second;
}

bool organisation_directory::is_active() const
{
    return impl_->config->organisations.has_value();
}

std::uint64_t quota_cost(organisation_quota const& quota, std::optional<std::uint64_t> tokens)
{
    return quota.unit == quota_unit::requests ? 1 : work_of(quota, tokens);
}

std::uint64_t work_of(organisation_quota const& quota, std::optional<std::uint64_t> tokens)
{
    constexpr double max_cost = 1e15; // Above any limit; keeps the conversion in range.
    double const cost = tokens ? static_cast<double>(*tokens) : quota.default_tokens;
    return static_cast<std::uint64_t>(std::ceil(std::min(cost, max_cost)));
}

} // namespace siskinusher
