#include "tests/standins/http_server.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerConnection.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/ThreadPool.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <exception>

#include <sys/prctl.h>
#include <unistd.h>

namespace siskinusher::standins
{

namespace
{

// Each connection occupies a thread, and every instance keeps idle connections open.
constexpr int max_connections = 512;

struct shared_state
{
    http_server::handler handle;
    http_server::control on_control;
    fault_switches faults;
};

class request_handler : public Poco::Net::HTTPRequestHandler
{
public:
    request_handler(shared_state& shared, std::uint64_t connection) : shared_(shared), connection_(connection)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response) override
    {
        http_exchange exchange(request, response, shared_.faults, connection_);
        try
        {
            answer(exchange);
        }
        catch (nlohmann::json::exception const& error)
        {
            exchange.reply(400, nlohmann::json{{"error", error.what()}}.dump());
        }
    }

private:
    void answer(http_exchange& exchange)
    {
        if (exchange.path() != "/control")
        {
            shared_.faults.pause(exchange.path());
            shared_.handle(exchange);
            return;
        }
        auto const control = nlohmann::json::parse(exchange.body());
        shared_.faults.apply(control);
        shared_.on_control(control);
        exchange.reply(200, "{}");
    }

    shared_state& shared_;
    std::uint64_t const connection_;
};

class handler_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit handler_factory(shared_state& shared)
        : shared_(shared), connection_(shared.faults.open_connection())
    {
    }

    Poco::Net::HTTPRequestHandler* createRequestHandler(Poco::Net::HTTPServerRequest const&) override
    {
        return new request_handler(shared_, connection_);
    }

private:
    shared_state& shared_;
    std::uint64_t const connection_;
};

class connection_factory : public Poco::Net::TCPServerConnectionFactory
{
public:
    connection_factory(shared_state& shared, Poco::Net::HTTPServerParams::Ptr params)
        : shared_(shared), params_(std::move(params))
    {
    }

    // POCO's interface prescribes the name.
    // NOLINTNEXTLINE(readability-identifier-naming)
    Poco::Net::TCPServerConnection* createConnection(Poco::Net::StreamSocket const& socket) override
    {
        auto accepted = socket;
        accepted.setNoDelay(true);
        return new Poco::Net::HTTPServerConnection(accepted, params_, new handler_factory(shared_));
    }

private:
    shared_state& shared_;
    Poco::Net::HTTPServerParams::Ptr params_;
};

Poco::Net::HTTPServerParams::Ptr server_params()
{
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(max_connections);
    params->setMaxQueued(max_connections);
    params->setKeepAlive(true);
    params->setKeepAliveTimeout(Poco::Timespan(60, 0));
    return params;
}

Poco::Net::ServerSocket listen_at(std::string const& host, std::uint16_t port)
{
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(host, port), true, false);
    socket.listen(256);
    return socket;
}

sigset_t stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    return signals;
}

} // namespace

class http_server::implementation
{
public:
    implementation(std::string const& host, std::uint16_t port, handler handle, control on_control)
        : pool_(2, max_connections + 2), params_(server_params()), socket_(listen_at(host, port)),
          server_(new connection_factory(shared_, params_), pool_, socket_, params_)
    {
        std::signal(SIGPIPE, SIG_IGN); // A write to a closed connection is reported as an error instead.
        shared_.handle = std::move(handle);
        shared_.on_control = std::move(on_control);
        server_.start();
    }

    ~implementation()
    {
        server_.stop();
        socket_.close();
    }

    shared_state shared_;
    Poco::ThreadPool pool_;
    Poco::Net::HTTPServerParams::Ptr params_;
    Poco::Net::ServerSocket socket_;
    Poco::Net::TCPServer server_;
};

http_server::http_server(std::string const& host, std::uint16_t port, handler handle, control on_control)
    : implementation_(std::make_unique<implementation>(host, port, std::move(handle), std::move(on_control)))
{
}

http_server::~http_server() = default;

std::uint16_t http_server::port() const
{
    return implementation_->socket_.address().port();
}

std::string http_server::address() const
{
    return implementation_->socket_.address().toString();
}

void exit_with_parent()
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
}

void block_stop_signals()
{
    auto const signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void wait_for_stop_signal()
{
    auto const signals = stop_signals();
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace siskinusher::standins
