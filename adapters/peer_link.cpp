#include "adapters/peer_link.hpp"

#include "adapters/field_codec.hpp"
#include "adapters/peer_handshake.hpp"
#include "adapters/peer_queue.hpp"
#include "adapters/process_clock.hpp"
#include "adapters/value_codec.hpp"
#include "core/random_source.hpp"

// This is the only file that includes websocketpp: it takes 10 s to compile.
#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/server.hpp>

#include <algorithm>
#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

namespace siskinusher
{

namespace
{

namespace ws = websocketpp;
using boost::outcome_v2::std_result;

// Handshake limits, pings and silence limits are counted in upkeep rounds instead of clock time. So after a
// pause of the process, the answers that arrived during it are read before a connection counts as silent.
constexpr milliseconds upkeep_interval{100};
constexpr unsigned pong_limit_rounds = 30;            // 3 s.
constexpr unsigned handshake_limit_rounds = 30;       // 3 s.
constexpr unsigned ping_interval_rounds = 10;         // 1 s, while messages are sent.
constexpr unsigned idle_ping_rounds = 200;            // 20 s: 360 idle links cost 18 pings a second.
constexpr unsigned accepted_silence_rounds = 600;     // 60 s: three idle pings.
constexpr std::size_t max_buffered_bytes = 256 << 10; // Handed to a connection but not yet to the system.
constexpr milliseconds first_backoff{100};
constexpr milliseconds last_backoff{3000};

constexpr char const* sent_metric = "siskin_peer_sent_bytes_total";
constexpr char const* received_metric = "siskin_peer_received_bytes_total";
constexpr char const* dropped_metric = "siskin_peer_dropped_total";

// All connections run on one thread, so the locks and strands of websocketpp are left out.
template <typename Base>
struct link_config : public Base
{
    using concurrency_type = ws::concurrency::none;
    using alog_type = ws::log::stub;
    using elog_type = ws::log::stub;
    using rng_type = ws::random::random_device::int_generator<std::uint32_t, concurrency_type>;
    static bool const enable_multithreading = false;

    struct transport_config : public Base::transport_config
    {
        using concurrency_type = ws::concurrency::none;
        using alog_type = ws::log::stub;
        using elog_type = ws::log::stub;
        static bool const enable_multithreading = false;
        static long const timeout_connect = 1000;
        static long const timeout_dns_resolve = 1000;
    };
    using transport_type = ws::transport::asio::endpoint<transport_config>;

    static long const timeout_open_handshake = 2000;
    static long const timeout_close_handshake = 1000;
    static std::size_t const max_http_body_size = 1024;
};

using server_endpoint = ws::server<link_config<ws::config::asio>>;
using client_endpoint = ws::client<link_config<ws::config::asio_client>>;

// Bytes of one websocket frame; frames of the dialling side carry a mask of 4 bytes (RFC 6455, 5.2).
std::size_t bytes_on_wire(std::size_t payload)
{
    std::size_t const length_field = payload < 126 ? 0 : payload < 65536 ? 2 : 8;
    return 2 + length_field + 4 + payload;
}

bool is_periodic(peer_message const& message)
{
    return std::holds_alternative<heartbeat>(message) || std::holds_alternative<engine_reports>(message) ||
           std::holds_alternative<data_centre_summary>(message);
}

std::optional<boost::asio::ip::tcp::endpoint> parse_address(std::string const& address)
{
    std::size_t const colon = address.rfind(':');
    if (colon == std::string::npos)
    {
        return std::nullopt;
    }
    std::string host = address.substr(0, colon);
    std::string const port = address.substr(colon + 1);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code fault;
    auto const ip = boost::asio::ip::make_address(host, fault);
    bool const digits =
        !port.empty() && port.size() <= 5 && port.find_first_not_of("0123456789") == std::string::npos;
    if (fault || !digits || std::stoul(port) > 65535)
    {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(ip, static_cast<std::uint16_t>(std::stoul(port)));
}

// Without this option, a small frame waits up to 40 ms for the acknowledgement of the previous one.
template <typename Connection>
void disable_delay(Connection& connection)
{
    boost::system::error_code unused;
    connection.get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true), unused);
}

// Skips an instance whose address is not known yet; it is dialled once the address is known.
void add_address(std::map<std::string, std::string>& addresses, std::string const& name,
                 std::string const& address)
{
    if (!address.empty())
    {
        addresses[name] = address;
    }
}

struct accepted_connection
{
    accepted_connection(server_endpoint::connection_ptr opened, acceptor_handshake fresh)
        : connection(std::move(opened)), handshake(std::move(fresh))
    {
    }

    server_endpoint::connection_ptr connection;
    acceptor_handshake handshake;
    bool hello_received = false;
    bool authenticated = false;
    instance_id from;
    unsigned silent_rounds = 0;
};

enum class dial_state
{
    waiting, // For the next attempt.
    connecting,
    awaiting_challenge, // The hello has been sent.
    open,
};

// The outgoing connection to one instance and the state of its connection attempts.
struct dialled_connection
{
    std::string address;
    dial_state state{dial_state::waiting};
    std::uint64_t attempt = 0; // Distinguishes the handlers of earlier connections from current ones.
    client_endpoint::connection_ptr connection;
    std::optional<dialler_handshake> handshake;
    steady_time next_attempt{};
    unsigned failures = 0;
    unsigned rounds_in_state = 0;
    bool pong_due = false;
    bool sent_since_ping = false;
    unsigned rounds_since_ping = 0;
};

} // namespace

class peer_link::impl
{
public:
    impl(peer_link_settings settings, event_sink& sink, metric_port& metrics, log_port& log)
        : settings_(std::move(settings)), sink_(sink), metrics_(metrics), log_(log), random_(settings_.seed),
          timer_(io_)
    {
    }

    ~impl()
    {
        if (!thread_.joinable())
        {
            return;
        }
        boost::asio::post(io_, [this] { close_all(); });
        thread_.join();
    }

    std_result<void> start();
    std::uint16_t port() const { return port_; }
    void set_addresses(bool from_list, std::map<std::string, std::string> addresses);
    void send(std::string const& to, peer_message const& message);

private:
    void run();
    void upkeep();
    void close_all();

    void on_accepted(ws::connection_hdl const& handle);
    void on_accepted_frame(ws::connection_hdl const& handle, server_endpoint::message_ptr const& frame);
    void authenticate(accepted_connection& accepted, std::string const& payload);
    void receive(accepted_connection& accepted, std::string const& payload);
    void refuse(accepted_connection& accepted, std::string const& why);
    void check_accepted();
    void terminate_accepted(std::function<bool(accepted_connection const&)> const& is_selected);

    void apply_addresses(std::map<std::string, std::string> const& addresses);
    void dial(std::string const& name, dialled_connection& peer);
    dialled_connection* find_attempt(std::string const& name, std::uint64_t attempt);
    void on_dialled(std::string const& name, std::uint64_t attempt);
    void on_challenge(std::string const& name, std::uint64_t attempt,
                      client_endpoint::message_ptr const& frame);
    void on_pong(std::string const& name, std::uint64_t attempt);
    void close_and_retry(std::string const& name, dialled_connection& peer, std::string const& why);
    void check_dialled(std::string const& name, dialled_connection& peer);
    void ping(std::string const& name, dialled_connection& peer);
    void send_queued(std::string const& name, dialled_connection& peer);
    void send_all_queued();
    void count_dropped(std::string_view why, std::size_t count);
    void log_peer_event(std::string event, std::string const& peer, std::string const& why);

    peer_link_settings const settings_;
    event_sink& sink_;
    metric_port& metrics_;
    log_port& log_;
    random_source random_;

    // Shared with the calling threads.
    std::mutex mutex_;
    std::map<std::string, std::string> listed_; // Addresses by name.
    std::map<std::string, std::string> members_;
    std::map<std::string, peer_queue> queues_;
    bool send_posted_ = false;
    std::atomic<std::uint16_t> port_{0};

    // Used by the link's thread only.
    boost::asio::io_context io_;
    boost::asio::steady_timer timer_;
    server_endpoint server_;
    client_endpoint client_;
    std::map<ws::connection_hdl, accepted_connection, std::owner_less<ws::connection_hdl>> accepted_;
    std::map<std::string, dialled_connection> dialled_;
    bool closing_ = false;
    std::thread thread_;
};

std_result<void> peer_link::impl::start()
{
    auto const address = parse_address(settings_.listen_address);
    if (!address || settings_.key.empty() || settings_.self.name.empty())
    {
        return std::errc::invalid_argument;
    }
    ws::lib::error_code fault;
    server_.init_asio(&io_, fault);
    client_.init_asio(&io_, fault);
    server_.set_reuse_addr(true);
    server_.set_open_handler([this](ws::connection_hdl const& handle) { on_accepted(handle); });
    server_.set_message_handler(
        [this](ws::connection_hdl const& handle, server_endpoint::message_ptr const& frame)
        { on_accepted_frame(handle, frame); });
    server_.set_close_handler([this](ws::connection_hdl const& handle) { accepted_.erase(handle); });
    server_.set_ping_handler(
        [this](ws::connection_hdl const& handle, std::string const& payload)
        {
            auto const found = accepted_.find(handle);
            if (found == accepted_.end() || !found->second.authenticated)
            {
                return false;
            }
            found->second.silent_rounds = 0;
            metrics_.add(received_metric, "ping", bytes_on_wire(payload.size()));
            return true;
        });
    server_.listen(*address, fault);
    if (!fault)
    {
        server_.start_accept(fault);
    }
    boost::system::error_code no_endpoint;
    port_ = server_.get_local_endpoint(no_endpoint).port();
    if (fault || no_endpoint)
    {
        return std::errc::io_error; // websocketpp does not pass on the cause.
    }
    thread_ = std::thread([this] { run(); });
    return boost::outcome_v2::success();
}

void peer_link::impl::run()
{
    upkeep();
    while (true)
    {
        try
        {
            io_.run();
            return;
        }
        catch (std::exception const& fault)
        {
            // websocketpp throws on resource exhaustion. The other connections must continue.
            log_peer_event("peer_link_fault", "", fault.what());
        }
    }
}

void peer_link::impl::upkeep()
{
    if (closing_)
    {
        return;
    }
    timer_.expires_after(upkeep_interval);
    timer_.async_wait([this](boost::system::error_code const&) { upkeep(); });
    for (auto& [name, peer] : dialled_)
    {
        check_dialled(name, peer);
    }
    check_accepted();
}

void peer_link::impl::close_all()
{
    closing_ = true;
    timer_.cancel();
    ws::lib::error_code fault;
    server_.stop_listening(fault);
    for (auto& [name, peer] : dialled_)
    {
        if (peer.connection)
        {
            ++peer.attempt;
            peer.connection->terminate(ws::lib::error_code());
        }
    }
    terminate_accepted([](accepted_connection const&) { return true; });
    // The shutdowns above need one more turn of the event loop each. A connection in its websocket upgrade
    // may need longer, so the loop ends after a fixed time.
    auto const end = std::make_shared<boost::asio::steady_timer>(io_, milliseconds{20});
    end->async_wait([this, end](boost::system::error_code const&) { io_.stop(); });
}

void peer_link::impl::on_accepted(ws::connection_hdl const& handle)
{
    ws::lib::error_code fault;
    auto const connection = server_.get_con_from_hdl(handle, fault);
    if (!connection)
    {
        return;
    }
    auto nonce = make_nonce();
    if (!nonce)
    {
        connection->terminate(ws::lib::error_code());
        return;
    }
    connection->set_max_message_size(max_handshake_bytes);
    disable_delay(*connection);
    accepted_.emplace(
        handle, accepted_connection(connection, {settings_.key, settings_.self, std::move(nonce).value()}));
}

void peer_link::impl::on_accepted_frame(ws::connection_hdl const& handle,
                                        server_endpoint::message_ptr const& frame)
{
    auto const found = accepted_.find(handle);
    if (found == accepted_.end())
    {
        return;
    }
    accepted_connection& accepted = found->second;
    if (frame->get_opcode() != ws::frame::opcode::binary)
    {
        return refuse(accepted, "frame is not binary");
    }
    if (!accepted.authenticated)
    {
        return authenticate(accepted, frame->get_payload());
    }
    receive(accepted, frame->get_payload());
}

void peer_link::impl::authenticate(accepted_connection& accepted, std::string const& payload)
{
    metrics_.add(received_metric, "handshake", bytes_on_wire(payload.size()));
    if (!accepted.hello_received)
    {
        auto const challenge = accepted.handshake.on_hello(payload);
        if (!challenge)
        {
            return refuse(accepted, "bad hello: " + challenge.error().message());
        }
        accepted.hello_received = true;
        accepted.connection->send(challenge.value(), ws::frame::opcode::binary);
        return;
    }
    auto const from = accepted.handshake.on_response(payload);
    if (!from)
    {
        return refuse(accepted, "bad response: " + from.error().message());
    }
    // The dialler opens a new connection only after it has given up its earlier one, which may still look
    // open on this side.
    terminate_accepted([&](accepted_connection const& other)
                       { return other.authenticated && other.from.name == from.value().name; });
    accepted.authenticated = true;
    accepted.from = from.value();
    accepted.silent_rounds = 0;
    accepted.connection->set_max_message_size(field_codec::max_encoded_bytes);
    log_peer_event("peer_accepted", accepted.from.name, "");
}

void peer_link::impl::receive(accepted_connection& accepted, std::string const& payload)
{
    accepted.silent_rounds = 0;
    auto message = decode_peer_message(payload);
    if (!message)
    {
        // A later release may send kinds that this one does not know, so the connection stays open.
        metrics_.add(received_metric, "undecodable", bytes_on_wire(payload.size()));
        count_dropped("undecodable", 1);
        return;
    }
    metrics_.add(received_metric, kind_name(message.value()), bytes_on_wire(payload.size()));
    if (!sink_.push(peer_received{accepted.from, std::move(message).value()}))
    {
        count_dropped("event_ring_full", 1);
    }
}

void peer_link::impl::refuse(accepted_connection& accepted, std::string const& why)
{
    count_dropped("refused_connection", 1);
    log_peer_event("peer_refused", accepted.from.name, why);
    auto const connection = accepted.connection; // The close handler destroys the entry.
    connection->terminate(ws::lib::error_code());
}

void peer_link::impl::check_accepted()
{
    for (auto& entry : accepted_)
    {
        ++entry.second.silent_rounds;
    }
    terminate_accepted(
        [](accepted_connection const& one) {
            return one.silent_rounds > (one.authenticated ? accepted_silence_rounds : handshake_limit_rounds);
        });
}

void peer_link::impl::terminate_accepted(std::function<bool(accepted_connection const&)> const& is_selected)
{
    // The close handler runs inside terminate and removes the entry.
    std::vector<server_endpoint::connection_ptr> connections;
    for (auto const& entry : accepted_)
    {
        if (is_selected(entry.second))
        {
            connections.push_back(entry.second.connection);
        }
    }
    for (auto const& connection : connections)
    {
        connection->terminate(ws::lib::error_code());
    }
}

void peer_link::impl::set_addresses(bool from_list, std::map<std::string, std::string> addresses)
{
    addresses.erase(settings_.self.name);
    std::lock_guard<std::mutex> const lock(mutex_);
    auto& replaced = from_list ? listed_ : members_;
    if (replaced == addresses)
    {
        return;
    }
    replaced = std::move(addresses);
    std::map<std::string, std::string> all = listed_;
    all.insert(members_.begin(), members_.end());
    for (auto queue = queues_.begin(); queue != queues_.end();)
    {
        queue = all.count(queue->first) == 0 ? queues_.erase(queue) : std::next(queue);
    }
    for (auto const& entry : all)
    {
        queues_[entry.first];
    }
    boost::asio::post(io_, [this, all = std::move(all)] { apply_addresses(all); });
}

void peer_link::impl::apply_addresses(std::map<std::string, std::string> const& addresses)
{
    if (closing_)
    {
        return;
    }
    for (auto peer = dialled_.begin(); peer != dialled_.end();)
    {
        auto const wanted = addresses.find(peer->first);
        if (wanted != addresses.end() && wanted->second == peer->second.address)
        {
            ++peer;
            continue;
        }
        close_and_retry(peer->first, peer->second, "address changed");
        peer = dialled_.erase(peer);
    }
    for (auto const& [name, address] : addresses)
    {
        auto const [peer, is_new] = dialled_.try_emplace(name);
        if (is_new)
        {
            peer->second.address = address;
            dial(name, peer->second);
        }
    }
}

void peer_link::impl::dial(std::string const& name, dialled_connection& peer)
{
    auto nonce = make_nonce();
    ws::lib::error_code fault;
    std::uint64_t const attempt = ++peer.attempt;
    auto const connection = client_.get_connection("ws://" + peer.address + "/peer", fault);
    if (!nonce || fault || !parse_address(peer.address))
    {
        return close_and_retry(name, peer, "cannot dial " + peer.address);
    }
    connection->set_max_message_size(max_handshake_bytes);
    connection->set_open_handler([this, name, attempt](ws::connection_hdl const&)
                                 { on_dialled(name, attempt); });
    auto const on_end = [this, name, attempt](ws::connection_hdl const& handle)
    {
        auto* const lost = find_attempt(name, attempt);
        if (lost != nullptr)
        {
            ws::lib::error_code unused;
            auto const ended = client_.get_con_from_hdl(handle, unused);
            close_and_retry(name, *lost, ended ? ended->get_ec().message() : "closed");
        }
    };
    connection->set_fail_handler(on_end);
    connection->set_close_handler(on_end);
    connection->set_pong_handler([this, name, attempt](ws::connection_hdl const&, std::string const&)
                                 { on_pong(name, attempt); });
    connection->set_message_handler(
        [this, name, attempt](ws::connection_hdl const&, client_endpoint::message_ptr const& frame)
        { on_challenge(name, attempt, frame); });
    peer.handshake.emplace(settings_.key, settings_.self, name, std::move(nonce).value());
    peer.connection = connection;
    peer.state = dial_state::connecting;
    peer.rounds_in_state = 0;
    client_.connect(connection);
}

dialled_connection* peer_link::impl::find_attempt(std::string const& name, std::uint64_t attempt)
{
    auto const found = dialled_.find(name);
    bool const current =
        found != dialled_.end() && found->second.connection && found->second.attempt == attempt;
    return current ? &found->second : nullptr;
}

void peer_link::impl::on_dialled(std::string const& name, std::uint64_t attempt)
{
    auto* const peer = find_attempt(name, attempt);
    if (peer == nullptr)
    {
        return;
    }
    disable_delay(*peer->connection);
    std::string const hello = peer->handshake->hello();
    peer->state = dial_state::awaiting_challenge;
    peer->rounds_in_state = 0;
    peer->connection->send(hello, ws::frame::opcode::binary);
    metrics_.add(sent_metric, "handshake", bytes_on_wire(hello.size()));
}

void peer_link::impl::on_challenge(std::string const& name, std::uint64_t attempt,
                                   client_endpoint::message_ptr const& frame)
{
    auto* const peer = find_attempt(name, attempt);
    if (peer == nullptr)
    {
        return;
    }
    if (peer->state != dial_state::awaiting_challenge || frame->get_opcode() != ws::frame::opcode::binary)
    {
        count_dropped("refused_connection", 1);
        return close_and_retry(name, *peer, "unexpected frame");
    }
    auto const response = peer->handshake->on_challenge(frame->get_payload());
    if (!response)
    {
        count_dropped("refused_connection", 1);
        return close_and_retry(name, *peer, "bad challenge: " + response.error().message());
    }
    peer->state = dial_state::open;
    peer->rounds_in_state = 0;
    peer->connection->send(response.value(), ws::frame::opcode::binary);
    metrics_.add(sent_metric, "handshake", bytes_on_wire(response.value().size()));
    // The pong to this ping shows that the acceptor has accepted the response.
    ping(name, *peer);
    if (find_attempt(name, attempt) != nullptr)
    {
        send_queued(name, *peer);
    }
}

void peer_link::impl::on_pong(std::string const& name, std::uint64_t attempt)
{
    auto* const peer = find_attempt(name, attempt);
    if (peer == nullptr)
    {
        return;
    }
    if (peer->failures > 0)
    {
        log_peer_event("peer_connected", name, "after " + std::to_string(peer->failures) + " failures");
    }
    peer->failures = 0;
    peer->pong_due = false;
}

void peer_link::impl::close_and_retry(std::string const& name, dialled_connection& peer,
                                      std::string const& why)
{
    if (peer.failures == 0)
    {
        log_peer_event("peer_lost", name, why);
    }
    auto const connection = std::exchange(peer.connection, nullptr);
    ++peer.attempt;
    unsigned const doublings = std::min(peer.failures++, 5U);
    duration const backoff = std::min<duration>(last_backoff, first_backoff * (1U << doublings));
    // Half of the wait is random, so that instances that lost a peer at the same time do not all reconnect to
    // it at the same time.
    peer.next_attempt =
        steady_now() + backoff / 2 + duration(random_.below(static_cast<std::uint64_t>(backoff.count() / 2)));
    peer.state = dial_state::waiting;
    peer.rounds_in_state = 0;
    peer.pong_due = false;
    peer.sent_since_ping = false;
    peer.rounds_since_ping = 0;
    if (connection)
    {
        connection->terminate(ws::lib::error_code());
    }
}

void peer_link::impl::check_dialled(std::string const& name, dialled_connection& peer)
{
    ++peer.rounds_in_state;
    ++peer.rounds_since_ping;
    switch (peer.state)
    {
    case dial_state::waiting:
        if (steady_now() >= peer.next_attempt)
        {
            dial(name, peer);
        }
        break;
    case dial_state::connecting: // websocketpp limits the connection and the upgrade; this is a second limit.
    case dial_state::awaiting_challenge:
        if (peer.rounds_in_state > 2 * handshake_limit_rounds)
        {
            return close_and_retry(name, peer, "handshake timed out");
        }
        break;
    case dial_state::open:
        if (peer.pong_due && peer.rounds_since_ping > pong_limit_rounds)
        {
            metrics_.add("siskin_peer_silent_total", "", 1);
            return close_and_retry(name, peer, "no pong within 3 s");
        }
        if (!peer.pong_due && peer.rounds_since_ping >= ping_interval_rounds &&
            (peer.sent_since_ping || peer.rounds_since_ping >= idle_ping_rounds))
        {
            ping(name, peer);
        }
        break;
    }
    send_queued(name, peer);
}

void peer_link::impl::ping(std::string const& name, dialled_connection& peer)
{
    ws::lib::error_code fault;
    peer.connection->ping("", fault);
    if (fault)
    {
        return close_and_retry(name, peer, fault.message());
    }
    metrics_.add(sent_metric, "ping", bytes_on_wire(0));
    peer.pong_due = true;
    peer.sent_since_ping = false;
    peer.rounds_since_ping = 0;
}

void peer_link::impl::send_queued(std::string const& name, dialled_connection& peer)
{
    while (true)
    {
        bool const ready =
            peer.state == dial_state::open && peer.connection->get_buffered_amount() < max_buffered_bytes;
        std::optional<queued_frame> frame;
        std::size_t stale = 0;
        {
            std::lock_guard<std::mutex> const lock(mutex_);
            auto const queue = queues_.find(name);
            if (queue == queues_.end())
            {
                return;
            }
            stale = queue->second.drop_stale(steady_now());
            frame = ready ? queue->second.pop() : std::nullopt;
        }
        count_dropped("waited_too_long", stale);
        if (!frame)
        {
            return;
        }
        ws::lib::error_code const fault = peer.connection->send(frame->bytes, ws::frame::opcode::binary);
        if (fault)
        {
            count_dropped("connection_lost", 1);
            return close_and_retry(name, peer, fault.message());
        }
        peer.sent_since_ping = true;
        metrics_.add(sent_metric, frame->kind, bytes_on_wire(frame->bytes.size()));
    }
}

void peer_link::impl::send_all_queued()
{
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        send_posted_ = false;
    }
    for (auto& [name, peer] : dialled_)
    {
        send_queued(name, peer);
    }
}

void peer_link::impl::send(std::string const& to, peer_message const& message)
{
    auto bytes = encode_peer_message(message);
    if (!bytes)
    {
        return count_dropped("too_large", 1);
    }
    std::size_t dropped = 0;
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        auto const queue = queues_.find(to);
        if (queue == queues_.end())
        {
            return count_dropped("unknown_peer", 1);
        }
        dropped = queue->second.push(
            {kind_name(message), is_periodic(message), steady_now(), std::move(bytes).value()});
        if (!std::exchange(send_posted_, true))
        {
            boost::asio::post(io_, [this] { send_all_queued(); });
        }
    }
    count_dropped("queue_full", dropped);
}

void peer_link::impl::count_dropped(std::string_view why, std::size_t count)
{
    if (count > 0)
    {
        metrics_.add(dropped_metric, why, count);
    }
}

void peer_link::impl::log_peer_event(std::string event, std::string const& peer, std::string const& why)
{
    log_.write({std::move(event), {{"peer", peer}, {"detail", why}}});
}

peer_link::peer_link(peer_link_settings settings, event_sink& sink, metric_port& metrics, log_port& log)
    : impl_(std::make_unique<impl>(std::move(settings), sink, metrics, log))
{
}

peer_link::~peer_link() = default;

std_result<void> peer_link::start()
{
    return impl_->start();
}

std::uint16_t peer_link::port() const
{
    return impl_->port();
}

void peer_link::set_members(std::vector<member> const& members)
{
    std::map<std::string, std::string> addresses;
    for (member const& one : members)
    {
        add_address(addresses, one.id.name, one.peer_address);
    }
    impl_->set_addresses(false, std::move(addresses));
}

void peer_link::on_instances(std::vector<listed_server> const& servers)
{
    std::map<std::string, std::string> addresses;
    for (listed_server const& one : servers)
    {
        if (one.kind == listed_kind::instance)
        {
            add_address(addresses, one.name, one.peer_address);
        }
    }
    impl_->set_addresses(true, std::move(addresses));
}

void peer_link::send(std::string const& to, peer_message const& message)
{
    impl_->send(to, message);
}

} // namespace siskinusher
