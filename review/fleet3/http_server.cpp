#include "http_server.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <stdexcept>
#include <utility>

namespace review
{

namespace
{

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

// Reads more bytes. Returns false at the end of the connection.
bool fill(int descriptor, std::string& pending)
{
    std::array<char, 16384> chunk{};
    ssize_t const count = ::recv(descriptor, chunk.data(), chunk.size(), 0);
    if (count <= 0)
    {
        return false;
    }
    pending.append(chunk.data(), static_cast<std::size_t>(count));
    return true;
}

// Takes a line without its end from the start of `pending`.
bool take_line(int descriptor, std::string& pending, std::string& line)
{
    std::size_t end = pending.find("\r\n");
    while (end == std::string::npos)
    {
        if (!fill(descriptor, pending))
        {
            return false;
        }
        end = pending.find("\r\n");
    }
    line = pending.substr(0, end);
    pending.erase(0, end + 2);
    return true;
}

bool take_bytes(int descriptor, std::string& pending, std::size_t count, std::string& bytes)
{
    while (pending.size() < count)
    {
        if (!fill(descriptor, pending))
        {
            return false;
        }
    }
    bytes.append(pending, 0, count);
    pending.erase(0, count);
    return true;
}

bool take_chunks(int descriptor, std::string& pending, std::string& body)
{
    std::string line;
    while (take_line(descriptor, pending, line))
    {
        std::size_t const size = std::strtoul(line.c_str(), nullptr, 16);
        if (size == 0)
        {
            return take_line(descriptor, pending, line);
        }
        if (!take_bytes(descriptor, pending, size, body) || !take_line(descriptor, pending, line))
        {
            return false;
        }
    }
    return false;
}

// Reads the head of a request. Returns false when the connection has ended.
bool read_head(int descriptor, std::string& pending, http_request& request)
{
    request = {};
    std::string line;
    if (!take_line(descriptor, pending, line))
    {
        return false;
    }
    std::size_t const first = line.find(' ');
    std::size_t const second = line.find(' ', first + 1);
    if (first == std::string::npos || second == std::string::npos)
    {
        return false;
    }
    request.method = line.substr(0, first);
    request.target = line.substr(first + 1, second - first - 1);
    while (take_line(descriptor, pending, line) && !line.empty())
    {
        std::size_t const colon = line.find(':');
        std::size_t const value = line.find_first_not_of(' ', colon + 1);
        request.headers[lower(line.substr(0, colon))] =
            value == std::string::npos ? std::string() : line.substr(value);
    }
    return line.empty();
}

bool read_body(int descriptor, std::string& pending, http_request& request)
{
    if (lower(request.header("transfer-encoding")) == "chunked")
    {
        return take_chunks(descriptor, pending, request.body);
    }
    std::size_t const length = std::strtoul(request.header("content-length").c_str(), nullptr, 10);
    return take_bytes(descriptor, pending, length, request.body);
}

} // namespace

std::string http_request::header(std::string const& name) const
{
    auto const found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

bool http_channel::write(std::string const& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        ssize_t const count = ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
        {
            dropped_ = true;
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool http_channel::answer(int status, std::string const& header_lines, std::string const& body)
{
    return write("HTTP/1.1 " + std::to_string(status) + " Answer\r\n" + header_lines +
                 "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

void http_channel::reset()
{
    linger const at_once{1, 0};
    (void)::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    dropped_ = true;
}

void http_channel::finish()
{
    dropped_ = true;
    (void)::shutdown(descriptor_, SHUT_WR);
    std::string bytes;
    while (fill(descriptor_, bytes))
    {
        bytes.clear();
    }
}

bool http_channel::is_closed() const
{
    char byte = 0;
    return ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

int connect_to(std::string const& address)
{
    std::size_t const colon = address.rfind(':');
    int const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in const to =
        loopback(static_cast<std::uint16_t>(std::strtoul(address.c_str() + colon + 1, nullptr, 10)));
    if (::connect(descriptor, reinterpret_cast<sockaddr const*>(&to), sizeof(to)) != 0)
    {
        ::close(descriptor);
        return -1;
    }
    int const on = 1;
    (void)::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return descriptor;
}

struct http_server::state
{
    handler handle;
    early_handler answer_early;
    std::uint16_t port = 0;
    std::mutex mutex;
    int listener = -1;
    std::set<int> open;
    std::atomic<int> threads{0};

    void listen()
    {
        listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int const on = 1;
        (void)::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        // As on a link with small windows: whoever sends to a stand-in that does not read soon has to wait.
        int const window = 65536;
        (void)::setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
        // The size of segments on an Ethernet; with those of the loopback interface a sender has room for
        // MBs.
        int const segment = 1448;
        (void)::setsockopt(listener, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
        sockaddr_in address = loopback(port);
        if (::bind(listener, reinterpret_cast<sockaddr const*>(&address), sizeof(address)) != 0 ||
            ::listen(listener, 256) != 0)
        {
            throw std::runtime_error("cannot listen on port " + std::to_string(port));
        }
        socklen_t size = sizeof(address);
        (void)::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
        port = ntohs(address.sin_port);
    }
};

http_server::http_server(handler handle, early_handler answer_early) : state_(std::make_shared<state>())
{
    state_->handle = std::move(handle);
    state_->answer_early = std::move(answer_early);
    come_back();
}

http_server::~http_server()
{
    go_down();
    while (state_->threads > 0)
    {
        ::usleep(1000);
    }
}

std::string http_server::address() const
{
    return "127.0.0.1:" + std::to_string(state_->port);
}

void http_server::go_down()
{
    std::lock_guard<std::mutex> const lock(state_->mutex);
    if (state_->listener >= 0)
    {
        (void)::shutdown(state_->listener, SHUT_RDWR);
        state_->listener = -1;
    }
    linger const reset{1, 0};
    for (int const each : state_->open)
    {
        (void)::setsockopt(each, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        (void)::shutdown(each, SHUT_RDWR);
    }
}

void http_server::come_back()
{
    std::lock_guard<std::mutex> const lock(state_->mutex);
    state_->listen();
    ++state_->threads;
    std::thread([shared = state_, listener = state_->listener] { accept_all(shared, listener); }).detach();
}

void http_server::accept_all(std::shared_ptr<state> const& shared, int listener)
{
    for (;;)
    {
        int const descriptor = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        std::lock_guard<std::mutex> const lock(shared->mutex);
        if (shared->listener != listener)
        {
            if (descriptor >= 0)
            {
                ::close(descriptor);
            }
            break;
        }
        if (descriptor < 0)
        {
            continue;
        }
        int const on = 1;
        (void)::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        shared->open.insert(descriptor);
        ++shared->threads;
        std::thread([shared, descriptor] { serve(shared, descriptor); }).detach();
    }
    ::close(listener);
    --shared->threads;
}

void http_server::serve(std::shared_ptr<state> const& shared, int descriptor)
{
    http_channel channel(descriptor);
    std::string pending;
    http_request request;
    while (!channel.dropped() && read_head(descriptor, pending, request))
    {
        if (shared->answer_early && shared->answer_early(request, channel))
        {
            break;
        }
        if (!read_body(descriptor, pending, request))
        {
            break;
        }
        shared->handle(request, channel);
    }
    {
        std::lock_guard<std::mutex> const lock(shared->mutex);
        shared->open.erase(descriptor);
        ::close(descriptor);
    }
    --shared->threads;
}

} // namespace review
