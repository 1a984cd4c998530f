#pragma once

#include <map>
#include <string>

namespace review
{

/// What a caller has received for one request.
struct caller_answer
{
    int status = 0;                             ///< Zero when the connection ended without an answer.
    bool complete = false;                      ///< The end of the answer has arrived.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

/// Sends a request on a new connection and reads its answer, for `seconds` at most.
caller_answer call(std::string const& address, std::string const& request, double seconds);

/// The same on a connection that stays open if the answer leaves it open. `descriptor` is negative, or of
/// such a connection.
caller_answer call_on(int& descriptor, std::string const& address, std::string const& request,
                      double seconds);

} // namespace review
