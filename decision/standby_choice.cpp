#include "decision/standby_choice.hpp"

#include "core/hash.hpp"

#include <algorithm>
#include <cstddef>
#include <map>
#include <utility>

namespace siskinusher
{

namespace
{

// One standby answers at most this many instances, each twice a second, with an eighth of a core.
constexpr std::size_t instances_per_standby = 16;
// More addresses do not help an instance: after two failed attempts it reads the store itself.
constexpr std::size_t max_told_standbys = 4;

} // namespace

std::vector<peer_relay> choose_standbys(std::vector<peer_relay> const& reporting)
{
    std::map<std::string, std::vector<std::pair<std::uint64_t, std::string>>> by_data_centre;
    for (peer_relay const& each : reporting)
    {
        by_data_centre[each.data_centre].emplace_back(stable_hash(each.address), each.address);
    }
    std::vector<peer_relay> chosen;
    for (auto& [data_centre, ranked] : by_data_centre)
    {
        std::sort(ranked.begin(), ranked.end());
        std::size_t const count = (ranked.size() + instances_per_standby - 1) / instances_per_standby;
        for (std::size_t i = 0; i < count; ++i)
        {
            chosen.push_back({ranked[i].second, data_centre});
        }
    }
    return chosen;
}

std::vector<std::string> standbys_of(peer_relay const& instance, std::vector<peer_relay> const& standbys)
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    bool is_standby = false;
    for (peer_relay const& each : standbys)
    {
        if (each.address == instance.address)
        {
            is_standby = true;
            continue;
        }
        (each.data_centre == instance.data_centre ? near : far).push_back(each.address);
    }
    std::vector<std::string> told;
    if (is_standby)
    {
        told.push_back(instance.address);
    }
    for (auto* const list : {&near, &far})
    {
        if (!list->empty())
        {
            auto const first = static_cast<std::ptrdiff_t>(stable_hash(instance.address) % list->size());
            std::rotate(list->begin(), list->begin() + first, list->end());
        }
        told.insert(told.end(), list->begin(), list->end());
    }
    told.resize(std::min(told.size(), max_told_standbys));
    return told;
}

} // namespace siskinusher
