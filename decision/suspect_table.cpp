#include "decision/suspect_table.hpp"

#include <algorithm>

namespace siskinusher
{

suspect_table::suspect_table(std::size_t capacity, duration lifetime)
    : capacity_(capacity), lifetime_(lifetime)
{
}

suspect_table::status suspect_table::status_of(steady_time now, std::uint64_t fingerprint) const
{
    auto const found = entries_.find(fingerprint);
    if (found == entries_.end() || now - found->second.since >= lifetime_)
    {
        return status::clear;
    }
    return found->second.state;
}

bool suspect_table::is_confirmed(std::uint64_t fingerprint) const
{
    auto const found = entries_.find(fingerprint);
    return found != entries_.end() && found->second.state == status::confirmed;
}

duration suspect_table::age_of(steady_time now, std::uint64_t fingerprint) const
{
    auto const found = entries_.find(fingerprint);
    return found == entries_.end() ? duration::max() : now - found->second.since;
}

std::map<std::uint64_t, std::uint64_t>& suspect_table::by_age(status state)
{
    return state == status::confirmed ? confirmed_by_age_ : suspects_by_age_;
}

void suspect_table::erase(std::uint64_t fingerprint)
{
    auto const found = entries_.find(fingerprint);
    if (found == entries_.end())
    {
        return;
    }
    by_age(found->second.state).erase(found->second.order);
    entries_.erase(found);
}

suspect_table::entry& suspect_table::insert(steady_time now, std::uint64_t fingerprint, status state)
{
    erase(fingerprint);
    if (entries_.size() >= capacity_)
    {
        auto& ages = suspects_by_age_.empty() ? confirmed_by_age_ : suspects_by_age_;
        erase(ages.begin()->second);
    }
    entry& added = entries_[fingerprint];
    added.state = state;
    added.since = now;
    added.order = next_order_++;
    by_age(state).emplace(added.order, fingerprint);
    return added;
}

void suspect_table::suspect(steady_time now, std::uint64_t fingerprint)
{
    if (status_of(now, fingerprint) == status::clear)
    {
        insert(now, fingerprint, status::suspect);
    }
}

void suspect_table::confirm(steady_time now, std::uint64_t fingerprint)
{
    if (status_of(now, fingerprint) != status::confirmed)
    {
        insert(now, fingerprint, status::confirmed);
    }
}

bool suspect_table::clear(std::uint64_t fingerprint)
{
    auto const found = entries_.find(fingerprint);
    if (found == entries_.end() || found->second.state == status::confirmed)
    {
        return false;
    }
    erase(fingerprint);
    return true;
}

bool suspect_table::grant_permit(steady_time now, std::uint64_t fingerprint, std::string const& holder,
                                 std::uint64_t tag)
{
    // An unknown fingerprint became a suspect on another instance, whose announcement was lost.
    suspect(now, fingerprint);
    entry& found = entries_.at(fingerprint);
    if (found.state == status::confirmed || (!found.holder.empty() && found.holder != holder))
    {
        return false;
    }
    found.holder = holder;
    found.tag = tag;
    return true;
}

void suspect_table::release_permit(std::uint64_t fingerprint, std::string const& holder, std::uint64_t tag)
{
    auto const found = entries_.find(fingerprint);
    if (found != entries_.end() && found->second.holder == holder && (tag == 0 || found->second.tag == tag))
    {
        found->second.holder.clear();
        found->second.tag = 0;
    }
}

void suspect_table::release_absent_holders(std::vector<std::string> const& live)
{
    for (auto& item : entries_)
    {
        if (!item.second.holder.empty() && !std::binary_search(live.begin(), live.end(), item.second.holder))
        {
            item.second.holder.clear();
            item.second.tag = 0;
        }
    }
}

void suspect_table::expire(steady_time now)
{
    for (auto* ages : {&suspects_by_age_, &confirmed_by_age_})
    {
        while (!ages->empty() && now - entries_.at(ages->begin()->second).since >= lifetime_)
        {
            erase(std::uint64_t{ages->begin()->second});
        }
    }
}

} // namespace siskinusher
