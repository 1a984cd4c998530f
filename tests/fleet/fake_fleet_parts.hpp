#pragma once

#include "fleet/fake_fleet.hpp"

/// The parts of fake_fleet that its source files share.
namespace siskinusher::testing
{

inline constexpr duration region_latency = milliseconds{8};
inline constexpr duration local_latency = microseconds{250};
inline constexpr duration call_timeout = seconds{2};
inline constexpr duration silence_limit = seconds{5};
inline constexpr duration leaving_grace = seconds{3};
inline constexpr duration config_grace = seconds{11};
// A lease of six seconds runs out and is claimed anew before a killed holder's successor unloads.
inline constexpr duration lease_takeover = seconds{8};
inline constexpr duration watch_time = seconds{3};
inline constexpr unsigned engine_queue = 32;

struct fake_fleet::fake_instance
{
    member self;
    std::unique_ptr<driven_core> core;
    bool running = false;
    bool draining = false;
    steady_time paused_until{};
    bool paused = false;
    duration pause_in_order{0};
    std::optional<bool>
        kill_in_call;        ///< At the next keyed call: false before it is sent, true while it runs.
    std::deque<event> inbox; ///< Events that arrived during a pause.
    std::deque<std::function<void()>> held; ///< Actions that were about to be carried out at the pause.
    double clock_rate = 1.0;
    request_number next_number = 1;
    std::uint64_t highest_generation = 0;
    std::size_t late_generation = 0; ///< Reported as late already.

    std::string slot() const { return self.id.name + "#" + std::to_string(self.id.incarnation); }
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
    std::deque<std::string> kept_in_memory; ///< Checkpoints loaded here, the oldest first; used with a limit.
    std::deque<std::string> kept_on_disk;
    std::map<attempt_key, work_item> active;
    std::array<std::deque<work_item>, rank_count> waiting;
    std::deque<work_item> for_load; ///< Wait for the end of a load that the report shows already.

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
