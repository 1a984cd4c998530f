#include "decision/call_recorder.hpp"

#include "fake_store.hpp"

#include "core/invariant.hpp"

#include <criterion/criterion.h>

#include <deque>
#include <map>
#include <memory>

using namespace siskinusher;
using siskinusher::testing::fake_store;

namespace
{

constexpr std::int64_t day_s = 86400;

call_entry started(std::string key, std::uint64_t nonce, std::uint64_t digest = 7)
{
    call_entry entry;
    entry.key = std::move(key);
    entry.nonce = nonce;
    entry.body_digest = digest;
    return entry;
}

call_entry done(std::string const& key, std::uint64_t nonce, std::string body)
{
    call_entry entry = started(key, nonce);
    entry.state = call_state::done;
    entry.status = 200;
    entry.body = std::move(body);
    return entry;
}

call_entry abandoned(std::string const& key, std::uint64_t nonce)
{
    call_entry entry = started(key, nonce);
    entry.state = call_state::abandoned;
    return entry;
}

/// Two recorders that share one store. Messages and store calls are carried out at once or held back.
class recorder_pair
{
public:
    explicit recorder_pair(std::uint64_t seed = 1, recorder_limits limits = {}) : store(seed)
    {
        for (int i = 0; i < 2; ++i)
        {
            recorder_settings settings;
            settings.self = name(i);
            settings.limits = limits;
            recorders.push_back(
                std::make_unique<call_recorder>(settings, seed * 10 + static_cast<unsigned>(i)));
        }
        for (auto& each : recorders)
        {
            each->on_members(now, {member_named(name(0)), member_named(name(1))});
        }
    }

    static std::string name(int i) { return "i" + std::to_string(i); }

    static member member_named(std::string const& text)
    {
        member result;
        result.id = {text, 1};
        return result;
    }

    void begin(int at, request_number number, call_entry const& entry)
    {
        outbox out;
        recorders[at]->begin(now, {number, entry}, out);
        carry_out(at, out);
    }

    void finish(int at, call_entry const& entry)
    {
        outbox out;
        recorders[at]->finish(now, entry, out);
        carry_out(at, out);
    }

    void run(duration time)
    {
        for (steady_time const end = now + time; now < end; now += milliseconds{5})
        {
            for (int at = 0; at < 2; ++at)
            {
                outbox out;
                recorders[at]->on_tick(now, wall_s, out);
                carry_out(at, out);
                for (call_start_result const& each : recorders[at]->take_results())
                {
                    results[each.number] = each;
                }
            }
        }
    }

    call_start_outcome outcome(request_number number) const
    {
        auto const found = results.find(number);
        cr_assert(found != results.end(), "begin %lu has no outcome", number);
        return found->second.outcome;
    }

    fake_store store;
    bool link_cut = false;
    bool hold_writes = false; ///< Writes of instance 0 reach the store only after this is cleared.
    steady_time now{seconds{100}};
    std::int64_t wall_s = 1000;
    std::vector<std::unique_ptr<call_recorder>> recorders;
    std::map<request_number, call_start_result> results;
    std::deque<store_request> held;

    void release_held()
    {
        hold_writes = false;
        while (!held.empty())
        {
            outbox out;
            recorders[0]->on_store_reply(now, store.call(held.front()), out);
            held.pop_front();
            carry_out(0, out);
        }
    }

private:
    void carry_out(int at, outbox const& out)
    {
        for (action const& each : out)
        {
            if (auto const* const request = std::get_if<store_request>(&each))
            {
                if (at == 0 && hold_writes && std::holds_alternative<store_put>(request->operation))
                {
                    held.push_back(*request);
                    continue;
                }
                outbox next;
                recorders[at]->on_store_reply(now, store.call(*request), next);
                carry_out(at, next);
            }
            else if (auto const* const message = std::get_if<send_peer>(&each);
                     message != nullptr && !link_cut)
            {
                outbox next;
                recorders[1 - at]->on_peer(now, {name(at), 1}, message->message, next);
                carry_out(1 - at, next);
            }
        }
    }
};

} // namespace

// Guards against a double booking when a caller sends the same key to two instances at the same time.
Test(call_recorder, one_of_two_concurrent_begins_is_granted)
{
    for (bool const cut : {false, true})
    {
        recorder_pair pair;
        pair.link_cut = cut;
        pair.begin(0, 1, started("k", 11));
        pair.begin(1, 2, started("k", 22));
        pair.run(seconds{3});
        int const granted = (pair.outcome(1) == call_start_outcome::granted) +
                            (pair.outcome(2) == call_start_outcome::granted);
        int const unknown = (pair.outcome(1) == call_start_outcome::outcome_unknown) +
                            (pair.outcome(2) == call_start_outcome::outcome_unknown);
        cr_assert_eq(granted, 1);
        cr_assert_eq(unknown, 1);
    }
}

// Guards against running a call again after its answer was recorded, also at another instance.
Test(call_recorder, a_resend_gets_the_recorded_answer)
{
    recorder_pair pair;
    pair.begin(0, 1, started("k", 11));
    pair.run(seconds{1});
    pair.finish(0, done("k", 11, "booked"));
    pair.run(seconds{1});
    cr_assert(pair.recorders[0]->idle());
    pair.begin(1, 2, started("k", 22));
    pair.begin(1, 3, started("k", 33, 8));
    pair.run(seconds{1});
    cr_assert(pair.outcome(2) == call_start_outcome::replay);
    cr_assert(pair.results[2].entry.body == "booked");
    cr_assert(pair.outcome(3) == call_start_outcome::key_reused);
}

// Guards against a resend that is told "outcome unknown" although the first call ends a moment later.
Test(call_recorder, a_resend_during_the_call_waits_for_its_answer)
{
    recorder_pair pair;
    pair.begin(0, 1, started("k", 11));
    pair.run(milliseconds{200});
    pair.begin(1, 2, started("k", 22));
    pair.run(milliseconds{200});
    cr_assert_eq(pair.results.count(2), 0);
    pair.finish(0, done("k", 11, "booked"));
    pair.run(milliseconds{300});
    cr_assert(pair.outcome(2) == call_start_outcome::replay);
}

// Guards against a second run or a lost key when the store applies a write and its answer is lost.
Test(call_recorder, a_lost_answer_to_the_write_is_resolved_by_the_nonce)
{
    recorder_pair pair;
    pair.store.lose_next_writes = 1;
    pair.begin(0, 1, started("k", 11));
    pair.run(seconds{2});
    cr_assert(pair.outcome(1) == call_start_outcome::granted);
    cr_assert_eq(pair.store.writes, 1);
}

// Guards against granting a call while the store is unreachable, and against a key that stays blocked
// afterwards.
Test(call_recorder, an_outage_gives_unavailable_and_the_abandoned_key_can_be_used_again)
{
    recorder_pair pair;
    pair.store.down = true;
    pair.begin(0, 1, started("k", 11));
    pair.run(seconds{4});
    cr_assert(pair.outcome(1) == call_start_outcome::unavailable);
    pair.finish(0, abandoned("k", 11));
    pair.store.down = false;
    pair.run(seconds{3});
    cr_assert(pair.recorders[0]->idle());
    pair.begin(1, 2, started("k", 22));
    pair.run(seconds{1});
    cr_assert(pair.outcome(2) == call_start_outcome::granted);
}

// Guards against a delayed begin that is recorded after its request was abandoned and would block the key.
Test(call_recorder, a_begin_that_arrives_after_its_abandonment_is_not_recorded)
{
    recorder_pair pair;
    pair.finish(0, abandoned("k", 11));
    pair.run(seconds{1});
    pair.begin(1, 1, started("k", 11));
    pair.run(seconds{1});
    cr_assert(pair.outcome(1) == call_start_outcome::unavailable);
    pair.begin(1, 2, started("k", 22));
    pair.run(seconds{1});
    cr_assert(pair.outcome(2) == call_start_outcome::granted);
}

// Guards against a paused committer whose write arrives after another instance has committed the same key.
Test(call_recorder, a_stale_write_fails_after_another_instance_committed)
{
    recorder_pair pair;
    pair.link_cut = true;
    pair.hold_writes = true;
    pair.begin(0, 1, started("k", 11));
    pair.run(milliseconds{500});
    cr_assert_eq(pair.held.size(), 1);
    pair.begin(1, 2, started("k", 22));
    pair.run(milliseconds{500});
    cr_assert(pair.outcome(2) == call_start_outcome::granted);
    pair.release_held();
    pair.run(seconds{2});
    cr_assert(pair.outcome(1) != call_start_outcome::granted);
}

// Guards against a key that is forgotten when its segment is sealed, and against a second log after expiry.
Test(call_recorder, keys_survive_the_roll_over_of_segments_until_they_expire)
{
    recorder_limits limits;
    limits.segment_bytes = 500;
    recorder_pair pair(3, limits);
    request_number number = 0;
    for (int i = 0; i < 300; ++i)
    {
        std::string const key = "k" + std::to_string(i);
        pair.begin(0, ++number, started(key, 1000U + static_cast<unsigned>(i)));
        pair.run(milliseconds{60});
        cr_assert(pair.outcome(number) == call_start_outcome::granted);
        pair.finish(0, done(key, 1000U + static_cast<unsigned>(i), "answer"));
    }
    pair.run(seconds{2});
    cr_assert(pair.store.find<call_segment>(segment_key(0, 0))->sealed);
    pair.begin(1, ++number, started("k0", 5));
    pair.run(seconds{1});
    cr_assert(pair.outcome(number) == call_start_outcome::replay);

    pair.wall_s += day_s + 1;
    pair.run(minutes{30});
    cr_assert(pair.store.find<call_segment>(segment_key(0, 0))->entries.empty());
    cr_assert_gt(pair.store.find<call_segment>(segment_key(0, 0))->first_segment, 1);
    cr_assert_neq(pair.store.version_of(segment_key(0, 1)), 0, "an emptied segment must stay as an object");
}

// Guards against a key that runs twice after some sequence of duplicates, outages, lost answers and cut
// links.
Test(call_recorder, randomised_runs_grant_a_key_at_most_once_unless_it_was_abandoned)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed)
    {
        random_source random(seed);
        recorder_limits limits;
        limits.segment_bytes = 1500;
        recorder_pair pair(seed, limits);
        pair.store.lose_answer = 0.2;
        std::map<std::string, std::uint64_t>
            running; // Key and the nonce that runs it, until it is abandoned.
        std::map<request_number, call_entry> open;
        request_number number = 0;
        for (int step = 0; step < 300; ++step)
        {
            pair.store.down = random.below(10) == 0;
            pair.link_cut = random.below(4) == 0;
            if (random.below(8) == 0)
            {
                pair.hold_writes = true;
            }
            std::string const key = "k" + std::to_string(random.below(12));
            call_entry const entry = started(key, random.next());
            open[++number] = entry;
            pair.begin(static_cast<int>(random.below(2)), number, entry);
            pair.run(milliseconds{5 + static_cast<int>(random.below(400))});
            if (random.below(3) == 0)
            {
                pair.release_held();
            }
            for (auto const& each : pair.results)
            {
                call_entry const& begun = open.at(each.first);
                if (each.second.outcome == call_start_outcome::granted)
                {
                    cr_assert(running.count(begun.key) == 0, "seed %lu: key %s granted twice", seed,
                              begun.key.c_str());
                    running[begun.key] = begun.nonce;
                    if (random.below(2) == 0)
                    {
                        pair.finish(static_cast<int>(random.below(2)), done(begun.key, begun.nonce, "x"));
                    }
                }
                else if (each.second.outcome == call_start_outcome::unavailable)
                {
                    pair.finish(static_cast<int>(random.below(2)), abandoned(begun.key, begun.nonce));
                }
            }
            pair.results.clear();
        }
    }
    cr_assert_eq(invariant_violations(), 0);
}

// Guards against a second run of a keyed call whose record the store has lost.
Test(call_recorder, a_recorded_call_is_not_granted_again_after_the_store_went_back)
{
    recorder_pair pair;
    pair.run(seconds{1});
    pair.store.keep_copy();
    pair.begin(0, 1, started("k", 11));
    pair.run(seconds{1});
    cr_assert_eq(pair.outcome(1), call_start_outcome::granted);
    pair.finish(0, done("k", 11, "paid"));
    pair.run(seconds{1});
    pair.store.restore();
    pair.begin(1, 2, started("k", 12));
    pair.run(seconds{10});
    cr_assert_neq(pair.outcome(2), call_start_outcome::granted);
    // Another call makes the recorder read and write its segment again.
    pair.begin(1, 3, started("other", 13));
    pair.run(seconds{10});
    pair.begin(1, 4, started("k", 14));
    pair.run(seconds{10});
    cr_assert_neq(pair.outcome(4), call_start_outcome::granted);
}
