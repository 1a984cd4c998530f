#include "apps/placement_service.hpp"

#include "adapters/boot_clock.hpp"
#include "adapters/http_message.hpp"
#include "adapters/outbound_pool.hpp"
#include "adapters/placement_codec.hpp"
#include "adapters/ports.hpp"
#include "adapters/quota_codec.hpp"
#include "apps/forwarded_call.hpp"
#include "apps/state_follower.hpp"
#include "core/hash.hpp"
#include "decision/standby_choice.hpp"
#include "decision/stream_register.hpp"
#include "platform/backend_entry_codec.hpp"
#include "platform/lease_record_codec.hpp"
#include "platform/metadata_store.hpp"
#include "platform/order_codec.hpp"
#include "platform/request_codec.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <openssl/crypto.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <unordered_map>
#include <utility>

namespace siskinusher
{

namespace
{

// Interval between checks of the lease and the plan; well below the 0.28 s that a load from memory takes.
constexpr duration tick_interval = milliseconds{50};
// Intervals of demand reports: short while requests wait for a model, otherwise as short as the measurement
// of request rates needs. The shorter one is multiplied by the square root of the number of instances,
// or of 9 if there are fewer.
constexpr duration report_interval = milliseconds{500};
constexpr duration waiting_report_interval = milliseconds{20};
// Shortest interval between two plans, and between two encodings of a reply. Each plan looks at every engine
// for every model that is asked for.
constexpr duration min_plan_interval = milliseconds{15};
// After a plan, no further plan is made for this many times its duration, so that other work can run.
constexpr int plan_pause_factor = 4;
// An engine answers an order after one round trip between regions; a longer wait means that it does not
// answer.
constexpr duration order_time_limit = milliseconds{700};
// Epoch of the first lease of a deployment.
constexpr std::uint64_t first_epoch = 1;
// Begun streams are reported after this time, so that few are unknown when their instance is lost.
constexpr duration stream_report_interval = milliseconds{100};
constexpr duration report_time_limit = milliseconds{400};
// Interval of questions to a standby while there is no holder; the same as that of reports.
constexpr duration standby_interval = milliseconds{500};
// After the holder is lost, the standbys, which claim the lease first, read its record within this time.
constexpr duration lease_read_spread = milliseconds{50};
// The other instances read it within a time that grows with the fleet, so that 1,000 reads a second are made.
constexpr duration lease_read_spread_per_instance = milliseconds{1};
// The standbys are chosen again after this time at most.
constexpr duration standby_choice_interval = seconds{1};
// With organisations, requests wait for the holder. A lease call without an answer for this time is tried
// again, and then through a peer, before the lease has run out 1.5 s after the last renewal. A slow store
// answers within 200 ms.
constexpr duration urgent_lease_limit = milliseconds{300};
// Limit for a store call that is made for a peer; a watch is the call that waits longest.
constexpr duration max_relay_time = seconds{4};
constexpr char const* key_scheme = "Bearer ";

bool same_secret(std::string const& a, std::string const& b)
{
    return a.size() == b.size() && !a.empty() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

char const* to_string(engine_order_result result)
{
    switch (result)
    {
    case engine_order_result::accepted:
        return "accepted";
    case engine_order_result::already_holds:
        return "already_holds";
    case engine_order_result::conflict:
        return "conflict";
    case engine_order_result::refused:
        return "refused";
    case engine_order_result::not_sent:
        return "not_sent";
    case engine_order_result::unknown:
        break;
    }
    return "unknown";
}

// What the holder knows of an instance that reports to it.
struct known_peer
{
    steady_time reported_at;
    std::string data_centre;
    bool cut_off = false;
};

// An instance that has not reported for this long is no relay for others.
constexpr duration relay_lifetime = milliseconds{1500};
// More do not help an instance that is cut off, and each costs some 20 bytes in each reply to it.
constexpr std::size_t max_relays = 8;

} // namespace

class placement_service::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(boost::asio::io_context& loop, outbound_pool& pool_in, platform::metadata_store& store_in,
                   log_port& log_in, metric_port& metrics_in, placement_service_settings settings_in,
                   state_follower& state_in, stream_register& streams_in, demand_source demand_in,
                   placement_update_handler on_placement_update_in, streams_handler on_streams_in)
        : pool(pool_in), store(store_in), log(log_in), metrics(metrics_in), settings(std::move(settings_in)),
          state(state_in), streams(streams_in), demand(std::move(demand_in)),
          on_placement_update(std::move(on_placement_update_in)), on_streams(std::move(on_streams_in)),
          timer(loop),
          lease(settings.name, settings.peer_address, settings.proposed_peer_key, settings.lease),
          planner(settings.rotation), quotas(settings.quotas)
    {
    }

    void tick()
    {
        steady_time const now = boot_now();
        step_lease(now);
        update_lease_state(now);
        bool const tells_streams =
            !lease_held && now - streams_reported_at >= stream_report_interval && streams.has_unreported();
        if ((now >= next_report || tells_streams) && !reporting)
        {
            report(now);
        }
        bool const wants_standby = state.wants_standby();
        if (wants_standby && !wanted_standby)
        {
            lease.on_holder_lost(now, lease_read_delay());
        }
        wanted_standby = wants_standby;
        if (wants_standby && !asking_standby && now >= next_standby_question)
        {
            ask_standby(now);
        }
        if (now >= next_plan)
        {
            plan(now);
        }
        if (has_organisations && lease_held)
        {
            log_quota_changes(now);
        }
        timer.expires_after(tick_interval);
        timer.async_wait(
            [weak = weak_from_this()](boost::system::error_code error)
            {
                auto const self = weak.lock();
                if (!error && self)
                {
                    self->tick();
                }
            });
    }

    void step_lease(steady_time now)
    {
        auto const step = lease.next_call(now);
        if (!step)
        {
            return;
        }
        if (std::holds_alternative<lease_read>(*step))
        {
            read_lease(std::get<lease_read>(*step).allow_stale);
            return;
        }
        write_lease(std::get<lease_write>(*step));
    }

    void read_lease(bool allow_stale)
    {
        store.get(
            platform::lease_kind, platform::lease_name, allow_stale && lease.record() != nullptr,
            [self = shared_from_this()](platform::store_answer<platform::store_object> answer)
            {
                steady_time const now = boot_now();
                if (auto const* const object = std::get_if<platform::store_object>(&answer))
                {
                    self->lease.on_read(now, platform::decode_lease_record(object->spec), object->revision);
                }
                else if (std::get<platform::store_failure>(answer) == platform::store_failure::absent)
                {
                    self->lease.on_read(now, std::nullopt, {self->store.era(), 0});
                }
                else
                {
                    self->lease.on_call_lost(now);
                }
            },
            lease_call_limit());
    }

    duration lease_call_limit() const
    {
        return has_organisations && lease_held ? urgent_lease_limit : platform::metadata_store::call_limit;
    }

    void log_claim(lease_write const& write,
                   platform::store_answer<platform::store_object> const& answer) const
    {
        auto const* const failure = std::get_if<platform::store_failure>(&answer);
        log.write({"lease_claim",
                   {{"epoch", std::to_string(write.record.epoch)},
                    {"condition", to_string(write.revision)},
                    {"outcome", failure == nullptr ? "written" : platform::to_string(*failure)}}});
    }

    void write_lease(lease_write const& write)
    {
        bool const claims = write.record.epoch != lease.epoch();
        store.put(
            platform::lease_kind, platform::lease_name, write.revision,
            platform::encode_lease_record(write.record),
            [self = shared_from_this(), claims, write,
             sent_at = boot_now()](platform::store_answer<platform::store_object> answer)
            {
                steady_time const now = boot_now();
                if (claims)
                {
                    self->log_claim(write, answer);
                }
                if (auto const* const object = std::get_if<platform::store_object>(&answer))
                {
                    self->lease.on_written(now, object->revision);
                    self->state.on_renewed(object->revision, sent_at);
                    return;
                }
                auto const failure = std::get<platform::store_failure>(answer);
                switch (failure)
                {
                case platform::store_failure::unclear:
                    self->lease.on_call_lost(now);
                    break;
                case platform::store_failure::rejected:
                    self->lease.on_write_refused(now);
                    break;
                default:
                    self->lease.on_write_conflict(now);
                    break;
                }
            },
            lease_call_limit());
    }

    void update_lease_state(steady_time now)
    {
        order_lease_record const* const record = lease.record();
        if (record != nullptr && record->holder != settings.name && !record->peer_address.empty())
        {
            other_holder_address = record->peer_address;
        }
        bool const holds = lease.may_send_orders(now);
        if (holds != lease_held)
        {
            lease_held = holds;
            if (holds)
            {
                // A lease that lapsed and was renewed by the same record had no other holder in between, and
                // the first one has none before it.
                bool const same_record = quota_epoch == lease.epoch();
                planner.begin_lease(now, same_record || lease.epoch() <= first_epoch
                                             ? earlier_orders::own_only
                                             : earlier_orders::of_other_holders);
                if (!same_record)
                {
                    quota_epoch = lease.epoch();
                    quotas.begin_lease(now);
                }
                else
                {
                    quotas.resume_lease(now);
                }
            }
            state.on_lease(holds);
            log.write({holds ? "lease_gained" : "lease_lost", {{"epoch", std::to_string(lease.epoch())}}});
        }
    }

    void report(steady_time now)
    {
        demand_report own = demand();
        self_cut_off = own.cut_off;
        self_data_centre = own.data_centre;
        own.servers_position = state.position();
        own.crash_marks_digest = state.crashes_digest();
        own.new_crash_marks = state.new_crashes();
        own.config = state.config_for(holder_config);
        own.streams = streams.unreported();
        own.sent_early = now < next_full_report;
        next_full_report = own.sent_early ? next_full_report : now + report_interval;
        bool const waits = std::any_of(own.models.begin(), own.models.end(),
                                       [](model_demand const& each) { return each.waiting > 0; });
        // The holder's work grows with the number of reports, so each instance reports less often in a larger
        // fleet.
        auto const waiting_interval = std::chrono::duration_cast<duration>(
            waiting_report_interval * std::sqrt(static_cast<double>(std::max(instances, 9U))));
        next_report = now + (waits ? std::min(waiting_interval, report_interval) : report_interval);
        streams_reported_at = now;
        if (lease.may_send_orders(now))
        {
            load.on_report(now, own);
            planner.on_demand(now, own);
            placement_update placement = placement_update_at(now, false);
            placement.grants = limits.grant(now, own.limits);
            tell_relays(own.cut_off, relays_for(now, own));
            instances = placement.instances;
            on_placement_update(placement);
            return;
        }
        order_lease_record const* const record = lease.record();
        if (record == nullptr || record->peer_address.empty() || record->holder == settings.name)
        {
            return;
        }
        http_call call;
        call.method = "POST";
        call.path = demand_path;
        call.headers = {{"Authorization", key_scheme + record->peer_key},
                        {"Content-Type", "application/cbor"}};
        call.body = encode_demand(own);
        reporting = true;
        pool.call(record->peer_address, call, report_time_limit,
                  [self = shared_from_this(), told = own.streams.size(), asked_at = boot_now()](
                      http_outcome const& outcome) { self->on_report_answer(outcome, told, asked_at); });
    }

    // `told` is the number of begun streams in the report, which was sent at `asked_at`.
    void on_report_answer(http_outcome const& outcome, std::size_t told, steady_time asked_at)
    {
        reporting = false;
        auto const reply = outcome.status == 200 ? decode_reply(outcome.body) : std::nullopt;
        if (holder_reached != reply.has_value())
        {
            holder_reached = reply.has_value();
            log.write({holder_reached ? "holder_reached" : "holder_lost",
                       {{"status", std::to_string(outcome.status)},
                        {"why", outcome.status == 200 && !reply ? "unreadable reply" : outcome.why}}});
        }
        if (reply)
        {
            instances = reply->placement.instances;
            holder_config = reply->config;
            holder_config.text.clear();
            take_standbys(decode_standbys(outcome.headers));
            streams.on_reported(told);
            for (stream_versions const& each : reply->versions)
            {
                streams.on_recorded(boot_now(), each, true);
            }
            streams.on_confirmed(asked_at);
            state.on_reply(*reply, told_by(outcome, asked_at));
            if (!state.wants_standby())
            {
                lease.on_holder_reply(boot_now());
            }
            tell_relays(self_cut_off, reply->relays);
            on_placement_update(reply->placement);
        }
        else if (outcome.status != 0 || !outcome.sent)
        {
            if (auto const crashes = outcome.status == 409 ? decode_crash_marks(outcome.body) : std::nullopt)
            {
                state.on_former_holder_crashes(*crashes);
            }
            state.on_holder_lost();
        }
    }

    // A time after the loss of the holder that differs between instances.
    duration lease_read_delay() const
    {
        bool const is_standby = !standbys.empty() && standbys.front() == settings.peer_address;
        duration const spread =
            is_standby ? lease_read_spread
                       : std::max<duration>(lease_read_spread, lease_read_spread_per_instance * instances);
        return duration{static_cast<duration::rep>(stable_hash(settings.peer_address) %
                                                   static_cast<std::uint64_t>(spread.count()))};
    }

    void take_standbys(std::vector<std::string> told)
    {
        if (told == standbys)
        {
            return;
        }
        standbys = std::move(told);
        bool const is_standby = !standbys.empty() && standbys.front() == settings.peer_address;
        bool const knows_others = standbys.size() > (is_standby ? 1U : 0U);
        next_standby = 0;
        state.on_standbys(is_standby, knows_others);
        set_claim_order();
        std::string names;
        for (std::string const& each : standbys)
        {
            names.append(names.empty() ? "" : ",").append(each);
        }
        log.write({"standbys", {{"addresses", names}, {"self", is_standby ? "true" : "false"}}});
    }

    // With organisations, requests wait for the holder: an instance with little processor and a narrow link
    // leaves the reports of a fleet unanswered after it has become the holder.
    void set_claim_order()
    {
        bool const is_standby = !standbys.empty() && standbys.front() == settings.peer_address;
        bool const knows_others = standbys.size() > (is_standby ? 1U : 0U);
        bool const goes_first = has_organisations ? settings.suits_as_holder : is_standby;
        lease.defer_claims(knows_others && !goes_first);
    }

    // A question is a report without demand: the standby needs to know only what this instance knows.
    void ask_standby(steady_time now)
    {
        order_lease_record const* const record = lease.record();
        if (record == nullptr || standbys.empty())
        {
            return;
        }
        demand_report own;
        own.instance = settings.name;
        own.peer_address = settings.peer_address;
        own.servers_position = state.position();
        own.crash_marks_digest = state.crashes_digest();
        own.new_crash_marks = state.new_crashes();
        own.config = state.config_for(standby_config);
        http_call call;
        call.method = "POST";
        call.path = state_path;
        call.headers = {{"Authorization", key_scheme + record->peer_key},
                        {"Content-Type", "application/cbor"}};
        call.body = encode_demand(own);
        std::string const address = standbys[next_standby % standbys.size()];
        next_standby_question = now + standby_interval;
        asking_standby = true;
        metrics.add("siskin_standby_questions_total", "", 1);
        pool.call(address, call, report_time_limit,
                  [self = shared_from_this(), address, asked_at = boot_now()](http_outcome const& outcome)
                  { self->on_standby_answer(address, outcome, asked_at); });
    }

    // What a reply to a question that was sent at `asked_at` proves. The reply may have waited, at an
    // instance that stood still, for any time since then. Replies of older builds prove nothing: their age of
    // the state counts from when they were told it, not from when they asked.
    static told_currency told_by(http_outcome const& outcome, steady_time asked_at)
    {
        auto const told = decode_config_age(outcome.headers);
        return {told.age ? asked_at - *told.age : steady_time{}, told.stated && !told.age};
    }

    void on_standby_answer(std::string const& address, http_outcome const& outcome, steady_time asked_at)
    {
        asking_standby = false;
        auto const reply = outcome.status == 200 ? decode_reply(outcome.body) : std::nullopt;
        if (!reply)
        {
            log.write({"standby_lost",
                       {{"standby", address},
                        {"status", std::to_string(outcome.status)},
                        {"why", outcome.status == 200 ? "unreadable reply" : outcome.why}}});
            ++next_standby;
            next_standby_question = {}; // The next one is asked at once.
            return;
        }
        standby_config = reply->config;
        standby_config.text.clear();
        state.on_standby_reply(*reply, told_by(outcome, asked_at));
    }

    // Answers a question for the state. Its age tells whether it is of use.
    void answer_state_question(caller_exchange& call, demand_report const& report)
    {
        if (!state.servers_known())
        {
            call.answer(503, "", "");
            return;
        }
        auto const crashes = state.crashes_since(report.crash_marks_digest);
        call.answer(200, "Content-Type: application/cbor\r\n" + encoded_config_age(),
                    encode_reply(encode_placement_update({}), encoded_update(boot_now(), report),
                                 crashes ? encode_crash_marks(*crashes) : std::string(), {},
                                 state.config_for(report.config), {}, {}, state.age()));
    }

    // Only organisations need it.
    std::string encoded_config_age() const
    {
        steady_time const current_at = state.config_current_at();
        auto const age =
            current_at == steady_time{} ? std::nullopt : std::optional<duration>(boot_now() - current_at);
        return has_organisations ? encode_config_age(age) : std::string();
    }

    std::string encoded_standbys(steady_time now, demand_report const& report)
    {
        if (now - standbys_chosen_at >= standby_choice_interval)
        {
            standbys_chosen_at = now;
            std::vector<peer_relay> reporting;
            for (auto const& [address, peer] : peers)
            {
                if (!peer.cut_off && now - peer.reported_at < relay_lifetime)
                {
                    reporting.push_back({address, peer.data_centre});
                }
            }
            chosen_standbys = choose_standbys(reporting);
        }
        return encode_standbys(standbys_of({report.peer_address, report.data_centre}, chosen_standbys));
    }

    // An instance of an older build does not name the service, and is told of known streams only.
    void answer_stream_question(caller_exchange& call) const
    {
        constexpr char const* text_line = "Content-Type: text/plain\r\n";
        std::string const& service = call.head().fields.value(stream_service_header);
        auto const version = streams.find(call.body());
        if (version)
        {
            call.answer(200, text_line, *version);
            return;
        }
        bool const any = !service.empty() && std::holds_alternative<any_version>(
                                                 streams.choose(boot_now(), service, call.body()));
        call.answer(any ? 204 : 404, any ? "" : text_line, "");
    }

    void tell_relays(bool wanted, std::vector<peer_relay> const& relays)
    {
        if (wanted && on_relays)
        {
            on_relays(relays);
        }
    }

    // Instances that reach servers, for one that does not: those of its data centre first. The others begin
    // at a place that differs between instances, so that not all use the same ones.
    std::vector<peer_relay> relays_for(steady_time now, demand_report const& report) const
    {
        std::vector<peer_relay> found;
        if (!report.cut_off)
        {
            return found;
        }
        std::vector<peer_relay> others;
        for (auto const& [address, peer] : peers)
        {
            if (!peer.cut_off && now - peer.reported_at < relay_lifetime && address != report.peer_address)
            {
                auto& list = peer.data_centre == report.data_centre ? found : others;
                list.push_back({address, peer.data_centre});
            }
        }
        if (!others.empty())
        {
            auto const first = stable_hash(report.peer_address) % others.size();
            std::rotate(others.begin(), others.begin() + static_cast<std::ptrdiff_t>(first), others.end());
        }
        if (!self_cut_off && report.peer_address != settings.peer_address)
        {
            others.push_back({settings.peer_address, self_data_centre});
        }
        found.insert(found.end(), others.begin(), others.end());
        found.resize(std::min(found.size(), max_relays));
        return found;
    }

    placement_update placement_update_at(steady_time now, bool sent_early) const
    {
        placement_update placement = planner.current_placement_update(now);
        if (!sent_early)
        {
            placement.running = load.totals(now);
        }
        return placement;
    }

    // Reuses encoded parts of replies: hundreds of instances report at almost the same time, and most of them
    // have the same update position.
    std::string encoded_reply(steady_time now, demand_report const& report)
    {
        std::string const& update = encoded_update(now, report);
        std::string& placement = placement_bytes[report.sent_early ? 1 : 0];
        if (placement.empty())
        {
            placement = encode_placement_update(placement_update_at(now, report.sent_early));
        }
        auto const crashes = state.crashes_since(report.crash_marks_digest);
        return encode_reply(placement, update, crashes ? encode_crash_marks(*crashes) : std::string(),
                            limits.grant(now, report.limits), state.config_for(report.config),
                            streams.recorded(), relays_for(now, report),
                            std::max(state.age(), now - lease.confirmed_at()));
    }

    std::string const& encoded_update(steady_time now, demand_report const& report)
    {
        if (now - encoded_at >= min_plan_interval)
        {
            encoded_at = now;
            placement_bytes = {};
            update_bytes.clear();
        }
        update_position const& known = report.servers_position;
        std::string& update = update_bytes[known.source + "/" + std::to_string(known.sequence)];
        if (update.empty())
        {
            update = encode_update(state.servers_since(known));
        }
        return update;
    }

    void plan(steady_time now)
    {
        if (!lease.may_send_orders(now) || !state.servers_fresh())
        {
            return;
        }
        next_plan = now + min_plan_interval;
        std::vector<planner_action> const steps = planner.plan(now);
        log_held_orders();
        for (planner_action const& step : steps)
        {
            if (auto const* const order = std::get_if<engine_order>(&step))
            {
                send(*order);
            }
            else
            {
                inquire(std::get<engine_inquiry>(step));
            }
        }
        // On an instance with little processor time a plan takes long, and other work needs its share.
        steady_time const end = boot_now();
        next_plan = std::max(next_plan, end + (end - now) * plan_pause_factor);
    }

    void log_held_orders()
    {
        for (held_order const& each : planner.take_held_orders())
        {
            metrics.add("siskin_orders_held_total", siskinusher::to_string(each.order.kind), 1);
            log.write(
                {"order_held",
                 {{"engine", each.order.engine},
                  {"kind", siskinusher::to_string(each.order.kind)},
                  {"model", each.order.model},
                  {"adapter", each.order.adapter},
                  {"reason", each.order.reason},
                  {"sequence", std::to_string(each.order.expected_sequence)},
                  {"epoch", std::to_string(lease.epoch())},
                  {"wait_ms", std::to_string(std::chrono::duration_cast<milliseconds>(each.wait).count())},
                  {"why", "late_order"}}});
        }
    }

    void send(engine_order const& order)
    {
        auto const epoch = lease.epoch();
        // Checks the lease again after connecting, just before the first byte is written.
        auto const may_send = [self = shared_from_this(), epoch]
        { return self->lease.may_send_orders(boot_now()) && self->lease.epoch() == epoch; };
        pool.call(
            order.address, platform::encode_order(order, settings.name, epoch), order_time_limit,
            [self = shared_from_this(), order, epoch, sent_at = boot_now()](http_outcome const& outcome)
            {
                steady_time const now = boot_now();
                engine_order_result const result = platform::decode_order_outcome(outcome);
                self->metrics.add("siskin_orders_total", to_string(result), 1);
                self->count_invalid_status(outcome, "order");
                self->log.write(
                    {"order",
                     {{"engine", order.engine},
                      {"kind", siskinusher::to_string(order.kind)},
                      {"model", order.model},
                      {"adapter", order.adapter},
                      {"reason", order.reason},
                      {"sequence", std::to_string(order.expected_sequence)},
                      {"epoch", std::to_string(epoch)},
                      {"result", to_string(result)},
                      {"status", std::to_string(outcome.status)},
                      {"why", outcome.why},
                      {"took_ms",
                       std::to_string(std::chrono::duration_cast<milliseconds>(now - sent_at).count())}}});
                self->planner.on_order_result(now, order, result);
                if (now >= self->next_plan)
                {
                    self->plan(now);
                }
            },
            may_send);
    }

    void inquire(engine_inquiry const& inquiry)
    {
        metrics.add("siskin_engine_inquiries_total", "", 1);
        pool.call(inquiry.address, platform::encode_inquiry(inquiry.engine), order_time_limit,
                  [self = shared_from_this(), engine = inquiry.engine](http_outcome const& outcome)
                  {
                      steady_time const now = boot_now();
                      self->count_invalid_status(outcome, "report");
                      auto const report = outcome.status == 200
                                              ? platform::decode_engine_report(engine, outcome.body)
                                              : std::nullopt;
                      self->log.write({"inquiry",
                                       {{"engine", engine},
                                        {"status", std::to_string(outcome.status)},
                                        {"why", outcome.why},
                                        {"sequence", report ? std::to_string(report->order_sequence) : ""},
                                        {"busy", report && report->busy ? "true" : "false"}}});
                      if (report)
                      {
                          self->planner.on_report(now, *report);
                      }
                      else
                      {
                          self->planner.on_inquiry_failed(now, engine);
                      }
                  });
    }

    void count_invalid_status(http_outcome const& outcome, char const* call)
    {
        if (outcome.invalid_status)
        {
            metrics.add("siskin_invalid_statuses_total", call, 1);
        }
    }

    std::optional<quota_reply> answer_quotas(quota_question const& question)
    {
        steady_time const now = boot_now();
        if (!lease.may_send_orders(now))
        {
            return std::nullopt;
        }
        auto const reporting =
            std::count_if(peers.begin(), peers.end(),
                          [now](auto const& each) { return now - each.second.reported_at < relay_lifetime; });
        return quotas.answer(now, static_cast<unsigned>(reporting) + 1, question);
    }

    void log_quota_changes(steady_time now)
    {
        auto const whole = [](double value) { return std::to_string(static_cast<std::int64_t>(value)); };
        for (quota_issuer::standing const& each : quotas.take_changes(now))
        {
            log.write({"quota",
                       {{"organisation", each.organisation},
                        {"state", each.over_limit ? "over" : "within"},
                        {"per_second", whole(each.per_second)},
                        {"spent_per_s", whole(each.spent_per_s)},
                        {"level", whole(each.level)},
                        {"outstanding", whole(each.outstanding)},
                        {"capacity", whole(each.capacity)}}});
        }
    }

    void answer_quota_question(caller_exchange& call)
    {
        auto const question = decode_quota_question(call.body());
        if (!question)
        {
            call.answer(400, "", "");
            return;
        }
        auto const reply = answer_quotas(*question);
        if (!reply)
        {
            call.answer(409, "", ""); // Another instance may hold the lease.
            return;
        }
        call.answer(200, "Content-Type: application/cbor\r\n", encode_quota_reply(*reply));
    }

    void on_peer_call(std::shared_ptr<caller_exchange> const& call)
    {
        order_lease_record const* const record = lease.record();
        std::string const given = call->head().fields.value("Authorization");
        if (record == nullptr || !same_secret(given, key_scheme + record->peer_key))
        {
            // Without the record nothing is known about the key. A request that was passed on has not run.
            call->answer(record == nullptr ? 503 : 401, platform::encode_not_run(0), "");
            return;
        }
        if (call->head().target.rfind(platform::relay_path, 0) == 0)
        {
            relay_store_call(call);
            return;
        }
        if (call->head().target == stream_path)
        {
            answer_stream_question(*call);
            return;
        }
        if (call->head().target == quota_path)
        {
            answer_quota_question(*call);
            return;
        }
        if (call->head().target == forward_path && on_forwarded)
        {
            on_forwarded(call);
            return;
        }
        bool const asks_state = call->head().target == state_path;
        if (call->head().target != demand_path && !asks_state)
        {
            call->answer(404, "", "");
            return;
        }
        auto const report = decode_demand(call->body());
        steady_time const now = boot_now();
        if (!report)
        {
            call->answer(400, "", "");
            return;
        }
        state.on_peer_crashes(report->new_crash_marks);
        state.on_peer_config(report->config);
        if (asks_state)
        {
            answer_state_question(*call, *report);
            return;
        }
        if (!lease.may_send_orders(now) || !state.servers_known())
        {
            // Marks need no lease. In an outage of the store the instances go on reporting to the last
            // holder.
            auto const crashes = state.crashes_since(report->crash_marks_digest);
            call->answer(409, "Content-Type: application/cbor\r\n",
                         crashes ? encode_crash_marks(*crashes) : std::string());
            return;
        }
        peers[report->peer_address] = {now, report->data_centre, report->cut_off};
        on_streams(report->streams);
        load.on_report(now, *report);
        planner.on_demand(now, *report);
        if (now >= next_plan)
        {
            plan(now);
        }
        call->answer(
            200, "Content-Type: application/cbor\r\n" + encoded_standbys(now, *report) + encoded_config_age(),
            encoded_reply(now, *report));
    }

    // Makes a store call for a peer that cannot reach the store.
    void relay_store_call(std::shared_ptr<caller_exchange> const& call)
    {
        http_call forwarded;
        forwarded.method = call->head().method;
        forwarded.path = call->head().target.substr(std::string(platform::relay_path).size());
        forwarded.body = call->body();
        if (!forwarded.body.empty())
        {
            forwarded.headers.emplace_back("Content-Type", call->head().fields.value("Content-Type"));
        }
        auto const limit = parse_number(call->head().fields.value(platform::relay_limit_header));
        duration const span =
            std::min<duration>(milliseconds{static_cast<std::int64_t>(limit.value_or(1000))}, max_relay_time);
        store.call_for_peer(forwarded, span,
                            [call](http_outcome const& outcome)
                            {
                                // 502: the store did not answer a call that was sent, so a write may have
                                // been done.
                                int const no_answer = outcome.sent ? 502 : 503;
                                call->answer(outcome.status == 0 ? no_answer : outcome.status,
                                             "Content-Type: application/json\r\n" +
                                                 platform::encode_relayed_headers(outcome),
                                             outcome.body);
                            });
    }

    // The lease holder uses the peer that sent the latest report; the other instances use the holder. An
    // instance that its latest record names may not hold the lease and have no reports: it uses the holder
    // that it knew before.
    std::optional<platform::store_relay> relay() const
    {
        order_lease_record const* const record = lease.record();
        if (record == nullptr)
        {
            return std::nullopt;
        }
        auto const latest = std::max_element(peers.begin(), peers.end(),
                                             [](auto const& a, auto const& b)
                                             { return a.second.reported_at < b.second.reported_at; });
        bool const use_report = record->holder == settings.name && latest != peers.end();
        std::string const& address = use_report ? latest->first : other_holder_address;
        return address.empty() ? std::nullopt
                               : std::optional(platform::store_relay{address, record->peer_key});
    }

    outbound_pool& pool;
    platform::metadata_store& store;
    log_port& log;
    metric_port& metrics;
    placement_service_settings const settings;
    state_follower& state;
    stream_register& streams;
    demand_source const demand;
    placement_update_handler const on_placement_update;
    streams_handler const on_streams;
    boost::asio::steady_timer timer;
    order_lease lease;
    load_planner planner;
    fleet_load load;
    fleet_limits limits;
    quota_issuer quotas;
    std::optional<std::uint64_t> quota_epoch; ///< Of the lease under which credit was issued last.
    bool has_organisations = false;
    steady_time next_report;
    steady_time next_full_report;
    steady_time streams_reported_at;
    steady_time next_plan; ///< Earliest time of the next plan.
    steady_time encoded_at;
    std::array<std::string, 2> placement_bytes; ///< For replies to full reports, then to early ones.
    std::unordered_map<std::string, std::string> update_bytes; ///< Updates by the peer's position.
    unsigned instances = 0; ///< Number of instances that the holder has heard of.
    bool reporting = false;
    bool holder_reached = false;
    bool lease_held = false;
    std::vector<std::string> standbys; ///< As the holder told them; this instance first if it is one.
    std::size_t next_standby = 0;      ///< Index of the standby to ask.
    steady_time next_standby_question;
    bool asking_standby = false;
    bool wanted_standby = false;             ///< At the latest tick.
    std::vector<peer_relay> chosen_standbys; ///< By this instance as the holder.
    steady_time standbys_chosen_at;
    known_config standby_config;             ///< Without the text; of the latest answer.
    known_config holder_config;              ///< Without the text; of the latest reply.
    std::string other_holder_address;        ///< Of the latest holder beside this instance, if any.
    std::map<std::string, known_peer> peers; ///< By peer address.
    bool self_cut_off = false;
    std::string self_data_centre;
    relays_handler on_relays;
    forward_handler on_forwarded;
};

placement_service::placement_service(boost::asio::io_context& loop, outbound_pool& pool,
                                     platform::metadata_store& store, log_port& log, metric_port& metrics,
                                     placement_service_settings settings, state_follower& state,
                                     stream_register& streams, demand_source demand,
                                     placement_update_handler on_placement_update, streams_handler on_streams)
    : impl_(std::make_shared<implementation>(loop, pool, store, log, metrics, std::move(settings), state,
                                             streams, std::move(demand), std::move(on_placement_update),
                                             std::move(on_streams)))
{
}

placement_service::~placement_service() = default;

void placement_service::start()
{
    impl_->tick();
}

void placement_service::on_config(std::shared_ptr<serving_config const> config)
{
    impl_->has_organisations = config->organisations.has_value();
    impl_->set_claim_order();
    impl_->quotas.on_config(boot_now(), config);
    impl_->planner.on_config(std::move(config));
}

void placement_service::on_backend(backend_entry const& entry)
{
    impl_->planner.on_backend(boot_now(), entry);
}

void placement_service::on_backend_gone(backend_name const& name)
{
    impl_->planner.on_backend_gone(boot_now(), name);
}

std::optional<quota_reply> placement_service::answer_quotas(quota_question const& question)
{
    return impl_->answer_quotas(question);
}

void placement_service::report_soon()
{
    impl_->next_report = {};
}

std::optional<platform::store_relay> placement_service::holder() const
{
    order_lease_record const* const record = impl_->lease.record();
    bool const known =
        record != nullptr && record->holder != impl_->settings.name && !record->peer_address.empty();
    return known ? std::optional(platform::store_relay{record->peer_address, record->peer_key})
                 : std::nullopt;
}

bool placement_service::holder_answers() const
{
    return impl_->holder_reached;
}

void placement_service::on_forwarding(relays_handler on_relays, forward_handler on_forwarded)
{
    impl_->on_relays = std::move(on_relays);
    impl_->on_forwarded = std::move(on_forwarded);
}

std::string placement_service::peer_authorization() const
{
    order_lease_record const* const record = impl_->lease.record();
    return record == nullptr ? std::string() : key_scheme + record->peer_key;
}

std::optional<platform::store_relay> placement_service::relay() const
{
    return impl_->relay();
}

void placement_service::on_peer_call(std::shared_ptr<caller_exchange> const& call)
{
    impl_->on_peer_call(call);
}

void placement_service::retire()
{
    impl_->lease.release();
}

bool placement_service::retired() const
{
    return impl_->lease.released(boot_now());
}

bool placement_service::holds_lease() const
{
    return impl_->lease.may_send_orders(boot_now());
}

} // namespace siskinusher
