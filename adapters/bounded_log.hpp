#pragma once

#include "adapters/ports.hpp"

#include <functional>
#include <memory>

namespace siskinusher
{

/// Writes at most a fixed number of lines a second for each event name and counts the rest, so that a flood
/// of one event neither hides the others nor takes much processor time. Used by one thread.
class bounded_log final : public log_port
{
public:
    using clock_source = std::function<steady_time()>;

    /// `target` must outlive the log.
    bounded_log(log_port& target, unsigned lines_per_second, clock_source now);
    ~bounded_log() override;

    void write(log_event const& entry) override;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace siskinusher
