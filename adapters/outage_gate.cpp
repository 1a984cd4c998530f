#include "adapters/outage_gate.hpp"

namespace siskinusher
{

outage_gate::outage_gate(unsigned failures_to_outage, duration spread, std::uint64_t seed)
    : failures_to_outage_(failures_to_outage), spread_(spread), random_(seed)
{
}

bool outage_gate::admit(steady_time now)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    if (failures_ < failures_to_outage_)
    {
        return true;
    }
    if (probing_ || now < blocked_until_)
    {
        return false;
    }
    probing_ = true;
    return true;
}

void outage_gate::on_answer()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    failures_ = 0;
    probing_ = false;
}

void outage_gate::on_failure(steady_time now)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    bool const outage_begins = ++failures_ == failures_to_outage_;
    // Calls that began before the outage may fail during it; they must not postpone the next attempt.
    if (outage_begins || (probing_ && now >= blocked_until_))
    {
        blocked_until_ = now + duration(random_.below(static_cast<std::uint64_t>(spread_.count())));
        probing_ = false;
    }
}

} // namespace siskinusher
