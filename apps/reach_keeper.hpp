#pragma once

#include "core/random_source.hpp"
#include "decision/server_reach.hpp"

#include <functional>
#include <memory>

namespace boost::asio
{
class io_context;
}

namespace siskinusher
{

class dispatcher;
class outbound_pool;
struct log_port;
struct metric_port;

/// Looks whether servers accept connections again while this instance is cut off from all of them, and tells
/// when a cut begins and ends.
class reach_keeper
{
public:
    /// All references must outlive the keeper. `on_change` is called when a cut has begun or ended.
    reach_keeper(boost::asio::io_context& loop, outbound_pool& pool, dispatcher& requests,
                 server_reach& reach, log_port& log, metric_port& metrics, std::uint64_t seed,
                 std::function<void()> on_change);
    ~reach_keeper();
    reach_keeper(reach_keeper const&) = delete;
    reach_keeper& operator=(reach_keeper const&) = delete;

    void start();

private:
    class implementation;
    std::shared_ptr<implementation> impl_;
};

} // namespace siskinusher
