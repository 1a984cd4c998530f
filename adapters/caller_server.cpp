#include "adapters/caller_server.hpp"

#include "adapters/caller_connection_impl.hpp"
#include "adapters/socket_options.hpp"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <limits>
#include <unordered_map>
#include <utility>
#include <vector>

namespace siskinusher
{

namespace
{

constexpr int accept_backlog = 1024;
// Delay before the next accept after a failed one, for example when the process has no free descriptors.
constexpr duration accept_retry_delay = milliseconds{50};

} // namespace

caller_exchange::caller_exchange(std::shared_ptr<caller_connection> connection, request_head const& head,
                                 std::string body, std::shared_ptr<memory_share const> share,
                                 steady_time arrived)
    : connection_(std::move(connection)), head_(head),
      body_(std::make_shared<reserved_body const>(reserved_body{std::move(body), std::move(share)})),
      arrived_(arrived)
{
}

caller_exchange::~caller_exchange()
{
    abort();
}

std::shared_ptr<caller_exchange> caller_exchange::unwrap(request_head const& head, std::string body)
{
    done_ = true;
    return std::make_shared<caller_exchange>(connection_, head, std::move(body), body_->share, arrived_);
}

std::shared_ptr<std::string const> caller_exchange::shared_body() const
{
    return {body_, &body_->text};
}

std::string caller_exchange::caller_address() const
{
    return connection_->caller_address();
}

void caller_exchange::on_gone(std::function<void()> handler)
{
    connection_->on_gone(std::move(handler));
}

void caller_exchange::answer(int status, std::string_view header_lines, std::string_view body)
{
    if (!std::exchange(done_, true))
    {
        connection_->send_whole(status, header_lines, body);
    }
}

void caller_exchange::begin(int status, std::string_view header_lines)
{
    if (!done_)
    {
        connection_->begin(status, header_lines);
    }
}

void caller_exchange::write(std::string_view part)
{
    if (!done_)
    {
        connection_->write_part(part);
    }
}

void caller_exchange::end()
{
    if (!std::exchange(done_, true))
    {
        connection_->end();
    }
}

void caller_exchange::abort()
{
    if (!std::exchange(done_, true))
    {
        connection_->on_gone(nullptr);
        connection_->close();
    }
}

class caller_server::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(boost::asio::io_context& loop, caller_server_settings settings_in)
        : settings(std::move(settings_in)), acceptor(loop), accept_retry_timer(loop)
    {
    }

    void accept()
    {
        acceptor.async_accept(
            [self = shared_from_this()](boost::system::error_code error, boost::asio::ip::tcp::socket socket)
            {
                if (error == boost::asio::error::operation_aborted)
                {
                    return;
                }
                if (error)
                {
                    self->accept_retry_timer.expires_after(accept_retry_delay);
                    self->accept_retry_timer.async_wait([self](boost::system::error_code)
                                                        { self->accept(); });
                    return;
                }
                self->add(std::move(socket));
                self->accept();
            });
    }

    void add(boost::asio::ip::tcp::socket socket)
    {
        if (connections.size() >= settings.max_connections)
        {
            close_longest_idle();
        }
        auto connection = std::make_shared<caller_connection>(std::move(socket), state);
        connections.emplace(connection.get(), connection);
        connection->start();
    }

    void close_longest_idle()
    {
        std::shared_ptr<caller_connection> oldest;
        for (auto const& [key, each] : connections)
        {
            bool const unused = each->idle() || each->discarding();
            if (unused && (!oldest || each->idle_since() < oldest->idle_since()))
            {
                oldest = each;
            }
        }
        if (oldest)
        {
            oldest->close();
        }
    }

    // Closes the connections that hold most for answers until the rest has room.
    void break_off_largest()
    {
        request_memory const& memory = *state->memory;
        while (memory.overdrawn())
        {
            auto const largest =
                std::max_element(connections.begin(), connections.end(),
                                 [](auto const& a, auto const& b)
                                 { return a.second->unsent_bytes() < b.second->unsent_bytes(); });
            if (largest == connections.end() || largest->second->unsent_bytes() == 0)
            {
                return;
            }
            auto const connection = largest->second;
            broken_off_answer const facts{connection->caller_address(), connection->unsent_bytes(),
                                          memory.held(), memory.budget()};
            connection->close();
            if (on_broken_off)
            {
                on_broken_off(facts);
            }
        }
    }

    caller_server_settings const settings;
    std::function<void(broken_off_answer const&)> on_broken_off;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer accept_retry_timer;
    std::shared_ptr<caller_server_state> const state = std::make_shared<caller_server_state>();
    std::unordered_map<caller_connection*, std::shared_ptr<caller_connection>> connections;
};

caller_server::caller_server(boost::asio::io_context& loop, caller_server_settings settings,
                             handler on_request)
    : impl_(std::make_shared<implementation>(loop, std::move(settings)))
{
    impl_->state->on_request = std::move(on_request);
    impl_->state->memory = impl_->settings.memory
                               ? impl_->settings.memory
                               : std::make_shared<request_memory>(std::numeric_limits<std::size_t>::max());
    impl_->state->on_closed = [server = impl_.get()](caller_connection* closed)
    { server->connections.erase(closed); };
    // Closing a connection tells its user, who may be adding the answer to another one at the moment.
    impl_->state->on_overdrawn = [weak = std::weak_ptr<implementation>(impl_)]
    {
        if (auto const server = weak.lock())
        {
            boost::asio::post(server->acceptor.get_executor(), [server] { server->break_off_largest(); });
        }
    };
}

caller_server::~caller_server()
{
    boost::system::error_code ignored;
    impl_->acceptor.close(ignored);
    auto const open = impl_->connections;
    for (auto const& [key, connection] : open)
    {
        connection->on_gone(nullptr);
        connection->close();
    }
}

std::string caller_server::start()
{
    auto const endpoint = parse_endpoint(impl_->settings.address);
    if (!endpoint)
    {
        return "address '" + impl_->settings.address + "' is not an IP number and port";
    }
    boost::system::error_code error;
    auto const failed = [&error, this] { return impl_->settings.address + ": " + error.message(); };
    impl_->acceptor.open(endpoint->protocol(), error);
    if (error)
    {
        return failed();
    }
    impl_->acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    impl_->acceptor.bind(*endpoint, error);
    if (error)
    {
        return failed();
    }
    impl_->acceptor.listen(accept_backlog, error);
    if (error)
    {
        return failed();
    }
    impl_->accept();
    return {};
}

void caller_server::set_limits(caller_limits const& limits)
{
    impl_->state->limits = limits;
}

void caller_server::check_heads(head_check check)
{
    impl_->state->check_head = std::move(check);
}

void caller_server::on_no_memory(refusal_handler handler)
{
    impl_->state->on_no_memory = std::move(handler);
}

void caller_server::on_broken_off(std::function<void(broken_off_answer const&)> handler)
{
    impl_->on_broken_off = std::move(handler);
}

void caller_server::drain()
{
    impl_->state->draining = true;
}

void caller_server::close_idle()
{
    std::vector<std::shared_ptr<caller_connection>> idle;
    for (auto const& [key, each] : impl_->connections)
    {
        if (each->idle())
        {
            idle.push_back(each);
        }
    }
    for (auto const& each : idle)
    {
        each->close();
    }
}

std::size_t caller_server::open_requests() const
{
    return impl_->state->open_requests;
}

std::size_t caller_server::unsent_connections() const
{
    return static_cast<std::size_t>(std::count_if(impl_->connections.begin(), impl_->connections.end(),
                                                  [](auto const& each)
                                                  { return each.second->has_unsent(); }));
}

std::size_t caller_server::connections() const
{
    return impl_->connections.size();
}

} // namespace siskinusher
