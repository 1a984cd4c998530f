#include "adapters/operator_settings.hpp"

#include <tuple>

namespace siskinusher
{

namespace
{

auto fields(operator_settings const& v)
{
    return std::tie(v.object_store_address, v.instance_list_address, v.instances, v.operator_key);
}

} // namespace

bool operator==(operator_settings const& a, operator_settings const& b)
{
    return fields(a) == fields(b);
}

} // namespace siskinusher
