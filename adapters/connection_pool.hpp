#pragma once

#include "adapters/wire_connection.hpp"
#include "core/steady_time.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace siskinusher
{

/// Result of opening a connection.
enum class connect_status
{
    connected,
    refused, ///< Nothing listens at the address: the server's process is gone.
    failed,  ///< No answer in time, or no route: the server may still be running.
};

/// Keeps idle connections to backend servers by address. Safe to call from every thread.
class connection_pool
{
public:
    /// Removes and returns an idle connection that its server has not closed; null when there is none.
    std::unique_ptr<wire_connection> take(std::string const& address);

    /// Keeps a connection for reuse. Only a connection whose last answer was complete may be given back.
    void give_back(std::string const& address, std::unique_ptr<wire_connection> connection);

    /// Closes the idle connections to a server, for example after it was found dead.
    void close_idle(std::string const& address);

    /// Opens a new connection within `limit`.
    static connect_status connect(std::string const& address, duration limit,
                                  std::unique_ptr<wire_connection>& connection);

private:
    struct idle_connection
    {
        std::unique_ptr<wire_connection> connection;
        steady_time idle_since;
    };

    std::mutex mutex_;
    std::map<std::string, std::deque<idle_connection>> idle_;
};

} // namespace siskinusher
