#include "decision/engine_ledger.hpp"

#include "core/invariant.hpp"

#include <algorithm>
#include <utility>

namespace siskinusher
{

namespace
{

// Largest age of a report: it reaches the lease holder at most 2 s old, plus 1 s when the holder has to poll
// (docs/design.md, 3.3).
constexpr duration max_report_lag = seconds{3};
// A restart of an engine counts as confirmed when reports of its new run have come for this time. It is
// longer than this instance needs to handle all reports that were queued during a pause of its own.
constexpr duration restart_confirmation_time = seconds{2};
// An engine counts as gone when the list has omitted it for this time. A restart under the same name leaves a
// shorter gap in the list.
constexpr duration omission_time = seconds{3};
// The order client answers long before this. The limit prevents a lost outcome event from reserving an
// engine's memory for ever.
constexpr duration outcome_timeout = minutes{15};
// No loads go to an engine for this time after one failed. Otherwise each planning run would record the same
// intent in the store and send the same order again to an engine that the holder cannot reach.
constexpr duration failure_avoidance = seconds{2};

bool is_load(order_kind kind)
{
    return kind == order_kind::load_model || kind == order_kind::load_adapter;
}

bool of_model(order_kind kind)
{
    return kind == order_kind::load_model || kind == order_kind::unload_model;
}

/// An acknowledged order that the latest report does not show yet.
struct acknowledged_change
{
    order_kind kind{order_kind::load_model};
    std::string subject;
    std::uint64_t bytes = 0;
};

/// One run of an engine's process, from one start to the next; its boot id identifies it.
struct engine_run
{
    engine_report report; ///< The latest.
    steady_time first{};
    steady_time at{};                                          ///< Arrival of the latest report.
    std::multimap<std::uint64_t, acknowledged_change> changes; ///< By revision, newer than the report.
};

using engine_runs = std::map<std::uint64_t, engine_run>; ///< By boot id.

} // namespace

class engine_ledger::implementation
{
public:
    implementation(std::string data_centre, double clock_drift)
        : data_centre_(std::move(data_centre)),
          order_lifetime_(
              static_cast<duration::rep>(static_cast<double>(order_lifetime.count()) * (1.0 + clock_drift)))
    {
    }

    void on_instances(steady_time now, std::vector<listed_server> const& servers)
    {
        std::set<backend_name> listed_names;
        for (auto const& server : servers)
        {
            if (server.kind != listed_kind::engine || server.data_centre != data_centre_)
            {
                continue;
            }
            listed_names.insert(server.name);
            engine_state& state = states_[server.name];
            if (!state.listed)
            {
                state.listed = true;
                state.listed_at = now;
            }
            state.omitted = false;
            state.address = server.address;
            state.pool = server.pool;
            state.checks_epoch = server.checks_epoch;
            // A later list does not clear the flag: an engine that is leaving does so until its next start.
            state.leaving = state.leaving || server.state == listed_state::leaving;
        }
        if (servers.empty())
        {
            return; // A correct list contains at least this instance, so an empty one is not used.
        }
        for (auto it = states_.begin(); it != states_.end();)
        {
            engine_state& state = it->second;
            if (listed_names.count(it->first) != 0)
            {
                ++it;
                continue;
            }
            if (!state.omitted)
            {
                state.omitted = true;
                state.omitted_at = now;
            }
            bool const recently_reported = state.report && now < state.report_at + omission_time;
            if (recently_reported || now < state.omitted_at + omission_time)
            {
                ++it;
                continue;
            }
            // The list contains every live server that it has contained before, so this one is gone.
            backend_name const name = it->first;
            runs_.erase(name);
            it = states_.erase(it);
            reindex(name);
        }
    }

    void on_report(steady_time now, engine_report const& report)
    {
        engine_state& state = states_[report.name];
        engine_runs& runs = runs_[report.name];
        auto known = runs.find(report.boot_id);
        if (known == runs.end())
        {
            known = runs.emplace(report.boot_id, engine_run{report, now, now, {}}).first;
            if (runs.size() > 1)
            {
                forget_epochs(report.name);
            }
        }
        engine_run& run = known->second;
        if (report.revision < run.report.revision)
        {
            return; // Overtaken by a later report.
        }
        run.report = report;
        run.at = now;
        run.changes.erase(run.changes.begin(), run.changes.upper_bound(report.revision));
        state.report = report;
        state.report_at = now;
        state.dead = false;
        state.leaving = state.leaving || report.leaving;
        if (forget_ended_runs(runs, report.boot_id))
        {
            state.leaving = report.leaving;
        }
        state.run_uncertain = runs.size() > 1;
        recompute(now, report.name);
    }

    bool on_engine_dead(backend_name const& name)
    {
        auto const found = states_.find(name);
        return found != states_.end() && !std::exchange(found->second.dead, true);
    }

    bool propose(intent const& what, bool from_weight_store)
    {
        auto const found = states_.find(what.engine);
        if (found == states_.end() || !found->second.report || found->second.run_uncertain)
        {
            return false;
        }
        engine_state const& state = found->second;
        if (is_load(what.kind))
        {
            std::uint64_t const already = reserved(what.engine, what.kind, what.subject);
            std::uint64_t const extra = what.bytes > already ? what.bytes - already : 0;
            if (state.used_bytes > state.report->memory_bytes || extra > state.free_bytes())
            {
                return false;
            }
        }
        tracked_intent tracked;
        tracked.what = what;
        tracked.from_weight_store = from_weight_store;
        intents_[what.id] = tracked;
        recompute({}, what.engine);
        return true;
    }

    void adopt(steady_time now, std::vector<intent> const& intents, instance_id const& self,
               std::uint64_t epoch)
    {
        for (auto const& what : intents)
        {
            if (intents_.count(what.id) != 0)
            {
                continue;
            }
            tracked_intent tracked;
            tracked.what = what;
            tracked.adopted = true;
            tracked.epoch = epoch;
            tracked.state = intent_state::sent;
            if (what.issuer == self)
            {
                // This instance drops its own intents only after they have ended, so this one has ended.
                end(tracked, now, 0);
            }
            intents_[what.id] = tracked;
            recompute(now, what.engine);
        }
    }

    void mark_sent(steady_time now, std::uint64_t id, std::uint64_t epoch)
    {
        auto const found = intents_.find(id);
        if (found != intents_.end())
        {
            found->second.state = intent_state::sent;
            found->second.sent_at = now;
            found->second.epoch = epoch;
        }
    }

    void cancel(std::uint64_t id)
    {
        auto const found = intents_.find(id);
        if (found != intents_.end())
        {
            backend_name const engine = found->second.what.engine;
            intents_.erase(found);
            recompute({}, engine);
        }
    }

    void forget_adopted()
    {
        std::set<backend_name> changed;
        for (auto it = intents_.begin(); it != intents_.end();)
        {
            if (it->second.adopted)
            {
                changed.insert(it->second.what.engine);
                it = intents_.erase(it);
            }
            else
            {
                ++it;
            }
        }
        for (auto const& name : changed)
        {
            recompute({}, name);
        }
    }

    void on_settled(steady_time now, std::uint64_t id)
    {
        auto const found = intents_.find(id);
        if (found != intents_.end() && found->second.adopted)
        {
            end(found->second, now, 0);
        }
    }

    bool on_outcome(steady_time now, order_outcome const& outcome)
    {
        auto const found = intents_.find(outcome.intent_id);
        if (found == intents_.end() || found->second.adopted)
        {
            return false;
        }
        tracked_intent& tracked = found->second;
        auto const engine = states_.find(tracked.what.engine);
        if (outcome.result != order_result::done && engine != states_.end())
        {
            engine->second.avoid_until = now + failure_avoidance;
        }
        if (outcome.result == order_result::unknown)
        {
            tracked.answer_lost_at = now;
            return false;
        }
        intent const what = tracked.what;
        if (outcome.result != order_result::done)
        {
            cancel(what.id);
            return true;
        }
        auto const state = states_.find(what.engine);
        if (state == states_.end() || !state->second.report)
        {
            cancel(what.id);
            return true;
        }
        engine_runs& runs = runs_[what.engine];
        auto const run = runs.find(outcome.boot_id);
        if (run == runs.end())
        {
            end(tracked, now, 0); // No report of this boot id has come yet: later reports show the effect.
            return false;
        }
        if (outcome.revision > run->second.report.revision)
        {
            run->second.changes.emplace(outcome.revision,
                                        acknowledged_change{what.kind, what.subject, what.bytes});
        }
        if (state->second.checks_epoch && runs.size() == 1)
        {
            end_earlier_epochs(now, what.engine, tracked.epoch, outcome.revision);
        }
        intents_.erase(found);
        recompute(now, what.engine);
        return true;
    }

    std::vector<intent>
    release(steady_time now,
            std::function<std::optional<steady_time>(instance_id const&)> const& proven_gone_at)
    {
        std::vector<intent> resolved;
        for (auto& entry : intents_)
        {
            tracked_intent& tracked = entry.second;
            if (tracked.state == intent_state::sent)
            {
                end_if_due(now, tracked, proven_gone_at);
            }
            if (tracked.state != intent_state::ended)
            {
                continue;
            }
            auto const state = states_.find(tracked.what.engine);
            if (state == states_.end())
            {
                // The engine is gone. An order still under way must not reach a new engine of the same name
                // while its reservation is missing.
                if (now >= *tracked.ended_at + order_lifetime_)
                {
                    resolved.push_back(tracked.what);
                }
                continue;
            }
            bool const reported = state->second.report.has_value() && !state->second.run_uncertain;
            bool const by_time = reported && state->second.report_at >= *tracked.ended_at + max_report_lag;
            bool const by_revision = reported && tracked.ended_revision != 0 &&
                                     state->second.report->revision >= tracked.ended_revision;
            if (by_time || by_revision)
            {
                resolved.push_back(tracked.what);
            }
        }
        for (auto const& what : resolved)
        {
            cancel(what.id);
        }
        return resolved;
    }

    std::map<backend_name, engine_state> const& engines() const { return states_; }
    std::map<std::uint64_t, tracked_intent> const& intents() const { return intents_; }

    unsigned replicas(std::string const& model) const
    {
        auto const found = engines_by_model_.find(model);
        return found == engines_by_model_.end() ? 0 : static_cast<unsigned>(found->second.size());
    }

    unsigned count_engines_without_recent_report(steady_time acquired, std::vector<std::string> const& pools,
                                                 std::string const& model) const
    {
        auto const holders = engines_by_model_.find(model);
        unsigned count = 0;
        for (auto const& entry : states_)
        {
            engine_state const& state = entry.second;
            bool const in_pool =
                pools.empty() || std::find(pools.begin(), pools.end(), state.pool) != pools.end();
            bool const never_reported = !state.report && state.listed_at <= acquired;
            bool const report_too_old = state.report && state.report_at + settled_load_retention < acquired;
            bool const counted =
                holders != engines_by_model_.end() && holders->second.count(entry.first) != 0;
            if (state.listed && (never_reported || report_too_old) && !state.dead && !counted && in_pool)
            {
                ++count;
            }
        }
        return count;
    }

    unsigned loads_in_flight(order_kind kind) const
    {
        unsigned count = 0;
        for (auto const& entry : intents_)
        {
            tracked_intent const& tracked = entry.second;
            if (tracked.what.kind != kind || !tracked.from_weight_store)
            {
                continue;
            }
            // A report lists a subject as soon as its load was accepted. It therefore ends the load only if
            // no answer to the order is expected any more.
            auto const state = states_.find(tracked.what.engine);
            bool const reported =
                state != states_.end() && contents(state->second, kind).count(tracked.what.subject) != 0;
            bool const unanswered = tracked.adopted || tracked.answer_lost_at.has_value();
            bool const over = tracked.state == intent_state::ended || (reported && unanswered);
            count += over ? 0 : 1;
        }
        return count;
    }

    bool has_unresolved_intent(backend_name const& engine, std::string const& subject, bool own_only) const
    {
        return std::any_of(intents_.begin(), intents_.end(),
                           [&](auto const& entry)
                           {
                               tracked_intent const& tracked = entry.second;
                               return tracked.what.engine == engine && tracked.what.subject == subject &&
                                      !(own_only && tracked.adopted);
                           });
    }

    std::set<std::string> held_models() const
    {
        std::set<std::string> names;
        for (auto const& entry : engines_by_model_)
        {
            names.insert(entry.first);
        }
        return names;
    }

private:
    static std::map<std::string, loaded_subject> const& contents(engine_state const& state, order_kind kind)
    {
        return of_model(kind) ? state.models : state.adapters;
    }

    static void end(tracked_intent& tracked, steady_time now, std::uint64_t revision)
    {
        if (tracked.state != intent_state::ended)
        {
            tracked.state = intent_state::ended;
            tracked.ended_at = now;
        }
        if (revision != 0)
        {
            tracked.ended_revision = revision;
        }
    }

    /// Ends adopted intents after the engine has acknowledged an order of `epoch`: it refuses orders of
    /// earlier epochs from now on.
    void end_earlier_epochs(steady_time now, backend_name const& engine, std::uint64_t epoch,
                            std::uint64_t revision)
    {
        for (auto& entry : intents_)
        {
            if (entry.second.adopted && entry.second.epoch <= epoch && entry.second.what.engine == engine)
            {
                end(entry.second, now, revision);
            }
        }
    }

    /// Reverts what end_earlier_epochs() ended: a restarted engine no longer knows the epochs that it had
    /// seen.
    void forget_epochs(backend_name const& engine)
    {
        for (auto& entry : intents_)
        {
            tracked_intent& tracked = entry.second;
            if (tracked.what.engine == engine && tracked.ended_revision != 0)
            {
                tracked.state = intent_state::sent;
                tracked.ended_at.reset();
                tracked.ended_revision = 0;
            }
        }
    }

    void end_if_due(steady_time now, tracked_intent& tracked,
                    std::function<std::optional<steady_time>(instance_id const&)> const& proven_gone_at) const
    {
        if (tracked.adopted)
        {
            auto const gone = proven_gone_at(tracked.what.issuer);
            if (gone && now >= *gone + order_lifetime_)
            {
                end(tracked, now, 0);
            }
            return;
        }
        bool const late = tracked.sent_at && now >= *tracked.sent_at + outcome_timeout;
        // The order may have been sent as late as the time at which its answer was lost.
        if (late || (tracked.answer_lost_at && now >= *tracked.answer_lost_at + order_lifetime_))
        {
            end(tracked, now, 0);
        }
    }

    /// Bytes already reserved or in use for a subject at an engine.
    std::uint64_t reserved(backend_name const& engine, order_kind kind, std::string const& subject) const
    {
        std::uint64_t bytes = 0;
        auto const state = states_.find(engine);
        if (state != states_.end())
        {
            auto const& held = contents(state->second, kind);
            auto const found = held.find(subject);
            bytes = found == held.end() ? 0 : found->second.bytes;
        }
        for (auto const& entry : intents_)
        {
            intent const& what = entry.second.what;
            if (is_load(what.kind) && what.engine == engine && what.subject == subject &&
                of_model(what.kind) == of_model(kind))
            {
                bytes = std::max(bytes, what.bytes);
            }
        }
        return bytes;
    }

    static void replace_contents(steady_time now, std::map<std::string, loaded_subject>& held,
                                 std::map<std::string, std::uint64_t> const& wanted)
    {
        std::map<std::string, loaded_subject> next;
        for (auto const& entry : wanted)
        {
            auto const before = held.find(entry.first);
            next[entry.first] = {entry.second, before == held.end() ? now : before->second.loaded_since};
        }
        held = std::move(next);
    }

    void recompute(steady_time now, backend_name const& name)
    {
        update_contents(now, name);
        reindex(name);
    }

    /// Updates the index of the models that the engine holds or may come to hold.
    void reindex(backend_name const& name)
    {
        std::set<std::string> held;
        auto const state = states_.find(name);
        if (state != states_.end())
        {
            for (auto const& model : state->second.models)
            {
                held.insert(model.first);
            }
        }
        for (auto const& entry : intents_)
        {
            intent const& what = entry.second.what;
            if (what.engine == name && what.kind == order_kind::load_model)
            {
                held.insert(what.subject);
            }
        }
        auto& indexed = models_by_engine_[name];
        for (auto const& model : indexed)
        {
            auto const holders = engines_by_model_.find(model);
            if (held.count(model) == 0 && holders != engines_by_model_.end())
            {
                holders->second.erase(name);
                if (holders->second.empty())
                {
                    engines_by_model_.erase(holders);
                }
            }
        }
        for (auto const& model : held)
        {
            engines_by_model_[model].insert(name);
        }
        indexed = std::move(held);
        if (indexed.empty())
        {
            models_by_engine_.erase(name);
        }
    }

    /// Drops the runs that have ended. A late report of an earlier run looks like a restart, so a run counts
    /// as ended only when reports of another run have come for restart_confirmation_time and none of this run
    /// for max_report_lag. Returns true when a run was dropped.
    static bool forget_ended_runs(engine_runs& runs, std::uint64_t reported)
    {
        engine_run const& current_run = runs.at(reported);
        bool forgot = false;
        for (auto it = runs.begin(); it != runs.end();)
        {
            bool const ended = it->first != reported && current_run.at >= it->second.at + max_report_lag &&
                               current_run.at >= current_run.first + restart_confirmation_time;
            forgot = forgot || ended;
            it = ended ? runs.erase(it) : std::next(it);
        }
        return forgot;
    }

    static void add_contents(engine_run const& run, std::map<std::string, std::uint64_t>& models,
                             std::map<std::string, std::uint64_t>& adapters)
    {
        auto own_models = run.report.models;
        auto own_adapters = run.report.adapters;
        for (auto const& change : run.changes)
        {
            auto& target = of_model(change.second.kind) ? own_models : own_adapters;
            if (is_load(change.second.kind))
            {
                target[change.second.subject] = change.second.bytes;
            }
            else
            {
                target.erase(change.second.subject);
            }
        }
        for (auto const& item : own_models)
        {
            models[item.first] = std::max(models[item.first], item.second);
        }
        for (auto const& item : own_adapters)
        {
            adapters[item.first] = std::max(adapters[item.first], item.second);
        }
    }

    /// The contents are those of the latest report, changed by the acknowledged orders that it does not show
    /// yet, in order of revision. Adds up the used memory, including the intents that are not resolved.
    void update_contents(steady_time now, backend_name const& name)
    {
        auto const found = states_.find(name);
        if (found == states_.end() || !found->second.report)
        {
            return;
        }
        engine_state& state = found->second;
        // While it is not known which run is the current one, the contents of all runs count.
        std::map<std::string, std::uint64_t> models;
        std::map<std::string, std::uint64_t> adapters;
        std::uint64_t used_bytes = 0;
        for (auto const& run : runs_[name])
        {
            add_contents(run.second, models, adapters);
            engine_report const& report = run.second.report;
            used_bytes = std::max(used_bytes, report.prefix_cache_bytes + report.import_bytes);
        }
        replace_contents(now, state.models, models);
        replace_contents(now, state.adapters, adapters);
        std::map<std::pair<bool, std::string>, std::uint64_t> subjects;
        for (auto const& entry : models)
        {
            subjects[{true, entry.first}] = entry.second;
        }
        for (auto const& entry : adapters)
        {
            subjects[{false, entry.first}] = entry.second;
        }
        for (auto const& entry : intents_)
        {
            intent const& what = entry.second.what;
            if (what.engine == name && is_load(what.kind))
            {
                auto& bytes = subjects[{of_model(what.kind), what.subject}];
                bytes = std::max(bytes, what.bytes);
            }
        }
        for (auto const& entry : subjects)
        {
            used_bytes += entry.second;
        }
        state.used_bytes = used_bytes;
    }

    std::string const data_centre_;
    duration const order_lifetime_;
    std::map<backend_name, engine_state> states_;
    std::map<backend_name, engine_runs> runs_; ///< More than one until it is known which runs have ended.
    std::map<std::uint64_t, tracked_intent> intents_;
    std::map<std::string, std::set<backend_name>> engines_by_model_; ///< The engines that replicas() counts.
    std::map<backend_name, std::set<std::string>> models_by_engine_; ///< The reverse index.
};

engine_ledger::engine_ledger(std::string data_centre, double clock_drift)
    : impl_(std::make_unique<implementation>(std::move(data_centre), clock_drift))
{
}
engine_ledger::~engine_ledger() = default;

void engine_ledger::on_instances(steady_time now, std::vector<listed_server> const& servers)
{
    impl_->on_instances(now, servers);
}
void engine_ledger::on_report(steady_time now, engine_report const& report)
{
    impl_->on_report(now, report);
}
bool engine_ledger::on_engine_dead(backend_name const& name)
{
    return impl_->on_engine_dead(name);
}
bool engine_ledger::propose(intent const& what, bool from_weight_store)
{
    return impl_->propose(what, from_weight_store);
}
void engine_ledger::adopt(steady_time now, std::vector<intent> const& intents, instance_id const& self,
                          std::uint64_t epoch)
{
    impl_->adopt(now, intents, self, epoch);
}
void engine_ledger::mark_sent(steady_time now, std::uint64_t id, std::uint64_t epoch)
{
    impl_->mark_sent(now, id, epoch);
}
void engine_ledger::cancel(std::uint64_t id)
{
    impl_->cancel(id);
}
void engine_ledger::forget_adopted()
{
    impl_->forget_adopted();
}
void engine_ledger::on_settled(steady_time now, std::uint64_t id)
{
    impl_->on_settled(now, id);
}
bool engine_ledger::on_outcome(steady_time now, order_outcome const& outcome)
{
    return impl_->on_outcome(now, outcome);
}
std::vector<intent>
engine_ledger::release(steady_time now,
                       std::function<std::optional<steady_time>(instance_id const&)> const& proven_gone_at)
{
    return impl_->release(now, proven_gone_at);
}
std::map<backend_name, engine_state> const& engine_ledger::engines() const
{
    return impl_->engines();
}
std::map<std::uint64_t, tracked_intent> const& engine_ledger::intents() const
{
    return impl_->intents();
}
unsigned engine_ledger::replicas(std::string const& model) const
{
    return impl_->replicas(model);
}
unsigned engine_ledger::count_engines_without_recent_report(steady_time acquired,
                                                            std::vector<std::string> const& pools,
                                                            std::string const& model) const
{
    return impl_->count_engines_without_recent_report(acquired, pools, model);
}
unsigned engine_ledger::loads_in_flight(order_kind kind) const
{
    return impl_->loads_in_flight(kind);
}
bool engine_ledger::has_unresolved_intent(backend_name const& engine, std::string const& subject,
                                          bool own_only) const
{
    return impl_->has_unresolved_intent(engine, subject, own_only);
}
std::set<std::string> engine_ledger::held_models() const
{
    return impl_->held_models();
}

} // namespace siskinusher
