#pragma once

#include "decision/caller_admission.hpp"
#include "decision/organisation_directory.hpp"
#include "domain/serving_config.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace siskinusher
{

/// Tells whose request one is, by the configuration in force and by what is known of its age. The decisions
/// are made by organisation_directory and admit_caller().
class caller_access
{
public:
    using currency_source = std::function<config_currency()>;

    caller_access(admission_bounds bounds, currency_source currency, std::uint64_t seed);

    void on_config(std::shared_ptr<serving_config const> config);
    /// True when the configuration in force tells callers apart.
    bool is_active() const;
    /// `arrived` is when the request arrived. An organisation that is returned is valid until the next
    /// configuration.
    admission check(route_rule const& route, caller_credentials const& credentials,
                    steady_time arrived) const;
    /// The organisation of a request that a peer has identified; null when it is not known here.
    organisation const* find(std::string const& name) const;
    /// Age of the proof that the configuration is the newest one.
    duration proof_age(steady_time now) const;

private:
    admission_bounds const bounds_;
    currency_source const currency_;
    std::uint64_t const seed_;
    std::optional<organisation_directory> directory_;
};

} // namespace siskinusher
