#include "adapters/quota_codec.hpp"

#include "adapters/field_codec.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace siskinusher
{

char const* const quota_path = "/siskin/quotas";

namespace
{

using nlohmann::json;

// Larger figures are above any limit, and sums of many must stay in range.
constexpr std::uint64_t max_amount = 1000000000000000U;

std::string to_bytes(json const& value)
{
    std::vector<std::uint8_t> const bytes = json::to_cbor(value);
    return {bytes.begin(), bytes.end()};
}

bool is_amount(json const& value)
{
    return value.is_number_unsigned() && value.get<std::uint64_t>() <= max_amount;
}

bool is_instance_count(json const& value)
{
    constexpr std::uint64_t max_instances = 1000000;
    return value.is_number_unsigned() && value.get<std::uint64_t>() <= max_instances;
}

bool are_amounts(json const& row, std::size_t first, std::size_t end)
{
    return std::all_of(row.begin() + static_cast<std::ptrdiff_t>(first),
                       row.begin() + static_cast<std::ptrdiff_t>(end), is_amount);
}

// A list with at least `size` elements, the first of which is a text.
bool is_named_row(json const& row, std::size_t size)
{
    return row.is_array() && row.size() >= size && row[0].is_string();
}

json encode_need(quota_need const& need)
{
    return json::array(
        {need.organisation, need.held, need.waiting, need.ahead, need.returned, need.spent, need.typical});
}

std::optional<quota_need> decode_need(json const& row)
{
    bool const usable = is_named_row(row, 7) && is_amount(row[1]) && row[2].is_array() &&
                        are_amounts(row[2], 0, row[2].size()) && are_amounts(row, 3, 7);
    if (!usable)
    {
        return std::nullopt;
    }
    return quota_need{
        row[0].get<std::string>(),   row[1].get<std::uint64_t>(), row[2].get<std::vector<std::uint64_t>>(),
        row[3].get<std::uint64_t>(), row[4].get<std::uint64_t>(), row[5].get<std::uint64_t>(),
        row[6].get<std::uint64_t>()};
}

std::optional<quota_grant> decode_grant(json const& row)
{
    if (!is_named_row(row, 6) || !are_amounts(row, 1, 6))
    {
        return std::nullopt;
    }
    return quota_grant{row[0].get<std::string>(),   row[1].get<std::uint64_t>(), row[2].get<std::uint64_t>(),
                       row[3].get<std::uint64_t>(), row[4].get<std::uint64_t>(), row[5].get<std::uint64_t>()};
}

template <typename Value, typename Decode>
std::optional<std::vector<Value>> decode_rows(json const& rows, Decode decode)
{
    std::vector<Value> values;
    for (json const& row : rows)
    {
        auto value = decode(row);
        if (!value)
        {
            return std::nullopt;
        }
        values.push_back(std::move(*value));
    }
    return values;
}

} // namespace

std::string encode_quota_question(quota_question const& question)
{
    json needs = json::array();
    for (quota_need const& each : question.needs)
    {
        needs.push_back(encode_need(each));
    }
    return to_bytes(json::array(
        {question.instance, question.start, question.sequence, question.instances, std::move(needs)}));
}

std::optional<quota_question> decode_quota_question(std::string const& bytes)
{
    auto const parsed = field_codec::parse_cbor(bytes);
    if (!parsed.has_value())
    {
        return std::nullopt;
    }
    json const& value = parsed.value();
    bool const usable = is_named_row(value, 5) && value[1].is_number_unsigned() &&
                        value[2].is_number_unsigned() && is_instance_count(value[3]) && value[4].is_array();
    auto needs = usable ? decode_rows<quota_need>(value[4], decode_need) : std::nullopt;
    if (!needs)
    {
        return std::nullopt;
    }
    return quota_question{value[0].get<std::string>(), value[1].get<std::uint64_t>(),
                          value[2].get<std::uint64_t>(), value[3].get<unsigned>(), std::move(*needs)};
}

std::string encode_quota_reply(quota_reply const& reply)
{
    json grants = json::array();
    for (quota_grant const& each : reply.grants)
    {
        grants.push_back(json::array({each.organisation, each.granted, each.room_after_ms, each.ask_after_ms,
                                      each.spent_per_s, each.share_per_s}));
    }
    return to_bytes(json::array({reply.sequence, reply.instances, std::move(grants)}));
}

std::optional<quota_reply> decode_quota_reply(std::string const& bytes)
{
    auto const parsed = field_codec::parse_cbor(bytes);
    if (!parsed.has_value())
    {
        return std::nullopt;
    }
    json const& value = parsed.value();
    bool const usable = value.is_array() && value.size() >= 3 && value[0].is_number_unsigned() &&
                        is_instance_count(value[1]) && value[2].is_array();
    auto grants = usable ? decode_rows<quota_grant>(value[2], decode_grant) : std::nullopt;
    if (!grants)
    {
        return std::nullopt;
    }
    return quota_reply{value[0].get<std::uint64_t>(), value[1].get<unsigned>(), std::move(*grants)};
}

} // namespace siskinusher
