#include "adapters/entry_settings.hpp"

namespace siskinusher
{

namespace
{

auto fields(entry_settings const& v)
{
    return std::tie(v.name, v.data_centre, v.region, v.http_address, v.peer_address, v.object_store_address,
                    v.instance_list_address, v.cluster_key, v.operator_key, v.peers, v.connections,
                    v.body_bytes, v.queue, v.log_level);
}

} // namespace

bool operator==(entry_settings const& a, entry_settings const& b)
{
    return fields(a) == fields(b);
}

} // namespace siskinusher
