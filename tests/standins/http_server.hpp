#pragma once

#include "tests/standins/fault_switches.hpp"
#include "tests/standins/http_exchange.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace siskinusher::standins
{

/// HTTP server of a stand-in. POST /control sets the faults of fault_switches, then calls the stand-in's own
/// control function; all other requests go to the handler, each on the thread of its connection.
class http_server
{
public:
    using handler = std::function<void(http_exchange&)>;
    using control = std::function<void(nlohmann::json const&)>;

    /// Listens at once; port 0 lets the system choose. Throws Poco::Exception when the address is taken.
    http_server(std::string const& host, std::uint16_t port, handler handle, control on_control);
    ~http_server();

    std::uint16_t port() const;

    /// Address as host:port.
    std::string address() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

/// Has the kernel kill this process when its parent ends, so that a killed deployment leaves no stand-in
/// behind.
void exit_with_parent();

/// Blocks SIGTERM and SIGINT. Call before the first thread starts, because threads inherit the mask.
void block_stop_signals();

/// Waits for SIGTERM or SIGINT.
void wait_for_stop_signal();

} // namespace siskinusher::standins
