#include "domain/store_records.hpp"

#include <tuple>

namespace siskinusher
{

namespace
{

auto fields(data_centre_record const& v)
{
    return std::tie(v.holder, v.epoch, v.confirmed, v.pending, v.intents, v.write_nonce);
}
auto fields(quota_row const& v)
{
    return std::tie(v.granted, v.wanted);
}
auto fields(quota_record const& v)
{
    return std::tie(v.rows, v.write_nonce);
}
auto fields(call_entry const& v)
{
    return std::tie(v.key, v.body_digest, v.nonce, v.state, v.status, v.content_type, v.body, v.body_kept);
}
auto fields(call_segment const& v)
{
    return std::tie(v.entries, v.sealed, v.sealed_at_s, v.first_segment, v.write_nonce);
}

} // namespace

bool operator==(data_centre_record const& a, data_centre_record const& b)
{
    return fields(a) == fields(b);
}
bool operator==(quota_row const& a, quota_row const& b)
{
    return fields(a) == fields(b);
}
bool operator==(quota_record const& a, quota_record const& b)
{
    return fields(a) == fields(b);
}
bool operator==(call_entry const& a, call_entry const& b)
{
    return fields(a) == fields(b);
}
bool operator==(call_segment const& a, call_segment const& b)
{
    return fields(a) == fields(b);
}

} // namespace siskinusher
