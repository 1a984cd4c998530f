#include "apps/state_follower.hpp"

#include "adapters/boot_clock.hpp"
#include "adapters/ports.hpp"
#include "decision/backend_directory.hpp"
#include "decision/change_ledger.hpp"
#include "decision/state_source_selector.hpp"
#include "platform/backend_entry_codec.hpp"
#include "platform/crash_mark_codec.hpp"
#include "platform/json_fields.hpp"
#include "platform/metadata_store.hpp"
#include "platform/object_watch.hpp"
#include "platform/serving_config_codec.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace siskinusher
{

namespace
{

constexpr char const* config_kind = "config";
constexpr char const* config_name = "main";
constexpr char const* backend_kind = "servers";
// Server entries that expired during an outage of the store appear again within this time after its return.
constexpr duration backend_outage_grace = seconds{2};
// While an instance follows the store, it gathers changes of entries for this share of the time after which a
// leaving server must get no new requests, and reads them together.
constexpr double batch_delay_share = 0.45;
// The lease holder needs each change of an engine soon; changes within this time, for example the effects of
// several orders, are read with one call.
constexpr duration holder_batch_delay = milliseconds{25};
// A standby reads for others, which hear of a change with their next question, up to 500 ms later.
constexpr duration standby_batch_delay = milliseconds{150};
// A watch of a standby waits this long at most: two waits and a batch delay must be shorter than the age at
// which others take what it tells for too old.
constexpr duration confirming_wait = milliseconds{400};
// On the holder, time for the watches to show the changes that a renewal of the lease reveals, and the age
// from which the state is then confirmed by a call.
constexpr duration explaining_time = milliseconds{150};
constexpr duration verified_age = milliseconds{350};
// That age, as a share of the time within which a change must take effect.
constexpr double max_told_age_share = 0.4;
// The watch of the marks of crashes begins this long after their listing: usually there is a holder by then.
constexpr duration crash_watch_delay = milliseconds{1000};
// Names in one line of the log; their number is logged too.
constexpr std::size_t max_logged_names = 8;
// A single change of the configuration is read at once; changes that follow it are gathered for this share of
// the time within which they must be in force.
constexpr double config_batch_delay_share = 0.3;
// While the store answers no call, the configuration is tried again after this share of the time within which
// a change must be in force: the call that shows the store's return may be another one, or come late.
constexpr double config_outage_retry_share = 0.4;
// A watch that has to prove the configuration waits this share of the bound on the age of the proof at most,
// so that one lost call does not use up the bound.
constexpr double proof_wait_share = 0.2;
// From this share of the bound on, an instance whose peers prove nothing, as those of older builds, reads the
// configuration from the store itself.
constexpr double own_read_share = 0.4;
// Of a store that names eras and has not been restored.
constexpr std::uint64_t first_era = 1;
// The other instances read the lease record each second and report to a new holder at once, with the version
// that they have in force.
constexpr duration first_reports_time = milliseconds{1500};
// Longer than any time without a lease holder, of which the store's operators allow a few seconds.
constexpr duration max_wait_for_peers = seconds{10};
// Interval between choices of the state source; short compared with the lifetime of a reply.
constexpr duration choice_interval = milliseconds{100};

duration share_of(duration whole, double share)
{
    return std::chrono::duration_cast<duration>(whole * share);
}

platform::object_watch_settings config_watch_settings(duration change_time)
{
    platform::object_watch_settings result;
    result.kind = config_kind;
    result.outage_retry = std::min(result.outage_retry, share_of(change_time, config_outage_retry_share));
    return result;
}

platform::object_watch_settings watch_settings(char const* kind, duration grace)
{
    platform::object_watch_settings result;
    result.kind = kind;
    result.outage_grace = grace;
    return result;
}

std::string names_of(std::vector<resident_model> const& models)
{
    std::string names;
    for (resident_model const& model : models)
    {
        names.append(names.empty() ? "" : ",").append(model.name);
    }
    return names;
}

} // namespace

class state_follower::implementation
{
public:
    // The state of a watch contains all changes up to a revision, which was the store's at that time.
    struct watch_confirmation
    {
        store_revision through;
        steady_time at;
    };
    // The text in the store that cannot be used. It proves that the configuration in force is not the newest.
    struct unusable_config
    {
        store_revision revision;
        steady_time proven_until; ///< Until then the configuration in force is known to have been the newest.
    };
    struct renewal_to_explain
    {
        store_revision revision;
        steady_time sent_at;
        steady_time acknowledged_at;
    };

    implementation(boost::asio::io_context& loop, platform::metadata_store& store_in, log_port& log_in,
                   metric_port& metrics_in, crash_ledger& crashes_in, state_follower_settings settings_in,
                   state_handlers handlers_in)
        : store(store_in), log(log_in), metrics(metrics_in), crashes(crashes_in),
          settings(std::move(settings_in)), handlers(std::move(handlers_in)), directory(settings.source),
          choice(share_of(std::min(settings.leaving_time, settings.change_time), max_told_age_share)),
          timer(loop),
          config_watch(loop, store, log, config_watch_settings(settings.change_time), config_handlers()),
          backend_watch(loop, store, log, watch_settings(backend_kind, backend_outage_grace),
                        backend_handlers()),
          crash_watch(loop, store, log, watch_settings(platform::crash_mark_kind, duration{0}),
                      crash_handlers())
    {
        crash_watch.set_pace(crash_watch_delay, platform::object_watch_settings().wait);
        set_pace();
        store.on_restored([this] { on_store_restored(); });
        store.on_written([this](store_revision const& revision) { changes.on_change(revision); });
    }

    // How soon changes are read: at once on the holder, soon on a standby while it reads the store, otherwise
    // as late as the limits on changes allow.
    void set_pace()
    {
        duration const lazy_servers = share_of(settings.leaving_time, batch_delay_share);
        duration const lazy_config = share_of(settings.change_time, config_batch_delay_share);
        if (!holds && !is_standby)
        {
            backend_watch.set_pace(lazy_servers, platform::object_watch_settings().wait);
            config_watch.set_pace(lazy_config, proof_wait(platform::object_watch_settings().wait));
            return;
        }
        // The renewals of the lease confirm the holder's state.
        duration const wait = holds ? platform::object_watch_settings().wait : confirming_wait;
        duration const eager_servers = holds ? holder_batch_delay : standby_batch_delay;
        backend_watch.set_pace(std::min(lazy_servers, eager_servers), wait);
        config_watch.set_pace(std::min(lazy_config, standby_batch_delay), wait);
    }

    // The wait of a watch of the configuration while no renewals of the lease confirm it.
    duration proof_wait(duration wait) const
    {
        bool const needed = settings.proof_limit && config && config->organisations;
        return needed ? std::min(wait, share_of(*settings.proof_limit, proof_wait_share)) : wait;
    }

    // Extends the confirmation of a watch up to a renewal of the lease if each change before it is known.
    bool confirm(watch_confirmation& known, platform::object_watch const& watch,
                 store_revision const& revision, steady_time sent_at) const
    {
        known.through = std::max(known.through, watch.revision());
        if (known.through < revision && !changes.knows_all(known.through, revision))
        {
            return false;
        }
        known.through = std::max(known.through, revision);
        known.at = std::max(known.at, sent_at);
        return true;
    }

    void on_renewed(store_revision const& revision, steady_time sent_at)
    {
        renewal = renewal_to_explain{revision, sent_at, boot_now()};
        explain_renewal();
    }

    // A renewal shows the store's revision. A change before it that no watch has shown may have been missed
    // by a watch whose connection is silent.
    void explain_renewal()
    {
        if (!renewal || !holds || source != state_source::store)
        {
            return;
        }
        bool const config = confirm(config_confirmed, config_watch, renewal->revision, renewal->sent_at);
        bool const servers = confirm(servers_confirmed, backend_watch, renewal->revision, renewal->sent_at);
        changes.forget_until(std::min(config_confirmed.through, servers_confirmed.through));
        steady_time const now = boot_now();
        if (config && servers)
        {
            renewal.reset();
        }
        else if (now - renewal->acknowledged_at >= explaining_time)
        {
            verify(config, config_confirmed, config_watch);
            verify(servers, servers_confirmed, backend_watch);
            renewal.reset();
        }
    }

    void verify(bool is_confirmed, watch_confirmation const& known, platform::object_watch& watch) const
    {
        if (!is_confirmed && boot_now() - std::max(known.at, watch.confirmed_at()) >= verified_age)
        {
            watch.verify();
        }
    }

    void on_store_restored()
    {
        for (platform::object_watch* const watch : {&config_watch, &backend_watch, &crash_watch})
        {
            watch->on_store_restored();
        }
    }

    platform::object_watch_handlers config_handlers()
    {
        platform::object_watch_handlers result;
        result.on_object = [this](platform::store_object const& object) { on_config(object); };
        result.on_deleted = [this](std::string const& name, store_revision const&) {
            log.write({"config_deleted", {{"name", name}, {"outcome", "kept"}}});
        };
        return result;
    }

    platform::object_watch_handlers backend_handlers()
    {
        platform::object_watch_handlers result;
        result.on_object = [this](platform::store_object const& object) { on_backend_object(object); };
        result.on_deleted = [this](std::string const& name, store_revision const& absent_at)
        {
            directory.remove(name, absent_at);
            on_backend_gone(name, "entry_gone");
        };
        result.on_listed = [this]
        {
            servers_known = true;
            servers_fresh = true;
        };
        return result;
    }

    platform::object_watch_handlers crash_handlers()
    {
        platform::object_watch_handlers result;
        result.on_object = [this](platform::store_object const& object)
        {
            changes.on_change(object.revision);
            auto const crash = platform::decode_crash_mark(object.spec);
            if (crash && id_of(*crash) == object.name)
            {
                crashes.add(boot_now(), *crash);
                return;
            }
            log.write(
                {"crash_mark_ignored", {{"name", object.name}, {"revision", to_string(object.revision)}}});
        };
        result.on_deleted = [this](std::string const& name, store_revision const&) { crashes.remove(name); };
        result.on_lost = [this](std::string const& name) { crashes.on_lost(name); };
        result.on_listed = [this]
        {
            crashes_known = true;
            crashes.on_listed(crash_watch.read_at());
        };
        return result;
    }

    void on_config(platform::store_object const& object)
    {
        if (object.name != config_name)
        {
            return;
        }
        changes.on_change(object.revision);
        bool const latest = object.revision >= known.revision;
        known.revision = std::max(known.revision, object.revision);
        platform::config_reading reading = platform::read_serving_config(object.spec);
        if (reading.config)
        {
            unusable = latest ? std::nullopt : unusable;
            apply_config(std::move(reading), object.spec, object.revision);
            return;
        }
        // The proof ends before this text was read, also when it is read again.
        steady_time const proven_until = unusable ? unusable->proven_until : config_proof();
        unusable = unusable_config{object.revision, proven_until};
        metrics.add("siskin_configs_unusable_total", "store", 1);
        log.write({"config_ignored",
                   {{"revision", to_string(object.revision)},
                    {"reason", reading.faults.front()},
                    {"outcome", "unproven"},
                    {"version_in_force", std::to_string(known.version)}}});
    }

    void on_peer_config(known_config const& told)
    {
        if (told.version >= told_version)
        {
            told_version = told.version;
            told_version_revision = told.revision;
        }
        if (told.text.empty() || told.version <= known.version)
        {
            return;
        }
        auto const spec = platform::parse_json(told.text);
        platform::config_reading reading = spec
                                               ? platform::read_serving_config(*spec)
                                               : platform::config_reading{{}, {"a peer's text is not valid"}};
        if (!reading.config)
        {
            metrics.add("siskin_configs_unusable_total", "peer", 1);
            log.write({"config_ignored",
                       {{"revision", to_string(told.revision)}, {"reason", reading.faults.front()}}});
            return;
        }
        apply_config(std::move(reading), *spec, told.revision);
    }

    // `reading` has a configuration.
    void apply_config(platform::config_reading reading, nlohmann::json const& spec,
                      store_revision const& revision)
    {
        if (config && reading.config->version < config->version)
        {
            log.write(
                {"config_ignored", {{"revision", to_string(revision)}, {"reason", "an older version"}}});
            return;
        }
        // Operators may write another text by a version that the store has lost.
        if (config && *reading.config == *config)
        {
            return;
        }
        config = std::make_shared<serving_config const>(std::move(*reading.config));
        log_faults(reading.faults);
        known.version = config->version;
        known.text = spec.dump();
        log.write({"config_in_force",
                   {{"version", std::to_string(config->version)},
                    {"routes", std::to_string(config->routes.size())},
                    {"revision", to_string(revision)}}});
        set_pace(); // Organisations may need a proof more often.
        handlers.on_config(config);
    }

    // Parts of the configuration in force that cannot be read.
    void log_faults(std::vector<std::string> const& faults)
    {
        if (faults.empty())
        {
            return;
        }
        metrics.add("siskin_config_faults_total", "", faults.size());
        for (std::size_t i = 0; i < faults.size() && i < max_logged_names; ++i)
        {
            log.write({"config_fault",
                       {{"version", std::to_string(config->version)},
                        {"fault", faults[i]},
                        {"faults", std::to_string(faults.size())}}});
        }
    }

    void on_backend_object(platform::store_object const& object)
    {
        changes.on_change(object.revision);
        auto const decoded = platform::decode_backend_entry(object.name, object.spec);
        if (!decoded)
        {
            log.write(
                {"backend_ignored", {{"backend", object.name}, {"revision", to_string(object.revision)}}});
            return;
        }
        backend_entry const entry = directory.settled(*decoded, object.revision);
        switch (directory.put(entry, object.revision))
        {
        case directory_change::outdated:
            return;
        case directory_change::changed:
            note_change(entry, object.revision);
            break;
        case directory_change::same:
            break; // The copies of weights may have changed; the lease holder needs them.
        }
        handlers.on_backend(entry);
    }

    void log_backend(backend_entry const& entry, store_revision const& revision)
    {
        log.write({"backend",
                   {{"backend", entry.name},
                    {"service", entry.service},
                    {"state", entry.leaving ? "leaving" : "ready"},
                    {"models", names_of(entry.models)},
                    {"on_disk", std::to_string(entry.copies_on_disk.size())},
                    {"revision", to_string(revision)},
                    {"source", to_string(source)}}});
    }

    void on_backend_gone(backend_name const& name, char const* reason)
    {
        log.write({"backend_gone", {{"backend", name}, {"reason", reason}, {"source", to_string(source)}}});
        handlers.on_backend_gone(name);
    }

    void on_reply(holder_reply const& reply, told_currency const& currency)
    {
        choice.on_reply(boot_now(), reply.store_state_age);
        take_over(reply, currency);
    }

    // The configuration of this instance was the newest one at the time of the read that a peer's reply rests
    // on, if it has read as much as the peer.
    void on_told_current(known_config const& told, steady_time at)
    {
        told_revision = std::max(told_revision, told.revision);
        if (known.revision >= told.revision && told.version <= known.version)
        {
            told_current_at = std::max(told_current_at, at);
        }
    }

    // A peer has a later version in force than this instance, which has read all that the peer has read: the
    // store has lost that version, and the peer has not told its text yet, or this instance cannot use it.
    bool lacks_lost_version() const
    {
        return told_version > known.version && known.revision >= told_version_revision;
    }

    // After its start an instance may read from the store a configuration that is older than its peers' one.
    bool awaits_peers() const
    {
        steady_time const now = boot_now();
        // A store that has never come back from an older copy shows no older copy to an instance that starts.
        bool const was_restored = store.era() > first_era;
        bool const needed = was_restored && settings.proof_limit && config && config->organisations;
        bool const holds_long = holds && now - holds_since >= first_reports_time;
        return needed && !heard_from_peer && !holds_long && now - started_at < max_wait_for_peers;
    }

    // When a read that shows no newer configuration was sent.
    steady_time config_proof() const
    {
        return std::max({config_watch.read_at(), config_confirmed.at, told_current_at});
    }

    steady_time config_current_at() const
    {
        if (unusable && !awaits_peers())
        {
            return unusable->proven_until;
        }
        return lacks_lost_version() || awaits_peers() ? steady_time{} : config_proof();
    }

    // The watch is paused while peers tell the state. Those of older builds do not prove the configuration.
    void prove_by_store(steady_time now)
    {
        bool const needed = settings.proof_limit && config && config->organisations;
        duration const limit = needed ? share_of(*settings.proof_limit, own_read_share) : duration{0};
        // A text that cannot be used proves nothing when it is read again; peers name a later revision.
        if (!needed || unusable || source == state_source::store || now < next_config_read ||
            now - config_current_at() < limit)
        {
            return;
        }
        next_config_read = now + limit;
        config_watch.refresh();
    }

    void take_over(holder_reply const& reply, told_currency const& currency)
    {
        apply_update(reply.servers);
        if (reply.crash_marks)
        {
            apply_crashes(*reply.crash_marks, boot_now() - reply.store_state_age);
        }
        on_peer_config(reply.config);
        on_told_current(reply.config, currency.current_at);
        heard_from_peer = heard_from_peer || !currency.peer_awaits;
        choose_source();
        steady_time const now = boot_now();
        if (source != state_source::store && reply.config.revision > known.revision &&
            now >= next_config_read)
        {
            next_config_read = now + share_of(settings.change_time, config_batch_delay_share);
            config_watch.refresh();
        }
    }

    void apply_update(backend_update const& update)
    {
        // While expired entries may still appear again, a list without them does not prove that they are
        // gone. What it says of the listed servers holds all the same.
        bool const proves_absence = backend_watch.proves_absence() || !servers_known;
        merge_result const effect =
            directory.merge(update, proves_absence ? unlisted_servers::gone : unlisted_servers::kept);
        holder_position = effect.whole ? update.position : update_position{};
        told_servers_through =
            effect.whole ? std::max(told_servers_through, update.followed) : told_servers_through;
        for (revised_backend const& each : effect.changed)
        {
            backend_watch.mark_known(each.entry.name, each.revision);
            note_change(each.entry, each.revision);
            handlers.on_backend(each.entry);
        }
        for (backend_name const& name : effect.removed)
        {
            backend_watch.mark_deleted(name);
            on_backend_gone(name, "told_by_holder");
        }
        // Not before: the servers of the first complete list are not new.
        servers_known = servers_known || update.complete;
    }

    // The lease holder logs each change. On the other instances, changes of one interval share a line: a line
    // for each change and instance would grow with both.
    void note_change(backend_entry const& entry, store_revision const& revision)
    {
        if (holds)
        {
            log_backend(entry, revision);
            return;
        }
        ++noted_changes;
        noted_leaving += entry.leaving ? 1 : 0;
        noted_revision = std::max(noted_revision, revision);
        if (noted_changes <= max_logged_names)
        {
            noted_names.append(noted_names.empty() ? "" : ",").append(entry.name);
            noted_names.append(entry.leaving ? ":leaving" : "");
        }
    }

    void log_noted_changes()
    {
        if (noted_changes == 0)
        {
            return;
        }
        log.write({"backends",
                   {{"changed", std::to_string(noted_changes)},
                    {"leaving", std::to_string(noted_leaving)},
                    {"backends", noted_names},
                    {"revision", to_string(noted_revision)},
                    {"source", to_string(source)}}});
        noted_changes = 0;
        noted_leaving = 0;
        noted_names.clear();
    }

    // `known_at` is a time at which the marks were those of the store, as far as the peer knows.
    void apply_crashes(std::vector<crash_mark> const& told, steady_time known_at)
    {
        std::vector<crash_mark> const before = crashes.crashes();
        if (!crashes.replace_by_told(boot_now(), told, known_at))
        {
            log.write({"crash_marks_ignored",
                       {{"reason", "older than those known"}, {"marks", std::to_string(told.size())}}});
            return;
        }
        for (crash_mark const& each : before)
        {
            crash_watch.mark_deleted(id_of(each));
        }
        crashes_known = true;
        for (crash_mark const& each : crashes.crashes())
        {
            crash_watch.mark_known(id_of(each), {});
        }
    }

    void choose_source()
    {
        steady_time const now = boot_now();
        // Only the store tells the text of the configuration.
        bool const knows_state = config != nullptr && servers_known;
        state_source const wanted = choice.choose(now, store.answered_at());
        state_source const chosen = knows_state ? wanted : state_source::store;
        if (chosen == source)
        {
            return;
        }
        bool const was_paused = source != state_source::store;
        source = chosen;
        bool const pauses = source != state_source::store;
        metrics.add("siskin_state_source_changes_total", to_string(source), 1);
        log.write({"state_source",
                   {{"source", to_string(source)},
                    {"age_ms", std::to_string(std::chrono::duration_cast<milliseconds>(age(now)).count())},
                    {"store_answers", store.answers() ? "true" : "false"},
                    {"servers_revision", to_string(backend_watch.revision())},
                    {"config_revision", to_string(known.revision)}}});
        if (pauses == was_paused)
        {
            return;
        }
        for (platform::object_watch* const watch : {&config_watch, &backend_watch, &crash_watch})
        {
            if (pauses)
            {
                watch->pause();
            }
            else
            {
                watch->resume();
            }
        }
    }

    // The older one of the configuration and the servers, by the source that confirmed them last.
    duration age(steady_time now) const
    {
        duration const read = now - std::min(std::max(config_watch.confirmed_at(), config_confirmed.at),
                                             std::max(backend_watch.confirmed_at(), servers_confirmed.at));
        return std::min(read, choice.told_age(now).value_or(read));
    }

    void tick()
    {
        choose_source();
        log_noted_changes();
        explain_renewal();
        prove_by_store(boot_now());
        timer.expires_after(choice_interval);
        timer.async_wait(
            [this](boost::system::error_code error)
            {
                if (!error)
                {
                    tick();
                }
            });
    }

    platform::metadata_store& store;
    log_port& log;
    metric_port& metrics;
    crash_ledger& crashes;
    state_follower_settings const settings;
    state_handlers const handlers;
    backend_directory directory;
    state_source_selector choice;
    state_source source{state_source::store};
    store_revision told_revision;         ///< The latest one of the configuration that a peer has named.
    std::uint64_t told_version = 0;       ///< The latest one that a peer has in force.
    store_revision told_version_revision; ///< What that peer has read of the configuration.
    steady_time told_current_at;          ///< Of the configuration, by what peers told.
    steady_time const started_at = boot_now();
    steady_time holds_since;
    bool heard_from_peer = false;    ///< A holder or standby has named the version that it has in force.
    update_position holder_position; ///< Position in the holder's changes.
    std::shared_ptr<serving_config const> config;
    known_config known;                      ///< With the text of the configuration in force.
    std::optional<unusable_config> unusable; ///< Set while the latest text that was read cannot be used.
    bool servers_known = false;
    bool servers_fresh = false;
    bool holds = false;      ///< This instance holds the lease.
    bool is_standby = false; ///< This instance reads the store for others while there is no holder.
    change_ledger changes;
    watch_confirmation config_confirmed; ///< By renewals of the lease.
    watch_confirmation servers_confirmed;
    std::optional<renewal_to_explain> renewal; ///< The latest one, until it is explained.
    std::size_t noted_changes = 0;             ///< Of entries, since the latest line of the log about them.
    std::size_t noted_leaving = 0;
    store_revision noted_revision;
    std::string noted_names; ///< The first of them.
    steady_time
        next_config_read;       ///< Limits how often a peer's news make this instance read the configuration.
    bool crashes_known = false; ///< All marks have been read once, from the store or from a holder.
    store_revision told_servers_through; ///< Peers have told all changes of servers up to this revision.
    boost::asio::steady_timer timer;
    platform::object_watch config_watch;
    platform::object_watch backend_watch;
    platform::object_watch crash_watch;
};

state_follower::state_follower(boost::asio::io_context& loop, platform::metadata_store& store, log_port& log,
                               metric_port& metrics, crash_ledger& crashes, state_follower_settings settings,
                               state_handlers handlers)
    : impl_(std::make_unique<implementation>(loop, store, log, metrics, crashes, std::move(settings),
                                             std::move(handlers)))
{
}

state_follower::~state_follower() = default;

void state_follower::start()
{
    impl_->config_watch.start();
    impl_->backend_watch.start();
    impl_->crash_watch.start();
    impl_->tick();
}

void state_follower::on_lease(bool holds)
{
    impl_->choice.on_lease(holds);
    if (holds && impl_->source == state_source::holder)
    {
        impl_->servers_fresh = false;
    }
    impl_->holds_since = holds && !impl_->holds ? boot_now() : impl_->holds_since;
    impl_->holds = holds;
    impl_->set_pace();
    impl_->choose_source();
}

void state_follower::on_renewed(store_revision const& revision, steady_time sent_at)
{
    impl_->on_renewed(revision, sent_at);
}

void state_follower::on_reply(holder_reply const& reply, told_currency const& currency)
{
    impl_->on_reply(reply, currency);
}

void state_follower::on_standby_reply(holder_reply const& reply, told_currency const& currency)
{
    impl_->choice.on_standby_reply(boot_now(), reply.store_state_age);
    impl_->take_over(reply, currency);
}

steady_time state_follower::config_current_at() const
{
    return impl_->config_current_at();
}

bool state_follower::config_behind() const
{
    return impl_->told_revision > impl_->known.revision || impl_->lacks_lost_version() || impl_->unusable;
}

bool state_follower::awaits_peers() const
{
    return impl_->awaits_peers();
}

void state_follower::on_standbys(bool is_standby, bool knows_others)
{
    impl_->choice.on_standbys(is_standby, knows_others);
    if (is_standby != impl_->is_standby)
    {
        impl_->is_standby = is_standby;
        impl_->set_pace();
    }
}

bool state_follower::wants_standby() const
{
    return impl_->choice.wants_standby(boot_now()) && impl_->config != nullptr && impl_->servers_known;
}

duration state_follower::age() const
{
    return impl_->age(boot_now());
}

void state_follower::on_holder_lost()
{
    impl_->choice.on_holder_lost();
    impl_->choose_source();
}

bool state_follower::servers_fresh() const
{
    return impl_->servers_fresh;
}

bool state_follower::servers_known() const
{
    return impl_->servers_known;
}

update_position state_follower::position() const
{
    return impl_->holder_position;
}

backend_update state_follower::servers_since(update_position const& known) const
{
    store_revision const followed = std::max(impl_->backend_watch.revision(), impl_->told_servers_through);
    return impl_->directory.changes_since(known, followed);
}

std::uint64_t state_follower::crashes_digest() const
{
    return impl_->crashes.digest();
}

std::vector<crash_mark> state_follower::new_crashes() const
{
    return impl_->crashes.new_crashes(boot_now());
}

void state_follower::on_peer_crashes(std::vector<crash_mark> const& found)
{
    for (crash_mark const& each : found)
    {
        impl_->crashes.add_reported(boot_now(), each);
    }
}

void state_follower::on_former_holder_crashes(std::vector<crash_mark> const& told)
{
    for (crash_mark const& each : told)
    {
        impl_->crashes.add(boot_now(), each);
        impl_->crash_watch.mark_known(id_of(each), {});
    }
}

std::optional<std::vector<crash_mark>> state_follower::crashes_since(std::uint64_t known) const
{
    bool const same = impl_->crashes.digest() == known;
    return same || !impl_->crashes_known ? std::nullopt : std::optional(impl_->crashes.crashes());
}

known_config state_follower::config_for(known_config const& peer) const
{
    known_config const& known = impl_->known;
    return {known.version, known.revision, needs_text(peer, known) ? known.text : std::string()};
}

void state_follower::on_peer_config(known_config const& told)
{
    impl_->on_peer_config(told);
}

} // namespace siskinusher
