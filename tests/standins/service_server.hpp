#pragma once

#include "tests/standins/http_server.hpp"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace siskinusher::standins
{

struct service_settings
{
    std::string name = "ledger";
    unsigned places = 32;
    std::chrono::milliseconds work{10}; ///< Time that each call takes.
};

/// A stand-in for a plain service: a ledger with stock lookups (idempotent) and bookings, debits and payments
/// (every execution is counted; the service does not detect repeated calls).
class service_server
{
public:
    service_server(std::string const& host, std::uint16_t port, service_settings settings);

    std::string address() const { return server_.address(); }

private:
    void handle(http_exchange& exchange);
    void control(nlohmann::json const& faults);
    void call(http_exchange& exchange, std::string const& path);
    void execute(http_exchange& exchange, std::string const& path);
    nlohmann::json report() const;
    nlohmann::json audit() const;

    service_settings const settings_;
    std::uint64_t const boot_id_;
    mutable std::mutex mutex_;
    bool leaving_ = false;
    std::chrono::steady_clock::time_point leaving_since_{};
    std::uint64_t revision_ = 1;
    std::uint64_t work_after_leaving_ = 0;
    unsigned running_ = 0;
    std::map<std::string, std::uint64_t> by_key_;
    std::map<std::string, std::uint64_t> by_body_;
    std::uint64_t executions_ = 0;
    http_server server_; ///< Declared last, because its threads use the other members.
};

/// The answer to GET /stock/<item>; the same at every backend server.
std::string stock_answer(std::string const& item);

} // namespace siskinusher::standins
