#include "adapters/placement_codec.hpp"

#include "adapters/field_codec.hpp"
#include "adapters/http_message.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>
#include <vector>

namespace siskinusher
{

char const* const demand_path = "/siskin/demand";
char const* const state_path = "/siskin/state";
char const* const standbys_header = "Store-Standbys";
char const* const config_age_header = "Config-Age";
char const* const stream_path = "/siskin/stream";
char const* const stream_service_header = "Stream-Service";

namespace
{

using nlohmann::json;

// Limits are sent as whole numbers of this fraction of a request a second.
constexpr double limit_scale = 1000.0;

std::string to_bytes(json const& value)
{
    std::vector<std::uint8_t> const bytes = json::to_cbor(value);
    return {bytes.begin(), bytes.end()};
}

// Messages are lists of fixed length, which keeps them small.
std::optional<json> list_of(std::string const& bytes, std::size_t size)
{
    auto value = field_codec::parse_cbor(bytes);
    bool const usable = value.has_value() && value.value().is_array() && value.value().size() == size;
    return usable ? std::optional(std::move(value.value())) : std::nullopt;
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

bool is_text_list(json const& value)
{
    return value.is_array() &&
           std::all_of(value.begin(), value.end(), [](json const& each) { return each.is_string(); });
}

json binary_of(std::string const& bytes)
{
    return json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string bytes_of(json const& value)
{
    auto const& bytes = value.get_binary();
    return {bytes.begin(), bytes.end()};
}

json encode_position(update_position const& position)
{
    return json::array({position.source, position.sequence});
}

std::optional<update_position> decode_position(json const& value)
{
    return is_row(value, 1, 1)
               ? std::optional(update_position{value[0].get<std::string>(), value[1].get<std::uint64_t>()})
               : std::nullopt;
}

json encode_revision(store_revision const& revision)
{
    return json::array({revision.era, revision.number});
}

std::optional<store_revision> decode_revision(json const& value)
{
    return is_row(value, 0, 2)
               ? std::optional(store_revision{value[0].get<std::uint64_t>(), value[1].get<std::uint64_t>()})
               : std::nullopt;
}

json encode_streams(std::vector<begun_stream> const& streams)
{
    json rows = json::array();
    for (begun_stream const& each : streams)
    {
        rows.push_back(json::array({each.request_id, each.version}));
    }
    return rows;
}

std::optional<std::vector<begun_stream>> decode_streams(json const& rows)
{
    if (!rows.is_array())
    {
        return std::nullopt;
    }
    std::vector<begun_stream> streams;
    for (json const& row : rows)
    {
        if (!is_row(row, 2, 0))
        {
            return std::nullopt;
        }
        streams.push_back({row[0].get<std::string>(), row[1].get<std::string>()});
    }
    return streams;
}

json encode_stream_versions(std::vector<stream_versions> const& records)
{
    json rows = json::array();
    for (stream_versions const& each : records)
    {
        rows.push_back(json::array({json::array({each.service}), each.versions}));
    }
    return rows;
}

std::optional<std::vector<stream_versions>> decode_stream_versions(json const& rows)
{
    if (!rows.is_array())
    {
        return std::nullopt;
    }
    std::vector<stream_versions> records;
    for (json const& row : rows)
    {
        bool const has_parts = row.is_array() && row.size() == 2;
        if (!has_parts || !is_row(row[0], 1, 0) || !is_text_list(row[1]))
        {
            return std::nullopt;
        }
        records.push_back({row[0][0].get<std::string>(), row[1].get<std::vector<std::string>>()});
    }
    return records;
}

json encode_config(known_config const& config)
{
    return json::array({config.version, encode_revision(config.revision), binary_of(config.text)});
}

std::optional<known_config> decode_config(json const& value)
{
    bool const has_parts = value.is_array() && value.size() == 3;
    auto const revision = has_parts ? decode_revision(value[1]) : std::nullopt;
    if (!revision || !value[0].is_number_unsigned() || !value[2].is_binary())
    {
        return std::nullopt;
    }
    return known_config{value[0].get<std::uint64_t>(), *revision, bytes_of(value[2])};
}

json encode_server(revised_backend const& server)
{
    backend_entry const& entry = server.entry;
    json models = json::array();
    for (resident_model const& model : entry.models)
    {
        json names = json::array({model.name});
        for (std::string const& adapter : model.adapters)
        {
            names.push_back(adapter);
        }
        models.push_back(std::move(names));
    }
    json const facts = json::array({entry.name, entry.service, entry.address, entry.data_centre,
                                    entry.software_version, entry.places, entry.leaving ? 1U : 0U,
                                    entry.is_engine ? 1U : 0U, static_cast<std::uint64_t>(entry.started_at)});
    return json::array({facts, models, encode_revision(server.revision)});
}

std::optional<revised_backend> decode_server(json const& value)
{
    bool const has_parts = value.is_array() && value.size() == 3;
    auto const revision = has_parts ? decode_revision(value[2]) : std::nullopt;
    if (!revision || !is_row(value[0], 5, 4) || !value[1].is_array())
    {
        return std::nullopt;
    }
    json const& facts = value[0];
    revised_backend server;
    backend_entry& entry = server.entry;
    entry.name = facts[0].get<std::string>();
    entry.service = facts[1].get<std::string>();
    entry.address = facts[2].get<std::string>();
    entry.data_centre = facts[3].get<std::string>();
    entry.software_version = facts[4].get<std::string>();
    entry.places = facts[5].get<unsigned>();
    entry.leaving = facts[6].get<unsigned>() != 0;
    entry.is_engine = facts[7].get<unsigned>() != 0;
    entry.started_at = facts[8].get<std::int64_t>();
    server.revision = *revision;
    for (json const& names : value[1])
    {
        if (!is_text_list(names) || names.empty())
        {
            return std::nullopt;
        }
        resident_model model{names[0].get<std::string>(), {}};
        for (std::size_t i = 1; i < names.size(); ++i)
        {
            model.adapters.insert(names[i].get<std::string>());
        }
        entry.models.push_back(std::move(model));
    }
    return server;
}

// Encodes the rows as one list of names and one of numbers, which cannot be mistaken for a JSON object.
json encode_running(std::vector<engine_requests> const& rows)
{
    json names = json::array();
    json counts = json::array();
    for (engine_requests const& each : rows)
    {
        names.push_back(each.engine);
        counts.push_back(each.running);
    }
    return json::array({names, counts});
}

std::optional<std::vector<engine_requests>> decode_running(json const& value)
{
    if (!value.is_array() || value.size() != 2 || !is_text_list(value[0]) ||
        !is_row(value[1], 0, value[0].size()))
    {
        return std::nullopt;
    }
    std::vector<engine_requests> rows;
    for (std::size_t i = 0; i < value[0].size(); ++i)
    {
        rows.push_back({value[0][i].get<std::string>(), value[1][i].get<unsigned>()});
    }
    return rows;
}

std::optional<placement_update> decode_placement_update(std::string const& bytes)
{
    auto const value = list_of(bytes, 3);
    bool const with_running = value && !(*value)[2].is_null();
    auto running = with_running ? decode_running((*value)[2]) : std::nullopt;
    if (!value || with_running != running.has_value() || !(*value)[0].is_number_unsigned() ||
        !(*value)[1].is_array())
    {
        return std::nullopt;
    }
    placement_update placement;
    placement.running = std::move(running);
    placement.instances = (*value)[0].get<unsigned>();
    for (json const& row : (*value)[1])
    {
        if (!is_row(row, 3, 1))
        {
            return std::nullopt;
        }
        placement.placements.push_back({row[0].get<std::string>(), row[1].get<std::string>(),
                                        row[2].get<std::string>(), row[3].get<unsigned>() != 0});
    }
    return placement;
}

std::optional<backend_update> decode_update(std::string const& bytes)
{
    auto const value = list_of(bytes, 5);
    auto position = value ? decode_position((*value)[0]) : std::nullopt;
    auto const followed = value ? decode_revision((*value)[2]) : std::nullopt;
    if (!position || !followed || !(*value)[1].is_boolean() || !(*value)[3].is_array() ||
        !is_text_list((*value)[4]))
    {
        return std::nullopt;
    }
    backend_update update;
    update.position = std::move(*position);
    update.complete = (*value)[1].get<bool>();
    update.followed = *followed;
    for (json const& each : (*value)[3])
    {
        auto server = decode_server(each);
        if (!server)
        {
            return std::nullopt;
        }
        update.changed.push_back(std::move(*server));
    }
    update.removed = (*value)[4].get<std::vector<std::string>>();
    return update;
}

json encode_crash_rows(std::vector<crash_mark> const& crashes)
{
    json rows = json::array();
    for (crash_mark const& each : crashes)
    {
        rows.push_back(
            {each.suspect, each.engine, each.position, static_cast<std::uint64_t>(each.engine_started_at)});
    }
    return rows;
}

std::optional<std::vector<crash_mark>> decode_crash_rows(json const& rows)
{
    if (!rows.is_array())
    {
        return std::nullopt;
    }
    std::vector<crash_mark> crashes;
    for (json const& row : rows)
    {
        if (!is_row(row, 2, 2))
        {
            return std::nullopt;
        }
        crashes.push_back({row[0].get<std::string>(), row[2].get<unsigned>(), row[1].get<std::string>(),
                           row[3].get<std::int64_t>()});
    }
    return crashes;
}

json encode_limit(server_limit const& limit, unsigned count)
{
    bool const ended = limit.per_second < 0.0;
    auto const per_second = static_cast<std::uint64_t>(std::llround(limit.per_second * limit_scale));
    return {limit.backend, ended ? 1U : 0U, ended ? 0U : per_second,
            static_cast<std::uint64_t>(std::max<duration>(limit.age, duration{0}).count()), count};
}

// Decodes rows of encode_limit as limit reports or grants.
template <typename Row>
std::optional<std::vector<Row>> decode_limits(json const& rows)
{
    if (!rows.is_array())
    {
        return std::nullopt;
    }
    std::vector<Row> limits;
    for (json const& row : rows)
    {
        if (!is_row(row, 1, 4))
        {
            return std::nullopt;
        }
        bool const ended = row[1].get<unsigned>() != 0;
        double const per_second = row[2].get<double>() / limit_scale;
        limits.push_back(
            {{row[0].get<std::string>(), ended ? -1.0 : per_second, duration{row[3].get<duration::rep>()}},
             row[4].get<unsigned>()});
    }
    return limits;
}

std::optional<std::vector<peer_relay>> decode_relays(json const& rows)
{
    if (!rows.is_array())
    {
        return std::nullopt;
    }
    std::vector<peer_relay> relays;
    for (json const& row : rows)
    {
        if (!is_row(row, 2, 0))
        {
            return std::nullopt;
        }
        relays.push_back({row[0].get<std::string>(), row[1].get<std::string>()});
    }
    return relays;
}

} // namespace

std::string encode_standbys(std::vector<std::string> const& addresses)
{
    std::string text;
    for (std::string const& each : addresses)
    {
        text.append(text.empty() ? "" : ",").append(each);
    }
    return text.empty() ? std::string() : std::string(standbys_header) + ": " + text + "\r\n";
}

std::string encode_config_age(std::optional<duration> age)
{
    // Rounded up: a configuration must not be taken for newer than it is.
    std::string const text =
        age ? std::to_string(std::chrono::duration_cast<milliseconds>(*age).count() + 1) : "none";
    return std::string(config_age_header) + ": " + text + "\r\n";
}

told_config_age decode_config_age(std::vector<std::pair<std::string, std::string>> const& headers)
{
    constexpr std::uint64_t max_ms = 1000000000000U; // Keeps the conversion in range.
    auto const found =
        std::find_if(headers.begin(), headers.end(),
                     [](auto const& each) { return equal_ignoring_case(each.first, config_age_header); });
    if (found == headers.end())
    {
        return {};
    }
    auto const age = parse_number(found->second);
    return {true,
            age ? std::optional<duration>(milliseconds{static_cast<std::int64_t>(std::min(*age, max_ms))})
                : std::nullopt};
}

std::vector<std::string> decode_standbys(std::vector<std::pair<std::string, std::string>> const& headers)
{
    std::vector<std::string> addresses;
    auto const found =
        std::find_if(headers.begin(), headers.end(),
                     [](auto const& each) { return equal_ignoring_case(each.first, standbys_header); });
    if (found == headers.end())
    {
        return addresses;
    }
    std::string const& text = found->second;
    for (std::size_t start = 0; start < text.size();)
    {
        std::size_t const end = std::min(text.find(',', start), text.size());
        if (end > start)
        {
            addresses.push_back(text.substr(start, end - start));
        }
        start = end + 1;
    }
    return addresses;
}

std::string encode_demand(demand_report const& report)
{
    json rows = json::array();
    for (model_demand const& each : report.models)
    {
        rows.push_back({each.service, each.model, each.adapter, each.priority, each.waiting, each.running,
                        each.arrivals});
    }
    json limits = json::array();
    for (limit_report const& each : report.limits)
    {
        limits.push_back(encode_limit(each.limit, each.wanted));
    }
    json const who =
        json::array({report.instance, report.peer_address, report.data_centre, report.cut_off ? 1U : 0U});
    return to_bytes(json::array({who, report.unreachable, rows, encode_running(report.running),
                                 report.sent_early, encode_position(report.servers_position),
                                 report.crash_marks_digest, encode_crash_rows(report.new_crash_marks), limits,
                                 encode_config(report.config), encode_streams(report.streams)}));
}

std::optional<demand_report> decode_demand(std::string const& bytes)
{
    auto const value = list_of(bytes, 11);
    auto running = value ? decode_running((*value)[3]) : std::nullopt;
    auto position = value ? decode_position((*value)[5]) : std::nullopt;
    auto crashes = value ? decode_crash_rows((*value)[7]) : std::nullopt;
    auto limits = value ? decode_limits<limit_report>((*value)[8]) : std::nullopt;
    auto config = value ? decode_config((*value)[9]) : std::nullopt;
    auto streams = value ? decode_streams((*value)[10]) : std::nullopt;
    if (!position || !running || !crashes || !limits || !config || !streams || !(*value)[4].is_boolean() ||
        !is_row((*value)[0], 3, 1) || !is_text_list((*value)[1]) || !(*value)[2].is_array() ||
        !(*value)[6].is_number_unsigned())
    {
        return std::nullopt;
    }
    demand_report report;
    report.instance = (*value)[0][0].get<std::string>();
    report.peer_address = (*value)[0][1].get<std::string>();
    report.data_centre = (*value)[0][2].get<std::string>();
    report.cut_off = (*value)[0][3].get<unsigned>() != 0;
    report.unreachable = (*value)[1].get<std::vector<backend_name>>();
    report.running = std::move(*running);
    report.sent_early = (*value)[4].get<bool>();
    report.servers_position = std::move(*position);
    report.crash_marks_digest = (*value)[6].get<std::uint64_t>();
    report.new_crash_marks = std::move(*crashes);
    report.limits = std::move(*limits);
    report.config = std::move(*config);
    report.streams = std::move(*streams);
    for (json const& row : (*value)[2])
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

std::string encode_placement_update(placement_update const& placement)
{
    json rows = json::array();
    for (recent_placement const& each : placement.placements)
    {
        rows.push_back({each.engine, each.model, each.adapter, each.leaving ? 1U : 0U});
    }
    return to_bytes(json::array(
        {placement.instances, rows, placement.running ? encode_running(*placement.running) : json()}));
}

std::string encode_update(backend_update const& update)
{
    json servers = json::array();
    for (revised_backend const& each : update.changed)
    {
        servers.push_back(encode_server(each));
    }
    return to_bytes(json::array({encode_position(update.position), update.complete,
                                 encode_revision(update.followed), servers, update.removed}));
}

std::string encode_crash_marks(std::vector<crash_mark> const& crashes)
{
    return to_bytes(encode_crash_rows(crashes));
}

std::optional<std::vector<crash_mark>> decode_crash_marks(std::string const& bytes)
{
    auto const value = field_codec::parse_cbor(bytes);
    return value.has_value() ? decode_crash_rows(value.value()) : std::nullopt;
}

std::string encode_reply(std::string const& placement, std::string const& update,
                         std::string const& crash_marks, std::vector<limit_grant> const& grants,
                         known_config const& config, std::vector<stream_versions> const& versions,
                         std::vector<peer_relay> const& relays, duration age)
{
    json relay_rows = json::array();
    for (peer_relay const& each : relays)
    {
        relay_rows.push_back({each.address, each.data_centre});
    }
    json rows = json::array();
    for (limit_grant const& each : grants)
    {
        rows.push_back(encode_limit(each.limit, each.requests));
    }
    auto const age_us = static_cast<std::uint64_t>(std::max<duration>(age, duration{0}).count());
    return to_bytes(json::array({binary_of(placement), binary_of(update), encode_config(config), age_us,
                                 crash_marks.empty() ? json() : binary_of(crash_marks), rows,
                                 encode_stream_versions(versions), relay_rows}));
}

std::optional<holder_reply> decode_reply(std::string const& bytes)
{
    auto const value = list_of(bytes, 8);
    if (!value || !(*value)[0].is_binary() || !(*value)[1].is_binary() || !(*value)[3].is_number_unsigned())
    {
        return std::nullopt;
    }
    auto placement = decode_placement_update(bytes_of((*value)[0]));
    auto servers = decode_update(bytes_of((*value)[1]));
    json const& crashes = (*value)[4];
    auto crash_marks = crashes.is_binary() ? decode_crash_marks(bytes_of(crashes)) : std::nullopt;
    auto grants = decode_limits<limit_grant>((*value)[5]);
    auto config = decode_config((*value)[2]);
    auto versions = decode_stream_versions((*value)[6]);
    auto relays = decode_relays((*value)[7]);
    if (!placement || !servers || !grants || !config || !versions || !relays ||
        crash_marks.has_value() == crashes.is_null())
    {
        return std::nullopt;
    }
    placement->grants = std::move(*grants);
    return holder_reply{std::move(*placement),  std::move(*servers),
                        std::move(*config),     duration{(*value)[3].get<duration::rep>()},
                        std::move(crash_marks), std::move(*versions),
                        std::move(*relays)};
}

} // namespace siskinusher
