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
    until_close, ///< The end cannot be told from a broken connection.
};

struct body_framing
{
    body_kind kind{body_kind::none};
    std::uint64_t length = 0;
};

/// How decoding the bytes received so far ended.
enum class decode_status
{
    more, ///< The body goes on; the remaining bytes are too few to decode.
    complete,
    malformed,
};

/// Decodes a message body from bytes in the order in which they are received. It does no I/O.
class body_decoder
{
public:
    explicit body_decoder(body_framing framing);

    /// Decodes as much of `bytes` as possible, appends the content to `out` and sets `used` to the number of
    /// bytes that are done with. Bytes after the end of the body are left.
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
    void move_bytes(std::string_view bytes, std::size_t& used, std::string& out);

    body_framing framing_;
    std::uint64_t left_;
    std::size_t trailer_bytes_ = 0;
    bool complete_ = false;
    chunk_phase phase_{chunk_phase::size_line};
};

} // namespace siskinusher
