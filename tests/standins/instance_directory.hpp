#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

namespace siskinusher::standins
{

/// The platform's instance list. A change becomes visible only after `lag`.
class instance_directory
{
public:
    explicit instance_directory(std::chrono::milliseconds lag) : lag_(lag) {}

    /// Adds or replaces a row; its key is "name".
    void put(nlohmann::json const& row);
    void remove(std::string const& name);
    void set_state(std::string const& name, std::string const& state);

    /// Keeps the visible list unchanged for this time.
    void freeze(std::chrono::milliseconds time);

    /// The list as it was `lag` ago, or at the start of a freeze that is still in force.
    nlohmann::json rows();

private:
    using clock = std::chrono::steady_clock;
    using table = std::map<std::string, nlohmann::json>;

    void schedule_current();
    void show_due_changes();

    std::chrono::milliseconds const lag_;
    std::mutex mutex_;
    table current_;
    table visible_;
    std::deque<std::pair<clock::time_point, table>> pending_;
    clock::time_point frozen_until_{};
};

} // namespace siskinusher::standins
