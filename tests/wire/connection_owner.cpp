#include "tests/wire/connection_owner.hpp"

#include <array>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <string>
#include <system_error>

#include <arpa/inet.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace siskinusher::standins
{

namespace
{

struct question
{
    nlmsghdr header;
    inet_diag_req_v2 body;
};

question question_about(std::uint16_t opener_port, std::uint16_t accepting_port)
{
    question asked{};
    asked.header.nlmsg_len = sizeof asked;
    asked.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
    asked.header.nlmsg_flags = NLM_F_REQUEST;
    asked.body.sdiag_family = AF_INET;
    asked.body.sdiag_protocol = IPPROTO_TCP;
    asked.body.idiag_states = ~0U;
    asked.body.id.idiag_sport = htons(opener_port);
    asked.body.id.idiag_dport = htons(accepting_port);
    asked.body.id.idiag_src[0] = htonl(INADDR_LOOPBACK);
    asked.body.id.idiag_dst[0] = htonl(INADDR_LOOPBACK);
    asked.body.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
    asked.body.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
    return asked;
}

} // namespace

connection_owner::connection_owner()
    : socket_(::socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG))
{
    if (socket_ < 0)
    {
        throw std::system_error(errno, std::generic_category(), "cannot ask the kernel for sockets");
    }
}

connection_owner::~connection_owner()
{
    ::close(socket_);
}

// Zero when no process has the socket.
std::uint32_t connection_owner::inode_of(std::uint16_t opener_port, std::uint16_t accepting_port) const
{
    question const asked = question_about(opener_port, accepting_port);
    if (::send(socket_, &asked, sizeof asked, 0) < 0)
    {
        throw std::system_error(errno, std::generic_category(), "cannot ask the kernel for a socket");
    }
    std::array<char, 4096> answer{};
    ssize_t const length = ::recv(socket_, answer.data(), answer.size(), 0);
    if (length < static_cast<ssize_t>(NLMSG_HDRLEN + sizeof(inet_diag_msg)))
    {
        return 0;
    }
    nlmsghdr header{};
    std::memcpy(&header, answer.data(), sizeof header);
    inet_diag_msg found{};
    std::memcpy(&found, answer.data() + NLMSG_HDRLEN, sizeof found);
    // Where no connection has these ends, the kernel answers with a socket that listens at the first one.
    bool const is_connection = header.nlmsg_type == SOCK_DIAG_BY_FAMILY && found.idiag_state != TCP_LISTEN;
    return is_connection ? found.idiag_inode : 0;
}

bool connection_owner::is_open(std::uint16_t opener_port, std::uint16_t accepting_port) const
{
    return inode_of(opener_port, accepting_port) != 0;
}

pid_t connection_owner::find(std::uint16_t opener_port, std::uint16_t accepting_port,
                             std::vector<pid_t> const& candidates) const
{
    std::uint32_t const inode = inode_of(opener_port, accepting_port);
    if (inode == 0)
    {
        return -1;
    }
    // The text of a link in a process's folder of descriptors.
    std::string const link = "socket:[" + std::to_string(inode) + "]";
    for (pid_t const process : candidates)
    {
        std::error_code error;
        for (auto const& each :
             std::filesystem::directory_iterator("/proc/" + std::to_string(process) + "/fd", error))
        {
            std::error_code gone;
            if (std::filesystem::read_symlink(each.path(), gone) == link)
            {
                return process;
            }
        }
    }
    return -1;
}

} // namespace siskinusher::standins
