#include "decision/request_history.hpp"

#include <utility>

namespace siskinusher
{

request_history::request_history(std::size_t max_requests, std::size_t max_steps)
    : max_requests_(max_requests), max_steps_(max_steps)
{
}

void request_history::add(steady_time now, request_number number, char const* what, std::string detail)
{
    auto const inserted = steps_.try_emplace(number);
    if (inserted.second)
    {
        order_.push_back(number);
        if (order_.size() > max_requests_)
        {
            steps_.erase(order_.front());
            order_.pop_front();
        }
    }
    auto& steps = inserted.first->second;
    if (steps.size() < max_steps_)
    {
        steps.push_back({now, what, std::move(detail)});
        return;
    }
    // The last element always shows the latest decision, which says how the request ended.
    steps.back() = {now, what, std::move(detail)};
}

std::vector<std::string> request_history::decision_history(request_number number) const
{
    std::vector<std::string> lines;
    auto const found = steps_.find(number);
    if (found == steps_.end())
    {
        return lines;
    }
    for (step const& item : found->second)
    {
        std::string line =
            "at_us=" + std::to_string(item.at.time_since_epoch().count()) + " step=" + item.what;
        if (!item.detail.empty())
        {
            line += " " + item.detail;
        }
        lines.push_back(std::move(line));
    }
    return lines;
}

} // namespace siskinusher
