#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace siskinusher::standins
{

struct http_answer
{
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
    bool whole = true; ///< False when the body was shorter than its Content-Length.
};

/// Makes one call on a new connection. Empty when the call failed or no answer arrived within `timeout`.
std::optional<http_answer> http_call(std::string const& address, std::string const& method,
                                     std::string const& path, std::string const& body = {},
                                     std::map<std::string, std::string> const& headers = {},
                                     std::chrono::milliseconds timeout = std::chrono::seconds{5});

} // namespace siskinusher::standins
