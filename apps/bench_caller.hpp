#pragma once

#include "adapters/wire_connection.hpp"

#include <memory>
#include <string>
#include <vector>

namespace siskinusher
{

/// Result and times of one completion request, as its caller saw them.
struct completion_times
{
    int status = 0;               ///< Zero when no answer arrived.
    bool complete_answer = false; ///< The answer has its full length, and a stream its end mark.
    double first_ms = 0.0;        ///< From the request to the first token, or to the first byte of the body.
    double total_ms = 0.0;        ///< From the request to the end of the answer.
    std::vector<double> gaps_ms;  ///< Times between tokens of a stream.
    std::string error_text;       ///< Beginning of the body if the status is not 200.
};

/// Sends completion requests one after the other on a connection that stays open between them.
class bench_caller
{
public:
    bench_caller(std::string address, std::string model);

    completion_times complete(unsigned tokens, bool stream, duration limit);

private:
    bool connect();

    std::string const address_;
    std::string const model_;
    std::unique_ptr<wire_connection> connection_;
    unsigned long requests_ = 0;
};

} // namespace siskinusher
