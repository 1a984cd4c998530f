#include "decision/call_record_shard.hpp"

#include "core/invariant.hpp"
#include "core/random_source.hpp"

#include <algorithm>
#include <deque>
#include <iterator>
#include <map>
#include <unordered_map>
#include <utility>

namespace siskinusher
{

namespace
{

/// A cached position in the log that is older than this is read again from segment 0, so that expired entries
/// do not stay in memory for ever.
constexpr duration cache_lifetime = std::chrono::hours{1};

/// How often expired segments are looked for.
constexpr duration expiry_interval = seconds{60};

std::size_t stored_size(call_entry const& entry)
{
    constexpr std::size_t fixed_fields = 96;
    return fixed_fields + entry.key.size() + entry.content_type.size() + entry.body.size();
}

/// The result of applying an operation to the present state of the log.
struct evaluation
{
    shard_result result;
    bool append = false;    ///< The operation is written to the log.
    bool consistent = true; ///< False when a call ended whose start is not recorded.
};

} // namespace

std::string segment_key(unsigned shard, std::uint64_t segment)
{
    return "records/" + std::to_string(shard) + "/" + std::to_string(segment);
}

class call_record_shard::implementation
{
public:
    implementation(unsigned shard, recorder_limits limits, std::uint64_t seed)
        : shard_(shard), limits_(limits), random_(seed)
    {
    }

    void submit(steady_time now, shard_operation operation)
    {
        if (queue_.size() + parked_.size() >= limits_.queue_length)
        {
            fail(operation);
            return;
        }
        queue_.push_back({now, std::move(operation)});
    }

    void on_store_reply(steady_time now, store_reply const& reply)
    {
        if (call_ == call_kind::none || reply.tag != tag_)
        {
            return;
        }
        call_kind const kind = std::exchange(call_, call_kind::none);
        std::visit([&](auto const& result) { on_result(now, kind, result); }, reply.result);
    }

    void on_tick(steady_time now, std::int64_t wall_clock_s, outbox& out)
    {
        wall_clock_s_ = wall_clock_s;
        fail_overdue(now);
        if (call_ != call_kind::none && now - call_sent_ > call_timeout)
        {
            // The adapter answers every call; this covers a reply lost inside the process.
            call_ = call_kind::none;
            invalidate_position();
        }
        if (call_ != call_kind::none)
        {
            return;
        }
        if (position_known_ && now - position_read_ > cache_lifetime)
        {
            reload_from_root();
        }
        unpark(now);
        if (!queue_.empty())
        {
            advance(now, out);
        }
        else if (position_known_ && now - last_expiry_ > expiry_interval)
        {
            last_expiry_ = now;
            expire(now, out);
        }
    }

    std::vector<shard_result> take_results() { return std::exchange(results_, {}); }

private:
    static constexpr duration call_timeout = seconds{5};

    enum class call_kind
    {
        none,
        read,
        write,
        expire_mark,
        expire_clear,
    };

    struct queued_operation
    {
        steady_time since;
        shard_operation operation;
    };

    struct located_entry
    {
        std::uint64_t segment = 0;
        call_entry entry;
    };

    struct sealed_segment
    {
        std::uint64_t number = 0;
        object_version version = 0;
        std::int64_t sealed_at_s = 0;
    };

    void fail(shard_operation const& operation)
    {
        results_.push_back({operation.ticket, call_start_outcome::unavailable, {}});
    }

    /// Fails operations that waited too long. Those in the current batch wait for the reply to its store
    /// call.
    void fail_overdue(steady_time now)
    {
        while (!queue_.empty() && now - queue_.front().since > limits_.operation_timeout)
        {
            fail(queue_.front().operation);
            queue_.pop_front();
        }
    }

    /// Queues parked begins whose call has ended or that have waited for park_time.
    void unpark(steady_time now)
    {
        auto const due = [&](queued_operation const& each)
        {
            auto const known = latest_.find(each.operation.entry.key);
            bool const ended = known == latest_.end() || known->second.entry.state != call_state::started;
            return ended || now - each.since >= limits_.park_time;
        };
        auto const first = std::stable_partition(parked_.begin(), parked_.end(),
                                                 [&](queued_operation const& each) { return !due(each); });
        queue_.insert(queue_.end(), std::make_move_iterator(first), std::make_move_iterator(parked_.end()));
        parked_.erase(first, parked_.end());
    }

    void advance(steady_time now, outbox& out)
    {
        if (!position_known_)
        {
            send(now, out, call_kind::read, store_get{}, read_from_);
            return;
        }
        bool const batch_due = now - queue_.front().since >= limits_.batch_delay;
        bool const write_due = !ever_written_ || now - last_write_ >= limits_.write_interval;
        if (batch_due && write_due)
        {
            commit(now, out);
        }
    }

    void commit(steady_time now, outbox& out)
    {
        call_segment next = active_;
        std::unordered_map<std::string, call_entry> overlay;
        std::vector<shard_result> answers;
        std::deque<queued_operation> kept;
        inconsistent_ = 0;
        for (queued_operation const& queued : queue_)
        {
            evaluation outcome = evaluate(queued.operation, overlay);
            if (outcome.result.outcome == call_start_outcome::outcome_unknown &&
                now - queued.since < limits_.park_time)
            {
                // The call is running and may end soon: this begin then gets its recorded answer.
                parked_.push_back(queued);
                continue;
            }
            kept.push_back(queued);
            if (outcome.append)
            {
                next.entries.push_back(queued.operation.entry);
                overlay[queued.operation.entry.key] = queued.operation.entry;
            }
            answers.push_back(std::move(outcome.result));
            inconsistent_ += outcome.consistent ? 0U : 1U;
        }
        batch_answers_ = std::move(answers);
        queue_.clear();
        if (kept.empty())
        {
            return;
        }
        batch_ = std::move(kept);
        if (overlay.empty())
        {
            // There is nothing to write, but the answers are based on the cached view of the log. Reading the
            // last segment confirms that the view is current.
            confirming_ = true;
            send(now, out, call_kind::read, store_get{}, active_number_);
            return;
        }
        if (active_bytes_ + appended_bytes(next) > limits_.segment_bytes)
        {
            next.sealed = true;
            next.sealed_at_s = wall_clock_s_;
        }
        next.write_nonce = random_.next();
        pending_write_ = next;
        ever_written_ = true;
        last_write_ = now;
        send(now, out, call_kind::write, store_put{active_version_, std::move(next)}, active_number_);
    }

    std::size_t appended_bytes(call_segment const& next) const
    {
        std::size_t bytes = 0;
        for (std::size_t i = active_.entries.size(); i < next.entries.size(); ++i)
        {
            bytes += stored_size(next.entries[i]);
        }
        return bytes;
    }

    call_entry const* current(std::string const& key,
                              std::unordered_map<std::string, call_entry> const& overlay) const
    {
        if (auto const pending = overlay.find(key); pending != overlay.end())
        {
            return &pending->second;
        }
        auto const known = latest_.find(key);
        return known == latest_.end() ? nullptr : &known->second.entry;
    }

    evaluation evaluate(shard_operation const& operation,
                        std::unordered_map<std::string, call_entry> const& overlay) const
    {
        call_entry const* const state = current(operation.entry.key, overlay);
        if (operation.entry.state == call_state::started)
        {
            return evaluate_begin(operation, state);
        }
        return evaluate_finish(operation, state);
    }

    static evaluation evaluate_begin(shard_operation const& operation, call_entry const* state)
    {
        std::uint64_t const ticket = operation.ticket;
        if (state == nullptr)
        {
            return {shard_result{ticket, call_start_outcome::granted, {}}, true};
        }
        if (state->state == call_state::abandoned)
        {
            // A delayed begin of the abandoned request itself must not start the key again.
            bool const same_request = state->nonce == operation.entry.nonce;
            auto const outcome = same_request ? call_start_outcome::unavailable : call_start_outcome::granted;
            return {shard_result{ticket, outcome, {}}, !same_request};
        }
        if (state->body_digest != operation.entry.body_digest)
        {
            return {shard_result{ticket, call_start_outcome::key_reused, {}}, false};
        }
        if (state->state == call_state::done)
        {
            return {shard_result{ticket, call_start_outcome::replay, *state}, false};
        }
        bool const own = state->nonce == operation.entry.nonce;
        return {
            shard_result{ticket, own ? call_start_outcome::granted : call_start_outcome::outcome_unknown, {}},
            false};
    }

    static evaluation evaluate_finish(shard_operation const& operation, call_entry const* state)
    {
        shard_result const recorded{operation.ticket, call_start_outcome::granted, {}};
        bool const own = state != nullptr && state->nonce == operation.entry.nonce;
        if (operation.entry.state == call_state::abandoned)
        {
            // Without a recorded start, the abandoned entry prevents a start that arrives later.
            bool const append = state == nullptr || (own && state->state == call_state::started) ||
                                (!own && state->state == call_state::abandoned);
            return {recorded, append};
        }
        // The answer proves that the call ran, so it is recorded even if its start is not.
        bool const consistent = own && state->state != call_state::abandoned;
        return {recorded, !consistent || state->state == call_state::started, consistent};
    }

    void send(steady_time now, outbox& out, call_kind kind, store_operation operation, std::uint64_t segment)
    {
        call_ = kind;
        call_segment_number_ = segment;
        call_sent_ = now;
        ++sequence_;
        tag_ = (sequence_ << 8U) | shard_;
        out.emplace_back(
            store_request{store_owner::records, tag_, segment_key(shard_, segment), std::move(operation)});
    }

    void on_result(steady_time now, call_kind kind, store_found const& found)
    {
        auto const* const segment = std::get_if<call_segment>(&found.value);
        if (kind != call_kind::read || segment == nullptr)
        {
            invalidate_position();
            return;
        }
        if (confirming_ && call_segment_number_ == active_number_ && found.version == active_version_)
        {
            confirming_ = false;
            position_read_ = now;
            answer_batch();
            return;
        }
        requeue_batch();
        apply_segment(now, *segment, found.version);
    }

    void apply_segment(steady_time now, call_segment const& segment, object_version version)
    {
        std::uint64_t const number = call_segment_number_;
        for (call_entry const& entry : segment.entries)
        {
            latest_[entry.key] = {number, entry};
        }
        if (segment.sealed)
        {
            position_known_ = false;
            if (number == 0)
            {
                root_ = segment;
                root_version_ = version;
                sealed_.clear();
            }
            remember_sealed(number, version, segment.sealed_at_s);
            read_from_ = number == 0 ? segment.first_segment : number + 1;
            return;
        }
        set_active(now, number, version, segment);
    }

    void remember_sealed(std::uint64_t number, object_version version, std::int64_t sealed_at_s)
    {
        if (sealed_.empty() || sealed_.back().number < number)
        {
            sealed_.push_back({number, version, sealed_at_s});
        }
    }

    void set_active(steady_time now, std::uint64_t number, object_version version, call_segment segment)
    {
        active_number_ = number;
        active_version_ = version;
        active_ = std::move(segment);
        active_bytes_ = 0;
        for (call_entry const& entry : active_.entries)
        {
            active_bytes_ += stored_size(entry);
        }
        position_known_ = true;
        position_read_ = now;
        read_from_ = number;
    }

    void on_result(steady_time now, call_kind kind, store_absent const& /*absent*/)
    {
        if (kind == call_kind::read)
        {
            if (confirming_ && active_version_ == 0)
            {
                confirming_ = false;
                position_read_ = now;
                answer_batch();
                return;
            }
            requeue_batch();
            // All segments before this one are sealed, or this is the first one: the next write creates it.
            set_active(now, call_segment_number_, 0, {});
            return;
        }
        invalidate_position();
    }

    void on_result(steady_time now, call_kind kind, store_written const& written)
    {
        if (kind == call_kind::write)
        {
            accept_write(now, written.version);
        }
        else if (kind == call_kind::expire_mark)
        {
            root_ = pending_root_;
            root_version_ = written.version;
        }
        else if (kind == call_kind::expire_clear)
        {
            drop_first_sealed();
        }
    }

    void accept_write(steady_time now, object_version version)
    {
        for (std::size_t i = active_.entries.size(); i < pending_write_.entries.size(); ++i)
        {
            call_entry const& entry = pending_write_.entries[i];
            latest_[entry.key] = {active_number_, entry};
        }
        call_segment const written = std::exchange(pending_write_, {});
        if (written.sealed)
        {
            if (active_number_ == 0)
            {
                root_ = written;
                root_version_ = version;
            }
            remember_sealed(active_number_, version, written.sealed_at_s);
            set_active(now, active_number_ + 1, 0, {});
        }
        else
        {
            set_active(now, active_number_, version, written);
        }
        answer_batch();
    }

    void answer_batch()
    {
        // This is checked only here, because the cached view may be outdated until a write or a read has
        // confirmed it.
        check_invariant(inconsistent_ == 0, "I6.finish_without_start",
                        "shard=" + std::to_string(shard_) + " calls=" + std::to_string(inconsistent_));
        inconsistent_ = 0;
        for (shard_result& answer : batch_answers_)
        {
            results_.push_back(std::move(answer));
        }
        batch_answers_.clear();
        batch_.clear();
    }

    /// Puts the operations of a batch that was not committed back in front of the queue.
    void requeue_batch()
    {
        confirming_ = false;
        batch_answers_.clear();
        queue_.insert(queue_.begin(), std::make_move_iterator(batch_.begin()),
                      std::make_move_iterator(batch_.end()));
        batch_.clear();
    }

    void on_result(steady_time /*now*/, call_kind kind, store_conflict const& /*conflict*/)
    {
        if (kind == call_kind::write || kind == call_kind::read)
        {
            invalidate_position();
            return;
        }
        reload_from_root();
    }

    void on_result(steady_time /*now*/, call_kind /*kind*/, store_unchanged const& /*unchanged*/)
    {
        invalidate_position();
    }

    // A write without an answer may have taken effect. The segment is read again and the same operations are
    // evaluated again: a begin that finds its own nonce recorded is granted.
    void on_result(steady_time /*now*/, call_kind /*kind*/, store_unavailable const& /*unavailable*/)
    {
        invalidate_position();
    }

    void invalidate_position()
    {
        position_known_ = false;
        clear_oldest_next_ = false;
        requeue_batch();
    }

    void reload_from_root()
    {
        invalidate_position();
        read_from_ = 0;
        latest_.clear();
        sealed_.clear();
    }

    // An expired segment is emptied but never removed: the write of an instance with an old view of the log
    // must find the object and fail. Otherwise it would start a second log, in which a key could run again.
    void expire(steady_time now, outbox& out)
    {
        if (sealed_.empty() || wall_clock_s_ - sealed_.front().sealed_at_s < limits_.retention_s)
        {
            return;
        }
        sealed_segment const oldest = sealed_.front();
        if (clear_oldest_next_)
        {
            clear_oldest_next_ = false;
            call_segment cleared;
            cleared.sealed = true;
            cleared.sealed_at_s = oldest.sealed_at_s;
            cleared.write_nonce = random_.next();
            send(now, out, call_kind::expire_clear, store_put{oldest.version, std::move(cleared)},
                 oldest.number);
            return;
        }
        pending_root_ = root_;
        pending_root_.write_nonce = random_.next();
        if (oldest.number == 0)
        {
            pending_root_.entries.clear();
            drop_first_sealed();
        }
        else
        {
            pending_root_.first_segment = oldest.number + 1;
        }
        clear_oldest_next_ = oldest.number != 0;
        last_expiry_ = now - expiry_interval;
        send(now, out, call_kind::expire_mark, store_put{root_version_, pending_root_}, 0);
    }

    void drop_first_sealed()
    {
        if (sealed_.empty())
        {
            return;
        }
        drop_entries_of(sealed_.front().number);
        sealed_.erase(sealed_.begin());
    }

    void drop_entries_of(std::uint64_t segment)
    {
        for (auto entry = latest_.begin(); entry != latest_.end();)
        {
            entry = entry->second.segment == segment ? latest_.erase(entry) : std::next(entry);
        }
    }

    unsigned const shard_;
    recorder_limits const limits_;
    random_source random_;
    std::deque<queued_operation> queue_;
    std::vector<shard_result> results_;

    call_kind call_ = call_kind::none;
    std::uint64_t call_segment_number_ = 0;
    steady_time call_sent_{};
    std::uint64_t sequence_ = 0;
    std::uint64_t tag_ = 0;

    bool position_known_ = false;
    steady_time position_read_{};
    std::uint64_t read_from_ = 0;
    std::uint64_t active_number_ = 0;
    object_version active_version_ = 0;
    call_segment active_;
    std::size_t active_bytes_ = 0;
    std::unordered_map<std::string, located_entry> latest_;

    bool confirming_ = false;
    call_segment pending_write_;
    std::vector<shard_result> batch_answers_;
    std::deque<queued_operation> batch_;
    std::vector<queued_operation> parked_; ///< Begins that wait for the end of a call with the same key.
    std::size_t inconsistent_ = 0;         ///< Operations of the batch that were not consistent.
    bool ever_written_ = false;
    steady_time last_write_{};

    call_segment root_;
    call_segment pending_root_;
    object_version root_version_ = 0;
    std::vector<sealed_segment> sealed_;
    bool clear_oldest_next_ = false;
    std::int64_t wall_clock_s_ = 0;
    steady_time last_expiry_{};
};

call_record_shard::call_record_shard(unsigned shard, recorder_limits limits, std::uint64_t seed)
    : impl_(std::make_unique<implementation>(shard, limits, seed))
{
}

call_record_shard::~call_record_shard() = default;
call_record_shard::call_record_shard(call_record_shard&&) noexcept = default;
call_record_shard& call_record_shard::operator=(call_record_shard&&) noexcept = default;

void call_record_shard::submit(steady_time now, shard_operation operation)
{
    impl_->submit(now, std::move(operation));
}

void call_record_shard::on_store_reply(steady_time now, store_reply const& reply)
{
    impl_->on_store_reply(now, reply);
}

void call_record_shard::on_tick(steady_time now, std::int64_t wall_clock_s, outbox& out)
{
    impl_->on_tick(now, wall_clock_s, out);
}

std::vector<shard_result> call_record_shard::take_results()
{
    return impl_->take_results();
}

} // namespace siskinusher
