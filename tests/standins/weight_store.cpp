#include "tests/standins/weight_store.hpp"

#include <algorithm>

namespace siskinusher::standins
{

namespace
{

// An engine that crashes never ends its load; the load stops counting as in flight after 20 s.
constexpr auto max_load_time = std::chrono::seconds{20};

} // namespace

load_grant weight_store::begin(bool is_model)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const now = clock::now();
    unsigned in_flight = 1;
    for (auto it = running_.begin(); it != running_.end();)
    {
        in_flight += it->second.expires > now && it->second.is_model == is_model ? 1U : 0U;
        it = it->second.expires > now ? std::next(it) : running_.erase(it);
    }
    load_grant grant;
    grant.id = ++last_id_;
    running_[grant.id] = {is_model, now + max_load_time};
    unsigned const full_speed = is_model ? settings_.full_speed_loads : settings_.full_speed_adapters;
    grant.slowdown = slowdown_factor_ * std::max(1.0, static_cast<double>(in_flight) / full_speed);
    if (is_model)
    {
        auto const start = std::max(now, next_start_);
        next_start_ = start + std::chrono::duration_cast<clock::duration>(
                                  std::chrono::duration<double>(1.0 / settings_.loads_per_second));
        grant.wait = std::chrono::duration_cast<std::chrono::milliseconds>(start - now);
        ++model_loads_started_;
        peak_model_loads_ = std::max(peak_model_loads_, in_flight);
    }
    return grant;
}

void weight_store::end(std::uint64_t id)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    running_.erase(id);
}

void weight_store::set_slowdown_factor(double factor)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    slowdown_factor_ = std::max(1.0, factor);
}

unsigned weight_store::peak_model_loads() const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return peak_model_loads_;
}

std::size_t weight_store::model_loads_started() const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return model_loads_started_;
}

} // namespace siskinusher::standins
