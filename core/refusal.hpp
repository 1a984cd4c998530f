#pragma once

#include "core/execution_verdict.hpp"
#include "core/steady_time.hpp"

#include <cstddef>
#include <string_view>

namespace siskinusher
{

/// Why a request was refused. Each reason has its own counter and its own entry in docs/operators.md.
enum class refusal_reason
{
    unknown_model,
    unknown_service,
    malformed_request,
    deadline_unreachable,
    deadline_passed,
    queue_full,
    overloaded,
    draining,
    no_configuration,
    no_backend,
    no_replica_quota,
    model_not_loadable,
    retry_budget_exhausted,
    backend_failed,
    backend_silent,
    answer_truncated,
    crashes_server,
    suspect_not_cleared,
    record_store_unavailable,
    outcome_unknown,
    key_reused,
    already_ran,
    count_, ///< Number of reasons; not a reason.
};

constexpr std::size_t refusal_reason_count = static_cast<std::size_t>(refusal_reason::count_);

/// The name used in problem documents, logs and metrics.
std::string_view to_string(refusal_reason value);

/// HTTP status code of a refusal for this reason.
int http_status(refusal_reason value);

/// The answer to a request that is not served.
struct refusal
{
    refusal_reason reason{refusal_reason::overloaded};
    execution_verdict execution{execution_verdict::not_run};
    duration retry_after{0}; ///< Zero when a retry is not expected to help.

    friend bool operator==(refusal const& a, refusal const& b)
    {
        return a.reason == b.reason && a.execution == b.execution && a.retry_after == b.retry_after;
    }
    friend bool operator!=(refusal const& a, refusal const& b) { return !(a == b); }
};

} // namespace siskinusher
