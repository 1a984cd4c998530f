#include "adapters/http_connection.hpp"

#include "adapters/process_clock.hpp"

#include <Poco/AutoPtr.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <exception>
#include <istream>
#include <ostream>

namespace siskinusher
{

namespace
{

constexpr duration connect_limit = milliseconds{500};
constexpr duration stop_check_interval = milliseconds{100};
constexpr std::size_t max_body_bytes = 2 << 20; // Twice the largest value of the object store.

Poco::Timespan to_poco(duration span)
{
    return Poco::Timespan(static_cast<Poco::Timespan::TimeDiff>(std::max(span, duration{1}).count()));
}

// Applies the deadline of the current call to every read and write.
class deadline_socket final : public Poco::Net::StreamSocketImpl
{
public:
    explicit deadline_socket(std::atomic<bool> const& stopping) : stopping_(stopping) {}

    void begin(steady_time deadline, std::function<bool()> may_write)
    {
        deadline_ = deadline;
        may_write_ = std::move(may_write);
        wrote_ = false;
        peer_closed_ = false;
    }
    bool wrote() const { return wrote_; }
    // True when the server closed the connection while more bytes were expected from it.
    bool peer_closed() const { return peer_closed_; }

    using StreamSocketImpl::receiveBytes;
    using StreamSocketImpl::sendBytes;

    int sendBytes(void const* buffer, int length, int flags) override
    {
        auto const* const bytes = static_cast<char const*>(buffer);
        int sent = 0;
        while (sent < length)
        {
            wait_until_ready(SELECT_WRITE);
            if (!wrote_ && may_write_ && !may_write_())
            {
                throw Poco::Net::NetException("the caller no longer permits the call");
            }
            // SocketImpl is called directly, because the base class repeats until all is sent, without a
            // deadline.
            // NOLINTNEXTLINE(bugprone-parent-virtual-call)
            sent += SocketImpl::sendBytes(bytes + sent, length - sent, flags | MSG_DONTWAIT | MSG_NOSIGNAL);
            wrote_ = wrote_ || sent > 0;
        }
        return sent;
    }

    int receiveBytes(void* buffer, int length, int flags) override
    {
        wait_until_ready(SELECT_READ);
        int const received = SocketImpl::receiveBytes(buffer, length, flags | MSG_DONTWAIT);
        peer_closed_ = peer_closed_ || received == 0;
        return received;
    }

private:
    static constexpr int SELECT_READ = Poco::Net::Socket::SELECT_READ;   // NOLINT
    static constexpr int SELECT_WRITE = Poco::Net::Socket::SELECT_WRITE; // NOLINT

    void wait_until_ready(int mode)
    {
        while (!stopping_)
        {
            duration const left = deadline_ - steady_now();
            if (left <= duration{0})
            {
                throw Poco::TimeoutException("deadline passed");
            }
            if (poll(to_poco(std::min(left, stop_check_interval)), mode | Poco::Net::Socket::SELECT_ERROR))
            {
                return;
            }
        }
        throw Poco::TimeoutException("stopping");
    }

    std::atomic<bool> const& stopping_;
    steady_time deadline_{};
    std::function<bool()> may_write_;
    bool wrote_ = false;
    bool peer_closed_ = false;
};

// Gives access to the constructor that takes an implementation.
struct custom_socket : public Poco::Net::StreamSocket
{
    explicit custom_socket(Poco::Net::SocketImpl* implementation) : StreamSocket(implementation) {}
};

} // namespace

class http_connection::session final : public Poco::Net::HTTPClientSession
{
public:
    // The socket owns the implementation, and the base class holds a copy of the socket.
    session(custom_socket const& socket, deadline_socket& implementation)
        : HTTPClientSession(socket), implementation_(implementation)
    {
        setKeepAlive(true);
    }

    void begin(steady_time deadline, std::function<bool()> may_write)
    {
        implementation_.begin(deadline, std::move(may_write));
    }
    bool wrote() const { return implementation_.wrote(); }
    bool peer_closed() const { return implementation_.peer_closed(); }
    // True when bytes have been received that no call has read.
    bool has_unread_bytes() const { return buffered() > 0; }
    // True when nothing can be read; a connection closed by its server counts as readable.
    bool is_idle()
    {
        try
        {
            return !socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
        }
        catch (Poco::Exception const&)
        {
            return false;
        }
    }

protected:
    // The base class reconnects and writes again when a write fails, which could run a call twice.
    int write(char const* buffer, std::streamsize length) override
    {
        return HTTPSession::write(buffer, length); // NOLINT(bugprone-parent-virtual-call)
    }

private:
    deadline_socket& implementation_;
};

http_connection::http_connection(std::string address, std::atomic<bool> const& stopping)
    : address_(std::move(address)), stopping_(stopping)
{
}

http_connection::~http_connection() = default;
http_connection::http_connection(http_connection&&) noexcept = default;

void http_connection::close()
{
    session_.reset();
}

http_outcome http_connection::exchange(http_call const& call, steady_time deadline,
                                       std::function<bool()> const& may_write)
{
    http_outcome outcome;
    try
    {
        if (session_ && !session_->is_idle())
        {
            close();
        }
        bool const reused = session_ != nullptr;
        if (!reused)
        {
            auto* const implementation = new deadline_socket(stopping_);
            custom_socket socket(implementation); // The socket owns the implementation from here on.
            duration const left = std::min(connect_limit, deadline - steady_now());
            socket.connect(Poco::Net::SocketAddress(address_), to_poco(left));
            socket.setNoDelay(true);
            session_ = std::make_unique<session>(socket, *implementation);
        }
        session_->begin(deadline, may_write);
        outcome = transfer(call);
        outcome.reused = reused;
        return outcome;
    }
    catch (Poco::Net::ConnectionRefusedException const& fault)
    {
        outcome.refused = true;
        outcome.why = fault.displayText();
    }
    catch (Poco::Exception const& fault)
    {
        outcome.why = fault.displayText();
    }
    catch (std::exception const& fault)
    {
        outcome.why = fault.what();
    }
    outcome.sent = session_ && session_->wrote();
    close();
    return outcome;
}

http_outcome http_connection::transfer(http_call const& call)
{
    Poco::Net::HTTPRequest request(call.method, call.path, Poco::Net::HTTPMessage::HTTP_1_1);
    request.setHost(address_);
    for (auto const& [name, value] : call.headers)
    {
        request.set(name, value);
    }
    if (call.method != "GET")
    {
        request.setContentLength64(static_cast<Poco::Int64>(call.body.size()));
    }
    session_->sendRequest(request) << call.body;
    Poco::Net::HTTPResponse response;
    std::istream& stream = session_->receiveResponse(response);

    http_outcome outcome;
    std::array<char, 16384> buffer{};
    while (stream.read(buffer.data(), buffer.size()) || stream.gcount() > 0)
    {
        outcome.body.append(buffer.data(), static_cast<std::size_t>(stream.gcount()));
        if (outcome.body.size() > max_body_bytes)
        {
            throw Poco::Net::MessageException("answer exceeds 2 MB");
        }
    }
    // The stream does not pass on exceptions of the socket.
    if (session_->networkException() != nullptr)
    {
        session_->networkException()->rethrow();
    }
    // POCO takes a malformed chunk size for the end of the body.
    if (session_->has_unread_bytes())
    {
        throw Poco::Net::MessageException("bytes follow the end of the answer");
    }
    auto const status = response.getStatus();
    bool const has_body = status != Poco::Net::HTTPResponse::HTTP_NO_CONTENT &&
                          status != Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED;
    bool const has_length = response.hasContentLength();
    if (has_body && !has_length && !response.getChunkedTransferEncoding())
    {
        throw Poco::Net::MessageException("answer has neither a length nor chunks");
    }
    bool const is_short = has_body && has_length &&
                          static_cast<Poco::Int64>(outcome.body.size()) != response.getContentLength64();
    // POCO treats the end of the connection as the end of the headers or of the last chunk.
    if (is_short || session_->peer_closed())
    {
        throw Poco::Net::MessageException("connection closed before the end of the answer");
    }
    outcome.status = static_cast<int>(status);
    outcome.etag = response.get("ETag", "");
    outcome.sent = true;
    if (!response.getKeepAlive())
    {
        close();
    }
    return outcome;
}

} // namespace siskinusher
