#include "domain/backend_update.hpp"

#include <tuple>

namespace siskinusher
{

bool operator==(update_position const& a, update_position const& b)
{
    return std::tie(a.source, a.sequence) == std::tie(b.source, b.sequence);
}

bool operator==(revised_backend const& a, revised_backend const& b)
{
    return std::tie(a.entry, a.revision) == std::tie(b.entry, b.revision);
}

bool operator==(backend_update const& a, backend_update const& b)
{
    return std::tie(a.position, a.complete, a.followed, a.changed, a.removed) ==
           std::tie(b.position, b.complete, b.followed, b.changed, b.removed);
}

} // namespace siskinusher
