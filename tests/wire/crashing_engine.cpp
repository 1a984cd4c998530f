#include "tests/wire/crashing_engine.hpp"

#include <Poco/Net/SocketAddress.h>

#include <utility>

namespace siskinusher::standins
{

namespace
{

constexpr std::chrono::milliseconds restart_time{300};

} // namespace

crashing_engine::crashing_engine(store_standin& store, std::string name, std::string service,
                                 std::set<std::string> models)
    : server_(store, std::move(name), std::move(service), std::move(models)),
      relay_(Poco::Net::SocketAddress(server_.address()).port()),
      restarts_thread_([this] { restart_after_crashes(); })
{
    server_.set_crash_part("bad", [this] { crash(); });
    server_.publish_address(relay_.address());
}

crashing_engine::~crashing_engine()
{
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        stopping_ = true;
        changed_.notify_all();
    }
    restarts_thread_.join();
}

void crashing_engine::crash()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    if (restarts_ < crashes_.size())
    {
        return; // It has ended already.
    }
    relay_.refuse();
    crashes_.push_back(std::chrono::steady_clock::now());
    changed_.notify_all();
}

std::vector<crashing_engine::time_point> crashing_engine::crashes()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return crashes_;
}

void crashing_engine::restart_after_crashes()
{
    std::unique_lock<std::mutex> lock(mutex_);
    while (!stopping_)
    {
        if (restarts_ == crashes_.size())
        {
            changed_.wait(lock);
            continue;
        }
        changed_.wait_until(lock, crashes_.back() + restart_time, [this] { return stopping_; });
        relay_.accept_again();
        ++restarts_;
        lock.unlock();
        server_.start_again();
        lock.lock();
    }
}

} // namespace siskinusher::standins
