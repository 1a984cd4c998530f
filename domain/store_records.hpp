#pragma once

#include "domain/identifiers.hpp"
#include "domain/order.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace siskinusher
{

/// Value of the object dc/<data centre>: the lease on the data centre's engines and the orders that its
/// holder has recorded.
struct data_centre_record
{
    instance_id holder;
    std::uint64_t epoch = 0;            ///< Raised at each change of holder.
    std::vector<instance_id> confirmed; ///< Instances that may claim the lease.
    std::vector<instance_id> pending;   ///< Instances that the holder has yet to confirm.
    std::vector<intent> intents;        ///< Recorded and not yet settled.
    std::uint64_t write_nonce = 0;      ///< Tells the writer whether a write with a lost answer took effect.
};

/// One data centre's share of the replicas that one model may have.
struct quota_row
{
    unsigned granted = 0; ///< Replicas the data centre may have loaded or loading.
    unsigned wanted = 0;  ///< Replicas it asks for; other data centres release unused grants to it.
};

/// Value of the object quota: rows by model, then by data centre.
struct quota_record
{
    std::map<std::string, std::map<std::string, quota_row>> rows;
    std::uint64_t write_nonce = 0;
};

/// Progress of one recorded call.
enum class call_state
{
    started,
    done,
    abandoned, ///< Proven not to have run: the key may be used again.
};

/// One call with an idempotency key in an object records/<shard>/<segment>.
struct call_entry
{
    std::string key;
    std::uint64_t body_digest = 0;
    std::uint64_t nonce = 0; ///< Drawn at random by the instance that makes the call.
    call_state state{call_state::started};
    int status = 0; ///< HTTP status of the answer, when done.
    std::string content_type;
    std::string body;      ///< Empty when body_kept is false.
    bool body_kept = true; ///< False for answers over the size limit.
};

/// Value of an object records/<shard>/<segment>.
struct call_segment
{
    std::vector<call_entry> entries;
    bool sealed = false;          ///< Takes no further entries; they go to the next segment.
    std::int64_t sealed_at_s = 0; ///< Wall clock seconds since 1970 of the sealing instance, for expiry only.
    std::uint64_t first_segment = 1; ///< Segment 0 only: the first later segment that has not expired.
    std::uint64_t write_nonce = 0;
};

bool operator==(data_centre_record const& a, data_centre_record const& b);
bool operator==(quota_row const& a, quota_row const& b);
bool operator==(quota_record const& a, quota_record const& b);
bool operator==(call_entry const& a, call_entry const& b);
bool operator==(call_segment const& a, call_segment const& b);

} // namespace siskinusher
