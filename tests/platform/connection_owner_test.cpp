#include "tests/wire/connection_owner.hpp"

#include <criterion/criterion.h>

#include <cerrno>
#include <csignal>
#include <cstdint>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace siskinusher::standins;

namespace
{

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

// A socket that others with the same port may be bound beside.
int bound_socket(std::uint16_t port)
{
    int const made = ::socket(AF_INET, SOCK_STREAM, 0);
    int const shared = 1;
    (void)::setsockopt(made, SOL_SOCKET, SO_REUSEADDR, &shared, sizeof shared);
    sockaddr_in const address = loopback(port);
    cr_assert_eq(::bind(made, reinterpret_cast<sockaddr const*>(&address), sizeof address), 0, "errno %d",
                 errno);
    return made;
}

std::uint16_t port_of(int bound)
{
    sockaddr_in address{};
    socklen_t length = sizeof address;
    cr_assert_eq(::getsockname(bound, reinterpret_cast<sockaddr*>(&address), &length), 0);
    return ntohs(address.sin_port);
}

int listen_somewhere()
{
    int const made = bound_socket(0);
    cr_assert_eq(::listen(made, 1), 0);
    return made;
}

bool connect_to(int opener, std::uint16_t port)
{
    sockaddr_in const address = loopback(port);
    return ::connect(opener, reinterpret_cast<sockaddr const*>(&address), sizeof address) == 0;
}

} // namespace

// Guards against a connection that is taken for that of another process whose end has the same port: a fleet
// of instances that are cut off passed on what it should have reset.
Test(connection_owner, processes_with_the_same_port_are_told_apart)
{
    int const first = listen_somewhere();
    int const second = listen_somewhere();
    int const own = bound_socket(0);
    std::uint16_t const port = port_of(own);
    int const other = bound_socket(port);
    cr_assert(connect_to(own, port_of(first)));
    cr_assert(connect_to(other, port_of(second)));
    pid_t const child = ::fork();
    if (child == 0)
    {
        (void)::close(own);
        (void)::pause();
        ::_exit(0);
    }
    (void)::close(other);
    connection_owner const kernel;
    pid_t own_found = -1;
    pid_t other_found = -1;
    for (int tries = 0; tries < 1000 && other_found < 0; ++tries)
    {
        // The child may not have closed its copy of the first connection yet.
        own_found = kernel.find(port, port_of(first), {::getpid()});
        other_found = kernel.find(port, port_of(second), {::getpid(), child});
    }
    cr_expect_eq(own_found, ::getpid());
    cr_expect_eq(other_found, child);
    (void)::kill(child, SIGKILL);
    (void)::waitpid(child, nullptr, 0);
    cr_expect_not(kernel.is_open(port, port_of(second)), "its owner has ended");
    cr_expect(kernel.is_open(port, port_of(first)));
}
