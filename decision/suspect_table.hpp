#pragma once

#include "core/steady_time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace siskinusher
{

/// Fingerprints of the requests that were running on a server when it died, and of those that are known to
/// crash servers. On the instance that issues the permits for a fingerprint, its home, the table also records
/// which instance holds the permit to run it.
class suspect_table
{
public:
    enum class status
    {
        clear,
        suspect,
        confirmed, ///< Crashed a server while it was the only suspect there.
    };

    /// An entry beyond `capacity` replaces the oldest suspect, or the oldest confirmed fingerprint when the
    /// table holds no suspect.
    explicit suspect_table(std::size_t capacity = 4096, duration lifetime = minutes(15));

    status status_of(steady_time now, std::uint64_t fingerprint) const;
    bool is_confirmed(std::uint64_t fingerprint) const;
    /// Time since the fingerprint became a suspect here; duration::max() when it is none.
    duration age_of(steady_time now, std::uint64_t fingerprint) const;
    std::size_t size() const { return entries_.size(); }

    /// Makes the fingerprint a suspect unless it is confirmed already.
    void suspect(steady_time now, std::uint64_t fingerprint);
    /// Records that the fingerprint is known to crash servers.
    void confirm(steady_time now, std::uint64_t fingerprint);

    /// Removes a suspect; a confirmed fingerprint stays. Returns whether there was a suspect.
    bool clear(std::uint64_t fingerprint);

    /// To be called on the home instance only. One permit is open at a time. Its holder may ask again for
    /// another request, because each instance runs only one request with this fingerprint at a time.
    bool grant_permit(steady_time now, std::uint64_t fingerprint, std::string const& holder,
                      std::uint64_t tag);
    /// Closes the holder's permit; a `tag` of zero matches any of its requests.
    void release_permit(std::uint64_t fingerprint, std::string const& holder, std::uint64_t tag);

    /// Closes the permits of instances that are not in the sorted list of live names.
    void release_absent_holders(std::vector<std::string> const& live);

    void expire(steady_time now);

private:
    struct entry
    {
        status state = status::suspect;
        steady_time since;
        std::uint64_t order = 0; ///< Rises with each insertion.
        std::string holder;      ///< Instance with the permit; empty when the permit is free.
        std::uint64_t tag = 0;   ///< Number of the request that the permit was granted for.
    };

    entry& insert(steady_time now, std::uint64_t fingerprint, status state);
    void erase(std::uint64_t fingerprint);
    std::map<std::uint64_t, std::uint64_t>& by_age(status state);

    std::size_t capacity_;
    duration lifetime_;
    std::uint64_t next_order_ = 0;
    std::unordered_map<std::uint64_t, entry> entries_;
    std::map<std::uint64_t, std::uint64_t> suspects_by_age_; ///< Fingerprints, by entry::order.
    std::map<std::uint64_t, std::uint64_t> confirmed_by_age_;
};

} // namespace siskinusher
