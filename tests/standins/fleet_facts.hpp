#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace siskinusher::standins
{

/// The parts of the operators' text that a deployment and its demonstration use.
struct fleet_facts
{
    std::vector<std::pair<std::string, std::string>> data_centres; ///< Name and region.
    std::string engine_pool;
    std::string service;
    std::string service_pool;
    double loads_per_second = 4.0;
    std::string checkpoint_suffix;
    double remote_load_ms = 60.0;           ///< Time for each GiB.
    std::map<std::string, unsigned> models; ///< max_replicas by model.
    std::vector<std::string> cold_models;   ///< min_replicas is 0; sorted by max_replicas, highest first.
    std::string most_replicated_model;      ///< The model with the highest max_replicas.
    std::string model_with_adapter;         ///< <model>:<adapter>, on most_replicated_model.
};

/// Reads the operators' text. Throws std::runtime_error or YAML::Exception when a part is missing.
fleet_facts read_fleet_facts(std::string const& file);

} // namespace siskinusher::standins
