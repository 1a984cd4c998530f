#include "tests/wire/wire_caller.hpp"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>

#include <array>
#include <sstream>

namespace siskinusher::standins
{

namespace
{

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr int answer_time_s = 8;

// Appends the data of all complete chunks to `body`; returns true when the last chunk is there.
bool decode_chunks(std::string const& text, std::string& body)
{
    std::size_t at = 0;
    for (std::size_t line = text.find("\r\n"); line != std::string::npos; line = text.find("\r\n", at))
    {
        std::size_t const size = std::stoul(text.substr(at, line - at), nullptr, 16);
        if (text.size() < line + 2 + size + 2)
        {
            return false;
        }
        body.append(text, line + 2, size);
        at = line + 2 + size + 2;
        if (size == 0)
        {
            return true;
        }
    }
    return false;
}

// Fills `answer` from the bytes received so far.
void decode(std::string const& received, HTTPResponse& head, caller_answer& answer)
{
    std::size_t const end = received.find("\r\n\r\n");
    if (end == std::string::npos)
    {
        return;
    }
    std::istringstream in(received);
    head.clear();
    head.read(in);
    answer.status = head.getStatus();
    answer.server = head.get("Server-Stamp", "");
    answer.server = answer.server.substr(0, answer.server.find('.'));
    answer.body.clear();
    std::string const rest = received.substr(end + 4);
    if (head.getChunkedTransferEncoding())
    {
        answer.whole = decode_chunks(rest, answer.body);
        return;
    }
    answer.body = rest;
    answer.whole = static_cast<Poco::Int64>(rest.size()) == head.getContentLength64();
}

} // namespace

bool wire_caller::closed_by_peer()
{
    std::array<char, 1> byte{};
    return socket_->poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ) &&
           socket_->receiveBytes(byte.data(), 1, MSG_PEEK) <= 0;
}

caller_answer wire_caller::send(std::string const& address, std::string const& method,
                                std::string const& path, std::map<std::string, std::string> const& headers)
{
    HTTPRequest request(method, path, HTTPRequest::HTTP_1_1);
    request.set("Host", "h");
    request.setContentLength(0);
    for (auto const& [name, value] : headers)
    {
        request.set(name, value);
    }
    request.setKeepAlive(keeps_connection_);
    std::ostringstream text;
    request.write(text);
    try
    {
        if (!socket_ || closed_by_peer())
        {
            socket_.emplace();
            socket_->connect(Poco::Net::SocketAddress(address), Poco::Timespan(1, 0));
            socket_->setNoDelay(true);
            socket_->setReceiveTimeout(Poco::Timespan(answer_time_s, 0));
        }
        socket_->sendBytes(text.str().data(), static_cast<int>(text.str().size()));
    }
    catch (Poco::Net::ConnectionResetException const&)
    {
        socket_.reset();
        caller_answer answer;
        answer.reset = true;
        return answer;
    }
    catch (Poco::Exception const&)
    {
        socket_.reset();
        return {};
    }
    return receive();
}

caller_answer wire_caller::receive()
{
    caller_answer answer;
    answer.sent = true;
    HTTPResponse head;
    std::string received;
    try
    {
        std::array<char, 4096> buffer{};
        while (!answer.whole)
        {
            int const count = socket_->receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            if (count <= 0)
            {
                break;
            }
            received.append(buffer.data(), static_cast<std::size_t>(count));
            decode(received, head, answer);
        }
    }
    catch (Poco::Net::ConnectionResetException const&)
    {
        answer.whole = false;
        answer.reset = received.empty();
    }
    catch (Poco::Exception const&)
    {
        answer.whole = false; // No answer in time.
    }
    if (!answer.whole || !keeps_connection_ || !head.getKeepAlive())
    {
        socket_.reset();
    }
    return answer;
}

} // namespace siskinusher::standins
