#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace siskinusher::standins
{

struct stored_object
{
    std::uint64_t version = 0;
    std::string value;
};

/// The objects of the stand-in platform. All objects share one version counter, so that no version is used
/// twice.
class object_table
{
public:
    std::optional<stored_object> get(std::string const& key) const;

    /// Writes when the object has the expected version (0: it does not exist). Returns the new version, or
    /// nothing on a conflict.
    std::optional<std::uint64_t> put(std::string const& key, std::uint64_t expected, std::string value);

    /// Removes the object when it has the expected version.
    bool remove(std::string const& key, std::uint64_t expected);

    /// Waits until the object's version is not `seen` (0: absent). Returns false on a time-out and when
    /// `caller_gone` returns true.
    bool wait_for_change(std::string const& key, std::uint64_t seen, std::chrono::milliseconds timeout,
                         std::function<bool()> const& caller_gone) const;

    /// Versions of all objects whose keys start with the prefix.
    std::map<std::string, std::uint64_t> list(std::string const& prefix) const;

private:
    std::uint64_t version_of(std::string const& key) const;

    mutable std::mutex mutex_;
    mutable std::condition_variable changed_;
    std::uint64_t last_version_ = 0;
    std::map<std::string, stored_object> objects_;
};

} // namespace siskinusher::standins
