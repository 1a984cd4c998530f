#include "adapters/bounded_log.hpp"

#include <string>
#include <unordered_map>
#include <utility>

namespace siskinusher
{

namespace
{

struct event_count
{
    steady_time second_started;
    unsigned written = 0;
    unsigned omitted = 0;
};

} // namespace

class bounded_log::implementation
{
public:
    log_port& target;
    unsigned const lines_per_second;
    clock_source const now;
    std::unordered_map<std::string, event_count> counts;
};

bounded_log::bounded_log(log_port& target, unsigned lines_per_second, clock_source now)
    : impl_(new implementation{target, lines_per_second, std::move(now), {}})
{
}

bounded_log::~bounded_log() = default;

void bounded_log::write(log_event const& entry)
{
    steady_time const now = impl_->now();
    event_count& count = impl_->counts[entry.name];
    if (now - count.second_started >= seconds{1})
    {
        if (count.omitted > 0)
        {
            impl_->target.write(
                {"log_lines_omitted", {{"of", entry.name}, {"count", std::to_string(count.omitted)}}});
        }
        count = event_count{now, 0, 0};
    }
    if (count.written >= impl_->lines_per_second)
    {
        ++count.omitted;
        return;
    }
    ++count.written;
    impl_->target.write(entry);
}

} // namespace siskinusher
