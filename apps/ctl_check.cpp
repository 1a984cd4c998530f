#include "apps/ctl_check.hpp"

#include "platform/json_fields.hpp"
#include "platform/serving_config_codec.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <ostream>
#include <utility>

namespace siskinusher
{

namespace
{

using nlohmann::json;

// The largest object of the store has 1 MiB; the design target of 10,000 organisations needs a few MB.
constexpr std::size_t max_file_bytes = 64U << 20U;
constexpr std::size_t part_bytes = 65536;
constexpr std::array<char const*, 3> list_names{"routes", "services", "tenants"};

std::optional<std::string> read_file(std::string const& file, std::ostream& err)
{
    std::ifstream in(file, std::ios::binary);
    std::string text;
    std::string part(part_bytes, '\0');
    while (in && text.size() <= max_file_bytes)
    {
        in.read(part.data(), static_cast<std::streamsize>(part.size()));
        text.append(part, 0, static_cast<std::size_t>(in.gcount()));
    }
    if (!in.eof())
    {
        err << file << (in ? ": is too large" : ": cannot be read") << '\n';
        return std::nullopt;
    }
    return text;
}

// Replaces control characters, which could control the operator's terminal.
std::string printable(std::string text)
{
    std::replace_if(
        text.begin(), text.end(), [](char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7F'; },
        ' ');
    return text;
}

// Line and column of the first fault, from 1. The parser's own message is not used: it quotes the text, and
// so perhaps a key.
std::string fault_place(std::string const& text)
{
    std::size_t offset = 0;
    try
    {
        if (!json::parse(text).is_discarded())
        {
            return {};
        }
    }
    catch (json::parse_error const& error)
    {
        offset = std::min(error.byte > 0 ? error.byte - 1 : 0, text.size());
    }
    catch (json::exception const&)
    {
        return {};
    }
    std::string const before = text.substr(0, offset);
    auto const line = std::count(before.begin(), before.end(), '\n') + 1;
    std::size_t const line_start = before.rfind('\n') == std::string::npos ? 0 : before.rfind('\n') + 1;
    return "line " + std::to_string(line) + ", column " + std::to_string(offset - line_start + 1);
}

// The configuration with empty lists, except for one entry.
json with_one_entry(json const& spec, char const* list, json const& entry)
{
    json reduced{{"version", 0}, {"routes", json::array()}, {"services", json::array()}};
    reduced["version"] = spec.value("version", json());
    reduced[list] = json::array({entry});
    return reduced;
}

// The entries that the reader does not take, and what it says about the rest: it stops at the first fault
// itself.
std::vector<config_finding> reader_findings(json const& spec)
{
    std::vector<config_finding> findings;
    json rest = spec;
    std::string why;
    bool const has_version = spec.is_object() && platform::count_field(spec, "version").has_value();
    for (char const* const name : list_names)
    {
        auto const* const list = has_version ? platform::list_field(spec, name) : nullptr;
        if (list == nullptr)
        {
            continue;
        }
        json taken = json::array();
        for (std::size_t i = 0; i < list->size(); ++i)
        {
            if (platform::decode_serving_config(with_one_entry(spec, name, (*list)[i]), why))
            {
                taken.push_back((*list)[i]);
                continue;
            }
            std::string place = name;
            place.append("[").append(std::to_string(i)).append("]");
            findings.push_back({finding_severity::error, std::move(place), why});
        }
        rest[name] = std::move(taken);
    }
    if (!platform::decode_serving_config(rest, why))
    {
        findings.push_back({finding_severity::error, "", why});
    }
    return findings;
}

json to_json(std::vector<config_finding> const& findings)
{
    json list = json::array();
    for (config_finding const& each : findings)
    {
        list.push_back({{"severity", to_string(each.severity)}, {"place", each.place}, {"text", each.text}});
    }
    return list;
}

json to_json(std::vector<config_change> const& changes)
{
    json list = json::array();
    for (config_change const& each : changes)
    {
        list.push_back({{"group", to_string(each.group)}, {"place", each.place}, {"text", each.text}});
    }
    return list;
}

void print(std::vector<config_finding> const& findings, std::string const& file, std::ostream& out)
{
    for (config_finding const& each : findings)
    {
        std::string const place = each.place.empty() ? file : each.place;
        out << to_string(each.severity) << ": " << printable(place) << ": " << printable(each.text) << '\n';
    }
    auto const errors =
        std::count_if(findings.begin(), findings.end(),
                      [](config_finding const& each) { return each.severity == finding_severity::error; });
    out << file << ": " << errors << " errors, " << findings.size() - static_cast<std::size_t>(errors)
        << " warnings\n";
}

void print(std::vector<config_change> const& changes, std::string const& against, std::ostream& out)
{
    out << "changes from " << against << ": " << changes.size() << '\n';
    std::optional<change_group> group;
    for (config_change const& each : changes)
    {
        if (each.group != group)
        {
            group = each.group;
            out << to_string(each.group) << ":\n";
        }
        out << "  " << printable(each.place) << ": " << printable(each.text) << '\n';
    }
}

} // namespace

checked_config check_config_text(std::string const& text)
{
    checked_config checked;
    auto const parsed = platform::parse_readable_json(text);
    if (!parsed)
    {
        checked.findings.push_back({finding_severity::error, fault_place(text), "this is not valid JSON"});
        return checked;
    }
    if (parsed->replaced > 0)
    {
        checked.findings.push_back(
            {finding_severity::error, fault_place(text),
             std::to_string(parsed->replaced) + " values cannot be read, instances take them as null"});
    }
    std::string why;
    checked.config = platform::decode_serving_config(parsed->value, why);
    auto const more = checked.config ? review_config(*checked.config) : reader_findings(parsed->value);
    checked.findings.insert(checked.findings.end(), more.begin(), more.end());
    return checked;
}

exit_code check_serving_config(check_request const& request, std::ostream& out, std::ostream& err)
{
    auto const text = read_file(request.file, err);
    auto const old_text = request.against.empty() ? std::string() : read_file(request.against, err);
    if (!text || !old_text)
    {
        return exit_code::usage;
    }
    checked_config checked = check_config_text(*text);
    std::vector<config_change> changes;
    if (!request.against.empty())
    {
        auto const in_force = check_config_text(*old_text);
        if (!in_force.config)
        {
            err << request.against
                << ": has parts that instances cannot use, there is nothing to compare with\n";
            return exit_code::usage;
        }
        if (checked.config)
        {
            changes = compare_configs(*in_force.config, *checked.config);
        }
    }
    if (request.as_json)
    {
        json document{{"file", request.file}, {"findings", to_json(checked.findings)}};
        if (!request.against.empty())
        {
            document["against"] = request.against;
            document["changes"] = to_json(changes);
        }
        out << document.dump(2, ' ', false, json::error_handler_t::replace) << '\n';
    }
    else
    {
        print(checked.findings, request.file, out);
        if (!request.against.empty() && checked.config)
        {
            print(changes, request.against, out);
        }
        else if (!request.against.empty())
        {
            out << "changes from " << request.against << ": not known, instances cannot use all of "
                << request.file << '\n';
        }
    }
    return checked.findings.empty() ? exit_code::ok : exit_code::refused;
}

} // namespace siskinusher
