#pragma once

#include "domain/serving_config.hpp"

#include <string>
#include <unordered_map>

namespace siskinusher
{

/// The engines of one service with their models by name; a plan of placements looks up thousands of them.
class service_index
{
public:
    /// The profile must outlive the index.
    explicit service_index(engine_profile const& engine);

    engine_profile const& engine() const { return *engine_; }
    /// Null when the service does not name the model.
    model_profile const* find(std::string const& name) const;
    /// Memory for models: what the places for adapters may take is left out.
    double model_memory_mb() const { return model_memory_mb_; }

private:
    engine_profile const* engine_;
    std::unordered_map<std::string, model_profile const*> models_;
    double model_memory_mb_ = 0.0;
};

} // namespace siskinusher
