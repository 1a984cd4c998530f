#pragma once

#include "core/random_source.hpp"
#include "decision/engine_controller.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace siskinusher::testing
{

/// One simulated engine. It records whether loads have exceeded its memory.
struct simulated_engine
{
    engine_report report;
    std::string data_centre;
    std::uint64_t highest_epoch = 0;
    bool checks_epoch = true;
    bool alive = true;
    bool silent = false; ///< Sends no reports, for example because its link is broken.
    bool overcommitted = false;
};

/// One simulated instance with its own clock.
struct simulated_instance
{
    instance_id id;
    std::string data_centre;
    std::unique_ptr<engine_controller> controller;
    double clock_rate = 1.0;
    duration clock_offset{0};
    bool alive = true;
    bool paused = false;
    bool reaches_store = true;
    /// Events that arrived during a pause and are handled at its end.
    std::vector<std::function<void()>> delayed_events;
};

struct sent_order
{
    std::string from;
    order what;
    bool recorded = false; ///< The data centre's record contained the intent when the order was sent.
};

/// Simulates instances, engines and an object store in virtual time, with faults that the test switches on.
/// After each event it checks that at most one instance holds each lease, and that replicas and memory stay
/// within their bounds.
class control_simulation
{
public:
    explicit control_simulation(std::uint64_t seed);

    void add_instance(std::string const& name, std::string const& data_centre = "a");
    void add_engine(std::string const& name, std::uint64_t memory, std::string const& data_centre = "a",
                    bool checks_epoch = true);
    void add_model(std::string const& name, std::uint64_t bytes, unsigned max_replicas);
    void apply_config(); ///< Gives the current configuration to all instances.
    void kill(std::string const& name);
    void pause(std::string const& name);
    void resume(std::string const& name);
    void restart_engine(std::string const& name);
    /// Sends a load request to the controller of the instance.
    void send_load_request(std::string const& node, std::string const& model, rank level = rank::standard,
                           std::string const& adapter = "");
    /// Runs for `span` and repeats the load request every 200 ms.
    void send_load_requests_for(duration span, std::string const& node, std::string const& model,
                                rank level = rank::standard, std::string const& adapter = "");
    void run(duration span);
    void deliver_held_orders(); ///< Ends hold_orders and delivers the held orders to the engines.

    /// Empty when no live instance holds the lease.
    std::string holder(std::string const& data_centre = "a");
    unsigned replicas(std::string const& model) const;
    data_centre_record record(std::string const& data_centre = "a") const;
    std::map<std::string, quota_row> quota_rows(std::string const& row) const; ///< By data centre.
    steady_time local_time(simulated_instance const& node) const;
    void report(std::string const& engine); ///< Sends the engine's report to all instances now.

    /// Carries out the actions of a controller that the test called directly.
    void carry_out(simulated_instance& node, outbox const& out);

    fleet_config config;
    std::map<std::string, simulated_instance> instances;
    std::map<std::string, simulated_engine> engines;
    std::vector<sent_order> orders;
    std::vector<log_event> logs;
    std::string violation; ///< The first violated property; empty while all hold.
    bool store_up = true;
    double lose_answer = 0.0; ///< Share of store calls and orders that take effect but whose answer is lost.
    /// Share of store writes that are answered "unavailable" and take effect up to 12 s later.
    double delay_write = 0.0;
    double lose_message = 0.0; ///< Share of messages between instances that are lost.
    double late_order = 0.0;   ///< Share of orders that reach the engine up to 4.9 s late.
    /// Share of orders that a live sender delays by up to 20 s after its lease check.
    double stall_order = 0.0;
    duration report_lag = milliseconds{200};
    duration list_lag = milliseconds{500};
    bool check_bounds = true;
    bool hold_orders = false; ///< Orders wait between the sender's lease check and the engine.
    std::set<std::pair<std::string, std::string>> cut; ///< Pairs of instances that cannot exchange messages.

private:
    void schedule(duration delay, std::function<void()> what);
    void deliver(std::string const& name, std::uint64_t incarnation,
                 std::function<void(engine_controller&, steady_time, outbox&)> const& what);
    void on_store(simulated_instance const& node, store_request const& request);
    store_result apply(store_request const& request);
    void on_order(simulated_instance const& node, send_order const& sent);
    order_outcome execute_order(order const& what);
    void check();
    void send_heartbeats_and_lists();
    duration random_duration(duration most)
    {
        return duration{static_cast<duration::rep>(random_.below(most.count()))};
    }
    bool chance(double share) { return random_.unit() < share; }

    random_source random_;
    duration now_{seconds{100}};
    std::multimap<duration, std::function<void()>> queue_;
    std::map<std::string, std::pair<store_value, object_version>> objects_;
    object_version last_version_ = 0;
    duration next_second_{0};
    std::vector<std::function<void()>> held_orders_;
};

} // namespace siskinusher::testing
