#pragma once

#include "core/steady_time.hpp"

#include <boost/outcome/std_result.hpp>
#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <string_view>
#include <system_error>
#include <tuple>
#include <type_traits>
#include <utility>
#include <vector>

namespace siskinusher::field_codec
{

/// Limits of one encoded value, for frames between instances and for objects in the store.
constexpr std::size_t max_encoded_bytes = 1U << 20U;
constexpr std::size_t max_depth = 16;

/// A time span on the wire is at most a week. Larger ones could overflow the arithmetic of the receiver.
constexpr std::int64_t max_span_us = std::int64_t{7} * 24 * 3600 * 1000000;
/// Signed numbers are wall clock seconds; this bound lets the receiver add to them without overflow.
constexpr std::int64_t max_signed = std::int64_t{1} << 53;

/// One member of a record and its name in JSON.
template <typename Record, typename Member>
struct field
{
    char const* name;
    Member Record::*member;
};
template <typename Record, typename Member>
field(char const*, Member Record::*) -> field<Record, Member>;

/// Lists the fields of a record in wire order. Specialised for each type that is encoded; a new field goes to
/// the end.
template <typename Record>
struct layout;

/// Selects whether a record is written as an array (compact, for CBOR) or as an object with names (readable,
/// for JSON).
enum class record_form
{
    positional,
    named,
};

/// True for valid UTF-8 without control characters other than tab and line ends. Other strings are encoded as
/// binary: JSON cannot carry them exactly, or would take six bytes for each control character.
bool is_plain_text(std::string_view bytes);

std::string to_base64(std::string_view bytes);

/// Errors: errc::bad_message for anything that to_base64 does not write.
boost::outcome_v2::std_result<std::string> from_base64(std::string_view text);

/// Parses one CBOR item that fills `bytes`. Errors: errc::message_size beyond max_encoded_bytes, otherwise
/// errc::bad_message: malformed, deeper than max_depth, of indefinite length or tagged.
boost::outcome_v2::std_result<nlohmann::json> parse_cbor(std::string_view bytes);

/// Parses a JSON text, with the same limits and errors as parse_cbor.
boost::outcome_v2::std_result<nlohmann::json> parse_json(std::string_view text);

/// Errors: errc::message_size beyond max_encoded_bytes.
boost::outcome_v2::std_result<std::string> write_cbor(nlohmann::json const& tree);
boost::outcome_v2::std_result<std::string> write_json(nlohmann::json const& tree);

template <record_form Form>
class tree_writer
{
public:
    template <typename T>
    static nlohmann::json write(T const& value)
    {
        if constexpr (std::is_enum_v<T>)
        {
            return static_cast<unsigned>(value);
        }
        else if constexpr (std::is_arithmetic_v<T>)
        {
            return value;
        }
        else if constexpr (std::is_same_v<T, duration>)
        {
            return value.count();
        }
        else
        {
            return write_compound(value);
        }
    }

private:
    static nlohmann::json write_compound(std::string const& value)
    {
        if (is_plain_text(value))
        {
            return value;
        }
        if constexpr (Form == record_form::named)
        {
            return nlohmann::json{{"base64", to_base64(value)}};
        }
        else
        {
            return nlohmann::json::binary({value.begin(), value.end()});
        }
    }

    template <typename T>
    static nlohmann::json write_compound(std::vector<T> const& values)
    {
        nlohmann::json list = nlohmann::json::array();
        for (T const& value : values)
        {
            list.push_back(write(value));
        }
        return list;
    }

    // Writes a list of pairs instead of an object, because a name may be any string, also one that is not
    // UTF-8.
    template <typename T>
    static nlohmann::json write_compound(std::map<std::string, T> const& values)
    {
        nlohmann::json list = nlohmann::json::array();
        for (auto const& entry : values)
        {
            list.push_back(nlohmann::json::array({write(entry.first), write(entry.second)}));
        }
        return list;
    }

    template <typename Record>
    static nlohmann::json write_compound(Record const& record)
    {
        nlohmann::json tree = Form == record_form::named ? nlohmann::json::object() : nlohmann::json::array();
        auto const add = [&](auto const& one)
        {
            if constexpr (Form == record_form::named)
            {
                tree[one.name] = write(record.*one.member);
            }
            else
            {
                tree.push_back(write(record.*one.member));
            }
        };
        std::apply([&](auto const&... all) { (add(all), ...); }, layout<Record>::fields);
        return tree;
    }
};

/// Last enumerator of an encoded enumeration; specialised for each.
template <typename Enum>
struct last_of;

/// Reads values of known types from a tree. The first fault is kept; after it nothing more is read.
class tree_reader
{
public:
    bool failed() const { return fault_ != std::errc{}; }
    std::errc fault() const { return fault_; }

    template <typename T>
    void read(nlohmann::json const& tree, T& value)
    {
        if (failed())
        {
            return;
        }
        if constexpr (std::is_enum_v<T>)
        {
            std::uint64_t number = 0;
            read_unsigned(tree, number, static_cast<std::uint64_t>(last_of<T>::value));
            value = static_cast<T>(number);
        }
        else if constexpr (std::is_same_v<T, bool>)
        {
            if (!tree.is_boolean())
            {
                return fail(std::errc::bad_message);
            }
            value = tree.get<bool>();
        }
        else if constexpr (std::is_unsigned_v<T>)
        {
            std::uint64_t number = 0;
            read_unsigned(tree, number, std::numeric_limits<T>::max());
            value = static_cast<T>(number);
        }
        else if constexpr (std::is_same_v<T, int>)
        {
            value = static_cast<int>(read_signed(tree, std::numeric_limits<int>::max()));
        }
        else if constexpr (std::is_same_v<T, std::int64_t>)
        {
            value = read_signed(tree, max_signed);
        }
        else if constexpr (std::is_same_v<T, duration>)
        {
            value = duration(read_signed(tree, max_span_us));
        }
        else
        {
            read_compound(tree, value);
        }
    }

    /// Reads a record whose fields start at element `first` of an array; further elements are ignored,
    /// because a later release may add fields.
    template <typename Record>
    void read_positional(nlohmann::json const& tree, Record& record, std::size_t first)
    {
        constexpr std::size_t count = std::tuple_size_v<std::decay_t<decltype(layout<Record>::fields)>>;
        if (!tree.is_array() || tree.size() < first + count)
        {
            return fail(std::errc::bad_message);
        }
        std::size_t at = first;
        std::apply([&](auto const&... all) { (read(tree[at++], record.*all.member), ...); },
                   layout<Record>::fields);
    }

    /// Reads the member `name` of an object; without it the tree is malformed.
    template <typename T>
    void read_member(nlohmann::json const& tree, char const* name, T& value)
    {
        auto const found = tree.find(name);
        if (found == tree.end())
        {
            return fail(std::errc::bad_message);
        }
        read(*found, value);
    }

    /// Records a fault, unless there is an earlier one.
    void fail(std::errc fault) { fault_ = failed() ? fault_ : fault; }

private:
    void read_unsigned(nlohmann::json const& tree, std::uint64_t& number, std::uint64_t limit);
    /// Accepts numbers from -`limit` to `limit`.
    std::int64_t read_signed(nlohmann::json const& tree, std::int64_t limit);
    void read_compound(nlohmann::json const& tree, std::string& value);

    template <typename T>
    void read_compound(nlohmann::json const& tree, std::vector<T>& values)
    {
        if (!tree.is_array())
        {
            return fail(std::errc::bad_message);
        }
        for (nlohmann::json const& element : tree)
        {
            read(element, values.emplace_back());
        }
    }

    template <typename T>
    void read_compound(nlohmann::json const& tree, std::map<std::string, T>& values)
    {
        if (!tree.is_array())
        {
            return fail(std::errc::bad_message);
        }
        for (nlohmann::json const& element : tree)
        {
            if (!element.is_array() || element.size() != 2)
            {
                return fail(std::errc::bad_message);
            }
            std::string name;
            read(element[0], name);
            T value{};
            read(element[1], value);
            if (!values.emplace(std::move(name), std::move(value)).second)
            {
                return fail(std::errc::bad_message);
            }
        }
    }

    template <typename Record>
    void read_compound(nlohmann::json const& tree, Record& record)
    {
        if (tree.is_array())
        {
            return read_positional(tree, record, 0);
        }
        if (!tree.is_object())
        {
            return fail(std::errc::bad_message);
        }
        std::apply([&](auto const&... all) { (read_member(tree, all.name, record.*all.member), ...); },
                   layout<Record>::fields);
    }

    std::errc fault_{};
};

/// Decodes a positional record, for frames that carry one type only.
template <typename Record>
boost::outcome_v2::std_result<Record> decode_cbor(std::string_view bytes)
{
    auto const tree = parse_cbor(bytes);
    if (!tree)
    {
        return tree.error();
    }
    Record record;
    tree_reader reader;
    reader.read_positional(tree.value(), record, 0);
    if (reader.failed())
    {
        return std::make_error_code(reader.fault());
    }
    return record;
}

} // namespace siskinusher::field_codec
