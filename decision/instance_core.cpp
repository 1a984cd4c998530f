#include "decision/instance_core.hpp"

#include "core/hash.hpp"
#include "core/invariant.hpp"
#include "decision/call_recorder.hpp"
#include "decision/configuration_register.hpp"
#include "decision/engine_controller.hpp"
#include "decision/membership_table.hpp"
#include "decision/request_controller.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace siskinusher
{

namespace
{

constexpr duration summary_interval = seconds{2};
constexpr duration home_poll_interval = milliseconds{500};
constexpr duration housekeeping_interval = milliseconds{20};

/// An instance that is not the home of a server polls it when its last report is older than this.
constexpr duration stale_report_age = seconds{2};

/// An instance is ready at the latest this long after its first instance list, even if some servers have not
/// reported.
constexpr duration first_report_wait = seconds{3};

/// Shortest interval at which an instance polls a server whose home is another instance. It polls again after
/// this time, so that a lost reply does not stop the polling.
constexpr duration non_home_poll_interval = seconds{1};

controller_settings controller_settings_of(instance_settings const& settings)
{
    controller_settings result;
    result.self = settings.self.id;
    result.data_centre = settings.self.data_centre;
    return result;
}

request_settings request_settings_of(instance_settings const& settings)
{
    request_settings result;
    result.self = settings.self.id;
    result.data_centre = settings.self.data_centre;
    result.queue_limit = settings.queue_length;
    return result;
}

recorder_settings recorder_settings_of(instance_settings const& settings)
{
    recorder_settings result;
    result.self = settings.self.id.name;
    return result;
}

register_settings register_settings_of(instance_settings const& settings)
{
    register_settings result;
    result.self = settings.self.id.name;
    for (member const& seed : settings.seeds)
    {
        result.peers.push_back(seed.id.name);
    }
    return result;
}

/// True when the reports differ in more than load figures. Such a change affects routing and is sent to the
/// peers at once; load figures are sent with the next heartbeat.
bool contents_differ(engine_report const& a, engine_report const& b)
{
    return a.boot_id != b.boot_id || a.leaving != b.leaving || a.models != b.models ||
           a.adapters != b.adapters;
}

} // namespace

class instance_core::implementation
{
public:
    implementation(instance_settings settings, std::uint64_t seed)
        : settings_(std::move(settings)), engines_(controller_settings_of(settings_), seed ^ 0x11),
          requests_(request_settings_of(settings_), seed ^ 0x22),
          recorder_(recorder_settings_of(settings_), seed ^ 0x33),
          register_(register_settings_of(settings_), seed ^ 0x44),
          members_(settings_.self.id, settings_.self.data_centre, seeds_with_self(settings_))
    {
    }

    void handle(steady_time now, event const& what, outbox& out)
    {
        std::visit([&](auto const& each) { on(now, each, out); }, what);
        route_module_outputs(now, out);
    }

    instance_status status(steady_time now) const
    {
        instance_status result;
        result.ready = register_.ready() && servers_ready(now) && !draining_;
        result.draining = draining_;
        result.store_reached = engines_.store_reached(now);
        result.config_generation = generation();
        result.lease_holder = engines_.holder();
        result.lease_epoch = engines_.epoch();
        result.holds_lease = engines_.holds_lease(now);
        result.open_requests = requests_.open_requests();
        result.live_members = live_.size();
        result.known_servers = servers_.size();
        result.invariant_violations = invariant_violations();
        return result;
    }

    bool drained() const
    {
        return draining_ && requests_.open_requests() == 0 && recorder_.idle() && lease_released_;
    }

    std::vector<std::string> explain_request(request_number number) const
    {
        return requests_.decision_history(number);
    }
    std::vector<std::string> explain_model(std::string const& model) const
    {
        return engines_.decision_history(model);
    }
    std::shared_ptr<fleet_config const> config() const { return register_.current(); }

private:
    struct server_state
    {
        listed_server listed;
        engine_report report;
        bool reported = false;
        steady_time reported_at{};
        steady_time polled_at{};
        bool load_changed = false; ///< The report is to be sent with the next heartbeat.
        bool home = false;         ///< This instance polls the server on behalf of the data centre.
    };

    static std::vector<member> seeds_with_self(instance_settings const& settings)
    {
        std::vector<member> seeds = settings.seeds;
        seeds.push_back(settings.self);
        return seeds;
    }

    void on(steady_time now, tick const& what, outbox& out)
    {
        recorder_.on_tick(now, what.wall_clock_s, out);
        requests_.on_tick(now, out);
        if (now - last_housekeeping_ < housekeeping_interval)
        {
            return;
        }
        last_housekeeping_ = now;
        members_.on_tick(now);
        refresh_members(now);
        register_.on_tick(now, out);
        engines_.on_tick(now, out);
        if (draining_ && requests_.open_requests() == 0)
        {
            lease_released_ = engines_.release(now, out);
        }
        poll_servers(now, out);
        if (now - last_heartbeat_ >= heartbeat_interval)
        {
            last_heartbeat_ = now;
            send_heartbeats(now, out);
        }
        if (now - last_summary_ >= summary_interval)
        {
            last_summary_ = now;
            send_summary(out);
        }
    }

    void on(steady_time now, request_arrived const& what, outbox& out)
    {
        requests_.on_request(now, what.profile, out);
    }

    void on(steady_time now, attempt_finished const& what, outbox& out)
    {
        requests_.on_attempt_finished(now, what, out);
    }

    void on(steady_time /*now*/, attempt_progress const& what, outbox& /*out*/)
    {
        requests_.on_attempt_progress(what);
    }

    void on(steady_time now, request_cancelled const& what, outbox& out)
    {
        requests_.on_cancelled(now, what.number, out);
    }

    void on(steady_time now, store_reply const& reply, outbox& out)
    {
        switch (reply.owner)
        {
        case store_owner::lease:
        case store_owner::quota:
            engines_.on_store_reply(now, reply, out);
            break;
        case store_owner::records:
            recorder_.on_store_reply(now, reply, out);
            break;
        case store_owner::configuration:
            register_.on_store_reply(now, reply, out);
            break;
        }
    }

    void on(steady_time now, order_outcome const& outcome, outbox& out)
    {
        engines_.on_order_outcome(now, outcome, out);
        if (outcome.result != order_result::done)
        {
            return;
        }
        // Waiting requests can use a loaded model as soon as a report shows it, so poll the engine at once.
        for (auto& each : servers_)
        {
            if (each.second.reported && each.second.report.boot_id == outcome.boot_id)
            {
                poll(now, each.second, out);
            }
        }
    }

    void on(steady_time now, engine_report_received const& what, outbox& out)
    {
        apply_report(now, what.report, true, out);
    }

    void on(steady_time now, engine_unreachable const& what, outbox& out)
    {
        requests_.on_engine_unreachable(now, what, out);
        if (what.refused)
        {
            engines_.on_engine_dead(now, what.name, out);
        }
    }

    void on(steady_time now, instance_list_received const& what, outbox& out)
    {
        list_from_platform_ = true;
        apply_instance_list(now, what.servers, out);
    }

    void apply_instance_list(steady_time now, std::vector<listed_server> const& servers, outbox& out)
    {
        instance_list_ = servers;
        members_.on_instances(now, servers);
        refresh_members(now);
        engines_.on_instances(now, servers, out);
        requests_.on_instances(now, servers, out);
        update_servers(now, servers);
    }

    void on(steady_time now, config_parsed const& what, outbox& out)
    {
        std::shared_ptr<fleet_config const> const before = register_.current();
        register_.on_parsed(now, what, out);
        std::shared_ptr<fleet_config const> const after = register_.current();
        if (after != nullptr && after != before)
        {
            engines_.on_config(now, after, out);
            requests_.on_config(now, after, out);
        }
    }

    void on(steady_time now, drain_requested const& /*what*/, outbox& out)
    {
        if (draining_)
        {
            return;
        }
        draining_ = true;
        requests_.drain(now);
        // Tells the peers at once that they are to take over the homes and shards of this instance.
        send_heartbeats(now, out);
    }

    void on(steady_time now, peer_received const& what, outbox& out)
    {
        engines_.on_incarnation(now, what.from);
        std::visit([&](auto const& message) { on_message(now, what.from, message, what.message, out); },
                   what.message);
    }

    void on_message(steady_time now, instance_id const& from, server_list const& list,
                    peer_message const& /*whole*/, outbox& out)
    {
        // A list from the platform is at least as new as one from a peer. A peer's list usually lacks this
        // instance, which has just started, so that no other instance counts as gone because of it.
        if (!list_from_platform_ && data_centre_of(from.name) == settings_.self.data_centre)
        {
            out.emplace_back(log_event{"server_list_from_peer", {{"peer", from.name}}});
            apply_instance_list(now, list.servers, out);
            listed_at_ = listed_at_.value_or(now);
        }
    }

    /// Sends the last instance list to a newly started instance of this data centre, which may be unable to
    /// reach the platform.
    void send_server_list(instance_id const& from, heartbeat const& beat, outbox& out)
    {
        bool const sent = list_sent_incarnations_[from.name] == from.incarnation;
        if (sent || beat.data_centre != settings_.self.data_centre || instance_list_.empty())
        {
            return;
        }
        list_sent_incarnations_[from.name] = from.incarnation;
        out.emplace_back(send_peer{from.name, server_list{instance_list_}});
    }

    void on_message(steady_time now, instance_id const& from, heartbeat const& beat,
                    peer_message const& whole, outbox& out)
    {
        send_server_list(from, beat, out);
        members_.on_heartbeat(now, from, beat);
        refresh_members(now);
        register_.on_peer(now, from, whole, out);
        engines_.on_peer(now, from, whole, out);
    }

    void on_message(steady_time now, instance_id const& /*from*/, engine_reports const& reports,
                    peer_message const& /*whole*/, outbox& out)
    {
        for (engine_report const& report : reports.reports)
        {
            apply_report(now, report, false, out);
        }
    }

    void on_message(steady_time now, instance_id const& from, data_centre_summary const& summary,
                    peer_message const& whole, outbox& out)
    {
        if (summary.data_centre == settings_.self.data_centre)
        {
            return;
        }
        requests_.on_peer(now, from, whole, out);
        if (data_centre_of(from.name) != summary.data_centre)
        {
            return; // An instance of this data centre has relayed it already.
        }
        for (member const& each : live_)
        {
            if (each.data_centre == settings_.self.data_centre && each.id.name != settings_.self.id.name)
            {
                out.emplace_back(send_peer{each.id.name, whole});
            }
        }
    }

    /// Handles the messages that only one module needs.
    template <typename Message>
    void on_message(steady_time now, instance_id const& from, Message const& /*message*/,
                    peer_message const& whole, outbox& out)
    {
        using type = std::decay_t<Message>;
        if constexpr (std::is_same_v<type, config_fetch> || std::is_same_v<type, config_text>)
        {
            register_.on_peer(now, from, whole, out);
        }
        else if constexpr (std::is_same_v<type, record_begin> || std::is_same_v<type, record_finish> ||
                           std::is_same_v<type, record_result>)
        {
            recorder_.on_peer(now, from, whole, out);
        }
        else if constexpr (std::is_same_v<type, load_request> || std::is_same_v<type, promise_request> ||
                           std::is_same_v<type, promise_reply> || std::is_same_v<type, relay_write> ||
                           std::is_same_v<type, relay_result> || std::is_same_v<type, intent_settled>)
        {
            engines_.on_peer(now, from, whole, out);
        }
        else
        {
            requests_.on_peer(now, from, whole, out);
        }
    }

    /// Passes the outputs of each module to the module that processes them.
    void route_module_outputs(steady_time now, outbox& out)
    {
        for (load_request const& each : requests_.take_load_requests())
        {
            engines_.on_load_request(now, each, out);
        }
        for (call_entry const& entry : requests_.take_finished_calls())
        {
            recorder_.finish(now, entry, out);
        }
        for (call_start const& start : requests_.take_call_starts())
        {
            recorder_.begin(now, start, out);
        }
        for (call_start_result const& result : recorder_.take_results())
        {
            requests_.on_call_start_result(now, result, out);
        }
    }

    void apply_report(steady_time now, engine_report const& report, bool polled_here, outbox& out)
    {
        auto const found = servers_.find(report.name);
        if (found == servers_.end())
        {
            return; // Not in the instance list of this data centre.
        }
        server_state& server = found->second;
        bool const older = server.reported && server.report.boot_id == report.boot_id &&
                           report.revision < server.report.revision;
        if (older)
        {
            return; // Reports may arrive out of order.
        }
        bool const contents = !server.reported || contents_differ(server.report, report);
        bool const changed = contents || server.report != report;
        server.report = report;
        server.reported = true;
        server.reported_at = now;
        requests_.on_report(now, report, out);
        engines_.on_report(now, report, out);
        if (!polled_here || !changed)
        {
            return;
        }
        if (contents)
        {
            send_reports({report}, out);
        }
        else
        {
            server.load_changed = true;
        }
    }

    /// False until the backend servers have been listed and have all reported, or first_report_wait has
    /// passed. Before that, requests would be refused for lack of a server.
    bool servers_ready(steady_time now) const
    {
        if (!listed_at_)
        {
            return false;
        }
        auto const reported = [](auto const& each) { return each.second.reported; };
        return now - *listed_at_ >= first_report_wait ||
               std::all_of(servers_.begin(), servers_.end(), reported);
    }

    void update_servers(steady_time now, std::vector<listed_server> const& servers)
    {
        // The list lags behind: while it does not show this instance, it may lack backend servers too.
        auto const is_self = [this](listed_server const& each)
        { return each.name == settings_.self.id.name; };
        if (!listed_at_ && std::any_of(servers.begin(), servers.end(), is_self))
        {
            listed_at_ = now;
        }
        std::set<backend_name> listed;
        for (listed_server const& each : servers)
        {
            if (each.kind == listed_kind::instance || each.data_centre != settings_.self.data_centre)
            {
                continue;
            }
            listed.insert(each.name);
            auto const added = servers_.try_emplace(each.name);
            added.first->second.listed = each;
            if (added.second)
            {
                added.first->second.home = is_home_of(each.name);
            }
        }
        for (auto server = servers_.begin(); server != servers_.end();)
        {
            server = listed.count(server->first) == 0 ? servers_.erase(server) : std::next(server);
        }
    }

    void refresh_members(steady_time now)
    {
        // This function runs at every housekeeping tick and heartbeat, and copying the members of a large
        // fleet takes long.
        if (members_.revision() == members_revision_ && draining_ == members_draining_)
        {
            return;
        }
        members_revision_ = members_.revision();
        members_draining_ = draining_;
        std::vector<member> live = members_.live();
        for (member& each : live)
        {
            if (each.id.name == settings_.self.id.name)
            {
                each.draining = draining_;
            }
        }
        if (live == live_)
        {
            return;
        }
        live_ = std::move(live);
        home_candidates_.clear();
        for (member const& each : live_)
        {
            if (each.data_centre == settings_.self.data_centre && !each.draining)
            {
                home_candidates_.push_back(each.id.name);
            }
        }
        for (auto& each : servers_)
        {
            each.second.home = is_home_of(each.first);
        }
        requests_.on_members(now, live_);
        recorder_.on_members(now, live_);
        register_.on_members(now, live_);
    }

    bool is_home_of(backend_name const& server) const
    {
        return rendezvous_first(server, home_candidates_) == settings_.self.id.name;
    }

    void poll_servers(steady_time now, outbox& out)
    {
        for (auto& each : servers_)
        {
            server_state& server = each.second;
            bool const stale = !server.reported || now - server.reported_at >= stale_report_age;
            duration const interval = server.home ? home_poll_interval : non_home_poll_interval;
            if ((server.home || stale) && now - server.polled_at >= interval)
            {
                poll(now, server, out);
            }
        }
    }

    static void poll(steady_time now, server_state& server, outbox& out)
    {
        server.polled_at = now;
        out.emplace_back(poll_engine{server.listed.name, server.listed.address});
    }

    void send_heartbeats(steady_time now, outbox& out)
    {
        heartbeat beat;
        beat.data_centre = settings_.self.data_centre;
        beat.config_generation = generation();
        beat.lease_epoch = engines_.epoch();
        beat.lease_holder = engines_.holder();
        beat.draining = draining_;
        beat.knows_store = engines_.store_reached(now);
        for (std::string const& target : members_.heartbeat_targets())
        {
            out.emplace_back(send_peer{target, beat});
        }
        std::vector<engine_report> changed;
        for (auto& each : servers_)
        {
            if (std::exchange(each.second.load_changed, false))
            {
                changed.push_back(each.second.report);
            }
        }
        send_reports(std::move(changed), out);
    }

    void send_reports(std::vector<engine_report> reports, outbox& out)
    {
        if (reports.empty())
        {
            return;
        }
        engine_reports const message{std::move(reports)};
        for (member const& each : live_)
        {
            if (each.data_centre == settings_.self.data_centre && each.id.name != settings_.self.id.name)
            {
                out.emplace_back(send_peer{each.id.name, message});
            }
        }
    }

    /// Sends the free places of this data centre to one instance of each other data centre. Only one instance
    /// of this data centre sends them: the lease holder or, if it is not live or drains, the first instance
    /// that is live and does not drain.
    void send_summary(outbox& out)
    {
        std::string const holder = engines_.holder();
        bool const holder_live =
            std::find(home_candidates_.begin(), home_candidates_.end(), holder) != home_candidates_.end();
        std::string const sender =
            holder_live || home_candidates_.empty() ? holder : home_candidates_.front();
        if (sender != settings_.self.id.name)
        {
            return;
        }
        data_centre_summary summary;
        summary.data_centre = settings_.self.data_centre;
        summary.sequence = ++summary_sequence_;
        for (auto const& each : servers_)
        {
            engine_report const& report = each.second.report;
            unsigned const busy = report.running + report.waiting;
            unsigned const free = report.leaving || busy >= report.places ? 0 : report.places - busy;
            for (auto const& model : report.models)
            {
                summary.free_places[model.first] += free;
            }
        }
        std::set<std::string> reached{settings_.self.data_centre};
        for (member const& each : live_)
        {
            if (!each.draining && reached.insert(each.data_centre).second)
            {
                out.emplace_back(send_peer{each.id.name, summary});
            }
        }
    }

    std::string data_centre_of(std::string const& instance) const
    {
        for (member const& each : live_)
        {
            if (each.id.name == instance)
            {
                return each.data_centre;
            }
        }
        return {};
    }

    std::uint64_t generation() const
    {
        std::shared_ptr<fleet_config const> const config = register_.current();
        return config == nullptr ? 0 : config->generation;
    }

    instance_settings const settings_;
    engine_controller engines_;
    request_controller requests_;
    call_recorder recorder_;
    configuration_register register_;
    membership_table members_;

    std::vector<member> live_;
    std::uint64_t members_revision_ = 0;       ///< Revision of the membership table that live_ shows.
    bool members_draining_ = false;            ///< Value of draining_ that live_ shows.
    std::vector<std::string> home_candidates_; ///< Names of the live instances of this data centre, sorted.
    std::map<backend_name, server_state> servers_; ///< Backend servers of this data centre.
    std::vector<listed_server> instance_list_;     ///< Last instance list.
    bool list_from_platform_ = false;
    /// Incarnation that was sent the list, by instance.
    std::map<std::string, std::uint64_t> list_sent_incarnations_;
    std::optional<steady_time> listed_at_; ///< When a list first showed this instance or came from a peer.
    bool draining_ = false;
    bool lease_released_ = false;
    std::uint64_t summary_sequence_ = 0;
    steady_time last_housekeeping_{};
    steady_time last_heartbeat_{};
    steady_time last_summary_{};
};

instance_core::instance_core(instance_settings settings, std::uint64_t seed)
    : impl_(std::make_unique<implementation>(std::move(settings), seed))
{
}

instance_core::~instance_core() = default;

void instance_core::handle(steady_time now, event const& what, outbox& out)
{
    impl_->handle(now, what, out);
}

instance_status instance_core::status(steady_time now) const
{
    return impl_->status(now);
}

bool instance_core::drained(steady_time /*now*/) const
{
    return impl_->drained();
}

std::vector<std::string> instance_core::explain_request(request_number number) const
{
    return impl_->explain_request(number);
}

std::vector<std::string> instance_core::explain_model(std::string const& model) const
{
    return impl_->explain_model(model);
}

std::shared_ptr<fleet_config const> instance_core::config() const
{
    return impl_->config();
}

} // namespace siskinusher
