#include "decision/model_index.hpp"

#include <algorithm>

namespace siskinusher
{

model_index::model_index(engine_profile const& engine) : engine_(&engine)
{
    double largest_adapter = 0.0;
    for (model_profile const& model : engine.models)
    {
        models_[model.name] = &model;
        largest_adapter = std::max(largest_adapter, model.adapters > 0 ? model.adapter_mb : 0.0);
    }
    model_memory_mb_ = engine.memory_mb - largest_adapter * engine.adapter_places;
}

model_profile const* model_index::find(std::string const& name) const
{
    auto const found = models_.find(name);
    return found == models_.end() ? nullptr : found->second;
}

} // namespace siskinusher
