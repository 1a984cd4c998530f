#include "tests/wire/answer_copier.hpp"

#include <Poco/Net/NetException.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <optional>
#include <utility>

namespace siskinusher::standins
{

namespace
{

using Poco::Net::Socket;
using Poco::Net::StreamSocket;
using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

constexpr long poll_time_us = 2000;
// Bytes of a request that have been read when a copy is written in its middle.
constexpr int part_of_request = 20;
constexpr milliseconds pause_in_request{3};
constexpr std::uint64_t longest_delay_ms = 300;
// Of this many answers, one is repeated at once and one later; of this many requests, one meets a copy when a
// part of it has been read.
constexpr std::uint64_t one_copy_in = 6;

// The value of a header of a message; empty when absent.
std::string field(std::string const& message, std::string const& name)
{
    std::size_t const end_of_head = message.find("\r\n\r\n");
    std::size_t const at = message.find("\r\n" + name + ": ");
    if (at == std::string::npos || at > end_of_head)
    {
        return {};
    }
    std::size_t const begin = at + name.size() + 4;
    return message.substr(begin, message.find("\r\n", begin) - begin);
}

// True for a request or answer that has arrived to its end. An answer that ends with its connection never is.
bool is_whole(std::string const& message, bool is_request)
{
    std::size_t const end_of_head = message.find("\r\n\r\n");
    if (end_of_head == std::string::npos)
    {
        return false;
    }
    std::string const length = field(message, "Content-Length");
    if (!length.empty())
    {
        return message.size() >= end_of_head + 4 + std::stoul(length);
    }
    std::string const last_chunk = "0\r\n\r\n";
    bool const has_last_chunk =
        message.size() >= end_of_head + 4 + last_chunk.size() &&
        message.compare(message.size() - last_chunk.size(), last_chunk.size(), last_chunk) == 0;
    return field(message, "Transfer-Encoding").empty() ? is_request : has_last_chunk;
}

void send_all(StreamSocket& to, std::string const& bytes)
{
    for (std::size_t at = 0; at < bytes.size();)
    {
        at += static_cast<std::size_t>(to.sendBytes(bytes.data() + at, static_cast<int>(bytes.size() - at)));
    }
}

} // namespace

/// One connection of a caller and the one to the server that belongs to it.
class answer_copier::connection
{
public:
    connection(answer_copier& copier, StreamSocket const& caller)
        : copier_(copier), caller_(caller), server_(Poco::Net::SocketAddress(copier.server_))
    {
        caller_.setNoDelay(true);
        server_.setNoDelay(true);
    }

    // False when one of the ends has closed.
    bool step()
    {
        Socket::SocketList readable{caller_, server_};
        Socket::SocketList none;
        Socket::select(readable, none, none, Poco::Timespan(poll_time_us));
        bool open = true;
        for (Socket const& end : readable)
        {
            open = open && (end == caller_ ? receive_request() : receive_answer());
        }
        if (open && late_ && clock::now() >= late_->first && answer_.empty())
        {
            write_copy(late_->second);
            late_.reset();
        }
        return open;
    }

private:
    void write_copy(std::string const& id)
    {
        send_all(caller_, answers_[id]);
        ++copier_.copies_;
    }

    bool receive_request()
    {
        bool const copies = request_.empty() && !latest_id_.empty() && copier_.random_below(one_copy_in) == 0;
        std::array<char, 4096> buffer{};
        int const count =
            caller_.receiveBytes(buffer.data(), copies ? part_of_request : static_cast<int>(buffer.size()));
        if (count <= 0)
        {
            return false;
        }
        request_.append(buffer.data(), static_cast<std::size_t>(count));
        if (copies)
        {
            std::this_thread::sleep_for(pause_in_request);
            write_copy(latest_id_);
        }
        if (!is_whole(request_, true))
        {
            return true;
        }
        asked_id_ = field(request_, "Attempt-Id");
        if (answers_.count(asked_id_) > 0 && copier_.random_below(4) != 0)
        {
            write_copy(asked_id_);
            ++copier_.copies_for_same_id_;
        }
        send_all(server_, std::exchange(request_, {}));
        return true;
    }

    bool receive_answer()
    {
        std::array<char, 4096> buffer{};
        int const count = server_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        if (count <= 0)
        {
            return false;
        }
        std::string const part(buffer.data(), static_cast<std::size_t>(count));
        answer_ += part;
        bool const whole = is_whole(answer_, false);
        // The copy of an answer that names another request would be a different fault.
        bool const may_copy = whole && !asked_id_.empty() && field(answer_, "Attempt-Id") == asked_id_;
        auto const kind = may_copy ? copier_.random_below(one_copy_in) : one_copy_in;
        send_all(caller_, kind == 0 ? part + answer_ : part);
        if (may_copy)
        {
            copier_.copies_ += kind == 0 ? 1 : 0;
            latest_id_ = asked_id_;
            answers_[latest_id_] = answer_;
        }
        if (kind == 1)
        {
            late_.emplace(clock::now() + milliseconds{copier_.random_below(longest_delay_ms)}, latest_id_);
        }
        if (whole)
        {
            answer_.clear();
        }
        return true;
    }

    answer_copier& copier_;
    StreamSocket caller_;
    StreamSocket server_;
    std::string request_; ///< What has arrived of a request that is not whole yet.
    std::string answer_;  ///< What has arrived of an answer that is not whole yet.
    std::string asked_id_;
    std::string latest_id_;                      ///< Of the latest answer that may be copied; may be empty.
    std::map<std::string, std::string> answers_; ///< That may be copied, by id.
    std::optional<std::pair<clock::time_point, std::string>> late_; ///< Time and id of a copy to be written.
};

answer_copier::answer_copier(std::string server, std::uint64_t seed)
    : server_(std::move(server)), random_(seed), listener_(Poco::Net::SocketAddress("127.0.0.1", 0)),
      thread_([this] { accept(); })
{
}

answer_copier::~answer_copier()
{
    stopping_ = true;
    thread_.join();
    for (std::thread& each : connections_)
    {
        each.join();
    }
}

void answer_copier::accept()
{
    while (!stopping_)
    {
        if (listener_.poll(Poco::Timespan(0, 10000), Socket::SELECT_READ))
        {
            StreamSocket const caller = listener_.acceptConnection();
            connections_.emplace_back([this, caller] { serve(caller); });
        }
    }
}

void answer_copier::serve(StreamSocket const& caller)
{
    try
    {
        connection one(*this, caller);
        while (!stopping_ && one.step())
        {
        }
    }
    catch (Poco::Exception const&)
    {
        return; // The ends see the connection close.
    }
}

std::uint64_t answer_copier::random_below(std::uint64_t bound)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return random_.below(bound);
}

} // namespace siskinusher::standins
