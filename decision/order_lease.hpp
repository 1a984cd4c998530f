#pragma once

#include "core/steady_time.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace siskinusher
{

/// Value of the store's object that names the one instance that may order engines.
struct order_lease_record
{
    std::string holder;        ///< Name and address of the machine; empty after a release.
    std::string peer_address;  ///< Where the holder takes demand reports.
    std::uint64_t epoch = 0;   ///< Rises with each claim; sent with orders as the fencing token.
    std::uint64_t renewal = 0; ///< Rises with each write, so that a renewal changes the object.
    std::string peer_key;      ///< Proves an instance to its peers; drawn by the first holder.

    friend bool operator==(order_lease_record const& a, order_lease_record const& b)
    {
        return a.holder == b.holder && a.peer_address == b.peer_address && a.epoch == b.epoch &&
               a.renewal == b.renewal && a.peer_key == b.peer_key;
    }
};

struct order_lease_times
{
    duration valid = milliseconds{1500}; ///< From the sending of a renewal.
    duration renew_every = milliseconds{450};
    duration read_every = seconds{1}; ///< By instances that do not hold the lease.
    duration turn_gap = seconds{3};   ///< Between the last order of one holder and the first of the next.
    duration claim_delay{0}; ///< Leaves the lease to instances with more processor, if there are any.
    duration drift = milliseconds{300}; ///< For orders on their way and clocks that differ.
};

struct lease_read
{
    /// A stale state does while a record is only observed; after a lost or refused write it could show an
    /// epoch that this instance has left behind.
    bool may_be_stale = false;
};
/// A write on the condition that the object has `revision`; zero means that it must not exist.
struct lease_write
{
    std::uint64_t revision = 0;
    order_lease_record record;
};
using lease_step = std::variant<lease_read, lease_write>;

/// Decides when this instance may order engines. All times are on a clock that counts suspension.
///
/// The holder's lease runs from the sending of its last acknowledged renewal. Another instance claims the
/// object only when it has seen the same revision for the lease's length and the gap between holders; the
/// conditional write then fails if a renewal arrived meanwhile.
class order_lease
{
public:
    order_lease(std::string self, std::string peer_address, std::string fresh_key, order_lease_times times);
    ~order_lease();
    order_lease(order_lease const&) = delete;
    order_lease& operator=(order_lease const&) = delete;

    /// The next call to the store, if one is due; none while one is under way.
    std::optional<lease_step> step(steady_time now);

    /// The object as read; empty when it does not exist.
    void on_read(steady_time now, std::optional<order_lease_record> record, std::uint64_t revision);
    void on_written(steady_time now, std::uint64_t revision);
    /// The condition did not hold: another instance has written.
    void on_write_conflict(steady_time now);
    /// The store did nothing.
    void on_write_refused(steady_time now);
    /// No answer: the write may have been done, or may be done later.
    void on_call_lost(steady_time now);

    /// True when an order sent now is covered by the lease.
    bool may_order(steady_time now) const;
    /// When the last renewal that the store acknowledged was sent.
    steady_time confirmed_at() const;
    std::uint64_t epoch() const;
    /// The record known last; null before the first.
    order_lease_record const* record() const;

    /// Stops ordering. The next step releases the lease, if it is held.
    void retire();
    /// True when retire was called and nothing is left to release.
    bool released(steady_time now) const;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace siskinusher
