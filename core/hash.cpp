#include "core/hash.hpp"

#include <algorithm>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace siskinusher
{

std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed)
{
    return XXH64(bytes.data(), bytes.size(), seed);
}

std::vector<std::string> rendezvous_order(std::string_view key, std::vector<std::string> candidates)
{
    std::uint64_t const seed = stable_hash(key);
    auto const before = [seed](std::string const& a, std::string const& b)
    { return std::make_pair(stable_hash(a, seed), a) > std::make_pair(stable_hash(b, seed), b); };
    std::sort(candidates.begin(), candidates.end(), before);
    return candidates;
}

std::string rendezvous_first(std::string_view key, std::vector<std::string> const& candidates)
{
    std::uint64_t const seed = stable_hash(key);
    std::string const* best = nullptr;
    std::uint64_t best_weight = 0;
    for (std::string const& candidate : candidates)
    {
        std::uint64_t const weight = stable_hash(candidate, seed);
        if (best == nullptr || std::make_pair(weight, candidate) > std::make_pair(best_weight, *best))
        {
            best = &candidate;
            best_weight = weight;
        }
    }
    return best == nullptr ? std::string{} : *best;
}

} // namespace siskinusher
