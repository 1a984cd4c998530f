#include "decision/retry_budget.hpp"

#include <algorithm>

namespace siskinusher
{

retry_budget::retry_budget(double share, double capacity)
    : share_(share), capacity_(capacity), tokens_(capacity)
{
}

void retry_budget::on_first_attempt()
{
    tokens_ = std::min(capacity_, tokens_ + share_);
}

bool retry_budget::try_take()
{
    if (tokens_ < 1.0)
    {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

} // namespace siskinusher
