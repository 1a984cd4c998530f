#pragma once

#include "core/steady_time.hpp"

namespace siskinusher
{

/// Time since the machine started, including time in suspension. Leases and deadlines use it, because the
/// steady clock stops while a machine is suspended.
steady_time boot_now();

} // namespace siskinusher
