#include "tests/standins/http_exchange.hpp"

#include "tests/standins/fault_switches.hpp"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>
#include <Poco/URI.h>

#include <chrono>
#include <thread>

#include <sys/socket.h>

namespace siskinusher::standins
{

namespace
{

Poco::Net::StreamSocket& socket_of(Poco::Net::HTTPServerRequest& request)
{
    return static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
}

} // namespace

http_exchange::http_exchange(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response,
                             fault_switches& faults, std::uint64_t connection)
    : request_(request), response_(response), faults_(faults), connection_(connection),
      path_(Poco::URI(request.getURI()).getPath())
{
    Poco::StreamCopier::copyToString(request_.stream(), body_);
}

std::string http_exchange::query(std::string const& name) const
{
    for (auto const& parameter : Poco::URI(request_.getURI()).getQueryParameters())
    {
        if (parameter.first == name)
        {
            return parameter.second;
        }
    }
    return {};
}

void http_exchange::reply(int status, std::string const& body, std::string const& type)
{
    if (hang_if_silenced())
    {
        return;
    }
    if (faults_.consume_lost_answer(path_))
    {
        abort();
        return;
    }
    response_.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response_.setContentType(type);
    response_.sendBuffer(body.data(), body.size());
}

void http_exchange::begin_stream(bool chunked)
{
    response_.setContentType("text/event-stream");
    response_.setChunkedTransferEncoding(chunked);
    response_.setKeepAlive(chunked);
    if (!hang_if_silenced())
    {
        stream_ = &response_.send();
    }
}

bool http_exchange::send_piece(std::string const& piece)
{
    if (stream_ == nullptr || hang_if_silenced() || peer_closed())
    {
        return false;
    }
    *stream_ << piece << std::flush;
    return stream_->good();
}

void http_exchange::pause() const
{
    faults_.pause(path_);
}

void http_exchange::abort()
{
    try
    {
        socket_of(request_).shutdown();
    }
    catch (Poco::Exception const&)
    {
        stream_ = nullptr; // The caller closed the connection first.
    }
}

bool http_exchange::peer_closed() const
{
    try
    {
        auto& socket = socket_of(request_);
        char next = 0;
        return socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ) &&
               socket.receiveBytes(&next, 1, MSG_PEEK) == 0;
    }
    catch (Poco::Exception const&)
    {
        return true;
    }
}

bool http_exchange::hang_if_silenced()
{
    if (path_ == "/control" || !faults_.silenced(connection_))
    {
        return false;
    }
    while (!peer_closed())
    {
        std::this_thread::sleep_for(std::chrono::milliseconds{50});
    }
    abort();
    return true;
}

} // namespace siskinusher::standins
