#pragma once

#include <cstdint>
#include <vector>

#include <sys/types.h>

namespace siskinusher::standins
{

/// Finds the processes that opened connections from 127.0.0.1 to 127.0.0.1.
///
/// Asks the kernel for one socket by the ports of both ends. Its table of all connections takes up to 0.1 s
/// to read while other programs keep 25,000 closed connections in it, may miss sockets, and lists those of
/// other programs that have the same port at one end.
class connection_owner
{
public:
    /// Throws std::system_error when the kernel cannot be asked.
    connection_owner();
    ~connection_owner();
    connection_owner(connection_owner const&) = delete;
    connection_owner& operator=(connection_owner const&) = delete;

    /// The process among `candidates` that owns the end with `opener_port`; -1 when none does.
    pid_t find(std::uint16_t opener_port, std::uint16_t accepting_port,
               std::vector<pid_t> const& candidates) const;
    /// True while a process has the end with `opener_port`.
    bool is_open(std::uint16_t opener_port, std::uint16_t accepting_port) const;

private:
    std::uint32_t inode_of(std::uint16_t opener_port, std::uint16_t accepting_port) const;

    int const socket_;
};

} // namespace siskinusher::standins
