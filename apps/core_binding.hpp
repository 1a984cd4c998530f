#pragma once

#include "adapters/ports.hpp"
#include "decision/instance_core.hpp"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace siskinusher
{

/// Adapts instance_core to the interface decision_core, which core_runner runs.
class core_binding final : public decision_core
{
public:
    core_binding(instance_settings settings, std::uint64_t seed);

    void handle(steady_time now, event const& what, outbox& out) override;
    bool ready() const override { return core_.status(last_event_time_).ready; }
    std::shared_ptr<fleet_config const> config() const override { return core_.config(); }
    std::size_t open_requests() const override { return core_.status(last_event_time_).open_requests; }
    /// True when the lease is released, which the core does by itself after drain_requested.
    bool release(steady_time now, outbox& /*out*/) override { return core_.drained(now); }
    std::vector<std::string> explain_request(request_number number) const override;
    std::vector<std::string> explain_model(std::string const& model) const override;
    std::vector<std::pair<std::string, std::string>> status(steady_time now) const override;

private:
    instance_core core_;
    steady_time last_event_time_{};
};

} // namespace siskinusher
