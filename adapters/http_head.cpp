#include "adapters/http_head.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <cstdint>
#include <limits>

namespace siskinusher
{

namespace
{

namespace http = boost::beast::http;
using boost::beast::string_view;
using boost::system::error_code;

constexpr int lowest_status = 100;
constexpr int highest_status = 599;

std::string to_text(string_view text)
{
    return std::string(text.data(), text.size());
}

// The head as basic_parser reads it. Its own containers limit a field to 65,535 bytes, so that this class
// keeps the fields itself.
template <bool IsRequest>
class head_parser : public http::basic_parser<IsRequest>
{
public:
    std::string method;
    std::string target;
    int status = 0;
    http_version version{http_version::http_1_1};
    header_fields fields;

private:
    void on_request_impl(http::verb /*verb*/, string_view method_text, string_view target_text,
                         int version_number, error_code& /*error*/) override
    {
        method = to_text(method_text);
        target = to_text(target_text);
        set_version(version_number);
    }
    void on_response_impl(int code, string_view /*reason*/, int version_number,
                          error_code& /*error*/) override
    {
        status = code;
        set_version(version_number);
    }
    void on_field_impl(http::field /*name*/, string_view name, string_view value,
                       error_code& /*error*/) override
    {
        fields.add(to_text(name), to_text(value));
    }
    void on_header_impl(error_code& /*error*/) override {}
    // The body is read by body_decoder.
    void on_body_init_impl(boost::optional<std::uint64_t> const& /*length*/, error_code& /*error*/) override
    {
    }
    std::size_t on_body_impl(string_view /*body*/, error_code& /*error*/) override { return 0; }
    void on_chunk_header_impl(std::uint64_t /*size*/, string_view /*extensions*/,
                              error_code& /*error*/) override
    {
    }
    std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, string_view /*body*/,
                                   error_code& /*error*/) override
    {
        return 0;
    }
    void on_finish_impl(error_code& /*error*/) override {}

    void set_version(int number) { version = number == 10 ? http_version::http_1_0 : http_version::http_1_1; }
};

// True when a line begins with white space. basic_parser would join it to the line before.
bool has_continued_line(std::string_view head)
{
    return head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos;
}

template <bool IsRequest>
bool read_head(std::string_view head, head_parser<IsRequest>& parser)
{
    if (head.size() > std::numeric_limits<std::uint32_t>::max() || has_continued_line(head))
    {
        return false;
    }
    parser.header_limit(static_cast<std::uint32_t>(head.size()));
    parser.body_limit(boost::none);
    parser.skip(true);
    error_code error;
    std::size_t const used = parser.put(boost::asio::const_buffer(head.data(), head.size()), error);
    return !error && parser.is_header_done() && used == head.size();
}

} // namespace

std::optional<request_head> parse_request_head(std::string_view head)
{
    head_parser<true> parser;
    if (!read_head(head, parser))
    {
        return std::nullopt;
    }
    return request_head{std::move(parser.method), std::move(parser.target), parser.version,
                        std::move(parser.fields)};
}

std::optional<response_head> parse_response_head(std::string_view head)
{
    head_parser<false> parser;
    if (!read_head(head, parser) || parser.status < lowest_status || parser.status > highest_status)
    {
        return std::nullopt;
    }
    return response_head{parser.status, parser.version, std::move(parser.fields)};
}

std::string invalid_status_text(std::string_view head)
{
    constexpr std::string_view start = "HTTP/1.";
    constexpr std::string_view digits = "0123456789";
    constexpr std::size_t status_size = 3;
    constexpr std::size_t shown = 8; // Enough to recognise what the server meant.
    std::string_view line = head.substr(0, head.find("\r\n"));
    if (line.substr(0, start.size()) != start)
    {
        return {};
    }
    line.remove_prefix(std::min(line.size(), start.size() + 1)); // With the minor version.
    line.remove_prefix(!line.empty() && line.front() == ' ' ? 1 : 0);
    std::string_view const status = line.substr(0, status_size);
    std::string_view const next = line.substr(std::min(status_size, line.size()), 1);
    bool const is_valid = status.size() == status_size && status.front() >= '1' && status.front() <= '5' &&
                          status.find_first_not_of(digits) == std::string_view::npos &&
                          (next.empty() || next == " ");
    if (is_valid)
    {
        return {};
    }
    std::string_view const text = line.substr(0, std::min(shown, line.find(' ', 1)));
    return text.empty() ? "none" : std::string(text);
}

bool keeps_connection(http_version version, header_fields const& fields)
{
    auto const options = fields.tokens("Connection");
    return options.count("close") == 0 &&
           (version == http_version::http_1_1 || options.count("keep-alive") > 0);
}

std::string_view reason_phrase(int status)
{
    http::status const known = http::int_to_status(static_cast<unsigned>(status));
    if (known == http::status::unknown)
    {
        return {};
    }
    string_view const phrase = http::obsolete_reason(known);
    return {phrase.data(), phrase.size()};
}

} // namespace siskinusher
