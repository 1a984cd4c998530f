#include "adapters/outbound_pool.hpp"
#include "tests/adapters/scripted_server.hpp"

#include <boost/asio/io_context.hpp>

#include <criterion/criterion.h>

#include <memory>
#include <string>

using namespace siskinusher;

namespace
{

constexpr std::size_t body_size = 4194304;

} // namespace

// Guards against a copy of the body for each attempt, against a body that is cut or sent before the head, and
// against one that stays in memory after its exchange.
Test(outbound_body, body_is_sent_from_where_its_owner_keeps_it)
{
    scripted_server const server([](received_request const&) { return http_answer(200, "done"); });
    std::string content;
    for (std::size_t i = 0; content.size() < body_size; ++i)
    {
        content.append(std::to_string(i)).append(",");
    }
    auto body = std::make_shared<std::string const>(std::move(content));
    std::weak_ptr<std::string const> const watched = body;
    boost::asio::io_context loop{1};
    outbound_pool pool(loop);
    for (int i = 0; i < 2; ++i)
    {
        outbound_request request;
        request.address = server.address();
        request.method = "POST";
        request.bytes =
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body->size()) + "\r\n\r\n";
        request.body = body;
        request.time_limit = seconds{5};
        exchange_end end = exchange_end::lost;
        exchange_handlers handlers;
        handlers.on_end = [&end](exchange_end value) { end = value; };
        auto const exchange = pool.start(std::move(request), std::move(handlers));
        loop.restart();
        loop.run();
        cr_assert(end == exchange_end::complete, "%s", to_string(end));
    }
    auto const received = server.requests();
    cr_assert_eq(received.size(), 2U);
    cr_expect(received[0].body == *body);
    cr_expect(received[1].body == *body);
    body.reset();
    cr_expect(watched.expired());
}
