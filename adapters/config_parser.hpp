#pragma once

#include "adapters/ports.hpp"
#include "core/bounded_queue.hpp"

#include <atomic>
#include <thread>

namespace siskinusher
{

/// Parses configuration texts on a thread of its own: a text for 10,000 adapters takes too long for the core
/// thread. For a text with faults, each fault is logged in a line of its own and the result has
/// no configuration.
class config_parser final : public config_parser_port
{
public:
    config_parser(event_sink& events, log_port& log);
    ~config_parser() override;
    config_parser(config_parser const&) = delete;
    config_parser& operator=(config_parser const&) = delete;

    void parse(config_object const& object) override;

private:
    void loop();
    config_parsed read(config_object const& object);

    event_sink& events_;
    log_port& log_;
    bounded_queue<config_object> waiting_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace siskinusher
