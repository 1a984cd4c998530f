#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace siskinusher
{

/// How the end of a message body is found.
enum class body_kind
{
    none,
    length,
    chunked,
    until_close, ///< The body ends with the connection, so that a truncated body looks complete.
};

struct body_framing
{
    body_kind kind{body_kind::none};
    std::uint64_t length = 0;
};

/// Result of decoding the bytes received so far.
enum class decode_status
{
    more, ///< The body is not complete; more bytes are needed to go on.
    complete,
    malformed,
};

/// Decodes a message body from bytes in the order in which they are received, without I/O.
class body_decoder
{
public:
    explicit body_decoder(body_framing framing);

    /// Decodes as much of `bytes` as possible, appends the content to `out` and sets `used` to the number of
    /// bytes consumed. Bytes after the end of the body are not consumed.
    decode_status decode(std::string_view bytes, std::size_t& used, std::string& out);

    body_kind kind() const { return framing_.kind; }

private:
    enum class chunk_phase
    {
        size_line,
        data,
        data_end,
        trailer,
    };

    decode_status decode_chunks(std::string_view bytes, std::size_t& used, std::string& out);
    void append_content(std::string_view bytes, std::size_t& used, std::string& out);

    body_framing framing_;
    std::uint64_t remaining_; ///< Bytes still to come of the body or of the current chunk.
    std::size_t trailer_bytes_ = 0;
    bool complete_ = false;
    chunk_phase phase_{chunk_phase::size_line};
};

} // namespace siskinusher
