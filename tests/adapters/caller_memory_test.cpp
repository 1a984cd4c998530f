#include "adapters/caller_server.hpp"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace siskinusher;

namespace
{

using exchange_pointer = std::shared_ptr<caller_exchange>;

constexpr std::size_t megabyte = 1000000;
constexpr std::size_t budget = 16 * megabyte;
constexpr std::size_t large_part = 14 * megabyte; ///< Of the budget, for requests that are not small.

constexpr std::size_t unread_answer = 3900000; ///< More than the kernel takes, less than the server keeps.

std::string free_address()
{
    return Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", 0)).address().toString();
}

// A caller_server with a budget. Requests below /held/ are not answered before release(), all others at once;
// the answer to /unread is long.
class bounded_server
{
public:
    bounded_server()
        : memory_(std::make_shared<request_memory>(budget)), address_(free_address()),
          server_(std::make_unique<caller_server>(loop_, caller_server_settings{address_, 200, memory_},
                                                  [this](exchange_pointer const& each) { on_request(each); }))
    {
        server_->on_no_memory(
            [this](request_head const& head, memory_refusal const& facts)
            {
                refused_.push_back(head.target);
                most_wanted_ = std::max(most_wanted_, facts.wanted);
                return std::string("Retry-After: 1\r\n");
            });
        server_->on_broken_off([this](broken_off_answer const&) { ++broken_off_; });
        std::string const error = server_->start();
        cr_assert(error.empty(), "%s", error.c_str());
        thread_ = std::thread([this] { loop_.run(); });
    }
    ~bounded_server()
    {
        on_loop(
            [this]
            {
                server_.reset();
                held_.clear();
            });
        work_.reset();
        thread_.join();
    }
    bounded_server(bounded_server const&) = delete;
    bounded_server& operator=(bounded_server const&) = delete;

    std::string const& address() const { return address_; }
    std::size_t bytes_held()
    {
        return read([this] { return memory_->held(); });
    }
    std::size_t most_held()
    {
        return read([this] { return most_held_; });
    }
    std::size_t waiting()
    {
        return read([this] { return held_.size(); });
    }
    std::size_t refused()
    {
        return read([this] { return refused_.size(); });
    }
    std::size_t answered()
    {
        return read([this] { return answered_; });
    }
    std::size_t spare_bytes()
    {
        return read([this] { return spare_bytes_; });
    }
    void set_limits(caller_limits const& limits)
    {
        on_loop([&] { server_->set_limits(limits); });
    }
    std::shared_ptr<std::string const> share_first_body()
    {
        std::shared_ptr<std::string const> body;
        on_loop([&] { body = held_.front()->shared_body(); });
        return body;
    }
    void drop(std::shared_ptr<std::string const>& body)
    {
        on_loop([&] { body.reset(); });
    }
    // Answers the requests that are held.
    void release(std::string const& body = "done")
    {
        on_loop(
            [&]
            {
                for (exchange_pointer const& each : held_)
                {
                    each->answer(200, "", body);
                }
                held_.clear();
            });
    }
    std::size_t broken_off()
    {
        return read([this] { return broken_off_; });
    }

private:
    void on_request(exchange_pointer const& exchange)
    {
        most_held_ = std::max(most_held_, memory_->held());
        spare_bytes_ = std::max(spare_bytes_, exchange->body().capacity() - exchange->body().size());
        if (exchange->head().target.rfind("/held/", 0) == 0)
        {
            held_.push_back(exchange);
            return;
        }
        ++answered_;
        bool const unread = exchange->head().target == "/unread";
        exchange->answer(200, "", unread ? std::string(unread_answer, 'x') : "done");
    }

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

    std::size_t read(std::function<std::size_t()> const& value)
    {
        std::size_t result = 0;
        on_loop([&] { result = value(); });
        return result;
    }

    boost::asio::io_context loop_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{loop_.get_executor()};
    std::shared_ptr<request_memory> const memory_;
    std::string const address_;
    std::vector<exchange_pointer> held_;
    std::vector<std::string> refused_;
    std::size_t most_wanted_ = 0;
    std::size_t most_held_ = 0;
    std::size_t broken_off_ = 0;
    std::size_t answered_ = 0;    ///< At once.
    std::size_t spare_bytes_ = 0; ///< Most bytes that a body's string has room for beyond the body.
    std::unique_ptr<caller_server> server_;
    std::thread thread_;
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
        socket_.setSendTimeout(Poco::Timespan(3, 0));
    }

    // Returns false when the connection ends, or takes no bytes, before all bytes are sent.
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

    // The head of the next answer, or what has arrived of it within 3 s.
    std::string head()
    {
        std::string received;
        std::vector<char> buffer(4096);
        try
        {
            while (received.find("\r\n\r\n") == std::string::npos)
            {
                int const count = socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
                if (count <= 0)
                {
                    break;
                }
                received.append(buffer.data(), static_cast<std::size_t>(count));
            }
        }
        catch (Poco::Exception const&)
        {
            received.append(" (broken off)");
        }
        return received;
    }

    // Receives until `text` arrives, and returns false when it does not.
    bool receives(std::string const& text)
    {
        std::string received;
        std::vector<char> buffer(65536);
        try
        {
            while (received.find(text) == std::string::npos)
            {
                int const count = socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
                if (count <= 0)
                {
                    return false;
                }
                received.append(buffer.data(), static_cast<std::size_t>(count));
            }
            return true;
        }
        catch (Poco::Exception const&)
        {
            return false;
        }
    }

    // Receives until that many bytes have arrived, and returns false when the connection ends before.
    bool receives_bytes(std::size_t wanted)
    {
        std::vector<char> buffer(65536);
        std::size_t received = 0;
        try
        {
            while (received < wanted)
            {
                int const count = socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
                if (count <= 0)
                {
                    return false;
                }
                received += static_cast<std::size_t>(count);
            }
            return true;
        }
        catch (Poco::Exception const&)
        {
            return false;
        }
    }

private:
    Poco::Net::StreamSocket socket_;
};

std::string head_of(std::string const& path, std::string const& header)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + header + "\r\n\r\n";
}

std::string request(std::string const& path, std::size_t size)
{
    return head_of(path, "Content-Length: " + std::to_string(size)) + std::string(size, 'x');
}

bool has_status(std::string const& head, std::string const& status)
{
    return head.rfind("HTTP/1.1 " + status + " ", 0) == 0;
}

// A refusal that says when the caller should come again, and that the connection ends.
bool is_refusal(std::string const& head)
{
    return has_status(head, "503") && head.find("Retry-After: 1\r\n") != std::string::npos &&
           head.find("Connection: close\r\n") != std::string::npos;
}

bool eventually(std::function<bool()> const& condition)
{
    auto const until = std::chrono::steady_clock::now() + std::chrono::seconds{5};
    while (std::chrono::steady_clock::now() < until)
    {
        if (condition())
        {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
    return false;
}

// Sends one request on a connection of its own and returns the head of the answer.
std::future<std::string> call(std::string const& address, std::string bytes)
{
    return std::async(std::launch::async,
                      [address, bytes = std::move(bytes)]
                      {
                          raw_caller caller(address);
                          return caller.send(bytes) ? caller.head() : std::string("not sent");
                      });
}

// Callers whose heads announce bodies that take up the part of the budget for large requests.
std::vector<std::unique_ptr<raw_caller>> fill(bounded_server const& server)
{
    std::vector<std::unique_ptr<raw_caller>> callers;
    for (std::size_t taken = 0; taken + 2 * megabyte <= large_part; taken += 2 * megabyte - 20000)
    {
        callers.push_back(std::make_unique<raw_caller>(server.address()));
        (void)callers.back()->send(head_of("/held/fill", "Content-Length: 1900000"));
    }
    return callers;
}

} // namespace

// Guards against a process that is ended because many callers send large bodies at once, against refusals
// that come late, and against small requests that are refused as well.
Test(caller_memory, large_bodies_at_once_stay_within_the_budget)
{
    constexpr int callers = 40;
    bounded_server server;
    std::vector<std::future<std::string>> heads;
    heads.reserve(callers);
    for (int i = 0; i < callers; ++i)
    {
        heads.push_back(call(server.address(), request("/held/large", megabyte)));
    }
    cr_assert(eventually([&] { return server.waiting() + server.refused() == callers; }));
    std::size_t const admitted = server.waiting();
    cr_expect_eq(admitted, 13U, "%zu", admitted); // 14 bodies, and the connections' own memory.
    for (int i = 0; i < 10; ++i)
    {
        std::string const head = call(server.address(), request("/small", 4000)).get();
        cr_expect(has_status(head, "200"), "%s", head.c_str());
    }
    std::size_t refused = 0;
    auto const soon = std::chrono::steady_clock::now() + std::chrono::seconds{2};
    for (auto& each : heads)
    {
        if (each.wait_until(soon) == std::future_status::ready)
        {
            std::string const head = each.get();
            cr_expect(is_refusal(head), "%s", head.c_str());
            ++refused;
        }
    }
    cr_expect_eq(refused, callers - admitted, "%zu", refused);
    cr_expect_leq(server.most_held(), budget);
    server.release();
    for (auto& each : heads)
    {
        cr_expect(!each.valid() || has_status(each.get(), "200"));
    }
    cr_expect(eventually([&] { return server.bytes_held() < megabyte; }), "%zu", server.bytes_held());
    cr_expect(has_status(call(server.address(), request("/large", 4 * megabyte)).get(), "200"));
}

// Guards against a decision that comes after the body, when the memory has been taken, and against a caller
// who is asked to send a body that is refused.
Test(caller_memory, request_is_refused_before_its_body_is_read)
{
    bounded_server server;
    auto const others = fill(server);
    cr_assert(eventually([&] { return server.bytes_held() > 13 * megabyte; }), "%zu", server.bytes_held());
    raw_caller caller(server.address());
    cr_assert(caller.send(head_of("/large", "Content-Length: 1900000\r\nExpect: 100-continue")));
    std::string const head = caller.head();
    cr_expect(is_refusal(head), "%s", head.c_str());
}

// Guards against a body of unknown length that takes memory beyond the budget while it arrives.
Test(caller_memory, body_of_unknown_length_is_refused_when_it_finds_no_room)
{
    bounded_server server;
    auto const others = fill(server);
    cr_assert(eventually([&] { return server.bytes_held() > 13 * megabyte; }), "%zu", server.bytes_held());
    std::string const chunk = "40000\r\n" + std::string(0x40000, 'x') + "\r\n";
    std::string text = head_of("/chunks", "Transfer-Encoding: chunked");
    for (int i = 0; i < 12; ++i)
    {
        text.append(chunk);
    }
    std::string const head = call(server.address(), text + "0\r\n\r\n").get();
    cr_expect(is_refusal(head), "%s", head.c_str());
    cr_expect_leq(server.bytes_held(), budget);
}

// Guards against chunks that are lost or mixed up when their memory grows, and against memory that is never
// returned.
Test(caller_memory, body_of_unknown_length_is_served_while_there_is_room)
{
    bounded_server server;
    std::string const chunk = "40000\r\n" + std::string(0x40000, 'x') + "\r\n";
    std::string text = head_of("/chunks", "Transfer-Encoding: chunked");
    for (int i = 0; i < 12; ++i)
    {
        text.append(chunk);
    }
    std::string const head = call(server.address(), text + "0\r\n\r\n").get();
    cr_expect(has_status(head, "200"), "%s", head.c_str());
    cr_expect(eventually([&] { return server.bytes_held() < megabyte / 10; }), "%zu", server.bytes_held());
}

// Guards against memory that is given to others while an attempt still sends the body that is in it.
Test(caller_memory, body_stays_reserved_until_its_last_user_is_gone)
{
    bounded_server server;
    auto head = call(server.address(), request("/held/shared", 3 * megabyte));
    cr_assert(eventually([&] { return server.waiting() == 1; }));
    auto body = server.share_first_body();
    server.release();
    cr_expect(has_status(head.get(), "200"));
    cr_expect_eq(body->size(), 3 * megabyte);
    cr_expect_gt(server.bytes_held(), 3 * megabyte, "%zu", server.bytes_held());
    server.drop(body);
    cr_expect(eventually([&] { return server.bytes_held() < megabyte; }), "%zu", server.bytes_held());
}

// Guards against bodies that take up to twice their size because their string has grown by doubling.
Test(caller_memory, body_has_no_spare_memory)
{
    bounded_server server;
    cr_expect(has_status(call(server.address(), request("/large", 3 * megabyte)).get(), "200"));
    cr_expect_eq(server.spare_bytes(), 0U, "%zu", server.spare_bytes());
}

// Guards against memory that stays reserved for callers that have gone before their bodies were complete.
Test(caller_memory, memory_of_callers_that_have_gone_is_returned)
{
    bounded_server server;
    auto others = fill(server);
    cr_assert(eventually([&] { return server.bytes_held() > 13 * megabyte; }), "%zu", server.bytes_held());
    others.clear();
    cr_expect(eventually([&] { return server.bytes_held() == 0; }), "%zu", server.bytes_held());
}

// Guards against a caller that sends the same body again and again because it is told that there will be
// room.
Test(caller_memory, body_that_never_finds_room_is_too_large)
{
    bounded_server server;
    caller_limits limits;
    limits.body_bytes = 2 * budget;
    server.set_limits(limits);
    raw_caller caller(server.address());
    cr_assert(caller.send(head_of("/large", "Content-Length: " + std::to_string(budget))));
    std::string const head = caller.head();
    cr_expect(has_status(head, "413"), "%s", head.c_str());
}

// Guards against a process that is ended because callers read slowly: what they have not read yet takes
// memory like the requests of others, and more requests would bring more such answers.
Test(caller_memory, unread_answers_leave_no_room_for_requests)
{
    bounded_server server;
    std::vector<std::unique_ptr<raw_caller>> slow;
    while (server.refused() == 0 && slow.size() < 20)
    {
        slow.push_back(std::make_unique<raw_caller>(server.address(), 4096));
        (void)slow.back()->send(request("/unread", 10));
        std::size_t const sent = slow.size();
        cr_assert(eventually([&] { return server.answered() + server.refused() == sent; }));
    }
    cr_expect_eq(server.refused(), 1U, "%zu of %zu", server.refused(), slow.size());
    cr_expect_leq(server.bytes_held(), budget + budget / 4, "%zu", server.bytes_held());
    std::string const refusal = slow.back()->head();
    cr_expect(is_refusal(refusal), "%s", refusal.c_str());
    slow.pop_back();
    for (auto const& each : slow)
    {
        cr_expect(each->receives_bytes(unread_answer), "an answer is broken off");
    }
    cr_expect(has_status(call(server.address(), request("/small", 10)).get(), "200"));
}

// Guards against connections that keep the memory of their largest answer after it has been read.
Test(caller_memory, memory_of_read_answers_is_returned)
{
    bounded_server server;
    std::vector<std::unique_ptr<raw_caller>> kept;
    for (int i = 0; i < 8; ++i)
    {
        kept.push_back(std::make_unique<raw_caller>(server.address()));
        cr_assert(kept.back()->send(request("/unread", 10)));
        cr_assert(kept.back()->receives_bytes(unread_answer));
    }
    cr_expect(eventually([&] { return server.bytes_held() < megabyte; }), "%zu", server.bytes_held());
}

// Guards against answers to requests that were admitted together, whose sizes nobody knew, and which exceed
// the memory: those that take most are broken off, and the others are sent.
Test(caller_memory, largest_answers_are_broken_off_when_all_exceed_the_memory)
{
    constexpr std::size_t callers = 12;
    bounded_server server;
    std::vector<std::unique_ptr<raw_caller>> slow;
    for (std::size_t i = 0; i < callers; ++i)
    {
        slow.push_back(std::make_unique<raw_caller>(server.address(), 4096));
        cr_assert(slow.back()->send(request("/held/unread", 10)));
    }
    cr_assert(eventually([&] { return server.waiting() == callers; }));
    server.release(std::string(unread_answer, 'x'));
    cr_assert(eventually([&] { return server.bytes_held() <= budget + budget / 4; }), "%zu",
              server.bytes_held());
    std::size_t whole = 0;
    for (auto const& each : slow)
    {
        whole += each->receives_bytes(unread_answer) ? 1 : 0;
    }
    cr_expect_geq(whole, 4U, "%zu", whole);
    cr_expect_gt(server.broken_off(), 0U);
    cr_expect_eq(whole + server.broken_off(), callers, "%zu, %zu", whole, server.broken_off());
}

// Guards against a request that is kept in memory, without a limit, while its caller does not read the answer
// to the one before.
Test(caller_memory, request_behind_an_unsent_answer_takes_little_memory)
{
    bounded_server server;
    raw_caller caller(server.address(), 4096);
    cr_assert(caller.send(request("/unread", 10)));
    std::string const bytes = request("/second", 3 * megabyte);
    auto sending = std::async(std::launch::async, [&] { return caller.send(bytes); });
    std::this_thread::sleep_for(std::chrono::milliseconds{500});
    // The unread answer counts as well, and nothing of it has been taken beyond what the kernel holds.
    std::size_t const held = server.bytes_held();
    cr_expect_geq(held, unread_answer, "%zu", held);
    cr_expect_leq(held, unread_answer + 300000U, "%zu", held);
    std::string const first = caller.head();
    cr_expect(has_status(first, "200"), "%s", first.c_str());
    cr_expect(caller.receives("HTTP/1.1 200 OK\r\n"), "the second request is not served");
    cr_expect(sending.get());
}
