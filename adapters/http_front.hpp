#pragma once

#include "adapters/backend_client.hpp"
#include "adapters/metrics_registry.hpp"
#include "adapters/ports.hpp"
#include "adapters/request_board.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace siskinusher
{

/// Queries of the HTTP front to the core. Safe to call from every thread.
struct core_view
{
    virtual ~core_view() = default;
    virtual bool ready() const = 0;
    virtual std::shared_ptr<fleet_config const> config() const = 0;
    virtual std::vector<std::string> explain_request(request_number number) = 0;
    virtual std::vector<std::string> explain_model(std::string const& model) = 0;
    virtual std::vector<std::pair<std::string, std::string>> status() = 0;
};

struct front_settings
{
    std::string address; ///< IP number and port; port 0 selects a free port.
    std::string instance_name;
    std::uint64_t incarnation = 0;
    std::string operator_key; ///< Never logged.
    std::string shared_key;   ///< Authenticates forwarded requests; never logged.
    unsigned connections = 1024;
    std::size_t head_bytes = 16384;
    std::size_t body_bytes = 1048576;
    /// An idle connection occupies a thread and is closed after this time.
    duration idle_timeout = seconds{30};
    duration head_timeout = seconds{10}; ///< From the first byte to the end of the headers.
    duration body_time = seconds{20};    ///< For the whole body; lets 1 MB arrive at 50 KB/s.
};

/// Other components that the front uses; all must outlive it.
struct front_parts
{
    event_sink& events;
    core_view& core;
    request_board& board;
    backend_client& backends;
    metrics_registry& metrics;
    log_port& log;
    std::function<void()> on_drain; ///< Called when an operator drains this instance.
};

/// HTTP server for callers and operators, with one thread for each connection and a limit on connections.
class http_front
{
public:
    http_front(front_settings settings, front_parts parts);
    ~http_front();

    /// Starts to listen. Throws Poco::Exception when the address cannot be bound.
    void start();
    std::uint16_t port() const;

    /// Makes /readyz answer 503, so that load balancers send no new callers.
    void announce_shutdown();
    /// Makes the front refuse new requests with the reason "draining".
    void refuse_new();
    /// Number of requests that are accepted and not yet answered.
    std::size_t open_requests() const;
    /// Closes all connections and waits for their threads.
    void stop();

private:
    friend class front_connection;
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace siskinusher
