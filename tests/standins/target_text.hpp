#pragma once

#include <string>
#include <utility>
#include <vector>

namespace siskinusher::standins
{

/// An operators' text for data centres (name and region) with numbered models and adapters, for measurements
/// at larger sizes than the examples have. The model model-000 is kept loaded in one replica; all others are
/// loaded on demand.
std::string numbered_text(std::vector<std::pair<std::string, std::string>> const& data_centres,
                          std::string const& pool, unsigned models, unsigned adapters);

} // namespace siskinusher::standins
