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

/// What becomes of one opener's connections.
enum class partition
{
    none,
    reset,     ///< All are reset.
    silent,    ///< All hang.
    reset_new, ///< Those that exist live on; new ones are reset.
};

/// Forwards TCP connections to a port of this machine and records what the openers send. It can make the open
/// connections silent without closing them, reset them, delay what passes, and cut one direction.
class tcp_relay
{
public:
    explicit tcp_relay(std::uint16_t target)
        : target_(target), port_(reserve_port()), listener_(listen_at(port_)), thread_([this] { accept(); })
    {
    }
    ~tcp_relay()
    {
        stopping_ = true;
        thread_.join();
        for (auto& one : pairs_)
        {
            one.join();
        }
    }
    tcp_relay(tcp_relay const&) = delete;
    tcp_relay& operator=(tcp_relay const&) = delete;

    std::string address() const { return port_.address().toString(); }

    /// All bytes from the opener of connection `index`.
    std::string sent(std::size_t index)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        return index < sent_.size() ? sent_[index] : std::string{};
    }
    std::size_t connections()
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        return sent_.size();
    }
    /// Stops forwarding on the connections that exist now; later ones are forwarded.
    void silence() { silent_below_ = connections(); }
    /// Resets the connections that exist now.
    void reset() { reset_below_ = connections(); }
    /// Resets the connections that exist now and refuses new ones until accept_again is called, as a machine
    /// does whose server process has ended.
    void refuse()
    {
        refusing_ = true;
        while (listening_)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds{1});
        }
        reset();
    }
    void accept_again() { refusing_ = false; }
    /// Holds back each piece of data for this long, in both directions; zero ends it.
    void delay(std::chrono::milliseconds span) { delay_ = span; }
    /// Sets the functions that find the process which opened a connection, by the port of its end (a negative
    /// number when it is not found), and tell whether a process is cut off. To be called before the first
    /// connection.
    void set_partition(std::function<int(std::uint16_t)> owner_of, std::function<partition(int)> of_owner)
    {
        owner_of_ = std::move(owner_of);
        partition_of_ = std::move(of_owner);
    }
    /// Drops all that the openers send, or all that is sent to them, until heal is called. A connection that
    /// has lost data forwards nothing more and is reset when the link is healed.
    void cut(bool from_openers) { (from_openers ? cut_out_ : cut_back_) = true; }
    void heal()
    {
        cut_out_ = false;
        cut_back_ = false;
        delay_ = std::chrono::milliseconds{0};
    }

private:
    // Binds a socket that does not listen, so that the port stays reserved while connections are refused.
    static Poco::Net::ServerSocket reserve_port()
    {
        Poco::Net::ServerSocket socket;
        socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true, false);
        return socket;
    }

    static Poco::Net::ServerSocket listen_at(Poco::Net::ServerSocket const& port)
    {
        Poco::Net::ServerSocket socket;
        socket.bind(port.address(), true, false);
        socket.listen();
        return socket;
    }

    // True when the listener accepts connections.
    bool keep_listening()
    {
        if (refusing_ && listening_)
        {
            listener_.close();
            listening_ = false;
        }
        else if (!refusing_ && !listening_)
        {
            listener_ = listen_at(port_);
            listening_ = true;
        }
        return listening_;
    }

    void accept()
    {
        while (!stopping_)
        {
            if (!keep_listening())
            {
                std::this_thread::sleep_for(std::chrono::milliseconds{1});
                continue;
            }
            if (!listener_.poll(Poco::Timespan(0, 10000), Poco::Net::Socket::SELECT_READ))
            {
                continue;
            }
            Poco::Net::StreamSocket const opener = listener_.acceptConnection();
            std::size_t index = 0;
            {
                std::lock_guard<std::mutex> const lock(mutex_);
                index = sent_.size();
                sent_.emplace_back();
            }
            pairs_.emplace_back([this, opener, index] { serve(opener, index); });
        }
    }

    void serve(Poco::Net::StreamSocket opener, std::size_t index)
    {
        try
        {
            Poco::Net::StreamSocket target(Poco::Net::SocketAddress("127.0.0.1", target_));
            bool lost_data = false;
            int const owner = owner_of_ ? owner_of_(opener.peerAddress().port()) : 0;
            bool const is_new = cut_of(owner) != partition::none;
            while (!stopping_)
            {
                partition const cut = cut_of(owner);
                if (cut == partition::reset || (cut == partition::reset_new && is_new))
                {
                    reset_ends(opener, target);
                    return;
                }
                if (cut == partition::silent)
                {
                    std::this_thread::sleep_for(std::chrono::milliseconds{5});
                    continue;
                }
                if (index < reset_below_ || (lost_data && !cut_out_ && !cut_back_))
                {
                    reset_ends(opener, target);
                    return;
                }
                if (index < silent_below_)
                {
                    std::this_thread::sleep_for(std::chrono::milliseconds{5});
                    continue;
                }
                bool const open =
                    lost_data || cut_out_ ? drop(opener, lost_data) : forward(opener, target, index, true);
                bool const back =
                    lost_data || cut_back_ ? drop(target, lost_data) : forward(target, opener, index, false);
                if (!open || !back)
                {
                    return;
                }
            }
        }
        catch (Poco::Exception const&)
        {
            return; // The ends see the connection close.
        }
    }

    partition cut_of(int owner) const { return partition_of_ ? partition_of_(owner) : partition::none; }

    // An end of the connection that is closed without the usual handshake sends a reset.
    static void reset_ends(Poco::Net::StreamSocket& opener, Poco::Net::StreamSocket& target)
    {
        for (Poco::Net::StreamSocket* const end : {&opener, &target})
        {
            end->setLinger(true, 0);
            end->close();
        }
    }

    // Reads and discards, so that the sender does not notice; `lost_data` is set once something was
    // discarded.
    bool drop(Poco::Net::StreamSocket& from, bool& lost_data) const
    {
        std::array<char, 4096> buffer{};
        if (!from.poll(Poco::Timespan(0, 1000), Poco::Net::Socket::SELECT_READ))
        {
            return true;
        }
        int const count = from.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        lost_data = lost_data || count > 0;
        return count > 0 || lost_data;
    }

    bool forward(Poco::Net::StreamSocket& from, Poco::Net::StreamSocket& to, std::size_t index, bool record)
    {
        std::array<char, 4096> buffer{};
        if (!from.poll(Poco::Timespan(0, 1000), Poco::Net::Socket::SELECT_READ))
        {
            return true;
        }
        int const count = from.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        if (count <= 0)
        {
            return false;
        }
        if (delay_.load() > std::chrono::milliseconds{0})
        {
            std::this_thread::sleep_for(delay_.load());
        }
        if (record)
        {
            std::lock_guard<std::mutex> const lock(mutex_);
            sent_[index].append(buffer.data(), static_cast<std::size_t>(count));
        }
        for (int at = 0; at < count;)
        {
            at += to.sendBytes(buffer.data() + at, count - at);
        }
        return true;
    }

    std::uint16_t const target_;
    std::function<int(std::uint16_t)> owner_of_;
    std::function<partition(int)> partition_of_;
    Poco::Net::ServerSocket const port_;
    Poco::Net::ServerSocket listener_;
    std::atomic<bool> refusing_{false};
    std::atomic<bool> listening_{true};
    std::mutex mutex_;
    std::vector<std::string> sent_;
    std::atomic<std::size_t> silent_below_{0};
    std::atomic<std::size_t> reset_below_{0};
    std::atomic<std::chrono::milliseconds> delay_{std::chrono::milliseconds{0}};
    std::atomic<bool> cut_out_{false};  ///< What the openers send is lost.
    std::atomic<bool> cut_back_{false}; ///< What is sent to the openers is lost.
    std::atomic<bool> stopping_{false};
    std::vector<std::thread> pairs_;
    std::thread thread_;
};

} // namespace siskinusher
