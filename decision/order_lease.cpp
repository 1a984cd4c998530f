#include "decision/order_lease.hpp"

#include <algorithm>
#include <utility>

namespace siskinusher
{

namespace
{

// After a call without a clear answer the holder waits this long for the next one. The others wait for as
// long as between two reads, so that a fleet does not press on a store that is away.
constexpr duration retry_pause = milliseconds{200};

} // namespace

class order_lease::implementation
{
public:
    implementation(std::string own, std::string address, std::string key, order_lease_times times_in)
        : self(std::move(own)), peer_address(std::move(address)), fresh_key(std::move(key)), times(times_in)
    {
    }

    bool is_holder() const { return record && record->holder == self; }

    // When an instance that does not hold the lease may claim it.
    steady_time claim_at() const
    {
        if (is_holder())
        {
            return steady_time{};
        }
        if (!record)
        {
            return first_seen + times.claim_delay;
        }
        duration const lease_left = record->holder.empty() ? duration{0} : times.valid;
        return first_seen + lease_left + times.turn_gap + times.drift + times.claim_delay;
    }

    order_lease_record next_record(bool claim) const
    {
        order_lease_record next;
        next.epoch = (record ? record->epoch : 0) + (claim ? 1 : 0);
        next.renewal = (record ? record->renewal : 0) + 1;
        next.peer_key = record && !record->peer_key.empty() ? record->peer_key : fresh_key;
        if (!retired)
        {
            next.holder = self;
            next.peer_address = peer_address;
        }
        return next;
    }

    lease_step start_write(steady_time now, bool claim)
    {
        pending = lease_write{revision, next_record(claim)};
        sent_at = now;
        busy = true;
        writing = true;
        return *pending;
    }

    duration pause_after_failure() const { return is_holder() || !known ? retry_pause : times.read_every; }

    lease_step start_read()
    {
        busy = true;
        writing = false;
        return lease_read{known};
    }

    std::string const self;
    std::string const peer_address;
    std::string const fresh_key;
    order_lease_times const times;
    std::optional<order_lease_record> record;
    std::uint64_t revision = 0;
    bool known = false;     ///< The object was read since the last call that may have changed it.
    bool read_once = false; ///< Even if it did not exist.
    steady_time first_seen;
    steady_time next_call;
    steady_time valid_until;
    bool claimed = false; ///< This process wrote the record that is in force.
    std::optional<lease_write> pending;
    steady_time sent_at;
    bool busy = false;
    bool writing = false; ///< The call under way, or the last one, is a write.
    bool retired = false;
};

order_lease::order_lease(std::string self, std::string peer_address, std::string fresh_key,
                         order_lease_times times)
    : impl_(std::make_unique<implementation>(std::move(self), std::move(peer_address), std::move(fresh_key),
                                             times))
{
}

order_lease::~order_lease() = default;

std::optional<lease_step> order_lease::step(steady_time now)
{
    implementation& it = *impl_;
    if (it.busy || now < it.next_call)
    {
        return std::nullopt;
    }
    if (!it.known)
    {
        return it.start_read();
    }
    if (it.retired)
    {
        // A lease that has run out needs no release: the write would only make the others wait anew.
        if (it.is_holder() && it.claimed && now < it.valid_until)
        {
            return it.start_write(now, false);
        }
        return std::nullopt;
    }
    if (it.is_holder())
    {
        // A record of an earlier process on this machine is claimed anew, so that its epoch is not shared.
        return it.start_write(now, !it.claimed);
    }
    if (now >= it.claim_at())
    {
        return it.start_write(now, true);
    }
    return it.start_read();
}

void order_lease::on_read(steady_time now, std::optional<order_lease_record> record, std::uint64_t revision)
{
    implementation& it = *impl_;
    it.busy = false;
    it.next_call = now + it.times.read_every;
    if (it.known && revision < it.revision)
    {
        return; // A stale read.
    }
    it.known = true;
    // The same revision as before a lost or refused call shows that the holder has not renewed since.
    if (!it.read_once || revision != it.revision)
    {
        it.read_once = true;
        it.first_seen = now;
        it.record = std::move(record);
        it.revision = revision;
        it.claimed = it.claimed && it.is_holder();
    }
    it.next_call = std::clamp(it.claim_at(), now, it.next_call);
}

void order_lease::on_written(steady_time now, std::uint64_t revision)
{
    implementation& it = *impl_;
    it.busy = false;
    it.first_seen = now;
    it.revision = revision;
    it.record = it.pending->record;
    it.claimed = it.is_holder();
    it.valid_until = it.claimed ? it.sent_at + it.times.valid : steady_time{};
    it.next_call = now + it.times.renew_every;
}

void order_lease::on_write_conflict(steady_time now)
{
    implementation& it = *impl_;
    it.busy = false;
    it.known = false;
    it.next_call = now;
}

void order_lease::on_write_refused(steady_time now)
{
    impl_->busy = false;
    impl_->next_call = now + impl_->pause_after_failure();
}

void order_lease::on_call_lost(steady_time now)
{
    implementation& it = *impl_;
    it.busy = false;
    // A lost read changes nothing: what was seen before still stands, and a claim is a conditional write.
    it.known = it.known && !it.writing;
    it.next_call = now + it.pause_after_failure();
}

bool order_lease::may_order(steady_time now) const
{
    return !impl_->retired && impl_->claimed && now < impl_->valid_until;
}

steady_time order_lease::confirmed_at() const
{
    return impl_->valid_until - impl_->times.valid;
}

std::uint64_t order_lease::epoch() const
{
    return impl_->record ? impl_->record->epoch : 0;
}

order_lease_record const* order_lease::record() const
{
    return impl_->record ? &*impl_->record : nullptr;
}

void order_lease::retire()
{
    impl_->retired = true;
    impl_->next_call = steady_time{};
}

bool order_lease::released(steady_time now) const
{
    return impl_->retired && !impl_->busy &&
           (!impl_->claimed || !impl_->is_holder() || now >= impl_->valid_until);
}

} // namespace siskinusher
