#include "adapters/boot_clock.hpp"
#include "adapters/outbound_pool.hpp"
#include "platform/metadata_store.hpp"
#include "platform/object_watch.hpp"
#include "tests/adapters/recording_ports.hpp"
#include "tests/adapters/scripted_server.hpp"
#include "tests/wire/store_standin.hpp"

#include <boost/asio/io_context.hpp>

#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <thread>

using namespace siskinusher;

namespace
{

// Between the listing and the first watch, so that the store can drop its history in between.
constexpr duration batch_delay = milliseconds{100};
constexpr duration time_of_calls = milliseconds{500};
// Until a watch waits at the store.
constexpr duration time_to_wait = milliseconds{200};

/// A watch of one kind, and what it has told. A test that checks removals sets a grace time that is longer
/// than the test.
class recorded_watch
{
public:
    explicit recorded_watch(std::string const& store_address, std::string const& kind = "servers",
                            duration grace = duration{0})
        : client(store_address, pool, ports, ports),
          watch(loop, client, ports, settings_of(kind, grace), record())
    {
    }
    // The store ends soon only without an open call.
    ~recorded_watch()
    {
        watch.pause();
        run_for(time_of_calls);
    }
    recorded_watch(recorded_watch const&) = delete;
    recorded_watch& operator=(recorded_watch const&) = delete;

    void start(duration delay = duration{0}, duration wait = platform::object_watch_settings().wait)
    {
        watch.set_pace(delay, wait);
        watch.start();
        run_until([this] { return listings > 0; });
    }
    void run_until(std::function<bool()> const& condition)
    {
        loop.restart();
        while (!condition())
        {
            loop.run_one();
        }
    }
    void run_for(duration time)
    {
        loop.restart();
        loop.run_for(time);
    }

private:
    static platform::object_watch_settings settings_of(std::string const& kind, duration grace)
    {
        platform::object_watch_settings settings;
        settings.kind = kind;
        settings.outage_grace = grace;
        return settings;
    }
    platform::object_watch_handlers record()
    {
        platform::object_watch_handlers handlers;
        handlers.on_object = [this](platform::store_object const& each)
        { written[each.name] = each.revision; };
        handlers.on_deleted = [this](std::string const& name, store_revision const& at)
        { absent[name] = at; };
        handlers.on_listed = [this] { ++listings; };
        return handlers;
    }

public:
    boost::asio::io_context loop;
    outbound_pool pool{loop};
    recording_ports ports;
    std::map<std::string, store_revision> written; ///< Latest revision that was told of each object.
    std::map<std::string, store_revision> absent;  ///< Revision at which a deleted object did not exist.
    unsigned listings = 0;
    platform::metadata_store client;
    platform::object_watch watch;
};

} // namespace

// Guards against an instance that follows the lease holder and never again takes a whole list of servers from
// it: the answer to a watch that was sent before the pause counted as a failure, and nothing lists again
// during a pause.
Test(object_watch, paused_watch_does_not_fail)
{
    standins::store_standin store;
    store.write("servers", "p1", {{"service", "plain"}});
    recorded_watch of_servers(store.address());
    of_servers.start(batch_delay);
    store.write("servers", "p2", {{"service", "plain"}});
    store.drop_history();
    of_servers.run_until([&] { return of_servers.ports.count("siskin_store_calls_total", "watch") > 0; });
    of_servers.watch.pause();
    of_servers.run_for(time_of_calls);
    cr_expect_eq(of_servers.ports.count("siskin_store_failures_total", "history_gone"), 1);
    cr_expect(of_servers.watch.proves_absence());
}

// Guards against a server that has left and is kept for the grace time of an outage: the store had only cut
// off the watch, as it may at any time.
Test(object_watch, removal_is_not_delayed_when_a_watch_was_cut_off)
{
    standins::store_standin store;
    store.write("servers", "p1", {{"service", "plain"}});
    recorded_watch of_servers(store.address(), "servers", seconds{5});
    of_servers.start();
    of_servers.run_for(time_to_wait);
    store.cut_off_watches();
    std::this_thread::sleep_for(milliseconds{50});
    store.remove("servers", "p1");
    of_servers.run_for(seconds{1});
    cr_expect_eq(of_servers.absent.count("p1"), 1);
    cr_expect(of_servers.watch.proves_absence());
}

// Guards against a server that has left and is kept by an instance that stood still: it finds that its call
// has timed out, which says nothing about the store.
Test(object_watch, removal_is_not_delayed_after_a_standstill)
{
    std::atomic<bool> has_left{false};
    scripted_server store(
        [&has_left](received_request const& request)
        {
            if (request.line.find("watch=") != std::string::npos)
            {
                return scripted_answer{"", scripted_answer::ending::silence};
            }
            std::string const items = has_left ? "" : R"({"metadata":{"name":"p1","revision":4},"spec":{}})";
            return http_answer(200, R"({"items":[)" + items + R"(],"as_of":)" + (has_left ? "9}" : "5}"),
                               "Store-Era: 1\r\n");
        });
    recorded_watch of_servers(store.address(), "servers", seconds{5});
    of_servers.start(duration{0}, milliseconds{100});
    of_servers.run_for(milliseconds{50});
    has_left = true;
    std::this_thread::sleep_for(milliseconds{2000}); // The call has a time limit of 800 ms.
    of_servers.run_for(seconds{1});
    cr_expect(of_servers.absent["p1"] == (store_revision{1, 9}));
}

// Guards against servers that are dropped at once after an outage of the store, in which their entries expire
// and are written again.
Test(object_watch, removal_is_delayed_after_an_outage)
{
    standins::store_standin store;
    store.write("servers", "p1", {{"service", "plain"}});
    recorded_watch of_servers(store.address(), "servers", seconds{2});
    of_servers.start();
    of_servers.run_for(time_to_wait);
    store.set_mode(standins::store_standin::mode::silent);
    of_servers.run_for(milliseconds{500});
    store.remove("servers", "p1");
    store.set_mode(standins::store_standin::mode::up);
    of_servers.run_until([&] { return of_servers.listings > 1; });
    cr_expect_not(of_servers.watch.proves_absence());
    of_servers.run_for(milliseconds{500});
    cr_expect_eq(of_servers.absent.count("p1"), 0);
    of_servers.run_for(seconds{2});
    cr_expect_eq(of_servers.absent.count("p1"), 1);
}

// Guards against a server that is created again and then ignored, because the revision at which it is known
// to be absent is later than its entry.
Test(object_watch, object_that_is_created_again_is_absent_only_at_its_deletion)
{
    standins::store_standin store;
    store.write("servers", "p1", {{"service", "plain"}});
    store.write("servers", "p2", {{"service", "plain"}});
    recorded_watch of_servers(store.address());
    of_servers.start(batch_delay);
    // Within the batch delay, so that one answer tells all three changes.
    store.remove("servers", "p1");
    store.remove("servers", "p2");
    store.write("servers", "p1", {{"service", "other"}});
    of_servers.run_until([&] { return of_servers.absent.size() == 2; });
    cr_expect(of_servers.absent["p1"] < of_servers.written["p1"]);
    cr_expect(of_servers.absent["p2"] == of_servers.watch.revision());
}

// Guards against a proof that rests on a wait which the store has not used up: a process that stood still
// reads an answer late that the store gave early, and a configuration may have been accepted in between.
Test(object_watch, proof_does_not_count_the_wait_of_a_call)
{
    standins::store_standin store;
    store.write("config", "main", {{"version", 1}});
    recorded_watch of_config(store.address(), "config");
    platform::object_watch const& watch = of_config.watch;
    steady_time const before = boot_now();
    of_config.start();
    cr_expect(watch.read_at() >= before && watch.read_at() <= boot_now());
    of_config.run_for(time_to_wait);
    store.end_waits_early(true);
    store.write("elsewhere", "x", {}); // Wakes the watch; its answer has no change.
    std::this_thread::sleep_for(milliseconds{600});
    steady_time const answered = boot_now() - milliseconds{500};
    store.write("config", "main", {{"version", 2}});
    steady_time const listed_at = watch.read_at();
    of_config.run_until([&] { return watch.read_at() != listed_at; });
    cr_expect(watch.read_at() < answered, "the answer is taken to be %d ms newer than it can be",
              static_cast<int>((watch.read_at() - answered) / milliseconds{1}));
}
