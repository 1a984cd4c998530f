#include "tests/wire/fault_spans.hpp"

namespace siskinusher::standins
{

void fault_spans::begin(std::string const& name)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto& spans = spans_[name];
    if (spans.empty() || spans.back().end != fault_clock::time_point::max())
    {
        spans.push_back({fault_clock::now(), fault_clock::time_point::max()});
    }
}

void fault_spans::end(std::string const& name, std::chrono::milliseconds linger)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto& spans = spans_[name];
    if (!spans.empty() && spans.back().end == fault_clock::time_point::max())
    {
        spans.back().end = fault_clock::now() + linger;
    }
}

void fault_spans::add(std::string const& name, time_span span)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto& spans = spans_[name];
    spans.insert(spans.begin(), span); // The open span stays the last one.
}

std::optional<time_span> fault_spans::last_overlap(std::vector<std::string> const& names,
                                                   time_span span) const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    std::optional<time_span> last;
    for (std::string const& name : names)
    {
        auto const found = spans_.find(name);
        for (time_span const& each : found == spans_.end() ? std::vector<time_span>{} : found->second)
        {
            if (each.begin <= span.end && each.end >= span.begin && (!last || each.begin > last->begin))
            {
                last = each;
            }
        }
    }
    return last;
}

} // namespace siskinusher::standins
