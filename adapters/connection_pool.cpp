#include "adapters/connection_pool.hpp"

#include "adapters/process_clock.hpp"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <utility>

namespace siskinusher
{

namespace
{

// An engine runs at most a few dozen requests of one instance at a time.
constexpr std::size_t max_idle_per_server = 32;
// A connection that has been idle for longer is likely to be closed by the server just when it is reused.
constexpr duration max_idle_time = seconds{4};

} // namespace

std::unique_ptr<wire_connection> connection_pool::take(std::string const& address)
{
    std::deque<idle_connection> dropped; // Destroyed after the lock is released: closing is a system call.
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const found = idle_.find(address);
    if (found == idle_.end())
    {
        return nullptr;
    }
    steady_time const oldest = steady_now() - max_idle_time;
    while (!found->second.empty())
    {
        idle_connection candidate = std::move(found->second.back());
        found->second.pop_back();
        if (candidate.idle_since > oldest && candidate.connection->reusable())
        {
            return std::move(candidate.connection);
        }
        dropped.push_back(std::move(candidate));
    }
    idle_.erase(found);
    return nullptr;
}

void connection_pool::give_back(std::string const& address, std::unique_ptr<wire_connection> connection)
{
    if (!connection->reusable())
    {
        return;
    }
    idle_connection dropped;
    std::lock_guard<std::mutex> const lock(mutex_);
    auto& connections = idle_[address];
    connections.push_back({std::move(connection), steady_now()});
    if (connections.size() > max_idle_per_server)
    {
        dropped = std::move(connections.front());
        connections.pop_front();
    }
}

void connection_pool::close_idle(std::string const& address)
{
    std::deque<idle_connection> dropped;
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const found = idle_.find(address);
    if (found != idle_.end())
    {
        dropped = std::move(found->second);
        idle_.erase(found);
    }
}

connect_status connection_pool::connect(std::string const& address, duration limit,
                                        std::unique_ptr<wire_connection>& connection)
{
    if (limit <= duration::zero())
    {
        return connect_status::failed;
    }
    try
    {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(address), Poco::Timespan(limit.count()));
        connection = std::make_unique<wire_connection>(socket);
        connection->end_when_unacknowledged();
        return connect_status::connected;
    }
    catch (Poco::Net::ConnectionRefusedException const&)
    {
        return connect_status::refused;
    }
    catch (Poco::Exception const&)
    {
        return connect_status::failed;
    }
}

} // namespace siskinusher
