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
    return peer.version != 0 && peer.version < own.version && peer.revision >= own.revision;
}

} // namespace siskinusher
