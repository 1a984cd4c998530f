#include "decision/caller_admission.hpp"

namespace siskinusher
{

namespace
{

// Clocks of two machines may differ in their rate by this share at most.
constexpr double max_clock_drift = 0.01;
// An unknown key is final while the configuration is younger than this share of the time within which a new
// one must be in force.
constexpr double final_age_share = 0.5;
// Another instance may know the newest configuration; this one usually does after its next report, 500 ms
// later.
constexpr duration unknown_key_retry_after = milliseconds{300};
constexpr duration unproven_retry_after = milliseconds{500};
// Ends only with a later configuration.
constexpr duration limit_unknown_retry_after = seconds{2};

duration share_of(duration whole, double share)
{
    return std::chrono::duration_cast<duration>(whole * share);
}

} // namespace

admission admit_caller(caller_identity const& identity, steady_time arrived, config_currency const& currency,
                       admission_bounds const& bounds)
{
    if (std::holds_alternative<unrestricted_caller>(identity))
    {
        return caller_admitted{};
    }
    duration const age = arrived - currency.current_at;
    if (auto const* const rejected = std::get_if<rejected_caller>(&identity))
    {
        bool const is_final = !rejected->unknown_key ||
                              (!currency.behind && age <= share_of(bounds.change_time, final_age_share));
        return is_final
                   ? caller_refused{admission_fault::unknown_key, {}, nullptr}
                   : caller_refused{admission_fault::key_not_known_yet, unknown_key_retry_after, nullptr};
    }
    auto const* const caller = std::get<organisation const*>(identity);
    if (bounds.revocation_time && age > share_of(*bounds.revocation_time, 1.0 - max_clock_drift))
    {
        return caller_refused{admission_fault::keys_unproven, unproven_retry_after, caller};
    }
    if (!caller->has_known_limit)
    {
        return caller_refused{admission_fault::limit_unknown, limit_unknown_retry_after, caller};
    }
    return caller_admitted{caller};
}

char const* to_string(admission_fault fault)
{
    switch (fault)
    {
    case admission_fault::unknown_key:
        return "unknown_key";
    case admission_fault::keys_unproven:
        return "keys_unproven";
    case admission_fault::key_not_known_yet:
        return "key_not_known_yet";
    case admission_fault::limit_unknown:
        return "limit_unknown";
    }
    return "unknown";
}

} // namespace siskinusher
