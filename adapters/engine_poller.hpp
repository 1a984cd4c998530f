#pragma once

#include "adapters/ports.hpp"

#include <memory>
#include <string>

namespace siskinusher
{

struct engine_poller_settings
{
    unsigned workers = 4;
    duration call_limit = milliseconds{800}; ///< Below the 1 s after which a silent server gets no new work.
};

/// Reads the reports of backend servers: GET /engine/report, and GET /service/report where the first does not
/// exist. Each poll uses a new connection, so that a silent connection does not hide a live server. A
/// server is not polled again while its last poll is in progress. Polls are counted in siskin_polls_total by
/// result.
class engine_poller final : public poll_port
{
public:
    /// Starts the threads. The ports must outlive the poller.
    engine_poller(engine_poller_settings settings, event_sink& sink, metric_port& metrics);
    ~engine_poller() override;
    engine_poller(engine_poller const&) = delete;
    engine_poller& operator=(engine_poller const&) = delete;

    /// Never blocks.
    void poll(backend_name const& name, std::string const& address) override;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace siskinusher
