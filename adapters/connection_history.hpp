#pragma once

#include <cstdint>

namespace siskinusher
{

/// What one outbound connection has been used for.
class connection_history
{
public:
    connection_history() = default;
    /// `number` names the connection in the log, from 1.
    explicit connection_history(std::uint64_t number) : number_(number) {}

    std::uint64_t number() const { return number_; }
    /// Requests that it has carried, without one that is about to be sent.
    unsigned earlier_requests() const { return earlier_requests_; }

    void on_request_ended() { ++earlier_requests_; }

private:
    std::uint64_t number_ = 0;
    unsigned earlier_requests_ = 0;
};

} // namespace siskinusher
