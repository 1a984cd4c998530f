#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>

#include <nlohmann/json_fwd.hpp>

namespace siskinusher::standins
{

/// Faults that every stand-in can simulate, set by POST /control. A fault with "path" applies only to request
/// paths with that prefix.
class fault_switches
{
public:
    /// Reads the keys delay_ms, freeze_ms, crash, silent and lose_answer of a control call. A call with one
    /// of delay_ms, freeze_ms and lose_answer replaces all three; delay_ms 0 ends them. "crash" ends the
    /// process at once, without an answer.
    void apply(nlohmann::json const& control);

    /// Waits until both the delay and the freeze have passed.
    void pause(std::string const& path) const;

    /// Returns the number of a new connection.
    std::uint64_t open_connection() { return next_connection_++; }

    /// True for connections that were open when "silent" was set; they are never answered again.
    bool silenced(std::uint64_t connection) const { return connection < silenced_below_; }

    /// True when the next answer must be dropped; decrements the lose_answer count.
    bool consume_lost_answer(std::string const& path);

private:
    using clock = std::chrono::steady_clock;

    mutable std::mutex mutex_;
    std::string path_;
    std::chrono::milliseconds delay_{0};
    clock::time_point frozen_until_{};
    unsigned lost_answers_ = 0;
    std::atomic<std::uint64_t> next_connection_{0};
    std::atomic<std::uint64_t> silenced_below_{0};
};

} // namespace siskinusher::standins
