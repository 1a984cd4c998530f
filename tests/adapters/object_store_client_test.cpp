#include "adapters/object_store_client.hpp"
#include "adapters/outage_gate.hpp"
#include "adapters/value_codec.hpp"
#include "tests/adapters/recording_ports.hpp"
#include "tests/adapters/scripted_server.hpp"

#include <criterion/criterion.h>

#include <cstdio>
#include <set>
#include <string>

using namespace siskinusher;

namespace
{

std::string const etag_7 = "ETag: \"7\"\r\n";

quota_record sample_quota()
{
    quota_record record;
    record.rows["advice"]["valencia"] = {2, 3};
    record.write_nonce = ~std::uint64_t{0};
    return record;
}

// Assigned member by member: with sanitizers, GCC 12 wrongly reports the aggregate form as uninitialised.
store_operation put_at(object_version expected)
{
    store_put put;
    put.expected = expected;
    put.value = sample_quota();
    return put;
}

// The limit is much longer than a busy machine needs; tests of an unresponsive server shorten it.
object_store_settings to(scripted_server const& server, duration limit = seconds{60})
{
    object_store_settings settings;
    settings.address = server.address();
    settings.reconnect_spread = milliseconds{20};
    settings.call_limit = limit;
    return settings;
}

// The result of one call to a server that answers as given.
store_result call(scripted_answer const& answer, store_operation const& operation,
                  duration limit = seconds{60})
{
    scripted_server server([&](received_request const&) { return answer; });
    recording_ports ports;
    object_store_client client(to(server, limit), ports, ports, ports);
    client.submit({store_owner::quota, 42, "quota", operation});
    auto const replies = ports.wait_for<store_reply>(1);
    cr_assert_eq(replies.size(), 1);
    cr_assert(replies[0].owner == store_owner::quota && replies[0].tag == 42 && replies[0].key == "quota");
    return replies[0].result;
}

template <typename Result>
bool gives(scripted_answer const& answer, store_operation const& operation)
{
    bool const is_silent = answer.then == scripted_answer::ending::silence;
    return std::holds_alternative<Result>(call(answer, operation, is_silent ? seconds{1} : seconds{60}));
}

} // namespace

// Guards against calls that differ from the object API, above all a write without its condition.
Test(object_store_client, makes_the_calls_of_the_object_api)
{
    scripted_server server([](received_request const&) { return http_answer(200, "", etag_7); });
    recording_ports ports;
    object_store_settings settings = to(server);
    settings.workers = 1;
    settings.watch_workers = 1;
    object_store_client client(settings, ports, ports, ports);
    client.submit({store_owner::lease, 1, "dc/a b", put_at(0)});
    client.submit({store_owner::lease, 2, "dc/a b", put_at(6)});
    client.submit({store_owner::lease, 3, "dc/a b", store_remove{7}});
    client.submit({store_owner::lease, 4, "dc/a b", store_get{}});
    ports.wait_for<store_reply>(4);
    client.submit({store_owner::lease, 5, "dc/a b", store_watch{8}});
    ports.wait_for<store_reply>(5);
    auto const seen = server.requests();
    cr_assert_eq(seen.size(), 5);
    cr_assert_eq(seen[0].line, "PUT /objects/dc/a%20b");
    cr_assert(seen[0].head.find("If-None-Match: *") != std::string::npos);
    cr_assert_eq(seen[0].body, encode_store_value(sample_quota()).value());
    cr_assert(seen[1].head.find("If-Match: \"6\"") != std::string::npos);
    cr_assert_eq(seen[2].line, "DELETE /objects/dc/a%20b");
    cr_assert(seen[2].head.find("If-Match: \"7\"") != std::string::npos);
    cr_assert_eq(seen[3].line, "GET /objects/dc/a%20b");
    cr_assert_eq(seen[4].line, "GET /objects/dc/a%20b?watch=8&timeout_ms=3000");
    cr_assert_eq(ports.total("siskin_store_calls_total"), 5);
    cr_assert_eq(ports.count("siskin_store_calls_total", "put"), 2);
}

// Guards against a result that claims more than the answer proves.
Test(object_store_client, maps_answers_to_results)
{
    std::string const value = encode_store_value(sample_quota()).value();
    auto const found = call(http_answer(200, value, etag_7), store_get{});
    cr_assert(std::get<store_found>(found).value == store_value(sample_quota()));
    cr_assert_eq(std::get<store_found>(found).version, 7);
    auto const written = call(http_answer(200, "", etag_7), put_at(6));
    cr_assert_eq(std::get<store_written>(written).version, 7);
    cr_assert(gives<store_written>(http_answer(204, ""), store_remove{6}));
    cr_assert(gives<store_conflict>(http_answer(412, ""), put_at(6)));
    cr_assert(gives<store_conflict>(http_answer(409, ""), store_remove{6}));
    cr_assert(gives<store_absent>(http_answer(404, ""), store_get{}));
    cr_assert(gives<store_unchanged>(http_answer(304, ""), store_watch{7}));
    cr_assert(gives<store_unavailable>(http_answer(503, ""), put_at(6)));
    cr_assert(gives<store_unavailable>(http_answer(200, "", ""), put_at(6)));
    cr_assert(gives<store_unavailable>(http_answer(200, "{\"type\":1}", etag_7), store_get{}));
    cr_assert(gives<store_unavailable>(http_answer(200, value, "ETag: \"7x\"\r\n"), store_get{}));
    store_put large;
    large.value = config_object{1, std::string(2 << 20, 'x')};
    cr_assert(gives<store_unavailable>(http_answer(200, "", etag_7), large));
}

// Guards against a lost, truncated or missing answer being taken for a result. A write may then have taken
// effect.
Test(object_store_client, lost_answers_are_unavailable)
{
    store_operation const put = put_at(6);
    using ending = scripted_answer::ending;
    cr_assert(gives<store_unavailable>({"", ending::close}, put));
    cr_assert(gives<store_unavailable>({"", ending::silence}, put));
    cr_assert(gives<store_unavailable>({"HTTP/1.1 200 OK\r\nETag: \"7\"\r\n", ending::close}, put));
    cr_assert(gives<store_unavailable>({"HTTP/1.1 412 Precondition Failed\r\n", ending::close}, put));
    std::string const value = encode_store_value(sample_quota()).value();
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", value.size());
    std::string const chunk =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + etag_7 + "\r\n" + size + value + "\r\n";
    cr_assert(gives<store_unavailable>({chunk, ending::close}, store_get{}));
    cr_assert(gives<store_found>({chunk + "0\r\n\r\n", ending::close}, store_get{}));
    std::string cut = http_answer(200, value, etag_7).bytes;
    cut.resize(cut.size() - 1);
    cr_assert(gives<store_unavailable>({cut, ending::close}, store_get{}));
    cr_assert(gives<store_unavailable>({cut, ending::silence}, store_get{}));
}

// Guards against a write that is sent twice: its second copy would find the version of the first one and be
// reported as a conflict, which says that nothing was written.
Test(object_store_client, never_repeats_a_write_that_was_sent)
{
    std::atomic<int> calls{0};
    scripted_server server(
        [&](received_request const&)
        {
            return ++calls == 1 ? http_answer(200, "", etag_7)
                                : scripted_answer{"", scripted_answer::ending::close};
        });
    recording_ports ports;
    object_store_settings settings = to(server);
    settings.workers = 1;
    object_store_client client(settings, ports, ports, ports);
    client.submit({store_owner::lease, 1, "quota", put_at(6)});
    ports.wait_for<store_reply>(1);
    client.submit({store_owner::lease, 2, "quota", put_at(7)});
    auto const replies = ports.wait_for<store_reply>(2);
    cr_assert(std::holds_alternative<store_unavailable>(replies[1].result));
    cr_assert_eq(server.requests().size(), 2);
}

// Guards against watches that delay renewals of the lease.
Test(object_store_client, a_waiting_watch_blocks_no_other_call)
{
    scripted_server server(
        [](received_request const& request)
        {
            return request.line.find("watch=") != std::string::npos
                       ? scripted_answer{"", scripted_answer::ending::silence}
                       : http_answer(200, "", etag_7);
        });
    recording_ports ports;
    object_store_client client(to(server), ports, ports, ports);
    for (std::uint64_t tag = 0; tag < 10; ++tag)
    {
        client.submit({store_owner::configuration, tag, "config", store_watch{1}});
    }
    cr_assert(eventually([&] { return server.requests().size() == 2; }), "two watches are to be under way");
    client.submit({store_owner::lease, 99, "dc/a", put_at(6)});
    auto const replies = ports.wait_for<store_reply>(1);
    cr_assert(replies[0].tag == 99 && std::holds_alternative<store_written>(replies[0].result));
}

// Guards against a client that stays disconnected after an outage, or that loses replies during one.
Test(object_store_client, recovers_after_an_outage)
{
    scripted_server server([](received_request const&) { return http_answer(200, "", etag_7); });
    recording_ports ports;
    object_store_client client(to(server), ports, ports, ports);
    server.set_down(true);
    for (std::uint64_t tag = 0; tag < 200; ++tag)
    {
        client.submit({store_owner::lease, tag, "dc/a", put_at(6)});
    }
    auto const lost = ports.wait_for<store_reply>(200);
    std::set<std::uint64_t> tags;
    for (store_reply const& one : lost)
    {
        cr_assert(std::holds_alternative<store_unavailable>(one.result));
        tags.insert(one.tag);
    }
    cr_assert_eq(tags.size(), 200, "each call gets one reply");
    cr_assert_gt(ports.count("siskin_store_failures_total", "held_in_outage"), 0);
    server.set_down(false);
    cr_assert(eventually(
        [&]
        {
            client.submit({store_owner::lease, 1000, "dc/a", put_at(6)});
            auto const replies = ports.all<store_reply>();
            return std::holds_alternative<store_written>(replies.back().result);
        }));
}

// Guards against the whole fleet calling at the moment when the store returns.
Test(outage_gate, spreads_the_return_over_the_given_time)
{
    steady_time const start{seconds{100}};
    std::set<std::int64_t> returns;
    for (std::uint64_t seed = 0; seed < 200; ++seed)
    {
        outage_gate gate(3, seconds{5}, seed);
        for (int i = 0; i < 3; ++i)
        {
            cr_assert(gate.admit(start), "single failures hold nothing back");
            gate.on_failure(start);
        }
        duration waited{0};
        while (!gate.admit(start + waited))
        {
            waited += milliseconds{10};
            cr_assert_leq(waited.count(), duration(seconds{5}).count());
        }
        cr_assert(!gate.admit(start + waited), "one call at a time tries");
        gate.on_answer();
        cr_assert(gate.admit(start + waited));
        returns.insert(waited / milliseconds{500});
    }
    cr_assert_geq(returns.size(), 9, "the returns must fall into all parts of the time");
}
