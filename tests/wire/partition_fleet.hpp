#pragma once

#include "tests/adapters/tcp_relay.hpp"
#include "tests/wire/backend_standin.hpp"
#include "tests/wire/edge_child.hpp"
#include "tests/wire/store_standin.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace siskinusher::standins
{

/// Requests of one kind that were sent to an instance, and how many were served.
struct served_share
{
    unsigned sent = 0;
    unsigned served = 0;
};

/// Several instances before three plain servers and three engines. Each instance can be cut off from all
/// servers, while callers, the store and the other instances reach it.
class partition_fleet
{
public:
    /// `retry_slack` and `revoke_ms` are those of the instances' settings.
    explicit partition_fleet(unsigned instances, unsigned retry_slack = 640, unsigned revoke_ms = 0);
    ~partition_fleet();
    partition_fleet(partition_fleet const&) = delete;
    partition_fleet& operator=(partition_fleet const&) = delete;

    store_standin& store() { return store_; }
    edge_child& edge(std::size_t index) { return *edges_[index]; }
    backend_standin& server(std::size_t index) { return *servers_[index]; }
    std::size_t servers() const { return servers_.size(); }
    std::size_t instances() const { return edges_.size(); }
    /// Index of the instance that gained the lease last; the number of instances when none has.
    std::size_t holder() const;
    /// Cuts the instance off from all servers, or ends that.
    void cut_off(std::size_t index, partition shape);
    /// True when the instance has said since the latest call of cut_off() for it that it lost all servers,
    /// and has not said since that it regained them.
    bool has_noticed_cut(std::size_t index) const;

    /// Makes the addresses of all plain servers refuse connections, as if they had ended.
    void end_plain_servers();
    /// Sends calls and streams to the instance for a while; returns what was served. Twelve callers are
    /// enough for a judgement when each request waits for its deadline.
    served_share send_for(std::size_t index, std::chrono::milliseconds span, unsigned callers = 12);
    /// Headers that send_for() adds to each request from now on.
    void set_headers(std::map<std::string, std::string> headers) { headers_ = std::move(headers); }
    /// Requests that send_for() has sent so far.
    unsigned requests_sent();
    /// How often each request ran, on all servers together.
    std::map<std::string, unsigned> runs();
    /// Lines of all instances about requests whose id begins with `id`, and about lost servers.
    std::string log_of_request(std::string const& id) const;

private:
    pid_t owner_of(std::uint16_t opener_port, std::uint16_t link_port);
    partition partition_of(pid_t process);
    bool send_one(std::size_t index, unsigned kind, std::string const& id);

    // The links ask for these until they end.
    std::mutex mutex_;
    std::map<pid_t, partition> cuts_;
    std::map<std::size_t, std::size_t> log_before_cut_; ///< Length of the log by instance.
    std::vector<pid_t> processes_;                      ///< Of the instances.
    store_standin store_;
    std::vector<std::unique_ptr<backend_standin>> servers_;
    std::vector<std::unique_ptr<tcp_relay>> links_;
    std::vector<std::unique_ptr<edge_child>> edges_;
    std::map<std::string, std::string> headers_; ///< Changed only while no request is sent.
    unsigned last_id_ = 0;
};

} // namespace siskinusher::standins
