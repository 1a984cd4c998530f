#include "apps/crash_reporter.hpp"

#include "adapters/boot_clock.hpp"
#include "adapters/outbound_pool.hpp"
#include "adapters/ports.hpp"
#include "platform/crash_mark_codec.hpp"
#include "platform/metadata_store.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace siskinusher
{

namespace
{

// After a connection was lost, the process may take this long to close its listening socket as well. The
// losses at one engine within this time are checked together.
constexpr duration check_delay = milliseconds{20};
// Allows for a lost first packet between regions.
constexpr duration check_time_limit = milliseconds{700};
// What was answered before is reported only if it is not answered again within this time, so that each crash
// does not make the parts suspect that many requests share, or requests that many callers make.
constexpr duration answered_suspect_delay = milliseconds{1000};
// A mark of a request with no other mark is written to the store after this time only. Most such requests are
// sound, are answered by another server meanwhile, and would cost two calls each.
constexpr duration single_mark_delay = seconds{2};
constexpr duration tick_interval = milliseconds{100};
// Store calls of one tick, so that many crashes do not use up the rate of the store's writes.
constexpr std::size_t calls_per_tick = 8;
// The store prices refused calls too.
constexpr duration failed_call_delay = milliseconds{1000};
constexpr std::size_t max_requests_of_check = 64;
// Requests, and parts, that one instance reports for one crash: those with most crashes before. Many requests
// may run on a server, and most are there by chance.
constexpr std::size_t max_suspects_of_check = 16;

std::string ms_text(duration value)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(value).count());
}

struct unsaved_mark
{
    crash_mark crash;
    steady_time due; ///< Written to the store no sooner, unless its suspect has another mark.
};

} // namespace

class crash_reporter::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(boost::asio::io_context& loop_in, outbound_pool& pool_in,
                   platform::metadata_store& store_in, crash_ledger& ledger_in, log_port& log_in,
                   metric_port& metrics_in, std::function<bool()> holds_lease_in)
        : loop(loop_in), pool(pool_in), store(store_in), ledger(ledger_in), log(log_in), metrics(metrics_in),
          holds_lease(std::move(holds_lease_in)), timer(loop_in)
    {
    }

    void tick()
    {
        steady_time const now = boot_now();
        report_delayed(now);
        ledger.drop_unconfirmed(now);
        if (holds_lease())
        {
            for (crash_mark const& each : ledger.expire(now))
            {
                unsaved.erase(id_of(each));
                removals[id_of(each)] = each;
            }
            for (crash_mark const& each : ledger.take_lost())
            {
                unsaved[id_of(each)] = {each, now};
                log.write({"crash_mark_lost", {{"suspect", each.suspect}, {"backend", each.engine}}});
            }
        }
        log_changes(now);
        save();
        remove();
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

    void on_lost(backend_entry const& server, suspect_names const& names)
    {
        std::string const key = server.name + "/" + std::to_string(server.started_at);
        auto& lost = checks[key];
        bool const first = lost.empty();
        if (lost.size() < max_requests_of_check)
        {
            lost.push_back(names);
        }
        if (!first)
        {
            return;
        }
        auto const delay = std::make_shared<boost::asio::steady_timer>(loop);
        delay->expires_after(check_delay);
        delay->async_wait(
            [weak = weak_from_this(), delay, server, key](boost::system::error_code error)
            {
                auto const self = weak.lock();
                if (!error && self)
                {
                    self->check(server, key);
                }
            });
    }

    // Opens a connection on which nothing is sent: only a refused one shows that the process has ended.
    void check(backend_entry const& engine, std::string const& key)
    {
        outbound_request request;
        request.address = engine.address;
        request.connect_limit = check_time_limit;
        request.time_limit = check_time_limit;
        request.fresh_connection = true;
        exchange_handlers handlers;
        handlers.may_send = [] { return false; };
        handlers.on_end = [weak = weak_from_this(), engine, key](exchange_end end)
        {
            if (auto const self = weak.lock())
            {
                self->on_checked(engine, key, end == exchange_end::refused);
            }
        };
        (void)pool.start(std::move(request), std::move(handlers));
    }

    void on_checked(backend_entry const& engine, std::string const& key, bool crashed)
    {
        std::vector<suspect_names> const lost = std::exchange(checks[key], {});
        checks.erase(key);
        metrics.add("siskin_engine_checks_total", crashed ? "crashed" : "not_refused", 1);
        steady_time const now = boot_now();
        std::string suspected;
        for (crash_suspect const& each : crashed ? suspects_of(engine, lost) : std::vector<crash_suspect>())
        {
            suspected.append(suspected.empty() ? "" : ",").append(each.crash.suspect);
            if (each.answered_before)
            {
                delayed.emplace_back(now, each.crash);
            }
            else
            {
                report(now, each.crash);
            }
        }
        log.write({"engine_check",
                   {{"backend", engine.name},
                    {"outcome", crashed ? "crashed" : "not_refused"},
                    {"lost_requests", std::to_string(lost.size())},
                    {"suspects", suspected}}});
        log_changes(now);
    }

    std::vector<crash_suspect> suspects_of(backend_entry const& server,
                                           std::vector<suspect_names> const& lost) const
    {
        std::vector<crash_suspect> parts;
        std::vector<crash_suspect> requests;
        for (suspect_names const& names : lost)
        {
            for (crash_suspect& each : ledger.suspects(names, server.name, server.started_at))
            {
                auto& kind = each.crash.position == whole_request ? requests : parts;
                if (std::find(kind.begin(), kind.end(), each) == kind.end())
                {
                    kind.push_back(std::move(each));
                }
            }
        }
        for (auto* const kind : {&parts, &requests})
        {
            std::stable_sort(
                kind->begin(), kind->end(),
                [this](auto const& a, auto const& b)
                { return ledger.crashes_of(a.crash.suspect) > ledger.crashes_of(b.crash.suspect); });
            kind->resize(std::min(kind->size(), max_suspects_of_check));
        }
        parts.insert(parts.end(), requests.begin(), requests.end());
        return parts;
    }

    void report_delayed(steady_time now)
    {
        while (!delayed.empty() && now - delayed.front().first >= answered_suspect_delay)
        {
            auto const [since, crash] = delayed.front();
            delayed.erase(delayed.begin());
            if (!ledger.answered_after(crash, since))
            {
                report(now, crash);
            }
        }
    }

    void report(steady_time now, crash_mark const& crash)
    {
        if (ledger.add_own(now, crash))
        {
            bool const waits = crash.position == whole_request;
            unsaved[id_of(crash)] = {crash, waits ? now + single_mark_delay : now};
            save();
        }
    }

    bool is_due(steady_time now, unsaved_mark const& each) const
    {
        return now >= each.due || ledger.crashes_of(each.crash.suspect) > 1;
    }

    void save()
    {
        steady_time const now = boot_now();
        if (now < next_call)
        {
            return;
        }
        for (auto const& [id, each] : unsaved)
        {
            if (calls_in_progress.size() >= calls_per_tick)
            {
                return;
            }
            if (!is_due(now, each) || !calls_in_progress.insert(id).second)
            {
                continue;
            }
            store.put(
                platform::crash_mark_kind, id, {}, platform::encode_crash_mark(each.crash),
                [weak = weak_from_this(), id = id](platform::store_answer<platform::store_object> answer)
                {
                    if (auto const self = weak.lock())
                    {
                        auto const* const failure = std::get_if<platform::store_failure>(&answer);
                        self->on_saved(id,
                                       failure == nullptr || *failure == platform::store_failure::conflict);
                    }
                });
        }
    }

    // A mark that exists already was found by another instance, which ran a request with the part there too.
    void on_saved(std::string const& id, bool saved)
    {
        calls_in_progress.erase(id);
        if (!saved)
        {
            next_call = boot_now() + failed_call_delay;
            return;
        }
        unsaved.erase(id);
        ledger.on_saved(boot_now(), id);
    }

    void remove()
    {
        if (boot_now() < next_call)
        {
            return;
        }
        for (auto const& [id, crash] : removals)
        {
            if (calls_in_progress.size() >= calls_per_tick)
            {
                return;
            }
            if (!calls_in_progress.insert(id).second)
            {
                continue;
            }
            store.remove(platform::crash_mark_kind, id,
                         [weak = weak_from_this(), id = id](std::optional<platform::store_failure> failure)
                         {
                             auto const self = weak.lock();
                             if (!self)
                             {
                                 return;
                             }
                             self->calls_in_progress.erase(id);
                             if (failure)
                             {
                                 self->next_call = boot_now() + failed_call_delay;
                                 return;
                             }
                             self->removals.erase(id);
                         });
        }
    }

    void on_answered(suspect_names const& names)
    {
        for (crash_mark const& each : ledger.on_answered(boot_now(), names))
        {
            std::string const id = id_of(each);
            bool const never_written =
                each.position == whole_request && unsaved.count(id) > 0 && calls_in_progress.count(id) == 0;
            unsaved.erase(id);
            if (!never_written)
            {
                removals[id] = each;
            }
            log.write({"crash_mark_cleared", {{"suspect", each.suspect}, {"backend", each.engine}}});
        }
    }

    void log_changes(steady_time now)
    {
        bool any_blocked = false;
        for (block_change const& each : ledger.take_changes(now))
        {
            any_blocked = any_blocked || each.blocked;
            metrics.add("siskin_crash_blocks_total", each.blocked ? "blocked" : "ended", 1);
            auto const block = ledger.find_block(now, {{each.suspect}, each.suspect});
            log.write({each.blocked ? "suspect_blocked" : "suspect_block_ended",
                       {{"suspect", each.suspect},
                        {"crashes", std::to_string(each.crashes)},
                        {"age_ms", block ? ms_text(block->age) : ""},
                        {"for_ms", block ? ms_text(block->remaining) : ""}}});
        }
        if (any_blocked && blocked_handler)
        {
            blocked_handler();
        }
    }

    boost::asio::io_context& loop;
    outbound_pool& pool;
    platform::metadata_store& store;
    crash_ledger& ledger;
    log_port& log;
    metric_port& metrics;
    std::function<bool()> const holds_lease;
    std::function<void()> blocked_handler;
    boost::asio::steady_timer timer;
    // The requests that were lost at a server which is being checked, by server and start.
    std::map<std::string, std::vector<suspect_names>> checks;
    std::vector<std::pair<steady_time, crash_mark>> delayed; ///< In the order of their times.
    // By id. They are kept until the store has confirmed the call.
    std::map<std::string, unsaved_mark> unsaved;
    std::map<std::string, crash_mark> removals;
    std::set<std::string> calls_in_progress;
    steady_time next_call; ///< No call is made before, after one that failed.
};

crash_reporter::crash_reporter(boost::asio::io_context& loop, outbound_pool& pool,
                               platform::metadata_store& store, crash_ledger& ledger, log_port& log,
                               metric_port& metrics, std::function<bool()> holds_lease)
    : impl_(std::make_shared<implementation>(loop, pool, store, ledger, log, metrics, std::move(holds_lease)))
{
}

crash_reporter::~crash_reporter() = default;

void crash_reporter::start()
{
    impl_->tick();
}

void crash_reporter::on_blocked(std::function<void()> handler)
{
    impl_->blocked_handler = std::move(handler);
}

void crash_reporter::on_lost(backend_entry const& server, suspect_names const& names)
{
    impl_->on_lost(server, names);
}

void crash_reporter::on_answered(suspect_names const& names)
{
    impl_->on_answered(names);
}

std::optional<crash_block> crash_reporter::find_block(suspect_names const& names) const
{
    return impl_->ledger.find_block(boot_now(), names);
}

bool crash_reporter::begin_trial(suspect_names const& names)
{
    return impl_->holds_lease() && impl_->ledger.begin_trial(boot_now(), names.request);
}

void crash_reporter::end_trial(suspect_names const& names, bool lost)
{
    impl_->ledger.end_trial(boot_now(), names.request, lost);
}

} // namespace siskinusher
