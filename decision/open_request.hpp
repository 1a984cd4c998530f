#pragma once

#include "core/refusal.hpp"
#include "decision/admission_queue.hpp"
#include "domain/request_profile.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace siskinusher
{

/// Progress of a request between its arrival and its final answer.
enum class request_phase
{
    recording,         ///< Waits until the start of the call, which has an idempotency key, is recorded.
    awaiting_same_key, ///< Waits for the answer of a running call with the same idempotency key.
    asking_permit,     ///< Suspected of crashing servers; waits for a permit to run.
    queued,
    checking_loss, ///< The connection was lost; the server's boot id will show whether the server died.
    in_flight,
    ending,            ///< The attempt has ended and the next step is being decided.
    refused_in_flight, ///< Refused at its deadline while the attempt was in flight.
};

struct target_state;

/// Orders targets and groups by name. An order by address would differ between runs with the same input.
struct name_order
{
    template <typename Named>
    bool operator()(Named const* a, Named const* b) const
    {
        return a->sort_key() < b->sort_key();
    }
};

/// A model with its adapters, or a plain service.
struct target_group
{
    std::string name;
    bool service = false;
    duration mean_service{0}; ///< Zero until measured.
    std::set<target_state*, name_order> waiting;
    bool without_server = false;
    steady_time without_server_since;
    std::optional<steady_time> last_load_request;

    std::pair<bool, std::string_view> sort_key() const { return {service, name}; }
};

/// A model, an adapter or a plain service.
struct target_state
{
    target_group* group = nullptr;
    std::string adapter;
    target_queue queue;
    unsigned open = 0;
    steady_time last_used;
    std::optional<steady_time> last_load_request;

    std::string_view sort_key() const { return adapter; }
};

/// A request that this instance has accepted and not yet finished.
struct open_request
{
    request_profile profile;
    target_state* target = nullptr;
    steady_time arrived;
    steady_time deadline;
    std::uint64_t sequence = 0;
    request_phase phase = request_phase::queued;
    unsigned attempts = 0;
    unsigned retries = 0;
    unsigned delivered_tokens = 0;
    execution_verdict verdict = execution_verdict::not_run;
    std::optional<refusal_reason> last_failure;
    std::vector<std::string> avoided_names; ///< Servers, instances and data centres that failed this request.
    /// Servers on which this instance may run the request as a suspect; empty for all.
    std::vector<backend_name> suspect_servers;

    backend_name server; ///< Server of the current or last attempt.
    std::uint64_t boot_id = 0;
    steady_time sent_at;
    bool local = true;
    // The caller has got the first byte, so the deadline is met; the adapter ends the attempt.
    bool answer_started = false;
    bool counted_as_suspect = false;

    std::uint64_t nonce = 0;
    /// The start of the call may have been recorded in the object store with this nonce.
    bool recorded = false;
    std::vector<request_number> same_key_waiters;

    bool permitted = false;
    steady_time next_permit_request;
    std::optional<steady_time>
        permit_reply_deadline; ///< Until when a permit reply is awaited; empty while none is due.
    steady_time loss_check_deadline;
};

/// An attempt that may have ended because its server died.
struct lost_attempt
{
    request_number number = 0;
    std::uint64_t fingerprint = 0;
    std::uint64_t boot_id = 0;
    bool permitted = false;
    steady_time at;
};

/// Requests in flight with the same fingerprint; they all go to the same server.
struct same_fingerprint_requests
{
    backend_name server;
    unsigned count = 0;
};

} // namespace siskinusher
