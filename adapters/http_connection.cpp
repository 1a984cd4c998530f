#include "adapters/http_connection.hpp"

#include "adapters/connection_pool.hpp"
#include "adapters/http_message.hpp"
#include "adapters/process_clock.hpp"

#include <algorithm>

namespace siskinusher
{

namespace
{

constexpr duration connect_limit = milliseconds{500};
constexpr duration stop_check_interval = milliseconds{100};
constexpr std::size_t max_head_bytes = 65536;
constexpr std::size_t max_body_bytes = 2 << 20; // Twice the largest value of the object store.
// Servers send one or two (100 Continue, 103 Early Hints).
constexpr unsigned interim_answer_limit = 8;
constexpr int switching_protocols = 101;

constexpr char const* timed_out = "the deadline passed";
constexpr char const* stopped = "the process stops";
constexpr char const* not_permitted = "the caller no longer permits the call";
constexpr char const* cut_short = "the connection closed before the end of the answer";
constexpr char const* not_http = "the answer is not valid HTTP";
constexpr char const* too_large = "the answer exceeds a limit";
constexpr char const* open_ended = "the answer has neither a length nor chunks";
constexpr char const* body_not_allowed = "the answer has a body although its status allows none";
constexpr char const* bytes_behind = "bytes follow the end of the answer";

char const* reason(head_status status)
{
    switch (status)
    {
    case head_status::timed_out:
        return timed_out;
    case head_status::too_large:
        return too_large;
    case head_status::malformed:
        return not_http;
    default:
        return cut_short;
    }
}

char const* reason(body_status status)
{
    switch (status)
    {
    case body_status::timed_out:
        return timed_out;
    case body_status::malformed:
        return not_http;
    default:
        return cut_short;
    }
}

} // namespace

std::string encode_call(http_call const& call, std::string const& address)
{
    std::string text = call.method + " " + call.path + " HTTP/1.1\r\nHost: " + address + "\r\n";
    for (auto const& [name, value] : call.headers)
    {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT")
    {
        text.append("Content-Length: ").append(std::to_string(call.body.size())).append("\r\n");
    }
    return text.append("\r\n").append(call.body);
}

http_connection::http_connection(std::string address, std::atomic<bool> const& stopping)
    : address_(std::move(address)), stopping_(stopping)
{
}

http_connection::~http_connection() = default;
http_connection::http_connection(http_connection&&) noexcept = default;

void http_connection::close()
{
    connection_.reset();
}

http_outcome http_connection::exchange(http_call const& call, steady_time deadline,
                                       std::function<bool()> const& may_write)
{
    http_outcome outcome;
    if (connection_ && !connection_->reusable())
    {
        close();
    }
    outcome.reused = connection_ != nullptr;
    if (!connection_)
    {
        duration const limit = std::min<duration>(connect_limit, deadline - steady_now());
        connect_status const status = connection_pool::connect(address_, limit, connection_);
        outcome.refused = status == connect_status::refused;
        outcome.why = outcome.refused ? "connection refused" : "no connection";
    }
    if (connection_)
    {
        outcome.why = transfer(call, deadline, may_write, outcome);
    }
    if (!outcome.why.empty())
    {
        outcome.status = 0;
        outcome.body.clear();
        outcome.etag.clear();
        close();
    }
    return outcome;
}

// Runs one step of I/O again while it only waits. A process that stops does not wait longer than
// stop_check_interval.
template <typename Step, typename Status>
Status http_connection::wait_through(Step const& step, Status waiting, steady_time deadline) const
{
    for (;;)
    {
        steady_time const now = steady_now();
        Status const status = step(std::min<steady_time>(deadline, now + stop_check_interval));
        if (status != waiting || stopping_ || steady_now() >= deadline)
        {
            return status;
        }
    }
}

std::string http_connection::transfer(http_call const& call, steady_time deadline,
                                      std::function<bool()> const& may_write, http_outcome& outcome)
{
    if (may_write && !may_write())
    {
        return not_permitted;
    }
    std::string const bytes = encode_call(call, address_);
    std::size_t sent = 0;
    io_status const written = wait_through(
        [&](steady_time until)
        {
            std::size_t count = 0;
            io_status const status =
                connection_->write_all(std::string_view(bytes).substr(sent), until, count);
            sent += count;
            return status;
        },
        io_status::timed_out, deadline);
    outcome.sent = sent > 0;
    if (written != io_status::ok)
    {
        return written == io_status::timed_out ? (stopping_ ? stopped : timed_out) : cut_short;
    }
    return receive(call, deadline, outcome);
}

std::string http_connection::receive(http_call const& call, steady_time deadline, http_outcome& outcome)
{
    std::optional<response_head> head;
    for (unsigned interim = 0; !head || head->status < 200; ++interim)
    {
        std::string bytes;
        head_status const status = wait_through(
            [&](steady_time until) { return receive_head(*connection_, bytes, max_head_bytes, until); },
            head_status::timed_out, deadline);
        if (status != head_status::ok)
        {
            return stopping_ && status == head_status::timed_out ? stopped : reason(status);
        }
        head = parse_response_head(bytes);
        // A protocol change was not asked for, and what follows it is not HTTP.
        bool const switches = head && head->status == switching_protocols;
        std::string const invalid = switches ? std::to_string(head->status) : invalid_status_text(bytes);
        if (!invalid.empty())
        {
            outcome.invalid_status = true;
            return "invalid status '" + invalid + "'";
        }
        if (!head)
        {
            return not_http;
        }
        if (interim > interim_answer_limit)
        {
            return too_large;
        }
    }
    auto const framing = response_framing(*head, call.method);
    if (announces_forbidden_body(*head))
    {
        outcome.invalid_status = true;
        return body_not_allowed;
    }
    if (!framing)
    {
        return not_http;
    }
    if (framing->kind == body_kind::until_close)
    {
        return open_ended;
    }
    body_reader reader(*connection_, *framing);
    body_status status = body_status::more;
    while (status == body_status::more)
    {
        status = wait_through([&](steady_time until) { return reader.read(outcome.body, until); },
                              body_status::timed_out, deadline);
        if (outcome.body.size() > max_body_bytes)
        {
            return too_large;
        }
    }
    if (status != body_status::complete)
    {
        return stopping_ && status == body_status::timed_out ? stopped : reason(status);
    }
    if (!connection_->buffered().empty())
    {
        outcome.invalid_status = is_forbidden_body(*head, connection_->buffered());
        return outcome.invalid_status ? body_not_allowed : bytes_behind;
    }
    outcome.status = head->status;
    outcome.etag = head->fields.value("ETag");
    // The body that a 304 announces may follow in spite of its status.
    bool const body_may_follow = !status_has_body(head->status) && announces_body(head->fields);
    if (body_may_follow || !keeps_connection(head->version, head->fields))
    {
        close();
    }
    return {};
}

} // namespace siskinusher
