#include "adapters/wire_connection.hpp"

#include "adapters/process_clock.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <climits>

namespace siskinusher
{

namespace
{

// One read takes at most this much; a token chunk has 100 to 300 bytes, and 320 streams share 64 KB each.
constexpr std::size_t read_size = 4096;

int poll_timeout_ms(steady_time until)
{
    duration const left = until - steady_now();
    if (left <= duration::zero())
    {
        return 0;
    }
    // Rounded up, so that the wait does not spin in its last millisecond.
    auto const ms = (left + milliseconds(1) - duration(1)).count() / 1000;
    return static_cast<int>(std::min<std::int64_t>(ms, INT_MAX));
}

void set_option(int descriptor, int level, int name, int value)
{
    // A socket that has been closed refuses options; the next read or write reports it.
    (void)::setsockopt(descriptor, level, name, &value, sizeof value);
}

} // namespace

wire_connection::wire_connection(Poco::Net::StreamSocket const& socket)
    : socket_(socket), descriptor_(socket_.impl()->sockfd())
{
    set_option(descriptor_, IPPROTO_TCP, TCP_NODELAY, 1);
}

wire_connection::~wire_connection() = default;

void wire_connection::consume(std::size_t count)
{
    start_ += std::min(count, buffer_.size() - start_);
    if (start_ == buffer_.size())
    {
        buffer_.clear();
        start_ = 0;
    }
}

io_status wire_connection::fill(steady_time until, int watched)
{
    std::array<pollfd, 2> waits{{{descriptor_, POLLIN, 0}, {watched, POLLRDHUP, 0}}};
    for (;;)
    {
        int const ready = ::poll(waits.data(), watched < 0 ? 1 : 2, poll_timeout_ms(until));
        if (ready < 0)
        {
            if (errno == EINTR)
            {
                continue;
            }
            return io_status::failed;
        }
        if (ready == 0)
        {
            if (steady_now() < until)
            {
                continue;
            }
            return io_status::timed_out;
        }
        if (waits[0].revents != 0)
        {
            break;
        }
        return io_status::watched_gone;
    }
    if (start_ > 0)
    {
        buffer_.erase(0, start_);
        start_ = 0;
    }
    std::size_t const old_size = buffer_.size();
    buffer_.resize(old_size + read_size);
    ssize_t const count = ::recv(descriptor_, &buffer_[old_size], read_size, MSG_DONTWAIT);
    buffer_.resize(old_size + static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    if (count > 0)
    {
        return io_status::ok;
    }
    if (count < 0 && (errno == EAGAIN || errno == EINTR))
    {
        return fill(until, watched);
    }
    return count == 0 ? io_status::closed : io_status::failed;
}

io_status wire_connection::write_all(std::string_view bytes, steady_time until, std::size_t& written)
{
    written = 0;
    while (written < bytes.size())
    {
        ssize_t const count =
            ::send(descriptor_, bytes.data() + written, bytes.size() - written, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count > 0)
        {
            written += static_cast<std::size_t>(count);
            continue;
        }
        if (count < 0 && errno != EAGAIN && errno != EINTR)
        {
            return io_status::closed;
        }
        pollfd wait{descriptor_, POLLOUT, 0};
        if (::poll(&wait, 1, poll_timeout_ms(until)) == 0 && steady_now() >= until)
        {
            return io_status::timed_out;
        }
    }
    return io_status::ok;
}

io_status wire_connection::write_all(std::string_view bytes, steady_time until)
{
    std::size_t written = 0;
    return write_all(bytes, until, written);
}

bool wire_connection::reusable() const
{
    char byte = 0;
    return start_ == buffer_.size() && ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
           errno == EAGAIN;
}

void wire_connection::end_when_unacknowledged()
{
    set_option(descriptor_, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(descriptor_, IPPROTO_TCP, TCP_KEEPIDLE, 2);
    set_option(descriptor_, IPPROTO_TCP, TCP_KEEPINTVL, 1);
    set_option(descriptor_, IPPROTO_TCP, TCP_KEEPCNT, 3);
    set_option(descriptor_, IPPROTO_TCP, TCP_USER_TIMEOUT, 5000);
}

bool peer_has_closed(int descriptor)
{
    pollfd wait{descriptor, POLLRDHUP, 0};
    return ::poll(&wait, 1, 0) > 0;
}

} // namespace siskinusher
