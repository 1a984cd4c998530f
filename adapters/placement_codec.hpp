#pragma once

#include "domain/placement_exchange.hpp"

#include <optional>
#include <string>

namespace siskinusher
{

/// Encodes what instances and the lease holder tell each other as CBOR. Decoding gives nothing when the bytes
/// are not what the encoder makes.
std::string encode_demand(demand_report const& report);
std::optional<demand_report> decode_demand(std::string const& bytes);
std::string encode_news(placement_news const& news);
std::optional<placement_news> decode_news(std::string const& bytes);

/// Path of the call that carries a demand report to the lease holder.
extern char const* const demand_path;

} // namespace siskinusher
