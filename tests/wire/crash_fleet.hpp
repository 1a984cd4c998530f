#pragma once

#include "tests/adapters/tcp_relay.hpp"
#include "tests/wire/crashing_engine.hpp"
#include "tests/wire/edge_child.hpp"
#include "tests/wire/store_standin.hpp"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace siskinusher::standins
{

// The rule of the platform: later than the contact time after a number of crashes under one part or request,
// at most three requests with it reach servers.
constexpr std::chrono::milliseconds contact_time{3000};
constexpr std::size_t allowed_late_requests = 3;

/// A request that was sent to an instance, with its answer.
struct sent_request
{
    std::string id; ///< Begins with the name of the part or request.
    std::chrono::steady_clock::time_point at;
    int status = 0; ///< 0 when there was no answer.
    bool whole = false;
    std::string retry_after; ///< The header's text.
};

/// Several instances before servers of one service, which requests named "bad..." crash. Each instance has a
/// link of its own to the store.
class crash_fleet
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// The servers are engines when models are given.
    crash_fleet(unsigned instances, unsigned servers, std::string const& service,
                std::set<std::string> const& models);

    store_standin& store() { return store_; }
    edge_child& edge(std::size_t index) { return *edges_[index]; }
    tcp_relay& store_link(std::size_t index) { return *store_links_[index]; }
    crashing_engine& engine(std::size_t index) { return *engines_[index]; }

    /// Index of the instance that gained the lease last; the number of instances when none has.
    std::size_t holder() const;

    /// Sends a stream's request with the middle part `part`; its last part is its own.
    sent_request send(std::size_t edge, std::string const& part);
    /// Sends such requests to the instances in turn, at most one every `interval` for each thread.
    void send_for(std::chrono::milliseconds span, std::string const& part,
                  std::vector<std::size_t> const& edges,
                  std::chrono::milliseconds interval = std::chrono::milliseconds{60});

    /// Sends a call with a new id; the same method, path and body are the same request.
    sent_request call(std::size_t edge, std::string const& method, std::string const& path,
                      std::string const& body = {}, std::map<std::string, std::string> headers = {});
    /// Calls `send_one` with the instances in turn, at most once every `interval` for each thread.
    static void repeat_for(std::chrono::milliseconds span, std::vector<std::size_t> const& edges,
                           std::chrono::milliseconds interval,
                           std::function<void(std::size_t)> const& send_one);

    std::vector<time_point> crashes();
    /// How often requests whose id begins with `name` and that were sent after `from` reached a server.
    std::size_t runs_after(time_point from, std::string const& name = "bad");
    std::vector<sent_request> sent_after(time_point from, std::string const& name);
    /// Lines of all instances that show what they know of crashes, and from whom.
    std::string log_of_marks() const;
    /// Kills all instances and starts them again.
    void restart_all_instances();
    void expect_few_late_bad_runs(std::size_t crashes_before_rule);

private:
    bool all_know_the_holder() const;
    void record(sent_request const& sent);

    store_standin store_;
    std::vector<std::unique_ptr<crashing_engine>> engines_;
    std::vector<std::unique_ptr<tcp_relay>> store_links_;
    std::vector<std::unique_ptr<edge_child>> edges_;
    std::atomic<unsigned> last_id_{0};
    std::mutex mutex_;
    std::vector<sent_request> sent_;
};

/// Expects at least twenty requests, and that at least half of them were served.
void expect_mostly_whole(std::vector<sent_request> const& sent);

} // namespace siskinusher::standins
