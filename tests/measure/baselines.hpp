#pragma once

#include "core/random_source.hpp"
#include "fleet/fake_fleet.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace siskinusher::testing
{

/// The engines of each model, chosen once before the run.
using static_plan = std::map<std::string, std::vector<std::string>>;

/// Common part of the two baselines. An instance polls the engines, sends each request to the least loaded
/// engine whose last report shows the model, retries after a refusal, and refuses the request at its
/// deadline. Instances do not coordinate.
class baseline_core : public core_under_test
{
public:
    baseline_core(instance_settings settings, std::shared_ptr<fleet_config const> config, std::uint64_t seed);

    void handle(steady_time now, event const& what, outbox& out) override;
    instance_status status(steady_time now) const override;
    bool drained(steady_time now) const override;

protected:
    struct engine_state
    {
        listed_server listed;
        engine_report report;
        std::uint64_t reserved = 0; ///< Bytes of loads that this instance ordered and no report shows yet.
        unsigned own_requests = 0;  ///< Requests of this instance in flight.
        steady_time next_poll{};
        std::map<std::string, steady_time> used; ///< Last use of a model by this instance.
        std::map<std::string, unsigned> in_flight;
        unsigned load() const { return std::max(report.running + report.waiting, own_requests); }
    };

    /// Called on each tick before waiting requests are sent.
    virtual void on_tick(steady_time now, outbox& out) = 0;
    /// Called for each waiting request whose model is loaded on no reachable engine. Returns false if the
    /// model will never be loaded.
    virtual bool on_miss(steady_time now, std::string const& model, outbox& out) = 0;
    virtual void on_order(steady_time now, order_outcome const& outcome) = 0;
    virtual void on_report(engine_state& engine) = 0;
    virtual bool can_reach(listed_server const& server) const = 0;

    std::uint64_t send_order_to(steady_time now, engine_state const& engine, order_kind kind,
                                std::string const& model, outbox& out);

    instance_settings settings_;
    std::shared_ptr<fleet_config const> config_;
    random_source random_;
    std::map<std::string, engine_state> engines_;

private:
    struct open_request
    {
        request_profile profile;
        steady_time deadline{};
        steady_time not_before{};
        duration retry_delay{0}; ///< Doubled each time an engine refuses the request.
        unsigned attempts = 0;
        std::string engine; ///< Empty while the request waits at the instance.
    };

    void update_engines(std::vector<listed_server> const& servers);
    void finish(steady_time now, attempt_finished const& what, outbox& out);
    bool send(steady_time now, open_request& request, outbox& out);
    void send_waiting(steady_time now, outbox& out);
    static void refuse_request(request_number number, refusal_reason why, execution_verdict execution,
                               outbox& out);

    std::map<request_number, open_request> open_;
    steady_time next_send_{};
};

/// Each instance loads a missing model on the least loaded engine of its data centre and evicts the models
/// that this instance has used least recently.
class load_on_miss_core final : public baseline_core
{
public:
    using baseline_core::baseline_core;

protected:
    void on_tick(steady_time now, outbox& out) override;
    bool on_miss(steady_time now, std::string const& model, outbox& out) override;
    void on_order(steady_time now, order_outcome const& outcome) override;
    void on_report(engine_state& engine) override;
    bool can_reach(listed_server const& server) const override;

private:
    struct pending_load
    {
        std::uint64_t order = 0;
        std::string engine;
        std::uint64_t bytes = 0;
        steady_time until{};
    };

    bool evict_for(steady_time now, engine_state& engine, std::uint64_t bytes, outbox& out);
    void remove_pending(std::map<std::string, pending_load>::iterator entry);

    std::map<std::string, pending_load> pending_; ///< By model.
};

/// Places models once, by a plan; a request for a model outside the plan is refused.
class static_placement_core final : public baseline_core
{
public:
    static_placement_core(instance_settings settings, std::shared_ptr<fleet_config const> config,
                          std::uint64_t seed, std::shared_ptr<static_plan const> plan);

protected:
    void on_tick(steady_time now, outbox& out) override;
    bool on_miss(steady_time now, std::string const& model, outbox& out) override;
    void on_order(steady_time now, order_outcome const& outcome) override;
    void on_report(engine_state& engine) override;
    bool can_reach(listed_server const& server) const override;

private:
    std::shared_ptr<static_plan const> plan_;
    std::set<std::pair<std::string, std::string>> ordered_; ///< Engine and model.
    std::map<std::string, std::uint64_t> open_order_;       ///< Load order in progress, by engine.
};

} // namespace siskinusher::testing
