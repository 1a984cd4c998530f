#include "adapters/field_codec.hpp"

#include <openssl/evp.h>

#include <algorithm>
#include <optional>

namespace siskinusher::field_codec
{

namespace
{

using boost::outcome_v2::std_result;

// Length of the UTF-8 sequence at the start of `bytes`; zero when it is invalid.
std::size_t sequence_length(std::string_view bytes)
{
    auto const byte = [bytes](std::size_t i) { return static_cast<unsigned char>(bytes[i]); };
    unsigned char const first = byte(0);
    std::size_t length = 0;
    if (first < 0x80)
    {
        return 1;
    }
    if (first >= 0xC2 && first <= 0xDF)
    {
        length = 2;
    }
    else if (first >= 0xE0 && first <= 0xEF)
    {
        length = 3;
    }
    else if (first >= 0xF0 && first <= 0xF4)
    {
        length = 4;
    }
    if (length == 0 || bytes.size() < length)
    {
        return 0;
    }
    for (std::size_t i = 1; i < length; ++i)
    {
        if ((byte(i) & 0xC0U) != 0x80U)
        {
            return 0;
        }
    }
    bool const overlong = (first == 0xE0 && byte(1) < 0xA0) || (first == 0xF0 && byte(1) < 0x90);
    bool const surrogate = first == 0xED && byte(1) > 0x9F;
    bool const beyond_unicode = first == 0xF4 && byte(1) > 0x8F;
    return overlong || surrogate || beyond_unicode ? 0 : length;
}

// The head of a CBOR item: its major type, its argument and the bytes that the head takes.
struct cbor_head
{
    unsigned major = 0;
    std::uint64_t argument = 0;
    std::size_t bytes = 1;
};

// Returns nothing for a truncated head and for additional information 28 to 31 (reserved or indefinite
// length).
std::optional<cbor_head> read_head(std::string_view bytes)
{
    if (bytes.empty())
    {
        return std::nullopt;
    }
    auto const first = static_cast<unsigned char>(bytes[0]);
    cbor_head head;
    head.major = static_cast<unsigned>(first) >> 5U;
    head.argument = first & 0x1FU;
    if (head.argument < 24)
    {
        return head;
    }
    if (head.argument > 27)
    {
        return std::nullopt;
    }
    std::size_t const extra = std::size_t{1} << (head.argument - 24);
    if (bytes.size() < 1 + extra)
    {
        return std::nullopt;
    }
    head.argument = 0;
    for (std::size_t i = 1; i <= extra; ++i)
    {
        head.argument = (head.argument << 8U) | static_cast<unsigned char>(bytes[i]);
    }
    head.bytes += extra;
    return head;
}

// Checks the structure of the items without recursion. The parser of nlohmann_json recurses for nested arrays
// and for nested indefinite strings, so a frame of 1 MB could exhaust the stack before the depth of its
// result can be checked.
bool is_acceptable_cbor(std::string_view bytes)
{
    std::vector<std::uint64_t> remaining_items{1}; // Items still to come at each level.
    while (!remaining_items.empty())
    {
        if (remaining_items.back() == 0)
        {
            remaining_items.pop_back();
            continue;
        }
        --remaining_items.back();
        auto const head = read_head(bytes);
        if (!head)
        {
            return false;
        }
        bytes.remove_prefix(head->bytes);
        switch (head->major)
        {
        case 2: // byte string
        case 3: // text string
            if (head->argument > bytes.size())
            {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(head->argument));
            break;
        case 4: // array
        case 5: // map
            if (head->argument > bytes.size() || remaining_items.size() > max_depth)
            {
                return false;
            }
            remaining_items.push_back(head->major == 5 ? 2 * head->argument : head->argument);
            break;
        case 6: // tag
            return false;
        default:
            break;
        }
    }
    return bytes.empty();
}

bool deeper_than(nlohmann::json const& tree, std::size_t limit)
{
    if (!tree.is_structured())
    {
        return false;
    }
    if (limit == 0)
    {
        return true;
    }
    for (nlohmann::json const& child : tree)
    {
        if (deeper_than(child, limit - 1))
        {
            return true;
        }
    }
    return false;
}

} // namespace

bool is_plain_text(std::string_view bytes)
{
    while (!bytes.empty())
    {
        std::size_t const length = sequence_length(bytes);
        auto const first = static_cast<unsigned char>(bytes[0]);
        if (length == 0 || (first < 0x20 && first != '\t' && first != '\n' && first != '\r'))
        {
            return false;
        }
        bytes.remove_prefix(length);
    }
    return true;
}

std::string to_base64(std::string_view bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0'); // EVP_EncodeBlock ends with a zero byte.
    int const length =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        reinterpret_cast<unsigned char const*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std_result<std::string> from_base64(std::string_view text)
{
    if (text.size() % 4 != 0 || text.size() > 2 * max_encoded_bytes)
    {
        return std::errc::bad_message;
    }
    std::string bytes(3 * (text.size() / 4), '\0');
    int const length =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                        reinterpret_cast<unsigned char const*>(text.data()), static_cast<int>(text.size()));
    std::size_t const padding = text.size() - std::min(text.size(), text.find_last_not_of('=') + 1);
    if (length != static_cast<int>(bytes.size()) || padding > 2)
    {
        return std::errc::bad_message;
    }
    bytes.resize(bytes.size() - padding);
    // EVP_DecodeBlock skips spaces and ignores unused bits; only the exact text that to_base64 writes is
    // accepted.
    if (to_base64(bytes) != text)
    {
        return std::errc::bad_message;
    }
    return bytes;
}

std_result<nlohmann::json> parse_cbor(std::string_view bytes)
{
    if (bytes.size() > max_encoded_bytes)
    {
        return std::errc::message_size;
    }
    if (!is_acceptable_cbor(bytes))
    {
        return std::errc::bad_message;
    }
    auto tree = nlohmann::json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (tree.is_discarded())
    {
        return std::errc::bad_message;
    }
    return tree;
}

std_result<nlohmann::json> parse_json(std::string_view text)
{
    if (text.size() > max_encoded_bytes)
    {
        return std::errc::message_size;
    }
    auto tree = nlohmann::json::parse(text.begin(), text.end(), nullptr, false);
    if (tree.is_discarded() || deeper_than(tree, max_depth))
    {
        return std::errc::bad_message;
    }
    return tree;
}

std_result<std::string> write_cbor(nlohmann::json const& tree)
{
    std::string bytes;
    nlohmann::json::to_cbor(tree, bytes);
    if (bytes.size() > max_encoded_bytes)
    {
        return std::errc::message_size;
    }
    return bytes;
}

std_result<std::string> write_json(nlohmann::json const& tree)
{
    std::string text = tree.dump();
    if (text.size() > max_encoded_bytes)
    {
        return std::errc::message_size;
    }
    return text;
}

void tree_reader::read_unsigned(nlohmann::json const& tree, std::uint64_t& number, std::uint64_t limit)
{
    if (!tree.is_number_unsigned())
    {
        return fail(tree.is_number() ? std::errc::result_out_of_range : std::errc::bad_message);
    }
    auto const value = tree.get<std::uint64_t>();
    if (value > limit)
    {
        return fail(std::errc::result_out_of_range);
    }
    number = value;
}

std::int64_t tree_reader::read_signed(nlohmann::json const& tree, std::int64_t limit)
{
    if (!tree.is_number_integer())
    {
        fail(tree.is_number() ? std::errc::result_out_of_range : std::errc::bad_message);
        return 0;
    }
    bool const fits = tree.is_number_unsigned()
                          ? tree.get<std::uint64_t>() <= static_cast<std::uint64_t>(limit)
                          : tree.get<std::int64_t>() >= -limit && tree.get<std::int64_t>() <= limit;
    if (!fits)
    {
        fail(std::errc::result_out_of_range);
        return 0;
    }
    return tree.get<std::int64_t>();
}

void tree_reader::read_compound(nlohmann::json const& tree, std::string& value)
{
    if (tree.is_string())
    {
        value = tree.get_ref<std::string const&>();
        return;
    }
    if (tree.is_binary())
    {
        auto const& bytes = tree.get_binary();
        value.assign(bytes.begin(), bytes.end());
        return;
    }
    auto const found = tree.is_object() ? tree.find("base64") : tree.end();
    if (found == tree.end() || !found->is_string())
    {
        return fail(std::errc::bad_message);
    }
    auto bytes = from_base64(found->get_ref<std::string const&>());
    if (!bytes)
    {
        return fail(std::errc::bad_message);
    }
    value = std::move(bytes).value();
}

} // namespace siskinusher::field_codec
