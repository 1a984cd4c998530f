#include "adapters/caller_server.hpp"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

using namespace siskinusher;

namespace
{

using exchange_pointer = std::shared_ptr<caller_exchange>;

constexpr char const* event_stream = "Content-Type: text/event-stream\r\n";

std::string free_address()
{
    return Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", 0)).address().toString();
}

// A caller_server on a free port, whose event loop has a thread of its own.
class running_server
{
public:
    explicit running_server(caller_server::handler handle, caller_limits const& limits = {},
                            std::size_t max_connections = 100)
        : address_(free_address()),
          server_(std::make_unique<caller_server>(loop_, caller_server_settings{address_, max_connections},
                                                  std::move(handle)))
    {
        server_->set_limits(limits);
        std::string const error = server_->start();
        cr_assert(error.empty(), "%s", error.c_str());
        thread_ = std::thread([this] { loop_.run(); });
    }
    ~running_server()
    {
        on_loop([this] { server_.reset(); });
        work_.reset();
        thread_.join();
    }
    running_server(running_server const&) = delete;
    running_server& operator=(running_server const&) = delete;

    std::string const& address() const { return address_; }
    std::size_t open_requests()
    {
        std::size_t count = 0;
        on_loop([&] { count = server_->open_requests(); });
        return count;
    }
    std::size_t connections()
    {
        std::size_t count = 0;
        on_loop([&] { count = server_->connections(); });
        return count;
    }
    void drain()
    {
        on_loop([&] { server_->drain(); });
    }
    void check_heads(caller_server::head_check const& check)
    {
        on_loop([&] { server_->check_heads(check); });
    }
    /// Runs a task on the thread of the event loop and waits for its end.
    void on_loop(std::function<void()> const& task)
    {
        std::promise<void> done;
        boost::asio::post(loop_,
                          [&]
                          {
                              task();
                              done.set_value();
                          });
        done.get_future().wait();
    }

private:
    boost::asio::io_context loop_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{loop_.get_executor()};
    std::string const address_;
    std::unique_ptr<caller_server> server_;
    std::thread thread_;
};

enum class connection_end
{
    open, ///< Not closed within the time.
    closed,
    reset,
};

// A connection to a server that sends and receives bytes as they are.
class raw_caller
{
public:
    explicit raw_caller(std::string const& address, int receive_buffer = 0)
    {
        socket_.init(AF_INET);
        if (receive_buffer > 0)
        {
            socket_.setReceiveBufferSize(receive_buffer);
        }
        socket_.connect(Poco::Net::SocketAddress(address));
        socket_.setReceiveTimeout(Poco::Timespan(3, 0));
    }

    // Returns false when the server has closed the connection before all bytes were sent.
    bool send(std::string const& bytes)
    {
        try
        {
            std::size_t sent = 0;
            while (sent < bytes.size())
            {
                sent += static_cast<std::size_t>(
                    socket_.sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent)));
            }
            return true;
        }
        catch (Poco::Exception const&)
        {
            return false;
        }
    }

    // Receives until the bytes contain `end`, the connection ends or 3 s pass without a byte.
    std::string const& receive_until(std::string_view end)
    {
        while (received_.find(end) == std::string::npos && receive_some())
        {
        }
        return received_;
    }

    connection_end receive_all()
    {
        while (receive_some())
        {
        }
        return end_;
    }

    std::string const& received() const { return received_; }
    void forget_received() { received_.clear(); }

private:
    bool receive_some()
    {
        std::vector<char> buffer(65536);
        try
        {
            int const count = socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            received_.append(buffer.data(), static_cast<std::size_t>(std::max(count, 0)));
            end_ = count > 0 ? connection_end::open : connection_end::closed;
            return count > 0;
        }
        catch (Poco::TimeoutException const&)
        {
            end_ = connection_end::open;
        }
        catch (Poco::Exception const&)
        {
            end_ = connection_end::reset;
        }
        return false;
    }

    Poco::Net::StreamSocket socket_;
    std::string received_;
    connection_end end_{connection_end::open};
};

std::string request(std::string const& line, std::string const& headers = {})
{
    return line + "\r\nHost: h\r\n" + headers + "\r\n";
}

bool contains(std::string const& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

// The bytes after the first head.
std::string after_head(std::string const& bytes)
{
    std::size_t const end = bytes.find("\r\n\r\n");
    return end == std::string::npos ? "no complete head" : bytes.substr(end + 4);
}

// Answers /stream with two parts and all other requests with a whole body that names the path.
void answer_by_path(exchange_pointer const& exchange)
{
    std::string const path = exchange->head().target;
    if (path == "/stream")
    {
        exchange->begin(200, event_stream);
        exchange->write("data: 1\n\n");
        exchange->write("data: 2\n\n");
        exchange->end();
        return;
    }
    exchange->answer(200, "", "body of " + path);
}

// Keeps each exchange in `held`, with the first event of its answer written.
caller_server::handler hold_after_first_event(exchange_pointer& held)
{
    return [&held](exchange_pointer const& exchange)
    {
        held = exchange;
        exchange->begin(200, event_stream);
        exchange->write("data: 1\n\n");
    };
}

// Sends a request for a stream, breaks the answer off after its first event has arrived, and returns how the
// connection ends.
connection_end break_off_stream(raw_caller& caller, std::string const& line, running_server& server,
                                exchange_pointer& held)
{
    cr_assert(caller.send(request(line)));
    caller.receive_until("data: 1\n\n");
    server.on_loop([&held] { std::exchange(held, nullptr)->abort(); });
    return caller.receive_all();
}

} // namespace

// Guards against chunks after the head of a streamed answer to HEAD: the caller takes them for the start of
// its next answer on the kept connection.
Test(caller_server, streamed_answer_to_head_has_no_body)
{
    running_server const server(answer_by_path);
    raw_caller caller(server.address());
    cr_assert(caller.send(request("HEAD /stream HTTP/1.1")));
    std::string const head = caller.receive_until("\r\n\r\n");
    cr_assert(contains(head, "HTTP/1.1 200 OK\r\n"), "%s", head.c_str());
    cr_assert(caller.send(request("GET /next HTTP/1.1")));
    std::string const next = after_head(caller.receive_until("body of /next"));
    cr_assert_eq(next.find("HTTP/1.1 200 OK\r\n"), 0, "%s", next.c_str());
}

// Guards against the same when the next request is sent before the answer to HEAD has arrived.
Test(caller_server, request_pipelined_behind_head_gets_its_own_answer)
{
    running_server const server(answer_by_path);
    raw_caller caller(server.address());
    cr_assert(caller.send(request("HEAD /stream HTTP/1.1") + request("HEAD /whole HTTP/1.1") +
                          request("GET /next HTTP/1.1")));
    std::string const second = after_head(caller.receive_until("body of /next"));
    cr_assert_eq(second.find("HTTP/1.1 200 OK\r\n"), 0, "%s", second.c_str());
    std::string const third = after_head(second);
    cr_assert_eq(third.find("HTTP/1.1 200 OK\r\n"), 0, "%s", third.c_str());
    cr_assert_eq(after_head(third), "body of /next");
}

// Guards against chunk framing in an answer to HTTP/1.0, which does not know it: the caller would take the
// sizes of the chunks for a part of the body.
Test(caller_server, streamed_answer_to_http_1_0_ends_with_the_connection)
{
    running_server const server(answer_by_path);
    raw_caller caller(server.address());
    cr_assert(caller.send(request("GET /stream HTTP/1.0")));
    cr_assert_eq(caller.receive_all(), connection_end::closed);
    std::string const answer = caller.received();
    cr_assert_not(contains(answer, "Transfer-Encoding"), "%s", answer.c_str());
    cr_assert(contains(answer, "Connection: close\r\n"), "%s", answer.c_str());
    cr_assert_eq(after_head(answer), "data: 1\n\ndata: 2\n\n", "%s", answer.c_str());
}

// Guards against a broken-off answer that looks complete to HTTP/1.0, where an orderly close ends the body.
Test(caller_server, broken_off_answer_to_http_1_0_is_reset)
{
    exchange_pointer held;
    running_server server(hold_after_first_event(held));
    raw_caller caller(server.address());
    cr_assert_eq(break_off_stream(caller, "GET /stream HTTP/1.0", server, held), connection_end::reset);
}

// Guards against an answer that looks complete to HTTP/1.0 because the process stops while a part of it is
// still unsent.
Test(caller_server, unsent_answer_to_http_1_0_is_reset_when_the_server_stops)
{
    auto server = std::make_unique<running_server>(
        [](exchange_pointer const& exchange)
        {
            exchange->begin(200, event_stream);
            exchange->write(std::string(8U << 20U, 'x')); // More than the kernel's buffers take.
            exchange->end();
        });
    raw_caller caller(server->address(), 4096);
    cr_assert(caller.send(request("GET /stream HTTP/1.0")));
    caller.receive_until("\r\n\r\n");
    server.reset();
    cr_assert_eq(caller.receive_all(), connection_end::reset, "%zu bytes", caller.received().size());
}

// Guards against a closing chunk, or a reset that loses events already sent, when an answer to HTTP/1.1 is
// broken off: the missing closing chunk shows that the answer is incomplete.
Test(caller_server, broken_off_answer_to_http_1_1_has_no_closing_chunk)
{
    exchange_pointer held;
    running_server server(hold_after_first_event(held));
    raw_caller caller(server.address());
    cr_assert_eq(break_off_stream(caller, "GET /stream HTTP/1.1", server, held), connection_end::closed);
    cr_assert_eq(after_head(caller.received()), "9\r\ndata: 1\n\n\r\n", "%s", caller.received().c_str());
}

// Guards against "Content-Length: 0" in an answer to HEAD whose body was left out by the server: the value
// must be the length of the body that GET would get, which is unknown here.
Test(caller_server, whole_answer_to_head_claims_no_wrong_length)
{
    running_server const server(
        [](exchange_pointer const& exchange)
        { exchange->answer(200, "", exchange->head().target == "/known" ? "known body" : ""); });
    raw_caller caller(server.address());
    cr_assert(caller.send(request("HEAD /unknown HTTP/1.1")));
    std::string const unknown = caller.receive_until("\r\n\r\n");
    cr_assert(contains(unknown, "HTTP/1.1 200 OK\r\n"), "%s", unknown.c_str());
    cr_assert_not(contains(unknown, "Content-Length"), "%s", unknown.c_str());
    caller.forget_received();
    cr_assert(caller.send(request("HEAD /known HTTP/1.1") + request("GET /known HTTP/1.1")));
    std::string const known = caller.receive_until("known body");
    cr_assert(contains(known, "Content-Length: 10\r\n"), "%s", known.c_str());
    cr_assert_eq(after_head(known).find("HTTP/1.1 200 OK\r\n"), 0, "%s", known.c_str());
    caller.forget_received();
    cr_assert(caller.send(request("HEAD /unknown HTTP/1.1") + "malformed\r\n\r\n"));
    cr_assert_eq(caller.receive_all(), connection_end::closed);
    std::string const refusal = after_head(caller.received());
    cr_assert(contains(refusal, "Content-Length: 0\r\n"), "%s", refusal.c_str());
}

// Guards against body bytes, a length or chunk framing in answers 204 and 304, which have no body: the caller
// takes the bytes for the start of its next answer.
Test(caller_server, answers_204_and_304_have_no_body)
{
    running_server const server(
        [](exchange_pointer const& exchange)
        {
            std::string const target = exchange->head().target;
            if (target == "/next")
            {
                exchange->answer(200, "", "next body");
                return;
            }
            int const status = contains(target, "204") ? 204 : 304;
            if (contains(target, "whole"))
            {
                exchange->answer(status, "", "body");
                return;
            }
            exchange->begin(status, "");
            exchange->write("body");
            exchange->end();
        });
    for (std::string const target : {"/whole/204", "/whole/304", "/parts/204", "/parts/304"})
    {
        raw_caller caller(server.address());
        cr_assert(caller.send(request("GET " + target + " HTTP/1.1") + request("GET /next HTTP/1.1")));
        std::string const answers = caller.receive_until("next body");
        std::string const head = answers.substr(0, answers.find("\r\n\r\n"));
        cr_expect_not(contains(head, "Content-Length"), "%s: %s", target.c_str(), head.c_str());
        cr_expect_not(contains(head, "Transfer-Encoding"), "%s: %s", target.c_str(), head.c_str());
        cr_expect_eq(after_head(answers).find("HTTP/1.1 200 OK\r\n"), 0, "%s: %s", target.c_str(),
                     answers.c_str());
    }
}

// Guards against a 408 behind the last answer of a connection, for bytes that the caller sent after its last
// request: HTTP/1.0 takes it for the end of the body.
Test(caller_server, nothing_follows_the_last_answer)
{
    constexpr std::size_t size = 3900000; // More than the kernel takes, less than the server keeps.
    caller_limits limits;
    limits.idle_timeout = milliseconds{200};
    limits.head_timeout = milliseconds{200};
    running_server const server(
        [](exchange_pointer const& exchange)
        {
            exchange->begin(200, "");
            exchange->write(std::string(size, 'x'));
            exchange->end();
        },
        limits);
    raw_caller caller(server.address(), 4096);
    cr_assert(caller.send(request("GET /stream HTTP/1.0") + "GET /more"));
    std::this_thread::sleep_for(milliseconds{600});
    (void)caller.receive_all();
    std::string const body = after_head(caller.received());
    cr_assert_eq(body.size(), size, "the body ends with: %s",
                 body.substr(std::min(size, body.size())).c_str());
}

// Guards against a refusal that is lost: a close with unread bytes resets the connection, and the caller,
// which is still sending, sees the reset instead of the reason.
Test(caller_server, refusal_reaches_a_caller_that_is_still_sending)
{
    caller_limits limits;
    limits.head_bytes = 4096;
    limits.body_bytes = 100000;
    running_server const server(answer_by_path, limits);
    std::string const large(8U << 20U, 'x');
    std::vector<std::pair<std::string, std::string>> const cases{
        {"413", request("POST /large HTTP/1.1", "Content-Length: 8388608\r\n") + large},
        {"413", request("POST /chunks HTTP/1.1", "Transfer-Encoding: chunked\r\n") + "800000\r\n" + large},
        {"431", "GET /long HTTP/1.1\r\nHost: h\r\nLong: " + large},
        {"400", request("POST /bad HTTP/1.1", "Content-Length: bad\r\n") + large},
    };
    for (auto const& [status, bytes] : cases)
    {
        raw_caller caller(server.address());
        cr_expect(caller.send(bytes), "%s: closed while the caller was sending", status.c_str());
        connection_end const end = caller.receive_all();
        cr_expect_eq(caller.received().find("HTTP/1.1 " + status + " "), 0, "%s: %s", status.c_str(),
                     caller.received().c_str());
        cr_expect_eq(end, connection_end::closed, "%s", status.c_str());
    }
}

// Guards against the loss of a 408 when the caller goes on to send its body at that time.
Test(caller_server, refusal_for_lateness_reaches_a_caller_that_goes_on_sending)
{
    caller_limits limits;
    limits.head_timeout = milliseconds{200};
    running_server const server(answer_by_path, limits);
    raw_caller caller(server.address());
    cr_assert(caller.send("POST /late HTTP/1.1\r\n"));
    std::this_thread::sleep_for(milliseconds{300});
    cr_expect(caller.send(std::string(1U << 20U, 'x')), "closed while the caller was sending");
    cr_expect_eq(caller.receive_all(), connection_end::closed);
    cr_expect_eq(caller.received().find("HTTP/1.1 408 "), 0, "%s", caller.received().c_str());
}

// Guards against the loss of an answer after which the connection closes, when the caller has already sent
// more requests, and against an answer to one of those.
Test(caller_server, last_answer_reaches_a_caller_that_has_sent_more)
{
    std::atomic<unsigned> handled{0};
    running_server const server(
        [&handled](exchange_pointer const& exchange)
        {
            ++handled;
            answer_by_path(exchange);
        });
    raw_caller caller(server.address());
    std::string bytes = request("GET /last HTTP/1.1", "Connection: close\r\n");
    for (int i = 0; i < 100000; ++i)
    {
        bytes += request("GET /more HTTP/1.1");
    }
    cr_expect(caller.send(bytes), "closed while the caller was sending");
    cr_expect_eq(caller.receive_all(), connection_end::closed);
    cr_expect_eq(after_head(caller.received()), "body of /last", "%s", caller.received().c_str());
    cr_expect_eq(handled, 1);
}

// Guards against connections of callers that never close after the last answer staying open.
Test(caller_server, connection_of_a_caller_that_does_not_close_ends_in_time)
{
    running_server server(answer_by_path);
    raw_caller caller(server.address());
    cr_assert(caller.send(request("GET /last HTTP/1.1", "Connection: close\r\n")));
    cr_assert_eq(caller.receive_all(), connection_end::closed);
    auto const until = std::chrono::steady_clock::now() + seconds{5};
    while (server.connections() > 0 && std::chrono::steady_clock::now() < until)
    {
        (void)caller.send("x");
        std::this_thread::sleep_for(milliseconds{50});
    }
    cr_assert_eq(server.connections(), 0);
    cr_assert_eq(server.open_requests(), 0);
}

// Guards against a request being handled that was read while the last answer of its connection was not sent
// yet.
Test(caller_server, request_read_before_the_last_answer_is_not_handled)
{
    std::vector<exchange_pointer> held;
    running_server server([&held](exchange_pointer const& exchange) { held.push_back(exchange); });
    raw_caller caller(server.address());
    cr_assert(
        caller.send(request("GET /last HTTP/1.1", "Connection: close\r\n") + request("GET /more HTTP/1.1")));
    std::this_thread::sleep_for(milliseconds{100});
    std::size_t handled = 0;
    server.on_loop(
        [&held, &handled]
        {
            held.front()->answer(200, "", "last body");
            handled = held.size();
            held.clear();
        });
    cr_assert_eq(caller.receive_all(), connection_end::closed);
    cr_assert_eq(after_head(caller.received()), "last body", "%s", caller.received().c_str());
    cr_assert_eq(handled, 1);
}

// Guards against callers that never close after their last answer taking the place of new callers.
Test(caller_server, closing_connections_give_way_at_the_limit)
{
    constexpr std::size_t limit = 2;
    running_server server(answer_by_path, {}, limit);
    std::vector<std::unique_ptr<raw_caller>> callers;
    for (int i = 0; i < 5; ++i)
    {
        callers.push_back(std::make_unique<raw_caller>(server.address()));
        cr_assert(callers.back()->send(request("GET /last HTTP/1.1", "Connection: close\r\n")));
        cr_assert_eq(callers.back()->receive_all(), connection_end::closed);
        cr_assert_eq(after_head(callers.back()->received()), "body of /last");
        cr_assert_leq(server.connections(), limit);
    }
}

// Guards against requests being counted twice, or handled, after their connection was closed because the
// caller does not read: a stopping process would wait for them until its time is over.
Test(caller_server, caller_that_does_not_read_leaves_no_open_request)
{
    std::atomic<unsigned> handled{0};
    running_server server(
        [&handled](exchange_pointer const& exchange)
        {
            ++handled;
            exchange->answer(200, "", std::string(12U << 20U, 'x')); // Above the limit on unsent bytes.
        });
    for (std::string const headers : {"", "Expect: 100-continue\r\n"})
    {
        handled = 0;
        raw_caller caller(server.address(), 4096);
        cr_assert(caller.send(request("GET /1 HTTP/1.1") + request("GET /2 HTTP/1.1", headers) +
                              request("GET /3 HTTP/1.1")));
        auto const until = std::chrono::steady_clock::now() + seconds{3};
        while ((handled == 0 || server.connections() > 0) && std::chrono::steady_clock::now() < until)
        {
            std::this_thread::sleep_for(milliseconds{10});
        }
        cr_expect_eq(server.connections(), 0, "'%s'", headers.c_str());
        cr_expect_eq(server.open_requests(), 0, "'%s': %zu open requests", headers.c_str(),
                     server.open_requests());
        cr_expect_leq(handled, headers.empty() ? 2 : 1, "'%s': %u", headers.c_str(), handled.load());
    }
}

// Guards against a request that runs and whose connection is then closed without a byte of its answer: the
// caller sees a reset, takes the request for unread and sends it again.
Test(caller_server, request_behind_unsent_answers_is_not_handled)
{
    constexpr std::size_t requests = 20;
    std::atomic<std::size_t> handled{0};
    running_server const server(
        [&handled](exchange_pointer const& exchange)
        {
            ++handled;
            exchange->answer(200, "", std::string(1U << 20U, 'x'));
        });
    raw_caller caller(server.address(), 65536);
    std::string bytes;
    for (std::size_t i = 0; i < requests; ++i)
    {
        bytes += request("POST /once HTTP/1.1", "Content-Length: 0\r\n");
    }
    cr_assert(caller.send(bytes));
    std::this_thread::sleep_for(milliseconds{500}); // The caller does not read.
    (void)caller.receive_all();
    std::string const& received = caller.received();
    std::size_t begun = 0;
    for (std::size_t at = received.find("HTTP/1.1 "); at != std::string::npos;
         at = received.find("HTTP/1.1 ", at + 1))
    {
        ++begun;
    }
    cr_expect_eq(handled, begun, "%zu requests were handled, %zu answers have begun", handled.load(), begun);
    cr_expect_eq(begun, requests);
}

// Guards against a stack that grows with the number of pipelined requests that are answered at once.
Test(caller_server, pipelined_requests_use_no_stack_each)
{
    constexpr std::size_t count = 3000; // About as many as are read while the first one is being answered.
    constexpr std::ptrdiff_t max_spread = 65536;
    std::vector<exchange_pointer> held;
    std::vector<char const*> frames;
    running_server server(
        [&held, &frames](exchange_pointer const& exchange)
        {
            frames.push_back(static_cast<char const*>(__builtin_frame_address(0)));
            if (exchange->head().target == "/first")
            {
                held.push_back(exchange);
                return;
            }
            exchange->answer(200, "", "");
        });
    raw_caller caller(server.address());
    std::string bytes = request("GET /first HTTP/1.1");
    for (std::size_t i = 0; i < count; ++i)
    {
        bytes += "GET / HTTP/1.1\r\nHost:h\r\n\r\n";
    }
    bytes += request("GET /end HTTP/1.1", "Connection: close\r\n");
    cr_assert(caller.send(bytes));
    std::this_thread::sleep_for(milliseconds{200});
    server.on_loop(
        [&held]
        {
            held.front()->answer(200, "", "");
            held.clear();
        });
    cr_assert_eq(caller.receive_all(), connection_end::closed);
    server.on_loop([] {}); // Orders the writes of the handler before the reads below.
    cr_assert_eq(frames.size(), count + 2, "%zu requests", frames.size());
    // The first request comes from another path through the event loop.
    auto const [lowest, highest] = std::minmax_element(frames.begin() + 1, frames.end());
    cr_assert_leq(*highest - *lowest, max_spread, "%td bytes of stack", *highest - *lowest);
}

// Guards against an interim answer to HTTP/1.0, which does not know interim answers: the caller would take it
// for the answer to its request.
Test(caller_server, http_1_0_gets_no_interim_answer)
{
    running_server const server(answer_by_path);
    raw_caller caller(server.address());
    cr_assert(caller.send(request("POST /whole HTTP/1.0", "Content-Length: 4\r\nExpect: 100-continue\r\n") +
                          "body"));
    cr_assert_eq(caller.receive_all(), connection_end::closed);
    cr_assert_eq(caller.received().find("HTTP/1.1 200 OK\r\n"), 0, "%s", caller.received().c_str());
    raw_caller newer(server.address());
    cr_assert(newer.send(request("POST /whole HTTP/1.1", "Content-Length: 4\r\nExpect: 100-continue\r\n")));
    cr_assert_eq(newer.receive_until("\r\n\r\n"), "HTTP/1.1 100 Continue\r\n\r\n");
}

// Guards against a connection staying open although its caller asked for its end in a list of options.
Test(caller_server, close_is_found_in_a_list_of_connection_options)
{
    running_server const server(answer_by_path);
    for (std::string const value :
         {"close", "Close", "TE, close", "close , TE", "x,close", "TE\r\nConnection: close"})
    {
        raw_caller caller(server.address());
        cr_assert(caller.send(request("GET /last HTTP/1.1", "Connection: " + value + "\r\n")));
        std::string const answer = caller.receive_until("body of /last");
        cr_expect(contains(answer, "Connection: close\r\n"), "'%s': %s", value.c_str(), answer.c_str());
    }
    raw_caller caller(server.address());
    cr_assert(caller.send(request("GET /1 HTTP/1.1", "Connection: closed\r\n") + request("GET /2 HTTP/1.1")));
    cr_assert(contains(caller.receive_until("body of /2"), "body of /2"));
}

// Guards against the loss of a request on a kept connection that closes without notice, because its last
// answer had begun before the stop.
Test(caller_server, connection_closes_only_after_an_answer_that_says_so)
{
    exchange_pointer held;
    running_server server(
        [&held](exchange_pointer const& exchange)
        {
            if (exchange->head().target == "/stream")
            {
                hold_after_first_event(held)(exchange);
                return;
            }
            answer_by_path(exchange);
        });
    raw_caller caller(server.address());
    cr_assert(caller.send(request("GET /stream HTTP/1.1")));
    caller.receive_until("data: 1\n\n");
    server.drain();
    server.on_loop([&held] { std::exchange(held, nullptr)->end(); });
    caller.receive_until("0\r\n\r\n");
    caller.forget_received();
    cr_assert(caller.send(request("GET /next HTTP/1.1")));
    cr_assert_eq(caller.receive_all(), connection_end::closed);
    cr_assert(contains(caller.received(), "Connection: close\r\n"), "%s", caller.received().c_str());
    cr_assert_eq(after_head(caller.received()), "body of /next");
}

// Guards against the bodies of callers without a key: they are not read into memory and reach no handler, no
// interim answer invites them, and the caller that goes on sending gets its answer.
Test(caller_server, refused_head_is_answered_before_its_body_is_read)
{
    std::atomic<unsigned> handled{0};
    caller_limits limits;
    limits.body_bytes = 16U << 20U;
    running_server server(
        [&handled](exchange_pointer const& exchange)
        {
            ++handled;
            answer_by_path(exchange);
        },
        limits);
    server.check_heads(
        [](request_head const& head) -> std::optional<head_refusal>
        {
            return head.fields.has("Key") ? std::nullopt
                                          : std::optional(head_refusal{401, "Retry-After-Test: 1\r\n"});
        });
    std::string const large(8U << 20U, 'x');
    // Nothing, a part, and all of the body is sent before the answer.
    std::vector<std::string> const refused{
        request("POST /p HTTP/1.1", "Content-Length: 8388608\r\n"),
        request("POST /p HTTP/1.1", "Content-Length: 8388608\r\n") + "part",
        request("POST /p HTTP/1.1", "Content-Length: 8388608\r\n") + large,
        request("POST /p HTTP/1.1", "Transfer-Encoding: chunked\r\n") + "800000\r\n" + large,
        request("POST /p HTTP/1.1", "Expect: 100-continue\r\nContent-Length: 8388608\r\n")};
    for (std::string const& bytes : refused)
    {
        raw_caller caller(server.address());
        cr_expect(caller.send(bytes), "closed while the caller was sending");
        connection_end const end = caller.receive_all();
        cr_expect_eq(caller.received().find("HTTP/1.1 401 "), 0, "%s", caller.received().c_str());
        cr_expect(contains(caller.received(), "\r\nRetry-After-Test: 1\r\n"), "%s",
                  caller.received().c_str());
        cr_expect_not(contains(caller.received(), "100 Continue"), "%s", caller.received().c_str());
        cr_expect_eq(end, connection_end::closed);
    }
    cr_expect_eq(handled, 0U);
    raw_caller admitted(server.address());
    cr_assert(admitted.send(request("POST /p HTTP/1.1", "Key: 1\r\nContent-Length: 4\r\n") + "body"));
    cr_expect_eq(admitted.receive_until("\r\n\r\n").find("HTTP/1.1 200 "), 0, "%s",
                 admitted.received().c_str());
    cr_expect_eq(handled, 1U);
}

// Guards against a second request on the connection of a refused one, which is read from bytes of the body.
Test(caller_server, bytes_behind_a_refused_head_are_no_request)
{
    std::atomic<unsigned> handled{0};
    running_server server(
        [&handled](exchange_pointer const& exchange)
        {
            ++handled;
            answer_by_path(exchange);
        });
    server.check_heads(
        [](request_head const& head) {
            return head.target == "/no" ? std::optional(head_refusal{401, ""}) : std::nullopt;
        });
    raw_caller caller(server.address());
    cr_assert(caller.send(request("POST /no HTTP/1.1", "Content-Length: 37\r\n") +
                          request("GET /hidden HTTP/1.1") + request("GET /next HTTP/1.1")));
    (void)caller.receive_all();
    cr_expect_eq(caller.received().find("HTTP/1.1 401 "), 0, "%s", caller.received().c_str());
    cr_expect_not(contains(after_head(caller.received()), "HTTP/1.1"), "%s", caller.received().c_str());
    cr_expect_eq(handled, 0U);
}
