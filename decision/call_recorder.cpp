#include "decision/call_recorder.hpp"

#include "core/hash.hpp"

#include <map>
#include <unordered_map>
#include <utility>

namespace siskinusher
{

unsigned record_shard_of(std::string const& key)
{
    return static_cast<unsigned>(stable_hash(key) % record_shard_count);
}

class call_recorder::implementation
{
public:
    implementation(recorder_settings settings, std::uint64_t seed)
        : settings_(std::move(settings)), next_ticket_(seed | 1U)
    {
        for (unsigned shard = 0; shard < record_shard_count; ++shard)
        {
            shards_.emplace_back(shard, settings_.limits, seed + shard + 1);
        }
    }

    void begin(steady_time now, call_start const& start, outbox& out)
    {
        std::uint64_t const ticket = next_ticket_++;
        begins_.emplace(ticket, pending_begin{start, now, false});
        send_to_committer(now, ticket, start.entry, out);
    }

    void finish(steady_time now, call_entry const& entry, outbox& out)
    {
        if (finishes_.size() >= settings_.max_pending_finishes)
        {
            // The call stays recorded as "started". The caller that sends it again is told that its outcome
            // is unknown, which is safe.
            out.emplace_back(log_event{"record_finish_dropped", {{"key", entry.key}}});
            out.emplace_back(count_metric{"siskin_record_finishes_dropped_total", "", 1});
            return;
        }
        std::uint64_t const ticket = next_ticket_++;
        finishes_.emplace(ticket, pending_finish{entry, now, 0});
        send_to_committer(now, ticket, entry, out);
    }

    void on_tick(steady_time now, std::int64_t wall_clock_s, outbox& out)
    {
        check_begins(now);
        check_finishes(now);
        for (call_record_shard& shard : shards_)
        {
            shard.on_tick(now, wall_clock_s, out);
        }
        collect(out);
    }

    void on_store_reply(steady_time now, store_reply const& reply, outbox& out)
    {
        auto const shard = static_cast<unsigned>(reply.tag & 0xFFU);
        if (shard >= shards_.size())
        {
            return;
        }
        shards_[shard].on_store_reply(now, reply);
        collect(out);
    }

    void on_peer(steady_time now, instance_id const& from, peer_message const& message, outbox& out)
    {
        if (auto const* const begin = std::get_if<record_begin>(&message))
        {
            commit_for_peer(now, from.name, begin->tag, begin->entry);
        }
        else if (auto const* const finish = std::get_if<record_finish>(&message))
        {
            commit_for_peer(now, from.name, finish->tag, finish->entry);
        }
        else if (auto const* const result = std::get_if<record_result>(&message))
        {
            handle_outcome(now, result->tag, result->outcome, result->entry, true);
        }
        collect(out);
    }

    void on_members(std::vector<member> const& members)
    {
        member_names_.clear();
        for (member const& each : members)
        {
            if (!each.draining || each.id.name == settings_.self)
            {
                member_names_.push_back(each.id.name);
            }
        }
    }

    std::vector<call_start_result> take_results() { return std::exchange(results_, {}); }

    bool idle() const { return finishes_.empty() && peer_tickets_.empty(); }

private:
    struct pending_begin
    {
        call_start start;
        steady_time since;
        bool local = false; ///< Handed to the local shard because the committer did not answer.
    };

    struct pending_finish
    {
        call_entry entry;
        steady_time last_try;
        unsigned tries = 0;
    };

    struct peer_ticket
    {
        std::string instance;
        std::uint64_t tag = 0;
    };

    std::string committer_of(unsigned shard) const
    {
        std::string const first = rendezvous_first("records/" + std::to_string(shard), member_names_);
        return first.empty() ? settings_.self : first;
    }

    void send_to_committer(steady_time now, std::uint64_t ticket, call_entry const& entry, outbox& out)
    {
        unsigned const shard = record_shard_of(entry.key);
        std::string const committer = committer_of(shard);
        if (committer == settings_.self)
        {
            commit_locally(now, ticket, entry);
            return;
        }
        if (entry.state == call_state::started)
        {
            out.emplace_back(send_peer{committer, record_begin{ticket, entry}});
        }
        else
        {
            out.emplace_back(send_peer{committer, record_finish{ticket, entry}});
        }
    }

    void commit_locally(steady_time now, std::uint64_t ticket, call_entry const& entry)
    {
        if (auto const begin = begins_.find(ticket); begin != begins_.end())
        {
            begin->second.local = true;
        }
        shards_[record_shard_of(entry.key)].submit(now, {ticket, entry});
    }

    void commit_for_peer(steady_time now, std::string const& instance, std::uint64_t tag,
                         call_entry const& entry)
    {
        std::uint64_t const ticket = next_ticket_++;
        peer_tickets_[ticket] = {instance, tag};
        shards_[record_shard_of(entry.key)].submit(now, {ticket, entry});
    }

    void check_begins(steady_time now)
    {
        std::vector<std::pair<std::uint64_t, call_entry>> overdue;
        for (auto begin = begins_.begin(); begin != begins_.end();)
        {
            pending_begin const& pending = begin->second;
            if (now - pending.since >= settings_.begin_timeout)
            {
                results_.push_back({pending.start.number, call_start_outcome::unavailable, {}});
                begin = begins_.erase(begin);
                continue;
            }
            if (!pending.local && now - pending.since >= settings_.committer_timeout)
            {
                overdue.emplace_back(begin->first, pending.start.entry);
            }
            ++begin;
        }
        for (auto const& each : overdue)
        {
            commit_locally(now, each.first, each.second);
        }
    }

    void check_finishes(steady_time now)
    {
        for (auto& each : finishes_)
        {
            pending_finish& pending = each.second;
            if (now - pending.last_try < settings_.finish_retry_interval)
            {
                continue;
            }
            pending.last_try = now;
            ++pending.tries;
            commit_locally(now, each.first, pending.entry);
        }
    }

    void collect(outbox& out)
    {
        for (call_record_shard& shard : shards_)
        {
            for (shard_result& result : shard.take_results())
            {
                deliver(std::move(result), out);
            }
        }
    }

    void deliver(shard_result result, outbox& out)
    {
        if (auto const peer = peer_tickets_.find(result.ticket); peer != peer_tickets_.end())
        {
            out.emplace_back(send_peer{peer->second.instance, record_result{peer->second.tag, result.outcome,
                                                                            std::move(result.entry)}});
            peer_tickets_.erase(peer);
            return;
        }
        handle_outcome({}, result.ticket, result.outcome, result.entry, false);
    }

    void handle_outcome(steady_time now, std::uint64_t ticket, call_start_outcome outcome,
                        call_entry const& entry, bool from_peer)
    {
        if (auto const finish = finishes_.find(ticket); finish != finishes_.end())
        {
            if (outcome == call_start_outcome::granted)
            {
                finishes_.erase(finish);
            }
            return;
        }
        auto const begin = begins_.find(ticket);
        if (begin == begins_.end())
        {
            return; // The begin timed out and its caller was refused; the start is being abandoned.
        }
        if (outcome == call_start_outcome::unavailable && from_peer && !begin->second.local)
        {
            // The committer may be cut off from the object store while this instance is not.
            commit_locally(now, ticket, begin->second.start.entry);
            return;
        }
        results_.push_back({begin->second.start.number, outcome, entry});
        begins_.erase(begin);
    }

    recorder_settings const settings_;
    std::uint64_t next_ticket_;
    std::vector<call_record_shard> shards_;
    std::vector<std::string> member_names_;
    std::unordered_map<std::uint64_t, pending_begin> begins_;
    std::unordered_map<std::uint64_t, pending_finish> finishes_;
    std::unordered_map<std::uint64_t, peer_ticket> peer_tickets_;
    std::vector<call_start_result> results_;
};

call_recorder::call_recorder(recorder_settings settings, std::uint64_t seed)
    : impl_(std::make_unique<implementation>(std::move(settings), seed))
{
}

call_recorder::~call_recorder() = default;

void call_recorder::begin(steady_time now, call_start const& start, outbox& out)
{
    impl_->begin(now, start, out);
}

void call_recorder::finish(steady_time now, call_entry const& entry, outbox& out)
{
    impl_->finish(now, entry, out);
}

void call_recorder::on_tick(steady_time now, std::int64_t wall_clock_s, outbox& out)
{
    impl_->on_tick(now, wall_clock_s, out);
}

void call_recorder::on_store_reply(steady_time now, store_reply const& reply, outbox& out)
{
    impl_->on_store_reply(now, reply, out);
}

void call_recorder::on_peer(steady_time now, instance_id const& from, peer_message const& message,
                            outbox& out)
{
    impl_->on_peer(now, from, message, out);
}

void call_recorder::on_members(steady_time /*now*/, std::vector<member> const& members)
{
    impl_->on_members(members);
}

std::vector<call_start_result> call_recorder::take_results()
{
    return impl_->take_results();
}

bool call_recorder::idle() const
{
    return impl_->idle();
}

} // namespace siskinusher
