#include "review/standins/net.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <set>
#include <stdexcept>
#include <thread>
#include <utility>

namespace siskinusher::review
{

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

std::uint16_t port_of(int descriptor)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    (void)::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

int bound_socket()
{
    int const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in const address = loopback(0);
    if (descriptor < 0 ||
        ::bind(descriptor, reinterpret_cast<sockaddr const*>(&address), sizeof address) != 0)
    {
        throw std::runtime_error("no free port");
    }
    return descriptor;
}

void send_at_once(int descriptor)
{
    int const on = 1;
    (void)::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

// Position of the value of a header; npos without one.
std::size_t find_header(std::string const& head, std::string const& name)
{
    std::size_t const at = lower(head).find("\r\n" + lower(name) + ":");
    return at == std::string::npos ? at : at + name.size() + 3;
}

} // namespace

connection::~connection()
{
    ::close(descriptor_);
}

std::unique_ptr<connection> connection::open(std::uint16_t port)
{
    int const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in const address = loopback(port);
    if (::connect(descriptor, reinterpret_cast<sockaddr const*>(&address), sizeof address) != 0)
    {
        ::close(descriptor);
        return nullptr;
    }
    send_at_once(descriptor);
    return std::make_unique<connection>(descriptor);
}

bool connection::send(std::string const& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        ssize_t const count = ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool connection::fill()
{
    std::array<char, 65536> chunk{};
    ssize_t const count = ::recv(descriptor_, chunk.data(), chunk.size(), 0);
    if (count <= 0)
    {
        return false;
    }
    buffer_.append(chunk.data(), static_cast<std::size_t>(count));
    return true;
}

std::string connection::read_head()
{
    std::size_t end = buffer_.find("\r\n\r\n");
    while (end == std::string::npos)
    {
        if (!fill())
        {
            return {};
        }
        end = buffer_.find("\r\n\r\n");
    }
    std::string head = buffer_.substr(0, end + 4);
    buffer_.erase(0, end + 4);
    return head;
}

std::optional<std::string> connection::read_line()
{
    std::size_t end = buffer_.find('\n');
    while (end == std::string::npos)
    {
        if (!fill())
        {
            return std::nullopt;
        }
        end = buffer_.find('\n');
    }
    std::string line = buffer_.substr(0, end);
    buffer_.erase(0, end + 1);
    if (!line.empty() && line.back() == '\r')
    {
        line.pop_back();
    }
    return line;
}

std::optional<std::string> connection::read_body(std::string const& head, bool is_answer)
{
    std::string body;
    if (lower(header_of(head, "Transfer-Encoding")) == "chunked")
    {
        for (;;)
        {
            auto const line = read_line();
            if (!line)
            {
                return std::nullopt;
            }
            std::size_t const size = std::strtoull(line->c_str(), nullptr, 16);
            while (buffer_.size() < size + 2)
            {
                if (!fill())
                {
                    return std::nullopt;
                }
            }
            body.append(buffer_, 0, size);
            buffer_.erase(0, size + 2);
            if (size == 0)
            {
                return body;
            }
        }
    }
    if (!has_header(head, "Content-Length"))
    {
        while (is_answer && fill())
        {
        }
        return is_answer ? std::exchange(buffer_, {}) : std::string();
    }
    std::size_t const size = std::strtoull(header_of(head, "Content-Length").c_str(), nullptr, 10);
    while (buffer_.size() < size)
    {
        if (!fill())
        {
            return std::nullopt;
        }
    }
    body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return body;
}

void connection::set_read_limit(int milliseconds)
{
    timeval limit{};
    limit.tv_sec = milliseconds / 1000;
    limit.tv_usec = milliseconds % 1000;
    limit.tv_usec *= 1000;
    (void)::setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
}

void connection::shut_down()
{
    (void)::shutdown(descriptor_, SHUT_RDWR);
}

std::string header_of(std::string const& head, std::string const& name)
{
    std::size_t const at = find_header(head, name);
    if (at == std::string::npos)
    {
        return {};
    }
    std::string value = head.substr(at, head.find("\r\n", at) - at);
    value.erase(0, std::min(value.find_first_not_of(" \t"), value.size()));
    value.erase(value.find_last_not_of(" \t") + 1);
    return value;
}

bool has_header(std::string const& head, std::string const& name)
{
    return find_header(head, name) != std::string::npos;
}

std::string first_line(std::string const& head)
{
    return head.substr(0, head.find("\r\n"));
}

std::string target_of(std::string const& head)
{
    std::string const line = first_line(head);
    std::size_t const first = line.find(' ');
    return first == std::string::npos ? std::string()
                                      : line.substr(first + 1, line.find(' ', first + 1) - first - 1);
}

int status_of(std::string const& head)
{
    return head.size() < 12 ? 0 : std::atoi(head.substr(9, 3).c_str());
}

class listener::implementation
{
public:
    explicit implementation(handler handle_in) : handle(std::move(handle_in)), descriptor(bound_socket())
    {
        (void)::listen(descriptor, 512);
    }

    ~implementation() { ::close(descriptor); }

    handler const handle;
    int const descriptor;
    std::mutex mutex;
    std::set<connection*> open;
    bool stopped = false;
};

listener::listener(handler handle) : impl_(std::make_shared<implementation>(std::move(handle)))
{
    std::thread(
        [impl = impl_]
        {
            for (;;)
            {
                int const descriptor = ::accept4(impl->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
                if (descriptor < 0)
                {
                    return;
                }
                send_at_once(descriptor);
                std::thread(
                    [impl, descriptor]
                    {
                        connection each(descriptor);
                        {
                            std::lock_guard<std::mutex> const lock(impl->mutex);
                            if (impl->stopped)
                            {
                                return;
                            }
                            impl->open.insert(&each);
                        }
                        impl->handle(each);
                        std::lock_guard<std::mutex> const lock(impl->mutex);
                        impl->open.erase(&each);
                    })
                    .detach();
            }
        })
        .detach();
}

listener::~listener()
{
    std::lock_guard<std::mutex> const lock(impl_->mutex);
    impl_->stopped = true;
    (void)::shutdown(impl_->descriptor, SHUT_RDWR);
    for (connection* const each : impl_->open)
    {
        each->shut_down();
    }
}

std::uint16_t listener::port() const
{
    return port_of(impl_->descriptor);
}

std::uint16_t free_port()
{
    int const descriptor = bound_socket();
    std::uint16_t const port = port_of(descriptor);
    ::close(descriptor);
    return port;
}

} // namespace siskinusher::review
