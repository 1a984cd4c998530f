#pragma once

#include "core/random_source.hpp"
#include "tests/wire/store_standin.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace siskinusher::standins
{

/// Stand-in for the operators: writes versions of the configuration, and remembers them. Each version changes
/// time limits, adds a route, removes one, or moves the route /moved/ between "plain" and "other".
class operator_standin
{
public:
    /// Writes version 1. The seed chooses the changes.
    operator_standin(store_standin& store, std::uint64_t seed);

    void write_next();
    /// Writes the newest version again, after the store has lost it.
    void write_again();

    /// Path prefix of a route that was added lately; it may have been removed again. `random` selects it.
    std::string added_prefix(std::uint64_t random) const;

    /// The newest version that the store had acknowledged at this time.
    std::size_t acknowledged_by(std::chrono::steady_clock::time_point when) const;
    /// The newest version whose write had begun at this time.
    std::size_t written_by(std::chrono::steady_clock::time_point when) const;
    /// The service of a route in a version; empty when the version has no such route.
    std::string service_of(std::string const& prefix, std::size_t version) const;
    /// Zero when the version has no such route.
    std::chrono::milliseconds time_limit_of(std::string const& prefix, std::size_t version) const;

private:
    struct entry
    {
        nlohmann::json config;
        std::chrono::steady_clock::time_point written; ///< Before the write.
        std::chrono::steady_clock::time_point acknowledged;
    };

    nlohmann::json field_of(std::string const& prefix, std::size_t version, char const* field) const;
    void write(nlohmann::json config);

    store_standin& store_;
    mutable std::mutex mutex_;
    random_source random_;
    std::vector<entry> entries_; ///< Version 1 is at index 0.
    unsigned last_added_ = 0;
};

} // namespace siskinusher::standins
