#pragma once

#include "core/steady_time.hpp"
#include "domain/action.hpp"
#include "domain/event.hpp"
#include "domain/member.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace siskinusher
{

struct instance_settings
{
    member self; ///< Identity, data centre and addresses of this instance.
    /// Instances named in the settings; used while the instance list is unavailable.
    std::vector<member> seeds;
    std::size_t queue_length = 2048;
};

/// State of the instance that the operator interface and the readiness check report.
struct instance_status
{
    bool ready = false;
    bool draining = false;
    bool store_reached = false;
    std::uint64_t config_generation = 0;
    std::string lease_holder;
    std::uint64_t lease_epoch = 0;
    bool holds_lease = false;
    std::size_t open_requests = 0;
    std::size_t live_members = 0;
    std::size_t known_servers = 0;
    std::uint64_t invariant_violations = 0;
};

/// Makes all decisions of one instance, as a state machine without I/O, clocks or threads. It combines the
/// modules of the decision layer and routes events to them.
class instance_core
{
public:
    instance_core(instance_settings settings, std::uint64_t seed);
    ~instance_core();
    instance_core(instance_core const&) = delete;
    instance_core& operator=(instance_core const&) = delete;

    /// Processes one event and appends the resulting actions in the order in which they are to be carried
    /// out.
    void handle(steady_time now, event const& what, outbox& out);

    instance_status status(steady_time now) const;

    /// True after drain_requested when no request, order or record is open any more.
    bool drained(steady_time now) const;

    /// Event lines that tell why a request was refused or where it was sent, oldest first; empty when the
    /// history does not hold the request.
    std::vector<std::string> explain_request(request_number number) const;

    /// Event lines that tell why a model was loaded, unloaded or not loaded, oldest first.
    std::vector<std::string> explain_model(std::string const& model) const;

    /// The configuration in force; null before one has been accepted.
    std::shared_ptr<fleet_config const> config() const;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace siskinusher
