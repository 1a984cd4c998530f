#include "tests/standins/object_table.hpp"

#include <algorithm>

namespace siskinusher::standins
{

std::optional<stored_object> object_table::get(std::string const& key) const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const found = objects_.find(key);
    return found == objects_.end() ? std::nullopt : std::make_optional(found->second);
}

std::optional<std::uint64_t> object_table::put(std::string const& key, std::uint64_t expected,
                                               std::string value)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    if (version_of(key) != expected)
    {
        return std::nullopt;
    }
    objects_[key] = {++last_version_, std::move(value)};
    changed_.notify_all();
    return last_version_;
}

bool object_table::remove(std::string const& key, std::uint64_t expected)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    if (expected == 0 || version_of(key) != expected)
    {
        return false;
    }
    objects_.erase(key);
    changed_.notify_all();
    return true;
}

bool object_table::wait_for_change(std::string const& key, std::uint64_t seen,
                                   std::chrono::milliseconds timeout,
                                   std::function<bool()> const& caller_gone) const
{
    std::unique_lock<std::mutex> lock(mutex_);
    auto const until = std::chrono::steady_clock::now() + timeout;
    while (version_of(key) == seen)
    {
        auto const now = std::chrono::steady_clock::now();
        if (now >= until || caller_gone())
        {
            return false;
        }
        // Waits at most 500 ms at a time, so that a watch whose caller has disconnected soon frees its
        // thread.
        changed_.wait_until(lock, std::min(until, now + std::chrono::milliseconds{500}));
    }
    return true;
}

std::map<std::string, std::uint64_t> object_table::list(std::string const& prefix) const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    std::map<std::string, std::uint64_t> result;
    for (auto it = objects_.lower_bound(prefix);
         it != objects_.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it)
    {
        result[it->first] = it->second.version;
    }
    return result;
}

std::uint64_t object_table::version_of(std::string const& key) const
{
    auto const found = objects_.find(key);
    return found == objects_.end() ? 0 : found->second.version;
}

} // namespace siskinusher::standins
