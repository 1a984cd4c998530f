#include "adapters/quota_codec.hpp"

#include "core/random_source.hpp"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

using namespace siskinusher;
using nlohmann::json;

namespace
{

std::string to_bytes(json const& value)
{
    std::vector<std::uint8_t> const bytes = json::to_cbor(value);
    return {bytes.begin(), bytes.end()};
}

quota_question example_question()
{
    return {"i7",
            std::numeric_limits<std::uint64_t>::max(),
            12,
            65,
            {{"hule930", 1, {1100, 0, 640}, 2, 3, 4, 5}, {"m\xC3\xB6we", 0, {}, 0, 0, 0, 1000000000000000U}}};
}

quota_reply example_reply()
{
    return {12, 65, {{"hule930", 1740, 250, 240, 4100, 64}, {"m\xC3\xB6we", 0, 0, 0, 0, 0}}};
}

} // namespace

// Guards against a field that is lost or exchanged between instances.
Test(quota_codec, messages_keep_their_fields)
{
    auto const question = decode_quota_question(encode_quota_question(example_question()));
    cr_assert(question && *question == example_question());
    auto const reply = decode_quota_reply(encode_quota_reply(example_reply()));
    cr_assert(reply && *reply == example_reply());
    auto const empty_question = decode_quota_question(encode_quota_question({"i7", 1, 2, 3, {}}));
    cr_assert(empty_question && *empty_question == (quota_question{"i7", 1, 2, 3, {}}));
    auto const empty_reply = decode_quota_reply(encode_quota_reply({3, 0, {}}));
    cr_assert(empty_reply && *empty_reply == (quota_reply{3, 0, {}}));
}

// Guards against a later build whose rows have further fields being taken for a lost holder.
Test(quota_codec, rows_with_further_fields_are_accepted)
{
    auto const question = decode_quota_question(to_bytes(json::array(
        {"i7", 8, 9, 65, json::array({json::array({"o", 1, {1100}, 2, 3, 4, 5, "new", json::array({6})})}),
         "new"})));
    cr_assert(question && *question == (quota_question{"i7", 8, 9, 65, {{"o", 1, {1100}, 2, 3, 4, 5}}}));
    auto const reply = decode_quota_reply(to_bytes(
        json::array({9, 65, json::array({json::array({"o", 1, 2, 3, 4, 5, true, "new"})}), 7, "new"})));
    cr_assert(reply && *reply == (quota_reply{9, 65, {{"o", 1, 2, 3, 4, 5}}}));
}

// Guards against values of the wrong kind or size, which would throw or overflow sums.
Test(quota_codec, values_of_another_kind_are_refused)
{
    json const good = json::array({"o", 1, {1100}, 2, 3, 4, 5});
    auto const question_with = [](json const& row) {
        return decode_quota_question(to_bytes(json::array({"i7", 8, 9, 65, json::array({row})})));
    };
    cr_assert(question_with(good).has_value());
    std::vector<json> const wrong = {
        -1, 1.5, nullptr, "1", true, 1000000000000001U, json::array(), json::object()};
    for (std::size_t field = 0; field < good.size(); ++field)
    {
        for (json const& value : wrong)
        {
            bool const fits = (field == 0 && value.is_string()) || (field == 2 && value.is_array());
            json row = good;
            row[field] = value;
            cr_expect(fits == question_with(row).has_value(), "field %zu: %s", field, value.dump().c_str());
        }
    }
    for (json const& value : wrong)
    {
        json row = good;
        row[2] = json::array({value});
        cr_expect(!question_with(row), "waiting: %s", value.dump().c_str());
    }
    for (std::size_t size = 0; size < good.size(); ++size)
    {
        cr_expect(!question_with(json(good.begin(), good.begin() + static_cast<std::ptrdiff_t>(size))),
                  "a row of %zu fields", size);
    }
    json const reply = json::array({9, 65, json::array({json::array({"o", 1, 2, 3, 4, 5})})});
    cr_assert(decode_quota_reply(to_bytes(reply)).has_value());
    for (std::size_t field = 0; field < 6; ++field)
    {
        for (json const& value : wrong)
        {
            json changed = reply;
            changed[2][0][field] = value;
            bool const fits = field == 0 && value.is_string();
            cr_expect(fits == decode_quota_reply(to_bytes(changed)).has_value(), "field %zu: %s", field,
                      value.dump().c_str());
        }
    }
    json many = reply;
    many[1] = 1000001;
    cr_assert(!decode_quota_reply(to_bytes(many)));
    for (json const& value : wrong)
    {
        json const question = json::array({"i7", 8, 9, value, json::array()});
        cr_expect(!decode_quota_question(to_bytes(question)), "instances: %s", value.dump().c_str());
    }
    cr_assert(!decode_quota_question(to_bytes(json::array({"i7", 8, 9, 1000001, json::array()}))));
}

// Guards against damaged bytes that crash the reader, or that are taken for another message with more
// elements than bytes.
Test(quota_codec, damaged_bytes_are_refused_or_read_as_a_message)
{
    std::string const question = encode_quota_question(example_question());
    std::string const reply = encode_quota_reply(example_reply());
    for (std::size_t length = 0; length < question.size(); ++length)
    {
        cr_assert(!decode_quota_question(question.substr(0, length)), "%zu bytes", length);
    }
    for (std::size_t length = 0; length < reply.size(); ++length)
    {
        cr_assert(!decode_quota_reply(reply.substr(0, length)), "%zu bytes", length);
    }
    cr_assert(!decode_quota_question(question + '\0'));
    cr_assert(!decode_quota_reply(reply + '\0'));
    cr_assert(!decode_quota_question(reply));
    cr_assert(!decode_quota_reply(question));
    random_source random(20);
    for (int run = 0; run < 20000; ++run)
    {
        std::string damaged = run % 2 == 0 ? question : reply;
        for (auto changes = 1 + random.below(4); changes > 0; --changes)
        {
            damaged[random.below(damaged.size())] = static_cast<char>(random.below(256));
        }
        // What is read can be written again and keeps its value.
        if (auto const read = decode_quota_question(damaged))
        {
            cr_assert(decode_quota_question(encode_quota_question(*read)) == read);
        }
        if (auto const read = decode_quota_reply(damaged))
        {
            cr_assert(decode_quota_reply(encode_quota_reply(*read)) == read);
        }
    }
}
