#include "adapters/boot_clock.hpp"
#include "adapters/caller_connection_impl.hpp"
#include "adapters/http_message.hpp"
#include "adapters/socket_options.hpp"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <cstdio>
#include <utility>

namespace siskinusher
{

namespace
{

// Bytes of further requests that a caller may send while it waits for an answer.
constexpr std::size_t read_ahead_limit = 65536;
// The connection of a caller that does not read is closed when this many bytes of answers are unsent.
constexpr std::size_t unsent_limit = 4U << 20U;
// Buffers for answers up to this size are kept for the next answer and not counted: most answers are smaller.
constexpr std::size_t usual_answer = 4096;
// After the head of a request, its body must be complete within this time.
constexpr duration body_time = seconds{10};
// A caller that accepts no bytes for this long is treated as gone. The kernel applies the limit also when the
// receive window of the caller is closed.
constexpr duration slow_reader_limit = seconds{15};
// After its last answer, a connection discards what the caller still sends for at most this time. A close
// with unread bytes would reset the connection, and the caller might see the reset instead of the answer.
constexpr duration discard_time = seconds{2};
// The head of a request is in memory this many times: decoded here, at the exchange and for its server, and
// encoded for an attempt.
constexpr std::size_t head_copies = 4;

} // namespace

caller_connection::caller_connection(boost::asio::ip::tcp::socket socket,
                                     std::shared_ptr<caller_server_state> server)
    : socket_(std::move(socket)), timer_(socket_.get_executor()), server_(std::move(server)),
      discard_limit_(discard_time), idle_since_(boot_now())
{
    count_input();
}

caller_connection::~caller_connection()
{
    server_->memory->let_go(counted_input_);
    server_->memory->let_go(counted_output_);
}

void caller_connection::start()
{
    set_liveness_options(socket_, slow_reader_limit);
    start_timer(server_->limits.idle_timeout);
    read_more();
}

bool caller_connection::idle() const
{
    return phase_ == phase::head && received_.empty() && writing_.empty() && queued_.empty();
}

std::string caller_connection::caller_address() const
{
    boost::system::error_code error;
    auto const peer = socket_.remote_endpoint(error);
    return error ? std::string() : peer.address().to_string() + ":" + std::to_string(peer.port());
}

void caller_connection::close()
{
    if (phase_ == phase::closed)
    {
        return;
    }
    bool const was_serving = phase_ == phase::serving;
    phase_ = phase::closed;
    boost::system::error_code ignored;
    timer_.cancel(ignored);
    if (answer_framing_ == body_kind::until_close)
    {
        // An orderly close would mark the end of the body, which is incomplete.
        socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    }
    socket_.close(ignored);
    drop_body();
    server_->memory->release(boot_now(), std::exchange(counted_output_, 0));
    if (was_serving)
    {
        --server_->open_requests;
    }
    if (auto const handler = std::exchange(gone_handler_, nullptr); handler && was_serving)
    {
        handler();
    }
    server_->on_closed(this);
}

void caller_connection::read_more()
{
    count_input();
    // While answers are unsent, the head of the next request waits in front of further bytes.
    if (reading_ || phase_ == phase::closed ||
        received_.size() >= std::max(read_ahead_limit, server_->limits.head_bytes))
    {
        return;
    }
    reading_ = true;
    socket_.async_read_some(boost::asio::buffer(chunk_),
                            [self = shared_from_this()](boost::system::error_code error, std::size_t count)
                            { self->on_read(error, count); });
}

void caller_connection::on_read(boost::system::error_code error, std::size_t count)
{
    reading_ = false;
    if (phase_ == phase::closed)
    {
        return;
    }
    if (error)
    {
        close();
        return;
    }
    if (close_after_write_)
    {
        read_more(); // Bytes behind the last request are discarded.
        return;
    }
    bool const first_byte = phase_ == phase::head && received_.empty();
    received_.append(chunk_.data(), count);
    if (first_byte)
    {
        start_timer(server_->limits.head_timeout);
    }
    process();
    count_input();
    if (phase_ != phase::serving || may_read_ahead())
    {
        read_more();
    }
}

// While a request is served, reading shows that its caller has gone. What the caller sends beyond it takes
// memory that others may need.
bool caller_connection::may_read_ahead() const
{
    return received_.empty() || (received_.size() < read_ahead_limit && server_->memory->has_room());
}

void caller_connection::count_input()
{
    if (received_.empty())
    {
        std::string().swap(received_); // Many connections wait, with no input or while it is discarded.
    }
    server_->memory->let_go(counted_input_);
    counted_input_ = sizeof(*this) + received_.capacity();
    server_->memory->hold(counted_input_);
}

void caller_connection::count_output()
{
    if (phase_ == phase::closed)
    {
        return; // The buffers are freed with the connection.
    }
    std::size_t const buffers = queued_.capacity() + writing_.capacity();
    std::size_t const bytes = buffers > 2 * usual_answer ? buffers : 0;
    if (bytes > counted_output_)
    {
        server_->memory->hold(bytes - counted_output_);
    }
    else if (bytes < counted_output_)
    {
        server_->memory->release(boot_now(), counted_output_ - bytes);
    }
    counted_output_ = bytes;
}

// Handles requests until more bytes are needed or one is not answered at once. A call for an answer that was
// sent at once does nothing, because the loop in progress goes on with the next request.
void caller_connection::process()
{
    if (processing_)
    {
        return;
    }
    processing_ = true;
    bool more = true;
    while (more && ((phase_ == phase::head && !close_after_write_ && take_head()) || phase_ == phase::body))
    {
        more = take_body();
    }
    processing_ = false;
}

// Returns true when it has consumed a valid head; the body follows.
//
// A request waits until all earlier answers are sent: if the connection ended with it in progress, its caller
// would see a reset without a byte of its answer, take it for unread and send it again.
bool caller_connection::take_head()
{
    if (has_unsent())
    {
        if (queued_.size() + writing_.size() > unsent_limit)
        {
            close();
        }
        return false;
    }
    std::size_t const limit = server_->limits.head_bytes;
    std::size_t const end = received_.find("\r\n\r\n");
    if (end == std::string::npos || end + 4 > limit)
    {
        if (received_.size() >= limit)
        {
            refuse(431);
        }
        return false;
    }
    head_ = parse_request_head(std::string_view(received_).substr(0, end + 4));
    received_.erase(0, end + 4);
    auto const framing = head_ ? request_framing(*head_) : std::nullopt;
    if (!framing || !head_->fields.has("Host"))
    {
        refuse(400);
        return false;
    }
    if (framing->length > server_->limits.body_bytes)
    {
        refuse(413);
        return false;
    }
    bool const has_body = framing->kind == body_kind::chunked || framing->length > 0;
    if (has_body && server_->check_head)
    {
        if (auto const refusal = server_->check_head(*head_))
        {
            refuse(refusal->status, refusal->header_lines);
            return false;
        }
    }
    if (!admit(end + 4, *framing))
    {
        return false;
    }
    bool const is_http_1_1 = head_->version == http_version::http_1_1;
    // HTTP/1.0 has no interim answers.
    if (is_http_1_1 && equal_ignoring_case(head_->fields.value("Expect"), "100-continue"))
    {
        enqueue("HTTP/1.1 100 Continue\r\n\r\n");
        if (phase_ == phase::closed)
        {
            return false;
        }
    }
    keep_alive_ = is_http_1_1 && keeps_connection(head_->version, head_->fields);
    head_only_ = head_->method == "HEAD";
    decoder_.emplace(*framing);
    phase_ = phase::body;
    start_timer(body_time);
    return true;
}

// Reserves memory for the head and a body of known length. Refuses the request when there is no room.
bool caller_connection::admit(std::size_t head_bytes, body_framing const& framing)
{
    std::size_t const wanted = head_copies * head_bytes + static_cast<std::size_t>(framing.length);
    if (wanted > server_->memory->largest_request())
    {
        refuse(413);
        return false;
    }
    drop_body();
    share_ = memory_share(server_->memory);
    if (!share_.try_grow(wanted))
    {
        refuse_without_memory(wanted);
        return false;
    }
    body_.reserve(static_cast<std::size_t>(framing.length));
    return true;
}

// Reserves memory for what has arrived of a body of unknown length. Refuses the request when there is no
// room.
bool caller_connection::make_room_for_chunks()
{
    std::size_t const needed = body_.size() + received_.size();
    if (decoder_->kind() != body_kind::chunked || needed <= body_.capacity())
    {
        return true;
    }
    std::size_t const most = std::max(needed, server_->limits.body_bytes);
    std::size_t const capacity = std::min(std::max(needed, 2 * body_.capacity()), most);
    std::size_t const more = capacity - body_.capacity();
    if (!share_.try_grow(more))
    {
        refuse_without_memory(more);
        return false;
    }
    // A string that grows by itself would take up to twice its size.
    std::string larger;
    larger.reserve(capacity);
    larger.append(body_);
    body_.swap(larger);
    return true;
}

void caller_connection::drop_body()
{
    std::string().swap(body_);
    share_ = memory_share();
}

// Returns true when the request was handed over and answered at once, so that the next one can be read.
bool caller_connection::take_body()
{
    if (!make_room_for_chunks())
    {
        return false;
    }
    std::size_t used = 0;
    decode_status const status = decoder_->decode(received_, used, body_);
    received_.erase(0, used);
    if (status == decode_status::malformed)
    {
        refuse(400);
        return false;
    }
    if (body_.size() > server_->limits.body_bytes)
    {
        refuse(413);
        return false;
    }
    if (status == decode_status::more)
    {
        return false;
    }
    boost::system::error_code ignored;
    timer_.cancel(ignored);
    phase_ = phase::serving;
    ++server_->open_requests;
    server_->on_request(std::make_shared<caller_exchange>(
        shared_from_this(), *head_, std::exchange(body_, {}),
        std::make_shared<memory_share const>(std::move(share_)), boot_now()));
    return phase_ == phase::head;
}

// Refuses a request that is malformed, too large or late, or for which there is no memory. The connection is
// closed then, because it is unknown where the next request starts.
void caller_connection::refuse(int status, std::string_view header_lines)
{
    drop_body();
    keep_alive_ = false;
    phase_ = phase::serving;
    ++server_->open_requests;
    send_whole(status, header_lines, "");
}

void caller_connection::refuse_without_memory(std::size_t wanted)
{
    // Many callers send at once then, so that the rest of a body takes as long as a body that is read.
    discard_limit_ = body_time;
    request_memory& memory = *server_->memory;
    memory_refusal const facts{wanted, memory.held(), memory.budget(), memory.on_refused(boot_now(), wanted)};
    refuse(503, server_->on_no_memory ? server_->on_no_memory(*head_, facts) : std::string());
}

bool caller_connection::announces_close() const
{
    return !keep_alive_ || server_->draining;
}

std::string caller_connection::status_line(int status, std::string_view header_lines) const
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
    text.append(reason_phrase(status)).append("\r\n");
    text.append(header_lines);
    text.append(announces_close() ? "Connection: close\r\n" : "");
    return text;
}

void caller_connection::send_whole(int status, std::string_view header_lines, std::string_view body)
{
    if (phase_ != phase::serving)
    {
        return;
    }
    close_announced_ = announces_close();
    std::string text = status_line(status, header_lines);
    // The server's answer to HEAD has no body, so the length of the body that GET would get is unknown.
    if (status_has_body(status) && (!head_only_ || !body.empty()))
    {
        text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    }
    text.append("\r\n");
    if (status_has_body(status) && !head_only_)
    {
        text.append(body);
    }
    enqueue(text);
    after_answer();
}

void caller_connection::begin(int status, std::string_view header_lines)
{
    if (phase_ != phase::serving)
    {
        return;
    }
    close_announced_ = announces_close();
    // A caller that speaks HTTP/1.0 does not know chunks.
    body_kind const framing = !status_has_body(status)                   ? body_kind::none
                              : head_->version == http_version::http_1_1 ? body_kind::chunked
                                                                         : body_kind::until_close;
    answer_framing_ = head_only_ ? body_kind::none : framing;
    // The head for HEAD is the same as for GET.
    enqueue(status_line(status, header_lines) +
            (framing == body_kind::chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n"));
}

void caller_connection::write_part(std::string_view part)
{
    if (phase_ != phase::serving || part.empty() || answer_framing_ == body_kind::none)
    {
        return;
    }
    if (answer_framing_ == body_kind::until_close)
    {
        enqueue(part);
        return;
    }
    std::array<char, 24> size{};
    int const length = std::snprintf(size.data(), size.size(), "%zx\r\n", part.size());
    std::string text(size.data(), static_cast<std::size_t>(length));
    text.append(part).append("\r\n");
    enqueue(text);
}

void caller_connection::end()
{
    if (phase_ != phase::serving)
    {
        return;
    }
    if (answer_framing_ == body_kind::chunked)
    {
        enqueue("0\r\n\r\n");
    }
    after_answer();
}

void caller_connection::after_answer()
{
    if (phase_ != phase::serving)
    {
        return; // Closed by enqueue(), because the caller does not read.
    }
    --server_->open_requests;
    gone_handler_ = nullptr;
    head_only_ = false; // A refusal may follow for a request whose head is not known.
    phase_ = phase::head;
    idle_since_ = boot_now();
    if (close_announced_)
    {
        close_after_write_ = true;
        received_.clear();
    }
    start_timer(server_->limits.idle_timeout);
    flush();
    if (phase_ == phase::head && !close_after_write_ && !received_.empty())
    {
        process();
    }
    read_more();
}

void caller_connection::enqueue(std::string_view bytes)
{
    if (queued_.size() + writing_.size() > unsent_limit)
    {
        close();
        return;
    }
    queued_.append(bytes);
    flush();
    count_output();
    if (server_->memory->overdrawn() && server_->on_overdrawn)
    {
        server_->on_overdrawn();
    }
}

void caller_connection::flush()
{
    if (phase_ == phase::closed || !writing_.empty())
    {
        return;
    }
    if (queued_.empty())
    {
        if (close_after_write_)
        {
            finish_sending();
        }
        return;
    }
    writing_.swap(queued_);
    boost::asio::async_write(socket_, boost::asio::buffer(writing_),
                             [self = shared_from_this()](boost::system::error_code error, std::size_t)
                             {
                                 self->drop_written();
                                 if (error)
                                 {
                                     self->close();
                                     return;
                                 }
                                 self->flush();
                                 self->process(); // A request may have waited for the end of the sending.
                                 self->read_more();
                             });
}

// A connection does not keep the memory of its largest answer.
void caller_connection::drop_written()
{
    writing_.clear();
    if (writing_.capacity() > usual_answer)
    {
        std::string().swap(writing_);
    }
    count_output();
}

// Ends the sending side after the last answer, and waits until the caller closes its side.
void caller_connection::finish_sending()
{
    phase_ = phase::discarding;
    answer_framing_ = body_kind::none;
    boost::system::error_code error;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, error);
    if (error)
    {
        close();
        return;
    }
    start_timer(discard_limit_);
    read_more();
}

void caller_connection::start_timer(duration span)
{
    timer_.expires_after(span);
    timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code error)
        {
            if (!error)
            {
                self->on_timer();
            }
        });
}

void caller_connection::on_timer()
{
    if (phase_ == phase::discarding)
    {
        close();
        return;
    }
    if (phase_ == phase::head && has_unsent())
    {
        // The connection is not idle while the caller reads an answer, and a request that waits for that is
        // not late.
        start_timer(server_->limits.idle_timeout);
        return;
    }
    if (phase_ == phase::head && received_.empty())
    {
        close();
        return;
    }
    if (phase_ == phase::head || phase_ == phase::body)
    {
        refuse(408);
    }
}

} // namespace siskinusher
