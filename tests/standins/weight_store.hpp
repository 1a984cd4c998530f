#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace siskinusher::standins
{

struct weight_store_settings
{
    double loads_per_second = 4.5;
    unsigned full_speed_loads = 4;
    unsigned full_speed_adapters = 32;
};

/// How long a load waits before it starts, and by which factor it takes longer than at full speed.
struct load_grant
{
    std::uint64_t id = 0;
    std::chrono::milliseconds wait{0};
    double slowdown = 1.0;
};

/// The platform's weight store: model loads start at a limited rate, and loads beyond the full-speed number
/// take proportionally longer.
class weight_store
{
public:
    explicit weight_store(weight_store_settings settings) : settings_(settings) {}

    load_grant begin(bool is_model);
    void end(std::uint64_t id);

    /// Slows every load that begins from now on by this factor.
    void set_slowdown_factor(double factor);

    unsigned peak_model_loads() const;
    std::size_t model_loads_started() const;

private:
    using clock = std::chrono::steady_clock;

    struct running_load
    {
        bool is_model = true;
        clock::time_point expires;
    };

    weight_store_settings const settings_;
    mutable std::mutex mutex_;
    double slowdown_factor_ = 1.0;
    std::uint64_t last_id_ = 0;
    std::size_t model_loads_started_ = 0;
    unsigned peak_model_loads_ = 0;
    clock::time_point next_start_{};
    std::map<std::uint64_t, running_load> running_;
};

} // namespace siskinusher::standins
