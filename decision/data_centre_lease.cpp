#include "decision/data_centre_lease.hpp"

#include "core/random_source.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace siskinusher
{

namespace
{

// An instance that sent a message within this time is alive, even if the lagging instance list omits it.
constexpr duration contact_validity = seconds{3};
// An incarnation counts as replaced when it had been silent for replaced_after_silence before the first
// message of another one arrived, or when messages of another one have arrived for replaced_after_contact.
// Both are longer than it takes to handle the messages that queued up while this instance was paused.
constexpr duration replaced_after_silence = seconds{1};
constexpr duration replaced_after_contact = seconds{2};
// An instance that the list omits for this long is gone. A restart under the same name leaves a shorter gap.
constexpr duration omission_time = seconds{3};
constexpr duration promise_resend_interval = milliseconds{300};
// Interval between the calls to a store that does not answer.
constexpr duration outage_interval = seconds{1};
constexpr duration join_interval = seconds{1};
// Older writes cannot extend the lease: 32 outage intervals exceed the term.
constexpr std::size_t max_tracked_writes = 32;
constexpr std::size_t max_operations = 256;
// About a week of replaced instances at the target fleet size.
constexpr std::size_t max_gone_instances = 1024;
constexpr std::size_t relays_per_write = 2;

duration scaled(duration value, double factor)
{
    return duration{static_cast<duration::rep>(static_cast<double>(value.count()) * factor)};
}

bool contains(std::vector<instance_id> const& list, instance_id const& id)
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

void erase(std::vector<instance_id>& list, instance_id const& id)
{
    list.erase(std::remove(list.begin(), list.end(), id), list.end());
}

struct tracked_write
{
    std::uint64_t nonce = 0;
    steady_time sent{};
    object_version expected = 0;
    data_centre_record record;
};

enum class operation_kind
{
    read,
    write,       ///< Renewal or claim: may extend the lease.
    join,        ///< Adds this instance to pending.
    relay,       ///< A write made on behalf of the holder.
    relay_check, ///< A read after a relayed write met a conflict.
};

struct operation
{
    operation_kind kind{operation_kind::read};
    steady_time sent{};
    std::uint64_t nonce = 0; ///< Nonce of a write; tag of a read.
    instance_id relay_for;
};

struct known_instance
{
    bool contacted = false;
    steady_time first_known{};
    steady_time last_contact{};
    std::optional<steady_time> successor_since; ///< Since when messages of `successor` have come.
    instance_id successor; ///< Another incarnation of the same name, which may have replaced this one.
};

struct promise_round
{
    std::uint64_t number = 0;
    steady_time asked{};
    steady_time last_send{};
    std::set<instance_id> members; ///< All members that must promise.
    std::set<instance_id> awaited; ///< Members that have not promised yet.
    std::vector<intent> intents;
    bool complete = false;
};

} // namespace

class data_centre_lease::implementation
{
public:
    implementation(data_centre_lease_settings settings, std::uint64_t seed)
        : settings_(std::move(settings)), random_(seed), key_("dc/" + settings_.data_centre),
          holder_term_(scaled(settings_.term, 1.0 - settings_.clock_drift)),
          observer_term_(scaled(settings_.term, 1.0 + settings_.clock_drift)),
          order_lifetime_(scaled(order_lifetime, 1.0 + settings_.clock_drift))
    {
    }

    void on_tick(steady_time now, outbox& out)
    {
        drop_old_state();
        update_gone_members(now);
        if (is_holder() && !released_)
        {
            tick_holder(now, out);
            return;
        }
        bool const waiting = read_in_flight_ && now < last_read_ + outage_interval;
        if (!waiting && now >= next_read_)
        {
            read(now, out);
        }
    }

    void on_store_reply(steady_time now, store_reply const& reply, outbox& out)
    {
        auto const found = operations_.find(reply.tag);
        if (found == operations_.end())
        {
            return;
        }
        operation const op = found->second;
        operations_.erase(found);
        bool const answered = !std::holds_alternative<store_unavailable>(reply.result);
        if (answered)
        {
            last_answer_ = now;
        }
        switch (op.kind)
        {
        case operation_kind::read:
            read_in_flight_ = false;
            on_read(now, reply, op, out);
            break;
        case operation_kind::write:
            on_write(now, reply, op, out);
            break;
        case operation_kind::join:
            next_read_ = now;
            break;
        case operation_kind::relay:
        case operation_kind::relay_check:
            on_relayed(now, reply, op, out);
            break;
        }
    }

    void on_peer(steady_time now, instance_id const& from, peer_message const& message, outbox& out)
    {
        on_incarnation(now, from);
        if (gone_.count(from) != 0)
        {
            return; // A late message does not prove that an instance that counts as gone is alive.
        }
        if (auto const* request = std::get_if<promise_request>(&message))
        {
            on_promise_request(now, from, *request, out);
        }
        else if (auto const* reply = std::get_if<promise_reply>(&message))
        {
            on_promise_reply(now, from, *reply, out);
        }
        else if (auto const* relay = std::get_if<relay_write>(&message))
        {
            operation op{operation_kind::relay, now, relay->record.write_nonce, from};
            send(now, op, store_put{relay->expected, relay->record}, out);
        }
        else if (auto const* result = std::get_if<relay_result>(&message))
        {
            tracked_write const* write = find_write(result->round);
            if (result->written && write != nullptr && is_holder() && write->expected == version_)
            {
                tracked_write const applied = *write;
                last_applied_tag_ = last_tag_ + 1; // Reads in flight may be older than this result.
                accept_own_write(now, applied, applied.record, result->version, out);
            }
        }
        else if (auto const* settled = std::get_if<intent_settled>(&message))
        {
            for (auto id : settled->intent_ids)
            {
                auto const promised = promised_intents_.find(id);
                if (promised != promised_intents_.end() && promised->second.issuer == from)
                {
                    promised_intents_.erase(promised);
                }
            }
        }
    }

    void on_incarnation(steady_time now, instance_id const& seen)
    {
        if (gone_.count(seen) != 0 || seen == settings_.self)
        {
            return;
        }
        known_instance& known = known_.emplace(seen, known_instance{false, now, now, {}, {}}).first->second;
        bool const first = !known.contacted;
        known.contacted = true;
        known.last_contact = now;
        known.successor_since.reset();
        std::vector<instance_id> replaced;
        for (auto it = known_.lower_bound({seen.name, 0}); it != known_.end() && it->first.name == seen.name;
             ++it)
        {
            if (it->first != seen && replaced_by(now, it->second, seen, first))
            {
                replaced.push_back(it->first);
            }
        }
        for (auto const& id : replaced)
        {
            mark_gone(now, id);
        }
    }

    void on_instances(steady_time now, std::vector<listed_server> const& servers)
    {
        std::set<std::string> listed;
        for (auto const& server : servers)
        {
            if (server.kind == listed_kind::instance)
            {
                listed.insert(server.name);
            }
        }
        self_listed_ = self_listed_ || listed.count(settings_.self.name) != 0;
        ever_listed_.insert(listed.begin(), listed.end());
        // A list that omits this live instance is out of date or wrong, so it proves no other instance gone.
        if (listed.count(settings_.self.name) == 0)
        {
            omitted_since_.clear();
            return;
        }
        std::map<instance_id, steady_time> still_omitted;
        for (auto const& member : recorded_members())
        {
            if (listed.count(member.name) == 0)
            {
                auto const before = omitted_since_.find(member);
                still_omitted[member] = before == omitted_since_.end() ? now : before->second;
                auto const known = known_.find(member);
                bool const recently_heard = known != known_.end() && known->second.contacted &&
                                            now < known->second.last_contact + contact_validity;
                if (!recently_heard && now >= still_omitted[member] + omission_time)
                {
                    mark_gone(now, member);
                }
            }
        }
        omitted_since_ = std::move(still_omitted);
    }

    void add_intent(intent const& what)
    {
        open_intents_[what.id] = what;
        write_due_ = true;
    }
    void remove_intent(std::uint64_t id)
    {
        open_intents_.erase(id);
        durable_ids_.erase(id);
        promised_intents_.erase(id);
    }
    bool is_durable(std::uint64_t id) const { return durable_ids_.count(id) != 0; }
    std::vector<intent> intents() const { return values(open_intents_); }
    std::vector<intent> const& recorded_intents() const
    {
        static std::vector<intent> const none;
        return record_ ? record_->intents : none;
    }

    void release(steady_time now, outbox& out)
    {
        if (released_)
        {
            return;
        }
        released_ = true;
        if (!is_holder() || !holds(now))
        {
            lease_until_ = steady_time{};
            return;
        }
        lease_until_ = steady_time{};
        write_release(now, out);
        log(out, "lease_released", {});
    }

    bool holds(steady_time now) const
    {
        return is_holder() && !released_ && now < lease_until_ && now >= promised_until_;
    }
    bool is_holder() const { return record_ && record_->holder == settings_.self; }
    steady_time lease_until() const { return lease_until_; }
    std::uint64_t epoch() const { return record_ ? record_->epoch : 0; }
    instance_id holder() const { return record_ ? record_->holder : instance_id{}; }
    bool store_reached(steady_time now) const { return last_answer_ && now < *last_answer_ + settings_.term; }
    std::optional<steady_time> proven_gone_at(instance_id const& id) const
    {
        auto const found = gone_.find(id);
        return found == gone_.end() ? std::nullopt : std::optional<steady_time>{found->second};
    }

private:
    /// An empty holder lets a confirmed member claim without waiting for the end of the lease.
    void write_release(steady_time now, outbox& out)
    {
        data_centre_record next = next_record();
        next.holder = instance_id{};
        erase(next.confirmed, settings_.self);
        write(now, std::move(next), out);
    }

    static std::vector<intent> values(std::map<std::uint64_t, intent> const& source)
    {
        std::vector<intent> list;
        list.reserve(source.size());
        for (auto const& entry : source)
        {
            list.push_back(entry.second);
        }
        return list;
    }

    void log(outbox& out, char const* name, std::vector<std::pair<std::string, std::string>> fields) const
    {
        fields.emplace_back("data_centre", settings_.data_centre);
        fields.emplace_back("epoch", std::to_string(epoch()));
        out.emplace_back(log_event{name, std::move(fields)});
    }

    // --- membership ---

    std::set<instance_id> recorded_members() const
    {
        std::set<instance_id> all;
        if (record_)
        {
            all.insert(record_->confirmed.begin(), record_->confirmed.end());
            all.insert(record_->pending.begin(), record_->pending.end());
            if (!record_->holder.name.empty())
            {
                all.insert(record_->holder);
            }
            for (auto const& item : record_->intents)
            {
                all.insert(item.issuer);
            }
        }
        for (auto const& entry : open_intents_)
        {
            all.insert(entry.second.issuer);
        }
        return all;
    }

    /// Decides whether a message from `seen` proves that another incarnation of its name, `known`, is gone. A
    /// late message may come from the older incarnation. One message is therefore enough only when it is the
    /// first of `seen` and `known` has been silent for replaced_after_silence; otherwise messages of `seen`
    /// must have come for replaced_after_contact.
    static bool replaced_by(steady_time now, known_instance& known, instance_id const& seen, bool first)
    {
        if (first && known.contacted && now >= known.last_contact + replaced_after_silence)
        {
            return true;
        }
        if (now < known.first_known + contact_validity)
        {
            return false;
        }
        if (!known.successor_since || known.successor != seen)
        {
            known.successor_since = now;
            known.successor = seen;
        }
        return now >= *known.successor_since + replaced_after_contact;
    }

    /// Starts to track recorded members that were not known before.
    void note_known_members(steady_time now)
    {
        for (auto const& id : recorded_members())
        {
            if (gone_.count(id) == 0 && id != settings_.self)
            {
                known_.emplace(id, known_instance{false, now, now, {}, {}});
            }
        }
    }

    void mark_gone_if_replaced(steady_time now, instance_id const& member, instance_id const& seen)
    {
        if (member.name == seen.name && member != seen)
        {
            mark_gone(now, member);
        }
    }

    void mark_gone(steady_time now, instance_id const& id)
    {
        if (id == settings_.self)
        {
            return;
        }
        gone_.emplace(id, now);
        known_.erase(id);
    }

    void update_gone_members(steady_time now)
    {
        // This instance runs, so every other incarnation of its own name is gone.
        for (auto const& member : recorded_members())
        {
            mark_gone_if_replaced(now, member, settings_.self);
        }
        bool all_gone = record_.has_value();
        if (record_)
        {
            for (auto const& member : record_->confirmed)
            {
                all_gone = all_gone && gone_.count(member) != 0;
            }
            bool const held = !record_->holder.name.empty();
            all_gone = all_gone && (!held || gone_.count(record_->holder) != 0);
        }
        if (!all_gone)
        {
            all_gone_since_.reset();
        }
        else if (!all_gone_since_)
        {
            all_gone_since_ = now;
        }
    }

    // --- store ---

    void send(steady_time now, operation const& op, store_operation what, outbox& out)
    {
        (void)now;
        operations_[++last_tag_] = op;
        out.emplace_back(store_request{store_owner::lease, last_tag_, key_, std::move(what)});
    }

    void drop_old_state()
    {
        if (gone_.size() > max_gone_instances)
        {
            auto const members = recorded_members();
            for (auto it = gone_.begin(); it != gone_.end();)
            {
                it = members.count(it->first) == 0 ? gone_.erase(it) : std::next(it);
            }
        }
        while (operations_.size() > max_operations)
        {
            operations_.erase(operations_.begin());
        }
    }

    void read(steady_time now, outbox& out)
    {
        read_in_flight_ = true;
        last_read_ = now;
        next_read_ = now + settings_.renew_interval;
        send(now, {operation_kind::read, now, last_tag_ + 1, {}}, store_get{}, out);
    }

    void write(steady_time now, data_centre_record record, outbox& out)
    {
        record.write_nonce = random_.next();
        writes_.push_back({record.write_nonce, now, version_, record});
        if (writes_.size() > max_tracked_writes)
        {
            writes_.erase(writes_.begin());
        }
        // Until the outcome is known, everyone this write confirms may already be confirmed.
        maybe_confirmed_.insert(record.confirmed.begin(), record.confirmed.end());
        last_write_ = now;
        write_answered_ = false;
        operation const op{operation_kind::write, now, record.write_nonce, {}};
        send(now, op, store_put{version_, std::move(record)}, out);
    }

    tracked_write const* find_write(std::uint64_t nonce) const
    {
        for (auto const& item : writes_)
        {
            if (item.nonce == nonce)
            {
                return &item;
            }
        }
        return nullptr;
    }

    void on_read(steady_time now, store_reply const& reply, operation const& op, outbox& out)
    {
        if (op.nonce < last_applied_tag_)
        {
            return; // The answer to a later call has been applied already.
        }
        if (std::holds_alternative<store_absent>(reply.result))
        {
            on_record_absent(now, out);
            return;
        }
        auto const* found = std::get_if<store_found>(&reply.result);
        auto const* record = found == nullptr ? nullptr : std::get_if<data_centre_record>(&found->value);
        if (record == nullptr)
        {
            if (is_holder())
            {
                // Without an answer the lease would expire.
                next_read_ = std::min(next_read_, now + settings_.answer_timeout);
            }
            return;
        }
        if (record_ && record->epoch < record_->epoch)
        {
            log(out, "lease_record_regressed", {{"seen_epoch", std::to_string(record->epoch)}});
            return;
        }
        last_applied_tag_ = op.nonce;
        tracked_write const* mine = find_write(record->write_nonce);
        if (mine != nullptr)
        {
            tracked_write const applied = *mine;
            accept_own_write(now, applied, *record, found->version, out);
        }
        else
        {
            accept_foreign_write(now, *record, found->version, out);
        }
        after_read(now, out);
    }

    void on_record_absent(steady_time now, outbox& out)
    {
        if (record_ || released_ || !self_listed_)
        {
            return; // A record that has disappeared is not recreated: its holder may still be active.
        }
        version_ = 0;
        data_centre_record first;
        first.holder = settings_.self;
        first.epoch = 1;
        first.confirmed = {settings_.self};
        write(now, std::move(first), out);
    }

    void after_read(steady_time now, outbox& out)
    {
        if (is_holder() && released_)
        {
            write_release(now, out); // The first release conflicted with a write in flight.
        }
        if (is_holder() || released_)
        {
            return;
        }
        update_gone_members(now);
        bool const confirmed = contains(record_->confirmed, settings_.self);
        bool const vacant = record_->holder.name.empty();
        bool const term_elapsed = now >= holder_write_seen_at_ + observer_term_;
        bool const promised = now < promised_until_;
        bool const orphaned =
            self_listed_ && all_gone_since_ && now >= *all_gone_since_ + order_lifetime_ && term_elapsed;
        if (!promised && ((confirmed && (term_elapsed || vacant)) || orphaned))
        {
            claim(now, out);
            return;
        }
        if (!confirmed && !contains(record_->pending, settings_.self) && now >= next_join_ && self_listed_)
        {
            next_join_ = now + join_interval + microseconds{random_.below(join_interval.count())};
            data_centre_record next = *record_;
            next.pending.push_back(settings_.self);
            // This write keeps the nonce of the holder. Claimants see from the nonce when the holder wrote
            // last, and the holder sees that its last write took effect. With a nonce of its own, an instance
            // that keeps restarting would delay every claim.
            operation const op{operation_kind::join, now, next.write_nonce, {}};
            send(now, op, store_put{version_, std::move(next)}, out);
        }
        if (!term_elapsed)
        {
            steady_time const due =
                holder_write_seen_at_ + observer_term_ + microseconds{random_.below(100000)};
            next_read_ = std::min(next_read_, due);
        }
    }

    void claim(steady_time now, outbox& out)
    {
        data_centre_record next = *record_;
        next.holder = settings_.self;
        next.epoch = record_->epoch + 1;
        if (!contains(next.confirmed, settings_.self))
        {
            next.confirmed.push_back(settings_.self);
        }
        erase(next.pending, settings_.self);
        std::map<std::uint64_t, intent> all = promised_intents_;
        for (auto const& item : record_->intents)
        {
            all[item.id] = item;
        }
        next.intents = values(all);
        write(now, std::move(next), out);
        log(out, "lease_claim_sent", {{"previous_holder", record_->holder.name}});
    }

    void on_write(steady_time now, store_reply const& reply, operation const& op, outbox& out)
    {
        if (auto const* written = std::get_if<store_written>(&reply.result))
        {
            tracked_write const* write = find_write(op.nonce);
            if (write != nullptr && (!record_ || write->record.epoch >= record_->epoch) &&
                (write->expected == version_))
            {
                last_applied_tag_ = std::max(last_applied_tag_, reply.tag);
                tracked_write const applied = *write;
                accept_own_write(now, applied, applied.record, written->version, out);
                return;
            }
        }
        if (std::holds_alternative<store_unavailable>(reply.result))
        {
            if (op.nonce == last_nonce())
            {
                write_failed_ = true;
                next_read_ = now;
            }
            return;
        }
        read(now, out);
    }

    std::uint64_t last_nonce() const { return writes_.empty() ? 0 : writes_.back().nonce; }

    /// `record` is the content of the object: the write, to which other instances may have added themselves
    /// as pending members.
    void accept_own_write(steady_time now, tracked_write const& write, data_centre_record const& record,
                          object_version version, outbox& out)
    {
        bool const new_epoch = !record_ || write.record.epoch != record_->epoch;
        if (!record_ || record_->write_nonce != record.write_nonce)
        {
            holder_write_seen_at_ = now;
        }
        record_ = record;
        version_ = version;
        note_known_members(now);
        maybe_confirmed_.clear();
        write_answered_ = true;
        write_failed_ = false;
        if (record_->holder != settings_.self)
        {
            return; // This write released the lease.
        }
        if (new_epoch)
        {
            take_over(out);
        }
        for (auto const& item : record_->intents)
        {
            if (open_intents_.count(item.id) != 0)
            {
                durable_ids_.insert(item.id);
            }
        }
        // A write sent before a promise of this instance expired does not give the lease: the holder to which
        // it promised may still be active.
        if (write.sent >= promised_until_)
        {
            lease_until_ = std::max(lease_until_, write.sent + holder_term_);
        }
    }

    /// Starts an epoch of this instance with the intents of the record and those kept by promise for the last
    /// holder.
    void take_over(outbox& out)
    {
        open_intents_.clear();
        durable_ids_.clear();
        for (auto const& item : record_->intents)
        {
            open_intents_[item.id] = item;
        }
        open_intents_.insert(promised_intents_.begin(), promised_intents_.end());
        write_due_ = write_due_ || open_intents_.size() > record_->intents.size();
        promised_intents_.clear();
        round_.reset();
        log(out, "lease_acquired", {{"intents", std::to_string(open_intents_.size())}});
    }

    void accept_foreign_write(steady_time now, data_centre_record const& record, object_version version,
                              outbox& out)
    {
        if (record_ && version == version_)
        {
            return;
        }
        bool const was_holder = is_holder();
        bool const new_epoch = !record_ || record.epoch != record_->epoch;
        if (new_epoch || record.write_nonce != record_->write_nonce)
        {
            holder_write_seen_at_ = now;
        }
        record_ = record;
        version_ = version;
        note_known_members(now);
        maybe_confirmed_.clear();
        write_answered_ = true;
        write_failed_ = false;
        if (new_epoch && record.epoch > promised_epoch_ && record.holder != settings_.self)
        {
            promised_intents_.clear();
        }
        if (was_holder && record.holder != settings_.self)
        {
            step_down(out, "superseded");
        }
        if (is_holder() && new_epoch)
        {
            take_over(out); // The claim took effect, and another member has written since.
        }
        write_due_ = is_holder(); // The write of another member made the last renewal fail: renew at once.
        for (auto const& item : record.intents)
        {
            if (open_intents_.count(item.id) != 0)
            {
                durable_ids_.insert(item.id);
            }
        }
    }

    void step_down(outbox& out, char const* reason)
    {
        lease_until_ = steady_time{};
        open_intents_.clear();
        durable_ids_.clear();
        round_.reset();
        log(out, "lease_lost", {{"reason", reason}, {"holder", holder().name}});
    }

    // --- holder ---

    data_centre_record next_record() const
    {
        data_centre_record next = *record_;
        next.intents = values(open_intents_);
        auto const is_gone = [this](instance_id const& id) { return gone_.count(id) != 0; };
        next.confirmed.erase(std::remove_if(next.confirmed.begin(), next.confirmed.end(), is_gone),
                             next.confirmed.end());
        next.pending.erase(std::remove_if(next.pending.begin(), next.pending.end(), is_gone),
                           next.pending.end());
        std::vector<instance_id> waiting;
        for (auto const& id : next.pending)
        {
            // Only an instance that has been listed can later be proven gone by the list, and only one that
            // can be reached can promise.
            auto const known = known_.find(id);
            bool const reachable = known != known_.end() && known->second.contacted;
            // No member is confirmed during an outage, since each confirmed member must promise.
            if (reachable && write_answered_ && ever_listed_.count(id.name) != 0)
            {
                next.confirmed.push_back(id);
            }
            else
            {
                waiting.push_back(id);
            }
        }
        next.pending = std::move(waiting);
        return next;
    }

    void tick_holder(steady_time now, outbox& out)
    {
        bool const unanswered = !write_answered_;
        bool const late = unanswered && (write_failed_ || now >= last_write_ + settings_.answer_timeout);
        duration const interval = unanswered   ? outage_interval
                                  : write_due_ ? settings_.intent_interval
                                               : settings_.renew_interval;
        if (now >= last_write_ + interval && now >= promised_until_)
        {
            write_due_ = false;
            write(now, next_record(), out);
            if (late)
            {
                relay(now, out);
            }
        }
        if (late)
        {
            tick_promises(now, out);
            if (now >= next_read_)
            {
                read(now, out); // The nonce in the record tells whether an unanswered write took effect.
            }
        }
        else
        {
            round_.reset();
        }
    }

    std::vector<instance_id> other_confirmed() const
    {
        std::set<instance_id> all = maybe_confirmed_;
        all.insert(record_->confirmed.begin(), record_->confirmed.end());
        std::vector<instance_id> list;
        for (auto const& id : all)
        {
            if (id != settings_.self && gone_.count(id) == 0)
            {
                list.push_back(id);
            }
        }
        return list;
    }

    void relay(steady_time now, outbox& out)
    {
        (void)now;
        auto const members = other_confirmed();
        for (std::size_t i = 0; i < std::min(relays_per_write, members.size()); ++i)
        {
            auto const& to = members[(next_relay_member_++) % members.size()];
            tracked_write const& last = writes_.back();
            out.emplace_back(send_peer{to.name, relay_write{last.nonce, last.expected, last.record}});
        }
    }

    void on_relayed(steady_time now, store_reply const& reply, operation const& op, outbox& out)
    {
        relay_result result{op.nonce, false, 0};
        if (auto const* written = std::get_if<store_written>(&reply.result))
        {
            result.written = true;
            result.version = written->version;
        }
        else if (std::holds_alternative<store_conflict>(reply.result) && op.kind == operation_kind::relay)
        {
            // Another member may have made the same write, or this one's first attempt took effect.
            operation check = op;
            check.kind = operation_kind::relay_check;
            send(now, check, store_get{}, out);
            return;
        }
        else if (auto const* found = std::get_if<store_found>(&reply.result))
        {
            auto const* record = std::get_if<data_centre_record>(&found->value);
            result.written = record != nullptr && record->write_nonce == op.nonce;
            result.version = found->version;
        }
        out.emplace_back(send_peer{op.relay_for.name, result});
    }

    void tick_promises(steady_time now, outbox& out)
    {
        if (now >= lease_until_)
        {
            round_.reset(); // An expired lease cannot be extended: others may have claimed since.
            return;
        }
        bool const renew =
            round_ &&
            (now >= round_->asked + settings_.renew_interval ||
             (round_->complete && round_lacks_intents() && now >= round_->asked + settings_.intent_interval));
        if (!round_ || renew)
        {
            round_ = promise_round{};
            round_->number = ++last_round_;
            round_->asked = now;
            round_->last_send = now - promise_resend_interval;
            round_->intents = values(open_intents_);
            for (auto const& id : other_confirmed())
            {
                round_->awaited.insert(id);
                round_->members.insert(id);
            }
        }
        if (round_->complete)
        {
            return;
        }
        finish_round(now, out);
        if (round_ && !round_->complete && now >= round_->last_send + promise_resend_interval)
        {
            round_->last_send = now;
            for (auto const& id : round_->awaited)
            {
                out.emplace_back(
                    send_peer{id.name, promise_request{epoch(), round_->number, round_->intents}});
            }
        }
    }

    bool round_lacks_intents() const
    {
        return std::any_of(open_intents_.begin(), open_intents_.end(),
                           [this](auto const& entry) { return durable_ids_.count(entry.first) == 0; });
    }

    void finish_round(steady_time now, outbox& out)
    {
        for (auto it = round_->awaited.begin(); it != round_->awaited.end();)
        {
            it = gone_.count(*it) != 0 ? round_->awaited.erase(it) : std::next(it);
        }
        // A write in flight may have confirmed members since the round began; they must promise too.
        for (auto const& id : other_confirmed())
        {
            if (round_->members.insert(id).second)
            {
                round_->awaited.insert(id);
            }
        }
        if (!round_->awaited.empty())
        {
            return;
        }
        if (now >= lease_until_ || now < promised_until_)
        {
            return;
        }
        round_->complete = true;
        lease_until_ = std::max(lease_until_, round_->asked + holder_term_);
        for (auto const& item : round_->intents)
        {
            if (open_intents_.count(item.id) != 0)
            {
                durable_ids_.insert(item.id);
            }
        }
        log(out, "lease_extended", {{"by", "promises"}, {"round", std::to_string(round_->number)}});
    }

    void on_promise_reply(steady_time now, instance_id const& from, promise_reply const& reply, outbox& out)
    {
        if (!is_holder() || !round_ || reply.round != round_->number)
        {
            return;
        }
        if (reply.epoch > epoch())
        {
            lease_until_ = steady_time{};
            next_read_ = now;
            log(out, "lease_lost", {{"reason", "higher_epoch"}, {"told_by", from.name}});
            return;
        }
        if (!reply.promised || round_->complete)
        {
            return;
        }
        round_->awaited.erase(from);
        finish_round(now, out);
    }

    // --- member ---

    void on_promise_request(steady_time now, instance_id const& from, promise_request const& request,
                            outbox& out)
    {
        std::uint64_t const known = epoch();
        bool const other_holder = record_ && known == request.epoch && record_->holder != from;
        if (known > request.epoch || other_holder)
        {
            out.emplace_back(send_peer{from.name, promise_reply{known, request.round, false}});
            return;
        }
        promised_until_ = std::max(promised_until_, now + observer_term_);
        bool const newer =
            request.epoch > promised_epoch_ || promised_to_ != from || request.round > promised_round_;
        if (newer)
        {
            promised_epoch_ = request.epoch;
            promised_round_ = request.round;
            promised_to_ = from;
            promised_intents_.clear();
            for (auto const& item : request.intents)
            {
                promised_intents_[item.id] = item;
            }
        }
        out.emplace_back(send_peer{from.name, promise_reply{request.epoch, request.round, true}});
    }

    data_centre_lease_settings const settings_;
    random_source random_;
    std::string const key_;
    duration const holder_term_;   ///< Term as the holder counts it: less the clock drift.
    duration const observer_term_; ///< Term as claimants and promising members count it: plus the drift.
    duration const order_lifetime_;

    std::optional<data_centre_record> record_;
    object_version version_ = 0;
    steady_time holder_write_seen_at_{}; ///< When the nonce of the last write of a holder was first seen.
    steady_time lease_until_{};
    bool released_ = false;
    std::optional<steady_time> last_answer_;

    std::map<std::uint64_t, operation> operations_; ///< By tag.
    std::uint64_t last_tag_ = 0;
    std::uint64_t last_applied_tag_ = 0;
    bool read_in_flight_ = false;
    steady_time last_read_{};
    steady_time next_read_{};
    steady_time next_join_{};
    std::vector<tracked_write> writes_;
    steady_time last_write_{};
    bool write_answered_ = true;
    bool write_failed_ = false; ///< The last write was answered "unavailable".
    bool write_due_ = false;    ///< An intent waits to be recorded, or the last renewal failed.

    std::map<std::uint64_t, intent> open_intents_; ///< The holder's intents, by id.
    std::set<std::uint64_t> durable_ids_;          ///< Intents that are recorded or kept by promise.

    std::set<instance_id> maybe_confirmed_; ///< Confirmed by writes whose outcome is unknown.
    std::optional<promise_round> round_;
    std::uint64_t last_round_ = 0;
    std::size_t next_relay_member_ = 0;

    steady_time promised_until_{};
    /// Intents that this member keeps for the holder in an outage.
    std::map<std::uint64_t, intent> promised_intents_;
    std::uint64_t promised_epoch_ = 0;
    std::uint64_t promised_round_ = 0;
    instance_id promised_to_;

    std::map<instance_id, known_instance> known_;
    std::map<instance_id, steady_time> gone_; ///< Proven gone, and since when.
    std::map<instance_id, steady_time> omitted_since_;
    std::set<std::string> ever_listed_;
    bool self_listed_ = false;
    std::optional<steady_time> all_gone_since_;
};

data_centre_lease::data_centre_lease(data_centre_lease_settings settings, std::uint64_t seed)
    : impl_(std::make_unique<implementation>(std::move(settings), seed))
{
}
data_centre_lease::~data_centre_lease() = default;

void data_centre_lease::on_tick(steady_time now, outbox& out)
{
    impl_->on_tick(now, out);
}
void data_centre_lease::on_store_reply(steady_time now, store_reply const& reply, outbox& out)
{
    impl_->on_store_reply(now, reply, out);
}
void data_centre_lease::on_peer(steady_time now, instance_id const& from, peer_message const& message,
                                outbox& out)
{
    impl_->on_peer(now, from, message, out);
}
void data_centre_lease::on_incarnation(steady_time now, instance_id const& seen)
{
    impl_->on_incarnation(now, seen);
}
void data_centre_lease::on_instances(steady_time now, std::vector<listed_server> const& servers)
{
    impl_->on_instances(now, servers);
}
void data_centre_lease::add_intent(intent const& what)
{
    impl_->add_intent(what);
}
void data_centre_lease::remove_intent(std::uint64_t id)
{
    impl_->remove_intent(id);
}
bool data_centre_lease::is_durable(std::uint64_t id) const
{
    return impl_->is_durable(id);
}
std::vector<intent> data_centre_lease::intents() const
{
    return impl_->intents();
}
std::vector<intent> const& data_centre_lease::recorded_intents() const
{
    return impl_->recorded_intents();
}
void data_centre_lease::release(steady_time now, outbox& out)
{
    impl_->release(now, out);
}
bool data_centre_lease::holds(steady_time now) const
{
    return impl_->holds(now);
}
bool data_centre_lease::is_recorded_holder() const
{
    return impl_->is_holder();
}
steady_time data_centre_lease::lease_until() const
{
    return impl_->lease_until();
}
std::uint64_t data_centre_lease::epoch() const
{
    return impl_->epoch();
}
instance_id data_centre_lease::holder() const
{
    return impl_->holder();
}
bool data_centre_lease::store_reached(steady_time now) const
{
    return impl_->store_reached(now);
}
std::optional<steady_time> data_centre_lease::proven_gone_at(instance_id const& id) const
{
    return impl_->proven_gone_at(id);
}

} // namespace siskinusher
