#include "apps/edge_process.hpp"

#include "adapters/boot_clock.hpp"
#include "adapters/bounded_log.hpp"
#include "adapters/caller_server.hpp"
#include "adapters/metrics_registry.hpp"
#include "adapters/outbound_pool.hpp"
#include "adapters/ports.hpp"
#include "apps/caller_access.hpp"
#include "apps/crash_reporter.hpp"
#include "apps/placement_service.hpp"
#include "apps/quota_keeper.hpp"
#include "apps/reach_keeper.hpp"
#include "apps/request_service.hpp"
#include "apps/state_follower.hpp"
#include "apps/stream_keeper.hpp"
#include "core/hash.hpp"
#include "platform/metadata_store.hpp"
#include "platform/request_codec.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <initializer_list>
#include <random>
#include <utility>

namespace siskinusher
{

namespace
{

// The load balancer checks the readiness every second and removes an instance after two failed checks; until
// then it sends new callers.
constexpr duration balancer_removal_time = milliseconds{2500};
// Part of the stop time that is reserved for an orderly end of the process: the last answers are sent.
constexpr duration stop_margin = milliseconds{400};
// Part of the margin in which the process exits.
constexpr duration exit_margin = milliseconds{100};
// Limit for each event name; 42 requests per second with two lines each stay below it.
constexpr unsigned log_lines_per_second = 200;
// An instance with the reference share of a core waits for the reference delay before it claims the lease.
// The delay grows with the square of reference share / own share, so that an instance with an eighth of a
// core claims after all larger ones, although processes start up to 300 ms apart.
constexpr double reference_cpu_share = 0.25;
constexpr duration reference_claim_delay = milliseconds{120};
constexpr double max_claim_delay_factor = 5.0;
// Headers that an instance adds to a request that it passes on to a peer.
constexpr std::size_t forwarding_bytes = 1024;
// A shorter cut from all servers does not make the balancer move callers.
constexpr duration unready_after = milliseconds{1000};
constexpr duration stop_poll = milliseconds{100};
// File descriptors that are kept for files and for connections to backend servers, the store and peers.
constexpr std::size_t reserved_descriptors = 1000;
// Number of instances among which the retry slack is divided before the lease holder has reported a count.
constexpr unsigned assumed_instances = 64;
// Part of the process's memory that the requests of callers may take. The rest is for answers (64 MB while
// they grow, kept_total_limit of the outbound pool), what the process knows, peers, and what the allocator
// does not give back.
constexpr double request_memory_share = 0.4;
constexpr double bytes_per_mb = 1000000.0;
// Added to the lease holder's count, for instances that start or that the holder has not heard of yet.
constexpr unsigned spare_instances = 3;

std::uint64_t random_number()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::string random_key()
{
    std::array<char, 40> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(random_number()),
                  static_cast<unsigned long long>(random_number()));
    return text.data();
}

// `how` is SIG_BLOCK or SIG_UNBLOCK.
void mask_signals(int how, std::initializer_list<int> signals)
{
    sigset_t mask;
    sigemptyset(&mask);
    for (int const signal : signals)
    {
        sigaddset(&mask, signal);
    }
    (void)::pthread_sigmask(how, &mask, nullptr);
}

retry_limits limits_of(edge_settings const& settings, unsigned instances)
{
    retry_limits limits;
    limits.ratio = settings.retry_ratio;
    limits.window = settings.retry_window;
    limits.slack = settings.spare_retries;
    limits.instances = instances;
    return limits;
}

placement_service_settings placement_settings(edge_settings const& settings)
{
    placement_service_settings result;
    result.name = settings.name + "@" + settings.peer_address;
    result.peer_address = settings.peer_address;
    result.proposed_peer_key = random_key();
    result.lease.holder_gap = settings.holder_gap;
    double const cpu_ratio = reference_cpu_share / settings.cpu_share;
    duration const claim_delay = std::chrono::duration_cast<duration>(
        reference_claim_delay * std::min(cpu_ratio * cpu_ratio, max_claim_delay_factor));
    // Instances with the same share of a core claim at different times: most then see that one has claimed.
    auto const spread = stable_hash(settings.peer_address) % static_cast<std::uint64_t>(claim_delay.count());
    result.lease.claim_delay = claim_delay + duration{static_cast<duration::rep>(spread)};
    result.rotation.window_s = settings.load_window_s;
    result.quotas = settings.quotas;
    result.suits_as_holder = settings.cpu_share >= reference_cpu_share;
    return result;
}

state_follower_settings follower_settings(edge_settings const& settings)
{
    state_follower_settings result;
    result.source = settings.name + "-" + std::to_string(random_number());
    result.leaving_time = settings.leaving_time;
    result.change_time = settings.change_time;
    result.proof_limit = settings.revocation_time;
    return result;
}

caller_server_settings server_settings(std::string const& address, std::size_t connections,
                                       std::shared_ptr<request_memory> memory = nullptr)
{
    caller_server_settings result;
    result.address = address;
    result.max_connections = connections;
    result.memory = std::move(memory);
    return result;
}

std::size_t request_budget(edge_settings const& settings)
{
    return static_cast<std::size_t>(request_memory_share * bytes_per_mb *
                                    static_cast<double>(settings.memory_mb));
}

} // namespace

void hold_reload_signal()
{
    mask_signals(SIG_BLOCK, {SIGHUP});
}

void hold_stop_signals()
{
    mask_signals(SIG_BLOCK, {SIGTERM, SIGINT});
}

class edge_process::implementation
{
public:
    implementation(edge_settings settings_in, settings_source reload_in, log_port& log_in,
                   metrics_registry& metrics_in)
        : settings(std::move(settings_in)), reload(std::move(reload_in)),
          log(log_in, log_lines_per_second, boot_now), metrics(metrics_in), signals(loop), stop_timer(loop),
          pool(loop), store(settings.store_address, pool, metrics, log),
          requests({settings.data_centre, settings.region_of, random_number(), settings.slow_start}),
          retries(limits_of(settings, assumed_instances)), relays(settings.data_centre),
          crash_reports(loop, pool, store, crashes, log, metrics, [this] { return placement.holds_lease(); }),
          access(
              {settings.revocation_time, settings.change_time},
              [this] {
                  return config_currency{state.config_current_at(), state.config_behind()};
              },
              random_number()),
          quotas(
              loop, pool, log, metrics, settings.quotas, settings.name, random_number(),
              [this](quota_question const& question) { return placement.answer_quotas(question); },
              [this] { return quota_holder_now(); }),
          service(loop, pool, requests, retries, crash_reports, streams, reach, relays, access, quotas, log,
                  metrics, metrics, random_number()),
          server_watch(loop, pool, requests, reach, log, metrics, random_number(),
                       [this] { on_reach_change(); }),
          state(loop, store, log, metrics, crashes, follower_settings(settings), make_state_handlers()),
          placement(
              loop, pool, store, log, metrics, placement_settings(settings), state, streams,
              [this]
              {
                  return demand_report{settings.name,
                                       settings.peer_address,
                                       requests.take_demand(),
                                       unreachable_servers(),
                                       requests.running_at_engines(),
                                       false,
                                       {},
                                       0,
                                       {},
                                       requests.take_limit_reports(boot_now()),
                                       {},
                                       {},
                                       settings.data_centre,
                                       reach.cut_off()};
              },
              [this](placement_update const& placement) { on_placement_update(placement); },
              [this](std::vector<begun_stream> const& begun) { stream_records.on_reported(begun); }),
          stream_records(loop, pool, store, streams, log, metrics, "b" + std::to_string(random_number()),
                         {[this] { return placement.holds_lease(); }, [this] { return placement.holder(); },
                          [this] { return placement.holder_answers(); }}),
          memory(std::make_shared<request_memory>(request_budget(settings))),
          callers(
              loop,
              server_settings(settings.caller_address, settings.descriptors - reserved_descriptors, memory),
              [this](std::shared_ptr<caller_exchange> exchange) { service.on_request(std::move(exchange)); }),
          readiness(loop, server_settings(settings.readiness_address, 64),
                    [this](std::shared_ptr<caller_exchange> const& exchange) { on_readiness(exchange); }),
          peers(loop, server_settings(settings.peer_address, 512),
                [this](std::shared_ptr<caller_exchange> const& exchange) { on_peer(exchange); })
    {
        requests.on_fleet_use([this](std::string const& name) { return fleet_use_of(name); });
    }

    quota_holder quota_holder_now() const
    {
        auto const holder = placement.holder();
        return holder ? quota_holder{holder->address, placement.peer_authorization()} : quota_holder{};
    }

    // An instance that reaches no server knows nothing about any of them.
    std::vector<backend_name> unreachable_servers() const
    {
        return reach.cut_off() ? std::vector<backend_name>() : requests.unreachable(boot_now());
    }

    void on_reach_change()
    {
        if (reach.cut_off())
        {
            requests.forget_failures();
            placement.report_soon();
        }
        service.on_reach_change();
    }

    state_handlers make_state_handlers()
    {
        state_handlers handlers;
        handlers.on_config = [this](std::shared_ptr<serving_config const> const& fresh) { on_config(fresh); };
        handlers.on_backend = [this](backend_entry const& entry) { on_backend(entry); };
        handlers.on_backend_gone = [this](backend_name const& name) { on_backend_gone(name); };
        return handlers;
    }

    std::string run()
    {
        callers.on_no_memory([this](request_head const& head, memory_refusal const& facts)
                             { return refuse_without_memory(head, facts); });
        callers.on_broken_off([this](broken_off_answer const& facts) { report_broken_off(facts); });
        callers.check_heads([this](request_head const& head) { return service.refuse_by_head(head); });
        service.on_missing_model([this] { placement.report_soon(); });
        crash_reports.on_blocked([this] { service.on_blocked(); });
        service.on_authorization([this] { return placement.peer_authorization(); });
        placement.on_forwarding(
            [this](std::vector<peer_relay> const& told)
            {
                relays.on_relays(told);
                service.on_relays();
            },
            [this](std::shared_ptr<caller_exchange> const& call) { service.on_forwarded(call); });
        service.on_unknown_stream([this](std::string const& stream_service, std::string const& id,
                                         std::function<void(take_up_choice)> done)
                                  { stream_records.ask(stream_service, id, std::move(done)); });
        signals.add(SIGTERM);
        signals.add(SIGINT);
        signals.add(SIGHUP);
        mask_signals(SIG_UNBLOCK, {SIGTERM, SIGINT, SIGHUP});
        wait_for_signal();
        for (caller_server* const server : {&callers, &readiness, &peers})
        {
            std::string error = server->start();
            if (!error.empty())
            {
                return error;
            }
        }
        store.set_relay_provider([this] { return placement.relay(); });
        metrics.set_gauge("siskin_config_version", [this] { return config ? config->version : 0; });
        metrics.set_gauge("siskin_holds_lease", [this] { return placement.holds_lease() ? 1U : 0U; });
        metrics.set_gauge("siskin_open_requests", [this] { return service.open_requests(); });
        metrics.set_gauge("siskin_request_bytes", [this] { return memory->held(); });
        metrics.set_gauge("siskin_backends", [this] { return requests.backends(); });
        metrics.set_gauge("siskin_quota_waiting", [this] { return quotas.waiting(); });
        metrics.set_gauge("siskin_config_proof_age_ms", [this] { return proof_age_ms(); });
        metrics.set_gauge("siskin_blocked_suspects", [this] { return crashes.blocked_suspects(boot_now()); });
        state.start();
        crash_reports.start();
        server_watch.start();
        placement.start();
        stream_records.start();
        log.write({"start",
                   {{"instance", settings.name},
                    {"data_centre", settings.data_centre},
                    {"callers", settings.caller_address},
                    {"store", settings.store_address}}});
        loop.run();
        // The handlers end before the process does; a signal would then end it without its exit code and its
        // last lines of the log.
        hold_reload_signal();
        hold_stop_signals();
        log.write({"stop", {{"open_requests", std::to_string(service.open_requests())}}});
        return {};
    }

    std::uint64_t proof_age_ms() const
    {
        return static_cast<std::uint64_t>(
            std::chrono::duration_cast<milliseconds>(access.proof_age(boot_now())).count());
    }

    void wait_for_signal()
    {
        signals.async_wait(
            [this](boost::system::error_code error, int signal)
            {
                if (error)
                {
                    return;
                }
                if (signal == SIGHUP)
                {
                    reload_settings();
                }
                else
                {
                    begin_stop();
                }
                wait_for_signal();
            });
    }

    void reload_settings()
    {
        auto const fresh = reload();
        if (!fresh)
        {
            log.write({"reload", {{"outcome", "kept"}, {"reason", "settings are not valid"}}});
            return;
        }
        bool const restart_needed = fresh->caller_address != settings.caller_address ||
                                    fresh->readiness_address != settings.readiness_address ||
                                    fresh->peer_address != settings.peer_address ||
                                    fresh->store_address != settings.store_address;
        settings.retry_ratio = fresh->retry_ratio;
        settings.retry_window = fresh->retry_window;
        settings.spare_retries = fresh->spare_retries;
        settings.stop_time = fresh->stop_time;
        retries.on_limits(limits_of(settings, instances));
        log.write({"reload",
                   {{"outcome", "applied"}, {"addresses_need_restart", restart_needed ? "true" : "false"}}});
    }

    void begin_stop()
    {
        if (stopping)
        {
            return;
        }
        stopping = true;
        stop_at = boot_now();
        callers.drain();
        service.begin_stop(stop_at + settings.stop_time - stop_margin);
        placement.retire();
        log.write({"stopping", {{"open_requests", std::to_string(service.open_requests())}}});
        poll_stop();
    }

    void poll_stop()
    {
        duration const passed = boot_now() - stop_at;
        bool const balancer_may_send = passed < balancer_removal_time;
        if (!requests_ended && passed >= settings.stop_time - stop_margin)
        {
            requests_ended = true;
            log.write({"stop_time_over", {{"open_requests", std::to_string(service.open_requests())}}});
            service.end_all();
        }
        // Requests of peers are open in the service only.
        bool const answering = callers.open_requests() > 0 || service.open_requests() > 0 ||
                               callers.unsent_connections() > 0 || peers.unsent_connections() > 0;
        bool const busy = answering || !placement.retired();
        bool const last_sent = requests_ended && !answering;
        if (passed >= settings.stop_time - exit_margin || last_sent || (!balancer_may_send && !busy))
        {
            loop.stop();
            return;
        }
        if (!balancer_may_send)
        {
            callers.close_idle();
        }
        stop_timer.expires_after(stop_poll);
        stop_timer.async_wait([this](boost::system::error_code) { poll_stop(); });
    }

    // The balancer sends callers elsewhere while this instance depends on others to serve them.
    bool ready() const
    {
        bool const depends_on_others = reach.cut_off_for(boot_now()) >= unready_after && !relays.empty();
        return !stopping && service.has_config() && state.servers_known() && !state.awaits_peers() &&
               !depends_on_others;
    }

    // Returns the header lines of the refusal.
    std::string refuse_without_memory(request_head const& head, memory_refusal const& facts)
    {
        metrics.add("siskin_refusals_total", "no_memory", 1);
        log.write({"refused",
                   {{"request", platform::decode_request(head).request_id},
                    {"reason", "no_memory"},
                    {"status", "503"},
                    {"execution", "not_run"},
                    {"bytes_wanted", std::to_string(facts.wanted)},
                    {"bytes_held", std::to_string(facts.held)},
                    {"budget", std::to_string(facts.budget)},
                    {"retry_after_ms",
                     std::to_string(std::chrono::duration_cast<milliseconds>(facts.retry_after).count())}}});
        return platform::encode_retry_after(facts.retry_after);
    }

    void report_broken_off(broken_off_answer const& facts)
    {
        metrics.add("siskin_answers_broken_off_total", "no_memory", 1);
        log.write({"answer_broken_off",
                   {{"reason", "no_memory"},
                    {"caller", facts.caller},
                    {"bytes", std::to_string(facts.bytes)},
                    {"bytes_held", std::to_string(facts.held)},
                    {"budget", std::to_string(facts.budget)}}});
    }

    void on_readiness(std::shared_ptr<caller_exchange> const& exchange)
    {
        std::string const& target = exchange->head().target;
        if (target == platform::readiness_path)
        {
            exchange->answer(ready() ? 200 : 503, "", "");
            return;
        }
        exchange->answer(404, "", "");
    }

    void on_peer(std::shared_ptr<caller_exchange> const& exchange)
    {
        if (exchange->head().target == "/metrics")
        {
            exchange->answer(200, "Content-Type: text/plain\r\n", metrics.text());
            return;
        }
        placement.on_peer_call(exchange);
    }

    std::optional<fleet_use> fleet_use_of(std::string const& name) const
    {
        std::optional<double> const use = quotas.fleet_use(name);
        organisation const* const known = access.find(name);
        if (!use || known == nullptr)
        {
            return std::nullopt;
        }
        return fleet_use{*use, known->quota.unit == quota_unit::requests};
    }

    void on_config(std::shared_ptr<serving_config const> const& fresh)
    {
        config = fresh;
        callers.set_limits(config->limits);
        caller_limits peer_limits;
        peer_limits.body_bytes = config->limits.body_bytes + config->limits.head_bytes + forwarding_bytes;
        peers.set_limits(peer_limits);
        service.on_config(config);
        requests.on_config(config);
        placement.on_config(config);
        service.run_dispatcher();
    }

    void on_backend(backend_entry const& entry)
    {
        requests.on_backend(entry, state.servers_known() ? std::optional(boot_now()) : std::nullopt);
        streams.on_backend(boot_now(), entry);
        placement.on_backend(entry);
        service.run_dispatcher();
    }

    void on_backend_gone(backend_name const& name)
    {
        requests.on_backend_gone(name);
        streams.on_backend_gone(boot_now(), name);
        placement.on_backend_gone(name);
    }

    void on_placement_update(placement_update const& placement)
    {
        if (placement.instances > 0 && placement.instances + spare_instances != instances)
        {
            instances = placement.instances + spare_instances;
            retries.on_limits(limits_of(settings, instances));
        }
        requests.on_placements(boot_now(), placement);
        service.run_dispatcher();
    }

    edge_settings settings;
    settings_source const reload;
    bounded_log log;
    metrics_registry& metrics;
    boost::asio::io_context loop{1};
    boost::asio::signal_set signals;
    boost::asio::steady_timer stop_timer;
    outbound_pool pool;
    platform::metadata_store store;
    dispatcher requests;
    service_retry_budget retries;
    crash_ledger crashes;
    stream_register streams;
    server_reach reach;
    relay_directory relays;
    crash_reporter crash_reports;
    caller_access access;
    quota_keeper quotas;
    request_service service;
    reach_keeper server_watch;
    state_follower state;
    placement_service placement;
    stream_keeper stream_records;
    std::shared_ptr<request_memory> const memory;
    caller_server callers;
    caller_server readiness;
    caller_server peers;
    std::shared_ptr<serving_config const> config;
    unsigned instances = assumed_instances;
    bool stopping = false;
    bool requests_ended = false; ///< The stop time was over while requests were open.
    steady_time stop_at;
};

edge_process::edge_process(edge_settings settings, settings_source reload, log_port& log,
                           metrics_registry& metrics)
    : impl_(std::make_unique<implementation>(std::move(settings), std::move(reload), log, metrics))
{
}

edge_process::~edge_process() = default;

std::string edge_process::run()
{
    return impl_->run();
}

} // namespace siskinusher
