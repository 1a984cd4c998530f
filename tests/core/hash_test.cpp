#include "core/hash.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace siskinusher;

// Guards against keys moving between the remaining instances when one instance dies.
Test(hash, removing_a_candidate_moves_only_its_own_keys)
{
    std::vector<std::string> const all{"a", "b", "c", "d"};
    std::vector<std::string> const without_c{"a", "b", "d"};
    for (int i = 0; i < 200; ++i)
    {
        std::string const key = "key" + std::to_string(i);
        std::string const before = rendezvous_first(key, all);
        if (before != "c")
        {
            cr_assert(rendezvous_first(key, without_c) == before);
        }
        cr_assert(rendezvous_order(key, all).front() == before);
    }
}

// Guards against a change of the hash, which would send a key to another record shard after an upgrade.
Test(hash, is_stable_across_releases)
{
    cr_assert_eq(stable_hash(""), 0xEF46DB3751D8E999ULL);
    cr_assert_eq(stable_hash("abc"), 0x44BC2CF5AD770999ULL);
}
