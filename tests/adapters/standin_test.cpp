#include "tests/standins/answer_text.hpp"
#include "tests/standins/engine_server.hpp"
#include "tests/standins/http_call.hpp"
#include "tests/standins/platform_server.hpp"
#include "tests/standins/service_server.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

using namespace siskinusher::standins;
using nlohmann::json;

namespace
{

json completion(std::string const& model, unsigned tokens)
{
    json const message{{"role", "user"}, {"content", "which forms are needed?"}};
    return {{"model", model}, {"messages", json::array({message})}, {"max_tokens", tokens}, {"stream", true}};
}

int send_order(std::string const& engine, unsigned epoch, std::string const& kind, std::string const& subject,
               std::uint64_t bytes)
{
    json const order{{"id", 1}, {"epoch", epoch}, {"kind", kind}, {"subject", subject}, {"bytes", bytes}};
    return http_call(engine, "POST", "/engine/orders", order.dump())->status;
}

json get_json(std::string const& address, std::string const& path)
{
    return json::parse(http_call(address, "GET", path)->body);
}

engine_settings quick_engine()
{
    engine_settings settings;
    settings.remote_load_ms = 1.0;
    settings.report_lag = std::chrono::milliseconds{0};
    return settings;
}

generation_settings const quick_generation{std::chrono::milliseconds{1}, std::chrono::milliseconds{1}, 8};

} // namespace

// Guards against a stand-in whose answers hide truncation, gaps or mixed-up requests from the checks.
Test(standin_engine, stream_is_whole_and_resumable)
{
    engine_server const engine("127.0.0.1", 0, quick_engine(), quick_generation);
    cr_assert_eq(send_order(engine.address(), 1, "load_model", "m", 1000), 200);
    auto request = completion("m", 8);
    std::string const path = "/v1/chat/completions";
    auto const whole = http_call(engine.address(), "POST", path, request.dump(), {{"X-Request-Id", "r1"}});
    cr_assert(check_stream(request, whole->body, 0, 8).empty());
    cr_assert(whole->headers.at("X-Request-Id") == "r1");
    cr_assert(!check_stream(request, whole->body.substr(0, whole->body.size() - 14), 0, 8).empty());
    cr_assert(!check_stream(completion("other", 8), whole->body, 0, 8).empty());
    request["continue_from_token"] = 5;
    auto const rest = http_call(engine.address(), "POST", path, request.dump());
    cr_assert(check_stream(request, rest->body, 5, 8).empty());
    auto const absent = http_call(engine.address(), "POST", path, completion("absent", 8).dump());
    cr_assert_eq(absent->status, 404);
    cr_assert(absent->headers.at("X-Execution") == "not_run");
}

// Guards against violations of memory and fencing that the stand-in would not notice.
Test(standin_engine, refuses_or_counts_violations)
{
    engine_server const strict("127.0.0.1", 0, quick_engine(), quick_generation);
    cr_assert_eq(send_order(strict.address(), 5, "load_model", "m", 1000), 200);
    cr_assert_eq(send_order(strict.address(), 4, "load_model", "n", 1000), 409);
    cr_assert_eq(send_order(strict.address(), 5, "load_model", "n", 80'000'000'000), 507);
    cr_assert_eq(send_order(strict.address(), 5, "change_role", "n", 0), 422);
    auto loose_settings = quick_engine();
    loose_settings.enforce_memory = false;
    loose_settings.check_epoch = false;
    engine_server const loose("127.0.0.1", 0, loose_settings, quick_generation);
    cr_assert_eq(send_order(loose.address(), 5, "load_model", "m", 80'000'000'000), 200);
    cr_assert_eq(send_order(loose.address(), 4, "load_model", "n", 1000), 200);
    auto const violations = get_json(loose.address(), "/engine/report")["violations"];
    cr_assert_eq(violations["memory_overcommitted"], 2);
    cr_assert_eq(violations["old_epoch_order"], 1);
}

// Guards against two winners of a conditional write, on which leases, quotas and call records depend.
Test(standin_platform, conditional_update_race_has_one_winner)
{
    platform_server const platform("127.0.0.1", 0, std::chrono::milliseconds{0}, {});
    http_call(platform.address(), "PUT", "/objects/dc/a", "first", {{"If-None-Match", "*"}});
    auto const version = http_call(platform.address(), "GET", "/objects/dc/a")->headers.at("ETag");
    std::atomic<int> winners{0};
    std::vector<std::thread> writers;
    writers.reserve(8);
    for (int i = 0; i < 8; ++i)
    {
        writers.emplace_back(
            [&]
            {
                auto const answer =
                    http_call(platform.address(), "PUT", "/objects/dc/a", "next", {{"If-Match", version}});
                winners += answer->status == 200 ? 1 : 0;
            });
    }
    for (auto& writer : writers)
    {
        writer.join();
    }
    cr_assert_eq(winners.load(), 1);
}

// Guards against watches that miss a write.
Test(standin_platform, watch_wakes_on_a_write)
{
    platform_server const platform("127.0.0.1", 0, std::chrono::milliseconds{0}, {});
    cr_assert_eq(http_call(platform.address(), "GET", "/objects/c?watch=0&timeout_ms=10")->status, 304);
    std::thread writer(
        [&platform]
        {
            std::this_thread::sleep_for(std::chrono::milliseconds{50});
            http_call(platform.address(), "PUT", "/objects/c", "text", {{"If-None-Match", "*"}});
        });
    auto const seen = http_call(platform.address(), "GET", "/objects/c?watch=0&timeout_ms=4000");
    writer.join();
    cr_assert(seen->body == "text");
}

// Guards against a lost answer that also loses the write; the store's outage tests depend on the difference.
Test(standin_platform, a_lost_answer_keeps_its_effect)
{
    platform_server const platform("127.0.0.1", 0, std::chrono::milliseconds{0}, {});
    http_call(platform.address(), "POST", "/control", json{{"lose_answer", 1}, {"path", "/objects"}}.dump());
    cr_assert(!http_call(platform.address(), "PUT", "/objects/c", "text", {{"If-None-Match", "*"}}));
    cr_assert(http_call(platform.address(), "GET", "/objects/c")->body == "text");
    cr_assert_eq(get_json(platform.address(), "/objects?prefix=c")["objects"].size(), 1U);
}

// Guards against a silent fault that also hits new connections, which would look like a dead server.
Test(standin_faults, silent_affects_only_open_connections)
{
    service_server const service("127.0.0.1", 0, {});
    Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(service.address())};
    session.setKeepAlive(true);
    session.setTimeout(Poco::Timespan(0, 300000));
    Poco::Net::HTTPRequest request("GET", "/stock/tea", Poco::Net::HTTPRequest::HTTP_1_1);
    Poco::Net::HTTPResponse response;
    std::string body;
    session.sendRequest(request);
    Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
    cr_assert(body == stock_answer("tea"));
    http_call(service.address(), "POST", "/control", "{\"silent\":true}");
    session.sendRequest(request);
    cr_assert_throw(session.receiveResponse(response), Poco::TimeoutException);
    cr_assert(http_call(service.address(), "GET", "/stock/tea")->body == body);
}

// Guards against an audit that would not show a call that ran twice.
Test(standin_service, counts_each_execution)
{
    service_server const service("127.0.0.1", 0, {});
    for (int i = 0; i < 2; ++i)
    {
        http_call(service.address(), "POST", "/bookings", "{\"seat\":1}", {{"Idempotency-Key", "k1"}});
    }
    auto const audit = get_json(service.address(), "/audit");
    cr_assert_eq(audit["by_key"]["k1"], 2);
    cr_assert_eq(audit["by_body"]["{\"seat\":1}"], 2);
    auto const stock = http_call(service.address(), "GET", "/services/stock/stock/tea");
    cr_assert(stock->body == stock_answer("tea"));
}
