#include "platform/metadata_store.hpp"

#include "adapters/boot_clock.hpp"
#include "adapters/outbound_pool.hpp"
#include "tests/adapters/recording_ports.hpp"
#include "tests/adapters/scripted_server.hpp"
#include "tests/wire/store_standin.hpp"

#include <boost/asio/io_context.hpp>

#include <criterion/criterion.h>

#include <atomic>
#include <string>

using namespace siskinusher;

namespace
{

using platform::metadata_store;
using platform::store_answer;

constexpr duration short_limit = milliseconds{50};
// Much less than the time limit of a call, which a call that hangs takes.
constexpr duration prompt = milliseconds{500};

/// A server that answers each call with an empty listing, or not at all.
class listing_server
{
public:
    std::atomic<bool> answers{false};

    std::string address() const { return server_.address(); }
    std::size_t calls() const { return server_.requests().size(); }

private:
    scripted_server server_{[this](received_request const&)
                            {
                                return answers
                                           ? http_answer(200, R"({"items":[],"as_of":5})", "Store-Era: 1\r\n")
                                           : scripted_answer{"", scripted_answer::ending::silence};
                            }};
};

/// A client whose direct calls fail, so that others go through the peer.
struct relayed_client
{
    relayed_client()
    {
        client.set_relay_provider([this] { return platform::store_relay{peer.address(), "key"}; });
        for (int failures = 0; failures < 2;)
        {
            client.get(
                "leases", "orders", false, [&](auto const&) { ++failures; }, short_limit);
            int const before = failures;
            while (failures == before)
            {
                loop.run_one();
            }
        }
    }

    /// The time after which the listing succeeds; the limit of a call when it fails.
    duration list(std::string const& kind)
    {
        steady_time const begun = boot_now();
        bool done = false;
        bool listed = false;
        client.list(kind, "",
                    [&](store_answer<platform::store_listing> const& answer)
                    {
                        done = true;
                        listed = std::holds_alternative<platform::store_listing>(answer);
                    });
        while (!done)
        {
            loop.run_one();
        }
        return listed ? boot_now() - begun : metadata_store::call_limit;
    }

    listing_server store;
    listing_server peer;
    boost::asio::io_context loop;
    outbound_pool pool{loop};
    recording_ports ports;
    metadata_store client{store.address(), pool, ports, ports};
};

} // namespace

// Guards against a store that counts as lost because it has cut off several watches at one moment: calls then
// went through a peer that stood still, and a configuration came in force late.
Test(metadata_store, watches_that_are_cut_off_are_no_sign_of_an_outage)
{
    standins::store_standin store;
    boost::asio::io_context loop;
    outbound_pool pool(loop);
    recording_ports ports;
    metadata_store client(store.address(), pool, ports, ports);
    listing_server peer;
    client.set_relay_provider([&peer] { return platform::store_relay{peer.address(), "key"}; });
    unsigned cut_off = 0;
    unsigned ended = 0;
    for (char const* const kind : {"config", "servers", "crashes"})
    {
        client.watch(kind, {1, 1}, seconds{3},
                     [&](store_answer<platform::store_changes> const& answer)
                     {
                         auto const* const failure = std::get_if<platform::store_failure>(&answer);
                         ++ended;
                         cut_off += failure != nullptr && *failure == platform::store_failure::cut_off;
                     });
    }
    loop.run_for(milliseconds{200});
    store.cut_off_watches();
    while (ended < 3)
    {
        loop.run_one();
    }
    cr_expect_eq(cut_off, 3);
    cr_expect(client.answers());
    bool listed = false;
    client.list("config", "", [&](auto const& answer) { listed = answer.index() == 0; });
    while (!listed)
    {
        loop.run_one();
    }
    cr_expect_eq(ports.count("siskin_store_calls_total", "through_peer"), 0);
    cr_expect_eq(peer.calls(), 0);
}

// Guards against a listing that waits for a peer that stands still although the store answers again: the one
// direct call a second was taken by a call of another kind.
Test(metadata_store, listing_does_not_wait_for_a_peer_that_stands_still)
{
    relayed_client one;
    one.store.answers = true;
    bool done = false;
    one.client.get("leases", "orders", true, [&](auto const&) { done = true; });
    duration const took = one.list("config");
    cr_expect(took < prompt, "%d ms", static_cast<int>(took / milliseconds{1}));
    cr_expect(one.client.answers());
    while (!done)
    {
        one.loop.run_one();
    }
}

// Guards against listings that are all sent on a link to the store that drops them, once a second, while a
// peer reaches the store: a configuration was kept for minutes.
Test(metadata_store, listing_goes_through_a_peer_while_the_own_link_drops_calls)
{
    relayed_client one;
    one.peer.answers = true;
    for (int i = 0; i < 3; ++i)
    {
        duration const took = one.list("config");
        cr_expect(took < prompt, "%d ms", static_cast<int>(took / milliseconds{1}));
        one.loop.restart();
        one.loop.run_for(milliseconds{1100}); // The direct turn is due again.
        one.loop.restart();
    }
    cr_expect(one.client.answers());
    std::size_t const direct = one.store.calls();
    for (int i = 0; i < 20; ++i)
    {
        (void)one.list("servers");
    }
    cr_expect_leq(one.store.calls(), direct + 2,
                  "a lost store gets one direct listing of a kind each second");
}
