#pragma once

#include "core/random_source.hpp"
#include "decision/fake_store.hpp"
#include "decision/instance_core.hpp"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace siskinusher::testing
{

/// The decision-making part of one simulated instance: the decision layer itself, or a baseline that it is
/// compared with.
class core_under_test
{
public:
    virtual ~core_under_test() = default;
    virtual void handle(steady_time now, event const& what, outbox& out) = 0;
    virtual instance_status status(steady_time now) const = 0;
    virtual bool drained(steady_time now) const = 0;
};

/// Makes the core of one instance.
using core_factory =
    std::function<std::unique_ptr<core_under_test>(instance_settings const& settings, std::uint64_t seed)>;

/// Sizes and speeds of a fake fleet. Memory is in the unit of the model sizes in the configuration.
struct fleet_shape
{
    std::vector<std::string> data_centres{"north", "south", "west"}; ///< Each in its own region.
    unsigned instances_per_dc = 3;
    unsigned engines_per_dc = 4;
    unsigned services_per_dc = 1;
    unsigned places = 8; ///< Requests that an engine runs at the same time.
    std::uint64_t engine_memory = 100;
    std::uint64_t prefix_cache = 10;
    bool checks_epoch = true;   ///< Off: engines accept orders with an outdated epoch.
    double clock_drift = 0.005; ///< Largest relative deviation of an instance's clock rate.
    duration tick_interval = milliseconds{10};
    duration token_interval = milliseconds{30}; ///< Time between two tokens of an answer.
    duration prefill = milliseconds{80};        ///< Time from the start of a request to its first token.
    duration list_lag = seconds{2};             ///< Age of the instance list when instances receive it.
    std::size_t memory_checkpoints = 0; ///< Checkpoints that an engine's host keeps in memory; 0 is no limit.
    std::size_t disk_checkpoints = 0;   ///< Checkpoints that it keeps on disk; 0 is no limit.
    bool reports_checkpoints = true;    ///< Off: reports name no local checkpoints, though loads use them.
    bool carries_summaries = true;   ///< Off: data centres are not told which models the others have loaded.
    bool refuses_overcommit = false; ///< Engines refuse loads that do not fit instead of overcommitting.
    std::size_t trace_length = 4000; ///< Number of log lines kept.
    core_factory make_core;          ///< If empty, instances use instance_core.
};

/// One load of a model on an engine.
struct load_record
{
    std::string engine;
    std::string model;
    bool remote = false; ///< The checkpoint came from the weight store.
    steady_time started{};
    std::optional<steady_time> ended;
    std::optional<steady_time> unloaded;
    bool used = false; ///< A request ran on the model after the load.
};

/// The current contents and work of an engine.
struct engine_view
{
    std::string name;
    std::string data_centre;
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::set<std::string> models;
    std::set<std::string> loading;
    std::map<std::string, checkpoint_tier> checkpoints;
};

/// A request as its caller sees it.
struct caller_request
{
    std::string model;
    std::string adapter;
    std::string service;
    rank request_rank{rank::standard};
    duration time_to_deadline{seconds{30}};
    std::string key;
    bool repeatable = true;
    std::uint64_t body = 0; ///< Equal bodies give equal fingerprints.
    unsigned tokens = 60;
};

enum class final_state
{
    open,
    answered,
    refused,
    instance_lost,
};

struct request_outcome
{
    caller_request request;
    std::string instance;
    request_number number = 0;
    steady_time sent{};
    std::optional<steady_time> started; ///< When a backend server first started to run it.
    std::optional<steady_time> first_token;
    steady_time ended{};
    final_state state{final_state::open};
    refusal why;
    unsigned executions = 0;    ///< How often backend servers started to run it.
    unsigned final_answers = 0; ///< Answers and refusals given to the caller; more than one is a violation.
};

/// Simulates in virtual time everything that the decision layer talks to: object store, instance list, weight
/// store, engines, plain services, links and callers, with functions that inject faults. While events are
/// handled, at most every 5 ms of virtual time, it checks the invariants of docs/design.md from the outside
/// and records each breach in violations().
class fake_fleet
{
public:
    fake_fleet(fleet_shape shape, fleet_config config, std::uint64_t seed);
    ~fake_fleet();
    fake_fleet(fake_fleet const&) = delete;
    fake_fleet& operator=(fake_fleet const&) = delete;

    steady_time now() const { return now_; }
    void run_for(duration time);
    void at(steady_time when, std::function<void()> what);

    /// Sends a request to an instance and returns its position in outcomes().
    std::size_t submit(std::string const& instance, caller_request const& request);

    /// Stores a configuration, as siskinctl does. Returns false when the store is down or another operator
    /// has changed the configuration in the meantime.
    bool apply(fleet_config config) { return apply(std::move(config), config_version()); }
    /// Does the same for an operator who edited the version `seen`.
    bool apply(fleet_config config, object_version seen);
    object_version config_version() const { return store.version_of("config"); }

    // Faults. The arguments of cut() are names of instances or data centres, or "platform".
    void cut(std::string const& a, std::string const& b);
    void heal();
    void pause(std::string const& instance, duration time);
    /// Pauses the instance between the check of its lease and the sending of its next order.
    void pause_in_next_order(std::string const& instance, duration time);
    void kill(std::string const& instance);
    void start(std::string const& instance);
    void drain(std::string const& instance);
    /// Ends the instance at its next call with an idempotency key: after the call is recorded and before it
    /// is sent or, with `sent`, while the call runs and before its answer arrives.
    void kill_in_call(std::string const& instance, bool sent);
    /// Ends an engine. After `down` it restarts with the models in `contents`, at their configured sizes.
    void kill_engine(std::string const& engine, duration down, std::vector<std::string> const& contents = {});
    void leave_engine(std::string const& engine);
    void set_silent(std::string const& server, bool silent);

    std::vector<std::string> instances(std::string const& data_centre = {}) const;
    std::vector<std::string> engines(std::string const& data_centre = {}) const;
    std::string holder(std::string const& data_centre) const; ///< Empty when no instance holds the lease.
    unsigned loaded(std::string const& model, std::string const& data_centre = {}) const;
    bool alive(std::string const& instance) const;
    instance_status status(std::string const& instance) const;
    std::shared_ptr<fleet_config const> config() const { return configs_.back(); }

    fake_store store;
    duration store_delay = milliseconds{2};
    double lose_orders = 0.0;    ///< Share of order answers that are lost after the order took effect.
    double lose_messages = 0.0;  ///< Share of messages between instances that are lost.
    double lose_answers = 0.0;   ///< Share of plain-service answers that are lost after the call ran.
    double store_slowdown = 1.0; ///< Factor by which a slow weight store prolongs loads.
    std::set<std::uint64_t> crashing_bodies; ///< Requests with such a body end the engine that runs them.

    std::vector<request_outcome> const& outcomes() const { return outcomes_; }
    std::vector<std::string> const& violations() const { return violations_; }
    std::deque<std::string> const& trace() const { return trace_; }
    std::map<std::uint64_t, unsigned> const& crashes() const { return crashes_; }
    std::map<std::string, std::uint64_t> const& counters() const { return counters_; }
    unsigned loads_ordered() const { return loads_ordered_; }
    unsigned peak_loads() const { return peak_loads_; }
    std::uint64_t counter_sum(std::string const& name) const; ///< Sum over all labels.
    /// The first time at which every ready instance had the generation or a later one.
    std::optional<steady_time> in_force_at(std::uint64_t generation) const;
    std::uint64_t messages() const { return messages_; }
    std::vector<load_record> const& loads() const { return loads_; }
    std::uint64_t region_requests() const { return region_requests_; } ///< Requests sent to another region.
    std::vector<engine_view> engine_views() const;

    /// Share of the weight store's load time that a load from this tier takes.
    static double load_share(std::optional<checkpoint_tier> tier);

private:
    struct fake_instance;
    struct fake_server;
    struct attempt_key
    {
        std::string instance;
        std::uint64_t incarnation = 0;
        request_number number = 0;
        unsigned attempt = 0;
        bool operator<(attempt_key const& other) const
        {
            return std::tie(instance, incarnation, number, attempt) <
                   std::tie(other.instance, other.incarnation, other.number, other.attempt);
        }
    };
    struct work_item
    {
        attempt_key key;
        caller_request request;
        std::size_t outcome = 0;
        unsigned tokens_left = 0;
        unsigned continue_from = 0;
    };

    void schedule(duration after, std::function<void()> what);
    void tick(std::string const& name, std::uint64_t incarnation);
    void feed(fake_instance& to, event const& what);
    void perform_all(fake_instance& from, outbox const& actions);
    void perform(fake_instance& from, dispatch const& what);
    void perform(fake_instance& from, forward const& what);
    void perform(fake_instance& from, refuse const& what);
    void perform(fake_instance& from, replay_answer const& what);
    void perform(fake_instance& from, send_peer const& what);
    void perform(fake_instance& from, store_request const& what);
    void perform(fake_instance& from, send_order const& what);
    void perform(fake_instance& from, poll_engine const& what);
    void perform(fake_instance& from, parse_config const& what);
    void perform(fake_instance& from, log_event const& what);
    void perform(fake_instance& from, count_metric const& what);
    void call_store(fake_instance& from, store_request const& what);
    void wake_watches(std::string const& key);
    void deliver_order(std::string const& instance, std::uint64_t incarnation, send_order const& what);
    void execute_order(fake_server& server, send_order const& what,
                       std::function<void(order_outcome)> const& answer);
    void finish_load(std::string const& server, std::uint64_t boot, intent const& what, bool remote);
    void watch_forward(attempt_key const& origin, std::string const& target, steady_time deadline);
    void receive_work(std::string const& server, work_item item);
    void start_work(fake_server& server, work_item item);
    void send_first_token(std::string const& server, std::uint64_t boot, attempt_key const& key,
                          std::size_t position);
    void finish_work(std::string const& server, std::uint64_t boot, attempt_key const& key);
    void start_waiting_work(fake_server& server);
    void end_without_first_byte(std::string const& server, attempt_key const& key);
    void end_attempt(attempt_key const& key, attempt_result result, fake_server const* server,
                     unsigned tokens);
    void finish_request(fake_instance& at, request_number number, final_state state, refusal const& why);
    void crash_server(fake_server& server, duration down, std::vector<std::string> const& contents = {});
    void record_generations();
    void record_late_arrival(fake_instance const& resumed, event const& what);
    void send_lists();
    std::vector<listed_server> listing() const;
    void check_after_event();
    void check_replicas(std::string const& model, unsigned count);
    void check_leases();
    void check_overdue();
    void violation(std::string const& what);
    bool linked(std::string const& a, std::string const& b) const;
    bool cut_between(std::string const& a, std::string const& b) const;
    duration latency(std::string const& a, std::string const& b) const;
    std::string place_of(std::string const& name) const;
    fake_instance* find_instance(std::string const& name);
    fake_instance const* find_instance(std::string const& name) const;
    engine_report report_of(fake_server const& server) const;
    unsigned bound_of(std::string const& model) const;

    fleet_shape shape_;
    random_source random_;
    steady_time now_{seconds{1000}};
    std::uint64_t sequence_ = 0;
    std::map<std::pair<steady_time, std::uint64_t>, std::function<void()>> queue_;
    std::map<std::string, std::unique_ptr<fake_instance>> instances_;
    std::map<std::string, std::unique_ptr<fake_server>> servers_;
    std::vector<std::shared_ptr<fleet_config const>> configs_; ///< By generation, starting at 1.
    std::vector<steady_time> accepted_at_;
    std::map<std::uint64_t, steady_time> in_force_at_;
    std::set<std::pair<std::string, std::string>> cuts_;
    struct waiting_watch
    {
        std::string instance;
        std::uint64_t incarnation = 0;
        store_request request;
    };
    std::vector<waiting_watch> watches_;
    std::deque<std::pair<steady_time, std::vector<listed_server>>> listings_;
    std::vector<request_outcome> outcomes_;
    std::map<std::pair<std::string, request_number>, std::size_t> outcome_of_; ///< By "instance#incarnation".
    std::map<std::pair<std::string, request_number>, attempt_key> forwarded_from_;
    std::map<std::string, unsigned> executions_of_key_;
    std::map<std::uint64_t, unsigned> crashes_;
    std::map<std::string, std::uint64_t> counters_;
    std::vector<std::string> violations_;
    std::set<std::string> reported_;
    std::map<std::string, unsigned> replicas_before_;
    std::map<std::string, unsigned> bound_at_sending_; ///< By model, of load orders since the last check.
    std::map<std::string, steady_time> beyond_bound_since_;
    std::deque<std::string> trace_;
    void keep_checkpoint(fake_server& server, std::string const& model) const;
    bool fits(fake_server const& server, std::uint64_t bytes) const;
    load_record* last_load(std::string const& server, std::string const& model);

    std::vector<load_record> loads_;
    std::map<std::pair<std::string, std::string>, std::size_t> last_load_; ///< By engine and model.
    std::uint64_t region_requests_ = 0;
    unsigned loads_ordered_ = 0;
    unsigned loading_ = 0;
    unsigned peak_loads_ = 0;
    std::uint64_t messages_ = 0;
    steady_time next_check_{};
    steady_time last_disturbed_{};
};

} // namespace siskinusher::testing
