#include "adapters/platform_json.hpp"

#include "adapters/field_codec.hpp"

#include <array>
#include <string>
#include <utility>

namespace siskinusher
{

namespace
{

using boost::outcome_v2::std_result;
using field_codec::tree_reader;

constexpr std::uint64_t max_amount = std::uint64_t{1} << 50U; // 1 PB.
constexpr std::size_t max_contents = 8192;                    // The sum of 8192 amounts of 1 PB fits 64 bits.

template <typename T>
void read_optional(tree_reader& reader, nlohmann::json const& tree, char const* name, T& value)
{
    if (tree.contains(name))
    {
        reader.read_member(tree, name, value);
    }
}

// Reads a text that must be one of `names`; its position in the list is the number of the enumerator.
template <typename Enum, std::size_t Count>
void read_enumerator(tree_reader& reader, nlohmann::json const& tree,
                     std::array<char const*, Count> const& names, Enum& value)
{
    std::string name;
    reader.read(tree, name);
    for (std::size_t i = 0; i < Count; ++i)
    {
        if (name == names.at(i))
        {
            value = static_cast<Enum>(i);
            return;
        }
    }
    reader.fail(std::errc::bad_message);
}

template <typename Enum, std::size_t Count>
void read_enumerator_member(tree_reader& reader, nlohmann::json const& tree, char const* member,
                            std::array<char const*, Count> const& names, Enum& value)
{
    auto const found = tree.find(member);
    if (found == tree.end())
    {
        return reader.fail(std::errc::bad_message);
    }
    read_enumerator(reader, *found, names, value);
}

// The member `name` as an object, or an empty object when it is absent.
nlohmann::json const& object_member(tree_reader& reader, nlohmann::json const& tree, char const* name)
{
    static nlohmann::json const none = nlohmann::json::object();
    auto const found = tree.find(name);
    if (found == tree.end())
    {
        return none;
    }
    if (!found->is_object())
    {
        reader.fail(std::errc::bad_message);
        return none;
    }
    return *found;
}

void read_amount(tree_reader& reader, nlohmann::json const& tree, std::uint64_t& amount)
{
    reader.read(tree, amount);
    if (amount > max_amount)
    {
        reader.fail(std::errc::result_out_of_range);
    }
}

void read_amount_member(tree_reader& reader, nlohmann::json const& tree, char const* name,
                        std::uint64_t& amount)
{
    auto const found = tree.find(name);
    if (found != tree.end())
    {
        read_amount(reader, *found, amount);
    }
}

void read_contents(tree_reader& reader, nlohmann::json const& tree, char const* name,
                   std::map<std::string, std::uint64_t>& contents)
{
    nlohmann::json const& members = object_member(reader, tree, name);
    if (members.size() > max_contents / 2)
    {
        return reader.fail(std::errc::result_out_of_range);
    }
    for (auto const& member : members.items())
    {
        read_amount(reader, member.value(), contents[member.key()]);
    }
}

listed_server read_row(tree_reader& reader, nlohmann::json const& row)
{
    static constexpr std::array<char const*, 3> kinds{"instance", "engine", "service"};
    static constexpr std::array<char const*, 2> states{"live", "leaving"};
    listed_server server;
    if (!row.is_object())
    {
        reader.fail(std::errc::bad_message);
        return server;
    }
    reader.read_member(row, "name", server.name);
    reader.read_member(row, "address", server.address);
    reader.read_member(row, "data_centre", server.data_centre);
    read_enumerator_member(reader, row, "kind", kinds, server.kind);
    read_enumerator_member(reader, row, "state", states, server.state);
    read_optional(reader, row, "peer_address", server.peer_address);
    read_optional(reader, row, "pool", server.pool);
    read_optional(reader, row, "checks_epoch", server.checks_epoch);
    if (server.name.empty())
    {
        reader.fail(std::errc::bad_message);
    }
    return server;
}

template <typename T>
std_result<T> result_of(tree_reader const& reader, T value)
{
    if (reader.failed())
    {
        return reader.fault();
    }
    return value;
}

} // namespace

std_result<order_acknowledgement> read_order_acknowledgement(std::string_view text)
{
    auto const tree = field_codec::parse_json(text);
    if (!tree)
    {
        return tree.error();
    }
    if (!tree.value().is_object())
    {
        return std::errc::bad_message;
    }
    order_acknowledgement acknowledgement;
    tree_reader reader;
    reader.read_member(tree.value(), "boot_id", acknowledgement.boot_id);
    reader.read_member(tree.value(), "revision", acknowledgement.revision);
    return result_of(reader, acknowledgement);
}

std_result<engine_report> read_engine_report(std::string_view text)
{
    static constexpr std::array<char const*, 3> tiers{"memory", "disk", "remote"};
    auto const parsed = field_codec::parse_json(text);
    if (!parsed)
    {
        return parsed.error();
    }
    nlohmann::json const& tree = parsed.value();
    if (!tree.is_object())
    {
        return std::errc::bad_message;
    }
    engine_report report;
    tree_reader reader;
    reader.read_member(tree, "name", report.name);
    reader.read_member(tree, "boot_id", report.boot_id);
    reader.read_member(tree, "revision", report.revision);
    reader.read_member(tree, "leaving", report.leaving);
    reader.read_member(tree, "places", report.places);
    reader.read_member(tree, "running", report.running);
    reader.read_member(tree, "waiting", report.waiting);
    read_amount_member(reader, tree, "memory_bytes", report.memory_bytes);
    read_amount_member(reader, tree, "prefix_cache_bytes", report.prefix_cache_bytes);
    read_amount_member(reader, tree, "import_bytes", report.import_bytes);
    read_contents(reader, tree, "models", report.models);
    read_contents(reader, tree, "adapters", report.adapters);
    report.counts_use = tree.contains("in_use");
    read_contents(reader, tree, "in_use", report.in_use);
    for (auto const& member : object_member(reader, tree, "checkpoints").items())
    {
        read_enumerator(reader, member.value(), tiers, report.checkpoints[member.key()]);
    }
    return result_of(reader, std::move(report));
}

std_result<std::vector<listed_server>> read_instance_list(std::string_view text)
{
    auto const parsed = field_codec::parse_json(text);
    if (!parsed)
    {
        return parsed.error();
    }
    nlohmann::json const& tree = parsed.value();
    auto const member = tree.is_object() ? tree.find("instances") : tree.end();
    nlohmann::json const& rows = member == tree.end() ? tree : *member;
    if (!rows.is_array())
    {
        return std::errc::bad_message;
    }
    std::vector<listed_server> servers;
    tree_reader reader;
    for (nlohmann::json const& row : rows)
    {
        servers.push_back(read_row(reader, row));
    }
    return result_of(reader, std::move(servers));
}

} // namespace siskinusher
