#include "decision/request_controller_impl.hpp"

#include <algorithm>
#include <string_view>

namespace siskinusher
{

namespace
{

// Lost attempts that are kept for each server.
constexpr std::size_t max_losses = 64;

// Answers longer than this number of bytes are recorded without their body.
constexpr std::size_t max_recorded_body = 32768;

std::string_view name_of(attempt_result value)
{
    switch (value)
    {
    case attempt_result::answered:
        return "answered";
    case attempt_result::refused_not_run:
        return "refused_not_run";
    case attempt_result::not_sent:
        return "not_sent";
    case attempt_result::connection_lost:
        return "connection_lost";
    case attempt_result::silent:
        return "silent";
    case attempt_result::bad_answer:
        return "bad_answer";
    case attempt_result::caller_gone:
        return "caller_gone";
    }
    return "invalid";
}

bool proves_not_run(attempt_result value)
{
    return value == attempt_result::refused_not_run || value == attempt_result::not_sent;
}

// The server may have died while it ran the request, even if part of the answer arrived.
bool may_end_by_crash(attempt_result value)
{
    return value == attempt_result::connection_lost || value == attempt_result::silent ||
           value == attempt_result::bad_answer;
}

execution_verdict verdict_of(attempt_result value)
{
    if (value == attempt_result::answered)
    {
        return execution_verdict::ran;
    }
    return proves_not_run(value) ? execution_verdict::not_run : execution_verdict::may_have_run;
}

refusal_reason reason_of(attempt_result value)
{
    switch (value)
    {
    case attempt_result::refused_not_run:
        return refusal_reason::overloaded;
    case attempt_result::not_sent:
        return refusal_reason::no_backend;
    case attempt_result::silent:
        return refusal_reason::backend_silent;
    case attempt_result::bad_answer:
        return refusal_reason::answer_truncated;
    default:
        return refusal_reason::backend_failed;
    }
}

/// Time after which the caller may try again; zero when a later try is not expected to succeed.
duration retry_after(refusal_reason reason)
{
    switch (reason)
    {
    case refusal_reason::deadline_unreachable:
    case refusal_reason::queue_full:
    case refusal_reason::overloaded:
    case refusal_reason::no_backend:
    case refusal_reason::retry_budget_exhausted:
    case refusal_reason::no_configuration:
        return seconds(1);
    case refusal_reason::draining:
        return milliseconds(100);
    case refusal_reason::suspect_not_cleared:
    case refusal_reason::record_store_unavailable:
        return seconds(2);
    default:
        return duration{0};
    }
}

} // namespace

void request_controller::impl::end_attempt(open_request& request)
{
    if (!request.local)
    {
        return;
    }
    if (backend_state* const server = router_.find(request.server))
    {
        unsigned& own = server->own[index_of(request.profile.request_rank)];
        own -= own > 0 ? 1 : 0;
        server->suspects -= request.counted_as_suspect && server->suspects > 0 ? 1 : 0;
    }
    request.counted_as_suspect = false;
    auto const equal = in_flight_.find(request.profile.fingerprint);
    if (equal != in_flight_.end() && --equal->second.count == 0)
    {
        in_flight_.erase(equal);
    }
}

void request_controller::impl::on_attempt_progress(attempt_progress const& progress)
{
    open_request* const request = find(progress.number);
    if (request != nullptr && request->phase == request_phase::in_flight &&
        request->attempts == progress.attempt)
    {
        request->answer_started = true;
    }
}

void request_controller::impl::on_attempt_finished(steady_time now, attempt_finished const& finished,
                                                   outbox& out)
{
    open_request* const request = find(finished.number);
    if (request == nullptr || request->attempts != finished.attempt ||
        (request->phase != request_phase::in_flight && request->phase != request_phase::refused_in_flight))
    {
        return;
    }
    backend_name const server = request->local ? request->server : backend_name{};
    std::uint64_t const boot_id = request->boot_id;
    bool const late = request->phase == request_phase::refused_in_flight;
    end_attempt(*request);
    late_count_ -= late ? 1 : 0;
    request->phase = request_phase::ending;
    request->verdict = worst_of(request->verdict, verdict_of(finished.result));
    history_.add(now, finished.number, "attempt_ended", "result=" + std::string(name_of(finished.result)));
    if (finished.result == attempt_result::answered)
    {
        if (request->local)
        {
            duration& mean = request->target->group->mean_service;
            duration const taken = now - request->sent_at;
            mean = mean == duration{0} ? taken : mean + (taken - mean) / 8;
        }
        clear_suspect(now, *request, out);
    }
    if (!server.empty() && may_end_by_crash(finished.result))
    {
        // The loss is recorded even if the request ends here, because the server may be found dead later.
        record_loss(now, *request, finished.server_dead, out);
    }
    if (!server.empty() && finished.server_dead)
    {
        server_died(now, server, boot_id, out);
    }
    backend_state* const state = server.empty() ? nullptr : router_.find(server);
    if (state != nullptr && finished.result == attempt_result::refused_not_run)
    {
        router_.mark_full(*state);
    }
    if (late)
    {
        finish_late(now, *request, finished, out);
    }
    else if (finished.result == attempt_result::answered)
    {
        if (request->recorded)
        {
            call_entry entry;
            record_answer(*request, finished, entry);
            answer_followers(now, *request, entry, out);
        }
        erase(finished.number, out);
    }
    else if (finished.result == attempt_result::caller_gone)
    {
        refuse_followers(now, *request, refusal_reason::outcome_unknown, out);
        erase(finished.number, out);
    }
    else
    {
        after_failure(now, *request, finished, out);
    }
    if (!server.empty())
    {
        dispatch_for_server(now, server, out);
    }
}

void request_controller::impl::record_loss(steady_time now, open_request const& request, bool server_dead,
                                           outbox& out)
{
    auto& lost = losses_[request.server];
    lost.push_back(
        {request.profile.number, request.profile.fingerprint, request.boot_id, request.permitted, now});
    backend_state* const server = router_.find(request.server);
    if (server != nullptr)
    {
        server->unsettled_suspects += request.permitted ? 1 : 0;
        if (!server_dead && !server->dead && server->boot_id == request.boot_id)
        {
            // If the server has restarted already, the boot id in its report shows it.
            out.emplace_back(poll_engine{server->name, server->address});
        }
    }
    if (lost.size() > max_losses)
    {
        lost_attempt const oldest = lost.front();
        lost.pop_front();
        forget_loss(request.server, oldest, out);
    }
}

void request_controller::impl::after_failure(steady_time now, open_request& request,
                                             attempt_finished const& finished, outbox& out)
{
    request_number const number = request.profile.number;
    refusal_reason const reason = reason_of(finished.result);
    request.last_failure = reason;
    request.delivered_tokens = std::max(request.delivered_tokens, finished.delivered_tokens);
    // The instance that took the request counts the servers that may have run it, and this one does not know
    // the count.
    bool const repeated_elsewhere = request.profile.forwarded;
    if (!proves_not_run(finished.result) && (!request.profile.repeatable || repeated_elsewhere))
    {
        refuse_request(now, number, reason, out);
        return;
    }
    if (now >= request.deadline)
    {
        refuse_request(now, number, refusal_reason::deadline_passed, out);
        return;
    }
    if (request.retries >= settings_.max_retries)
    {
        refuse_request(now, number, reason, out);
        return;
    }
    if (!budget_.try_take())
    {
        refuse_request(now, number, refusal_reason::retry_budget_exhausted, out);
        return;
    }
    ++request.retries;
    if (request.local)
    {
        request.avoided_names.push_back(request.server);
    }
    out.emplace_back(count_metric{"siskin_retries_total", std::string(name_of(finished.result))});
    history_.add(now, number, "retried", "cause=" + std::string(name_of(finished.result)));
    backend_state const* const server = request.local ? router_.find(request.server) : nullptr;
    bool const unclear = may_end_by_crash(finished.result) && server != nullptr && !server->dead &&
                         server->boot_id == request.boot_id;
    if (unclear)
    {
        // A server that has restarted already accepts connections again, and only its boot id shows that it
        // died. The request must not be sent to a second server before that is known. The server is polled
        // with each of the next ticks.
        request.phase = request_phase::checking_loss;
        request.loss_check_deadline = now + loss_check_limit;
        ++checking_count_;
        return;
    }
    enqueue(now, request);
    dispatch_for_request(now, request, out);
}

void request_controller::impl::send_refusal(steady_time now, open_request const& request,
                                            refusal_reason reason, execution_verdict verdict, outbox& out)
{
    request_profile const& profile = request.profile;
    out.emplace_back(refuse{profile.number, refusal{reason, verdict, retry_after(reason)}});
    out.emplace_back(count_metric{"siskin_refusals_total", std::string(to_string(reason))});
    out.emplace_back(log_event{"refuse",
                               {{"request", std::to_string(profile.number)},
                                {"reason", std::string(to_string(reason))},
                                {"execution", std::string(to_string(verdict))},
                                {"target", profile.service.empty() ? profile.model : profile.service},
                                {"rank", std::string(to_string(profile.request_rank))},
                                {"attempts", std::to_string(request.attempts)},
                                {"waited_us", std::to_string((now - request.arrived).count())}}});
    history_.add(now, profile.number, "refused",
                 "reason=" + std::string(to_string(reason)) +
                     " execution=" + std::string(to_string(verdict)));
}

void request_controller::impl::refuse_request(steady_time now, request_number number, refusal_reason reason,
                                              outbox& out)
{
    open_request& request = requests_.at(number);
    if (request.phase == request_phase::in_flight)
    {
        send_refusal(now, request, reason, worst_of(request.verdict, execution_verdict::may_have_run), out);
        request.phase = request_phase::refused_in_flight;
        ++late_count_;
        return;
    }
    send_refusal(now, request, reason, request.verdict, out);
    if (request.recorded && request.verdict == execution_verdict::not_run)
    {
        record_abandoned(request);
    }
    refuse_followers(now, request, reason, out);
    erase(number, out);
}

// The caller has already received a refusal; the late result still completes the record of a keyed call.
void request_controller::impl::finish_late(steady_time now, open_request& request,
                                           attempt_finished const& finished, outbox& out)
{
    if (request.recorded && finished.result == attempt_result::answered)
    {
        call_entry entry;
        record_answer(request, finished, entry);
        answer_followers(now, request, entry, out);
    }
    else if (request.recorded && request.verdict == execution_verdict::not_run)
    {
        record_abandoned(request);
    }
    refuse_followers(now, request, reason_of(finished.result), out);
    erase(request.profile.number, out);
}

// The call is known not to have run, so its key may be used again.
void request_controller::impl::record_abandoned(open_request const& request)
{
    call_entry entry;
    entry.key = request.profile.idempotency_key;
    entry.body_digest = request.profile.body_digest;
    entry.nonce = request.nonce;
    entry.state = call_state::abandoned;
    finished_calls_.push_back(std::move(entry));
}

void request_controller::impl::record_answer(open_request const& request, attempt_finished const& finished,
                                             call_entry& entry)
{
    entry.key = request.profile.idempotency_key;
    entry.body_digest = request.profile.body_digest;
    entry.nonce = request.nonce;
    entry.state = call_state::done;
    entry.status = finished.status;
    entry.content_type = finished.content_type;
    entry.body = finished.body;
    finished_calls_.push_back(entry);
    if (entry.body.size() > max_recorded_body)
    {
        finished_calls_.back().body.clear();
        finished_calls_.back().body_kept = false;
    }
}

void request_controller::impl::answer_followers(steady_time now, open_request const& request,
                                                call_entry const& entry, outbox& out)
{
    for (request_number number : std::vector<request_number>(request.same_key_waiters))
    {
        open_request const* const follower = find(number);
        if (follower != nullptr && follower->phase == request_phase::awaiting_same_key)
        {
            history_.add(now, number, "replayed", "first=" + std::to_string(request.profile.number));
            out.emplace_back(replay_answer{number, entry});
            erase(number, out);
        }
    }
}

void request_controller::impl::refuse_followers(steady_time now, open_request const& request,
                                                refusal_reason reason, outbox& out)
{
    bool const unclear = request.verdict != execution_verdict::not_run;
    bool const already = reason == refusal_reason::already_ran;
    for (request_number number : std::vector<request_number>(request.same_key_waiters))
    {
        open_request* const follower = find(number);
        if (follower == nullptr || follower->phase != request_phase::awaiting_same_key)
        {
            continue;
        }
        follower->verdict = request.verdict;
        refuse_request(now, number, unclear && !already ? refusal_reason::outcome_unknown : reason, out);
    }
}

void request_controller::impl::erase(request_number number, outbox& out)
{
    auto const found = requests_.find(number);
    open_request& request = found->second;
    if (request.phase == request_phase::queued)
    {
        dequeue(request);
    }
    late_count_ -= request.phase == request_phase::refused_in_flight ? 1 : 0;
    checking_count_ -= request.phase == request_phase::checking_loss ? 1 : 0;
    give_back_permit(request, out);
    auto const key = running_keys_.find(request.profile.idempotency_key);
    if (key != running_keys_.end() && key->second == number)
    {
        running_keys_.erase(key);
    }
    --request.target->open;
    requests_.erase(found);
}

void request_controller::impl::on_cancelled(steady_time now, request_number number, outbox& out)
{
    open_request* const request = find(number);
    if (request == nullptr || request->phase == request_phase::in_flight ||
        request->phase == request_phase::refused_in_flight)
    {
        return;
    }
    history_.add(now, number, "cancelled");
    if (request->recorded && request->verdict == execution_verdict::not_run)
    {
        record_abandoned(*request);
    }
    refuse_followers(now, *request, refusal_reason::overloaded, out);
    erase(number, out);
}

} // namespace siskinusher
