#pragma once

#include <cstdint>
#include <vector>

#include <sys/types.h>

namespace siskinusher::standins
{

/// The process among `candidates` that owns the IPv4 TCP socket with this local port; -1 when none does.
pid_t owner_of_port(std::uint16_t port, std::vector<pid_t> const& candidates);

} // namespace siskinusher::standins
