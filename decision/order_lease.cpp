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

} // namespace

class order_lease::implementation
{
public:
    implementation(std::string own, std::string address, std::string key, order_lease_times times_in)
        : self(std::move(own)), peer_address(std::move(address)), proposed_peer_key(std::move(key)),
          times(times_in)
    {
    }

    bool is_holder() const { return record && record->holder == self; }

    // The earliest time at which this instance may claim the lease if it does not hold it.
    steady_time claim_at() const
    {
        if (is_holder())
        {
            return steady_time{};
        }
        if (!record)
        {
            return revision_seen_at + times.claim_delay;
        }
        duration const lease_left = record->holder.empty() ? duration{0} : times.lease_duration;
        return revision_seen_at + lease_left + times.holder_gap + times.clock_allowance + times.claim_delay;
    }

    order_lease_record next_record(bool claim) const
    {
        order_lease_record next;
        next.epoch = (record ? record->epoch : 0) + (claim ? 1 : 0);
        next.write_count = (record ? record->write_count : 0) + 1;
        next.peer_key = record && !record->peer_key.empty() ? record->peer_key : proposed_peer_key;
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

    lease_call start_read()
    {
        call_in_flight = true;
        last_call_is_write = false;
        return lease_read{revision_current};
    }

    std::string const self;
    std::string const peer_address;
    std::string const proposed_peer_key;
    order_lease_times const times;
    std::optional<order_lease_record> record;
    store_revision revision;
    bool revision_current = false; ///< The object was read after the last call that may have changed it.
    bool object_read = false;      ///< The object was read or found absent.
    steady_time revision_seen_at;
    steady_time next_call;
    steady_time valid_until;
    bool claimed_here = false; ///< This process, not an earlier one on this machine, wrote the current claim.
    std::optional<lease_write> pending_write;
    steady_time write_sent_at;
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
        return it.start_read();
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
    if (it.is_holder())
    {
        // A lease of an earlier process on this machine is claimed again, so that the two do not share an
        // epoch.
        return it.start_write(now, !it.claimed_here);
    }
    if (now >= it.claim_at())
    {
        return it.start_write(now, true);
    }
    return it.start_read();
}

void order_lease::on_read(steady_time now, std::optional<order_lease_record> record,
                          store_revision const& revision)
{
    implementation& it = *impl_;
    it.call_in_flight = false;
    it.next_call = now + it.times.read_interval;
    if (it.revision_current && revision < it.revision)
    {
        return; // The read was stale.
    }
    it.revision_current = true;
    // The same revision as before a lost or refused call shows that the holder has not renewed since.
    if (!it.object_read || revision != it.revision)
    {
        it.object_read = true;
        it.revision_seen_at = now;
        it.record = std::move(record);
        it.revision = revision;
        it.claimed_here = it.claimed_here && it.is_holder();
    }
    it.next_call = std::clamp(it.claim_at(), now, it.next_call);
}

void order_lease::on_written(steady_time now, store_revision const& revision)
{
    implementation& it = *impl_;
    it.call_in_flight = false;
    it.revision_seen_at = now;
    it.revision = revision;
    it.record = it.pending_write->record;
    it.claimed_here = it.is_holder();
    it.valid_until = it.claimed_here ? it.write_sent_at + it.times.lease_duration : steady_time{};
    it.next_call = now + it.times.renew_interval;
}

void order_lease::on_write_conflict(steady_time now)
{
    implementation& it = *impl_;
    it.call_in_flight = false;
    it.revision_current = false;
    it.next_call = now;
}

void order_lease::on_write_refused(steady_time now)
{
    impl_->call_in_flight = false;
    impl_->next_call = now + impl_->delay_after_failure();
}

void order_lease::on_call_lost(steady_time now)
{
    implementation& it = *impl_;
    it.call_in_flight = false;
    // A lost read changes nothing: the last observation remains valid, and a claim is a conditional write.
    it.revision_current = it.revision_current && !it.last_call_is_write;
    it.next_call = now + it.delay_after_failure();
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
