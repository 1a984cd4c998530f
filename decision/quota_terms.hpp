#pragma once

#include "core/steady_time.hpp"
#include "domain/organisation.hpp"
#include "domain/quota_exchange.hpp"

#include <cstdint>

namespace siskinusher
{

/// Credit can be spent for this long after its question was sent. It bridges a change of the lease holder,
/// 1.5 to 4.8 s, for the most part, and bounds how long credit of a lost instance is missing.
constexpr duration credit_lifetime = seconds{4};

/// An instance may spend its share of an organisation's rate for this long after its last answered question.
/// It bridges the longest time without a holder, 6.5 s after one is lost for good, and outages of the store.
constexpr duration share_lifetime = seconds{8};
/// An instance that has had no answer for this long spends its share; the holder counts with that from the
/// same time on.
constexpr duration holder_silence = milliseconds{1100};

/// How the tolerance of an organisation's limit is divided. With D = slack + excess x (rate x window +
/// burst), the limit holds in each window when all shares together stay below D.
struct quota_terms
{
    double capacity = 0.0;       ///< Burst + D/4: credit that may be used at any moment, issued or not.
    double in_window = 0.0;      ///< Rate x window + burst + D/4: what may be used in any window.
    double for_takeover = 0.0;   ///< D/2: beyond the capacity while a new holder does not know all credit.
    double without_holder = 0.0; ///< D/8: what all instances together use in a window without a holder.
    double for_repeats = 0.0;    ///< D/8: requests that run twice, and single ones above the capacity.
};

quota_terms terms_of(organisation_quota const& quota, quota_bounds const& bounds);

/// False for a request that costs more than the organisation can ever use at once.
bool can_fit(quota_terms const& terms, std::uint64_t cost);

} // namespace siskinusher
