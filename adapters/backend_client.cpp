#include "adapters/backend_client.hpp"

#include "adapters/forward_proof.hpp"
#include "adapters/http_message.hpp"
#include "adapters/problem_document.hpp"
#include "adapters/process_clock.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace siskinusher
{

namespace
{

constexpr std::size_t max_head_bytes = 16384;
// Bytes of an answer to a service call that are buffered. A longer answer is passed on while it arrives; a
// shorter one only when it is complete.
constexpr std::size_t plain_buffer_limit = 262144;
// Longest inference answer that is not streamed. Such an answer is buffered whole, so that none is passed on
// truncated.
constexpr std::size_t whole_answer_limit = 8388608;
// A body of at most this many bytes is written together with the head, which saves a system call.
constexpr std::size_t joined_body_limit = 16384;
constexpr unsigned interim_response_limit = 8;
constexpr int switching_protocols = 101;
constexpr char const* body_not_allowed = "a body that its status does not allow";

bool is_event_stream(std::string_view content_type)
{
    constexpr std::string_view type = "text/event-stream";
    return equal_ignoring_case(content_type.substr(0, type.size()), type);
}

// Headers that describe the connection or this hop rather than the answer.
bool is_hop_header(std::string const& name)
{
    static constexpr std::array<std::string_view, 14> names{
        "Connection",       "Keep-Alive",   "Transfer-Encoding",
        "Content-Length",   "Content-Type", "Trailer",
        "Upgrade",          "TE",           "Server",
        "Proxy-Connection", "Date",         "X-Boot-Id",
        "X-Execution",      "X-Request-Id"};
    return std::any_of(names.begin(), names.end(),
                       [&name](std::string_view hop) { return equal_ignoring_case(hop, name); });
}

struct attempt_target
{
    unsigned attempt = 0;
    std::string const& address;
    duration time_left{0};
    bool is_instance = false;
};

} // namespace

/// The state of one attempt. Each step returns false when it has set the result.
class backend_client::attempt_run
{
public:
    attempt_run(backend_client& owner, attempt_target target, backend_call& call, answer_sink& sink)
        : owner_(owner), target_(target), call_(call), sink_(sink),
          deadline_(steady_now() + target.time_left),
          id_(call.request_id + "." + std::to_string(target.attempt))
    {
        result_.number = call.number;
        result_.attempt = target.attempt;
    }

    attempt_finished execute()
    {
        call_.relay.restart();
        if (obtain_connection() && send_request() && receive_answer_head())
        {
            receive_body();
        }
        result_.delivered_tokens = call_.relay.next_token();
        return std::move(result_);
    }

private:
    bool end_with(attempt_result result)
    {
        result_.result = result;
        return false;
    }

    steady_time deadline_within(duration limit) const { return std::min(deadline_, steady_now() + limit); }

    // An inference attempt ends when its caller disconnects, because its answer is of no use then. A service
    // call goes on: its answer may have to be recorded, and ending it early would leave its outcome unknown.
    int descriptor_to_watch() const { return call_.inference ? sink_.watched_descriptor() : -1; }

    // Opens a new connection to tell a connection that has gone silent from a dead server. An engine also
    // gets the cancel call over it, because it may still work on the request.
    void probe_server(bool cancel)
    {
        std::unique_ptr<wire_connection> fresh;
        connect_status const status =
            connection_pool::connect(target_.address, owner_.limits_.connect, fresh);
        result_.server_dead = status == connect_status::refused;
        if (result_.server_dead)
        {
            owner_.pool_.close_idle(target_.address);
        }
        if (status == connect_status::connected && cancel && call_.inference && !target_.is_instance)
        {
            send_cancel(*fresh);
        }
    }

    void send_cancel(wire_connection& connection)
    {
        std::string const body = nlohmann::json{{"request_id", id_}}.dump();
        std::string const request =
            "POST /v1/cancel HTTP/1.1\r\nHost: " + target_.address + "\r\nX-Request-Id: " + id_ +
            "\r\nContent-Type: application/json" +
            "\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        steady_time const until = steady_now() + owner_.limits_.cancel;
        std::string head;
        if (connection.write_all(request, until) == io_status::ok)
        {
            // The answer is not used, but closing before it arrives would reset the connection.
            (void)receive_head(connection, head, max_head_bytes, until);
        }
    }

    bool end_as_connection_lost()
    {
        connection_.reset();
        probe_server(false);
        return end_with(attempt_result::connection_lost);
    }

    bool end_as_silent()
    {
        connection_.reset();
        probe_server(true);
        return end_with(attempt_result::silent);
    }

    bool end_as_bad_answer()
    {
        connection_.reset();
        probe_server(true);
        // If the server died while it answered, the connection counts as lost, not the answer as malformed.
        return end_with(result_.server_dead ? attempt_result::connection_lost : attempt_result::bad_answer);
    }

    // `what` tells what the answer has in the place of a valid status, or with one.
    bool end_as_invalid_status(std::string what)
    {
        result_.invalid_status = std::move(what);
        return end_as_bad_answer();
    }

    bool end_as_caller_gone()
    {
        connection_.reset();
        probe_server(true);
        return end_with(attempt_result::caller_gone);
    }

    bool open_fresh()
    {
        reused_ = false;
        duration const limit = std::min(owner_.limits_.connect, deadline_ - steady_now());
        connect_status const status = connection_pool::connect(target_.address, limit, connection_);
        if (status == connect_status::connected)
        {
            return true;
        }
        result_.server_dead = status == connect_status::refused;
        return end_with(attempt_result::not_sent);
    }

    bool obtain_connection()
    {
        // A server may close an idle connection just when a request is sent over it. It is then unknown
        // whether the request ran, so that a call that must not be repeated always gets a new connection.
        if (call_.repeatable)
        {
            connection_ = owner_.pool_.take(target_.address);
            reused_ = connection_ != nullptr;
        }
        return reused_ || open_fresh();
    }

    std::string request_head() const
    {
        auto const time_left = std::chrono::duration_cast<milliseconds>(deadline_ - steady_now());
        std::string head = call_.method + " ";
        head.append(target_.is_instance ? call_.caller_path : call_.backend_path);
        head.append(" HTTP/1.1\r\nHost: ").append(target_.address);
        head.append("\r\nX-Request-Id: ").append(id_);
        head.append("\r\nX-Rank: ").append(to_string(call_.request_rank));
        head.append("\r\nX-Priority: ").append(to_string(call_.request_rank));
        head.append("\r\nX-Deadline-Ms: ")
            .append(std::to_string(std::max<std::int64_t>(time_left.count(), 1)));
        if (target_.is_instance)
        {
            std::string const token = std::to_string(call_.relay.next_token());
            head.append("\r\n").append(forward_request_header).append(": ").append(id_);
            head.append("\r\n").append(forward_token_header).append(": ").append(token);
            head.append("\r\n").append(forward_proof_header).append(": ");
            head.append(forward_proof(owner_.shared_key_, id_, token, call_.body));
        }
        head.append("\r\nContent-Length: ").append(std::to_string(call_.body.size() + resume_field().size()));
        head.append("\r\n").append(call_.header_lines).append("\r\n");
        return head;
    }

    // The field that resumes a stream at the next token; send_request inserts it after the opening brace of
    // the body. The front refuses bodies that already have this field.
    std::string resume_field() const
    {
        if (!call_.inference || target_.is_instance || call_.relay.next_token() == 0)
        {
            return {};
        }
        return "\"continue_from_token\":" + std::to_string(call_.relay.next_token()) + ",";
    }

    bool send_request()
    {
        std::string head = request_head();
        std::string_view rest = call_.body;
        std::string const field = resume_field();
        if (!field.empty())
        {
            std::size_t const brace = call_.body.find('{');
            head.append(call_.body, 0, brace + 1).append(field);
            rest.remove_prefix(brace + 1);
        }
        if (rest.size() <= joined_body_limit)
        {
            head.append(rest);
            rest = {};
        }
        std::size_t written = 0;
        io_status status = connection_->write_all(head, deadline_within(owner_.limits_.write), written);
        if (status != io_status::ok && written == 0 && reused_)
        {
            if (!open_fresh())
            {
                return false;
            }
            status = connection_->write_all(head, deadline_within(owner_.limits_.write), written);
        }
        if (status != io_status::ok && written == 0)
        {
            connection_.reset();
            probe_server(false);
            return end_with(attempt_result::not_sent);
        }
        if (status == io_status::ok && !rest.empty())
        {
            status = connection_->write_all(rest, deadline_within(owner_.limits_.write), written);
        }
        if (status == io_status::timed_out)
        {
            return end_as_silent();
        }
        return status == io_status::ok || end_as_connection_lost();
    }

    // A server sends nothing of an answer that is not streamed before all of it is ready, so that its first
    // byte is late. A call that may not be repeated gains nothing from giving up early; one that may be
    // repeated keeps half of its time for a second attempt.
    steady_time first_byte_deadline() const
    {
        // A forwarded stream may wait in the queue of the other instance, which itself watches its engine.
        if (streaming_ && !target_.is_instance)
        {
            return deadline_within(owner_.limits_.first_event.at(index_of(call_.request_rank)));
        }
        if (!call_.repeatable)
        {
            return deadline_;
        }
        return deadline_within(std::max<duration>(target_.time_left / 2, seconds{2}));
    }

    bool receive_answer_head()
    {
        streaming_ = call_.inference && call_.stream_wanted;
        steady_time const until = first_byte_deadline();
        std::string head;
        for (unsigned interim = 0; interim < interim_response_limit; ++interim)
        {
            switch (receive_head(*connection_, head, max_head_bytes, until, descriptor_to_watch()))
            {
            case head_status::ok:
                break;
            case head_status::closed:
                return end_as_connection_lost();
            case head_status::timed_out:
                return end_as_silent();
            case head_status::watched_gone:
                return end_as_caller_gone();
            case head_status::too_large:
            case head_status::malformed:
                return end_as_bad_answer();
            }
            auto parsed = parse_response_head(head);
            if (!parsed)
            {
                return end_as_invalid_status(invalid_status_text(head));
            }
            response_ = std::move(*parsed);
            // A protocol change was not asked for, and what follows it is not HTTP.
            if (response_.status == switching_protocols)
            {
                return end_as_invalid_status(std::to_string(response_.status));
            }
            if (response_.status >= 200)
            {
                return check_answer_head();
            }
        }
        return end_as_bad_answer();
    }

    bool check_answer_head()
    {
        result_.status = response_.status;
        result_.content_type = response_.fields.value("Content-Type");
        result_.boot_id = parse_number(response_.fields.value("X-Boot-Id")).value_or(0);
        if (response_.fields.value("X-Request-Id") != id_)
        {
            return end_as_bad_answer();
        }
        if (announces_forbidden_body(response_))
        {
            return end_as_invalid_status(body_not_allowed);
        }
        auto const framing = response_framing(response_, call_.method);
        // Without a length or chunks, a complete answer cannot be told from a truncated one.
        if (!framing || framing->kind == body_kind::until_close)
        {
            return end_as_bad_answer();
        }
        framing_ = *framing;
        return true;
    }

    void receive_body()
    {
        body_reader reader(*connection_, framing_);
        if (call_.inference && response_.status == 200 && is_event_stream(result_.content_type))
        {
            relay_stream(reader);
            return;
        }
        receive_whole(reader);
    }

    answer_head head_for_caller() const
    {
        answer_head head{response_.status, response_.fields.value("Content-Type"), {}, std::nullopt};
        if (call_.method == "HEAD")
        {
            head.length = parse_number(response_.fields.value("Content-Length"));
        }
        else if (framing_.kind != body_kind::chunked)
        {
            head.length = framing_.length;
        }
        for (auto const& field : response_.fields)
        {
            if (!is_hop_header(field.first))
            {
                head.header_lines.append(field.first).append(": ").append(field.second).append("\r\n");
            }
        }
        return head;
    }

    void reuse_connection()
    {
        // The body that a 304 announces may follow in spite of its status.
        bool const body_may_follow = !status_has_body(response_.status) && announces_body(response_.fields);
        if (!body_may_follow && keeps_connection(response_.version, response_.fields))
        {
            owner_.pool_.give_back(target_.address, std::move(connection_));
        }
        connection_.reset();
    }

    // Ends the attempt when the body cannot be read to its end.
    bool end_incomplete_body(body_status status)
    {
        switch (status)
        {
        case body_status::timed_out:
            return end_as_silent();
        case body_status::watched_gone:
            return end_as_caller_gone();
        default:
            return end_as_bad_answer();
        }
    }

    void receive_whole(body_reader& reader)
    {
        std::string body;
        bool relaying = false;
        bool const relay_at_once = !call_.inference && is_event_stream(result_.content_type);
        for (;;)
        {
            body_status const status =
                reader.read(body, deadline_within(owner_.limits_.between_chunks), descriptor_to_watch());
            if (status == body_status::complete)
            {
                break;
            }
            if (status != body_status::more)
            {
                end_incomplete_body(status);
                return;
            }
            if (call_.inference && body.size() > whole_answer_limit)
            {
                end_as_bad_answer();
                return;
            }
            if (!call_.inference && (relaying || relay_at_once || body.size() > plain_buffer_limit))
            {
                relay_part(body, relaying);
            }
        }
        if (is_forbidden_body(response_, connection_->buffered()))
        {
            end_as_invalid_status(body_not_allowed);
            return;
        }
        reuse_connection();
        if (proves_not_run(body))
        {
            end_with(attempt_result::refused_not_run);
            return;
        }
        if (target_.is_instance && result_.content_type == problem_content_type &&
            problem_execution(body) == to_string(execution_verdict::may_have_run))
        {
            // The other instance leaves the repetition to this one.
            end_with(attempt_result::connection_lost);
            return;
        }
        bool delivered = false;
        if (relaying)
        {
            delivered = sink_.write(body) && sink_.end();
        }
        else
        {
            answer_head head = head_for_caller();
            if (call_.method != "HEAD")
            {
                head.length = body.size();
            }
            delivered = sink_.send_whole(head, body);
        }
        if (!call_.idempotency_key.empty())
        {
            result_.body = std::move(recorded_start_.empty() ? body : recorded_start_);
        }
        // A service call has run and its answer is recorded, whether or not the caller is still connected.
        end_with(delivered || !call_.inference ? attempt_result::answered : attempt_result::caller_gone);
    }

    void relay_part(std::string& body, bool& relaying)
    {
        if (!relaying)
        {
            relaying = true;
            (void)sink_.begin(head_for_caller());
            if (!call_.idempotency_key.empty())
            {
                recorded_start_ = body;
            }
        }
        (void)sink_.write(body);
        body.clear();
    }

    bool proves_not_run(std::string_view body) const
    {
        if (response_.status < 400)
        {
            return false;
        }
        if (response_.fields.has("X-Execution"))
        {
            return response_.fields.value("X-Execution") == to_string(execution_verdict::not_run);
        }
        return result_.content_type == problem_content_type &&
               problem_execution(body) == to_string(execution_verdict::not_run);
    }

    void relay_stream(body_reader& reader)
    {
        std::string bytes;
        std::string events;
        relay_status found = relay_status::more;
        duration wait = owner_.limits_.first_event.at(index_of(call_.request_rank));
        while (found == relay_status::more)
        {
            bytes.clear();
            events.clear();
            body_status const status = reader.read(bytes, deadline_within(wait), descriptor_to_watch());
            found = call_.relay.feed(bytes, events);
            if (!events.empty() && !relay_events(events))
            {
                end_as_caller_gone();
                return;
            }
            if (found != relay_status::more)
            {
                break;
            }
            if (status == body_status::truncated)
            {
                end_as_connection_lost();
                return;
            }
            if (status != body_status::more) // Includes a complete body without the end mark of the stream.
            {
                end_incomplete_body(status);
                return;
            }
            wait = owner_.limits_.between_chunks;
        }
        if (found != relay_status::done)
        {
            end_as_bad_answer();
            return;
        }
        finish_stream(reader, bytes);
    }

    bool relay_events(std::string_view events)
    {
        return (sink_.begun() || sink_.begin(head_for_caller())) && sink_.write(events);
    }

    void finish_stream(body_reader& reader, std::string& bytes)
    {
        bool const delivered = sink_.end();
        bytes.clear();
        // The last chunk normally arrives with the end mark. The connection is reused only after that chunk.
        if (reader.read(bytes, deadline_within(owner_.limits_.cancel)) == body_status::complete &&
            bytes.empty())
        {
            reuse_connection();
        }
        end_with(delivered ? attempt_result::answered : attempt_result::caller_gone);
    }

    backend_client& owner_;
    attempt_target const target_;
    backend_call& call_;
    answer_sink& sink_;
    steady_time const deadline_;
    std::string const id_;
    std::unique_ptr<wire_connection> connection_;
    bool reused_ = false;
    bool streaming_ = false;
    response_head response_;
    body_framing framing_;
    /// Start of a long answer to a call with an idempotency key. The whole body is too long to be recorded.
    std::string recorded_start_;
    attempt_finished result_;
};

backend_client::backend_client(std::string shared_key, attempt_limits limits)
    : shared_key_(std::move(shared_key)), limits_(limits)
{
}

attempt_finished backend_client::run(dispatch const& where, backend_call& call, answer_sink& sink)
{
    return attempt_run(*this, {where.attempt, where.address, where.time_left, false}, call, sink).execute();
}

attempt_finished backend_client::run(forward const& where, backend_call& call, answer_sink& sink)
{
    return attempt_run(*this, {where.attempt, where.address, where.time_left, true}, call, sink).execute();
}

} // namespace siskinusher
