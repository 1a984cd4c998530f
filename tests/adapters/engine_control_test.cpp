#include "adapters/engine_poller.hpp"
#include "adapters/http_connection.hpp"
#include "adapters/instance_list_client.hpp"
#include "adapters/order_client.hpp"
#include "adapters/process_clock.hpp"
#include "tests/adapters/recording_ports.hpp"
#include "tests/adapters/scripted_server.hpp"

#include <criterion/criterion.h>

#include <string>

using namespace siskinusher;

namespace
{

using ending = scripted_answer::ending;

order sample_order(steady_time lease_until)
{
    order what;
    what.what.id = ~std::uint64_t{0};
    what.what.engine = "e1";
    what.what.kind = order_kind::load_adapter;
    what.what.subject = "advice:law";
    what.what.bytes = 4096;
    what.epoch = 12;
    what.lease_until = lease_until;
    return what;
}

steady_time far_ahead()
{
    return steady_now() + seconds{3600};
}

// Sends one order to an address and returns its outcome.
order_outcome send(std::string const& address, steady_time lease_until, duration limit = seconds{60})
{
    recording_ports ports;
    order_client client({1, limit}, ports, ports, ports);
    client.submit(sample_order(lease_until), address);
    auto const outcomes = ports.wait_for<order_outcome>(1);
    cr_assert_eq(outcomes.size(), 1);
    cr_assert_eq(outcomes[0].intent_id, ~std::uint64_t{0});
    return outcomes[0];
}

order_result result_for(scripted_answer const& answer, duration limit = seconds{60})
{
    scripted_server engine([&](received_request const&) { return answer; });
    return send(engine.address(), far_ahead(), limit).result;
}

// Returns an address at which nothing listens.
std::string closed_address()
{
    return Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", 0)).address().toString();
}

std::string report(std::string const& name)
{
    return R"({"name":")" + name +
           R"(","boot_id":7,"revision":8,"leaving":false,"places":4,"running":0,"waiting":0})";
}

} // namespace

// Guards against an order that differs from the engines' interface.
Test(order_client, sends_the_order_and_reads_the_acknowledgement)
{
    scripted_server engine([](received_request const&)
                           { return http_answer(200, R"({"boot_id":18446744073709551615,"revision":3})"); });
    order_outcome const outcome = send(engine.address(), far_ahead());
    cr_assert(outcome.result == order_result::done);
    cr_assert(outcome.boot_id == ~std::uint64_t{0} && outcome.revision == 3);
    auto const seen = engine.requests();
    cr_assert_eq(seen.size(), 1);
    cr_assert_eq(seen[0].line, "POST /engine/orders");
    cr_assert_eq(seen[0].body, R"({"bytes":4096,"epoch":12,"id":18446744073709551615,"kind":"load_adapter",)"
                               R"("subject":"advice:law"})");
}

// Guards against an order from an instance whose lease has expired: another instance may hold the lease.
Test(order_client, sends_nothing_after_the_lease)
{
    scripted_server engine([](received_request const&) { return http_answer(200, "{}"); });
    cr_assert(send(engine.address(), steady_now()).result == order_result::not_sent);
    cr_assert(engine.requests().empty());
}

// Guards against checking the lease only before connecting: the lease may expire while the client connects.
Test(order_client, checks_the_lease_after_connecting)
{
    scripted_server engine([](received_request const&) { return http_answer(200, "{}"); });
    std::atomic<bool> const stopping{false};
    http_connection connection(engine.address(), stopping);
    http_call call;
    call.method = "POST";
    call.body = std::string(100000, 'x');
    auto const outcome = connection.exchange(call, far_ahead(), [] { return false; });
    cr_assert(outcome.status == 0 && !outcome.sent && !outcome.refused);
    cr_assert(engine.requests().empty());
}

// Guards against a result that claims more than the engine's answer proves: not_sent and refused release
// memory, so they must be true.
Test(order_client, maps_answers_to_results)
{
    cr_assert(result_for(http_answer(409, "{}")) == order_result::refused_epoch);
    cr_assert(result_for(http_answer(507, "{}")) == order_result::refused);
    cr_assert(result_for(http_answer(422, "{}")) == order_result::refused);
    cr_assert(result_for(http_answer(500, "{}")) == order_result::unknown);
    cr_assert(result_for(http_answer(200, "{\"boot_id\":1}")) == order_result::unknown);
    cr_assert(result_for({"", ending::close}) == order_result::unknown);
    cr_assert(result_for({"", ending::silence}, seconds{1}) == order_result::unknown);
    cr_assert(result_for({"HTTP/1.1 409 Conflict\r\n", ending::close}) == order_result::unknown);
    cr_assert(send(closed_address(), far_ahead()).result == order_result::not_sent);
    cr_assert(send("no address", far_ahead()).result == order_result::not_sent);
}

// Guards against slow loads that hold up other orders, and against orders without an outcome.
Test(order_client, sixteen_orders_are_in_flight_at_once)
{
    std::atomic<bool> release{false};
    std::atomic<int> in_flight{0};
    scripted_server engine(
        [&](received_request const&)
        {
            ++in_flight;
            eventually([&] { return release.load(); });
            return http_answer(200, R"({"boot_id":1,"revision":2})");
        });
    recording_ports ports;
    order_client client({}, ports, ports, ports);
    for (int i = 0; i < 40; ++i)
    {
        client.submit(sample_order(far_ahead()), engine.address());
    }
    cr_assert(eventually([&] { return in_flight == 16; }));
    release = true;
    cr_assert_eq(ports.wait_for<order_outcome>(40).size(), 40);
    cr_assert_eq(ports.count("siskin_order_results_total", "done"), 40);
}

// Guards against treating a service as unreachable because it has no engine report.
Test(engine_poller, reads_reports_of_engines_and_services)
{
    scripted_server engine([](received_request const&) { return http_answer(200, report("e1")); });
    scripted_server service(
        [](received_request const& request) {
            return request.line == "GET /service/report" ? http_answer(200, report("s1"))
                                                         : http_answer(404, "");
        });
    recording_ports ports;
    engine_poller poller({4, seconds{60}}, ports, ports);
    poller.poll("e1", engine.address());
    cr_assert_eq(ports.wait_for<engine_report_received>(1).at(0).report.name, "e1");
    poller.poll("s1", service.address());
    cr_assert_eq(ports.wait_for<engine_report_received>(2).at(1).report.boot_id, 7);
}

// Guards against a dead, silent, faulty or replaced server that keeps getting work.
Test(engine_poller, tells_unreachable_servers)
{
    auto const unreachable = [](std::string const& address)
    {
        recording_ports ports;
        engine_poller poller({}, ports, ports);
        poller.poll("e1", address);
        auto const found = ports.wait_for<engine_unreachable>(1);
        cr_assert(found.size() == 1 && found[0].name == "e1");
        return found[0].refused;
    };
    cr_assert(unreachable(closed_address()));
    for (auto const& answer : {scripted_answer{"", ending::silence}, scripted_answer{"", ending::close},
                               http_answer(200, report("e2")), http_answer(200, "{"), http_answer(500, "")})
    {
        scripted_server server([&](received_request const&) { return answer; });
        cr_assert(!unreachable(server.address()));
    }
}

// Guards against silent servers whose repeated polls fill the queue and delay those of live servers.
Test(engine_poller, polls_a_server_once_at_a_time)
{
    scripted_server silent([](received_request const&) { return scripted_answer{"", ending::silence}; });
    recording_ports ports;
    engine_poller poller({1, seconds{60}}, ports, ports);
    for (int i = 0; i < 50; ++i)
    {
        poller.poll("e1", silent.address());
    }
    cr_assert_eq(ports.count("siskin_polls_total", "in_progress"), 49);
}

// Guards against passing on a truncated or malformed list: instances missing from it would count as gone.
Test(instance_list_client, passes_on_whole_lists_only)
{
    std::string const row =
        R"({"name":"a-1","address":"127.0.0.1:1","kind":"instance","data_centre":"a","state":"live"})";
    std::atomic<int> calls{0};
    scripted_server platform(
        [&](received_request const& request)
        {
            cr_assert_eq(request.line, "GET /instances");
            std::string const whole = R"({"instances":[)" + row + "]}";
            switch (++calls)
            {
            case 1:
                return http_answer(200, whole);
            case 2:
                return http_answer(503, "[]");
            case 3:
                return http_answer(200, "{\"instances\":[" + row + ",{}]}");
            case 4:
                return scripted_answer{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n[]", ending::close};
            default:
                return http_answer(200, whole);
            }
        });
    recording_ports ports;
    instance_list_client client({platform.address(), milliseconds{1}, seconds{30}}, ports, ports, ports);
    auto const lists = ports.wait_for<instance_list_received>(2);
    cr_assert_geq(calls.load(), 5);
    for (auto const& one : lists)
    {
        cr_assert(one.servers.size() == 1 && one.servers[0].name == "a-1");
    }
}
