#include "adapters/outbound_pool.hpp"
#include "tests/support/fault_server.hpp"

#include <boost/asio/io_context.hpp>

#include <criterion/criterion.h>

#include <memory>
#include <string>

using namespace siskinusher;

// Guards against use of freed memory: a handler that cancels its exchange must not be destroyed while it
// runs.
Test(outbound_exchange, handler_that_cancels_stays_alive_until_it_returns)
{
    fault_server server({[](fault_connection& caller)
                         {
                             (void)caller.receive();
                             caller.send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart");
                             caller.wait_for_close();
                         }});
    boost::asio::io_context loop{1};
    outbound_pool pool(loop);
    std::shared_ptr<outbound_exchange> exchange;
    auto captured = std::make_shared<std::string>("value that the handler uses");
    std::weak_ptr<std::string> const watched = captured;
    bool alive_after_cancel = false;
    exchange_handlers handlers;
    handlers.on_body = [&exchange, &alive_after_cancel, &watched, captured](std::string const& /*part*/)
    {
        auto& alive = alive_after_cancel;
        auto const& seen = watched;
        exchange->cancel();
        alive = !seen.expired();
    };
    captured.reset();
    outbound_request request;
    request.address = server.address();
    request.method = "GET";
    request.bytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    request.time_limit = seconds{5};
    exchange = pool.start(std::move(request), std::move(handlers));
    loop.run();
    cr_assert(alive_after_cancel);
    cr_assert(watched.expired(), "the handlers are released after the exchange has ended");
}
