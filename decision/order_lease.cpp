#include "decision/order_lease.hpp"

#include <algorithm>
#include <utility>

namespace siskinusher
{

namespace
{

// Delay of the holder after a call without a clear answer. Other instances wait for read_interval instead, so
// that a fleet does not flood a store that is unavailable.
constexpr duration holder_retry_delay = milliseconds{200};
// A record that was read longer ago is read again before a claim.
constexpr duration max_observation_age = milliseconds{300};
// An instance hears from the holder every 500 ms. After two lost replies it reads the record itself.
constexpr duration reply_lifetime = milliseconds{1300};
// Era of a store that has never come back from a copy.
constexpr std::uint64_t first_era = 1;
// Epochs of a later era begin at this multiple of the era, plus the revision number of the claim's condition,
// which rises with each claim. Neither instances that have all started again nor a record that a delayed
// write has replaced tell the epochs that engines have seen.
constexpr std::uint64_t epochs_per_era = std::uint64_t{1} << 32U;

} // namespace

class order_lease::implementation
{
public:
    implementation(std::string own, std::string address, std::string key, order_lease_times times_in)
        : self(std::move(own)), peer_address(std::move(address)), proposed_peer_key(std::move(key)),
          times(times_in)
    {
    }

    // True when the record, or its absence, is that of a copy from which the store has come back.
    bool is_restored() const { return record ? record->store_era < revision.era : revision.era > first_era; }

    bool is_holder() const { return record && record->holder == self && !is_restored(); }

    // True while no other instance can have claimed a lease after that of this process.
    bool was_holder_until_now(steady_time now) const
    {
        return valid_until != steady_time{} && now < valid_until + times.holder_gap;
    }

    // The earliest time at which this instance may claim the lease if it does not hold it.
    steady_time claim_at(steady_time now) const
    {
        if (is_holder() || (is_restored() && was_holder_until_now(now)))
        {
            return steady_time{};
        }
        if (!record && !is_restored())
        {
            return revision_seen_at + claim_delay();
        }
        bool const released = record && record->holder.empty() && !is_restored();
        duration const lease_left = released ? duration{0} : times.lease_duration;
        return revision_seen_at + lease_left + times.holder_gap + times.clock_allowance + claim_delay();
    }

    duration claim_delay() const
    {
        return times.claim_delay + (claims_deferred ? times.deferred_claim_delay : duration{0});
    }

    order_lease_record next_record(bool claim) const
    {
        order_lease_record next;
        std::uint64_t const lowest =
            revision.era > first_era ? revision.era * epochs_per_era + revision.number : 0;
        next.epoch = claim ? std::max(highest_epoch, lowest) + 1 : record->epoch;
        next.write_count = (record ? record->write_count : 0) + 1;
        next.peer_key = peer_key.empty() ? proposed_peer_key : peer_key;
        next.store_era = revision.era;
        if (!retired)
        {
            next.holder = self;
            next.peer_address = peer_address;
        }
        return next;
    }

    lease_call start_write(steady_time now, bool claim)
    {
        pending_write = lease_write{revision, next_record(claim)};
        write_sent_at = now;
        call_in_flight = true;
        last_call_is_write = true;
        return *pending_write;
    }

    duration delay_after_failure() const
    {
        return is_holder() || !revision_current ? holder_retry_delay : times.read_interval;
    }

    // A stale read may show the state before a restoration, whose revisions are given out again: no write is
    // made on such a revision.
    lease_call start_read(bool allow_stale)
    {
        call_in_flight = true;
        last_call_is_write = false;
        reads_stale = allow_stale;
        return lease_read{allow_stale};
    }

    void set_record(std::optional<order_lease_record> fresh, store_revision const& fresh_revision)
    {
        record = std::move(fresh);
        revision = fresh_revision;
        highest_epoch = std::max(highest_epoch, record ? record->epoch : 0);
        peer_key = record && !record->peer_key.empty() ? record->peer_key : peer_key;
    }

    // A stale read that shows less than is known.
    bool is_stale(std::optional<order_lease_record> const& read, store_revision const& read_revision) const
    {
        bool const earlier_era = read && record && read->store_era < record->store_era;
        return revision_current && reads_stale && (read_revision < revision || earlier_era);
    }

    std::string const self;
    std::string const peer_address;
    std::string const proposed_peer_key;
    order_lease_times const times;
    std::optional<order_lease_record> record;
    store_revision revision;
    std::uint64_t highest_epoch = 0; ///< Of all records read or written.
    std::string peer_key;            ///< Of the latest record that had one.
    bool reads_stale = false;        ///< The read in flight may show an earlier state.
    bool revision_stale = false;     ///< The revision is from such a read.
    bool revision_current = false;   ///< The object was read after the last call that may have changed it.
    bool object_read = false;        ///< The object was read or found absent.
    steady_time revision_seen_at;
    steady_time next_call;
    steady_time valid_until;
    bool claimed_here = false; ///< This process, not an earlier one on this machine, wrote the current claim.
    std::optional<lease_write> pending_write;
    steady_time write_sent_at;
    steady_time read_at;          ///< Of the latest answered read.
    bool store_failed = false;    ///< The latest call failed.
    bool claims_deferred = false; ///< Others are meant to claim before this instance.
    bool call_in_flight = false;
    bool last_call_is_write = false; ///< The call in flight, or the last one, is a write.
    bool retired = false;
};

order_lease::order_lease(std::string self, std::string peer_address, std::string proposed_peer_key,
                         order_lease_times times)
    : impl_(std::make_unique<implementation>(std::move(self), std::move(peer_address),
                                             std::move(proposed_peer_key), times))
{
}

order_lease::~order_lease() = default;

std::optional<lease_call> order_lease::next_call(steady_time now)
{
    implementation& it = *impl_;
    if (it.call_in_flight || now < it.next_call)
    {
        return std::nullopt;
    }
    if (!it.revision_current)
    {
        return it.start_read(false);
    }
    if (it.retired)
    {
        // An expired lease is not released: the write would only make the other instances wait again.
        if (it.is_holder() && it.claimed_here && now < it.valid_until)
        {
            return it.start_write(now, false);
        }
        return std::nullopt;
    }
    bool const may_write = now >= it.claim_at(now);
    bool const observed_lately = !it.store_failed && now - it.read_at <= max_observation_age;
    if (may_write && !it.is_holder() && !it.is_restored() && !observed_lately)
    {
        return it.start_read(true);
    }
    if (may_write && !it.revision_stale)
    {
        // A lease of an earlier process on this machine is claimed again, so that the two do not share an
        // epoch.
        return it.start_write(now, !it.is_holder() || !it.claimed_here);
    }
    return it.start_read(!may_write && !it.is_restored());
}

void order_lease::on_read(steady_time now, std::optional<order_lease_record> record,
                          store_revision const& revision)
{
    implementation& it = *impl_;
    it.call_in_flight = false;
    it.store_failed = false;
    it.read_at = now;
    it.next_call = now + it.times.read_interval;
    if (it.is_stale(record, revision))
    {
        return;
    }
    it.revision_current = true;
    // The same revision as before a lost or refused call shows that the holder has not renewed since, unless
    // a stale read showed it from before a restoration.
    bool const same = it.object_read && revision == it.revision && record == it.record &&
                      !(it.revision_stale && it.is_restored());
    it.revision_stale = it.reads_stale;
    if (!same)
    {
        it.object_read = true;
        it.revision_seen_at = now;
        it.set_record(std::move(record), revision);
        it.claimed_here = it.claimed_here && it.is_holder();
    }
    it.next_call = std::clamp(it.claim_at(now), now, it.next_call);
}

void order_lease::on_written(steady_time now, store_revision const& revision)
{
    implementation& it = *impl_;
    if (revision.era != it.pending_write->revision.era)
    {
        // The condition was of another era, in which its number may have meant another record.
        on_write_conflict(now);
        return;
    }
    it.call_in_flight = false;
    it.store_failed = false;
    it.revision_seen_at = now;
    it.set_record(it.pending_write->record, revision);
    it.revision_stale = false;
    it.claimed_here = it.is_holder();
    it.valid_until = it.claimed_here ? it.write_sent_at + it.times.lease_duration : steady_time{};
    it.next_call = now + it.times.renew_interval;
}

void order_lease::on_write_conflict(steady_time now)
{
    implementation& it = *impl_;
    it.call_in_flight = false;
    it.store_failed = false;
    it.revision_current = false;
    it.next_call = now;
}

void order_lease::on_write_refused(steady_time now)
{
    impl_->call_in_flight = false;
    impl_->store_failed = true;
    impl_->next_call = now + impl_->delay_after_failure();
}

void order_lease::on_call_lost(steady_time now)
{
    implementation& it = *impl_;
    it.call_in_flight = false;
    it.store_failed = true;
    // A lost read changes nothing: the last observation remains valid, and a claim is a conditional write.
    it.revision_current = it.revision_current && !it.last_call_is_write;
    it.next_call = now + it.delay_after_failure();
}

void order_lease::on_holder_reply(steady_time now)
{
    implementation& it = *impl_;
    if (it.retired || it.is_holder())
    {
        return;
    }
    it.revision_seen_at = std::max(it.revision_seen_at, now);
    it.next_call = std::max(it.next_call, now + reply_lifetime);
}

void order_lease::on_holder_lost(steady_time now, duration delay)
{
    implementation& it = *impl_;
    if (!it.is_holder() && it.revision_current)
    {
        it.next_call = std::min(it.next_call, now + delay);
    }
}

void order_lease::defer_claims(bool defer)
{
    impl_->claims_deferred = defer;
}

bool order_lease::may_send_orders(steady_time now) const
{
    return !impl_->retired && impl_->claimed_here && now < impl_->valid_until;
}

steady_time order_lease::confirmed_at() const
{
    return impl_->valid_until - impl_->times.lease_duration;
}

std::uint64_t order_lease::epoch() const
{
    return impl_->record ? impl_->record->epoch : 0;
}

order_lease_record const* order_lease::record() const
{
    return impl_->record ? &*impl_->record : nullptr;
}

void order_lease::release()
{
    impl_->retired = true;
    impl_->next_call = steady_time{};
}

bool order_lease::released(steady_time now) const
{
    return impl_->retired && !impl_->call_in_flight &&
           (!impl_->claimed_here || !impl_->is_holder() || now >= impl_->valid_until);
}

} // namespace siskinusher
