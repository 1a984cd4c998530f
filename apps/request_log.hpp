#pragma once

#include "apps/open_exchange_impl.hpp"
#include "decision/caller_admission.hpp"
#include "decision/crash_ledger.hpp"
#include "decision/dispatcher.hpp"
#include "domain/action.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace siskinusher
{

struct log_port;
struct latency_port;
struct metric_port;

/// Who ended an attempt: the side whose action made it impossible to go on.
enum class attempt_ender
{
    server,   ///< It closed the connection, refused, or answered with a failure.
    instance, ///< This instance gave up: a limit passed, or the answer was faulty.
    caller,   ///< The caller closed its connection.
};

char const* to_string(attempt_ender ender);

/// Writes one log line for each decision on a request, and counts final answers and ended attempts.
class request_log
{
public:
    /// All references must outlive the object.
    request_log(log_port& log, metric_port& metrics, latency_port& latencies);

    /// A request that is refused before it has a route. `config_version` is 0 before the first configuration.
    void refused_unrouted(open_exchange const& open, int status, std::string const& reason,
                          std::uint64_t config_version);
    /// A request whose caller has no key that may be used. `proof_age` is the age of the proof that the
    /// configuration is the newest one. Neither the key nor the path, which may contain one, is logged.
    void caller_refused(std::string const& request_id, int status, siskinusher::caller_refused const& refused,
                        duration proof_age, std::uint64_t config_version);
    /// The organisation of a request has used up its limit.
    void over_limit(open_exchange const& open, duration retry_after, std::uint64_t held);
    /// No lease holder has told whether the organisation of a request is within its limit.
    void quota_unchecked(open_exchange const& open, duration waited);
    void no_server(open_exchange const& open, reject_request const& step, std::size_t known_servers);
    /// A blocked request that is sent, to see whether it still crashes servers.
    void crash_trial(open_exchange const& open, crash_block const& block);
    /// A request that is not sent because it, or a part of its prompt, crashes servers.
    void crash_blocked(open_exchange const& open, crash_block const& block);
    /// A caller takes up a stream. `source` tells who knew the version at which it must go on.
    void take_up(open_exchange const& open, char const* source);
    /// `replaced` is the server of the attempt that makes no progress; empty for none.
    void attempt_started(open_exchange const& open, server_attempt const& attempt, assign_request const& step,
                         backend_name const& replaced);
    /// `next` names what follows, for example "send_again" or "end".
    void attempt_ended(open_exchange const& open, server_attempt const& attempt, std::string const& why,
                       attempt_ender ender, std::string const& next);
    /// Before its answer to this attempt, the server repeated one to an earlier request of the connection,
    /// `named`.
    void extra_answer(open_exchange const& open, server_attempt const& attempt, int status,
                      std::string const& named);
    /// Writes a line when bytes have arrived behind the attempt's complete answer; its connection is closed.
    void bytes_behind(open_exchange const& open, server_attempt const& attempt);
    /// The server of an attempt has named another limit, none any more, or an unreadable one.
    void server_limit(open_exchange const& open, server_attempt const& attempt);
    /// A server says in an answer that it leaves.
    void server_leaves(open_exchange const& open, server_attempt const& attempt);
    /// A server asks for a pause and gets no request for `span`.
    void server_pauses(open_exchange const& open, server_attempt const& attempt, duration span);
    /// As server_limit, for the refusals a second that a server bears.
    void server_brittle(open_exchange const& open, server_attempt const& attempt);
    /// The server of the current attempt makes no progress. `next` is "look_elsewhere" or "keep"; `reason`
    /// tells why the attempt is kept.
    void server_silent(open_exchange const& open, std::string const& next, std::string const& reason);
    /// `status` is 0 if the answer was broken off or the caller has left.
    void request_ended(open_exchange const& open, std::string const& outcome, int status,
                       std::uint64_t config_version);

private:
    /// Adds the organisation of a request that has one.
    void write_of(open_exchange const& open, log_event event);
    void count_organisation_refusal(std::string const& organisation, char const* reason);
    void limit_change(char const* event, char const* counter, std::optional<double> per_second,
                      std::string const& unreadable, open_exchange const& open,
                      server_attempt const& attempt);

    log_port& log_;
    metric_port& metrics_;
    latency_port& latencies_;
    std::set<std::string> counted_organisations_; ///< With counters of their own.
};

} // namespace siskinusher
