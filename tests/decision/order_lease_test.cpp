#include "decision/order_lease.hpp"

#include "core/random_source.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace siskinusher;

namespace
{

steady_time at(std::int64_t ms)
{
    return steady_time(milliseconds{ms});
}

// A store with one object.
struct lease_store
{
    std::optional<order_lease_record> record;
    std::uint64_t revision = 0;
    std::uint64_t era = 1;

    bool write(lease_write const& what)
    {
        if (what.revision.number != (record ? revision : 0))
        {
            return false;
        }
        record = what.record;
        ++revision;
        return true;
    }
};

void run_step(order_lease& lease, lease_store& store, steady_time now)
{
    auto const step = lease.next_call(now);
    if (!step)
    {
        return;
    }
    if (std::holds_alternative<lease_read>(*step))
    {
        lease.on_read(now, store.record, {store.era, store.revision});
    }
    else if (store.write(std::get<lease_write>(*step)))
    {
        lease.on_written(now, {store.era, store.revision});
    }
    else
    {
        lease.on_write_conflict(now);
    }
}

std::unique_ptr<order_lease> make_lease(std::string const& name)
{
    return std::make_unique<order_lease>(name, name + ":1", "key-" + name, order_lease_times{});
}

} // namespace

// Guards against two holders when all instances start at the same time, and against peers with different
// keys.
Test(order_lease, exactly_one_of_two_instances_gets_the_lease)
{
    lease_store store;
    auto a = make_lease("a");
    auto b = make_lease("b");
    for (int ms = 0; ms < 3000; ms += 50)
    {
        run_step(*a, store, at(ms));
        run_step(*b, store, at(ms));
    }
    cr_assert(a->may_send_orders(at(3000)) != b->may_send_orders(at(3000)));
    cr_assert_eq(a->record()->peer_key, b->record()->peer_key);
}

// Guards against a fleet that floods an unavailable store with reads, and against a takeover that each read
// without an answer postpones.
Test(order_lease, unanswered_reads_are_repeated_slowly_and_delay_no_takeover)
{
    lease_store store;
    auto a = make_lease("a");
    auto b = make_lease("b");
    run_step(*a, store, at(0));
    run_step(*a, store, at(50));
    run_step(*b, store, at(100));
    unsigned calls = 0;
    for (std::int64_t ms = 150; ms < 4800; ms += 50)
    {
        if (b->next_call(at(ms)))
        {
            ++calls;
            b->on_call_lost(at(ms));
        }
    }
    cr_assert_leq(calls, 6, "%u calls in 4.7 s", calls);
    std::int64_t taken_over_at = 0;
    for (std::int64_t ms = 4800; ms < 9000 && taken_over_at == 0; ms += 50)
    {
        run_step(*b, store, at(ms));
        taken_over_at = b->may_send_orders(at(ms)) ? ms : 0;
    }
    cr_assert(taken_over_at > 0 && taken_over_at < 6500, "taken over at %ld ms",
              static_cast<long>(taken_over_at));
}

// Guards against several seconds without a holder after an outage of the store during which the holder died
// and its lease expired: an unchanged revision since before the outage proves that the holder has not
// renewed.
Test(order_lease, lease_of_a_dead_holder_is_claimed_when_the_store_returns)
{
    lease_store store;
    auto a = make_lease("a");
    auto b = make_lease("b");
    run_step(*a, store, at(0));
    run_step(*a, store, at(50));
    run_step(*b, store, at(100));
    std::int64_t const outage_end = 10000;
    for (std::int64_t ms = 150; ms < outage_end; ms += 50)
    {
        auto const step = b->next_call(at(ms));
        if (step && std::holds_alternative<lease_write>(*step))
        {
            b->on_write_refused(at(ms));
        }
        else if (step)
        {
            b->on_call_lost(at(ms));
        }
    }
    std::int64_t taken_over_at = 0;
    for (std::int64_t ms = outage_end; ms < outage_end + 9000 && taken_over_at == 0; ms += 50)
    {
        run_step(*b, store, at(ms));
        taken_over_at = b->may_send_orders(at(ms)) ? ms : 0;
    }
    cr_assert(taken_over_at > 0 && taken_over_at <= outage_end + 1500, "taken over at %ld ms",
              static_cast<long>(taken_over_at));
}

// Guards against the release of a lease that has expired already, which would make the other instances wait
// again.
Test(order_lease, lease_that_has_run_out_is_not_released)
{
    lease_store store;
    auto a = make_lease("a");
    run_step(*a, store, at(0));
    run_step(*a, store, at(50));
    a->release();
    cr_assert_not(a->next_call(at(9000)).has_value());
    cr_assert(a->released(at(9000)));
}

// Guards against a holder that sends orders after its machine was suspended: the lease ends by a clock that
// also runs during a suspension.
Test(order_lease, suspended_holder_stops_and_the_next_waits_for_the_gap)
{
    lease_store store;
    auto a = make_lease("a");
    auto b = make_lease("b");
    run_step(*a, store, at(0));
    run_step(*a, store, at(50));
    cr_assert(a->may_send_orders(at(1000)));
    std::int64_t last_order = 0;
    std::int64_t first_order = 0;
    for (std::int64_t ms = 100; ms < 20000 && first_order == 0; ms += 50)
    {
        run_step(*b, store, at(ms));
        last_order = a->may_send_orders(at(ms)) ? ms : last_order;
        first_order = b->may_send_orders(at(ms)) ? ms : 0;
    }
    cr_assert(first_order > 0, "the lease is never taken over");
    cr_assert(first_order - last_order >= 3000, "the gap is %ld ms",
              static_cast<long>(first_order - last_order));
    cr_assert(b->epoch() > a->epoch());
    cr_assert_not(a->may_send_orders(at(20000)));
}

// Guards against a restarted process that shares the epoch of its predecessor.
Test(order_lease, restarted_process_claims_anew)
{
    lease_store store;
    auto first = make_lease("a");
    run_step(*first, store, at(0));
    run_step(*first, store, at(50));
    auto second = make_lease("a");
    run_step(*second, store, at(100));
    cr_assert_not(second->may_send_orders(at(100)));
    run_step(*second, store, at(150));
    cr_assert(second->may_send_orders(at(150)));
    cr_assert_eq(second->epoch(), first->epoch() + 1);
}

// Guards against a holder that stops without releasing its lease: the release shortens the wait of the next
// one.
Test(order_lease, released_lease_is_taken_after_the_gap)
{
    lease_store store;
    auto a = make_lease("a");
    auto b = make_lease("b");
    run_step(*a, store, at(0));
    run_step(*a, store, at(50));
    a->release();
    cr_assert_not(a->may_send_orders(at(60)));
    run_step(*a, store, at(100));
    cr_assert(a->released(at(100)));
    std::int64_t taken_over_at = 0;
    for (std::int64_t ms = 150; ms < 20000 && taken_over_at == 0; ms += 50)
    {
        run_step(*b, store, at(ms));
        taken_over_at = b->may_send_orders(at(ms)) ? ms : 0;
    }
    cr_assert(taken_over_at >= 3100 && taken_over_at < 5000, "taken after %ld ms",
              static_cast<long>(taken_over_at));
}

// Guards against two holders when answers are lost, writes are delayed, reads are stale and instances are
// suspended. In seeded runs, orders of two holders are at least the gap of 3 s apart and epochs never
// decrease.
Test(order_lease, random_faults_never_make_two_holders)
{
    for (std::uint64_t seed = 1; seed <= 1000; ++seed)
    {
        random_source random(seed);
        lease_store store;
        std::vector<std::unique_ptr<order_lease>> all;
        std::vector<std::optional<std::pair<std::int64_t, lease_write>>> delayed_writes(3);
        std::vector<std::int64_t> suspended_until(3, 0);
        for (char const* const name : {"a", "b", "c"})
        {
            all.push_back(make_lease(name));
        }
        std::vector<lease_store> past_states;
        int last_holder = -1;
        std::int64_t last_order = -100000;
        std::uint64_t last_epoch = 0;
        for (std::int64_t ms = 0; ms < 60000; ms += 50)
        {
            for (int i = 0; i < 3; ++i)
            {
                auto const index = static_cast<std::size_t>(i);
                if (delayed_writes[index] && ms >= delayed_writes[index]->first)
                {
                    (void)store.write(delayed_writes[index]->second);
                    delayed_writes[index].reset();
                }
                suspended_until[index] = random.below(400) == 0
                                             ? ms + static_cast<std::int64_t>(random.below(6000))
                                             : suspended_until[index];
                if (ms < suspended_until[index])
                {
                    continue;
                }
                order_lease& lease = *all[index];
                if (lease.may_send_orders(at(ms)))
                {
                    cr_assert(last_holder == i || ms - last_order >= 3000, "seed %lu at %ld ms",
                              static_cast<unsigned long>(seed), static_cast<long>(ms));
                    cr_assert(lease.epoch() >= last_epoch, "seed %lu", static_cast<unsigned long>(seed));
                    last_holder = i;
                    last_order = ms;
                    last_epoch = lease.epoch();
                }
                auto const step = lease.next_call(at(ms));
                if (!step)
                {
                    continue;
                }
                std::uint64_t const fault = random.below(10);
                if (std::holds_alternative<lease_read>(*step))
                {
                    // A stale read returns a state that is up to three states old.
                    past_states.push_back(store);
                    std::size_t const visible_states = std::get<lease_read>(*step).allow_stale ? 4 : 1;
                    lease_store const& shown =
                        past_states[past_states.size() - 1 -
                                    random.below(std::min(past_states.size(), visible_states))];
                    fault == 0 ? lease.on_call_lost(at(ms))
                               : lease.on_read(at(ms), shown.record, {1, shown.revision});
                    continue;
                }
                auto const& write = std::get<lease_write>(*step);
                if (fault == 0)
                {
                    // The write gets no answer and takes effect up to 5 s later, if its condition still
                    // holds.
                    delayed_writes[index] =
                        std::make_pair(ms + static_cast<std::int64_t>(random.below(5000)), write);
                    lease.on_call_lost(at(ms));
                }
                else if (fault == 1)
                {
                    (void)store.write(write);
                    lease.on_call_lost(at(ms));
                }
                else if (fault == 2)
                {
                    lease.on_write_refused(at(ms));
                }
                else if (store.write(write))
                {
                    lease.on_written(at(ms), {1, store.revision});
                }
                else
                {
                    lease.on_write_conflict(at(ms));
                }
            }
        }
        cr_assert(last_holder >= 0, "seed %lu: never held", static_cast<unsigned long>(seed));
    }
}

// Guards against a claim by an instance that is too small for the work of the holder while a larger one is
// present.
Test(order_lease, larger_instance_claims_first)
{
    lease_store store;
    order_lease_times slow;
    slow.claim_delay = milliseconds{250};
    order_lease small("small", "s:1", "key", slow);
    auto large = make_lease("large");
    for (int ms = 0; ms < 1000; ms += 50)
    {
        run_step(small, store, at(ms));
        run_step(*large, store, at(ms + 10));
    }
    cr_assert(large->may_send_orders(at(1000)));
    cr_assert_not(small.may_send_orders(at(1000)));
}

// Guards against two holders, and against epochs that fall, when the store comes back from older copies.
Test(order_lease, random_restorations_never_make_two_holders)
{
    constexpr std::size_t instances = 3;
    constexpr std::size_t stale_states = 40;
    for (std::uint64_t seed = 1; seed <= 1000; ++seed)
    {
        random_source random(seed);
        lease_store store;
        std::uint64_t era = 1;
        std::vector<lease_store> states; // All of the past, for copies and stale reads.
        std::vector<std::unique_ptr<order_lease>> all;
        std::vector<std::vector<std::pair<std::int64_t, lease_write>>> delayed(instances);
        std::vector<std::int64_t> suspended_until(instances, 0);
        std::string const names = "abc";
        for (char const name : names)
        {
            all.push_back(make_lease(std::string(1, name)));
        }
        std::size_t last_holder = instances;
        std::int64_t last_order = -100000;
        std::uint64_t last_epoch = 0;
        for (std::int64_t ms = 0; ms < 60000; ms += 50)
        {
            states.push_back(store);
            if (random.below(160) == 0)
            {
                store = states[states.size() - 1 - random.below(std::min<std::size_t>(states.size(), 200))];
                ++era;
            }
            for (std::size_t i = 0; i < instances; ++i)
            {
                for (auto each = delayed[i].begin(); each != delayed[i].end();)
                {
                    bool const due = ms >= each->first;
                    if (due)
                    {
                        (void)store.write(each->second);
                    }
                    each = due ? delayed[i].erase(each) : std::next(each);
                }
                if (random.below(400) == 0)
                {
                    suspended_until[i] = ms + static_cast<std::int64_t>(random.below(6000));
                }
                if (random.below(600) == 0)
                {
                    all[i] = make_lease(std::string(1, names[i])); // Started again.
                    suspended_until[i] = ms + 500;
                }
                if (ms < suspended_until[i])
                {
                    continue;
                }
                order_lease& lease = *all[i];
                if (lease.may_send_orders(at(ms)))
                {
                    cr_assert(last_holder == i || ms - last_order >= 3000,
                              "seed %lu at %ld ms: %zu after %zu", static_cast<unsigned long>(seed),
                              static_cast<long>(ms), i, last_holder);
                    cr_assert(lease.epoch() > last_epoch || (lease.epoch() == last_epoch && last_holder == i),
                              "seed %lu at %ld ms: epoch %lu after %lu", static_cast<unsigned long>(seed),
                              static_cast<long>(ms), static_cast<unsigned long>(lease.epoch()),
                              static_cast<unsigned long>(last_epoch));
                    last_holder = i;
                    last_order = ms;
                    last_epoch = lease.epoch();
                }
                auto const step = lease.next_call(at(ms));
                if (!step)
                {
                    continue;
                }
                std::uint64_t const fault = random.below(10);
                if (auto const* const read = std::get_if<lease_read>(&*step))
                {
                    std::size_t const visible = read->allow_stale ? std::min(states.size(), stale_states) : 1;
                    std::size_t const back = random.below(visible);
                    lease_store const& shown = back == 0 ? store : states[states.size() - back];
                    fault == 0 ? lease.on_call_lost(at(ms))
                               : lease.on_read(at(ms), shown.record, {era, shown.revision});
                    continue;
                }
                auto const& write = std::get<lease_write>(*step);
                if (fault == 0)
                {
                    delayed[i].emplace_back(ms + static_cast<std::int64_t>(random.below(5000)), write);
                    lease.on_call_lost(at(ms));
                }
                else if (store.write(write))
                {
                    fault == 1 ? lease.on_call_lost(at(ms)) : lease.on_written(at(ms), {era, store.revision});
                }
                else
                {
                    lease.on_write_conflict(at(ms));
                }
            }
        }
        cr_assert_lt(last_holder, instances, "seed %lu: never held", static_cast<unsigned long>(seed));
    }
}

// Guards against seconds without a holder after a restoration, and against peers with two keys.
Test(order_lease, last_holder_goes_on_after_a_restoration)
{
    lease_store store;
    auto holder = make_lease("a");
    for (int ms = 0; ms < 2000; ms += 50)
    {
        run_step(*holder, store, at(ms));
    }
    cr_assert(holder->may_send_orders(at(2000)));
    std::uint64_t const epoch = holder->epoch();
    // The copy has the lease of another instance.
    store.record->holder = "b";
    store.revision = 1;
    store.era = 2;
    for (int ms = 2000; ms < 3000; ms += 50)
    {
        run_step(*holder, store, at(ms));
    }
    cr_assert(holder->may_send_orders(at(3000)));
    cr_assert_gt(holder->epoch(), epoch);
    cr_assert_eq(store.record->peer_key, "key-a");
}

// Guards against a claim while a holder that the copy does not name may still send orders.
Test(order_lease, started_after_a_restoration_waits_for_an_unknown_holder)
{
    lease_store store;
    store.era = 2;
    auto fresh = make_lease("a");
    std::int64_t held_at = 0;
    for (std::int64_t ms = 0; ms < 20000 && held_at == 0; ms += 50)
    {
        run_step(*fresh, store, at(ms));
        held_at = fresh->may_send_orders(at(ms)) ? ms : 0;
    }
    cr_assert(held_at >= 4500 && held_at < 6500, "held after %ld ms", static_cast<long>(held_at));
}

namespace
{

// Calls that instances make in each 100 ms of a time without a holder.
struct call_count
{
    std::map<std::int64_t, unsigned> by_span;

    void add(std::int64_t ms) { ++by_span[ms / 100]; }
    unsigned most() const
    {
        unsigned result = 0;
        for (auto const& [span, count] : by_span)
        {
            result = std::max(result, count);
        }
        return result;
    }
};

} // namespace

// Guards against a read each second by each instance: at 300 instances over half of the store's calls.
Test(order_lease, replies_of_the_holder_replace_reads)
{
    lease_store store;
    auto a = make_lease("a");
    auto b = make_lease("b");
    run_step(*a, store, at(0));
    run_step(*a, store, at(50));
    run_step(*b, store, at(100));
    unsigned calls = 0;
    for (std::int64_t ms = 150; ms < 20000; ms += 50)
    {
        run_step(*a, store, at(ms));
        if (ms % 500 == 0)
        {
            b->on_holder_reply(at(ms));
        }
        if (b->next_call(at(ms)))
        {
            ++calls;
            b->on_read(at(ms), store.record, {store.era, store.revision});
        }
    }
    cr_assert_leq(calls, 1, "%u calls in 20 s", calls);
    cr_assert(a->may_send_orders(at(20000)));
    cr_assert_not(b->may_send_orders(at(20000)));
}

// Guards against an instance that claims although the holder has renewed the lease since it last read the
// record, and against one that never claims after the holder is lost.
Test(order_lease, lease_is_taken_over_after_replies_cease)
{
    lease_store store;
    auto a = make_lease("a");
    auto b = make_lease("b");
    run_step(*a, store, at(0));
    run_step(*a, store, at(50));
    run_step(*b, store, at(100));
    for (std::int64_t ms = 150; ms <= 10000; ms += 50)
    {
        run_step(*a, store, at(ms));
        if (ms % 500 == 0)
        {
            b->on_holder_reply(at(ms));
        }
    }
    b->on_holder_lost(at(10050), milliseconds{30});
    std::int64_t taken_over_at = 0;
    for (std::int64_t ms = 10050; ms < 20000 && taken_over_at == 0; ms += 50)
    {
        run_step(*b, store, at(ms));
        taken_over_at = b->may_send_orders(at(ms)) ? ms : 0;
    }
    cr_assert(taken_over_at >= 10000 + 4500 && taken_over_at < 15500, "taken over at %ld ms",
              static_cast<long>(taken_over_at));
}

// Guards against a rush on the store when the holder is lost: most instances let others claim first and see
// their claim, and their reads are spread.
Test(order_lease, few_of_many_instances_write_when_the_holder_is_lost)
{
    for (unsigned const count : {9U, 90U, 300U, 1000U})
    {
        lease_store store;
        auto holder = make_lease("holder");
        run_step(*holder, store, at(0));
        run_step(*holder, store, at(50));
        std::vector<std::unique_ptr<order_lease>> leases;
        unsigned const standbys = std::max(1U, count / 16);
        for (unsigned i = 0; i < count; ++i)
        {
            std::string const name = "i" + std::to_string(i);
            order_lease_times times;
            times.claim_delay = milliseconds{300 + i * 7 % 300};
            leases.push_back(std::make_unique<order_lease>(name, name + ":1", "key", times));
            leases.back()->defer_claims(i >= standbys);
            run_step(*leases.back(), store, at(100));
            leases.back()->on_holder_reply(at(5000));
            leases.back()->on_holder_lost(at(5050), milliseconds{i < standbys ? 20 : i});
        }
        call_count calls;
        unsigned writes = 0;
        unsigned holders = 0;
        for (std::int64_t ms = 5050; ms < 15000; ms += 10)
        {
            for (auto const& each : leases)
            {
                auto const step = each->next_call(at(ms));
                if (!step)
                {
                    continue;
                }
                calls.add(ms);
                if (auto const* const write = std::get_if<lease_write>(&*step))
                {
                    ++writes;
                    store.write(*write) ? each->on_written(at(ms), {store.era, store.revision})
                                        : each->on_write_conflict(at(ms));
                    continue;
                }
                each->on_read(at(ms), store.record, {store.era, store.revision});
            }
        }
        for (auto const& each : leases)
        {
            holders += each->may_send_orders(at(15000)) ? 1 : 0;
        }
        cr_assert_eq(holders, 1, "%u holders of %u instances", holders, count);
        cr_assert_leq(writes, 40, "%u writes of %u instances", writes, count);
        cr_assert_leq(calls.most(), 160, "%u calls in 100 ms of %u instances", calls.most(), count);
    }
}
