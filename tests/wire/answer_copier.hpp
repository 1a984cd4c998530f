#pragma once

#include "core/random_source.hpp"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace siskinusher::standins
{

/// Passes the connections of callers on to a server, and writes answers too many to them. Each is a copy of
/// an answer that names an earlier request of the same connection. Some are written right behind the answer,
/// some up to 300 ms later, while the connection is idle or before the next answer begins, some when only a
/// part of the next request has been read, and some just before a request is passed on whose id the
/// connection has carried before. Not more than four are written between two answers of the server.
class answer_copier
{
public:
    /// `server` is host:port.
    answer_copier(std::string server, std::uint64_t seed);
    ~answer_copier();
    answer_copier(answer_copier const&) = delete;
    answer_copier& operator=(answer_copier const&) = delete;

    std::string address() const { return listener_.address().toString(); }
    /// Number of copies written so far.
    unsigned copies() const { return copies_; }
    /// Number of those before a request whose id the connection had carried.
    unsigned copies_for_same_id() const { return copies_for_same_id_; }

private:
    class connection;

    void accept();
    void serve(Poco::Net::StreamSocket const& caller);
    std::uint64_t random_below(std::uint64_t bound);

    std::string const server_;
    std::mutex mutex_;
    random_source random_;
    std::atomic<unsigned> copies_{0};
    std::atomic<unsigned> copies_for_same_id_{0};
    std::atomic<bool> stopping_{false};
    Poco::Net::ServerSocket listener_;
    std::vector<std::thread> connections_;
    std::thread thread_;
};

} // namespace siskinusher::standins
