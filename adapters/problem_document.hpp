#pragma once

#include "core/refusal.hpp"

#include <string>
#include <string_view>

namespace siskinusher
{

constexpr char const* problem_content_type = "application/problem+json";

/// The body of a refusal: type, title, status, detail, reason, execution, retry_after_ms and request_id.
std::string problem_document(refusal const& why, int status, std::string_view detail,
                             std::string_view request_id);

/// Value of the header Retry-After in whole seconds, rounded up; empty when a retry is not expected to help.
std::string retry_after_seconds(refusal const& why);

/// The member "execution" of a problem document; empty when the body has none.
std::string problem_execution(std::string_view body);

} // namespace siskinusher
