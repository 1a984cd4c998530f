#include "apps/request_log.hpp"

#include "adapters/boot_clock.hpp"
#include "adapters/ports.hpp"

#include <algorithm>

namespace siskinusher
{

namespace
{

// Callers choose the ids, so that their number and length in a line are limited.
constexpr std::size_t max_logged_parts = 8;
constexpr std::size_t max_logged_text_length = 40;
// Further organisations share one counter, so that the metrics stay small.
constexpr std::size_t max_counted_organisations = 200;

std::string ms_text(duration value)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(value).count());
}

std::string parts_text(std::vector<prompt_part> const& prompt)
{
    std::vector<std::string> const ids = shared_part_ids(prompt);
    std::string text;
    for (std::size_t i = 0; i < std::min(ids.size(), max_logged_parts); ++i)
    {
        text.append(i == 0 ? "" : ",").append(ids[i].substr(0, max_logged_text_length));
    }
    return text;
}

char const* named_by(platform::answer_info const& facts)
{
    if (!facts.names_request)
    {
        return "none";
    }
    return facts.wrong_request_id ? "another" : "this";
}

} // namespace

char const* to_string(attempt_ender ender)
{
    switch (ender)
    {
    case attempt_ender::server:
        return "server";
    case attempt_ender::instance:
        return "instance";
    case attempt_ender::caller:
        return "caller";
    }
    return "unknown";
}

request_log::request_log(log_port& log, metric_port& metrics, latency_port& latencies)
    : log_(log), metrics_(metrics), latencies_(latencies)
{
}

void request_log::refused_unrouted(open_exchange const& open, int status, std::string const& reason,
                                   std::uint64_t config_version)
{
    metrics_.add("siskin_refusals_total", reason, 1);
    log_.write({"refused",
                {{"request", open.request.request_id},
                 {"reason", reason},
                 {"status", std::to_string(status)},
                 {"execution", "not_run"},
                 {"host", open.request.host},
                 {"path", open.request.target},
                 {"config", std::to_string(config_version)}}});
}

void request_log::caller_refused(std::string const& request_id, int status,
                                 siskinusher::caller_refused const& refused, duration proof_age,
                                 std::uint64_t config_version)
{
    char const* const reason = to_string(refused.fault);
    metrics_.add("siskin_refusals_total", reason, 1);
    log_event event{"caller_refused",
                    {{"request", request_id.substr(0, max_logged_text_length)},
                     {"reason", reason},
                     {"status", std::to_string(status)},
                     {"execution", "not_run"},
                     {"proof_age_ms", ms_text(proof_age)},
                     {"retry_after_ms", ms_text(refused.retry_after)},
                     {"config", std::to_string(config_version)}}};
    if (refused.caller != nullptr)
    {
        count_organisation_refusal(refused.caller->name, reason);
        event.fields.emplace_back("organisation", refused.caller->name);
    }
    log_.write(event);
}

void request_log::over_limit(open_exchange const& open, duration retry_after, std::uint64_t held)
{
    constexpr char const* reason = "quota_exceeded";
    count_organisation_refusal(open.request.organisation, reason);
    log_.write({reason,
                {{"request", open.request.request_id},
                 {"organisation", open.request.organisation},
                 {"cost", std::to_string(open.quota_cost)},
                 {"held", std::to_string(held)},
                 {"retry_after_ms", ms_text(retry_after)},
                 {"execution", "not_run"}}});
}

void request_log::quota_unchecked(open_exchange const& open, duration waited)
{
    constexpr char const* reason = "quota_unchecked";
    count_organisation_refusal(open.request.organisation, reason);
    log_.write({reason,
                {{"request", open.request.request_id},
                 {"organisation", open.request.organisation},
                 {"cost", std::to_string(open.quota_cost)},
                 {"waited_ms", ms_text(waited)},
                 {"execution", "not_run"}}});
}

void request_log::write_of(open_exchange const& open, log_event event)
{
    if (!open.request.organisation.empty())
    {
        event.fields.emplace_back("organisation", open.request.organisation);
    }
    log_.write(event);
}

void request_log::count_organisation_refusal(std::string const& organisation, char const* reason)
{
    bool const counted = counted_organisations_.count(organisation) > 0 ||
                         counted_organisations_.size() < max_counted_organisations;
    if (counted)
    {
        counted_organisations_.insert(organisation);
    }
    metrics_.add("siskin_organisation_refusals_total", (counted ? organisation : "other") + ":" + reason, 1);
}

void request_log::no_server(open_exchange const& open, reject_request const& step, std::size_t known_servers)
{
    log_.write({"no_server",
                {{"request", open.request.request_id},
                 {"reason", std::string(to_string(step.answer.reason))},
                 {"service", open.service},
                 {"model", open.request.model},
                 {"adapter", open.request.adapter},
                 {"candidates", std::to_string(step.basis.candidates)},
                 {"limited", std::to_string(step.basis.limited)},
                 {"known_servers", std::to_string(known_servers)},
                 {"waited_ms", ms_text(step.basis.waited)},
                 {"retry_after_ms", ms_text(step.answer.retry_after)}}});
}

void request_log::crash_blocked(open_exchange const& open, crash_block const& block)
{
    log_.write({"blocked",
                {{"request", open.request.request_id},
                 {"suspect", block.suspect},
                 {"crashes", std::to_string(block.crashes)},
                 {"age_ms", ms_text(block.age)},
                 {"retry_after_ms", ms_text(block.remaining)},
                 {"execution", open.may_have_run ? "may_have_run" : "not_run"}}});
}

void request_log::crash_trial(open_exchange const& open, crash_block const& block)
{
    metrics_.add("siskin_crash_trials_total", "", 1);
    log_.write({"crash_trial",
                {{"request", open.request.request_id},
                 {"suspect", block.suspect},
                 {"crashes", std::to_string(block.crashes)},
                 {"age_ms", ms_text(block.age)}}});
}

void request_log::take_up(open_exchange const& open, char const* source)
{
    metrics_.add("siskin_take_ups_total", source, 1);
    log_.write({"take_up",
                {{"request", open.request.request_id},
                 {"stream", open.request.taken_up_id},
                 {"after_event", std::to_string(open.request.resume_after.value_or(0))},
                 {"version", open.version.value_or("")},
                 {"source", source}}});
}

void request_log::attempt_started(open_exchange const& open, server_attempt const& attempt,
                                  assign_request const& step, backend_name const& replaced)
{
    connection_use const use = attempt.exchange->use();
    if (use.closed_with_bytes > 0)
    {
        metrics_.add("siskin_extra_answers_total", "idle", use.closed_with_bytes);
    }
    write_of(open, {"attempt",
                    {{"request", open.request.request_id},
                     {"service", open.service},
                     {"model", open.request.model},
                     {"backend", step.target.backend},
                     {"candidates", std::to_string(step.basis.candidates)},
                     {"limited", std::to_string(step.basis.limited)},
                     {"in_use", std::to_string(step.basis.in_use)},
                     {"load_age_ms", ms_text(step.basis.load_age)},
                     {"on_trial", step.basis.on_trial ? "true" : ""},
                     {"waited_ms", ms_text(step.basis.waited)},
                     {"send", std::to_string(open.times_sent + 1)},
                     {"via_peer", attempt.via_peer ? "true" : "false"},
                     {"servers_lent", std::to_string(attempt.servers_lent)},
                     {"servers_run", std::to_string(open.backends_run)},
                     {"version", open.version.value_or("")},
                     {"replaces", replaced},
                     {"connection", std::to_string(use.connection)},
                     {"connection_requests", std::to_string(use.earlier_requests)},
                     {"closed_with_bytes", std::to_string(use.closed_with_bytes)}}});
}

void request_log::attempt_ended(open_exchange const& open, server_attempt const& attempt,
                                std::string const& why, attempt_ender ender, std::string const& next)
{
    metrics_.add("siskin_attempts_ended_total", why, 1);
    steady_time const now = boot_now();
    bool const answered = attempt.facts.has_value();
    log_.write({"attempt_failed",
                {{"request", open.request.request_id},
                 {"backend", attempt.target.backend},
                 {"why", why},
                 {"ended_by", to_string(ender)},
                 {"answer_status", answered ? std::to_string(attempt.facts->status) : attempt.invalid_status},
                 {"answer_names", answered ? named_by(*attempt.facts) : ""},
                 {"connection", std::to_string(attempt.connection)},
                 {"after_ms", ms_text(now - attempt.begun_at)},
                 {"silent_ms", ms_text(now - std::max(attempt.begun_at, open.last_event_at))},
                 {"events", std::to_string(open.events_forwarded)},
                 {"left_ms", ms_text(open.deadline - now)},
                 {"shared_parts", parts_text(open.request.prompt)},
                 {"fingerprint", open.suspects.request},
                 {"via_peer", attempt.via_peer ? "true" : "false"},
                 {"next", next}}});
}

void request_log::extra_answer(open_exchange const& open, server_attempt const& attempt, int status,
                               std::string const& named)
{
    metrics_.add("siskin_extra_answers_total", "skipped", 1);
    log_.write({"extra_answer",
                {{"request", open.request.request_id},
                 {"backend", attempt.target.backend},
                 {"connection", std::to_string(attempt.connection)},
                 {"place", "before"},
                 {"answer_status", std::to_string(status)},
                 {"answers", named.substr(0, max_logged_text_length)},
                 {"after_ms", ms_text(boot_now() - attempt.begun_at)}}});
}

void request_log::bytes_behind(open_exchange const& open, server_attempt const& attempt)
{
    std::size_t const bytes = attempt.exchange ? attempt.exchange->bytes_behind() : 0;
    if (bytes == 0)
    {
        return;
    }
    metrics_.add("siskin_extra_answers_total", "behind", 1);
    log_.write({"extra_answer",
                {{"request", open.request.request_id},
                 {"backend", attempt.target.backend},
                 {"connection", std::to_string(attempt.connection)},
                 {"place", "behind"},
                 {"bytes", std::to_string(bytes)},
                 {"after_ms", ms_text(boot_now() - attempt.begun_at)}}});
}

void request_log::server_limit(open_exchange const& open, server_attempt const& attempt)
{
    platform::answer_info const& facts = *attempt.facts;
    limit_change("server_limit", "siskin_server_limits_total", facts.limit, facts.unreadable_limit, open,
                 attempt);
}

void request_log::server_brittle(open_exchange const& open, server_attempt const& attempt)
{
    platform::answer_info const& facts = *attempt.facts;
    limit_change("server_brittle", "siskin_brittle_servers_total", facts.refusal_limit,
                 facts.unreadable_refusal_limit, open, attempt);
}

void request_log::server_leaves(open_exchange const& open, server_attempt const& attempt)
{
    metrics_.add("siskin_server_announcements_total", "leaves", 1);
    log_.write(
        {"server_leaves", {{"backend", attempt.target.backend}, {"request", open.request.request_id}}});
}

void request_log::server_pauses(open_exchange const& open, server_attempt const& attempt, duration span)
{
    std::string const& unreadable = attempt.facts->unreadable_pause;
    metrics_.add("siskin_server_announcements_total", unreadable.empty() ? "pauses" : "pauses_unreadable", 1);
    log_.write({"server_pauses",
                {{"backend", attempt.target.backend},
                 {"for_ms", ms_text(span)},
                 {"unreadable", unreadable.substr(0, max_logged_text_length)},
                 {"request", open.request.request_id}}});
}

void request_log::limit_change(char const* event, char const* counter, std::optional<double> per_second,
                               std::string const& unreadable, open_exchange const& open,
                               server_attempt const& attempt)
{
    char const* const outcome = !unreadable.empty() ? "ignored" : per_second ? "named" : "ended";
    metrics_.add(counter, outcome, 1);
    log_.write({event,
                {{"backend", attempt.target.backend},
                 {"outcome", outcome},
                 {"per_second", per_second ? std::to_string(*per_second) : ""},
                 {"unreadable", unreadable.substr(0, max_logged_text_length)},
                 {"request", open.request.request_id}}});
}

void request_log::server_silent(open_exchange const& open, std::string const& next, std::string const& reason)
{
    metrics_.add("siskin_silent_servers_total", next, 1);
    steady_time const now = boot_now();
    log_.write({"server_silent",
                {{"request", open.request.request_id},
                 {"backend", open.current->target.backend},
                 {"silent_ms", ms_text(now - std::max(open.current->begun_at, open.last_event_at))},
                 {"events", std::to_string(open.events_forwarded)},
                 {"left_ms", ms_text(open.deadline - now)},
                 {"next", next},
                 {"reason", reason}}});
}

void request_log::request_ended(open_exchange const& open, std::string const& outcome, int status,
                                std::uint64_t config_version)
{
    metrics_.add("siskin_requests_total", outcome, 1);
    std::string const priority = std::to_string(open.route.priority);
    duration const total = boot_now() - open.caller->arrived();
    latencies_.observe("siskin_answer_seconds", priority, total);
    if (open.first_event_after > duration{0})
    {
        latencies_.observe("siskin_first_event_seconds", priority, open.first_event_after);
    }
    write_of(open, {"request",
                    {{"request", open.request.request_id},
                     {"outcome", outcome},
                     {"status", std::to_string(status)},
                     {"route", open.route.name},
                     {"service", open.service},
                     {"model",
                      open.request.model + (open.request.adapter.empty() ? "" : "/" + open.request.adapter)},
                     {"backend", open.current ? open.current->target.backend : backend_name()},
                     {"attempts", std::to_string(open.attempts)},
                     {"servers_run", std::to_string(open.backends_run)},
                     {"servers_allowed", std::to_string(open.route.max_backends)},
                     {"passed_on_by", open.passed_on_by},
                     {"last_failure", open.last_failure},
                     {"first_event_ms", ms_text(open.first_event_after)},
                     {"longest_pause_ms", ms_text(open.longest_pause)},
                     {"events", std::to_string(open.events_forwarded)},
                     {"total_ms", ms_text(total)},
                     {"allowed_ms", ms_text(open.deadline - open.caller->arrived())},
                     {"config", std::to_string(config_version)},
                     {"config_at_arrival", std::to_string(open.config_version)}}});
}

} // namespace siskinusher
