#include "adapters/outbound_pool.hpp"
#include "platform/metadata_store.hpp"
#include "platform/object_watch.hpp"
#include "tests/adapters/recording_ports.hpp"
#include "tests/wire/store_standin.hpp"

#include <boost/asio/io_context.hpp>

#include <criterion/criterion.h>

#include <chrono>

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
    handlers.on_deleted = [](std::string const&) {};
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
