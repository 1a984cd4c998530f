#pragma once

#include "adapters/ports.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace siskinusher
{

/// Waits until the condition holds. The limit only ends a test that would hang; a busy machine does not reach
/// it.
inline bool eventually(std::function<bool()> const& condition)
{
    for (int i = 0; i < 12000; ++i)
    {
        if (condition())
        {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
    return false;
}

/// Keeps everything that an adapter reports.
class recording_ports final : public event_sink, public metric_port, public log_port
{
public:
    bool push(event what) override
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        events_.push_back(std::move(what));
        return true;
    }
    void add(std::string_view name, std::string_view label, std::uint64_t amount) override
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        counts_[std::string(name) + "/" + std::string(label)] += amount;
    }
    void write(log_event const& entry) override
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        std::string line = entry.name;
        for (auto const& field : entry.fields)
        {
            line += " " + field.first + "=" + field.second;
        }
        lines_.push_back(std::move(line));
    }

    /// Events of one kind, in the order of their arrival.
    template <typename T>
    std::vector<T> all() const
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        std::vector<T> found;
        for (event const& one : events_)
        {
            if (auto const* const match = std::get_if<T>(&one))
            {
                found.push_back(*match);
            }
        }
        return found;
    }
    /// Waits for `count` events of a kind and returns those that have arrived.
    template <typename T>
    std::vector<T> wait_for(std::size_t count) const
    {
        eventually([&] { return all<T>().size() >= count; });
        return all<T>();
    }
    std::uint64_t count(std::string const& name, std::string const& label) const
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        auto const found = counts_.find(name + "/" + label);
        return found == counts_.end() ? 0 : found->second;
    }
    /// Sum over all labels.
    std::uint64_t total(std::string const& name) const
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        std::uint64_t sum = 0;
        for (auto const& [key, value] : counts_)
        {
            sum += key.rfind(name + "/", 0) == 0 ? value : 0;
        }
        return sum;
    }
    std::vector<std::string> lines() const
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        return lines_;
    }

private:
    mutable std::mutex mutex_;
    std::vector<event> events_;
    std::map<std::string, std::uint64_t> counts_;
    std::vector<std::string> lines_;
};

} // namespace siskinusher
