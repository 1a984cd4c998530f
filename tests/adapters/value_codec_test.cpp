#include "adapters/value_codec.hpp"
#include "adapters/value_layouts.hpp"
#include "core/random_source.hpp"
#include "tests/adapters/arbitrary_values.hpp"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <string>

using namespace siskinusher;

namespace
{

// Decodes damaged copies of a valid encoding. A crash, an exception or a sanitizer report fails the test; a
// damaged copy that still decodes must encode again.
template <typename Decode, typename Encode>
void damage(std::string const& valid, std::uint64_t seed, Decode decode, Encode encode)
{
    for (std::size_t length = 0; length < valid.size(); ++length)
    {
        cr_assert(!decode(std::string_view(valid).substr(0, length)), "a truncated value was accepted");
    }
    random_source random(seed);
    for (int round = 0; round < 3000; ++round)
    {
        std::string copy = valid;
        for (std::uint64_t changes = 1 + random.below(4); changes > 0; --changes)
        {
            std::size_t const at = random.below(copy.size());
            switch (random.below(3))
            {
            case 0:
                copy[at] = static_cast<char>(random.below(256));
                break;
            case 1:
                copy.insert(at, 1, static_cast<char>(random.below(256)));
                break;
            default:
                copy.erase(at, 1 + random.below(3));
                break;
            }
            copy += copy.empty() ? "x" : "";
        }
        auto const decoded = decode(copy);
        cr_assert(!decoded || encode(decoded.value()));
    }
}

} // namespace

// Guards against a field that is sent but not read, read in another order, or cut to fewer bits.
Test(value_codec, every_message_kind_survives_a_round_trip)
{
    bool const held = rc::check(
        []
        {
            for (peer_message const& message : arbitrary_alternatives<peer_message>())
            {
                auto const frame = encode_peer_message(message);
                RC_ASSERT(bool(frame));
                auto const back = decode_peer_message(frame.value());
                RC_ASSERT(bool(back));
                RC_ASSERT(same_variant(message, back.value()));
            }
        });
    cr_assert(held);
}

Test(value_codec, every_store_value_survives_a_round_trip)
{
    bool const held = rc::check(
        []
        {
            for (store_value const& value : arbitrary_alternatives<store_value>())
            {
                auto const text = encode_store_value(value);
                RC_ASSERT(bool(text));
                auto const back = decode_store_value(text.value());
                RC_ASSERT(bool(back));
                RC_ASSERT(value == back.value());
            }
        });
    cr_assert(held);
}

// Guards against a field that is added to a type and forgotten in its layout; it would arrive as its default.
Test(value_codec, layouts_list_every_field)
{
    cr_assert(layouts_are_complete<peer_message>());
    cr_assert(layouts_are_complete<store_value>());
    cr_assert(layout_is_complete<instance_id>() && layout_is_complete<intent>());
    cr_assert(layout_is_complete<engine_report>() && layout_is_complete<quota_row>());
    cr_assert(layout_is_complete<call_entry>());
}

// Guards against a conversion through double, which loses the low bits of ids above 2^53.
Test(value_codec, keeps_64_bit_ids_exactly)
{
    for (std::uint64_t id : {std::uint64_t{1}, (std::uint64_t{1} << 53) + 1, ~std::uint64_t{0}})
    {
        auto const message = decode_peer_message(encode_peer_message(crash_confirmed{id}).value());
        cr_assert_eq(std::get<crash_confirmed>(message.value()).fingerprint, id);
        data_centre_record record;
        record.write_nonce = id;
        auto const value = decode_store_value(encode_store_value(record).value());
        cr_assert_eq(std::get<data_centre_record>(value.value()).write_nonce, id);
    }
}

// Guards against an exception or a crash on input from a faulty or hostile peer.
Test(value_codec, damaged_frames_give_errors)
{
    for (peer_message const& message : sample_alternatives<peer_message>(1))
    {
        damage(encode_peer_message(message).value(), message.index(), decode_peer_message,
               encode_peer_message);
    }
}

// Guards against an exception or a crash on a damaged object, for example after a wrong manual edit.
Test(value_codec, damaged_store_values_give_errors)
{
    for (store_value const& value : sample_alternatives<store_value>(2))
    {
        damage(encode_store_value(value).value(), value.index(), decode_store_value, encode_store_value);
    }
}

// Guards against stack exhaustion: the CBOR parser of nlohmann_json recurses for each of these bytes.
Test(value_codec, deep_nesting_gives_an_error)
{
    std::size_t const size = field_codec::max_encoded_bytes;
    for (char nested : {'\x81', '\x9F', '\x7F', '\x5F', '\xBF', '\xC6', '\xA1'})
    {
        cr_assert(!decode_peer_message(std::string(size, nested)));
    }
    cr_assert(!decode_store_value(std::string(size, '[')));
    std::string const at_limit = std::string(16, '\x81') + '\x01';
    cr_assert(field_codec::parse_cbor(at_limit).has_value());
    cr_assert(!field_codec::parse_cbor('\x81' + at_limit));
    cr_assert(field_codec::parse_json(std::string(16, '[') + std::string(16, ']')).has_value());
    cr_assert(!field_codec::parse_json(std::string(17, '[') + std::string(17, ']')));
}

// Guards against memory exhaustion by a length that the frame does not have.
Test(value_codec, announced_lengths_beyond_the_frame_give_an_error)
{
    for (unsigned char head : {0x5B, 0x7B, 0x9B, 0xBB})
    {
        std::string const frame = std::string(1, static_cast<char>(head)) + std::string(8, '\xFF');
        cr_assert(decode_peer_message(frame).error() == std::errc::bad_message);
    }
}

// Guards against frames and objects that the receiver or the store would refuse.
Test(value_codec, values_over_1_mb_are_refused_on_both_sides)
{
    config_object const large{1, std::string(field_codec::max_encoded_bytes, 'x')};
    cr_assert(encode_peer_message(config_text{large}).error() == std::errc::message_size);
    cr_assert(encode_store_value(large).error() == std::errc::message_size);
    std::string const text(field_codec::max_encoded_bytes + 1, ' ');
    cr_assert(decode_peer_message(text).error() == std::errc::message_size);
    cr_assert(decode_store_value(text).error() == std::errc::message_size);
}

// Guards against a number that is truncated to its field, and against time arithmetic that overflows.
Test(value_codec, numbers_out_of_range_are_refused)
{
    auto const refused = [](nlohmann::json const& tree)
    { return decode_peer_message(field_codec::write_cbor(tree).value()).error(); };
    auto const span = field_codec::max_span_us;
    cr_assert(refused({"wish", "m", "", 3, 0, 0}) == std::errc::result_out_of_range);
    cr_assert(refused({"wish", "m", "", 0, span + 1, 0}) == std::errc::result_out_of_range);
    cr_assert(refused({"wish", "m", "", 0, 0, std::uint64_t{1} << 32}) == std::errc::result_out_of_range);
    cr_assert(refused({"wish", "m", "", 0, 0, -1}) == std::errc::result_out_of_range);
    cr_assert(refused({"crash_named", 1.5}) == std::errc::result_out_of_range);
    cr_assert(refused({"crash_named", "1"}) == std::errc::bad_message);
    cr_assert(refused({"crash_named"}) == std::errc::bad_message);
    cr_assert(refused({"no_such_kind", 1}) == std::errc::not_supported);
}

// Guards against a release that cannot talk to the next one, which may append fields.
Test(value_codec, appended_fields_are_ignored)
{
    auto const frame = field_codec::write_cbor({"crash_named", 7, "appended"});
    cr_assert_eq(std::get<crash_confirmed>(decode_peer_message(frame.value()).value()).fingerprint, 7);
}
