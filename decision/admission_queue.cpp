#include "decision/admission_queue.hpp"

#include <algorithm>

namespace siskinusher
{

namespace
{

// When the oldest background request has waited for longer, background requests are served newest first.
constexpr duration newest_first_delay = seconds(1);

// Upper bound of a rank's credit. A rank whose ceiling holds it back would otherwise collect credit without
// limit and take many dispatches in a row once its ceiling allows.
constexpr double max_credit = 3.0;

} // namespace

bool target_queue::newest_first(steady_time now, rank r) const
{
    auto const& items = by_rank_[index_of(r)];
    return r == rank::background && !items.empty() &&
           now - items.begin()->second.arrived > newest_first_delay;
}

std::vector<queued_request> target_queue::first(steady_time now, rank r, std::size_t limit) const
{
    auto const& items = by_rank_[index_of(r)];
    std::vector<queued_request> result;
    result.reserve(std::min(limit, items.size()));
    auto const take = [&result, limit](auto from, auto to)
    {
        for (; from != to && result.size() < limit; ++from)
        {
            result.push_back(from->second);
        }
    };
    if (newest_first(now, r))
    {
        take(items.rbegin(), items.rend());
    }
    else
    {
        take(items.begin(), items.end());
    }
    return result;
}

void admission_queue::push(target_queue& queue, rank r, queued_request const& item)
{
    if (queue.by_rank_[index_of(r)].emplace(item.sequence, item).second)
    {
        ++sizes_[index_of(r)];
    }
}

bool admission_queue::remove(target_queue& queue, rank r, std::uint64_t sequence)
{
    if (queue.by_rank_[index_of(r)].erase(sequence) == 0)
    {
        return false;
    }
    --sizes_[index_of(r)];
    return true;
}

std::array<rank, rank_count> admission_queue::order() const
{
    std::array<rank, rank_count> ranks = all_ranks;
    auto const due_credit = [this](rank r) { return floor_due(r) ? credit_[index_of(r)] : 0.0; };
    std::stable_sort(ranks.begin(), ranks.end(),
                     [&due_credit](rank a, rank b) { return due_credit(a) > due_credit(b); });
    return ranks;
}

void admission_queue::count_dispatch(rank served, rank_set const& waiting)
{
    for (rank r : all_ranks)
    {
        std::size_t const i = index_of(r);
        if (waiting[i])
        {
            credit_[i] = std::min(max_credit, credit_[i] + ranks_[i].floor);
        }
        else if (sizes_[i] == 0)
        {
            credit_[i] = 0.0;
        }
    }
    double& credit = credit_[index_of(served)];
    credit = std::max(0.0, credit - 1.0);
}

} // namespace siskinusher
