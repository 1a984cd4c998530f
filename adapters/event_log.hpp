#pragma once

#include "adapters/ports.hpp"

#include <spdlog/common.h>

#include <memory>
#include <string>
#include <vector>

namespace siskinusher
{

/// Writes one line of key=value pairs for each event, on a thread of its own. When the writer cannot keep up,
/// the oldest lines are lost, so that logging never delays a request.
class event_log : public log_port
{
public:
    /// `level` is debug, info, warning or error. `secrets` are replaced wherever they appear in a value.
    event_log(spdlog::sink_ptr sink, std::string const& level, std::vector<std::string> secrets);
    ~event_log() override;

    void write(log_event const& entry) override;

    /// Asks the log thread to hand the lines written so far to the operating system.
    void flush();

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

/// Formats the line of an event, without time and level: the name, then the fields.
std::string format_event(log_event const& entry, std::vector<std::string> const& secrets);

} // namespace siskinusher
