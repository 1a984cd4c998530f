#include "tests/standins/fault_switches.hpp"

#include <nlohmann/json.hpp>

#include <thread>

#include <unistd.h>

namespace siskinusher::standins
{

void fault_switches::apply(nlohmann::json const& control)
{
    if (control.value("crash", false))
    {
        ::_exit(1);
    }
    std::lock_guard<std::mutex> const lock(mutex_);
    // A call that names none of these faults, such as a registration, leaves them as they are.
    if (control.contains("delay_ms") || control.contains("lose_answer") || control.contains("freeze_ms"))
    {
        path_ = control.value("path", "");
        delay_ = std::chrono::milliseconds{control.value("delay_ms", 0)};
        lost_answers_ = control.value("lose_answer", 0U);
        frozen_until_ = clock::now() + std::chrono::milliseconds{control.value("freeze_ms", 0)};
    }
    if (control.value("silent", false))
    {
        silenced_below_ = next_connection_.load();
    }
}

void fault_switches::pause(std::string const& path) const
{
    clock::time_point until;
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        if (path.compare(0, path_.size(), path_) != 0)
        {
            return;
        }
        until = std::max(frozen_until_, clock::now() + delay_);
    }
    std::this_thread::sleep_until(until);
}

bool fault_switches::consume_lost_answer(std::string const& path)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    if (lost_answers_ == 0 || path == "/control" || path.compare(0, path_.size(), path_) != 0)
    {
        return false;
    }
    --lost_answers_;
    return true;
}

} // namespace siskinusher::standins
