#include "decision/relay_directory.hpp"

#include <algorithm>
#include <utility>

namespace siskinusher
{

namespace
{

// Requests in progress that another data centre may have fewer before it is preferred to the own one.
constexpr unsigned data_centre_preference = 4;
// More than an instance has requests in progress.
constexpr unsigned avoided_cost = 1000000;

bool contains(std::vector<std::string> const& addresses, std::string const& address)
{
    return std::find(addresses.begin(), addresses.end(), address) != addresses.end();
}

} // namespace

relay_directory::relay_directory(std::string data_centre) : data_centre_(std::move(data_centre)) {}

void relay_directory::on_relays(std::vector<peer_relay> relays)
{
    relays_ = std::move(relays);
}

std::optional<peer_relay> relay_directory::choose(std::vector<std::string> const& failed,
                                                  std::vector<std::string> const& avoided) const
{
    std::optional<peer_relay> best;
    unsigned best_cost = 0;
    for (peer_relay const& each : relays_)
    {
        if (contains(failed, each.address))
        {
            continue;
        }
        auto const open = open_.find(each.address);
        unsigned const cost = (open == open_.end() ? 0 : open->second) +
                              (each.data_centre == data_centre_ ? 0 : data_centre_preference) +
                              (contains(avoided, each.address) ? avoided_cost : 0);
        if (!best || cost < best_cost)
        {
            best = each;
            best_cost = cost;
        }
    }
    return best;
}

void relay_directory::on_end(std::string const& address)
{
    auto const found = open_.find(address);
    if (found != open_.end() && --found->second == 0)
    {
        open_.erase(found);
    }
}

} // namespace siskinusher
