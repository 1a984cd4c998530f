#include "tests/standins/engine_server.hpp"

#include "core/rank.hpp"
#include "tests/standins/answer_text.hpp"

#include <random>
#include <thread>

#include <unistd.h>

namespace siskinusher::standins
{

using nlohmann::json;

namespace
{

std::uint64_t random_boot_id()
{
    std::random_device device;
    return ((static_cast<std::uint64_t>(device()) << 20) ^ device()) | 1U;
}

/// X-Priority is a rank or a number; the lowest number goes first.
unsigned priority_of(std::string const& text)
{
    if (auto const named = parse_rank(text))
    {
        return static_cast<unsigned>(index_of(*named));
    }
    bool const number = !text.empty() && text.find_first_not_of("0123456789") == std::string::npos;
    return number ? static_cast<unsigned>(std::stoul(text.substr(0, 6))) : 1U;
}

std::string chunk(json const& request, std::string const& id, unsigned index, bool last)
{
    json const choice{{"index", 0},
                      {"delta", {{"content", answer_word(request, index)}}},
                      {"finish_reason", last ? json("stop") : json()}};
    json const event{{"id", "chatcmpl-" + id},
                     {"object", "chat.completion.chunk"},
                     {"model", request.value("model", "")},
                     {"token_index", index},
                     {"choices", json::array({choice})}};
    return "data: " + event.dump() + "\n\n";
}

/// Calls finish() in its destructor, so that the place is freed however the request ends.
struct running_request
{
    engine_state& state;
    std::string const& id;
    std::string const& model;
    std::string const& adapter;

    ~running_request() { state.finish(id, model, adapter); }
};

void refuse(http_exchange& exchange, int status, std::string const& why)
{
    exchange.set_header("X-Execution", "not_run");
    exchange.reply(status, json{{"error", why}}.dump());
}

} // namespace

engine_server::engine_server(std::string const& host, std::uint16_t port, engine_settings settings,
                             generation_settings generation)
    : state_(std::move(settings), random_boot_id()), generation_(generation),
      server_(
          host, port, [this](http_exchange& exchange) { handle(exchange); },
          [this](json const& faults) { control(faults); })
{
}

void engine_server::handle(http_exchange& exchange)
{
    exchange.set_header("X-Boot-Id", std::to_string(state_.boot_id()));
    auto const route = exchange.method() + " " + exchange.path();
    if (route == "POST /v1/chat/completions")
    {
        complete(exchange);
    }
    else if (route == "POST /v1/cancel")
    {
        auto const id = json::parse(exchange.body()).value("request_id", exchange.header("X-Request-Id"));
        exchange.reply(200, json{{"cancelled", state_.cancel(id)}}.dump());
    }
    else if (route == "GET /engine/report")
    {
        exchange.reply(200, state_.report().dump());
    }
    else if (route == "POST /engine/orders")
    {
        order(exchange);
    }
    else
    {
        refuse(exchange, 404, "no such path: " + exchange.path());
    }
}

void engine_server::control(json const& faults)
{
    if (faults.contains("leaving"))
    {
        state_.set_leaving(faults["leaving"].get<bool>());
    }
    if (faults.value("ignore_epoch", false))
    {
        state_.ignore_epoch();
    }
    std::lock_guard<std::mutex> const lock(mutex_);
    crash_on_ = faults.value("crash_on", crash_on_);
}

void engine_server::complete(http_exchange& exchange)
{
    auto const request = json::parse(exchange.body());
    auto const id = exchange.header("X-Request-Id");
    exchange.set_header("X-Request-Id", id);
    auto const name = request.at("model").get<std::string>();
    auto const colon = name.find(':');
    auto const model = name.substr(0, colon);
    auto const adapter = colon == std::string::npos ? std::string() : name.substr(colon + 1);
    // Requests without an id get a key of their own, so that they do not share one entry in engine_state.
    auto const key =
        id.empty() ? "connection " + std::to_string(reinterpret_cast<std::uintptr_t>(&exchange)) : id;
    switch (state_.admit(key, model, adapter, priority_of(exchange.header("X-Priority")),
                         [&exchange] { return exchange.peer_closed(); }))
    {
    case admission::queue_full:
        refuse(exchange, 503, "the queue is full");
        return;
    case admission::not_loaded:
        refuse(exchange, 404, name + " is not loaded");
        return;
    case admission::caller_gone:
        exchange.abort();
        return;
    case admission::running:
        break;
    }
    if (carries_crash_marker(exchange.body()))
    {
        ::_exit(1);
    }
    running_request const running{state_, key, model, adapter};
    generate(exchange, request, key);
}

void engine_server::generate(http_exchange& exchange, json const& request, std::string const& id)
{
    unsigned const count = request.value("max_tokens", generation_.tokens);
    unsigned const from = request.value("continue_from_token", 0U);
    bool const stream = request.value("stream", false);
    auto next_token = std::chrono::steady_clock::now() + generation_.first_token;
    if (stream)
    {
        exchange.begin_stream();
    }
    for (unsigned i = from; i < count; ++i, next_token += generation_.token_interval)
    {
        std::this_thread::sleep_until(next_token);
        exchange.pause();
        bool const wanted =
            stream ? exchange.send_piece(chunk(request, id, i, i + 1 == count)) : !exchange.peer_closed();
        if (!wanted || state_.cancelled(id))
        {
            state_.cancel(id);
            exchange.abort();
            return;
        }
    }
    if (stream)
    {
        exchange.send_piece("data: [DONE]\n\n");
        return;
    }
    json const choice{{"index", 0},
                      {"message", {{"role", "assistant"}, {"content", answer_text(request, from, count)}}},
                      {"finish_reason", "stop"}};
    json const answer{{"id", "chatcmpl-" + id},
                      {"object", "chat.completion"},
                      {"model", request["model"]},
                      {"choices", json::array({choice})},
                      {"usage", {{"completion_tokens", count}}}};
    exchange.reply(200, answer.dump());
}

void engine_server::order(http_exchange& exchange)
{
    auto const body = json::parse(exchange.body());
    engine_order const order{body.at("epoch"), body.at("kind"), body.at("subject"), body.value("bytes", 0UL)};
    auto const answer = state_.take_order(order);
    json result{{"boot_id", state_.boot_id()}, {"revision", answer.revision}};
    if (answer.status != 200)
    {
        result["error"] = answer.problem;
    }
    exchange.reply(answer.status, result.dump());
}

bool engine_server::carries_crash_marker(std::string const& body)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return !crash_on_.empty() && body.find(crash_on_) != std::string::npos;
}

} // namespace siskinusher::standins
