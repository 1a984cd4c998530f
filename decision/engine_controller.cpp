#include "decision/engine_controller.hpp"

#include "core/invariant.hpp"
#include "core/random_source.hpp"
#include "decision/data_centre_lease.hpp"
#include "decision/engine_ledger.hpp"
#include "decision/placement_planner.hpp"
#include "decision/quota_ledger.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <utility>

namespace siskinusher
{

namespace
{

// Without load requests, only the quota is kept up to date.
constexpr duration plan_interval = milliseconds{500};
constexpr duration load_request_plan_interval = milliseconds{100}; // New intents are recorded as often.
constexpr duration poll_interval = seconds{1};
constexpr duration settled_report_interval = seconds{2};
constexpr std::size_t max_history_lines = 32;
constexpr std::size_t max_history_subjects = 16384; // The target is 150 models and 10,000 adapters.

bool is_load(order_kind kind)
{
    return kind == order_kind::load_model || kind == order_kind::load_adapter;
}

data_centre_lease_settings lease_settings_of(controller_settings const& settings)
{
    data_centre_lease_settings result;
    result.self = settings.self;
    result.data_centre = settings.data_centre;
    result.renew_interval = settings.renew_interval;
    result.term = settings.lease_term;
    result.clock_drift = settings.clock_drift;
    return result;
}

char const* name_of(order_result result)
{
    switch (result)
    {
    case order_result::done:
        return "done";
    case order_result::refused_epoch:
        return "refused_epoch";
    case order_result::refused:
        return "refused";
    case order_result::not_sent:
        return "not_sent";
    case order_result::unknown:
        return "unknown";
    }
    return "invalid";
}

} // namespace

class engine_controller::implementation
{
public:
    implementation(controller_settings settings, std::uint64_t seed)
        : settings_(std::move(settings)), random_(seed), lease_(lease_settings_of(settings_), random_.next()),
          quota_(settings_.data_centre, random_.next()), ledger_(settings_.data_centre, settings_.clock_drift)
    {
    }

    void on_config(std::shared_ptr<fleet_config const> config)
    {
        config_ = std::move(config);
        quota_.on_config(config_);
        next_plan_ = steady_time{};
    }

    void on_tick(steady_time now, outbox& out)
    {
        lease_.on_tick(now, out);
        follow_lease(now, out);
        drop_settled(now);
        if (!acting(now))
        {
            report_settled(now, out);
            release_resolved(now);
            return;
        }
        release_resolved(now);
        if (!releasing_)
        {
            plan(now, out);
            quota_.on_tick(now, true, lease_.epoch(), demand_, out);
        }
        poll_engines(now, out);
        send_recorded(now, out);
    }

    void on_store_reply(steady_time now, store_reply const& reply, outbox& out)
    {
        if (reply.owner == store_owner::quota)
        {
            quota_.on_store_reply(now, reply);
            next_plan_ = std::min(next_plan_, now + load_request_plan_interval);
            return;
        }
        lease_.on_store_reply(now, reply, out);
        follow_lease(now, out);
        send_recorded(now, out);
    }

    void on_peer(steady_time now, instance_id const& from, peer_message const& message, outbox& out)
    {
        if (auto const* what = std::get_if<load_request>(&message))
        {
            lease_.on_incarnation(now, from);
            if (lease_.is_recorded_holder())
            {
                accept_load_request(now, from.name, *what);
            }
            return;
        }
        lease_.on_peer(now, from, message, out);
        if (auto const* settled = std::get_if<intent_settled>(&message))
        {
            for (auto id : settled->intent_ids)
            {
                auto const found = ledger_.intents().find(id);
                if (found != ledger_.intents().end() && found->second.what.issuer == from)
                {
                    ledger_.on_settled(now, id);
                }
            }
        }
        follow_lease(now, out);
        send_recorded(now, out);
    }

    void on_incarnation(steady_time now, instance_id const& seen) { lease_.on_incarnation(now, seen); }

    void on_instances(steady_time now, std::vector<listed_server> const& servers)
    {
        lease_.on_instances(now, servers);
        ledger_.on_instances(now, servers);
    }

    void on_report(steady_time now, engine_report const& report) { ledger_.on_report(now, report); }

    void on_engine_dead(steady_time now, backend_name const& name, outbox& out)
    {
        (void)now;
        if (ledger_.on_engine_dead(name))
        {
            out.emplace_back(log_event{"engine_dead", {{"engine", name}}});
        }
    }

    void on_order_outcome(steady_time now, order_outcome const& outcome, outbox& out)
    {
        auto const found = ledger_.intents().find(outcome.intent_id);
        if (found == ledger_.intents().end())
        {
            return;
        }
        intent const what = found->second.what;
        bool const resolved = ledger_.on_outcome(now, outcome);
        record_decision(now, out, "order_ended", what.subject,
                        {{"kind", to_string(what.kind)},
                         {"engine", what.engine},
                         {"result", name_of(outcome.result)},
                         {"revision", std::to_string(outcome.revision)}});
        if (resolved)
        {
            settle(now, what);
        }
        next_plan_ = std::min(next_plan_, now);
    }

    void on_load_request(steady_time now, load_request const& what, outbox& out)
    {
        if (lease_.is_recorded_holder())
        {
            accept_load_request(now, settings_.self.name, what);
            return;
        }
        std::string const holder = lease_.holder().name;
        if (holder.empty() || holder == settings_.self.name)
        {
            return; // The caller repeats the load request until an instance holds the lease.
        }
        auto const key = std::make_pair(what.model, what.adapter);
        auto const last = load_request_sent_.find(key);
        if (last != load_request_sent_.end() && now < last->second + settings_.load_request_interval)
        {
            return;
        }
        if (load_request_sent_.size() >= max_history_subjects)
        {
            load_request_sent_.clear();
        }
        load_request_sent_[key] = now;
        out.emplace_back(send_peer{holder, what});
    }

    bool release(steady_time now, outbox& out)
    {
        releasing_ = true;
        planner_.clear_load_requests();
        cancel_unsent(out, now, "draining");
        for (auto const& entry : ledger_.intents())
        {
            if (!entry.second.adopted && entry.second.state == intent_state::sent)
            {
                return false;
            }
        }
        lease_.release(now, out);
        return true;
    }

    bool holds_lease(steady_time now) const { return lease_.holds(now); }
    std::string holder() const { return lease_.holder().name; }
    std::uint64_t epoch() const { return lease_.epoch(); }
    bool store_reached(steady_time now) const { return lease_.store_reached(now); }

    std::vector<std::string> decision_history(std::string const& model) const
    {
        auto const found = history_.find(model);
        return found == history_.end() ? std::vector<std::string>{}
                                       : std::vector<std::string>{found->second.begin(), found->second.end()};
    }

private:
    using log_fields = std::vector<std::pair<std::string, std::string>>;

    bool acting(steady_time now) const { return lease_.holds(now) && acting_epoch_ == lease_.epoch(); }

    // --- lease changes ---

    void follow_lease(steady_time now, outbox& out)
    {
        bool const recorded = lease_.is_recorded_holder();
        if (acting_epoch_ != 0 && (!recorded || lease_.epoch() != acting_epoch_))
        {
            acting_epoch_ = 0;
            cancel_unsent(out, now, "lease_lost");
            ledger_.forget_adopted();
            planner_.clear_load_requests();
            demand_.clear();
            refused_.clear();
            settled_loads_.clear();
        }
        if (acting_epoch_ == 0 && lease_.holds(now))
        {
            acting_epoch_ = lease_.epoch();
            acquired_at_ = now;
            ledger_.adopt(now, lease_.intents(), settings_.self, acting_epoch_);
            next_plan_ = now;
            // Makes the grants invalid until the first write of this epoch has succeeded.
            quota_.on_tick(now, true, acting_epoch_, demand_, out);
            for (auto const& entry : ledger_.engines())
            {
                poll(entry.first, entry.second, out);
            }
        }
    }

    void cancel_unsent(outbox& out, steady_time now, char const* reason)
    {
        std::vector<intent> unsent;
        for (auto const& entry : ledger_.intents())
        {
            if (entry.second.state == intent_state::proposed)
            {
                unsent.push_back(entry.second.what);
            }
        }
        for (auto const& what : unsent)
        {
            cancel(now, what, reason, out);
        }
    }

    void cancel(steady_time now, intent const& what, std::string const& reason, outbox& out)
    {
        ledger_.cancel(what.id);
        lease_.remove_intent(what.id);
        record_decision(now, out, "order_cancelled", what.subject,
                        {{"kind", to_string(what.kind)}, {"engine", what.engine}, {"reason", reason}});
    }

    /// Removes a resolved intent from the lease record: loads after settled_load_retention, so that a new
    /// holder still counts their replicas, and others at once.
    void settle(steady_time now, intent const& what)
    {
        if (is_load(what.kind))
        {
            settled_loads_.emplace_back(now + settled_load_retention, what.id);
        }
        else
        {
            lease_.remove_intent(what.id);
        }
    }

    void drop_settled(steady_time now)
    {
        while (!settled_loads_.empty() && now >= settled_loads_.front().first)
        {
            lease_.remove_intent(settled_loads_.front().second);
            settled_loads_.pop_front();
        }
    }

    void release_resolved(steady_time now)
    {
        auto const resolved =
            ledger_.release(now, [this](instance_id const& id) { return lease_.proven_gone_at(id); });
        for (auto const& what : resolved)
        {
            settle(now, what);
        }
    }

    /// Reports to the holder which of the intents that it adopted from this instance can no longer take
    /// effect.
    void report_settled(steady_time now, outbox& out)
    {
        if (lease_.is_recorded_holder() || lease_.holder().name.empty() || now < next_settled_report_)
        {
            return;
        }
        next_settled_report_ = now + settled_report_interval;
        intent_settled message;
        for (auto const& what : lease_.recorded_intents())
        {
            if (what.issuer != settings_.self)
            {
                continue;
            }
            auto const own = ledger_.intents().find(what.id);
            if (own == ledger_.intents().end() || own->second.state == intent_state::ended)
            {
                message.intent_ids.push_back(what.id);
            }
        }
        if (!message.intent_ids.empty())
        {
            out.emplace_back(send_peer{lease_.holder().name, std::move(message)});
        }
    }

    // --- planning ---

    void accept_load_request(steady_time now, std::string const& sender, load_request const& what)
    {
        if (releasing_ || !config_ || config_->models.count(what.model) == 0)
        {
            return; // The instance that receives a request for an unknown model refuses it.
        }
        planner_.on_load_request(now, sender, what);
    }

    void plan(steady_time now, outbox& out)
    {
        if (!config_ || now < next_plan_)
        {
            return;
        }
        next_plan_ = now + (planner_.has_load_requests() ? load_request_plan_interval : plan_interval);
        placement_input const input{now,
                                    *config_,
                                    ledger_,
                                    quota_,
                                    acquired_at_,
                                    [&](planned_order const& planned) { return submit(now, planned, out); },
                                    [&](std::string const& model, std::string const& reason)
                                    { refuse(now, model, reason, out); }};
        demand_ = planner_.plan(input);
        if (refused_.size() > max_history_subjects)
        {
            refused_.clear();
        }
    }

    bool submit(steady_time now, planned_order const& planned, outbox& out)
    {
        intent what;
        what.id = random_.next();
        what.issuer = settings_.self;
        what.engine = planned.engine;
        what.kind = planned.kind;
        what.subject = planned.subject;
        what.bytes = planned.bytes;
        if (!ledger_.propose(what, planned.from_weight_store))
        {
            refuse(now, planned.subject, "no_memory", out);
            return false;
        }
        if (!within_bounds(what))
        {
            ledger_.cancel(what.id);
            refuse(now, planned.subject, "invariant", out);
            return false;
        }
        lease_.add_intent(what);
        refused_.erase(planned.subject);
        return record_decision(
            now, out, is_load(what.kind) ? "load_ordered" : "unload_ordered", what.subject,
            {{"kind", to_string(what.kind)}, {"engine", what.engine}, {"reason", planned.reason}});
    }

    /// Checks invariants I1 and I2 over all reservations, independently of the planner.
    bool within_bounds(intent const& what) const
    {
        if (!is_load(what.kind))
        {
            return true;
        }
        engine_state const& state = ledger_.engines().at(what.engine);
        bool const memory =
            check_invariant(state.used_bytes <= state.report->memory_bytes, "I2",
                            "engine=" + what.engine + " used=" + std::to_string(state.used_bytes));
        bool const replicas =
            what.kind != order_kind::load_model ||
            check_invariant(ledger_.replicas(what.subject) <= quota_.usable(what.subject), "I1",
                            "model=" + what.subject +
                                " replicas=" + std::to_string(ledger_.replicas(what.subject)));
        return memory && replicas;
    }

    void refuse(steady_time now, std::string const& model, std::string const& reason, outbox& out)
    {
        std::string& last = refused_[model];
        if (last == reason)
        {
            return; // Logged only when the reason changes, because load requests repeat several times a
                    // second.
        }
        last = reason;
        record_decision(now, out, "load_refused", model, {{"reason", reason}});
        out.emplace_back(count_metric{"siskin_loads_refused_total", reason, 1});
    }

    // --- orders ---

    void send_recorded(steady_time now, outbox& out)
    {
        if (!acting(now))
        {
            return;
        }
        std::vector<intent> due;
        for (auto const& entry : ledger_.intents())
        {
            if (entry.second.state == intent_state::proposed && lease_.is_durable(entry.first))
            {
                due.push_back(entry.second.what);
            }
        }
        for (auto const& what : due)
        {
            std::string const reason = reason_not_to_send(what);
            if (!reason.empty())
            {
                cancel(now, what, reason, out);
                continue;
            }
            ledger_.mark_sent(now, what.id, lease_.epoch());
            std::string const& address = ledger_.engines().at(what.engine).address;
            out.emplace_back(send_order{{what, lease_.epoch(), lease_.lease_until()}, address});
            out.emplace_back(count_metric{"siskin_orders_total", to_string(what.kind), 1});
        }
    }

    /// Why an order that was planned earlier must not be sent now; empty when it may be sent.
    std::string reason_not_to_send(intent const& what) const
    {
        auto const found = ledger_.engines().find(what.engine);
        if (found == ledger_.engines().end() || !found->second.report || found->second.dead)
        {
            return "engine_gone";
        }
        engine_state const& state = found->second;
        if (state.run_uncertain)
        {
            return "engine_restarted";
        }
        if (!is_load(what.kind))
        {
            return {};
        }
        if (state.leaving || config_->draining.count(what.engine) != 0)
        {
            return "engine_leaving";
        }
        if (state.used_bytes > state.report->memory_bytes)
        {
            return "no_memory";
        }
        bool const over = what.kind == order_kind::load_model &&
                          ledger_.replicas(what.subject) > quota_.usable(what.subject);
        return over ? "no_replica_quota" : "";
    }

    void poll(backend_name const& name, engine_state const& state, outbox& out) const
    {
        if (state.listed && !state.dead)
        {
            out.emplace_back(poll_engine{name, state.address});
        }
    }

    /// Polls engines whose report is awaited: a later report resolves an intent, but engines without a change
    /// send none by themselves.
    void poll_engines(steady_time now, outbox& out)
    {
        if (now < next_poll_)
        {
            return;
        }
        next_poll_ = now + poll_interval;
        for (auto const& entry : ledger_.engines())
        {
            bool const awaited = std::any_of(ledger_.intents().begin(), ledger_.intents().end(),
                                             [&](auto const& tracked)
                                             {
                                                 return tracked.second.what.engine == entry.first &&
                                                        (tracked.second.adopted ||
                                                         tracked.second.state == intent_state::ended);
                                             });
            if (awaited || !entry.second.report || entry.second.run_uncertain)
            {
                poll(entry.first, entry.second, out);
            }
        }
    }

    /// Logs a decision about a model or adapter and keeps it for decision_history(). Returns true.
    bool record_decision(steady_time now, outbox& out, char const* event, std::string const& subject,
                         log_fields fields)
    {
        fields.emplace(fields.begin(), "model", subject);
        if (history_.size() < max_history_subjects || history_.count(subject) != 0)
        {
            std::string line =
                "t_ms=" +
                std::to_string(std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count()) +
                " event=" + event;
            for (auto const& field : fields)
            {
                line += " " + field.first + "=" + field.second;
            }
            auto& lines = history_[subject];
            lines.push_back(std::move(line));
            if (lines.size() > max_history_lines)
            {
                lines.pop_front();
            }
        }
        out.emplace_back(log_event{event, std::move(fields)});
        return true;
    }

    controller_settings const settings_;
    random_source random_;
    data_centre_lease lease_;
    quota_ledger quota_;
    engine_ledger ledger_;
    placement_planner planner_;
    std::shared_ptr<fleet_config const> config_;

    // Epoch whose intents the ledger has adopted; zero when not the holder.
    std::uint64_t acting_epoch_ = 0;
    steady_time acquired_at_{};
    bool releasing_ = false;
    std::map<std::string, quota_demand> demand_;
    steady_time next_plan_{};
    steady_time next_poll_{};
    steady_time next_settled_report_{};
    std::deque<std::pair<steady_time, std::uint64_t>> settled_loads_; ///< Recorded loads, by time of removal.
    std::map<std::pair<std::string, std::string>, steady_time> load_request_sent_;
    std::map<std::string, std::string> refused_; ///< Last logged reason by model or adapter.
    std::map<std::string, std::deque<std::string>> history_;
};

engine_controller::engine_controller(controller_settings settings, std::uint64_t seed)
    : impl_(std::make_unique<implementation>(std::move(settings), seed))
{
}
engine_controller::~engine_controller() = default;

void engine_controller::on_config(steady_time, std::shared_ptr<fleet_config const> config, outbox&)
{
    impl_->on_config(std::move(config));
}
void engine_controller::on_tick(steady_time now, outbox& out)
{
    impl_->on_tick(now, out);
}
void engine_controller::on_store_reply(steady_time now, store_reply const& reply, outbox& out)
{
    impl_->on_store_reply(now, reply, out);
}
void engine_controller::on_peer(steady_time now, instance_id const& from, peer_message const& message,
                                outbox& out)
{
    impl_->on_peer(now, from, message, out);
}
void engine_controller::on_incarnation(steady_time now, instance_id const& seen)
{
    impl_->on_incarnation(now, seen);
}
void engine_controller::on_instances(steady_time now, std::vector<listed_server> const& servers, outbox&)
{
    impl_->on_instances(now, servers);
}
void engine_controller::on_report(steady_time now, engine_report const& report, outbox&)
{
    impl_->on_report(now, report);
}
void engine_controller::on_engine_dead(steady_time now, backend_name const& name, outbox& out)
{
    impl_->on_engine_dead(now, name, out);
}
void engine_controller::on_order_outcome(steady_time now, order_outcome const& outcome, outbox& out)
{
    impl_->on_order_outcome(now, outcome, out);
}
void engine_controller::on_load_request(steady_time now, load_request const& what, outbox& out)
{
    impl_->on_load_request(now, what, out);
}
bool engine_controller::release(steady_time now, outbox& out)
{
    return impl_->release(now, out);
}
bool engine_controller::holds_lease(steady_time now) const
{
    return impl_->holds_lease(now);
}
std::string engine_controller::holder() const
{
    return impl_->holder();
}
std::uint64_t engine_controller::epoch() const
{
    return impl_->epoch();
}
bool engine_controller::store_reached(steady_time now) const
{
    return impl_->store_reached(now);
}
std::vector<std::string> engine_controller::decision_history(std::string const& model) const
{
    return impl_->decision_history(model);
}

} // namespace siskinusher
