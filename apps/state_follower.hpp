#pragma once

#include "core/steady_time.hpp"
#include "domain/backend_entry.hpp"
#include "domain/placement_exchange.hpp"
#include "domain/serving_config.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio
{
class io_context;
}

namespace siskinusher
{

struct log_port;
struct metric_port;

namespace platform
{
class metadata_store;
}

struct state_follower_settings
{
    std::string source;       ///< Names this process to its peers; differs after each start.
    duration leaving_time{0}; ///< After which a server that leaves gets no new work.
    duration change_time{0};  ///< After which a configuration is in force.
};

/// What an instance is told of the fleet's state, on the loop's thread.
struct state_handlers
{
    std::function<void(std::shared_ptr<serving_config const>)> on_config;
    std::function<void(backend_entry const&)> on_backend;
    std::function<void(backend_name const&)> on_backend_gone;
};

/// Follows the configuration and the entries of the backend servers: by the lease holder's replies while it
/// answers, otherwise by watching the store. On the lease holder it also keeps what the peers are told.
class state_follower
{
public:
    /// All references must outlive the follower.
    state_follower(boost::asio::io_context& loop, platform::metadata_store& store, log_port& log,
                   metric_port& metrics, state_follower_settings settings, state_handlers handlers);
    ~state_follower();
    state_follower(state_follower const&) = delete;
    state_follower& operator=(state_follower const&) = delete;

    void start();
    /// This instance holds the lease, or holds it no more.
    void on_lease(bool holds);
    void on_reply(holder_reply const& reply);
    /// The holder has told that it holds the lease no more, or nothing listens at its address.
    void on_holder_lost();

    /// The servers as the store showed them were read since this instance gained the lease.
    bool servers_fresh() const;
    /// The servers have been listed at least once.
    bool servers_known() const;

    update_position position() const;
    /// What a peer at that position has missed.
    backend_update servers_since(update_position const& known) const;
    std::uint64_t config_revision() const;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace siskinusher
