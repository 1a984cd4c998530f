#pragma once

#include "tests/standins/engine_state.hpp"
#include "tests/standins/http_server.hpp"

#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>

namespace siskinusher::standins
{

struct generation_settings
{
    std::chrono::milliseconds first_token{20};
    std::chrono::milliseconds token_interval{5};
    unsigned tokens = 16; ///< Length of an answer when the request has no max_tokens.
};

/// A stand-in for a model engine: its HTTP interface over engine_state.
class engine_server
{
public:
    engine_server(std::string const& host, std::uint16_t port, engine_settings settings,
                  generation_settings generation);

    std::string address() const { return server_.address(); }
    std::uint16_t port() const { return server_.port(); }

private:
    void handle(http_exchange& exchange);
    void control(nlohmann::json const& faults);
    void complete(http_exchange& exchange);
    void generate(http_exchange& exchange, nlohmann::json const& request, std::string const& id);
    void order(http_exchange& exchange);
    bool carries_crash_marker(std::string const& body);

    engine_state state_;
    generation_settings const generation_;
    std::mutex mutex_;
    std::string crash_on_;
    http_server server_; ///< Declared last, because its threads use the other members.
};

} // namespace siskinusher::standins
