#include "core/refusal.hpp"

#include <array>

namespace siskinusher
{

namespace
{

struct reason_row
{
    std::string_view name;
    int status;
};

constexpr std::array<reason_row, refusal_reason_count> rows{{
    {"unknown_model", 404},
    {"unknown_service", 404},
    {"malformed_request", 400},
    {"deadline_unreachable", 503},
    {"deadline_passed", 504},
    {"queue_full", 503},
    {"overloaded", 503},
    {"draining", 503},
    {"no_configuration", 503},
    {"no_backend", 503},
    {"no_replica_quota", 503},
    {"model_not_loadable", 503},
    {"retry_budget_exhausted", 503},
    {"backend_failed", 502},
    {"backend_silent", 504},
    {"answer_truncated", 502},
    {"crashes_server", 422},
    {"suspect_not_cleared", 503},
    {"record_store_unavailable", 503},
    {"outcome_unknown", 409},
    {"key_reused", 422},
    {"already_ran", 409},
}};

constexpr reason_row invalid_row{"invalid", 500};

reason_row const& row_of(refusal_reason value)
{
    auto const index = static_cast<std::size_t>(value);
    return index < rows.size() ? rows.at(index) : invalid_row;
}

} // namespace

std::string_view to_string(refusal_reason value)
{
    return row_of(value).name;
}

int http_status(refusal_reason value)
{
    return row_of(value).status;
}

} // namespace siskinusher
