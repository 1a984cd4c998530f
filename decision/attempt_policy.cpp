#include "decision/attempt_policy.hpp"

#include <algorithm>

namespace siskinusher
{

namespace
{

// With less than this time left, a connection across regions and an answer cannot be completed.
constexpr duration min_useful_time = milliseconds{60};
// Attempts that a server rejected do not count as runs, so max_backends does not bound them: a request that
// was sent this many times is not sent again.
constexpr unsigned max_sends = 4;
// Callers abandon a stream after a gap of two seconds, four latency objectives or eight times the longest
// pause, whichever is longest.
constexpr duration min_stream_gap = seconds{2};
constexpr int stream_gap_in_latency_objectives = 4;
constexpr int stream_gap_in_event_gaps = 8;
// Share of its time after which a request without a server is refused, while its caller can still send it
// again.
constexpr double max_wait_share = 0.45;
// A repeatable request without an answer for this many latency objectives may go to another server.
constexpr double silence_limit_in_latency_objectives = 2.5;
// A resumable stream without an event for this many times its longest pause may go on at another server.
constexpr double stall_limit_in_event_gaps = 3.0;
constexpr duration min_silence_limit = milliseconds{500};

bool repeatable(attempt_facts const& facts, bool ran)
{
    switch (facts.repeat)
    {
    case repeat_rule::idempotent:
        return !facts.answer_started;
    case repeat_rule::resumable_stream:
        return !facts.answer_started || facts.resume_point_known;
    case repeat_rule::at_most_once:
        break;
    }
    return !ran;
}

} // namespace

duration wait_limit(wait_facts const& facts)
{
    if (facts.answer_started)
    {
        return facts.time_left;
    }
    duration limit = facts.time_left;
    if (facts.streaming)
    {
        limit = std::min(limit,
                         std::max({min_stream_gap, facts.latency_objective * stream_gap_in_latency_objectives,
                                   facts.max_event_gap * stream_gap_in_event_gaps}));
    }
    return std::chrono::duration_cast<duration>(limit * max_wait_share);
}

duration silence_limit(silence_facts const& facts)
{
    bool const movable = facts.repeat == repeat_rule::idempotent ||
                         (facts.repeat == repeat_rule::resumable_stream && facts.resume_point_known);
    if (!movable || facts.backends_run + 1 >= facts.max_backends)
    {
        return duration{0};
    }
    auto const limit = std::chrono::duration_cast<duration>(
        facts.events_received ? facts.max_event_gap * stall_limit_in_event_gaps
                              : facts.latency_objective * silence_limit_in_latency_objectives);
    return std::max({limit, min_silence_limit, facts.events_received ? duration{0} : facts.wait_at_peer});
}

bool may_have_run(attempt_result result)
{
    return result != attempt_result::refused_not_run && result != attempt_result::not_sent;
}

attempt_step next_attempt_step(attempt_facts const& facts)
{
    bool const ran = facts.may_have_run_before || may_have_run(facts.result);
    bool const servers_left = facts.backends_run < facts.max_backends;
    if (facts.result != attempt_result::caller_gone && facts.time_left >= min_useful_time &&
        facts.times_sent < max_sends && servers_left && repeatable(facts, ran))
    {
        return attempt_step::send_again;
    }
    if (facts.answer_started)
    {
        return attempt_step::abort_answer;
    }
    return ran ? attempt_step::fail_may_have_run : attempt_step::refuse_not_run;
}

} // namespace siskinusher
