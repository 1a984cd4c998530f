#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace siskinusher
{

/// 64-bit hash that is the same in every process and release: it chooses the store objects in which calls are
/// recorded.
std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);

/// Orders candidates by rendezvous hashing of a key: each process that knows the same candidates gets the
/// same order, and removing a candidate changes the first place only for the keys that had it first.
std::vector<std::string> rendezvous_order(std::string_view key, std::vector<std::string> candidates);

/// The first of rendezvous_order; empty when there are no candidates.
std::string rendezvous_first(std::string_view key, std::vector<std::string> const& candidates);

} // namespace siskinusher
