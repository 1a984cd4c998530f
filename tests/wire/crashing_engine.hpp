#pragma once

#include "tests/adapters/tcp_relay.hpp"
#include "tests/wire/backend_standin.hpp"
#include "tests/wire/store_standin.hpp"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace siskinusher::standins
{

/// A server that ends when it begins to answer a request with the part "bad" in its prompt, or with a body or
/// last segment of its path that begins with "bad": its connections are reset and its address refuses new
/// ones, until it starts again some hundred milliseconds later.
class crashing_engine
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// It is a plain server when no models are given.
    crashing_engine(store_standin& store, std::string name, std::string service,
                    std::set<std::string> models);
    ~crashing_engine();
    crashing_engine(crashing_engine const&) = delete;
    crashing_engine& operator=(crashing_engine const&) = delete;

    backend_standin& server() { return server_; }
    /// Ends the engine, whatever it runs.
    void crash();
    /// When it ended, in order.
    std::vector<time_point> crashes();

private:
    void restart_after_crashes();

    backend_standin server_;
    tcp_relay relay_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<time_point> crashes_;
    std::size_t restarts_ = 0;
    bool stopping_ = false;
    std::thread restarts_thread_;
};

} // namespace siskinusher::standins
