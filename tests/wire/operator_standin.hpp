#pragma once

#include "core/random_source.hpp"
#include "tests/wire/store_standin.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace siskinusher::standins
{

/// Stand-in for the operators: writes versions of the configuration, and remembers them. Each version changes
/// time limits, adds a route, removes one, or moves the route /moved/ between "plain" and "other". With
/// organisations, the route /moved/ is public, and versions also take keys away, add keys, and lower and
/// raise limits.
class operator_standin
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Writes version 1. The seed chooses the changes.
    operator_standin(store_standin& store, std::uint64_t seed, bool organisations = false);

    void write_next();
    /// Replaces a key of an organisation by a new one, or changes its limit between full and a third.
    void write_next_organisations();
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

    /// A key that never changes, of an organisation without a limit.
    static std::string steady_key() { return "key-0-0"; }
    /// Mostly a key that is in force; also one that was taken away lately, one that no version holds, and the
    /// empty text for none.
    std::string some_key(std::uint64_t random) const;
    std::set<std::string> all_keys() const;
    /// The organisation of a key, which never changes; empty when no version has held the key.
    std::string organisation_of(std::string const& key) const;
    bool holds_key(std::string const& key, std::size_t version) const;
    bool is_public(std::string const& prefix) const;
    /// True when a version written by `to` holds the key, and the store had not acknowledged a later version
    /// without it before `from`.
    bool held_within(std::string const& key, time_point from, time_point to) const;
    /// The highest `rate_per_s` x `window` + `burst` of the versions that were written by `to` and not yet
    /// replaced at `from`; nothing when one of them sets no limit.
    std::optional<double> limit_within(std::string const& organisation, std::chrono::duration<double> window,
                                       time_point from, time_point to) const;

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
    random_source organisation_random_; ///< Of its own, so that the other changes of a seed stay the same.
    std::map<std::string, std::string> organisation_of_key_; ///< Of every key that a version has held.
    std::vector<std::string> removed_keys_;
    std::vector<entry> entries_; ///< Version 1 is at index 0.
    unsigned last_added_ = 0;
};

} // namespace siskinusher::standins
