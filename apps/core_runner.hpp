#pragma once

#include "adapters/http_front.hpp"
#include "adapters/ports.hpp"
#include "apps/event_queue.hpp"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace siskinusher
{

/// The receivers of the core's actions. All of them must outlive the runner.
struct core_ports
{
    peer_port& peers;
    store_port& store;
    order_port& orders;
    poll_port& polls;
    config_parser_port& parser;
    decision_port& requests;
    log_port& log;
    metric_port& metrics;
};

/// Runs the core on its own thread: passes events and ticks to it and carries out its actions.
class core_runner : public core_view
{
public:
    core_runner(std::unique_ptr<decision_core> core, event_queue& ring, core_ports ports);
    ~core_runner() override;

    void start();
    /// Ends the thread after the events that are still in the ring have been handled.
    void stop();

    /// Asks the core to release its lease and waits at most `limit` for it. Returns false on timeout.
    bool release_lease(duration limit);

    bool ready() const override { return ready_; }
    std::shared_ptr<fleet_config const> config() const override;
    std::vector<std::string> explain_request(request_number number) override;
    std::vector<std::string> explain_model(std::string const& model) override;
    std::vector<std::pair<std::string, std::string>> status() override;

private:
    void loop();
    void handle(event const& what);
    void tick_core();
    void carry_out();
    void publish();

    void perform(dispatch&& what);
    void perform(forward&& what);
    void perform(refuse&& what);
    void perform(replay_answer&& what);
    void perform(send_peer&& what);
    void perform(store_request&& what);
    void perform(send_order&& what);
    void perform(poll_engine&& what);
    void perform(parse_config&& what);
    void perform(log_event&& what);
    void perform(count_metric&& what);
    void report_unsent(request_number number, unsigned attempt);

    std::unique_ptr<decision_core> const core_;
    event_queue& ring_;
    core_ports const ports_;
    outbox actions_;
    /// Results of dispatches that no request handler accepted; passed to the core at the next tick.
    std::vector<event> unsent_results_;
    std::atomic<bool> ready_{false};
    std::atomic<bool> stopping_{false};
    std::atomic<bool> releasing_{false};
    std::atomic<bool> released_{false};
    mutable std::mutex config_mutex_;
    std::shared_ptr<fleet_config const> config_;
    std::thread thread_;
};

} // namespace siskinusher
