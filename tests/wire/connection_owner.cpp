#include "tests/wire/connection_owner.hpp"

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <system_error>

namespace siskinusher::standins
{

namespace
{

// The inode of the socket, as a link of a descriptor names it; empty when there is none.
std::string socket_link(std::uint16_t port)
{
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line); // The names of the columns.
    while (std::getline(table, line))
    {
        std::istringstream fields(line);
        std::string number;
        std::string local;
        std::string skipped;
        std::string inode;
        fields >> number >> local;
        for (int i = 0; i < 7; ++i)
        {
            fields >> skipped;
        }
        fields >> inode;
        unsigned found = 0;
        std::size_t const colon = local.find(':');
        if (colon != std::string::npos && std::sscanf(local.c_str() + colon + 1, "%x", &found) == 1 &&
            found == port && inode != "0")
        {
            return "socket:[" + inode + "]";
        }
    }
    return {};
}

} // namespace

pid_t owner_of_port(std::uint16_t port, std::vector<pid_t> const& candidates)
{
    std::string const link = socket_link(port);
    for (pid_t const process : candidates)
    {
        std::error_code error;
        for (auto const& each :
             std::filesystem::directory_iterator("/proc/" + std::to_string(process) + "/fd", error))
        {
            std::error_code gone;
            if (!link.empty() && std::filesystem::read_symlink(each.path(), gone) == link)
            {
                return process;
            }
        }
    }
    return -1;
}

} // namespace siskinusher::standins
