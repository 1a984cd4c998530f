#include "apps/entry_process.hpp"
#include "tests/support/front_fixture.hpp"

#include <criterion/criterion.h>

#include <csignal>
#include <unistd.h>

#include <string>
#include <thread>

using namespace siskinusher;

// Guards against a shutdown that cuts an accepted request, accepts a new one, or is shortened by a second
// signal (invariant I8).
Test(entry_process, shutdown_finishes_accepted_requests_and_refuses_new_ones)
{
    entry_process::block_signals();
    std::atomic<bool> finish{false};
    fault_server const backend({[&finish](fault_connection& c)
                                {
                                    c.receive();
                                    c.begin_stream();
                                    c.send_token(0);
                                    while (!finish)
                                    {
                                        std::this_thread::sleep_for(milliseconds{5});
                                    }
                                    c.end_stream();
                                }});
    front_fixture fixture({backend.address()});
    shutdown_limits limits;
    limits.load_balancer = milliseconds{50};
    entry_process process(fixture.front, fixture.runner, fixture.ring, fixture.ports, limits);
    int code = -1;
    std::thread running([&] { code = process.run(); });

    std::string const body = "{\"model\":\"m\",\"stream\":true}";
    raw_client client(fixture.address());
    client.send("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) +
                "\r\n\r\n" + body);
    (void)client.read_until("token_index");
    ::kill(::getpid(), SIGTERM);
    cr_assert(fixture.record.wait_until([](core_record const& r) { return r.drained; }));
    ::kill(::getpid(), SIGTERM);
    cr_assert_eq(status_of(fixture.call("GET", "/readyz")), 503);
    std::string const refused = fixture.call("POST", "/v1/chat/completions", {}, body);
    cr_assert(refused.find("\"reason\":\"draining\",\"execution\":\"not_run\"") != std::string::npos);
    finish = true;
    cr_assert(client.read_until("[DONE]").find("[DONE]") != std::string::npos);
    running.join();
    cr_assert_eq(code, 0);
}
