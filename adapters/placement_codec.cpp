#include "adapters/placement_codec.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <vector>

namespace siskinusher
{

char const* const demand_path = "/siskin/demand";

namespace
{

using nlohmann::json;

std::string to_bytes(json const& value)
{
    std::vector<std::uint8_t> const bytes = json::to_cbor(value);
    return {bytes.begin(), bytes.end()};
}

// A row is a list, which keeps the messages small.
std::optional<json> rows_of(std::string const& bytes)
{
    json value = json::from_cbor(bytes.begin(), bytes.end(), true, false);
    bool const usable = !value.is_discarded() && value.is_array() && value.size() == 2 && value[1].is_array();
    return usable ? std::optional(std::move(value)) : std::nullopt;
}

bool is_row(json const& row, std::size_t texts, std::size_t numbers)
{
    if (!row.is_array() || row.size() != texts + numbers)
    {
        return false;
    }
    for (std::size_t i = 0; i < row.size(); ++i)
    {
        if (i < texts ? !row[i].is_string() : !row[i].is_number_unsigned())
        {
            return false;
        }
    }
    return true;
}

} // namespace

std::string encode_demand(demand_report const& report)
{
    json rows = json::array();
    for (model_demand const& each : report.models)
    {
        rows.push_back({each.service, each.model, each.adapter, each.priority, each.waiting, each.running,
                        each.arrivals});
    }
    json who = json::array({report.instance, report.peer_address});
    for (backend_name const& name : report.unreachable)
    {
        who.push_back(name);
    }
    return to_bytes(json::array({who, rows}));
}

std::optional<demand_report> decode_demand(std::string const& bytes)
{
    auto const value = rows_of(bytes);
    if (!value || (*value)[0].size() < 2 || !is_row((*value)[0], (*value)[0].size(), 0))
    {
        return std::nullopt;
    }
    demand_report report;
    for (std::size_t i = 2; i < (*value)[0].size(); ++i)
    {
        report.unreachable.push_back((*value)[0][i].get<std::string>());
    }
    report.instance = (*value)[0][0].get<std::string>();
    report.peer_address = (*value)[0][1].get<std::string>();
    for (json const& row : (*value)[1])
    {
        if (!is_row(row, 3, 4))
        {
            return std::nullopt;
        }
        report.models.push_back({row[0].get<std::string>(), row[1].get<std::string>(),
                                 row[2].get<std::string>(), row[3].get<unsigned>(), row[4].get<unsigned>(),
                                 row[5].get<unsigned>(), row[6].get<unsigned>()});
    }
    return report;
}

std::string encode_news(placement_news const& news)
{
    json rows = json::array();
    for (recent_placement const& each : news.placements)
    {
        rows.push_back({each.engine, each.model, each.adapter, each.leaving ? 1U : 0U});
    }
    return to_bytes(json::array({news.instances, rows}));
}

std::optional<placement_news> decode_news(std::string const& bytes)
{
    auto const value = rows_of(bytes);
    if (!value || !(*value)[0].is_number_unsigned())
    {
        return std::nullopt;
    }
    placement_news news;
    news.instances = (*value)[0].get<unsigned>();
    for (json const& row : (*value)[1])
    {
        if (!is_row(row, 3, 1))
        {
            return std::nullopt;
        }
        news.placements.push_back({row[0].get<std::string>(), row[1].get<std::string>(),
                                   row[2].get<std::string>(), row[3].get<unsigned>() != 0});
    }
    return news;
}

} // namespace siskinusher
