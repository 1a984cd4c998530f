#include "domain/quota_exchange.hpp"

#include <tuple>

namespace siskinusher
{

bool operator==(quota_bounds const& a, quota_bounds const& b)
{
    return std::tie(a.window, a.excess, a.slack) == std::tie(b.window, b.excess, b.slack);
}

bool operator==(quota_need const& a, quota_need const& b)
{
    return std::tie(a.organisation, a.held, a.waiting, a.ahead, a.returned, a.spent, a.typical) ==
           std::tie(b.organisation, b.held, b.waiting, b.ahead, b.returned, b.spent, b.typical);
}

bool operator==(quota_question const& a, quota_question const& b)
{
    return std::tie(a.instance, a.start, a.sequence, a.instances, a.needs) ==
           std::tie(b.instance, b.start, b.sequence, b.instances, b.needs);
}

bool operator==(quota_grant const& a, quota_grant const& b)
{
    return std::tie(a.organisation, a.granted, a.room_after_ms, a.ask_after_ms, a.spent_per_s,
                    a.share_per_s) ==
           std::tie(b.organisation, b.granted, b.room_after_ms, b.ask_after_ms, b.spent_per_s, b.share_per_s);
}

bool operator==(quota_reply const& a, quota_reply const& b)
{
    return std::tie(a.sequence, a.instances, a.grants) == std::tie(b.sequence, b.instances, b.grants);
}

} // namespace siskinusher
