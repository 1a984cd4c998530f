#pragma once

#include "adapters/body_decoder.hpp"
#include "adapters/caller_server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace siskinusher
{

/// State that all connections of a server share.
struct caller_server_state
{
    caller_limits limits;
    bool draining = false;
    std::size_t open_requests = 0;
    std::shared_ptr<request_memory> memory;
    caller_server::refusal_handler on_no_memory;
    caller_server::head_check check_head; ///< Empty for none.
    std::function<void(std::shared_ptr<caller_exchange>)> on_request;
    std::function<void(caller_connection*)> on_closed;
    /// Answers take more memory than there is.
    std::function<void()> on_overdrawn;
};

/// One connection of a caller: reads requests one after the other and writes the answers.
class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    caller_connection(boost::asio::ip::tcp::socket socket, std::shared_ptr<caller_server_state> server);
    ~caller_connection();
    caller_connection(caller_connection const&) = delete;
    caller_connection& operator=(caller_connection const&) = delete;

    void start();
    void close();
    /// True while it waits for the first byte of a request and has nothing to write.
    bool idle() const;
    /// True when all answers are written and the connection only waits for the caller to close it.
    bool discarding() const { return phase_ == phase::discarding; }
    bool has_unsent() const { return !writing_.empty() || !queued_.empty(); }
    /// Bytes of memory for answers that the caller has not taken yet.
    std::size_t unsent_bytes() const { return counted_output_; }
    steady_time idle_since() const { return idle_since_; }
    std::string caller_address() const;

    void on_gone(std::function<void()> handler) { gone_handler_ = std::move(handler); }
    void send_whole(int status, std::string_view header_lines, std::string_view body);
    void begin(int status, std::string_view header_lines);
    void write_part(std::string_view part);
    void end();

private:
    enum class phase
    {
        head,
        body,
        serving,
        discarding, ///< The last answer is written; what the caller still sends is discarded.
        closed,
    };

    void read_more();
    void on_read(boost::system::error_code error, std::size_t count);
    void process();
    bool take_head();
    bool take_body();
    bool admit(std::size_t head_bytes, body_framing const& framing);
    bool make_room_for_chunks();
    void count_input();
    void count_output();
    bool may_read_ahead() const;
    void refuse(int status, std::string_view header_lines = {});
    void refuse_without_memory(std::size_t wanted);
    void drop_body();
    void enqueue(std::string_view bytes);
    void flush();
    void drop_written();
    void finish_sending();
    void after_answer();
    void start_timer(duration span);
    void on_timer();
    bool announces_close() const;
    std::string status_line(int status, std::string_view header_lines) const;

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<caller_server_state> const server_;
    phase phase_{phase::head};
    std::array<char, 16384> chunk_{};
    std::string received_;
    std::string queued_;
    std::string writing_;
    bool reading_ = false;
    bool processing_ = false;
    /// The head of the current answer says that the connection closes after it. Without that the caller may
    /// already have sent its next request.
    bool close_announced_ = false;
    bool close_after_write_ = false;
    bool keep_alive_ = true;
    bool head_only_ = false;
    /// Framing of the body that follows begin(); until_close until the whole body has been written.
    body_kind answer_framing_{body_kind::none};
    std::optional<request_head> head_;
    std::optional<body_decoder> decoder_;
    std::string body_;
    memory_share share_; ///< Of the request whose body is read.
    std::size_t counted_input_ = 0;
    std::size_t counted_output_ = 0;
    duration discard_limit_; ///< How long bytes behind the last request are discarded.
    steady_time idle_since_;
    std::function<void()> gone_handler_;
};

} // namespace siskinusher
