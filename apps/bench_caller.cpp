#include "apps/bench_caller.hpp"

#include "adapters/http_message.hpp"
#include "adapters/process_clock.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <nlohmann/json.hpp>

#include <utility>

namespace siskinusher
{

namespace
{

constexpr std::size_t max_head_bytes = 16384;
constexpr std::size_t max_error_text_bytes = 200;

double in_ms(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

/// Finds the tokens of a stream in the arriving body and measures the time to the first and between them.
class token_timer
{
public:
    explicit token_timer(steady_time start) : start_(start) {}

    void on_body(std::string const& body, completion_times& result)
    {
        steady_time const now = steady_now();
        for (auto at = body.find("data: ", seen_); at != std::string::npos; at = body.find("data: ", seen_))
        {
            if (body.find('\n', at) == std::string::npos)
            {
                return; // The rest of the event has not arrived yet.
            }
            seen_ = at + 6;
            if (body.compare(seen_, 6, "[DONE]") == 0)
            {
                done_ = true;
                return;
            }
            if (tokens_++ == 0)
            {
                result.first_ms = in_ms(now - start_);
            }
            else
            {
                result.gaps_ms.push_back(in_ms(now - last_));
            }
            last_ = now;
        }
    }
    bool done() const { return done_; }

private:
    steady_time const start_;
    steady_time last_{};
    std::size_t seen_ = 0;
    unsigned tokens_ = 0;
    bool done_ = false;
};

} // namespace

bench_caller::bench_caller(std::string address, std::string model)
    : address_(std::move(address)), model_(std::move(model))
{
}

bool bench_caller::connect()
{
    if (connection_ != nullptr && connection_->reusable())
    {
        return true;
    }
    try
    {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(address_), Poco::Timespan(2, 0));
        connection_ = std::make_unique<wire_connection>(socket);
        return true;
    }
    catch (Poco::Exception const&)
    {
        connection_.reset();
        return false;
    }
}

completion_times bench_caller::complete(unsigned tokens, bool stream, duration limit)
{
    completion_times result;
    if (!connect())
    {
        return result;
    }
    std::string const prompt = "measurement " + std::to_string(++requests_);
    nlohmann::json const body{{"model", model_},
                              {"max_tokens", tokens},
                              {"stream", stream},
                              {"messages", {{{"role", "user"}, {"content", prompt}}}}};
    std::string const text = body.dump();
    std::string const request = "POST /v1/chat/completions HTTP/1.1\r\nHost: " + address_ +
                                "\r\nContent-Type: application/json\r\nX-Rank: urgent\r\nX-Request-Id: " +
                                std::to_string(reinterpret_cast<std::uintptr_t>(this)) + "-" +
                                std::to_string(requests_) +
                                "\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
    steady_time const start = steady_now();
    steady_time const until = start + limit;
    std::string head;
    std::optional<response_head> response;
    bool const answered = connection_->write_all(request, until) == io_status::ok &&
                          receive_head(*connection_, head, max_head_bytes, until) == head_status::ok &&
                          (response = parse_response_head(head)).has_value();
    auto const framing = answered ? response_framing(*response, "POST") : std::nullopt;
    if (!framing)
    {
        connection_.reset();
        return result;
    }
    result.status = response->status;
    token_timer timer(start);
    body_reader reader(*connection_, *framing);
    std::string received;
    body_status status = body_status::more;
    while (status == body_status::more)
    {
        status = reader.read(received, until);
        if (stream)
        {
            timer.on_body(received, result);
        }
        else if (result.first_ms <= 0.0 && !received.empty())
        {
            result.first_ms = in_ms(steady_now() - start);
        }
    }
    result.total_ms = in_ms(steady_now() - start);
    result.complete_answer = status == body_status::complete && (!stream || timer.done());
    if (result.status != 200)
    {
        result.error_text = received.substr(0, max_error_text_bytes);
    }
    if (status != body_status::complete || framing->kind == body_kind::until_close ||
        !keeps_connection(response->version, response->fields))
    {
        connection_.reset();
    }
    return result;
}

} // namespace siskinusher
