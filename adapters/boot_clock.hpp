#pragma once

#include "core/steady_time.hpp"

namespace siskinusher
{

/// Time since the machine's start, suspension included. Leases and deadlines use it, because the steady clock
/// stands still while a machine is suspended.
steady_time boot_now();

} // namespace siskinusher
