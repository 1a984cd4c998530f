#include "adapters/boot_clock.hpp"

#include <ctime>

namespace siskinusher
{

steady_time boot_now()
{
    std::timespec now{};
    (void)::clock_gettime(CLOCK_BOOTTIME, &now);
    return steady_time(std::chrono::duration_cast<duration>(std::chrono::seconds(now.tv_sec) +
                                                            std::chrono::nanoseconds(now.tv_nsec)));
}

} // namespace siskinusher
