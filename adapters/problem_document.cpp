#include "adapters/problem_document.hpp"

#include <nlohmann/json.hpp>

namespace siskinusher
{

std::string problem_document(refusal const& why, int status, std::string_view detail,
                             std::string_view request_id)
{
    nlohmann::ordered_json document{
        {"type", "about:blank"},
        {"title", to_string(why.reason)},
        {"status", status},
        {"reason", to_string(why.reason)},
        {"execution", to_string(why.execution)},
        {"retry_after_ms", std::chrono::duration_cast<milliseconds>(why.retry_after).count()},
        {"request_id", request_id},
    };
    if (!detail.empty())
    {
        document["detail"] = detail;
    }
    return document.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

std::string retry_after_seconds(refusal const& why)
{
    if (why.retry_after <= duration::zero())
    {
        return {};
    }
    return std::to_string((why.retry_after.count() + 999999) / 1000000);
}

std::string problem_execution(std::string_view body)
{
    auto const document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object())
    {
        return {};
    }
    auto const found = document.find("execution");
    return found != document.end() && found->is_string() ? found->get<std::string>() : std::string{};
}

} // namespace siskinusher
