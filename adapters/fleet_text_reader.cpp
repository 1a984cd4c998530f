#include "adapters/fleet_text_reader.hpp"

#include "adapters/yaml_tree.hpp"

#include <algorithm>
#include <cmath>
#include <memory>
#include <set>
#include <sstream>
#include <utility>

namespace siskinusher
{

namespace
{

/// A reference to an item by its name, with the line of the reference.
struct reference
{
    std::string name;
    int line = 0;
};

/// References and lines for the checks that need all names of the text.
struct pending_checks
{
    std::map<std::string, std::vector<reference>> depends_on; ///< By model or service.
    std::map<std::string, int> model_lines;
    std::vector<std::pair<std::string, reference>> model_pools; ///< Pairs of a model and a pool of it.
    std::map<std::string, reference> base_models;               ///< By adapter.
    std::map<std::string, int> service_lines;
};

std::string element(std::string const& list, std::size_t index)
{
    return list + "[" + std::to_string(index) + "]";
}

/// Records the line of a name and reports a duplicate. Returns true when `name` is valid and new.
bool register_name(std::map<std::string, int>& lines, std::string const& name, char const* kind, int line,
                   read_error_list& errors)
{
    if (name.empty())
    {
        return false; // Already reported as missing or wrong.
    }
    auto const [first, inserted] = lines.emplace(name, line);
    if (!inserted)
    {
        errors.add(line, std::string("duplicate ") + kind + " " + quote(name) + "; first on line " +
                             std::to_string(first->second));
    }
    return inserted;
}

void read_data_centres(yaml_map& root, fleet_text& result, read_error_list& errors)
{
    root.require("data_centres", "a list of at least one data centre with name and region");
    std::map<std::string, int> lines;
    std::size_t index = 0;
    auto const items = root.list("data_centres");
    for (auto const* const item : items)
    {
        yaml_map map(item, element("data_centres", index++), errors);
        std::string const name = map.name("name");
        std::string const region = map.name("region");
        map.finish();
        if (register_name(lines, name, "data centre", map.line_of("name"), errors))
        {
            result.config.data_centres.push_back(name);
            result.config.region_of[name] = region;
        }
    }
    std::sort(result.config.data_centres.begin(), result.config.data_centres.end());
    if (items.empty() && root.find("data_centres") != nullptr)
    {
        errors.add(root.line_of("data_centres"), "'data_centres' is empty; accepted: at least one");
    }
}

void read_pools(yaml_map& root, fleet_text& result, read_error_list& errors)
{
    root.require("engine_pools", "a list of pools with name and engine_memory; [] for none");
    std::map<std::string, int> lines;
    std::size_t index = 0;
    for (auto const* const item : root.list("engine_pools"))
    {
        yaml_map map(item, element("engine_pools", index++), errors);
        std::string const name = map.name("name");
        std::uint64_t const memory = map.size("engine_memory");
        map.finish();
        if (register_name(lines, name, "engine pool", map.line_of("name"), errors))
        {
            result.engine_memory[name] = memory;
        }
    }
}

void read_weight_store(yaml_map& root, fleet_text& result, read_error_list& errors)
{
    yaml_map map(root.require("weight_store", "a map of loads_per_second and full_speed_loads"),
                 "weight_store", errors);
    result.config.weight_store.loads_per_second = map.number("loads_per_second", 0.01, 10000);
    result.config.weight_store.full_speed_loads =
        static_cast<unsigned>(map.integer("full_speed_loads", 1, 10000));
    map.finish();
}

void read_ranks(yaml_map& root, fleet_text& result, read_error_list& errors)
{
    yaml_map ranks(root.find("ranks"), "ranks", errors);
    double sum = 0;
    for (rank const each : all_ranks)
    {
        std::string const name(to_string(each));
        rank_policy& policy = result.config.ranks.at(index_of(each));
        yaml_map map(ranks.find(name), "ranks." + name, errors);
        policy.floor = map.number("floor", 0, 1, policy.floor);
        policy.ceiling = map.number("ceiling", 0.01, 1, policy.ceiling);
        map.finish();
        if (policy.floor > policy.ceiling)
        {
            errors.add(map.line_of("floor"), "the floor of 'ranks." + name + "' is above its ceiling");
        }
        sum += policy.floor;
    }
    ranks.finish();
    if (sum > 1 + 1e-9)
    {
        std::ostringstream shown;
        shown << sum;
        errors.add(root.line_of("ranks"),
                   "the floors of 'ranks' sum to " + shown.str() + "; accepted: at most 1");
    }
}

std::vector<reference> references(yaml_map& map, std::string const& name)
{
    std::vector<reference> result;
    for (auto const& [target, line] : map.names(name))
    {
        result.push_back({target, line});
    }
    return result;
}

void read_models(yaml_map& root, fleet_text& result, pending_checks& checks, read_error_list& errors)
{
    root.require("models", "a list of models; [] for none");
    std::size_t index = 0;
    for (auto const* const item : root.list("models"))
    {
        yaml_map map(item, element("models", index++), errors);
        model_config model;
        model.name = map.name("name");
        model.checkpoint = map.name("checkpoint");
        model.bytes = map.size("size");
        model.max_replicas = static_cast<unsigned>(map.integer("max_replicas", 1, 10000));
        model.min_replicas = static_cast<unsigned>(map.integer("min_replicas", 0, 10000, 0));
        model.load_time_ms = static_cast<unsigned>(map.integer("load_time_ms", 1, 3600000));
        auto const pools = references(map, "pools");
        auto depends_on = references(map, "depends_on");
        map.finish();
        if (model.min_replicas > model.max_replicas)
        {
            errors.add(map.line_of("min_replicas"), "'min_replicas' of model " + quote(model.name) + " is " +
                                                        std::to_string(model.min_replicas) +
                                                        "; accepted: 0 to 'max_replicas', " +
                                                        std::to_string(model.max_replicas));
        }
        if (!register_name(checks.model_lines, model.name, "model", map.line_of("name"), errors))
        {
            continue;
        }
        for (auto const& pool : pools)
        {
            model.engine_pools.push_back(pool.name);
            checks.model_pools.emplace_back(model.name, pool);
        }
        if (!depends_on.empty())
        {
            auto& names = result.models_dependencies[model.name];
            for (auto const& target : depends_on)
            {
                names.push_back(target.name);
            }
            checks.depends_on[model.name] = std::move(depends_on);
        }
        result.config.models.emplace(model.name, std::move(model));
    }
}

void read_adapters(yaml_map& root, fleet_text& result, pending_checks& checks, read_error_list& errors)
{
    std::map<std::string, int> lines;
    std::size_t index = 0;
    for (auto const* const item : root.list("adapters"))
    {
        yaml_map map(item, element("adapters", index++), errors);
        adapter_config adapter;
        adapter.name = map.name("name");
        adapter.base_model = map.name("base_model");
        adapter.bytes = map.size("size");
        map.finish();
        if (register_name(lines, adapter.name, "adapter", map.line_of("name"), errors))
        {
            checks.base_models[adapter.name] = {adapter.base_model, map.line_of("base_model")};
            result.config.adapters.emplace(adapter.name, std::move(adapter));
        }
    }
}

std::vector<std::string> read_paths(yaml_map& map, read_error_list& errors)
{
    std::vector<std::string> paths;
    for (auto const* const item : map.list("repeatable_paths"))
    {
        std::string const& path = item->scalar;
        bool const valid = path.size() <= 256 && !path.empty() && path.front() == '/' &&
                           std::all_of(path.begin(), path.end(),
                                       [](char c) { return c > ' ' && c <= '~' && c != '?' && c != '#'; });
        if (!valid)
        {
            errors.add(item->line, "wrong element " + quote(path) + " in " +
                                       quote(map.full("repeatable_paths")) +
                                       "; accepted: a path that starts with '/', of at most 256 printable "
                                       "characters without spaces, '?' and '#'");
        }
        paths.push_back(path);
    }
    return paths;
}

void read_services(yaml_map& root, fleet_text& result, pending_checks& checks, read_error_list& errors)
{
    std::size_t index = 0;
    for (auto const* const item : root.list("services"))
    {
        yaml_map map(item, element("services", index++), errors);
        service_config service;
        service.name = map.name("name");
        service.pool = map.name("pool");
        auto depends_on = references(map, "depends_on");
        service.repeatable_paths = read_paths(map, errors);
        map.finish();
        if (!register_name(checks.service_lines, service.name, "service", map.line_of("name"), errors))
        {
            continue;
        }
        auto const model = checks.model_lines.find(service.name);
        if (model != checks.model_lines.end())
        {
            errors.add(map.line_of("name"), "service " + quote(service.name) +
                                                " has the name of the model on line " +
                                                std::to_string(model->second));
            continue;
        }
        if (result.engine_memory.count(service.pool) != 0)
        {
            errors.add(map.line_of("pool"), "service " + quote(service.name) + " names the engine pool " +
                                                quote(service.pool) +
                                                "; accepted: a pool of plain-service backends");
        }
        for (auto const& target : depends_on)
        {
            service.depends_on.push_back(target.name);
        }
        checks.depends_on[service.name] = std::move(depends_on);
        result.config.services.emplace(service.name, std::move(service));
    }
}

void check_references(fleet_text const& text, pending_checks const& checks, read_error_list& errors)
{
    for (auto const& [item, targets] : checks.depends_on)
    {
        for (auto const& target : targets)
        {
            if (checks.model_lines.count(target.name) == 0 && checks.service_lines.count(target.name) == 0)
            {
                errors.add(target.line, quote(item) + " depends on " + quote(target.name) +
                                            ", which is no model and no service of this text");
            }
        }
    }
    for (auto const& [model, pool] : checks.model_pools)
    {
        if (text.engine_memory.count(pool.name) == 0)
        {
            errors.add(pool.line,
                       "model " + quote(model) + " names the unknown engine pool " + quote(pool.name));
        }
    }
    for (auto const& [adapter, base] : checks.base_models)
    {
        if (!base.name.empty() && checks.model_lines.count(base.name) == 0)
        {
            errors.add(base.line,
                       "adapter " + quote(adapter) + " names the unknown base model " + quote(base.name));
        }
    }
}

/// Memory of the largest engine that may load the model; zero when there is none.
std::uint64_t largest_engine(fleet_text const& text, model_config const& model)
{
    std::uint64_t largest = 0;
    for (auto const& [pool, memory] : text.engine_memory)
    {
        bool const allowed =
            model.engine_pools.empty() ||
            std::find(model.engine_pools.begin(), model.engine_pools.end(), pool) != model.engine_pools.end();
        largest = allowed ? std::max(largest, memory) : largest;
    }
    return largest;
}

void check_sizes(fleet_text const& text, pending_checks const& checks, read_error_list& errors)
{
    for (auto const& [name, model] : text.config.models)
    {
        std::uint64_t const largest = largest_engine(text, model);
        if (model.bytes > largest)
        {
            errors.add(checks.model_lines.at(name),
                       "model " + quote(name) + " of " + std::to_string(model.bytes) +
                           " bytes fits no engine of its pools; the largest has " + std::to_string(largest) +
                           " bytes");
        }
    }
    for (auto const& [name, adapter] : text.config.adapters)
    {
        auto const base = text.config.models.find(adapter.base_model);
        if (base == text.config.models.end())
        {
            continue; // Reported as an unknown base model.
        }
        std::uint64_t const largest = largest_engine(text, base->second);
        if (base->second.bytes <= largest && adapter.bytes > largest - base->second.bytes)
        {
            errors.add(checks.base_models.at(name).line, "adapter " + quote(name) + " of " +
                                                             std::to_string(adapter.bytes) +
                                                             " bytes fits no engine beside its base model");
        }
    }
}

using dependency_graph = std::map<std::string, std::set<std::string>>;

/// Removes items without dependencies from the graph until none is left. Each remaining item is part of a
/// cycle or depends on one.
void remove_resolved(dependency_graph& graph)
{
    std::map<std::string, std::vector<std::string>> dependents;
    std::vector<std::string> resolved;
    for (auto const& [item, targets] : graph)
    {
        for (auto const& target : targets)
        {
            dependents[target].push_back(item);
        }
        if (targets.empty())
        {
            resolved.push_back(item);
        }
    }
    while (!resolved.empty())
    {
        std::string const done = std::move(resolved.back());
        resolved.pop_back();
        graph.erase(done);
        for (auto const& item : dependents[done])
        {
            auto const entry = graph.find(item);
            if (entry != graph.end() && entry->second.erase(done) > 0 && entry->second.empty())
            {
                resolved.push_back(item);
            }
        }
    }
}

void check_cycles(pending_checks const& checks, read_error_list& errors)
{
    dependency_graph graph;
    for (auto const& [item, targets] : checks.depends_on)
    {
        auto& edges = graph[item];
        for (auto const& target : targets)
        {
            if (checks.depends_on.count(target.name) != 0) // Other targets have no dependencies.
            {
                edges.insert(target.name);
            }
        }
    }
    // Each round reports one cycle and removes it. The list of faults is limited, so that more rounds are
    // useless.
    for (std::size_t round = 0; round < max_read_errors; ++round)
    {
        remove_resolved(graph);
        if (graph.empty())
        {
            return;
        }
        std::vector<std::string> path;
        std::set<std::string> visited;
        std::string at = graph.begin()->first;
        while (visited.insert(at).second)
        {
            path.push_back(at);
            at = *graph.at(at).begin(); // Every remaining item depends on a remaining item.
        }
        path.erase(path.begin(), std::find(path.begin(), path.end(), at));
        std::string shown;
        for (auto const& item : path)
        {
            shown += item + " -> ";
        }
        auto const& targets = checks.depends_on.at(path.front());
        std::string const& next = path.size() > 1 ? path[1] : path.front();
        auto const edge = std::find_if(targets.begin(), targets.end(),
                                       [&](reference const& target) { return target.name == next; });
        errors.add(edge->line, "circular dependency: " + shown + path.front());
        for (auto const& item : path)
        {
            graph.erase(item);
        }
        for (auto& [item, edges] : graph)
        {
            for (auto const& reported : path)
            {
                edges.erase(reported);
            }
        }
    }
}

fleet_text read_all(yaml_node const& node, read_error_list& errors)
{
    fleet_text result;
    pending_checks checks;
    yaml_map root(&node, "", errors);
    read_data_centres(root, result, errors);
    read_pools(root, result, errors);
    read_weight_store(root, result, errors);
    read_ranks(root, result, errors);
    read_models(root, result, checks, errors);
    read_adapters(root, result, checks, errors);
    read_services(root, result, checks, errors);
    for (auto const& [name, line] : root.names("draining"))
    {
        result.config.draining.insert(name);
    }
    root.finish();
    check_references(result, checks, errors);
    check_sizes(result, checks, errors);
    check_cycles(checks, errors);
    return result;
}

std::string join(std::vector<std::string> const& words)
{
    std::string text;
    for (auto const& word : words)
    {
        text += text.empty() ? word : "," + word;
    }
    return "[" + text + "]";
}

std::string format_size(std::uint64_t bytes)
{
    static constexpr std::array<char const*, 5> units{"B", "KiB", "MiB", "GiB", "TiB"};
    std::size_t unit = 0;
    while (unit + 1 < units.size() && bytes != 0 && bytes % 1024 == 0)
    {
        bytes /= 1024;
        ++unit;
    }
    return std::to_string(bytes) + units.at(unit);
}

using item_fields = std::vector<std::pair<std::string, std::string>>;
using item_list = std::map<std::string, item_fields>;

std::string format_number(double value)
{
    std::ostringstream out;
    out << value;
    return out.str();
}

item_list items_of(fleet_text const& text)
{
    item_list items;
    fleet_config const& config = text.config;
    for (auto const& [name, region] : config.region_of)
    {
        items["1data centre " + name] = {{"region", region}};
    }
    for (auto const& [name, memory] : text.engine_memory)
    {
        items["2engine pool " + name] = {{"engine_memory", format_size(memory)}};
    }
    items["3weight store"] = {{"loads_per_second", format_number(config.weight_store.loads_per_second)},
                              {"full_speed_loads", std::to_string(config.weight_store.full_speed_loads)}};
    for (rank const each : all_ranks)
    {
        rank_policy const& policy = config.ranks.at(index_of(each));
        items["4rank " + std::string(to_string(each))] = {{"floor", format_number(policy.floor)},
                                                          {"ceiling", format_number(policy.ceiling)}};
    }
    for (auto const& [name, model] : config.models)
    {
        auto const dependencies = text.models_dependencies.find(name);
        bool const none = dependencies == text.models_dependencies.end();
        items["5model " + name] = {{"checkpoint", model.checkpoint},
                                   {"size", format_size(model.bytes)},
                                   {"max_replicas", std::to_string(model.max_replicas)},
                                   {"min_replicas", std::to_string(model.min_replicas)},
                                   {"load_time_ms", std::to_string(model.load_time_ms)},
                                   {"pools", join(model.engine_pools)},
                                   {"depends_on", none ? "[]" : join(dependencies->second)}};
    }
    for (auto const& [name, adapter] : config.adapters)
    {
        items["6adapter " + name] = {{"base_model", adapter.base_model},
                                     {"size", format_size(adapter.bytes)}};
    }
    for (auto const& [name, service] : config.services)
    {
        items["7service " + name] = {{"pool", service.pool},
                                     {"depends_on", join(service.depends_on)},
                                     {"repeatable_paths", join(service.repeatable_paths)}};
    }
    for (auto const& name : config.draining)
    {
        items["8draining " + name] = {};
    }
    return items;
}

std::string format_fields(item_fields const& fields)
{
    std::string text;
    for (auto const& [name, value] : fields)
    {
        text.append(" ").append(name).append("=").append(value);
    }
    return text;
}

} // namespace

read_result<fleet_text> read_fleet_text(std::string const& text, std::string const& file,
                                        std::uint64_t generation)
{
    auto const tree = parse_yaml(text, file);
    if (!tree)
    {
        return tree.assume_error();
    }
    read_error_list errors(file);
    fleet_text result = read_all(*tree.assume_value(), errors);
    if (!errors.empty())
    {
        return errors.take();
    }
    result.config.generation = generation;
    return result;
}

std::vector<std::string> difference(fleet_text const& from, fleet_text const& to)
{
    // The digit in front of each key sorts the items by kind and is not printed.
    item_list const before = items_of(from);
    item_list const after = items_of(to);
    std::map<std::string, std::string> lines;
    for (auto const& [key, fields] : before)
    {
        auto const kept = after.find(key);
        if (kept == after.end())
        {
            lines[key] = "- " + key.substr(1) + format_fields(fields);
            continue;
        }
        std::string changes;
        for (std::size_t i = 0; i < fields.size(); ++i)
        {
            auto const& now = kept->second.at(i).second;
            if (fields[i].second != now)
            {
                changes.append(" ").append(fields[i].first).append(": ");
                changes.append(fields[i].second).append(" -> ").append(now);
            }
        }
        if (!changes.empty())
        {
            lines[key] = "~ " + key.substr(1) + changes;
        }
    }
    for (auto const& [key, fields] : after)
    {
        if (before.count(key) == 0)
        {
            lines[key] = "+ " + key.substr(1) + format_fields(fields);
        }
    }
    std::vector<std::string> result;
    result.reserve(lines.size());
    for (auto& entry : lines)
    {
        result.push_back(std::move(entry.second));
    }
    return result;
}

} // namespace siskinusher
