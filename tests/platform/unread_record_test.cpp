#include "adapters/placement_codec.hpp"
#include "apps/forwarded_call.hpp"
#include "platform/lease_record_codec.hpp"
#include "tests/wire/request_checks.hpp"
#include "tests/wire/small_fleet.hpp"

#include <Poco/Net/ServerSocket.h>

#include <criterion/criterion.h>

#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

using namespace siskinusher;
using namespace siskinusher::standins;

namespace
{

using std::chrono::milliseconds;

// What a peer answers to a request that is passed on to it.
enum class peer_form
{
    runs,
    unread_record,       ///< It has not read the lease record.
    unread_record_older, ///< The same of a build before that was an answer of its own.
    other_key,           ///< It knows another key.
};

constexpr peer_form refusals[] = {peer_form::unread_record, peer_form::unread_record_older,
                                  peer_form::other_key};

// An instance that other instances pass requests on to.
class scripted_peer
{
public:
    std::string address() const { return server_.address(); }

    // Answers demand reports as the lease holder that names these instances as relays.
    void set_relays(std::vector<peer_relay> relays)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        relays_ = std::move(relays);
    }

    void set_form(peer_form form)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        form_ = form;
    }

    // How often the request has arrived.
    unsigned arrivals(std::string const& id)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        return arrivals_[id];
    }

private:
    void serve(http_exchange& exchange)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        if (exchange.path() == demand_path)
        {
            backend_update unchanged;
            unchanged.position = {"scripted", 1};
            exchange.reply(200,
                           encode_reply(encode_placement_update({}), encode_update(unchanged), "", {}, {}, {},
                                        relays_, duration{0}),
                           "application/cbor");
            return;
        }
        if (exchange.path() != forward_path)
        {
            exchange.reply(404, "");
            return;
        }
        std::string const key = "Attempt-Id: ";
        std::size_t const begin = exchange.body().find(key) + key.size();
        std::string const id = exchange.body().substr(begin, exchange.body().find('\r', begin) - begin);
        ++arrivals_[id];
        answer(exchange, id);
    }

    void answer(http_exchange& exchange, std::string const& id) const
    {
        switch (form_)
        {
        case peer_form::runs:
            exchange.set_header("Attempt-Id", id);
            exchange.set_header("Server-Stamp", "s");
            exchange.reply(200, "body of " + id);
            return;
        case peer_form::unread_record:
            exchange.set_header("Not-Executed", "1");
            exchange.reply(503, "");
            return;
        case peer_form::unread_record_older:
            exchange.reply(401, "");
            return;
        case peer_form::other_key:
            exchange.set_header("Not-Executed", "1");
            exchange.reply(401, "");
            return;
        }
    }

    std::mutex mutex_;
    std::vector<peer_relay> relays_;
    std::map<std::string, unsigned> arrivals_;
    peer_form form_ = peer_form::runs;
    http_server server_{"127.0.0.1", 0, [this](http_exchange& exchange) { serve(exchange); },
                        [](nlohmann::json const&) {}};
};

// An instance that reaches no server and is told of two peers that do. It asks `first` before `second`.
class forwarding_fleet
{
public:
    forwarding_fleet()
    {
        first.set_relays({{first.address(), "here"}, {second.address(), "here"}});
        order_lease_record record;
        record.holder = "first@" + first.address();
        record.peer_address = first.address();
        record.epoch = 1;
        record.write_count = 1;
        record.peer_key = std::string(32, 'k');
        record.store_era = 1;
        store.write("config", "main", example_config(1));
        store.write(platform::lease_kind, platform::lease_name, platform::encode_lease_record(record));
        for (std::size_t i = 0; i < closed_ports.size(); ++i)
        {
            closed_ports[i].bind(Poco::Net::SocketAddress("127.0.0.1", 0), true, false);
            store.write("servers", "p" + std::to_string(i),
                        {{"service", "plain"},
                         {"address", closed_ports[i].address().toString()},
                         {"zone", "here"},
                         {"version", "v1"},
                         {"slots", 8},
                         {"state", "ready"},
                         {"born", 1}});
        }
        edge = std::make_unique<edge_child>("edge-1", store.address(), 8000);
        unsigned sent = 0;
        cr_assert(eventually(
                      [&]
                      {
                          auto const answer = edge->call("GET", "/again/1", "w" + std::to_string(++sent));
                          return answer && answer->status == 200;
                      }),
                  "%s", edge->log_text().c_str());
    }

    store_standin store;
    scripted_peer first;
    scripted_peer second;
    std::unique_ptr<edge_child> edge;

private:
    std::vector<Poco::Net::ServerSocket> closed_ports = std::vector<Poco::Net::ServerSocket>(3);
};

} // namespace

// Guards against an instance that judges the key of a peer before it knows one itself, and against a refusal
// without the statement that the request has not run.
Test(unread_record, peers_are_refused_for_the_time_being_until_it_is_read)
{
    store_standin store;
    store.set_mode(store_standin::mode::busy);
    edge_child const edge("edge-1", store.address());
    auto const pass_on = [&edge](std::string const& key)
    {
        return http_call(edge.peer_address(), "POST", forward_path, "body",
                         {{"Authorization", "Bearer " + key}, {"Servers-Left", "1"}});
    };
    cr_assert(eventually([&pass_on] { return pass_on("k").has_value(); }));
    auto const unread = pass_on("k");
    cr_assert_eq(unread->status, 503, "status %d", unread->status);
    cr_assert_eq(unread->headers.count("Not-Executed"), 1);
    store.set_mode(store_standin::mode::up);
    store.write("config", "main", example_config(1));
    cr_assert(eventually([&store]
                         { return store.spec_of(platform::lease_kind, platform::lease_name).is_object(); }));
    cr_assert(eventually([&pass_on] { return pass_on("k")->status == 401; }));
    cr_assert_eq(pass_on("k")->headers.count("Not-Executed"), 1);
    auto const record =
        platform::decode_lease_record(store.spec_of(platform::lease_kind, platform::lease_name));
    cr_assert_eq(pass_on(record->peer_key)->status, 400); // The body is no request.
}

// Guards against a caller that gets a peer's refusal of the instance's key as the answer to its request. It
// is final for the caller, which does not send the request again.
Test(unread_record, a_refused_key_is_no_answer_for_the_caller)
{
    forwarding_fleet fleet;
    for (peer_form const form : refusals)
    {
        fleet.first.set_form(form);
        std::string const id = "r" + std::to_string(static_cast<int>(form));
        auto const answer = fleet.edge->call("GET", "/again/1", id);
        cr_expect(answer && answer->status == 200, "%s: status %d\n%s", id.c_str(),
                  answer ? answer->status : 0, log_of(*fleet.edge, id).c_str());
        cr_expect_eq(fleet.first.arrivals(id), 1);
        cr_expect_eq(fleet.second.arrivals(id), 1);
    }
}

// Guards against a request that may run once being given up although the peer states that it has not run.
Test(unread_record, a_call_that_may_run_once_goes_on_at_another_peer)
{
    forwarding_fleet fleet;
    for (peer_form const form : refusals)
    {
        fleet.first.set_form(form);
        std::string const id = "r" + std::to_string(static_cast<int>(form));
        auto const answer = fleet.edge->call("POST", "/once/1", id);
        // A build before states nothing.
        bool const stated = form != peer_form::unread_record_older;
        int const expected = stated ? 200 : 502;
        cr_expect(answer && answer->status == expected, "%s: status %d\n%s", id.c_str(),
                  answer ? answer->status : 0, log_of(*fleet.edge, id).c_str());
        cr_expect_eq(fleet.first.arrivals(id), 1);
        cr_expect_eq(fleet.second.arrivals(id), stated ? 1 : 0);
    }
}
