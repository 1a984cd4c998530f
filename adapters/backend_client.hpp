#pragma once

#include "adapters/connection_pool.hpp"
#include "adapters/stream_relay.hpp"
#include "core/rank.hpp"
#include "domain/action.hpp"
#include "domain/event.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace siskinusher
{

/// Status and headers of an answer as they are passed on to the caller.
struct answer_head
{
    int status = 200;
    std::string content_type;
    std::string header_lines;            ///< Other headers, each ended by CRLF.
    std::optional<std::uint64_t> length; ///< Known length of the body; empty for a stream.
};

/// Receives the answer to one request. The functions that send return false when the caller is gone.
struct answer_sink
{
    virtual ~answer_sink() = default;
    /// Descriptor whose closing means that the caller is gone; -1 for none.
    virtual int watched_descriptor() const = 0;
    /// Sends a complete answer.
    virtual bool send_whole(answer_head const& head, std::string_view body) = 0;
    /// Starts an answer whose body follows in parts.
    virtual bool begin(answer_head const& head) = 0;
    virtual bool write(std::string_view part) = 0;
    /// Ends an answer started by begin(); without this call the caller sees that the answer is incomplete.
    virtual bool end() = 0;
    /// True once any part of an answer has been sent.
    virtual bool begun() const = 0;
};

/// A request as it is sent to backend servers, with the progress of its answer.
struct backend_call
{
    request_number number = 0;
    std::string method;
    std::string backend_path; ///< Path and query for the backend server.
    std::string caller_path;  ///< Path and query for another instance.
    std::string header_lines; ///< Caller's headers to pass on, each ended by CRLF.
    std::string body;
    std::string request_id; ///< Unique in the fleet. Each attempt sends it with its own number appended.
    std::string idempotency_key;
    rank request_rank{rank::standard};
    bool inference = false;
    bool stream_wanted = false;
    bool repeatable = false;
    stream_relay relay{0};
};

/// Time limits of one attempt.
struct attempt_limits
{
    duration connect = milliseconds{500};
    /// Until the first event of a stream, by rank: several times the target of 1.5 s, so that a busy engine
    /// is not taken for a silent one.
    std::array<duration, rank_count> first_event{seconds{4}, seconds{6}, seconds{10}};
    duration between_chunks = seconds{5};
    duration write = seconds{5};
    duration cancel = milliseconds{500};
};

/// Carries out attempts at backend servers and other instances, in the calling thread.
class backend_client
{
public:
    /// `shared_key` authenticates forwarded requests; it is never sent.
    backend_client(std::string shared_key, attempt_limits limits);

    attempt_finished run(dispatch const& where, backend_call& call, answer_sink& sink);
    attempt_finished run(forward const& where, backend_call& call, answer_sink& sink);

private:
    class attempt_run;

    std::string const shared_key_;
    attempt_limits const limits_;
    connection_pool pool_;
};

} // namespace siskinusher
