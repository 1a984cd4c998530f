#include "adapters/settings_reader.hpp"

#include "adapters/yaml_tree.hpp"

#include <fstream>
#include <map>
#include <memory>
#include <utility>

namespace siskinusher
{

namespace
{

yaml_map section(yaml_map& parent, std::string const& name, std::string const& accepted)
{
    return {parent.require(name, accepted), name, parent.errors()};
}

void read_peers(yaml_map& root, entry_settings& settings, read_error_list& errors)
{
    root.require("peers", "a list of the other instances; [] for none");
    std::map<std::string, int> first_lines;
    std::size_t index = 0;
    for (auto const* const item : root.list("peers"))
    {
        yaml_map map(item, "peers[" + std::to_string(index++) + "]", errors);
        peer_settings peer;
        peer.name = map.name("name");
        peer.data_centre = map.name("data_centre");
        peer.http_address = map.address("http");
        peer.peer_address = map.address("peer");
        map.finish();
        if (!peer.name.empty() && peer.name == settings.name)
        {
            errors.add(map.line_of("name"), "peer " + quote(peer.name) + " has the name of this instance");
        }
        auto const [first, inserted] = first_lines.emplace(peer.name, map.line());
        if (!inserted && !peer.name.empty())
        {
            errors.add(map.line_of("name"), "duplicate peer " + quote(peer.name) + "; first on line " +
                                                std::to_string(first->second));
        }
        settings.peers.push_back(std::move(peer));
    }
}

entry_settings read_all(yaml_node const& node, read_error_list& errors)
{
    entry_settings settings;
    yaml_map root(&node, "", errors);

    yaml_map instance = section(root, "instance", "a map of name, data_centre and region");
    settings.name = instance.name("name");
    settings.data_centre = instance.name("data_centre");
    settings.region = instance.name("region");
    instance.finish();

    yaml_map listen = section(root, "listen", "a map of http and peer");
    settings.http_address = listen.address("http");
    settings.peer_address = listen.address("peer");
    listen.finish();

    yaml_map platform = section(root, "platform", "a map of object_store and instance_list");
    settings.object_store_address = platform.address("object_store");
    settings.instance_list_address = platform.address("instance_list");
    platform.finish();

    yaml_map keys = section(root, "keys", "a map of cluster and operator");
    settings.cluster_key = keys.secret("cluster");
    settings.operator_key = keys.secret("operator");
    keys.finish();
    if (!settings.cluster_key.empty() && settings.cluster_key == settings.operator_key)
    {
        errors.add(keys.line_of("operator"), "'keys.operator' must differ from 'keys.cluster'");
    }

    read_peers(root, settings, errors);

    yaml_map limits(root.find("limits"), "limits", errors);
    settings.connections = static_cast<unsigned>(limits.integer("connections", 1, 65536, 1024));
    settings.body_bytes = limits.integer("body_bytes", 1024, 67108864, 1048576);
    settings.queue = static_cast<unsigned>(limits.integer("queue", 1, 1000000, 2048));
    limits.finish();

    yaml_map log(root.find("log"), "log", errors);
    settings.log_level = log.one_of("level", {"debug", "info", "warning", "error"}, "info");
    log.finish();

    root.finish();
    return settings;
}

} // namespace

read_result<std::string> read_text_file(std::string const& file)
{
    std::ifstream in(file, std::ios::binary);
    if (!in)
    {
        return read_errors{{file, 0, "cannot be opened"}};
    }
    // One byte more than is accepted, so that a larger file is noticed without reading all of it.
    std::string text(max_yaml_bytes + 1, '\0');
    in.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (in.bad())
    {
        return read_errors{{file, 0, "cannot be read"}};
    }
    text.resize(static_cast<std::size_t>(in.gcount()));
    if (text.size() > max_yaml_bytes)
    {
        return read_errors{{file, 0, "is larger than " + std::to_string(max_yaml_bytes) + " bytes"}};
    }
    return text;
}

read_result<entry_settings> read_entry_settings(std::string const& text, std::string const& file)
{
    auto const tree = parse_yaml(text, file);
    if (!tree)
    {
        return tree.assume_error();
    }
    read_error_list errors(file);
    entry_settings settings = read_all(*tree.assume_value(), errors);
    if (!errors.empty())
    {
        return errors.take();
    }
    return settings;
}

read_result<operator_settings> read_operator_settings(std::string const& text, std::string const& file)
{
    auto const tree = parse_yaml(text, file);
    if (!tree)
    {
        return tree.assume_error();
    }
    read_error_list errors(file);
    operator_settings settings;
    yaml_map root(tree.assume_value().get(), "", errors);
    settings.object_store_address = root.address("object_store");
    if (root.find("instance_list") != nullptr)
    {
        settings.instance_list_address = root.address("instance_list");
    }
    for (auto const* const item : root.list("instances"))
    {
        if (!is_address(item->scalar))
        {
            errors.add(item->line, "wrong element " + quote(item->scalar) +
                                       " in 'instances'; accepted: " + accepted_address);
        }
        settings.instances.push_back(item->scalar);
    }
    if (root.find("operator_key") != nullptr)
    {
        settings.operator_key = root.secret("operator_key");
    }
    root.finish();
    if (!errors.empty())
    {
        return errors.take();
    }
    return settings;
}

bool is_key(std::string const& text)
{
    return is_secret(text);
}

} // namespace siskinusher
