#include "domain/order.hpp"

#include <tuple>

namespace siskinusher
{

namespace
{

auto fields(intent const& v)
{
    return std::tie(v.id, v.issuer, v.engine, v.kind, v.subject, v.bytes);
}

} // namespace

bool operator==(intent const& a, intent const& b)
{
    return fields(a) == fields(b);
}

char const* to_string(order_kind kind)
{
    switch (kind)
    {
    case order_kind::load_model:
        return "load_model";
    case order_kind::unload_model:
        return "unload_model";
    case order_kind::load_adapter:
        return "load_adapter";
    case order_kind::unload_adapter:
        return "unload_adapter";
    }
    return "invalid";
}

} // namespace siskinusher
