#pragma once

#include "domain/serving_config.hpp"

#include <string>
#include <unordered_map>

namespace siskinusher
{

/// The models that the engines of one service can load, by name. The index exists because planning one round
/// of placements looks up thousands of models.
class model_index
{
public:
    /// The profile must outlive the index.
    explicit model_index(engine_profile const& engine);

    engine_profile const& engine() const { return *engine_; }
    /// Null when the service's configuration does not contain the model.
    model_profile const* find(std::string const& name) const;
    /// Memory of one engine for models, without the memory that is reserved for its adapters.
    double model_memory_mb() const { return model_memory_mb_; }

private:
    engine_profile const* engine_;
    std::unordered_map<std::string, model_profile const*> models_;
    double model_memory_mb_ = 0.0;
};

} // namespace siskinusher
