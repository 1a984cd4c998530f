#if defined(__GNUC__) && !defined(__clang__)
// At -O3, GCC 12 wrongly reports a moved-from variant of store operations as uninitialized.
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif

#include "adapters/object_store_client.hpp"

#include "adapters/event_delivery.hpp"
#include "adapters/http_connection.hpp"
#include "adapters/outage_gate.hpp"
#include "adapters/process_clock.hpp"
#include "adapters/value_codec.hpp"
#include "core/bounded_queue.hpp"

#include <Poco/URI.h>

#include <array>
#include <atomic>
#include <charconv>
#include <deque>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace siskinusher
{

namespace
{

// The decision layer has a few dozen calls in flight at most; this limit only matters when
// a fault makes it send more.
constexpr std::size_t queue_capacity = 1024;
constexpr duration idle_wait = milliseconds{200};
constexpr char const* calls_metric = "siskin_store_calls_total";
constexpr char const* failure_metric = "siskin_store_failures_total";

// In the order of the alternatives of store_operation.
constexpr std::array<char const*, std::variant_size_v<store_operation>> operation_names{"get", "put",
                                                                                        "remove", "watch"};

struct pending_call
{
    store_request request;
    steady_time submitted{};
};

std::string quoted(object_version version)
{
    return "\"" + std::to_string(version) + "\"";
}

// Accepts exactly what quoted() writes; zero for anything else.
object_version parse_etag(std::string const& etag)
{
    object_version version = 0;
    if (etag.size() < 3 || etag.front() != '"' || etag.back() != '"')
    {
        return 0;
    }
    char const* const end = etag.data() + etag.size() - 1;
    auto const [rest, fault] = std::from_chars(etag.data() + 1, end, version);
    return fault == std::errc{} && rest == end ? version : 0;
}

} // namespace

class object_store_client::impl
{
public:
    impl(object_store_settings settings, event_sink& sink, metric_port& metrics, log_port& log)
        : settings_(std::move(settings)), sink_(sink), metrics_(metrics), log_(log),
          gate_(settings_.failures_to_outage, settings_.reconnect_spread, settings_.seed)
    {
        for (unsigned i = 0; i < settings_.workers; ++i)
        {
            threads_.emplace_back([this] { serve(calls_); });
        }
        for (unsigned i = 0; i < settings_.watch_workers; ++i)
        {
            threads_.emplace_back([this] { serve(watches_); });
        }
    }

    ~impl()
    {
        stopping_ = true;
        calls_.close();
        watches_.close();
        for (std::thread& one : threads_)
        {
            one.join();
        }
    }

    void submit(store_request const& request)
    {
        auto& queue = std::holds_alternative<store_watch>(request.operation) ? watches_ : calls_;
        if (queue.try_push({request, steady_now()}))
        {
            return;
        }
        metrics_.add(failure_metric, "ring_full", 1);
        std::lock_guard<std::mutex> const lock(mutex_);
        rejected_replies_.push_back({request.owner, request.tag, request.key, store_unavailable{}});
    }

private:
    using call_queue = bounded_queue<pending_call>;

    void serve(call_queue& calls);
    store_result perform(http_connection& connection, pending_call const& call);
    std::optional<http_call> encode(store_request const& request);
    http_outcome exchange(http_connection& connection, http_call const& call, char const* operation,
                          steady_time deadline);
    store_result interpret(store_request const& request, http_outcome const& outcome);
    store_result fail(std::string_view reason);
    void deliver_rejected_replies();

    object_store_settings const settings_;
    event_sink& sink_;
    metric_port& metrics_;
    log_port& log_;
    outage_gate gate_;
    std::atomic<bool> stopping_{false};
    call_queue calls_{queue_capacity};
    call_queue watches_{queue_capacity};
    std::mutex mutex_;
    std::deque<store_reply> rejected_replies_; // Replies to calls that found their queue full.
    std::vector<std::thread> threads_;
};

void object_store_client::impl::serve(call_queue& calls)
{
    http_connection connection(settings_.address, stopping_);
    while (!stopping_)
    {
        auto const call = calls.pop(idle_wait);
        deliver_rejected_replies();
        if (call && !stopping_)
        {
            store_request const& request = call->request;
            deliver(sink_, store_reply{request.owner, request.tag, request.key, perform(connection, *call)},
                    stopping_);
        }
    }
}

store_result object_store_client::impl::perform(http_connection& connection, pending_call const& call)
{
    bool const is_watch = std::holds_alternative<store_watch>(call.request.operation);
    steady_time const now = steady_now();
    // The time limit of a watch starts when a thread takes the watch, that of other calls at
    // their submission.
    steady_time const deadline = is_watch ? now + settings_.watch_time + settings_.watch_margin
                                          : call.submitted + settings_.call_limit;
    if (now >= deadline)
    {
        return fail("expired_in_ring");
    }
    auto const encoded = encode(call.request);
    if (!encoded)
    {
        log_.write({"store_value_too_large", {{"key", call.request.key}}});
        return fail("too_large");
    }
    if (!gate_.admit(now))
    {
        return fail("held_in_outage");
    }
    http_outcome const outcome =
        exchange(connection, *encoded, operation_names.at(call.request.operation.index()), deadline);
    if (outcome.status == 0 || outcome.status >= 500)
    {
        gate_.on_failure(steady_now());
        return fail(outcome.invalid_status ? "invalid_status"
                    : outcome.status == 0  ? "no_answer"
                                           : "server_error");
    }
    gate_.on_answer();
    return interpret(call.request, outcome);
}

std::optional<http_call> object_store_client::impl::encode(store_request const& request)
{
    http_call call;
    call.path = "/objects/";
    Poco::URI::encode(request.key, "?#%&+ ", call.path);
    if (auto const* const put = std::get_if<store_put>(&request.operation))
    {
        auto text = encode_store_value(put->value);
        if (!text)
        {
            return std::nullopt;
        }
        call.method = "PUT";
        call.body = std::move(text).value();
        call.headers.emplace_back(put->expected == 0 ? "If-None-Match" : "If-Match",
                                  put->expected == 0 ? "*" : quoted(put->expected));
        call.headers.emplace_back("Content-Type", "application/json");
    }
    else if (auto const* const remove = std::get_if<store_remove>(&request.operation))
    {
        call.method = "DELETE";
        call.headers.emplace_back("If-Match", quoted(remove->expected));
    }
    else if (auto const* const watch = std::get_if<store_watch>(&request.operation))
    {
        auto const wait = std::chrono::duration_cast<milliseconds>(settings_.watch_time).count();
        call.path += "?watch=" + std::to_string(watch->seen) + "&timeout_ms=" + std::to_string(wait);
    }
    return call;
}

http_outcome object_store_client::impl::exchange(http_connection& connection, http_call const& call,
                                                 char const* operation, steady_time deadline)
{
    metrics_.add(calls_metric, operation, 1);
    http_outcome outcome = connection.exchange(call, deadline);
    // The store may close an idle connection at the moment of its reuse. A write is repeated only when none
    // of its bytes were sent: otherwise the second copy would find the version that the first one created,
    // and be reported as a conflict.
    bool const may_repeat = call.method == "GET" || !outcome.sent;
    if (outcome.status == 0 && outcome.reused && may_repeat && steady_now() < deadline)
    {
        metrics_.add(calls_metric, operation, 1);
        outcome = connection.exchange(call, deadline);
    }
    return outcome;
}

store_result object_store_client::impl::interpret(store_request const& request, http_outcome const& outcome)
{
    bool const reads = std::holds_alternative<store_get>(request.operation) ||
                       std::holds_alternative<store_watch>(request.operation);
    switch (outcome.status)
    {
    case 200:
    case 201:
    case 204:
        break;
    case 304:
        return store_unchanged{};
    case 404:
        return std::holds_alternative<store_put>(request.operation) ? store_result{store_conflict{}}
                                                                    : store_result{store_absent{}};
    case 409:
    case 412:
        return store_conflict{};
    default:
        log_.write(
            {"store_call_refused", {{"key", request.key}, {"status", std::to_string(outcome.status)}}});
        return fail("status_" + std::to_string(outcome.status));
    }
    object_version const version = parse_etag(outcome.etag);
    if (std::holds_alternative<store_remove>(request.operation))
    {
        return store_written{0};
    }
    if (version == 0)
    {
        return fail("no_version");
    }
    if (!reads)
    {
        return store_written{version};
    }
    auto value = decode_store_value(outcome.body);
    if (!value)
    {
        log_.write({"store_value_undecodable", {{"key", request.key}, {"detail", value.error().message()}}});
        return fail("undecodable");
    }
    return store_found{std::move(value).value(), version};
}

store_result object_store_client::impl::fail(std::string_view reason)
{
    metrics_.add(failure_metric, reason, 1);
    return store_unavailable{};
}

void object_store_client::impl::deliver_rejected_replies()
{
    while (!stopping_)
    {
        std::optional<store_reply> next;
        {
            std::lock_guard<std::mutex> const lock(mutex_);
            if (rejected_replies_.empty())
            {
                return;
            }
            next = std::move(rejected_replies_.front());
            rejected_replies_.pop_front();
        }
        deliver(sink_, *next, stopping_);
    }
}

object_store_client::object_store_client(object_store_settings settings, event_sink& sink,
                                         metric_port& metrics, log_port& log)
    : impl_(std::make_unique<impl>(std::move(settings), sink, metrics, log))
{
}

object_store_client::~object_store_client() = default;

void object_store_client::submit(store_request const& request)
{
    impl_->submit(request);
}

} // namespace siskinusher
