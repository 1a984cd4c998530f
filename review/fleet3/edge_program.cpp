#include "edge_program.hpp"

#include "caller.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <utility>

namespace review
{

namespace
{

// Binds a port without listening, so that no outgoing connection is given it, and leaves it bound until this
// program ends. The process listens at the same port.
std::string reserve_address()
{
    int const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    (void)::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)::bind(descriptor, reinterpret_cast<sockaddr const*>(&address), sizeof(address));
    socklen_t size = sizeof(address);
    (void)::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

} // namespace

edge_program::edge_program(std::string const& folder, std::string name, std::string const& store_address,
                           unsigned memory_mb)
    : folder_(folder), name_(std::move(name)), callers_(reserve_address()), readiness_(reserve_address()),
      peers_(reserve_address())
{
    // As deploy/settings.yaml.template gives them for a machine of sites/caroni-dressing.toml.
    std::ofstream settings(folder_ + "/" + name_ + ".yaml");
    settings << "instance: { name: " << name_ << ", data_centre: chaguanas, region: north-caroni }\n"
             << "data_centres:\n"
             << "  - { name: chaguanas, region: north-caroni }\n"
             << "listen: { callers: \"" << callers_ << "\", readiness: \"" << readiness_ << "\", peers: \""
             << peers_ << "\" }\n"
             << "platform: { object_store: \"" << store_address << "\", leaving_ms: 2500, change_ms: 2500 }\n"
             << "retries: { ratio: 0.2, window_s: 10, slack: 58 }\n"
             << "orders: { holder_gap_ms: 3000, load_window_s: 5 }\n"
             << "limits: { stop_s: 8, descriptors: 4100, cpu_share: 0.25, memory_mb: " << memory_mb << " }\n"
             << "organisations: { revoke_fail_closed: false }\n";
    settings.close();
    start();
}

edge_program::~edge_program()
{
    signal(SIGKILL);
    (void)wait_end(5.0);
}

void edge_program::start()
{
    std::string const settings = folder_ + "/" + name_ + ".yaml";
    std::string const log_file = folder_ + "/" + name_ + ".log";
    pid_t const parent = ::getpid();
    process_ = ::fork();
    if (process_ != 0)
    {
        return;
    }
    (void)::prctl(PR_SET_PDEATHSIG, SIGKILL);
    int const log = ::open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    (void)::dup2(log, STDOUT_FILENO);
    (void)::dup2(log, STDERR_FILENO);
    if (::getppid() == parent)
    {
        (void)::execl("target/siskin-edge", "target/siskin-edge", "--settings", settings.c_str(), nullptr);
    }
    ::_exit(127);
}

void edge_program::signal(int number) const
{
    if (process_ > 0)
    {
        (void)::kill(process_, number);
    }
}

bool edge_program::wait_end(double seconds)
{
    for (int left = static_cast<int>(seconds * 100.0); left >= 0; --left)
    {
        if (!runs())
        {
            return true;
        }
        ::usleep(10000);
    }
    return false;
}

bool edge_program::runs()
{
    if (process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) == process_)
    {
        process_ = -1;
    }
    return process_ > 0;
}

double edge_program::memory_in_use() const
{
    std::ifstream in("/proc/" + std::to_string(process_) + "/status");
    for (std::string line; std::getline(in, line);)
    {
        if (line.rfind("VmRSS:", 0) == 0)
        {
            return std::strtod(line.c_str() + 6, nullptr) * 1024.0;
        }
    }
    return 0.0;
}

bool edge_program::ready() const
{
    return call(readiness_, "GET /api/readiness HTTP/1.1\r\nHost: ready\r\n\r\n", 1.0).status == 200;
}

std::string edge_program::log() const
{
    std::ifstream in(folder_ + "/" + name_ + ".log");
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace review
