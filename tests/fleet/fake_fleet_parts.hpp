#pragma once

#include "fleet/fake_fleet.hpp"

/// Declarations that the source files of fake_fleet share.
namespace siskinusher::testing
{

inline constexpr duration region_latency = milliseconds{8};
inline constexpr duration local_latency = microseconds{250};
inline constexpr duration call_timeout = seconds{2};
inline constexpr duration silence_limit = seconds{5};
// Time after an engine starts to leave in which it may still receive new requests.
inline constexpr duration leaving_grace = seconds{3};
// Time within which an accepted configuration must be in force at every ready instance.
inline constexpr duration config_grace = seconds{11};
// After a lease holder is killed, its lease of 6 s must expire and be claimed by a successor before the
// successor can unload a model.
inline constexpr duration lease_takeover = seconds{8};
// Time after which a watch of an unchanged object is answered.
inline constexpr duration watch_time = seconds{3};
inline constexpr unsigned engine_queue = 32;

struct fake_fleet::fake_instance
{
    member self;
    std::unique_ptr<core_under_test> core;
    bool running = false;
    bool draining = false;
    steady_time paused_until{};
    bool paused = false;
    duration pause_in_order{0};
    std::optional<bool> kill_in_call; ///< Set to end the instance at its next keyed call: false before the
                                      ///< call is sent, true while it runs.
    std::deque<event> inbox;          ///< Events that arrived during a pause.
    std::deque<std::function<void()>> delayed_actions; ///< Actions that the pause has delayed.
    double clock_rate = 1.0;
    request_number next_number = 1;
    std::uint64_t highest_generation = 0;
    std::size_t late_generation = 0; ///< Latest generation that has been reported as late.

    /// Identifies this run of the instance.
    std::string run_name() const { return self.id.name + "#" + std::to_string(self.id.incarnation); }
    steady_time local(steady_time now) const
    {
        return steady_time{duration{
            static_cast<duration::rep>(static_cast<double>(now.time_since_epoch().count()) * clock_rate)}};
    }
};

struct fake_fleet::fake_server
{
    listed_server listed;
    std::uint64_t boot = 1;
    std::uint64_t revision = 1;
    std::uint64_t highest_epoch = 0;
    bool running = true;
    bool silent = false;
    std::optional<steady_time> leaving_since;
    std::map<std::string, std::uint64_t> models;
    std::map<std::string, std::uint64_t> adapters;
    std::map<std::string, std::uint64_t> loading;
    std::map<std::string, checkpoint_tier> checkpoints;
    std::deque<std::string> kept_in_memory; ///< Checkpoints, the oldest first; used only with a limit.
    std::deque<std::string> kept_on_disk;
    std::map<attempt_key, work_item> active;
    std::array<std::deque<work_item>, rank_count> waiting;
    std::deque<work_item>
        waiting_for_load; ///< Requests that wait for the end of a load that the report shows already.

    std::size_t waiting_count() const
    {
        std::size_t total = 0;
        for (auto const& each : waiting)
        {
            total += each.size();
        }
        return total;
    }
};

} // namespace siskinusher::testing
