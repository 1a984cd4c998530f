#include "decision/peer_directory.hpp"

#include "core/hash.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace siskinusher
{

peer_directory::peer_directory(std::string self, std::string data_centre, duration max_summary_age)
    : self_(std::move(self)), data_centre_(std::move(data_centre)),
      max_summary_age_(max_summary_age), names_{self_}
{
}

void peer_directory::set_members(std::vector<member> const& members)
{
    names_.assign(1, self_);
    others_.clear();
    same_data_centre_.clear();
    members_.clear();
    for (member const& item : members)
    {
        if (item.id.name == self_)
        {
            continue;
        }
        names_.push_back(item.id.name);
        others_.push_back(item.id.name);
        if (item.data_centre == data_centre_)
        {
            same_data_centre_.push_back(item.id.name);
        }
        if (!item.draining)
        {
            members_[item.data_centre].push_back(item);
        }
    }
    std::sort(names_.begin(), names_.end());
}

void peer_directory::on_summary(steady_time now, data_centre_summary const& summary)
{
    // Only summaries of data centres with known members are kept, so that the table cannot outgrow the fleet.
    if (summary.data_centre == data_centre_ || members_.count(summary.data_centre) == 0)
    {
        return;
    }
    auto const found = summaries_.find(summary.data_centre);
    if (found != summaries_.end() && now - found->second.received <= max_summary_age_ &&
        summary.sequence <= found->second.summary.sequence)
    {
        return;
    }
    summaries_[summary.data_centre] = {summary, now};
}

std::string peer_directory::permit_issuer_of(std::uint64_t fingerprint) const
{
    return rendezvous_first(std::to_string(fingerprint), names_);
}

member const* peer_directory::suspect_runner_of(backend_name const& server) const
{
    auto const near = members_.find(data_centre_);
    if (near == members_.end())
    {
        return nullptr;
    }
    std::vector<std::string> names{self_};
    for (member const& item : near->second)
    {
        names.push_back(item.id.name);
    }
    std::string const host = rendezvous_first(server, names);
    auto const found = std::find_if(near->second.begin(), near->second.end(),
                                    [&host](member const& item) { return item.id.name == host; });
    return found == near->second.end() ? nullptr : &*found;
}

std::string peer_directory::region_of(std::string const& data_centre) const
{
    auto const found = region_of_.find(data_centre);
    return found == region_of_.end() ? data_centre : found->second;
}

std::pair<unsigned*, std::vector<member> const*>
peer_directory::find_best_place(steady_time now, std::string const& model,
                                std::vector<std::string> const& avoid)
{
    unsigned* best = nullptr;
    std::vector<member> const* hosts = nullptr;
    bool best_near = false;
    for (auto& item : summaries_)
    {
        auto const instances = members_.find(item.first);
        auto const places = item.second.summary.free_places.find(model);
        if (now - item.second.received > max_summary_age_ || instances == members_.end() ||
            places == item.second.summary.free_places.end() || places->second == 0 ||
            std::find(avoid.begin(), avoid.end(), item.first) != avoid.end())
        {
            continue;
        }
        bool const near = region_of(item.first) == region_of(data_centre_);
        if (best == nullptr || std::tie(near, places->second) > std::tie(best_near, *best))
        {
            best = &places->second;
            best_near = near;
            hosts = &instances->second;
        }
    }
    return {best, hosts};
}

bool peer_directory::has_place(steady_time now, std::string const& model,
                               std::vector<std::string> const& avoid)
{
    return find_best_place(now, model, avoid).first != nullptr;
}

member const* peer_directory::reserve_place(steady_time now, std::string const& model, std::uint64_t number,
                                            std::vector<std::string> const& avoid)
{
    auto const place = find_best_place(now, model, avoid);
    if (place.first == nullptr)
    {
        return nullptr;
    }
    // The place is counted as taken, so that a burst does not use more places than exist before the next
    // summary arrives.
    --*place.first;
    return &(*place.second)[number % place.second->size()];
}

} // namespace siskinusher
