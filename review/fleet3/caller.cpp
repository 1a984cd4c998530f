#include "caller.hpp"

#include "http_server.hpp"

#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <cstdlib>

namespace review
{

namespace
{

using clock = std::chrono::steady_clock;

class answer_reader
{
public:
    answer_reader(int descriptor, double seconds)
        : descriptor_(descriptor),
          until_(clock::now() +
                 std::chrono::duration_cast<clock::duration>(std::chrono::duration<double>(seconds)))
    {
    }

    caller_answer read()
    {
        caller_answer answer;
        if (!read_head(answer))
        {
            return answer;
        }
        if (answer.headers["transfer-encoding"] == "chunked")
        {
            answer.complete = read_chunks(answer.body);
        }
        else if (answer.headers.count("content-length") > 0)
        {
            auto const length = std::strtoul(answer.headers["content-length"].c_str(), nullptr, 10);
            answer.complete = need(length);
            answer.body = pending_.substr(0, length);
        }
        else
        {
            answer.complete = answer.status == 204 || answer.status == 304;
        }
        return answer;
    }

private:
    bool fill()
    {
        auto const left =
            std::chrono::duration_cast<std::chrono::microseconds>(until_ - clock::now()).count();
        if (left <= 0)
        {
            return false;
        }
        timeval const limit{left / 1000000, left % 1000000};
        (void)::setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        std::array<char, 16384> chunk{};
        ssize_t const count = ::recv(descriptor_, chunk.data(), chunk.size(), 0);
        if (count <= 0)
        {
            return false;
        }
        pending_.append(chunk.data(), static_cast<std::size_t>(count));
        return true;
    }

    bool need(std::size_t count)
    {
        while (pending_.size() < count)
        {
            if (!fill())
            {
                return false;
            }
        }
        return true;
    }

    bool take_line(std::string& line)
    {
        std::size_t end = pending_.find("\r\n");
        while (end == std::string::npos)
        {
            if (!fill())
            {
                return false;
            }
            end = pending_.find("\r\n");
        }
        line = pending_.substr(0, end);
        pending_.erase(0, end + 2);
        return true;
    }

    bool read_head(caller_answer& answer)
    {
        std::string line;
        if (!take_line(line) || line.size() < 12)
        {
            return false;
        }
        answer.status = std::atoi(line.c_str() + 9);
        while (take_line(line) && !line.empty())
        {
            std::size_t const colon = line.find(':');
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
            std::size_t const value = line.find_first_not_of(' ', colon + 1);
            answer.headers[name] = value == std::string::npos ? std::string() : line.substr(value);
        }
        return line.empty();
    }

    bool read_chunks(std::string& body)
    {
        std::string line;
        while (take_line(line))
        {
            std::size_t const size = std::strtoul(line.c_str(), nullptr, 16);
            if (size == 0)
            {
                return take_line(line);
            }
            bool const whole = need(size + 2);
            body.append(pending_, 0, std::min(size, pending_.size()));
            pending_.erase(0, size + 2);
            if (!whole)
            {
                return false;
            }
        }
        return false;
    }

    int const descriptor_;
    clock::time_point const until_;
    std::string pending_;
};

} // namespace

caller_answer call(std::string const& address, std::string const& request, double seconds)
{
    int descriptor = -1;
    caller_answer answer = call_on(descriptor, address, request, seconds);
    if (descriptor >= 0)
    {
        ::close(descriptor);
    }
    return answer;
}

caller_answer call_on(int& descriptor, std::string const& address, std::string const& request, double seconds)
{
    descriptor = descriptor < 0 ? connect_to(address) : descriptor;
    if (descriptor < 0)
    {
        return {};
    }
    (void)::send(descriptor, request.data(), request.size(), MSG_NOSIGNAL);
    caller_answer answer = answer_reader(descriptor, seconds).read();
    auto const connection = answer.headers.find("connection");
    bool const closes = connection != answer.headers.end() && connection->second == "close";
    if (!answer.complete || closes)
    {
        ::close(descriptor);
        descriptor = -1;
    }
    return answer;
}

} // namespace review
