#include "apps/core_binding.hpp"

namespace siskinusher
{

namespace
{

std::string bool_text(bool value)
{
    return value ? "true" : "false";
}

} // namespace

core_binding::core_binding(instance_settings settings, std::uint64_t seed) : core_(std::move(settings), seed)
{
}

void core_binding::handle(steady_time now, event const& what, outbox& out)
{
    last_event_time_ = now;
    core_.handle(now, what, out);
}

std::vector<std::string> core_binding::explain_request(request_number number) const
{
    return core_.explain_request(number);
}

std::vector<std::string> core_binding::explain_model(std::string const& model) const
{
    return core_.explain_model(model);
}

std::vector<std::pair<std::string, std::string>> core_binding::status(steady_time now) const
{
    instance_status const current = core_.status(now);
    return {{"store_reached", bool_text(current.store_reached)},
            {"config_generation", std::to_string(current.config_generation)},
            {"lease_holder", current.lease_holder},
            {"lease_epoch", std::to_string(current.lease_epoch)},
            {"holds_lease", bool_text(current.holds_lease)},
            {"core_open_requests", std::to_string(current.open_requests)},
            {"live_members", std::to_string(current.live_members)},
            {"known_servers", std::to_string(current.known_servers)},
            {"invariant_violations", std::to_string(current.invariant_violations)}};
}

} // namespace siskinusher
