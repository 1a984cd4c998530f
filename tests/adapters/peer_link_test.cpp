#include "adapters/peer_link.hpp"
#include "adapters/peer_queue.hpp"
#include "adapters/value_codec.hpp"
#include "core/random_source.hpp"
#include "tests/adapters/arbitrary_values.hpp"
#include "tests/adapters/recording_ports.hpp"
#include "tests/adapters/tcp_relay.hpp"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/WebSocket.h>
#include <criterion/criterion.h>

#include <algorithm>
#include <memory>
#include <string>

using namespace siskinusher;

namespace
{

std::string const shared_key = "the key of the test fleet";

struct endpoint
{
    endpoint(std::string const& name, std::uint64_t incarnation, std::string const& key = shared_key,
             std::uint16_t port = 0)
        : link(std::make_unique<peer_link>(
              peer_link_settings{{name, incarnation}, "127.0.0.1:" + std::to_string(port), key, incarnation},
              ports, ports, ports))
    {
        // A port that another endpoint has just closed may still be busy.
        cr_assert(eventually([this] { return link->start().has_value(); }), "cannot listen");
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(link->port()); }

    recording_ports ports;
    std::unique_ptr<peer_link> link;
    std::size_t sent = 0; ///< Messages from delivers().
};

member at(std::string const& name, std::string const& peer_address)
{
    return {{name, 0}, "chaguanas", "", peer_address, false};
}

// Sends until something arrives; messages to a peer that is not connected for long are dropped by design.
bool delivers(endpoint& from, std::string const& to, endpoint& receiver)
{
    std::size_t const before = receiver.ports.all<peer_received>().size();
    return eventually(
        [&]
        {
            from.link->send(to, crash_confirmed{1});
            ++from.sent;
            return receiver.ports.all<peer_received>().size() > before;
        });
}

// Opens a websocket without authentication, sends one frame, and waits for the other side to close.
bool is_closed_after(endpoint const& target, std::string const& frame)
{
    Poco::Net::HTTPClientSession session("127.0.0.1", target.link->port());
    Poco::Net::HTTPRequest request(Poco::Net::HTTPRequest::HTTP_GET, "/peer", "HTTP/1.1");
    Poco::Net::HTTPResponse response;
    try
    {
        Poco::Net::WebSocket socket(session, request, response);
        socket.setReceiveTimeout(Poco::Timespan(60, 0));
        socket.sendFrame(frame.data(), static_cast<int>(frame.size()), Poco::Net::WebSocket::FRAME_BINARY);
        char answer[2048];
        int flags = 0;
        while (socket.receiveFrame(answer, sizeof answer, flags) > 0)
        {
        }
        return true;
    }
    catch (Poco::TimeoutException const&)
    {
        return false;
    }
    catch (Poco::Exception const&)
    {
        return true;
    }
}

heartbeat typical_heartbeat()
{
    return {"chaguanas", 2417, 58, "chaguanas-2", false, true};
}

} // namespace

// Guards against a kind that gets lost between the links or arrives under another identity.
Test(peer_link, delivers_every_kind_in_both_directions)
{
    endpoint a("chaguanas-1", 101);
    endpoint b("chaguanas-2", 202);
    a.link->set_members({at("chaguanas-1", a.address()), at("chaguanas-2", b.address())});
    listed_server row;
    row.name = "chaguanas-1";
    row.peer_address = a.address();
    row.kind = listed_kind::instance;
    b.link->on_instances({row});
    cr_assert(delivers(a, "chaguanas-2", b) && delivers(b, "chaguanas-1", a));
    std::size_t const before = b.ports.all<peer_received>().size();
    auto const messages = sample_alternatives<peer_message>(3);
    for (peer_message const& message : messages)
    {
        a.link->send("chaguanas-2", message);
    }
    auto const received = b.ports.wait_for<peer_received>(before + messages.size());
    for (peer_message const& message : messages)
    {
        cr_assert(std::any_of(received.begin(), received.end(),
                              [&](peer_received const& one) { return same_variant(one.message, message); }),
                  "no %s arrived", kind_name(message));
    }
    cr_assert(received.front().from == (instance_id{"chaguanas-1", 101}));
    cr_assert(a.ports.all<peer_received>().front().from == (instance_id{"chaguanas-2", 202}));
}

// Guards against an instance of another fleet: neither side may deliver or send anything.
Test(peer_link, refuses_a_wrong_key)
{
    endpoint a("chaguanas-1", 1, "another key");
    endpoint b("chaguanas-2", 2);
    a.link->set_members({at("chaguanas-2", b.address())});
    b.link->set_members({at("chaguanas-1", a.address())});
    cr_assert(eventually(
        [&]
        {
            a.link->send("chaguanas-2", heartbeat{});
            b.link->send("chaguanas-1", heartbeat{});
            return a.ports.count("siskin_peer_dropped_total", "refused_connection") >= 3 &&
                   b.ports.count("siskin_peer_dropped_total", "refused_connection") >= 3;
        }));
    cr_assert(a.ports.all<peer_received>().empty() && b.ports.all<peer_received>().empty());
    cr_assert_eq(a.ports.count("siskin_peer_sent_bytes_total", "heartbeat"), 0);
    for (std::string const& line : a.ports.lines())
    {
        cr_assert(line.find("another key") == std::string::npos, "the key was logged");
    }
}

// Guards against a recorded session that is sent again, with the handshake and the messages after it.
Test(peer_link, refuses_a_replayed_session)
{
    endpoint a("chaguanas-1", 1);
    endpoint b("chaguanas-2", 2);
    tcp_relay relay(b.link->port());
    a.link->set_members({at("chaguanas-2", relay.address())});
    cr_assert(delivers(a, "chaguanas-2", b));
    cr_assert(eventually(
                  [&] {
                      return b.ports.all<peer_received>().size() ==
                             a.sent - a.ports.total("siskin_peer_dropped_total");
                  }),
              "all messages that were sent are to arrive before the replay");
    std::string const recorded = relay.sent(0);
    a.link->set_members({});
    std::size_t const delivered = b.ports.all<peer_received>().size();

    Poco::Net::StreamSocket replay(Poco::Net::SocketAddress("127.0.0.1", b.link->port()));
    replay.setReceiveTimeout(Poco::Timespan(60, 0));
    replay.sendBytes(recorded.data(), static_cast<int>(recorded.size()));
    char answer[4096];
    try
    {
        while (replay.receiveBytes(answer, sizeof answer) > 0)
        {
        }
    }
    catch (Poco::Net::NetException const&)
    {
        // A reset closes the connection as well.
    }
    cr_assert_eq(b.ports.count("siskin_peer_dropped_total", "refused_connection"), 1);
    cr_assert_eq(b.ports.all<peer_received>().size(), delivered);
}

// Guards against a message that is accepted, or a large frame that is buffered, before authentication.
Test(peer_link, accepts_nothing_before_authentication)
{
    endpoint b("chaguanas-2", 2);
    std::string const message = encode_peer_message(typical_heartbeat()).value();
    cr_assert(is_closed_after(b, message));
    cr_assert(is_closed_after(b, std::string(100000, 'x')));
    random_source random(7);
    for (int round = 0; round < 50; ++round)
    {
        std::string frame(1 + random.below(300), '\0');
        for (char& byte : frame)
        {
            byte = static_cast<char>(random.below(256));
        }
        cr_assert(is_closed_after(b, frame));
    }
    cr_assert(b.ports.all<peer_received>().empty());
}

// Guards against a path that becomes permanently silent while its connection stays open.
Test(peer_link, replaces_a_silent_connection)
{
    endpoint a("chaguanas-1", 1);
    endpoint b("chaguanas-2", 2);
    tcp_relay relay(b.link->port());
    a.link->set_members({at("chaguanas-2", relay.address())});
    cr_assert(delivers(a, "chaguanas-2", b));
    relay.silence();
    // Data in transit when the path became silent may still arrive at the other end.
    cr_assert(eventually(
        [&]
        {
            a.link->send("chaguanas-2", crash_confirmed{2});
            return a.ports.count("siskin_peer_silent_total", "") > 0;
        }));
    cr_assert(delivers(a, "chaguanas-2", b));
    cr_assert_geq(relay.connections(), 2);
}

// Guards against a link that stays down after the peer was replaced at the same address.
Test(peer_link, reconnects_to_a_restarted_peer)
{
    endpoint a("chaguanas-1", 1);
    auto b = std::make_unique<endpoint>("chaguanas-2", 2);
    a.link->set_members({at("chaguanas-2", b->address())});
    cr_assert(delivers(a, "chaguanas-2", *b));
    std::uint16_t const port = b->link->port();
    b.reset();
    a.link->send("chaguanas-2", crash_confirmed{2});
    endpoint c("chaguanas-2", 3, shared_key, port);
    c.link->set_members({at("chaguanas-1", a.address())});
    cr_assert(delivers(a, "chaguanas-2", c) && delivers(c, "chaguanas-1", a));
    cr_assert(a.ports.all<peer_received>().front().from == (instance_id{"chaguanas-2", 3}));
}

// Guards against byte counters that differ from the wire; operators pay for links between regions by them.
Test(peer_link, counts_the_bytes_on_the_wire)
{
    endpoint a("chaguanas-1", 1);
    endpoint b("chaguanas-2", 2);
    tcp_relay relay(b.link->port());
    a.link->set_members({at("chaguanas-2", relay.address())});
    cr_assert(delivers(a, "chaguanas-2", b));
    for (int i = 0; i < 10; ++i)
    {
        a.link->send("chaguanas-2", typical_heartbeat());
    }
    // The pings of the next second may be in transit when the counters are read.
    std::string wire;
    cr_assert(eventually(
        [&]
        {
            std::uint64_t const counted = a.ports.total("siskin_peer_sent_bytes_total");
            wire = relay.sent(0);
            return b.ports.count("siskin_peer_received_bytes_total", "heartbeat") > 0 &&
                   wire.size() - (wire.find("\r\n\r\n") + 4) == counted;
        }));
    auto const heartbeats = a.ports.count("siskin_peer_sent_bytes_total", "heartbeat");
    cr_log_info("a typical heartbeat takes %.1f bytes", static_cast<double>(heartbeats) / 10);
    cr_assert_lt(heartbeats, 640, "heartbeats exceed their share of the control traffic");
}

// Guards against unbounded memory for a peer that does not answer.
Test(peer_link, drops_and_counts_messages_for_absent_peers)
{
    endpoint a("chaguanas-1", 1);
    a.link->send("nobody", heartbeat{});
    cr_assert_eq(a.ports.count("siskin_peer_dropped_total", "unknown_peer"), 1);
    a.link->set_members(
        {at("chaguanas-2", "127.0.0.1:1"), at("chaguanas-3", "not an address"), at("chaguanas-4", "")});
    a.link->send("chaguanas-4", heartbeat{});
    cr_assert_eq(a.ports.count("siskin_peer_dropped_total", "unknown_peer"), 2);
    for (std::size_t i = 0; i < peer_queue::max_frames + 5; ++i)
    {
        a.link->send("chaguanas-2", crash_confirmed{i});
    }
    cr_assert_geq(a.ports.count("siskin_peer_dropped_total", "queue_full"), 5);
    cr_assert(eventually([&] { return a.ports.count("siskin_peer_dropped_total", "waited_too_long") > 0; }));
}

// Guards against the loss of a message that is not repeated while repeated ones fill the queue.
Test(peer_queue, the_oldest_periodic_message_gives_way)
{
    peer_queue queue;
    queue.push({"wish", false, {}, "first"});
    for (std::size_t i = 1; i < peer_queue::max_frames; ++i)
    {
        cr_assert_eq(queue.push({"heartbeat", true, {}, std::to_string(i)}), 0);
    }
    cr_assert_eq(queue.push({"wish", false, {}, "last"}), 1);
    cr_assert(queue.pop()->bytes == "first");
    cr_assert(queue.pop()->bytes == "2");
    peer_queue large;
    cr_assert_eq(large.push({"wish", false, {}, std::string(peer_queue::max_bytes, 'x')}), 0);
    cr_assert_eq(large.push({"heartbeat", true, {}, "x"}), 1);
    cr_assert_eq(large.drop_stale(steady_time{} + peer_queue::max_wait), 0);
    cr_assert_eq(large.drop_stale(steady_time{} + peer_queue::max_wait + microseconds{1}), 1);
    cr_assert(large.empty());
}
