#include "adapters/value_codec.hpp"

#include "adapters/value_layouts.hpp"

#include <array>
#include <type_traits>
#include <utility>
#include <variant>

namespace siskinusher
{

namespace
{

using boost::outcome_v2::std_result;
using field_codec::record_form;

constexpr std::array<char const*, std::variant_size_v<store_value>> store_types{
    "data_centre_record", "quota_record", "call_segment", "config_object"};

// A new value of each alternative, in the order of the variant.
template <typename Variant, std::size_t... Index>
std::array<Variant, sizeof...(Index)> alternatives(std::index_sequence<Index...> /*unused*/)
{
    return {Variant(std::in_place_index<Index>)...};
}

template <typename Variant>
std::array<Variant, std::variant_size_v<Variant>> const& alternatives()
{
    static auto const all = alternatives<Variant>(std::make_index_sequence<std::variant_size_v<Variant>>{});
    return all;
}

} // namespace

std_result<std::string> encode_peer_message(peer_message const& message)
{
    auto const write = [](auto const& body)
    { return field_codec::tree_writer<record_form::positional>::write(body); };
    nlohmann::json tree = std::visit(write, message);
    tree.insert(tree.begin(), kind_name(message));
    return field_codec::write_cbor(tree);
}

std_result<peer_message> decode_peer_message(std::string_view frame)
{
    auto const tree = field_codec::parse_cbor(frame);
    if (!tree)
    {
        return tree.error();
    }
    if (!tree.value().is_array() || tree.value().empty() || !tree.value()[0].is_string())
    {
        return std::errc::bad_message;
    }
    auto const& kind = tree.value()[0].get_ref<std::string const&>();
    for (peer_message const& alternative : alternatives<peer_message>())
    {
        if (kind != kind_name(alternative))
        {
            continue;
        }
        peer_message message = alternative;
        field_codec::tree_reader reader;
        std::visit([&](auto& body) { reader.read_positional(tree.value(), body, 1); }, message);
        if (reader.failed())
        {
            return reader.fault();
        }
        return message;
    }
    return std::errc::not_supported;
}

std_result<std::string> encode_store_value(store_value const& value)
{
    auto const write = [](auto const& body)
    { return field_codec::tree_writer<record_form::named>::write(body); };
    nlohmann::json tree = std::visit(write, value);
    tree["type"] = store_types.at(value.index());
    return field_codec::write_json(tree);
}

std_result<store_value> decode_store_value(std::string_view text)
{
    auto const tree = field_codec::parse_json(text);
    if (!tree)
    {
        return tree.error();
    }
    auto const type = tree.value().is_object() ? tree.value().find("type") : tree.value().end();
    if (type == tree.value().end() || !type->is_string())
    {
        return std::errc::bad_message;
    }
    for (store_value const& alternative : alternatives<store_value>())
    {
        if (type->get_ref<std::string const&>() != store_types.at(alternative.index()))
        {
            continue;
        }
        store_value value = alternative;
        field_codec::tree_reader reader;
        std::visit([&](auto& body) { reader.read(tree.value(), body); }, value);
        if (reader.failed())
        {
            return reader.fault();
        }
        return value;
    }
    return std::errc::not_supported;
}

} // namespace siskinusher
