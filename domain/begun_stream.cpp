#include "domain/begun_stream.hpp"

#include <tuple>

namespace siskinusher
{

bool operator==(begun_stream const& a, begun_stream const& b)
{
    return std::tie(a.request_id, a.version) == std::tie(b.request_id, b.version);
}

bool operator==(stream_versions const& a, stream_versions const& b)
{
    return std::tie(a.service, a.versions) == std::tie(b.service, b.versions);
}

} // namespace siskinusher
