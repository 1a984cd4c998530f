#pragma once

#include "adapters/ports.hpp"

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace siskinusher
{

/// Passes decisions to the handler threads. Each request that a thread serves has a mailbox.
class request_board : public decision_port
{
public:
    /// Receives the decisions about one request while it exists.
    class mailbox
    {
    public:
        mailbox(request_board& board, request_number number);
        ~mailbox();
        mailbox(mailbox const&) = delete;
        mailbox& operator=(mailbox const&) = delete;

        /// Waits for the next decision; empty when none arrives within `wait`.
        std::optional<request_decision> wait(duration wait);

        /// Ends the delivery and returns the decisions that wait() has not returned.
        std::deque<request_decision> close();

    private:
        friend class request_board;
        request_board& board_;
        request_number number_;
        std::mutex mutex_;
        std::condition_variable arrived_;
        std::deque<request_decision> decisions_;
    };

    bool deliver(request_number number, request_decision decision) override;

    /// Requests that are being served.
    std::size_t open() const;

private:
    mutable std::mutex mutex_;
    std::unordered_map<request_number, mailbox*> boxes_;
};

} // namespace siskinusher
