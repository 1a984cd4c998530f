#pragma once

#include "domain/engine_report.hpp"
#include "domain/fleet_config.hpp"
#include "domain/order.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace siskinusher
{

/// A model or adapter in an engine, as far as reports and acknowledgements prove.
struct loaded_subject
{
    std::uint64_t bytes = 0;
    steady_time loaded_since{}; ///< When this ledger first saw it there.
};

/// How long a settled load stays in the lease record. An engine's report that is older than the lease by no
/// more than this is trusted, so a new holder counts each load of its predecessor from the report or from the
/// record.
constexpr duration settled_load_retention = seconds{5};

/// Progress of an intent at its issuer, or at the successor that adopted it.
enum class intent_state
{
    proposed, ///< Reserved; the order has not been sent.
    sent,     ///< The order may take effect.
    ended,    ///< The order can no longer take effect; a later report shows whether it did.
};

struct tracked_intent
{
    intent what;
    bool adopted = false;
    bool from_weight_store = true; ///< The load uses bandwidth of the weight store.
    intent_state state{intent_state::proposed};
    std::uint64_t epoch = 0; ///< Epoch in which the order was sent or the intent adopted.
    std::optional<steady_time> sent_at;
    std::optional<steady_time> answer_lost_at; ///< When the answer to the order was lost.
    std::optional<steady_time> ended_at;
    std::uint64_t ended_revision = 0; ///< Engine revision that proves the end; zero when not known.
};

/// What the lease holder knows about one engine.
struct engine_state
{
    std::string address;
    std::string pool;
    bool listed = false;
    bool checks_epoch = false;
    bool leaving = false;
    bool dead = false;          ///< A connection was refused at its address after the last report.
    bool run_uncertain = false; ///< Reports of two boot ids have come; it is not known which run has ended.
    steady_time listed_at{};    ///< When the instance list first contained it.
    steady_time omitted_at{};   ///< When the first of the consecutive lists that omit it came.
    bool omitted = false;
    steady_time avoid_until{}; ///< No loads before this time, because an order failed.

    std::optional<engine_report> report; ///< The latest one, without later acknowledgements.
    steady_time report_at{};
    std::map<std::string, loaded_subject> models;
    std::map<std::string, loaded_subject> adapters;
    std::uint64_t used_bytes = 0; ///< Contents, prefix cache, imports and unresolved loads, in bytes.

    std::uint64_t free_bytes() const
    {
        return report && report->memory_bytes > used_bytes ? report->memory_bytes - used_bytes : 0;
    }
    bool idle() const { return report && !run_uncertain && report->running == 0 && report->waiting == 0; }

    /// True when the report proves that no request uses the model or adapter. An engine that does not count
    /// requests by subject proves it only while it is idle.
    bool unused(std::string const& subject) const
    {
        return idle() ||
               (report && !run_uncertain && report->counts_use && report->in_use.count(subject) == 0);
    }
};

/// Accounts for the memory and the replicas of each engine of one data centre (invariants I1 and I2).
class engine_ledger
{
public:
    explicit engine_ledger(std::string data_centre, double clock_drift);
    ~engine_ledger();
    engine_ledger(engine_ledger const&) = delete;
    engine_ledger& operator=(engine_ledger const&) = delete;

    void on_instances(steady_time now, std::vector<listed_server> const& servers);
    void on_report(steady_time now, engine_report const& report);
    /// Returns true when the engine was not known to be dead before.
    bool on_engine_dead(backend_name const& name);

    /// Reserves the memory and the replica. Returns false, changing nothing, when the engine lacks the
    /// memory.
    bool propose(intent const& what, bool from_weight_store);
    /// Takes over the intents that were recorded by earlier holders of the lease.
    void adopt(steady_time now, std::vector<intent> const& intents, instance_id const& self,
               std::uint64_t epoch);
    void mark_sent(steady_time now, std::uint64_t id, std::uint64_t epoch);
    /// Drops an intent whose order was not sent and will not be.
    void cancel(std::uint64_t id);
    /// Drops the intents that other instances issued; called when the lease is lost.
    void forget_adopted();
    /// Called when the issuer reports that the intent can no longer take effect.
    void on_settled(steady_time now, std::uint64_t id);
    /// Returns true when the intent is resolved: its reservation is released or counted as contents.
    bool on_outcome(steady_time now, order_outcome const& outcome);
    /// Drops and returns the intents whose effect is now known from later reports. `proven_gone_at` gives the
    /// time since which an issuer is known to have ended.
    std::vector<intent>
    release(steady_time now,
            std::function<std::optional<steady_time>(instance_id const&)> const& proven_gone_at);

    std::map<backend_name, engine_state> const& engines() const;
    std::map<std::uint64_t, tracked_intent> const& intents() const;
    /// Engines that hold the model or may come to hold it by an unresolved load.
    unsigned replicas(std::string const& model) const;
    /// Engines of the pools, beyond replicas(), that may hold the model: an earlier holder may have loaded it
    /// after their last report. `acquired` is when this instance took the lease.
    unsigned count_engines_without_recent_report(steady_time acquired, std::vector<std::string> const& pools,
                                                 std::string const& model) const;
    /// Unresolved loads of the kind that use the weight store and whose subject is not loaded yet.
    unsigned loads_in_flight(order_kind kind) const;
    /// True when an unresolved intent of the subject exists at the engine.
    bool has_unresolved_intent(backend_name const& engine, std::string const& subject, bool own_only) const;
    /// Names of all models that some engine holds or may come to hold.
    std::set<std::string> held_models() const;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace siskinusher
