#pragma once

#include "core/steady_time.hpp"
#include "domain/action.hpp"
#include "domain/peer_message.hpp"
#include "domain/store_call.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace siskinusher
{

/// Limits of the call records; see section 3.2 of docs/design.md.
struct recorder_limits
{
    duration batch_delay = milliseconds{5};     ///< Time an operation waits for others to share its write.
    duration write_interval = milliseconds{50}; ///< Least time between two writes of one shard.
    duration park_time = milliseconds{800};     ///< Time a begin waits for a running call with the same key.
    duration operation_timeout = milliseconds{1500};
    std::size_t segment_bytes = 262144; ///< A larger segment is sealed.
    std::int64_t retention_s = 86400;   ///< Sealed segments are emptied after this time.
    std::size_t queue_length = 4096;    ///< Operations that may wait in one shard.
};

/// A begin or a finish of the call with one key. The result is returned with the same ticket.
struct shard_operation
{
    std::uint64_t ticket = 0;
    call_entry entry; ///< State `started` is a begin; `done` and `abandoned` are a finish.
};

struct shard_result
{
    std::uint64_t ticket = 0;
    call_start_outcome outcome{
        call_start_outcome::unavailable}; ///< A finish that was recorded gives `granted`.
    call_entry entry;                     ///< The recorded answer when the outcome is `replay`.
};

/// Commits operations on one shard of the call records. The shard is a log of entries in numbered segments.
/// Only the last segment is written, on the condition that it has not changed, so a successful write proves
/// that the writer has seen the whole log. Any instance may commit; the conditional write decides which one
/// succeeds.
class call_record_shard
{
public:
    call_record_shard(unsigned shard, recorder_limits limits, std::uint64_t seed);
    ~call_record_shard();
    call_record_shard(call_record_shard&&) noexcept;
    call_record_shard& operator=(call_record_shard&&) noexcept;
    call_record_shard(call_record_shard const&) = delete;
    call_record_shard& operator=(call_record_shard const&) = delete;

    /// Queues an operation. When the queue is full, the operation fails at once with `unavailable`.
    void submit(steady_time now, shard_operation operation);

    /// Handles the reply to this shard's only outstanding store call. Late replies have another tag and are
    /// ignored.
    void on_store_reply(steady_time now, store_reply const& reply);

    /// Sends the next store call when one is due and fails operations that waited too long.
    void on_tick(steady_time now, std::int64_t wall_clock_s, outbox& out);

    /// Results since the last call.
    std::vector<shard_result> take_results();

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

/// Key of the object that holds a segment.
std::string segment_key(unsigned shard, std::uint64_t segment);

} // namespace siskinusher
