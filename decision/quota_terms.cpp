#include "decision/quota_terms.hpp"

namespace siskinusher
{

quota_terms terms_of(organisation_quota const& quota, quota_bounds const& bounds)
{
    double const window_s = std::chrono::duration<double>(bounds.window).count();
    double const tolerance = bounds.slack + bounds.excess * (quota.per_second * window_s + quota.burst);
    double const capacity = quota.burst + tolerance / 4.0;
    return {capacity, quota.per_second * window_s + capacity, tolerance / 2.0, tolerance / 8.0,
            tolerance / 8.0};
}

bool can_fit(quota_terms const& terms, std::uint64_t cost)
{
    return static_cast<double>(cost) <= terms.capacity + terms.for_repeats;
}

} // namespace siskinusher
