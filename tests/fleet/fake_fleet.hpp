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

/// The decisions of one instance, as the fleet drives them: the decision layer, or a baseline that it is
/// measured against.
class driven_core
{
public:
    virtual ~driven_core() = default;
    virtual void handle(steady_time now, event const& what, outbox& out) = 0;
    virtual instance_status status(steady_time now) const = 0;
    virtual bool drained(steady_time now) const = 0;
};

/// Makes the core of one instance.
using core_factory =
    std::function<std::unique_ptr<driven_core>(instance_settings const& settings, std::uint64_t seed)>;

/// Sizes and speeds of a fake fleet.
struct fleet_shape
{
    std::vector<std::string> data_centres{"north", "south", "west"}; ///< Each in its own region.
    unsigned instances_per_dc = 3;
    unsigned engines_per_dc = 4;
    unsigned services_per_dc = 1;
    unsigned places = 8;
    std::uint64_t engine_memory = 100;
    std::uint64_t prefix_cache = 10;
    bool checks_epoch = true;
    double drift = 0.005; ///< Each instance's clock runs up to this share fast or slow.
    duration tick_interval = milliseconds{10};
    duration token_interval = milliseconds{30};
    duration prefill = milliseconds{80};
    duration list_lag = seconds{2};
    std::size_t memory_checkpoints = 0; ///< Checkpoints that an engine's host keeps in memory; 0 is no limit.
    std::size_t disk_checkpoints = 0;   ///< Checkpoints that it keeps on disk; 0 is no limit.
    bool reports_checkpoints = true;    ///< Off: reports name no local checkpoints, though loads use them.
    bool carries_summaries = true;      ///< Off: data centres do not hear of each other's loaded models.
    bool refuses_overcommit = false;    ///< Engines refuse loads that do not fit instead of overcommitting.
    std::size_t trace_length = 4000;    ///< Log lines kept.
    core_factory make_core;             ///< Empty: instance_core.
};

/// One load of a model that an engine began.
struct load_record
{
    std::string engine;
    std::string model;
    bool remote = false; ///< From the weight store.
    steady_time begun{};
    std::optional<steady_time> ended;
    std::optional<steady_time> dropped;
    bool used = false; ///< A request ran on the model after the load.
};

/// What an engine holds and does at this moment.
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
    std::optional<steady_time> started; ///< A backend server first began to run it.
    std::optional<steady_time> first_token;
    steady_time ended{};
    final_state state{final_state::open};
    refusal why;
    unsigned executions = 0; ///< Times a backend server ran it.
    unsigned finals = 0;     ///< Answers and refusals given to the caller.
};

/// Fakes at the decision layer's ports in virtual time: object store, instance list, weight store, engines,
/// plain services, links and callers, with switches for faults. After every event it checks the invariants of
/// the design page from the outside and keeps what it found in violations().
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

    /// Accepts a configuration, as siskinctl does. Returns false when the store is down or the operator lost
    /// a race.
    bool apply(fleet_config config) { return apply(std::move(config), config_version()); }
    /// The same for an operator who edited the version `seen`.
    bool apply(fleet_config config, object_version seen);
    object_version config_version() const { return store.version_of("config"); }

    // Faults. A place is the name of an instance or data centre, or "platform".
    void cut(std::string const& a, std::string const& b);
    void heal();
    void pause(std::string const& instance, duration time);
    /// Pauses the instance between the check of its lease and the sending of its next order.
    void pause_in_next_order(std::string const& instance, duration time);
    void kill(std::string const& instance);
    void start(std::string const& instance);
    void drain(std::string const& instance);
    /// Ends the instance at its next keyed call: after the record and before the call, or, with `sent`, while
    /// the call runs and before its answer.
    void kill_in_call(std::string const& instance, bool sent);
    /// Ends an engine; after `down` it restarts with the models in `contents`, by their configured sizes.
    void kill_engine(std::string const& engine, duration down, std::vector<std::string> const& contents = {});
    void leave_engine(std::string const& engine);
    void set_silent(std::string const& server, bool silent);

    std::vector<std::string> instances(std::string const& data_centre = {}) const;
    std::vector<std::string> engines(std::string const& data_centre = {}) const;
    std::string holder(std::string const& data_centre) const; ///< Empty when none holds the lease.
    unsigned loaded(std::string const& model, std::string const& data_centre = {}) const;
    bool alive(std::string const& instance) const;
    instance_status status(std::string const& instance) const;
    std::shared_ptr<fleet_config const> config() const { return configs_.back(); }

    fake_store store;
    duration store_delay = milliseconds{2};
    double lose_orders = 0.0;                ///< Share of order answers that are lost after the effect.
    double lose_messages = 0.0;              ///< Share of messages between instances that are lost.
    double lose_answers = 0.0;               ///< Share of service answers that are lost after the call ran.
    double store_slowdown = 1.0;             ///< Factor on the weight store's load times.
    std::set<std::uint64_t> crashing_bodies; ///< Requests with such a body end the engine that runs them.

    std::vector<request_outcome> const& outcomes() const { return outcomes_; }
    std::vector<std::string> const& violations() const { return violations_; }
    std::deque<std::string> const& trace() const { return trace_; }
    std::map<std::uint64_t, unsigned> const& crashes() const { return crashes_; }
    std::map<std::string, std::uint64_t> const& counters() const { return counters_; }
    unsigned loads_ordered() const { return loads_ordered_; }
    unsigned peak_loads() const { return peak_loads_; }
    std::uint64_t counter_sum(std::string const& name) const; ///< Over all labels.
    /// The first moment at which every ready instance had the generation.
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
    void carry_out(fake_instance& from, outbox const& actions);
    void carry(fake_instance& from, dispatch const& what);
    void carry(fake_instance& from, forward const& what);
    void carry(fake_instance& from, refuse const& what);
    void carry(fake_instance& from, replay_answer const& what);
    void carry(fake_instance& from, send_peer const& what);
    void carry(fake_instance& from, store_request const& what);
    void carry(fake_instance& from, send_order const& what);
    void carry(fake_instance& from, poll_engine const& what);
    void carry(fake_instance& from, parse_config const& what);
    void carry(fake_instance& from, log_event const& what);
    void carry(fake_instance& from, count_metric const& what);
    void call_store(fake_instance& from, store_request const& what);
    void wake_watches(std::string const& key);
    void deliver_order(std::string const& instance, std::uint64_t incarnation, send_order const& what);
    void take_order(fake_server& server, send_order const& what,
                    std::function<void(order_outcome)> const& answer);
    void finish_load(std::string const& server, std::uint64_t boot, intent const& what, bool remote);
    void watch_forward(attempt_key const& origin, std::string const& target, steady_time deadline);
    void arrive(std::string const& server, work_item item);
    void start_work(fake_server& server, work_item item);
    void send_first_token(std::string const& server, std::uint64_t boot, attempt_key const& key,
                          std::size_t position);
    void finish_work(std::string const& server, std::uint64_t boot, attempt_key const& key);
    void next_work(fake_server& server);
    void end_without_first_byte(std::string const& server, attempt_key const& key);
    void end_attempt(attempt_key const& key, attempt_result result, fake_server const* server,
                     unsigned tokens);
    void give_final(fake_instance& at, request_number number, final_state state, refusal const& why);
    void crash_server(fake_server& server, duration down, std::vector<std::string> const& contents = {});
    void note_generations();
    void note_late_arrival(fake_instance const& resumed, event const& what);
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
    std::map<std::string, unsigned> bound_at_sending_; ///< Of loads that began since the last check.
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
