#include "adapters/boot_clock.hpp"
#include "adapters/outbound_pool.hpp"
#include "platform/metadata_store.hpp"
#include "platform/object_watch.hpp"
#include "tests/adapters/recording_ports.hpp"
#include "tests/wire/store_standin.hpp"

#include <boost/asio/io_context.hpp>

#include <criterion/criterion.h>

#include <chrono>
#include <map>
#include <string>
#include <thread>

using namespace siskinusher;

namespace
{

// Between the listing and the first watch, so that the store can drop its history in between.
constexpr std::chrono::milliseconds batch_delay{100};
constexpr std::chrono::milliseconds time_of_calls{500};

} // namespace

// Guards against an instance that follows the lease holder and never again takes a whole list of servers from
// it: the answer to a watch that was sent before the pause counted as a failure, and nothing lists again
// during a pause.
Test(object_watch, paused_watch_does_not_fail)
{
    standins::store_standin store;
    store.write("servers", "p1", {{"service", "plain"}});
    boost::asio::io_context loop;
    outbound_pool pool(loop);
    recording_ports ports;
    platform::metadata_store client(store.address(), pool, ports, ports);
    platform::object_watch_settings settings;
    settings.kind = "servers";
    bool listed = false;
    platform::object_watch_handlers handlers;
    handlers.on_object = [](platform::store_object const&) {};
    handlers.on_deleted = [](std::string const&, store_revision const&) {};
    handlers.on_listed = [&listed] { listed = true; };
    platform::object_watch watch(loop, client, ports, settings, handlers);
    watch.set_pace(batch_delay, settings.wait);
    watch.start();
    while (!listed)
    {
        loop.run_one();
    }
    store.write("servers", "p2", {{"service", "plain"}});
    store.drop_history();
    while (ports.count("siskin_store_calls_total", "watch") == 0)
    {
        loop.run_one();
    }
    watch.pause();
    loop.run_for(time_of_calls);
    cr_expect_eq(ports.count("siskin_store_failures_total", "history_gone"), 1);
    cr_expect(watch.proves_absence());
}

// Guards against a server that has left and is kept for the grace time of an outage: the store had only cut
// off the watch, as it may at any time.
Test(object_watch, removal_is_not_delayed_when_a_watch_was_cut_off)
{
    standins::store_standin store;
    store.write("servers", "p1", {{"service", "plain"}});
    boost::asio::io_context loop;
    outbound_pool pool(loop);
    recording_ports ports;
    platform::metadata_store client(store.address(), pool, ports, ports);
    platform::object_watch_settings settings;
    settings.kind = "servers";
    settings.outage_grace = seconds{5};
    bool listed = false;
    bool deleted = false;
    platform::object_watch_handlers handlers;
    handlers.on_object = [](platform::store_object const&) {};
    handlers.on_deleted = [&deleted](std::string const&, store_revision const&) { deleted = true; };
    handlers.on_listed = [&listed] { listed = true; };
    platform::object_watch watch(loop, client, ports, settings, handlers);
    watch.start();
    while (!listed)
    {
        loop.run_one();
    }
    loop.run_for(milliseconds{200}); // The watch waits.
    store.cut_off_watches();
    std::this_thread::sleep_for(milliseconds{50});
    store.remove("servers", "p1");
    loop.restart();
    loop.run_for(milliseconds{1000});
    cr_expect(deleted);
    cr_expect(watch.proves_absence());
    watch.pause();
    loop.run_for(time_of_calls);
}

// Guards against a server that is created again and then ignored, because the revision at which it is known
// to be absent is later than its entry.
Test(object_watch, object_that_is_created_again_is_absent_only_at_its_deletion)
{
    standins::store_standin store;
    store.write("servers", "p1", {{"service", "plain"}});
    store.write("servers", "p2", {{"service", "plain"}});
    boost::asio::io_context loop;
    outbound_pool pool(loop);
    recording_ports ports;
    platform::metadata_store client(store.address(), pool, ports, ports);
    platform::object_watch_settings settings;
    settings.kind = "servers";
    std::map<std::string, store_revision> written;
    std::map<std::string, store_revision> absent;
    platform::object_watch_handlers handlers;
    handlers.on_object = [&written](platform::store_object const& each)
    { written[each.name] = each.revision; };
    handlers.on_deleted = [&absent](std::string const& name, store_revision const& at) { absent[name] = at; };
    platform::object_watch watch(loop, client, ports, settings, handlers);
    watch.set_pace(batch_delay, settings.wait);
    watch.start();
    while (written.size() < 2)
    {
        loop.run_one();
    }
    // Within the batch delay, so that one answer tells all three changes.
    store.remove("servers", "p1");
    store.remove("servers", "p2");
    store.write("servers", "p1", {{"service", "other"}});
    while (absent.size() < 2)
    {
        loop.run_one();
    }
    cr_expect(absent["p1"] < written["p1"]);
    cr_expect(absent["p2"] == watch.revision());
    watch.pause();
    loop.run_for(time_of_calls);
}

// Guards against a proof that rests on a wait which the store has not used up: a process that stood still
// reads an answer late that the store gave early, and a configuration may have been accepted in between.
Test(object_watch, proof_does_not_count_the_wait_of_a_call)
{
    standins::store_standin store;
    store.write("config", "main", {{"version", 1}});
    boost::asio::io_context loop;
    outbound_pool pool(loop);
    recording_ports ports;
    platform::metadata_store client(store.address(), pool, ports, ports);
    platform::object_watch_settings settings;
    settings.kind = "config";
    bool listed = false;
    platform::object_watch_handlers handlers;
    handlers.on_object = [](platform::store_object const&) {};
    handlers.on_deleted = [](std::string const&, store_revision const&) {};
    handlers.on_listed = [&listed] { listed = true; };
    platform::object_watch watch(loop, client, ports, settings, handlers);
    steady_time const before = boot_now();
    watch.start();
    while (!listed)
    {
        loop.run_one();
    }
    cr_expect(watch.read_at() >= before && watch.read_at() <= boot_now());
    loop.run_for(milliseconds{200}); // The watch waits.
    store.end_waits_early(true);
    store.write("elsewhere", "x", {}); // Wakes the watch; its answer has no change.
    std::this_thread::sleep_for(milliseconds{600});
    steady_time const answered = boot_now() - milliseconds{500};
    store.write("config", "main", {{"version", 2}});
    steady_time const listed_at = watch.read_at();
    while (watch.read_at() == listed_at)
    {
        loop.run_one();
    }
    cr_expect(watch.read_at() < answered, "the answer is taken to be %d ms newer than it can be",
              static_cast<int>((watch.read_at() - answered) / milliseconds{1}));
    watch.pause();
    loop.run_for(time_of_calls); // The store ends soon only without an open call.
}
