#include "adapters/outbound_pool.hpp"
#include "tests/support/fault_server.hpp"

#include <boost/asio/io_context.hpp>

#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>

using namespace siskinusher;

namespace
{

// More than the buffers of both sockets hold, so that the write is pending while the answer arrives.
constexpr std::size_t request_body_bytes = 16U << 20U;
constexpr duration time_limit = seconds{15};
constexpr std::chrono::milliseconds step_time{100};
std::string const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n";
std::string const half(400, 'a');

struct exchange_outcome
{
    exchange_end end = exchange_end::not_sent;
    std::string body;
};

enum class client_loop
{
    runs,
    /// It stands still until the server's script has ended, so that all that the server did is met in one
    /// turn.
    is_blocked,
};

// What a client gets for a long request to a server that runs the script and does not read the body.
exchange_outcome outcome_of(fault_server::script const& script, client_loop behaviour)
{
    std::atomic<bool> script_ended{false};
    fault_server const server({[&](fault_connection& connection)
                               {
                                   std::this_thread::sleep_for(step_time);
                                   script(connection);
                                   script_ended = true;
                               }});
    boost::asio::io_context loop{1};
    outbound_pool pool(loop);
    outbound_request request;
    request.address = server.address();
    request.method = "POST";
    request.body = std::make_shared<std::string const>(request_body_bytes, 'b');
    request.bytes =
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(request_body_bytes) + "\r\n\r\n";
    request.time_limit = time_limit;
    exchange_outcome result;
    exchange_handlers handlers;
    handlers.on_body = [&result](std::string const& part) { result.body.append(part); };
    handlers.on_end = [&result](exchange_end end) { result.end = end; };
    auto const exchange = pool.start(std::move(request), std::move(handlers));
    if (behaviour == client_loop::is_blocked)
    {
        loop.run_for(step_time / 2);
        while (!script_ended)
        {
            std::this_thread::sleep_for(step_time / 10);
        }
        std::this_thread::sleep_for(step_time); // The connection is closed after the script.
    }
    loop.run();
    return result;
}

} // namespace

// Guards against a truncated answer that is passed on as complete: the pending write takes the error of a
// reset, so that the read sees an orderly end.
Test(outbound_end, reset_during_a_write_does_not_complete_an_answer_without_a_length)
{
    for (client_loop const behaviour : {client_loop::runs, client_loop::is_blocked})
    {
        auto const outcome = outcome_of(
            [](fault_connection& connection)
            {
                connection.send(head + half);
                std::this_thread::sleep_for(step_time);
                connection.reset();
            },
            behaviour);
        cr_expect(outcome.end == exchange_end::lost, "%s", to_string(outcome.end));
    }
}

// Guards against the same when the kernel gives up a connection whose server does not read, which it reports
// as a time-out of the write.
Test(outbound_end, timed_out_write_does_not_complete_an_answer_without_a_length)
{
    auto const outcome = outcome_of(
        [](fault_connection& connection)
        {
            connection.send(head + half);
            // Longer than the limit for unacknowledged bytes and the pauses between the kernel's probes.
            std::this_thread::sleep_for(std::chrono::seconds(8));
        },
        client_loop::runs);
    cr_expect(outcome.end == exchange_end::lost, "%s", to_string(outcome.end));
}

// Guards against the loss of a whole answer that a server sends before it has read the request.
Test(outbound_end, orderly_end_during_a_write_completes_an_answer_without_a_length)
{
    auto const outcome = outcome_of(
        [](fault_connection& connection)
        {
            connection.send(head + half);
            connection.end_output();
            connection.wait_for_close();
        },
        client_loop::runs);
    cr_expect(outcome.end == exchange_end::complete, "%s", to_string(outcome.end));
    cr_expect_eq(outcome.body, half);
}

// Guards against the same when the server resets the connection behind the end of its answer, as it does when
// it closes with unread bytes.
Test(outbound_end, reset_behind_the_orderly_end_does_not_undo_it)
{
    for (client_loop const behaviour : {client_loop::runs, client_loop::is_blocked})
    {
        auto const outcome = outcome_of(
            [](fault_connection& connection)
            {
                connection.send(head + half);
                connection.end_output();
                std::this_thread::sleep_for(step_time);
                connection.reset();
            },
            behaviour);
        cr_expect(outcome.end == exchange_end::complete, "%s", to_string(outcome.end));
        cr_expect_eq(outcome.body, half);
    }
}
