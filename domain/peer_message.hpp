#pragma once

#include "core/rank.hpp"
#include "core/steady_time.hpp"
#include "domain/engine_report.hpp"
#include "domain/identifiers.hpp"
#include "domain/store_call.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace siskinusher
{

/// Sent every second to the live instances of the data centre.
struct heartbeat
{
    std::string data_centre;
    std::uint64_t config_generation = 0;
    std::uint64_t lease_epoch = 0;
    std::string lease_holder; ///< Name of the holder as the sender knows it; empty when unknown.
    bool draining = false;
    bool knows_store = false; ///< The sender reached the object store within the last lease duration.
};

/// Changed reports of engines, sent by the home instance: the one that polls them for the data centre.
struct engine_reports
{
    std::vector<engine_report> reports;
};

/// The free capacity of one data centre, sent to the other data centres.
struct data_centre_summary
{
    std::string data_centre;
    std::uint64_t sequence = 0;
    /// By loaded model; 0 for a model that is loaded but has no free place.
    std::map<std::string, unsigned> free_places;
};

/// Asks the lease holder to load a model or adapter.
struct load_request
{
    std::string model;
    std::string adapter; ///< Empty for the base model.
    rank highest_rank{rank::standard};
    duration nearest_deadline{0}; ///< Time left until it when the message was sent.
    unsigned waiting = 0;
};

/// Asks a confirmed member not to claim the lease until `promise_duration` after receipt.
struct promise_request
{
    std::uint64_t epoch = 0;
    std::uint64_t round = 0;
    std::vector<intent> intents; ///< All unsettled intents; the member keeps them.
};
struct promise_reply
{
    std::uint64_t epoch = 0;
    std::uint64_t round = 0;
    bool promised = false;
};

/// Asks a member that reaches the object store to write the record unchanged on behalf of the lease holder.
struct relay_write
{
    std::uint64_t round = 0;
    object_version expected = 0;
    data_centre_record record;
};
struct relay_result
{
    std::uint64_t round = 0;
    bool written = false;
    object_version version = 0; ///< Valid when written.
};

/// Tells the data centre that an intent of the sender has ended and cannot take effect any more.
struct intent_settled
{
    std::vector<std::uint64_t> intent_ids;
};

struct config_fetch
{
    std::uint64_t have_generation = 0;
};
struct config_text
{
    config_object object; ///< Generation zero when the sender has none.
};

/// Asks a shard's committer, the instance that writes the shard's records, to record the start of a call.
struct record_begin
{
    std::uint64_t tag = 0;
    call_entry entry; ///< State started.
};
/// Asks a shard's committer to record the end (done or abandoned) of a call.
struct record_finish
{
    std::uint64_t tag = 0;
    call_entry entry;
};
/// The answer of a shard's committer to record_begin or record_finish.
enum class call_start_outcome
{
    granted,         ///< Recorded; after record_begin the call may be made.
    replay,          ///< The call ended before: its recorded answer is returned.
    key_reused,      ///< The key is recorded with another request body.
    outcome_unknown, ///< Another request started the call, and it may have run.
    unavailable,     ///< Not confirmed: the call must not be made.
};
struct record_result
{
    std::uint64_t tag = 0;
    call_start_outcome outcome{call_start_outcome::unavailable};
    call_entry entry; ///< The recorded answer when the outcome is replay.
};

/// Fingerprints of the requests that were in flight on a server that died.
struct suspect_announce
{
    std::vector<std::uint64_t> fingerprints;
    backend_name server;
    std::uint64_t boot_id = 0; ///< The run of the server that ended.
};
/// Asks the home instance of a suspect fingerprint for the permit to run a request that has it.
struct suspect_permit_request
{
    std::uint64_t fingerprint = 0;
    std::uint64_t tag = 0;
};
struct suspect_permit_reply
{
    std::uint64_t fingerprint = 0;
    std::uint64_t tag = 0;
    bool granted = false;
    bool confirmed = false; ///< The fingerprint is known to crash servers.
};
/// A request with this suspect fingerprint finished without a crash.
struct suspect_cleared
{
    std::uint64_t fingerprint = 0;
};
/// Requests with this fingerprint crashed a second server; they are refused everywhere.
struct crash_confirmed
{
    std::uint64_t fingerprint = 0;
};

/// A backend server is leaving; sent by the first instance that learns of it.
struct backend_leaving
{
    backend_name server;
    std::uint64_t boot_id = 0;
};

/// The platform's instance list as the sender last received it, for an instance that has just started and
/// may be unable to reach the platform.
struct server_list
{
    std::vector<listed_server> servers;
};

using peer_message =
    std::variant<heartbeat, engine_reports, data_centre_summary, load_request, promise_request, promise_reply,
                 relay_write, relay_result, intent_settled, config_fetch, config_text, record_begin,
                 record_finish, record_result, suspect_announce, suspect_permit_request, suspect_permit_reply,
                 suspect_cleared, crash_confirmed, backend_leaving, server_list>;

/// Name of the message kind, as on the wire and in the byte counters.
char const* kind_name(peer_message const& message);

} // namespace siskinusher
