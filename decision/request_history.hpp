#pragma once

#include "core/steady_time.hpp"
#include "domain/identifiers.hpp"

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace siskinusher
{

/// Keeps the decisions about the latest requests, so that an operator can ask why one was refused.
class request_history
{
public:
    /// Keeps the latest `max_requests` requests with at most `max_steps` decisions each.
    explicit request_history(std::size_t max_requests = 4096, std::size_t max_steps = 24);

    /// `what` must be a string literal, because only the pointer is kept.
    void add(steady_time now, request_number number, char const* what, std::string detail = {});

    /// One line for each decision, oldest first; empty for a request that is unknown or no longer kept.
    std::vector<std::string> decision_history(request_number number) const;

private:
    struct step
    {
        steady_time at;
        char const* what;
        std::string detail;
    };

    std::size_t max_requests_;
    std::size_t max_steps_;
    std::unordered_map<request_number, std::vector<step>> steps_;
    std::deque<request_number> order_;
};

} // namespace siskinusher
