#include "decision/change_ledger.hpp"

#include <cstddef>
#include <iterator>

namespace siskinusher
{

namespace
{

// Changes beyond this number are forgotten, the oldest first: they then count as unknown. A busy store makes
// some hundred changes between two renewals of the lease.
constexpr std::size_t max_known_changes = 10000;

} // namespace

void change_ledger::on_change(store_revision const& revision)
{
    if (revision.era < era_)
    {
        return;
    }
    if (revision.era > era_)
    {
        era_ = revision.era;
        known_.clear();
    }
    known_.insert(revision.number);
    if (known_.size() > max_known_changes)
    {
        known_.erase(known_.begin());
    }
}

bool change_ledger::knows_all(store_revision const& from, store_revision const& until) const
{
    if (from.era != until.era || until.number < from.number)
    {
        return false;
    }
    if (until.number == from.number)
    {
        return true;
    }
    if (era_ != until.era)
    {
        return false;
    }
    auto const first = known_.upper_bound(from.number);
    auto const last = known_.upper_bound(until.number);
    return static_cast<std::uint64_t>(std::distance(first, last)) == until.number - from.number;
}

void change_ledger::forget_until(store_revision const& revision)
{
    if (revision.era == era_)
    {
        known_.erase(known_.begin(), known_.upper_bound(revision.number));
    }
}

} // namespace siskinusher
