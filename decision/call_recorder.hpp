#pragma once

#include "decision/call_record_shard.hpp"
#include "domain/call_start.hpp"
#include "domain/member.hpp"

#include <memory>
#include <string>
#include <vector>

namespace siskinusher
{

/// Number of shards of the call records. Keys are assigned to shards by hash, so changing this number
/// requires a migration of the stored objects.
constexpr unsigned record_shard_count = 16;

struct recorder_settings
{
    std::string self; ///< Name of this instance.
    recorder_limits limits;
    duration committer_timeout = milliseconds{300}; ///< After this, the instance commits itself.
    duration begin_timeout = milliseconds{2000};    ///< After this, the begin fails as `unavailable`.
    duration finish_retry_interval = milliseconds{1000};
    std::size_t max_pending_finishes = 4096;
};

/// Records the start of each keyed call before it is made, and its answer afterwards. One instance, the
/// committer, normally writes each shard: a recorder sends its operations to the committer of the key's
/// shard, and commits the operations of other instances for the shards of which its own instance is the
/// committer.
class call_recorder
{
public:
    call_recorder(recorder_settings settings, std::uint64_t seed);
    ~call_recorder();
    call_recorder(call_recorder const&) = delete;
    call_recorder& operator=(call_recorder const&) = delete;

    /// Records the start of a call; the outcome is returned by take_results().
    void begin(steady_time now, call_start const& start, outbox& out);

    /// Records that a call ended. The operation is repeated until it is recorded.
    void finish(steady_time now, call_entry const& entry, outbox& out);

    void on_tick(steady_time now, std::int64_t wall_clock_s, outbox& out);
    void on_store_reply(steady_time now, store_reply const& reply, outbox& out);
    void on_peer(steady_time now, instance_id const& from, peer_message const& message, outbox& out);
    void on_members(steady_time now, std::vector<member> const& members);

    /// Returns the outcomes of begins since the last call of take_results().
    std::vector<call_start_result> take_results();

    /// True when the end of every call has been recorded and no peer waits for a result. A graceful shutdown
    /// waits for this.
    bool idle() const;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

/// The shard that a key belongs to.
unsigned record_shard_of(std::string const& key);

} // namespace siskinusher
