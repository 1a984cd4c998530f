#include "decision/standby_choice.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace siskinusher;

namespace
{

std::vector<peer_relay> fleet(unsigned instances, unsigned data_centres)
{
    std::vector<peer_relay> made;
    for (unsigned i = 0; i < instances; ++i)
    {
        made.push_back({"10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":7260",
                        "dc" + std::to_string(i % data_centres)});
    }
    return made;
}

bool contains(std::vector<peer_relay> const& list, std::string const& address)
{
    return std::any_of(list.begin(), list.end(),
                       [&address](peer_relay const& each) { return each.address == address; });
}

} // namespace

// Guards against a number of standbys that makes the store's calls grow as fast as the fleet, and against a
// standby that has more instances to answer than an eighth of a core can.
Test(standby_choice, each_data_centre_has_standbys_in_proportion)
{
    struct size
    {
        unsigned instances;
        unsigned data_centres;
        std::size_t most_standbys;
    };
    for (size const& each : {size{9, 3, 3}, size{90, 3, 6}, size{300, 6, 24}, size{1000, 11, 66}})
    {
        auto const standbys = choose_standbys(fleet(each.instances, each.data_centres));
        std::set<std::string> data_centres;
        for (peer_relay const& standby : standbys)
        {
            data_centres.insert(standby.data_centre);
        }
        cr_assert_eq(data_centres.size(), each.data_centres);
        cr_assert_leq(standbys.size(), each.most_standbys, "%zu standbys of %u instances", standbys.size(),
                      each.instances);
        cr_assert_geq(standbys.size() * 16, each.instances);
    }
    cr_assert(choose_standbys({}).empty());
}

// Guards against all instances turning to one standby, in which case it cannot answer them in time.
Test(standby_choice, instances_spread_over_the_standbys_of_their_data_centre)
{
    auto const instances = fleet(300, 6);
    auto const standbys = choose_standbys(instances);
    std::map<std::string, unsigned> asked;
    for (peer_relay const& each : instances)
    {
        auto const told = standbys_of(each, standbys);
        cr_assert_leq(told.size(), 4);
        if (contains(standbys, each.address))
        {
            cr_assert_eq(told.front(), each.address);
            continue;
        }
        auto const first =
            std::find_if(standbys.begin(), standbys.end(),
                         [&told](peer_relay const& standby) { return standby.address == told.front(); });
        cr_assert(first != standbys.end());
        cr_assert_eq(first->data_centre, each.data_centre);
        ++asked[told.front()];
    }
    for (auto const& [address, count] : asked)
    {
        cr_assert_leq(count, 32, "%s is asked by %u instances", address.c_str(), count);
    }
}

// Guards against standbys that all change when one instance comes or goes: each change of a standby costs a
// full list of the servers for those that ask it.
Test(standby_choice, few_standbys_change_with_the_fleet)
{
    auto const before = choose_standbys(fleet(300, 6));
    auto const after = choose_standbys(fleet(306, 6));
    auto const kept =
        std::count_if(before.begin(), before.end(),
                      [&after](peer_relay const& each) { return contains(after, each.address); });
    cr_assert_geq(static_cast<std::size_t>(kept) + 6, before.size());
}
