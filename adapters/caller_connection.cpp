#include "adapters/boot_clock.hpp"
#include "adapters/caller_connection_impl.hpp"
#include "adapters/http_message.hpp"
#include "adapters/socket_options.hpp"

#include <Poco/Net/HTTPResponse.h>

#include <boost/asio/write.hpp>

#include <algorithm>
#include <cstdio>
#include <utility>

namespace siskinusher
{

namespace
{

// A caller may send this much of its next request while it waits for an answer.
constexpr std::size_t read_ahead_limit = 65536;
// A caller that does not read is given up when this much of its answer waits.
constexpr std::size_t unsent_limit = 4U << 20U;
// A body that is announced must be complete within this time.
constexpr duration body_time = seconds{10};
// A caller that takes no bytes of its answer for so long is gone; the kernel also counts closed windows.
constexpr duration slow_reader_limit = seconds{15};

} // namespace

caller_connection::caller_connection(boost::asio::ip::tcp::socket socket,
                                     std::shared_ptr<caller_server_state> server)
    : socket_(std::move(socket)), timer_(socket_.get_executor()), server_(std::move(server)),
      idle_since_(boot_now())
{
}

void caller_connection::start()
{
    set_liveness_options(socket_, slow_reader_limit);
    arm(server_->limits.idle_timeout);
    read_more();
}

bool caller_connection::idle() const
{
    return phase_ == phase::head && in_.empty() && writing_.empty() && out_.empty();
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
    socket_.close(ignored);
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
    if (reading_ || phase_ == phase::closed || in_.size() >= read_ahead_limit + server_->limits.body_bytes)
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
    bool const first_byte = phase_ == phase::head && in_.empty();
    in_.append(chunk_.data(), count);
    if (first_byte)
    {
        arm(server_->limits.head_timeout);
    }
    process();
    if (phase_ != phase::serving || in_.size() < read_ahead_limit)
    {
        read_more();
    }
}

void caller_connection::process()
{
    while ((phase_ == phase::head && !close_after_write_ && take_head()) || phase_ == phase::body)
    {
        if (!take_body())
        {
            return;
        }
    }
}

// True when a head was taken and its body follows.
bool caller_connection::take_head()
{
    std::size_t const limit = server_->limits.head_bytes;
    std::size_t const end = in_.find("\r\n\r\n");
    if (end == std::string::npos || end + 4 > limit)
    {
        if (in_.size() >= limit)
        {
            refuse(431);
        }
        return false;
    }
    head_.emplace();
    bool const valid = parse_request_head(in_.substr(0, end + 4), *head_);
    in_.erase(0, end + 4);
    auto const framing = valid ? request_framing(*head_) : std::nullopt;
    if (!framing || !head_->has("Host"))
    {
        refuse(400);
        return false;
    }
    if (framing->length > server_->limits.body_bytes)
    {
        refuse(413);
        return false;
    }
    if (equal_ignoring_case(header_value(*head_, "Expect"), "100-continue"))
    {
        put("HTTP/1.1 100 Continue\r\n\r\n");
    }
    keep_alive_ = head_->getVersion() == "HTTP/1.1" &&
                  !equal_ignoring_case(header_value(*head_, "Connection"), "close");
    head_only_ = head_->getMethod() == "HEAD";
    decoder_.emplace(*framing);
    body_.clear();
    phase_ = phase::body;
    arm(body_time);
    return true;
}

// True when the request was handed over and has been answered already, so that the next one can be read.
bool caller_connection::take_body()
{
    std::size_t used = 0;
    decode_status const status = decoder_->decode(in_, used, body_);
    in_.erase(0, used);
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
    server_->on_request(
        std::make_shared<caller_exchange>(shared_from_this(), *head_, std::move(body_), boot_now()));
    return phase_ == phase::head;
}

// Answers a request that cannot be understood; the rest of the connection cannot be trusted.
void caller_connection::refuse(int status)
{
    keep_alive_ = false;
    phase_ = phase::serving;
    ++server_->open_requests;
    in_.clear();
    send_whole(status, "", "");
}

std::string caller_connection::status_line(int status, std::string_view header_lines) const
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " +
                       Poco::Net::HTTPResponse::getReasonForStatus(
                           static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status)) +
                       "\r\n";
    text.append(header_lines);
    text.append(keep_alive_ && !server_->draining ? "" : "Connection: close\r\n");
    return text;
}

void caller_connection::send_whole(int status, std::string_view header_lines, std::string_view body)
{
    if (phase_ != phase::serving)
    {
        return;
    }
    std::string text = status_line(status, header_lines);
    text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n");
    if (!head_only_)
    {
        text.append(body);
    }
    put(text);
    after_answer();
}

void caller_connection::begin(int status, std::string_view header_lines)
{
    if (phase_ != phase::serving)
    {
        return;
    }
    chunked_ = true;
    put(status_line(status, header_lines) + "Transfer-Encoding: chunked\r\n\r\n");
}

void caller_connection::write_part(std::string_view part)
{
    if (phase_ != phase::serving || part.empty())
    {
        return;
    }
    std::array<char, 24> size{};
    int const length = std::snprintf(size.data(), size.size(), "%zx\r\n", part.size());
    std::string text(size.data(), static_cast<std::size_t>(length));
    text.append(part).append("\r\n");
    put(text);
}

void caller_connection::end()
{
    if (phase_ != phase::serving)
    {
        return;
    }
    put("0\r\n\r\n");
    after_answer();
}

void caller_connection::after_answer()
{
    --server_->open_requests;
    gone_handler_ = nullptr;
    phase_ = phase::head;
    idle_since_ = boot_now();
    if (!keep_alive_ || server_->draining)
    {
        close_after_write_ = true;
    }
    arm(server_->limits.idle_timeout);
    flush();
    if (phase_ == phase::head && !close_after_write_ && !in_.empty())
    {
        process();
    }
    read_more();
}

void caller_connection::put(std::string_view bytes)
{
    if (out_.size() + writing_.size() > unsent_limit)
    {
        close();
        return;
    }
    out_.append(bytes);
    flush();
}

void caller_connection::flush()
{
    if (phase_ == phase::closed || !writing_.empty())
    {
        return;
    }
    if (out_.empty())
    {
        if (close_after_write_)
        {
            boost::system::error_code ignored;
            socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
            close();
        }
        return;
    }
    writing_.swap(out_);
    boost::asio::async_write(socket_, boost::asio::buffer(writing_),
                             [self = shared_from_this()](boost::system::error_code error, std::size_t)
                             {
                                 self->writing_.clear();
                                 if (error)
                                 {
                                     self->close();
                                     return;
                                 }
                                 self->flush();
                             });
}

void caller_connection::arm(duration span)
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
    if (phase_ == phase::head && in_.empty())
    {
        if (has_unsent())
        {
            arm(server_->limits.idle_timeout); // The connection is not idle while its answer is being read.
            return;
        }
        close();
        return;
    }
    if (phase_ == phase::head || phase_ == phase::body)
    {
        refuse(408);
    }
}

} // namespace siskinusher
