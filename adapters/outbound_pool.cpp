#include "adapters/outbound_pool.hpp"

#include "adapters/body_decoder.hpp"
#include "adapters/boot_clock.hpp"
#include "adapters/connection_history.hpp"
#include "adapters/http_message.hpp"
#include "adapters/socket_options.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

namespace siskinusher
{

namespace
{

using tcp = boost::asio::ip::tcp;

constexpr std::size_t answer_head_limit = 65536;
constexpr int switching_protocols = 101;
// Interim answers before the final one. Servers send one or two (100 Continue, 103 Early Hints).
constexpr unsigned interim_answer_limit = 8;
// Answers to earlier requests of the connection that are skipped before the exchange's own answer, and the
// bytes of their bodies together. Servers repeat short answers, mostly refusals.
constexpr unsigned skipped_answer_limit = 4;
constexpr std::size_t skipped_bytes_limit = 65536;
// The body of a skipped answer must arrive within this time: a truncated copy would hold the request until
// its deadline.
constexpr duration skipped_body_time = milliseconds{200};
// Bytes of one answer that may be kept in memory. Answers of some MB must pass, such as those to a watch of
// the store, which hold several objects of up to 1 MiB.
constexpr std::size_t kept_answer_limit = 8U << 20U;
// Bytes of all answers that may be kept together. The smallest instance has 160 MB; growing strings may
// hold twice the bytes for a moment, and callers that read slowly have answers of their own in memory.
constexpr std::size_t kept_total_limit = 32U << 20U;
// A server that announces no keep-alive time keeps an idle connection open at least this long.
constexpr duration default_keep_alive = seconds{4};
constexpr std::size_t idle_connections_per_address = 64;
// When a server acknowledges no bytes for this long, the network path to it is considered broken.
constexpr duration unacknowledged_limit = seconds{3};

struct idle_connection
{
    tcp::socket socket;
    connection_history history;
    steady_time usable_until;
};

class running_exchange;

// The bytes of their answers that the running exchanges and their users keep.
class kept_bytes
{
public:
    void set(running_exchange* exchange, std::size_t bytes)
    {
        std::size_t& entry = of_exchange_[exchange];
        total_ += bytes - entry;
        entry = bytes;
    }

    void remove(running_exchange* exchange)
    {
        auto const found = of_exchange_.find(exchange);
        if (found != of_exchange_.end())
        {
            total_ -= found->second;
            of_exchange_.erase(found);
        }
    }

    std::size_t total() const { return total_; }

    // Null when no exchange is known.
    running_exchange* largest() const
    {
        auto const found = std::max_element(of_exchange_.begin(), of_exchange_.end(),
                                            [](auto const& a, auto const& b) { return a.second < b.second; });
        return found == of_exchange_.end() ? nullptr : found->first;
    }

private:
    std::unordered_map<running_exchange*, std::size_t> of_exchange_;
    std::size_t total_ = 0;
};

enum class idle_input
{
    none,
    bytes, ///< They belong to no request.
    end,   ///< The server has closed the connection.
};

// What has arrived on a connection that is not in use.
idle_input pending_input(tcp::socket& socket)
{
    char byte = 0;
    ssize_t const got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (got > 0)
    {
        return idle_input::bytes;
    }
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) ? idle_input::none : idle_input::end;
}

// Half of the time for which the server keeps an idle connection open, so that a request is not sent while
// the server closes the connection.
duration reuse_time(header_fields const& fields)
{
    std::string const& text = fields.value("Keep-Alive");
    std::size_t const at = text.find("timeout=");
    if (at == std::string::npos)
    {
        return default_keep_alive / 2;
    }
    std::string const digits = text.substr(at + 8, text.find_first_not_of("0123456789", at + 8) - at - 8);
    auto const value = parse_number(digits);
    return value ? duration(seconds{static_cast<std::int64_t>(std::min<std::uint64_t>(*value, 3600))}) / 2
                 : default_keep_alive / 2;
}

} // namespace

char const* to_string(exchange_end end)
{
    switch (end)
    {
    case exchange_end::complete:
        return "complete";
    case exchange_end::refused:
        return "refused";
    case exchange_end::not_sent:
        return "not_sent";
    case exchange_end::lost:
        return "lost";
    case exchange_end::malformed:
        return "malformed";
    case exchange_end::invalid_status:
        return "invalid_status";
    case exchange_end::body_not_allowed:
        return "body_not_allowed";
    case exchange_end::too_large:
        return "answer_too_large";
    case exchange_end::timed_out:
        return "timed_out";
    }
    return "unknown";
}

class outbound_pool::implementation : public std::enable_shared_from_this<implementation>
{
public:
    explicit implementation(boost::asio::io_context& loop_in) : loop(loop_in) {}

    // `closed_with_bytes` counts the connections that are closed because of such bytes.
    std::optional<idle_connection> take_idle(outbound_request const& request, unsigned& closed_with_bytes)
    {
        auto& list = idle[request.address];
        steady_time const now = boot_now();
        for (std::size_t left = list.size(); left > 0; --left)
        {
            auto const candidate = list.begin() + static_cast<std::ptrdiff_t>(left - 1);
            idle_input const input = pending_input(candidate->socket);
            bool const usable = now < candidate->usable_until && input == idle_input::none;
            if (usable && !candidate->history.can_carry(request.id))
            {
                continue;
            }
            idle_connection taken = std::move(*candidate);
            list.erase(candidate);
            if (usable)
            {
                return taken;
            }
            closed_with_bytes += input == idle_input::bytes ? 1 : 0;
        }
        return std::nullopt;
    }

    void keep_idle(std::string const& address, tcp::socket socket, connection_history const& history,
                   duration usable_for)
    {
        auto& list = idle[address];
        steady_time const now = boot_now();
        while (!list.empty() && now >= list.front().usable_until)
        {
            list.pop_front();
        }
        if (list.size() < idle_connections_per_address)
        {
            list.push_back({std::move(socket), history, now + usable_for});
        }
    }

    boost::asio::io_context& loop;
    std::unordered_map<std::string, std::deque<idle_connection>> idle;
    std::shared_ptr<kept_bytes> const kept = std::make_shared<kept_bytes>();
    std::size_t opened = 0;
};

namespace
{

class running_exchange final : public outbound_exchange, public std::enable_shared_from_this<running_exchange>
{
public:
    using connection_return = std::function<void(tcp::socket, connection_history const&, duration)>;

    // `return_to_pool` receives the connection if it can be used again.
    running_exchange(boost::asio::io_context& loop, outbound_request request, exchange_handlers handlers,
                     std::shared_ptr<kept_bytes> kept, connection_return return_to_pool)
        : request_(std::move(request)),
          handlers_(std::make_shared<exchange_handlers const>(std::move(handlers))), kept_(std::move(kept)),
          return_to_pool_(std::move(return_to_pool)), socket_(loop), timer_(loop), connect_timer_(loop),
          skip_timer_(loop)
    {
    }

    void set_closed_with_bytes(unsigned connections) { closed_with_bytes_ = connections; }

    void start_on(idle_connection kept)
    {
        socket_ = std::move(kept.socket);
        history_ = kept.history;
        start_timer(timer_, request_.time_limit);
        // The handlers must not run before start() has returned the exchange to its user.
        boost::asio::post(socket_.get_executor(), [self = shared_from_this()] { self->write(); });
    }

    // `number` names the new connection.
    void connect(tcp::endpoint const& endpoint, std::uint64_t number)
    {
        history_ = connection_history(number);
        start_timer(timer_, request_.time_limit);
        start_timer(connect_timer_, std::min(request_.connect_limit, request_.time_limit));
        socket_.async_connect(endpoint,
                              [self = shared_from_this()](boost::system::error_code error)
                              {
                                  if (self->ended_)
                                  {
                                      return;
                                  }
                                  boost::system::error_code ignored;
                                  self->connect_timer_.cancel(ignored);
                                  if (error)
                                  {
                                      bool const refused = error == boost::asio::error::connection_refused;
                                      self->finish(refused ? exchange_end::refused : exchange_end::not_sent);
                                      return;
                                  }
                                  set_liveness_options(self->socket_, unacknowledged_limit);
                                  self->write();
                              });
    }

    void fail_later()
    {
        boost::asio::post(socket_.get_executor(),
                          [self = shared_from_this()] { self->finish(exchange_end::not_sent); });
    }

    void cancel() override
    {
        handlers_.reset();
        stop();
    }

    bool sent() const override { return sent_; }

    bool fresh() const override { return history_.requests() == 0; }

    connection_use use() const override
    {
        return {history_.number(), history_.requests(), closed_with_bytes_};
    }

    unsigned skipped_answers() const override { return skipped_answers_; }

    std::size_t bytes_behind() const override { return bytes_behind_; }

    std::string const& invalid_status() const override { return invalid_status_; }

    void set_kept_bytes(std::size_t bytes) override { kept_by_user_ = bytes; }

private:
    void start_timer(boost::asio::steady_timer& timer, duration span)
    {
        timer.expires_after(span);
        timer.async_wait(
            [self = shared_from_this()](boost::system::error_code error)
            {
                if (!error && !self->ended_)
                {
                    self->finish(self->sent_ ? exchange_end::timed_out : exchange_end::not_sent);
                }
            });
    }

    void write()
    {
        if (ended_)
        {
            return;
        }
        auto const handlers = handlers_;
        if (handlers->may_send && !handlers->may_send())
        {
            finish(exchange_end::not_sent);
            return;
        }
        sent_ = true;
        std::array<boost::asio::const_buffer, 2> const parts{
            boost::asio::buffer(request_.bytes),
            request_.body ? boost::asio::buffer(*request_.body) : boost::asio::const_buffer()};
        boost::asio::async_write(socket_, parts,
                                 [self = shared_from_this()](boost::system::error_code error, std::size_t)
                                 {
                                     // The server may have answered although writing failed: read() decides.
                                     self->written_ = !error;
                                     self->write_error_ = error;
                                 });
        read();
    }

    void read()
    {
        socket_.async_read_some(
            boost::asio::buffer(chunk_),
            [self = shared_from_this()](boost::system::error_code error, std::size_t count)
            {
                if (self->ended_)
                {
                    return;
                }
                self->in_.append(self->chunk_.data(), count);
                if (error)
                {
                    self->on_read_end(error);
                    return;
                }
                if (self->process())
                {
                    self->read();
                }
            });
    }

    void on_read_end(boost::system::error_code error)
    {
        bool const complete = ended_in_order(error) && decoder_ && decoder_->kind() == body_kind::until_close;
        finish(complete ? exchange_end::complete : exchange_end::lost);
    }

    // True when the server itself has ended its bytes. The kernel reports the error of a connection only
    // once: after a write has received a reset or a time-out, a read sees a plain end. A write receives
    // broken_pipe when the server's end arrived before the reset.
    bool ended_in_order(boost::system::error_code read_error) const
    {
        return read_error == boost::asio::error::eof &&
               (!write_error_ || write_error_ == boost::asio::error::broken_pipe);
    }

    // True when more bytes are needed.
    bool process()
    {
        do
        {
            if (!receive_head())
            {
                return !ended_;
            }
        } while (skipping_ && skip_body());
        return !ended_ && (skipping_ || receive_body());
    }

    // False when more bytes are needed, or the exchange is over.
    bool receive_head()
    {
        while (!head_received_)
        {
            // The end of the head may have begun in the bytes that were searched before.
            std::size_t const end = in_.find("\r\n\r\n", searched_ < 3 ? 0 : searched_ - 3);
            if (end == std::string::npos)
            {
                searched_ = in_.size();
                if (in_.size() > answer_head_limit)
                {
                    finish(exchange_end::too_large);
                    return false;
                }
                (void)keeps_within_limits();
                return false;
            }
            if (!parse_head(end + 4))
            {
                return false;
            }
        }
        return true;
    }

    // True when the whole body has been skipped, so that the next head follows.
    bool skip_body()
    {
        std::size_t used = 0;
        std::string content;
        decode_status const status = decoder_->decode(in_, used, content);
        in_.erase(0, used);
        skipped_bytes_ += used;
        if (status == decode_status::malformed || skipped_bytes_ > skipped_bytes_limit)
        {
            finish(status == decode_status::malformed ? exchange_end::malformed : exchange_end::too_large);
            return false;
        }
        if (status == decode_status::more)
        {
            return false;
        }
        boost::system::error_code ignored;
        skip_timer_.cancel(ignored);
        skipping_ = false;
        head_received_.reset();
        return true;
    }

    // True when more bytes are needed.
    bool receive_body()
    {
        std::size_t used = 0;
        std::string content;
        decode_status const status = decoder_->decode(in_, used, content);
        in_.erase(0, used);
        auto const handlers = handlers_;
        if (!content.empty() && handlers->on_body)
        {
            kept_by_user_ += content.size();
            handlers->on_body(content);
        }
        if (ended_ || !keeps_within_limits())
        {
            return false;
        }
        if (status == decode_status::more)
        {
            return true;
        }
        if (status == decode_status::complete && is_forbidden_body(*head_received_, in_))
        {
            finish(exchange_end::body_not_allowed);
            return false;
        }
        finish(status == decode_status::complete ? exchange_end::complete : exchange_end::malformed);
        return false;
    }

    // Ends this exchange when its answer takes too much memory, or the one that takes most when all together
    // do. False when this exchange is over.
    bool keeps_within_limits()
    {
        std::size_t const kept = kept_by_user_ + in_.size();
        if (kept > kept_answer_limit)
        {
            finish(exchange_end::too_large);
            return false;
        }
        kept_->set(this, kept);
        while (kept_->total() > kept_total_limit)
        {
            kept_->largest()->finish(exchange_end::too_large);
        }
        return !ended_;
    }

    // False when the exchange is over.
    bool parse_head(std::size_t size)
    {
        std::string_view const bytes = std::string_view(in_).substr(0, size);
        auto const head = parse_response_head(bytes);
        // A protocol change was not asked for, and what follows it is not HTTP.
        bool const switches = head && head->status == switching_protocols;
        invalid_status_ = switches ? std::to_string(head->status) : invalid_status_text(bytes);
        in_.erase(0, size);
        searched_ = 0;
        if (!invalid_status_.empty())
        {
            finish(exchange_end::invalid_status);
            return false;
        }
        auto const framing = head ? response_framing(*head, request_.method) : std::nullopt;
        if (!framing)
        {
            finish(exchange_end::malformed);
            return false;
        }
        if (announces_forbidden_body(*head))
        {
            finish(exchange_end::body_not_allowed);
            return false;
        }
        if (head->status < 200)
        {
            if (++interim_answers_ > interim_answer_limit)
            {
                finish(exchange_end::too_large);
                return false;
            }
            return true; // An interim answer; the final one follows.
        }
        head_received_ = *head;
        decoder_.emplace(*framing);
        skipping_ = framing->kind != body_kind::until_close && skipped_answers_ < skipped_answer_limit &&
                    answers_earlier_request(*head);
        if (skipping_)
        {
            ++skipped_answers_;
            start_timer(skip_timer_, skipped_body_time);
            if (auto const handlers = handlers_; handlers->on_skipped)
            {
                handlers->on_skipped(*head);
            }
            return !ended_;
        }
        // The body that a 304 announces may follow in spite of its status.
        bool const body_may_follow = !status_has_body(head->status) && announces_body(head->fields);
        keep_alive_ = framing->kind != body_kind::until_close && !body_may_follow &&
                      head->version == http_version::http_1_1 &&
                      keeps_connection(head->version, head->fields);
        reuse_time_ = reuse_time(head->fields);
        auto const handlers = handlers_;
        if (handlers->on_head && !handlers->on_head(*head))
        {
            cancel();
            return false;
        }
        return !ended_;
    }

    bool answers_earlier_request(response_head const& head) const
    {
        // The answer to HEAD has no body whatever its head says, so that it and other answers do not end
        // alike.
        if (!handlers_->named_id || request_.method == "HEAD")
        {
            return false;
        }
        std::string const named = handlers_->named_id(head);
        return named != request_.id && history_.has_carried(named);
    }

    void finish(exchange_end end)
    {
        if (ended_)
        {
            return;
        }
        // Bytes after a complete answer belong to no request.
        bytes_behind_ = end == exchange_end::complete ? in_.size() : 0;
        bool const whole = end == exchange_end::complete && written_ && bytes_behind_ == 0;
        connection_history history = history_;
        history.add(request_.id);
        bool const reusable =
            whole && keep_alive_ && skipped_answers_ == 0 && request_.method != "HEAD" && !history.full();
        tcp::socket socket = std::move(socket_);
        auto const handlers = std::exchange(handlers_, nullptr);
        stop();
        if (reusable)
        {
            return_to_pool_(std::move(socket), history, reuse_time_);
        }
        else
        {
            boost::system::error_code ignored;
            socket.close(ignored);
        }
        if (handlers->on_end)
        {
            handlers->on_end(end);
        }
    }

    void stop()
    {
        ended_ = true;
        kept_->remove(this);
        boost::system::error_code ignored;
        timer_.cancel(ignored);
        connect_timer_.cancel(ignored);
        skip_timer_.cancel(ignored);
        if (socket_.is_open())
        {
            socket_.close(ignored);
        }
    }

    outbound_request const request_;
    // Null once the exchange has ended. A call of a handler holds a copy of the pointer, because the handler
    // may call cancel() and go on to use what it has captured.
    std::shared_ptr<exchange_handlers const> handlers_;
    std::shared_ptr<kept_bytes> const kept_;
    connection_return const return_to_pool_;
    tcp::socket socket_;
    connection_history history_;
    unsigned closed_with_bytes_ = 0;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer connect_timer_;
    boost::asio::steady_timer skip_timer_; ///< Runs while the body of an answer is skipped.
    std::array<char, 16384> chunk_{};
    std::string in_;
    std::size_t searched_ = 0;                   ///< Bytes of in_ that contain no end of a head.
    std::optional<response_head> head_received_; ///< Of an answer that is not interim.
    std::string invalid_status_;
    std::optional<body_decoder> decoder_;
    unsigned interim_answers_ = 0;
    bool skipping_ = false; ///< The answer whose head was received last belongs to an earlier request.
    unsigned skipped_answers_ = 0;
    std::size_t skipped_bytes_ = 0;
    std::size_t bytes_behind_ = 0;
    std::size_t kept_by_user_ = 0; ///< Bytes of the body that the user of the exchange keeps.
    duration reuse_time_{0};
    bool keep_alive_ = false;
    bool sent_ = false;
    bool written_ = false;
    boost::system::error_code write_error_;
    bool ended_ = false;
};

} // namespace

outbound_pool::outbound_pool(boost::asio::io_context& loop) : impl_(std::make_shared<implementation>(loop)) {}

outbound_pool::~outbound_pool() = default;

std::shared_ptr<outbound_exchange> outbound_pool::start(outbound_request request, exchange_handlers handlers)
{
    std::string const address = request.address;
    unsigned closed_with_bytes = 0;
    auto kept = request.fresh_connection ? std::nullopt : impl_->take_idle(request, closed_with_bytes);
    auto const return_to_pool =
        [weak = std::weak_ptr<implementation>(impl_),
         address](tcp::socket socket, connection_history const& history, duration usable_for)
    {
        if (auto const pool = weak.lock())
        {
            pool->keep_idle(address, std::move(socket), history, usable_for);
        }
    };
    auto exchange = std::make_shared<running_exchange>(impl_->loop, std::move(request), std::move(handlers),
                                                       impl_->kept, return_to_pool);
    exchange->set_closed_with_bytes(closed_with_bytes);
    if (kept)
    {
        exchange->start_on(std::move(*kept));
        return exchange;
    }
    auto const endpoint = parse_endpoint(address);
    if (!endpoint)
    {
        exchange->fail_later();
        return exchange;
    }
    ++impl_->opened;
    exchange->connect(*endpoint, impl_->opened);
    return exchange;
}

void outbound_pool::call(std::string const& address, http_call const& what, duration time_limit,
                         std::function<void(http_outcome)> done, std::function<bool()> may_send)
{
    struct collected
    {
        http_outcome outcome;
        std::shared_ptr<outbound_exchange> exchange;
    };
    auto const state = std::make_shared<collected>();
    exchange_handlers handlers;
    handlers.may_send = std::move(may_send);
    handlers.on_head = [state](response_head const& head)
    {
        state->outcome.status = head.status;
        state->outcome.headers.assign(head.fields.begin(), head.fields.end());
        return true;
    };
    handlers.on_body = [state](std::string const& part) { state->outcome.body.append(part); };
    handlers.on_end = [state, done = std::move(done)](exchange_end end)
    {
        state->outcome.sent = state->exchange && state->exchange->sent();
        state->outcome.refused = end == exchange_end::refused;
        state->outcome.lost = end == exchange_end::lost;
        if (end != exchange_end::complete)
        {
            state->outcome.status = 0;
            state->outcome.why = to_string(end);
            state->outcome.invalid_status =
                end == exchange_end::invalid_status || end == exchange_end::body_not_allowed;
        }
        state->exchange.reset();
        done(std::move(state->outcome));
    };
    outbound_request request;
    request.address = address;
    request.method = what.method;
    request.bytes = encode_call(what, address);
    request.time_limit = time_limit;
    request.fresh_connection = what.fresh_connection;
    state->exchange = start(std::move(request), std::move(handlers));
}

std::size_t outbound_pool::opened() const
{
    return impl_->opened;
}

} // namespace siskinusher
