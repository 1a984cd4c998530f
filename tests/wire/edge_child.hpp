#pragma once

#include "tests/standins/child_process.hpp"
#include "tests/standins/http_call.hpp"

#include <Poco/Net/ServerSocket.h>

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace siskinusher::standins
{

/// A siskin-edge process with its own settings that listens on 127.0.0.1.
class edge_child
{
public:
    /// Writes settings with the store's address and starts the process. `holder_gap_ms` is the time between
    /// the last order of one lease holder and the first order of the next, `retry_slack` the retries of all
    /// instances beyond the ratio. The settings name the memory unless `memory_mb` is 0, and the bound on
    /// revoked keys unless `revoke_ms` is 0, followed there by the settings of quotas in `quota_settings`.
    edge_child(std::string name, std::string const& store_address, unsigned holder_gap_ms = 300,
               unsigned retry_slack = 640, unsigned memory_mb = 0, unsigned revoke_ms = 0,
               std::string const& quota_settings = {});
    ~edge_child();
    edge_child(edge_child const&) = delete;
    edge_child& operator=(edge_child const&) = delete;

    /// `blocked_signals` are blocked when the program begins.
    void start(std::set<int> const& blocked_signals = {});
    /// Waits until the process is ready. Returns false when it is not ready within the time.
    bool wait_ready(std::chrono::milliseconds time = std::chrono::seconds{20}) const;
    bool ready() const;
    child_process& process() { return *process_; }
    std::string const& caller_address() const { return caller_address_; }
    std::string peer_address() const { return ports_[2].address().toString(); }
    std::string log_text() const;
    std::string settings_file() const { return directory_ + "/settings.yaml"; }

    /// Sends a request to the callers' address. A POST without a body gets a short one.
    std::optional<http_answer> call(std::string const& method, std::string const& path, std::string const& id,
                                    std::map<std::string, std::string> headers = {},
                                    std::string const& body = {}) const;

private:
    std::string const name_;
    std::string const directory_;
    /// Sockets that reserve the ports while the process does not run. Without them, a port was taken by an
    /// outgoing connection before the process listened.
    std::array<Poco::Net::ServerSocket, 3> const ports_;
    std::string caller_address_;
    std::string readiness_address_;
    std::unique_ptr<child_process> process_;
};

} // namespace siskinusher::standins
