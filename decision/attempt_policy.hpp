#pragma once

#include "core/execution_verdict.hpp"
#include "core/steady_time.hpp"
#include "domain/event.hpp"
#include "domain/serving_config.hpp"

namespace siskinusher
{

/// What is known about a request when one of its attempts has ended without a complete answer.
struct attempt_facts
{
    repeat_rule repeat{repeat_rule::at_most_once};
    attempt_result result{attempt_result::connection_lost};
    bool may_have_run_before = false; ///< An earlier attempt may have run.
    unsigned backends_run = 0;        ///< Backend servers that may have run it, this attempt included.
    unsigned max_backends = 1;
    unsigned times_sent = 1;         ///< Attempts that reached a backend server, this one included.
    bool answer_started = false;     ///< Part of an answer was passed on to the caller.
    bool resume_point_known = false; ///< All events passed on so far carried ids, so a stream can be resumed.
    duration time_left{0};
};

/// What to do after an attempt.
enum class attempt_step
{
    send_again,        ///< If the retry budget allows it.
    refuse_not_run,    ///< The request has not run and will not run.
    fail_may_have_run, ///< The caller is told that the request may have run.
    abort_answer,      ///< The answer has begun and cannot be completed.
};

/// What decides how long a request may wait for a backend server.
struct wait_facts
{
    bool streaming = false;
    bool answer_started = false; ///< Part of an answer was passed on to the caller.
    duration time_left{0};
    duration latency_objective{0};
    duration max_event_gap{0}; ///< Longest pause between events that counts as in time.
};

/// Longest time for which a request may wait for a backend server.
///
/// A request without an answer is refused early enough for its caller to send it again. An answer that has
/// started cannot be refused, so that it may use the whole time: a caller that leaves earlier closes its
/// connection.
duration wait_limit(wait_facts const& facts);

/// What decides how long the server of an attempt may be silent.
struct silence_facts
{
    repeat_rule repeat{repeat_rule::at_most_once};
    unsigned backends_run = 0; ///< Servers that may have run the request, the current one not included.
    unsigned max_backends = 1;
    bool events_received = false;   ///< The server has sent events of a stream.
    bool resume_point_known = true; ///< All events passed on so far carried ids.
    duration latency_objective{0};
    duration max_event_gap{0}; ///< Longest pause between events that counts as in time.
    duration wait_at_peer{0};  ///< How long a peer may let the request wait for a server; 0 for no peer.
};

/// Longest silence of a server before another one is looked for; zero for no limit, because the request
/// cannot go on elsewhere.
duration silence_limit(silence_facts const& facts);

/// True when the request may have run in an attempt with this result.
bool may_have_run(attempt_result result);

/// Decides what follows a failed attempt. At most `max_backends` servers run one request. A request is sent
/// again only if it did not run, is idempotent or resumes a stream.
attempt_step next_attempt_step(attempt_facts const& facts);

} // namespace siskinusher
