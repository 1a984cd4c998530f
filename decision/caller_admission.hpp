#pragma once

#include "core/steady_time.hpp"
#include "decision/organisation_directory.hpp"

#include <optional>
#include <variant>

namespace siskinusher
{

/// What an instance knows about the age of its configuration.
struct config_currency
{
    /// The latest time at which the configuration is known to have been the newest one.
    steady_time current_at;
    bool behind = false; ///< A later one is known to exist.
};

/// Bounds on how old the configuration may be for the decision on a key.
struct admission_bounds
{
    /// A request that is sent later than this after its key was taken away must not run; none when that is
    /// not asked for.
    std::optional<duration> revocation_time;
    duration change_time{0}; ///< Time within which a new configuration must be in force.
};

/// Why a caller gets no service now.
enum class admission_fault
{
    unknown_key,       ///< Or none, or one that cannot be read.
    keys_unproven,     ///< A configuration that takes the key away may have been accepted too long ago.
    key_not_known_yet, ///< A newer configuration may have added the key.
    limit_unknown,     ///< The configuration names no limit of the organisation that can be read.
};

/// The request may go on, for this organisation; null where callers are not told apart.
struct caller_admitted
{
    organisation const* caller = nullptr;
};
struct caller_refused
{
    admission_fault fault{admission_fault::unknown_key};
    duration retry_after{0};              ///< Zero when the refusal is final.
    organisation const* caller = nullptr; ///< Whose key it is, if that is known.
};
using admission = std::variant<caller_admitted, caller_refused>;

/// Decides on a request that arrived at `arrived` whether the key that its caller shows may be used.
///
/// A read of the configuration that began at some time proves that no key was taken away before it, so that
/// requests sent until `revocation_time` later may run with the keys that it shows, and none after that. The
/// proof may be old on an instance that is cut off, that stood still, or whose peers know nothing newer.
admission admit_caller(caller_identity const& identity, steady_time arrived, config_currency const& currency,
                       admission_bounds const& bounds);

/// Name for logs and metrics, for example "keys_unproven".
char const* to_string(admission_fault fault);

} // namespace siskinusher
