#include "domain/store_revision.hpp"

#include <tuple>

namespace siskinusher
{

bool operator==(store_revision const& a, store_revision const& b)
{
    return std::tie(a.era, a.number) == std::tie(b.era, b.number);
}

bool operator!=(store_revision const& a, store_revision const& b)
{
    return !(a == b);
}

bool operator<(store_revision const& a, store_revision const& b)
{
    return std::tie(a.era, a.number) < std::tie(b.era, b.number);
}

bool operator<=(store_revision const& a, store_revision const& b)
{
    return !(b < a);
}

bool operator>(store_revision const& a, store_revision const& b)
{
    return b < a;
}

bool operator>=(store_revision const& a, store_revision const& b)
{
    return !(a < b);
}

std::string to_string(store_revision const& revision)
{
    return std::to_string(revision.era) + "." + std::to_string(revision.number);
}

} // namespace siskinusher
