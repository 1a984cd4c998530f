#include "domain/known_config.hpp"

#include <tuple>

namespace siskinusher
{

bool operator==(known_config const& a, known_config const& b)
{
    return std::tie(a.version, a.revision, a.text) == std::tie(b.version, b.revision, b.text);
}

bool needs_text(known_config const& peer, known_config const& own)
{
    bool const has_read = peer.revision.number != 0 || peer.version != 0;
    return has_read && peer.version < own.version && peer.revision >= own.revision;
}

} // namespace siskinusher
