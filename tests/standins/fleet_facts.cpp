#include "tests/standins/fleet_facts.hpp"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <stdexcept>

namespace siskinusher::standins
{

namespace
{

void read_models(YAML::Node const& models, fleet_facts& facts)
{
    for (auto const& model : models)
    {
        auto const name = model["name"].as<std::string>();
        facts.models[name] = model["max_replicas"].as<unsigned>();
        if (facts.most_replicated_model.empty() ||
            facts.models[name] > facts.models[facts.most_replicated_model])
        {
            facts.most_replicated_model = name;
        }
        if (model["min_replicas"].as<unsigned>(0) == 0)
        {
            facts.cold_models.push_back(name);
        }
    }
    std::stable_sort(facts.cold_models.begin(), facts.cold_models.end(),
                     [&facts](auto const& a, auto const& b) { return facts.models[a] > facts.models[b]; });
    auto const first = models[0];
    facts.checkpoint_suffix =
        first["checkpoint"].as<std::string>().substr(first["name"].as<std::string>().size());
    // The example texts give sizes in GiB.
    facts.remote_load_ms = first["load_time_ms"].as<double>() / std::stod(first["size"].as<std::string>());
}

} // namespace

fleet_facts read_fleet_facts(std::string const& file)
{
    auto const text = YAML::LoadFile(file);
    fleet_facts facts;
    for (auto const& data_centre : text["data_centres"])
    {
        facts.data_centres.emplace_back(data_centre["name"].as<std::string>(),
                                        data_centre["region"].as<std::string>());
    }
    facts.engine_pool = text["engine_pools"][0]["name"].as<std::string>();
    facts.loads_per_second = text["weight_store"]["loads_per_second"].as<double>();
    facts.service = text["services"][0]["name"].as<std::string>();
    facts.service_pool = text["services"][0]["pool"].as<std::string>();
    read_models(text["models"], facts);
    for (auto const& adapter : text["adapters"])
    {
        auto const base = adapter["base_model"].as<std::string>();
        if (base == facts.most_replicated_model)
        {
            facts.model_with_adapter = base + ":" + adapter["name"].as<std::string>();
        }
    }
    if (facts.data_centres.empty() || facts.cold_models.size() < 3 || facts.model_with_adapter.empty())
    {
        throw std::runtime_error(file + " lacks data centres, models without min_replicas or an adapter of " +
                                 facts.most_replicated_model);
    }
    return facts;
}

} // namespace siskinusher::standins
