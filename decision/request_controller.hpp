#pragma once

#include "decision/request_settings.hpp"
#include "domain/action.hpp"
#include "domain/call_start.hpp"
#include "domain/event.hpp"
#include "domain/member.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace siskinusher
{

/// Handles the requests that this instance accepted, from their arrival to their only final answer:
/// admission, queues by rank, routing, retries, suspects and keyed calls. It does no I/O and has no clock of
/// its own; actions go to the outbox.
///
/// A request ends with an attempt that was answered, or with one of the actions refuse and replay_answer.
/// After each call that takes an outbox, the owner fetches take_finished_calls() first, then
/// take_call_starts() and take_load_requests().
class request_controller
{
public:
    request_controller(request_settings settings, std::uint64_t seed);
    ~request_controller();
    request_controller(request_controller&&) noexcept;
    request_controller& operator=(request_controller&&) noexcept;
    request_controller(request_controller const&) = delete;
    request_controller& operator=(request_controller const&) = delete;

    void on_config(steady_time now, std::shared_ptr<fleet_config const> config, outbox& out);
    void on_tick(steady_time now, outbox& out);
    void on_request(steady_time now, request_profile const& profile, outbox& out);
    void on_attempt_finished(steady_time now, attempt_finished const& finished, outbox& out);
    /// The first byte of the answer was sent to the caller, so the deadline is met.
    void on_attempt_progress(attempt_progress const& progress);
    /// The caller of a request that is not in flight has gone: the request ends without an answer.
    void on_cancelled(steady_time now, request_number number, outbox& out);
    /// Handles engine_reports, data_centre_summary, suspect_*, crash_confirmed and backend_leaving; ignores
    /// other kinds.
    void on_peer(steady_time now, instance_id const& from, peer_message const& message, outbox& out);
    /// `members` are all live instances of the fleet.
    void on_members(steady_time now, std::vector<member> const& members);
    void on_instances(steady_time now, std::vector<listed_server> const& servers, outbox& out);
    /// Takes a report that this instance polled itself.
    void on_report(steady_time now, engine_report const& report, outbox& out);
    void on_engine_unreachable(steady_time now, engine_unreachable const& what, outbox& out);
    void on_call_start_result(steady_time now, call_start_result const& result, outbox& out);
    /// From now on new requests are refused; accepted requests are finished.
    void drain(steady_time now);

    std::vector<load_request> take_load_requests();
    std::vector<call_start> take_call_starts();
    std::vector<call_entry> take_finished_calls();

    /// Number of requests that still wait for their final answer.
    std::size_t open_requests() const;
    /// The decisions about one of the latest requests, oldest first.
    std::vector<std::string> decision_history(request_number number) const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace siskinusher
