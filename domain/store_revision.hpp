#pragma once

#include <cstdint>
#include <string>

namespace siskinusher
{

/// A revision of the platform's store. After the store has come back from an older copy of itself, it gives
/// out numbers again, and its era is higher: a revision of a later era is the later one, whatever its number.
struct store_revision
{
    std::uint64_t era = 0;    ///< Zero when the store names none.
    std::uint64_t number = 0; ///< Zero for an object that does not exist.
};

bool operator==(store_revision const& a, store_revision const& b);
bool operator!=(store_revision const& a, store_revision const& b);
bool operator<(store_revision const& a, store_revision const& b);
bool operator<=(store_revision const& a, store_revision const& b);
bool operator>(store_revision const& a, store_revision const& b);
bool operator>=(store_revision const& a, store_revision const& b);

/// Era and number for logs, for example "2.94".
std::string to_string(store_revision const& revision);

} // namespace siskinusher
