#pragma once

#include <optional>
#include <string>
#include <vector>

namespace siskinusher
{

/// What the limit of an organisation counts.
enum class quota_unit
{
    requests,
    tokens, ///< Of the prompt and of the longest answer allowed.
};

/// Limit on the work of an organisation, over all instances together.
struct organisation_quota
{
    quota_unit unit{quota_unit::requests};
    double per_second = 0.0;     ///< Units a second; zero for no limit.
    double burst = 0.0;          ///< Units that may be used at once on top of the rate.
    double default_tokens = 1.0; ///< Tokens of a request that does not state its own.
};

/// A group of callers that share keys, a priority and a limit.
struct organisation
{
    std::string name;
    std::vector<std::string> keys;    ///< Secrets; they never appear in logs, metrics or messages.
    std::optional<unsigned> priority; ///< Replaces that of the route.
    organisation_quota quota;
    /// False when its limit cannot be read: how much its callers may use is not known, so that they are
    /// refused for now.
    bool has_known_limit = true;
};

/// How a caller states its key.
enum class credentials_form
{
    absent,
    bearer, ///< One key in the expected form.
    malformed,
    repeated, ///< More than one; it is not known which one counts.
};

/// What a caller states about its identity.
struct caller_credentials
{
    credentials_form form{credentials_form::absent};
    std::string key; ///< Only with the form bearer.
};

bool operator==(organisation_quota const& a, organisation_quota const& b);
bool operator==(organisation const& a, organisation const& b);
bool operator==(caller_credentials const& a, caller_credentials const& b);

} // namespace siskinusher
