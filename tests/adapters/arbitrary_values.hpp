#pragma once

#include "adapters/value_layouts.hpp"

#include <rapidcheck.h>

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

/// Generators and comparisons for all encoded types, derived from their field layouts.
namespace siskinusher
{

template <typename T>
T arbitrary_value();

template <typename T>
struct arbitrary_of
{
    static T make()
    {
        if constexpr (std::is_enum_v<T>)
        {
            auto const last = static_cast<int>(field_codec::last_of<T>::value);
            return static_cast<T>(*rc::gen::inRange(0, last + 1));
        }
        else if constexpr (std::is_same_v<T, duration>)
        {
            return duration(*rc::gen::inRange(-field_codec::max_span_us, field_codec::max_span_us));
        }
        else if constexpr (std::is_same_v<T, std::int64_t>)
        {
            return *rc::gen::inRange(-field_codec::max_signed, field_codec::max_signed);
        }
        else if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>)
        {
            return *rc::gen::arbitrary<T>();
        }
        else
        {
            T record{};
            std::apply(
                [&](auto const&... all) {
                    ((record.*all.member = arbitrary_value<std::decay_t<decltype(record.*all.member)>>()),
                     ...);
                },
                field_codec::layout<T>::fields);
            return record;
        }
    }
};
template <typename T>
struct arbitrary_of<std::vector<T>>
{
    static std::vector<T> make()
    {
        std::vector<T> values(static_cast<std::size_t>(*rc::gen::inRange(0, 4)));
        for (T& value : values)
        {
            value = arbitrary_value<T>();
        }
        return values;
    }
};
template <typename T>
struct arbitrary_of<std::map<std::string, T>>
{
    static std::map<std::string, T> make()
    {
        std::map<std::string, T> values;
        for (int left = *rc::gen::inRange(0, 4); left > 0; --left)
        {
            values[arbitrary_value<std::string>()] = arbitrary_value<T>();
        }
        return values;
    }
};

template <typename T>
T arbitrary_value()
{
    return arbitrary_of<T>::make();
}

template <typename Variant, std::size_t... Index>
std::vector<Variant> arbitrary_alternatives(std::index_sequence<Index...> /*unused*/)
{
    return {Variant(arbitrary_value<std::variant_alternative_t<Index, Variant>>())...};
}

/// Returns one value of each alternative of the variant. To be called only inside a RapidCheck property.
template <typename Variant>
std::vector<Variant> arbitrary_alternatives()
{
    return arbitrary_alternatives<Variant>(std::make_index_sequence<std::variant_size_v<Variant>>{});
}

/// Returns one value of each alternative of the variant; the contents depend on the seed only.
template <typename Variant>
std::vector<Variant> sample_alternatives(std::uint64_t seed)
{
    auto const make = rc::gen::exec([] { return arbitrary_alternatives<Variant>(); });
    return make(rc::Random(seed), 20).value();
}

template <typename Record>
bool same_record(Record const& a, Record const& b)
{
    return std::apply([&](auto const&... all) { return ((a.*all.member == b.*all.member) && ...); },
                      field_codec::layout<Record>::fields);
}

template <typename Variant>
bool same_variant(Variant const& a, Variant const& b)
{
    return a.index() == b.index() &&
           std::visit([&b](auto const& value)
                      { return same_record(value, std::get<std::decay_t<decltype(value)>>(b)); },
                      a);
}

/// Converts to every type; has_members uses it to count the members of an aggregate.
struct any_value
{
    template <typename T>
    operator T() const; // NOLINT(google-explicit-constructor)
};

template <typename T, typename Sequence, typename = void>
struct has_members : std::false_type
{
};
template <typename T, std::size_t... Index>
struct has_members<T, std::index_sequence<Index...>, std::void_t<decltype(T{(void(Index), any_value{})...})>>
    : std::true_type
{
};

/// True when the layout lists as many fields as the type has.
template <typename T>
constexpr bool layout_is_complete()
{
    constexpr std::size_t listed = std::tuple_size_v<std::decay_t<decltype(field_codec::layout<T>::fields)>>;
    return has_members<T, std::make_index_sequence<listed>>::value &&
           !has_members<T, std::make_index_sequence<listed + 1>>::value;
}

template <typename Variant, std::size_t... Index>
constexpr bool layouts_are_complete(std::index_sequence<Index...> /*unused*/)
{
    return (layout_is_complete<std::variant_alternative_t<Index, Variant>>() && ...);
}

template <typename Variant>
constexpr bool layouts_are_complete()
{
    return layouts_are_complete<Variant>(std::make_index_sequence<std::variant_size_v<Variant>>{});
}

} // namespace siskinusher
