#include "tests/support/endless_server.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <thread>
#include <utility>

namespace siskinusher
{

namespace
{

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Blocking calls return after this time to check whether the server stops.
constexpr milliseconds check_interval{50};
// The filler is repeated to about this size, so that the server needs few system calls.
constexpr std::size_t block_size = 65536;

std::string repeated(std::string const& text)
{
    std::string block;
    while (!text.empty() && block.size() < block_size)
    {
        block.append(text);
    }
    return block;
}

} // namespace

class endless_server::implementation
{
public:
    explicit implementation(std::function<endless_bytes(std::string const&)> answer_in)
        : answer(std::move(answer_in)), listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        if (::bind(listener, reinterpret_cast<sockaddr*>(&address), length) != 0 ||
            ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length) != 0 ||
            ::listen(listener, 64) != 0)
        {
            std::abort();
        }
        port = ntohs(address.sin_port);
        acceptor = std::thread([this] { accept_all(); });
    }

    ~implementation()
    {
        stopping = true;
        acceptor.join();
        for (std::thread& each : workers)
        {
            each.join();
        }
        ::close(listener);
    }

    implementation(implementation const&) = delete;
    implementation& operator=(implementation const&) = delete;

    void accept_all()
    {
        while (!stopping)
        {
            if (!wait_for(listener, POLLIN))
            {
                continue;
            }
            int const descriptor = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
            if (descriptor < 0)
            {
                continue;
            }
            std::lock_guard<std::mutex> const lock(mutex);
            seen.emplace_back();
            ++open;
            workers.emplace_back([this, descriptor, index = seen.size() - 1] { serve(descriptor, index); });
        }
    }

    static bool wait_for(int descriptor, short events)
    {
        pollfd entry{descriptor, events, 0};
        return ::poll(&entry, 1, static_cast<int>(check_interval.count())) > 0;
    }

    void serve(int descriptor, std::size_t index)
    {
        endless_connection own;
        bool closed = false;
        while (!stopping && !closed && own.request.find("\r\n\r\n") == std::string::npos)
        {
            std::array<char, 4096> bytes{};
            if (wait_for(descriptor, POLLIN))
            {
                ssize_t const count = ::recv(descriptor, bytes.data(), bytes.size(), 0);
                closed = count <= 0;
                own.request.append(bytes.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
            }
        }
        auto const begin = clock::now();
        if (!closed)
        {
            publish(index, own);
            endless_bytes const text = answer(own.request);
            closed = send_all(descriptor, own, text.start, begin);
            std::string const block = repeated(text.filler);
            while (!closed && own.sent < byte_limit && !over(begin))
            {
                closed = send_all(descriptor, own, block, begin);
            }
            closed = closed || peer_closes(descriptor, begin);
        }
        own.closed_by_peer = closed;
        own.lifetime = std::chrono::duration_cast<milliseconds>(clock::now() - begin);
        publish(index, own);
        ::close(descriptor);
        --open;
    }

    bool over(clock::time_point begin) const { return stopping || clock::now() >= begin + time_limit; }

    // True when the client has closed the connection.
    bool send_all(int descriptor, endless_connection& own, std::string const& text, clock::time_point begin)
    {
        std::size_t at = 0;
        while (at < text.size() && !over(begin))
        {
            if (!wait_for(descriptor, POLLOUT))
            {
                continue;
            }
            ssize_t const count = ::send(descriptor, text.data() + at, text.size() - at, MSG_NOSIGNAL);
            if (count < 0 && errno != EAGAIN)
            {
                return true;
            }
            at += static_cast<std::size_t>(std::max<ssize_t>(count, 0));
            own.sent += static_cast<std::size_t>(std::max<ssize_t>(count, 0));
        }
        return false;
    }

    // Waits until the client closes the connection, after the last byte was sent.
    bool peer_closes(int descriptor, clock::time_point begin) const
    {
        std::array<char, 4096> bytes{};
        while (!over(begin))
        {
            if (wait_for(descriptor, POLLIN) && ::recv(descriptor, bytes.data(), bytes.size(), 0) <= 0)
            {
                return true;
            }
        }
        return false;
    }

    void publish(std::size_t index, endless_connection const& own)
    {
        std::lock_guard<std::mutex> const lock(mutex);
        seen[index] = own;
    }

    std::function<endless_bytes(std::string const&)> const answer;
    int const listener;
    std::uint16_t port = 0;
    std::atomic<bool> stopping{false};
    std::atomic<unsigned> open{0};
    mutable std::mutex mutex;
    std::vector<endless_connection> seen;
    std::vector<std::thread> workers;
    std::thread acceptor;
};

endless_server::endless_server(std::function<endless_bytes(std::string const&)> answer)
    : impl_(std::make_unique<implementation>(std::move(answer)))
{
}

endless_server::~endless_server() = default;

std::string endless_server::address() const
{
    return "127.0.0.1:" + std::to_string(impl_->port);
}

std::vector<endless_connection> endless_server::connections() const
{
    std::lock_guard<std::mutex> const lock(impl_->mutex);
    return impl_->seen;
}

bool endless_server::wait_for_closes() const
{
    auto const until = clock::now() + time_limit + check_interval;
    while (impl_->open > 0 && clock::now() < until)
    {
        std::this_thread::sleep_for(milliseconds{5});
    }
    auto const all = connections();
    return impl_->open == 0 &&
           std::all_of(all.begin(), all.end(),
                       [](endless_connection const& each) { return each.closed_by_peer; });
}

std::string http_chunk(std::string const& content)
{
    std::array<char, 16> size{};
    (void)std::snprintf(size.data(), size.size(), "%zx\r\n", content.size());
    return size.data() + content + "\r\n";
}

} // namespace siskinusher
