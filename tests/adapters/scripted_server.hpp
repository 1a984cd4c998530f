#pragma once

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace siskinusher
{

/// One HTTP request as received.
struct received_request
{
    std::string line; ///< Method and path.
    std::string head;
    std::string body;
};

/// What the scripted server does with a request: it sends `bytes` unchanged, and then closes or stays silent.
struct scripted_answer
{
    enum class ending
    {
        keep_open,
        close,
        silence, ///< Until the server stops.
    };

    std::string bytes;
    ending then{ending::keep_open};
};

inline scripted_answer http_answer(int status, std::string const& body, std::string const& headers = "")
{
    return {"HTTP/1.1 " + std::to_string(status) + " Text\r\n" + headers +
                "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
            scripted_answer::ending::keep_open};
}

/// HTTP server that answers as the test says, also in ways that no correct server would.
class scripted_server
{
public:
    using script = std::function<scripted_answer(received_request const&)>;

    explicit scripted_server(script handle)
        : handle_(std::move(handle)), listener_(Poco::Net::SocketAddress("127.0.0.1", 0)),
          thread_([this] { accept(); })
    {
    }
    ~scripted_server()
    {
        stopping_ = true;
        thread_.join();
        for (auto& one : connections_)
        {
            one.join();
        }
    }
    scripted_server(scripted_server const&) = delete;
    scripted_server& operator=(scripted_server const&) = delete;

    std::string address() const { return listener_.address().toString(); }
    std::vector<received_request> requests() const
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        return requests_;
    }
    /// Closes each connection before a request is read, as a server does that has just failed.
    void set_down(bool down) { down_ = down; }

private:
    void accept()
    {
        while (!stopping_)
        {
            if (!listener_.poll(Poco::Timespan(0, 10000), Poco::Net::Socket::SELECT_READ))
            {
                continue;
            }
            Poco::Net::StreamSocket const socket = listener_.acceptConnection();
            connections_.emplace_back([this, socket] { serve(socket); });
        }
    }

    void serve(Poco::Net::StreamSocket socket)
    {
        try
        {
            std::string buffer;
            received_request request;
            while (read(socket, buffer, request))
            {
                {
                    std::lock_guard<std::mutex> const lock(mutex_);
                    requests_.push_back(request);
                }
                scripted_answer const answer = handle_(request);
                if (!answer.bytes.empty())
                {
                    socket.sendBytes(answer.bytes.data(), static_cast<int>(answer.bytes.size()));
                }
                while (answer.then == scripted_answer::ending::silence && !stopping_)
                {
                    std::this_thread::sleep_for(std::chrono::milliseconds{5});
                }
                if (answer.then != scripted_answer::ending::keep_open)
                {
                    return;
                }
            }
        }
        catch (Poco::Exception const&)
        {
            return; // The client closed the connection.
        }
    }

    bool read(Poco::Net::StreamSocket& socket, std::string& buffer, received_request& request)
    {
        while (true)
        {
            std::size_t const end = buffer.find("\r\n\r\n");
            if (end != std::string::npos && buffer.size() >= end + 4 + body_length(buffer))
            {
                std::size_t const length = body_length(buffer);
                request = {buffer.substr(0, buffer.find(" HTTP/")), buffer.substr(0, end),
                           buffer.substr(end + 4, length)};
                buffer.erase(0, end + 4 + length);
                return true;
            }
            while (!socket.poll(Poco::Timespan(0, 5000), Poco::Net::Socket::SELECT_READ))
            {
                if (stopping_ || down_)
                {
                    return false;
                }
            }
            std::array<char, 4096> bytes{};
            int const count = down_ ? 0 : socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
            if (count <= 0)
            {
                return false;
            }
            buffer.append(bytes.data(), static_cast<std::size_t>(count));
        }
    }

    static std::size_t body_length(std::string const& buffer)
    {
        std::string const name = "Content-Length: ";
        std::size_t const at = buffer.find(name);
        return at == std::string::npos ? 0 : std::stoul(buffer.substr(at + name.size()));
    }

    script const handle_;
    Poco::Net::ServerSocket listener_;
    mutable std::mutex mutex_;
    std::vector<received_request> requests_;
    std::atomic<bool> stopping_{false};
    std::atomic<bool> down_{false};
    std::vector<std::thread> connections_;
    std::thread thread_;
};

} // namespace siskinusher
