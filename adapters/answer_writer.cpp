#include "adapters/answer_writer.hpp"

#include "adapters/http_head.hpp"
#include "adapters/problem_document.hpp"
#include "adapters/process_clock.hpp"

#include <array>
#include <charconv>
#include <utility>

namespace siskinusher
{

namespace
{

// A caller that takes no bytes for this long is treated as gone, so that it frees its slot on the engine.
constexpr duration write_limit = seconds{10};

} // namespace

answer_writer::answer_writer(wire_connection& connection, bool http_1_1, bool head_only, bool keep_alive,
                             std::string request_id)
    : connection_(connection), http_1_1_(http_1_1), head_only_(head_only), keep_alive_(keep_alive),
      request_id_(std::move(request_id))
{
}

std::string answer_writer::compose_head(answer_head const& head, bool chunked)
{
    status_ = head.status;
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + " ";
    text.append(reason_phrase(head.status)).append("\r\n");
    if (!head.content_type.empty())
    {
        text.append("Content-Type: ").append(head.content_type).append("\r\n");
    }
    text.append("X-Request-Id: ").append(request_id_).append("\r\n").append(head.header_lines);
    bool const bodyless = head.status == 204 || head.status == 304;
    if (chunked)
    {
        text.append("Transfer-Encoding: chunked\r\n");
    }
    else if (head.length && !bodyless)
    {
        text.append("Content-Length: ").append(std::to_string(*head.length)).append("\r\n");
    }
    text.append(keep_alive_ ? "Connection: keep-alive\r\n\r\n" : "Connection: close\r\n\r\n");
    return text;
}

bool answer_writer::write_bytes(std::string_view bytes)
{
    if (connection_.write_all(bytes, steady_now() + write_limit) == io_status::ok)
    {
        return true;
    }
    keep_alive_ = false;
    return false;
}

bool answer_writer::send_whole(answer_head const& head, std::string_view body)
{
    begun_ = true;
    std::string text = compose_head(head, false);
    if (!head_only_)
    {
        text.append(body);
    }
    return write_bytes(text);
}

bool answer_writer::begin(answer_head const& head)
{
    begun_ = true;
    chunked_ = !head.length && http_1_1_;
    // Until end() is called, the answer is incomplete and the connection must not be used again.
    bool const reusable = keep_alive_ && (chunked_ || head.length);
    keep_alive_ = reusable;
    std::string const text = compose_head(head, chunked_);
    keep_alive_ = false;
    chunk_.reserve(512);
    keep_alive_after_end_ = reusable;
    return write_bytes(text);
}

bool answer_writer::write(std::string_view part)
{
    if (!chunked_)
    {
        return write_bytes(part);
    }
    if (part.empty())
    {
        return true; // An empty chunk would end the answer.
    }
    std::array<char, 16> digits{};
    auto const size = std::to_chars(digits.data(), digits.data() + digits.size(), part.size(), 16);
    chunk_.assign(digits.data(), size.ptr);
    chunk_.append("\r\n").append(part).append("\r\n");
    return write_bytes(chunk_);
}

bool answer_writer::end()
{
    bool const sent = !chunked_ || write_bytes("0\r\n\r\n");
    keep_alive_ = sent && keep_alive_after_end_;
    return sent;
}

bool answer_writer::send_refusal(refusal const& why, std::string_view detail, int status,
                                 std::string_view header_lines)
{
    int const code = status == 0 ? http_status(why.reason) : status;
    std::string const document = problem_document(why, code, detail, request_id_);
    if (begun_)
    {
        keep_alive_ = false;
        return write("event: error\ndata: " + document + "\n\n");
    }
    answer_head head{code, problem_content_type, std::string(header_lines), document.size()};
    std::string const retry_after = retry_after_seconds(why);
    if (!retry_after.empty())
    {
        head.header_lines.append("Retry-After: ").append(retry_after).append("\r\n");
    }
    return send_whole(head, document);
}

} // namespace siskinusher
