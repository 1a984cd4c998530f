#pragma once

#include "domain/peer_relay.hpp"

#include <string>
#include <vector>

namespace siskinusher
{

/// Chooses the instances that read the store for others while there is no lease holder, among those that
/// report to the holder: some in each data centre, in proportion to its instances. The same instances give
/// the same choice, whatever their order, and few standbys change when instances come and go.
std::vector<peer_relay> choose_standbys(std::vector<peer_relay> const& reporting);

/// Addresses of the standbys that `instance` should ask, the first one first: those of its data centre, then
/// others, from a place that differs between instances. When the instance is a standby itself, its own
/// address comes first.
std::vector<std::string> standbys_of(peer_relay const& instance, std::vector<peer_relay> const& standbys);

} // namespace siskinusher
