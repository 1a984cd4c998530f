#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace siskinusher
{

/// What a stream relay found in the bytes so far.
enum class relay_status
{
    more,    ///< The stream has not ended.
    done,    ///< The end mark "data: [DONE]" was seen.
    broken,  ///< A token is missing, or an event is malformed: the stream must be resumed elsewhere.
    refused, ///< The sender ended the stream with an error event.
};

/// Forwards the server-sent events of a token stream, which several engines may produce one after another.
/// Each event carries `token_index`; a token that was already forwarded is dropped and a gap breaks the
/// stream, so that the caller gets every token exactly once.
class stream_relay
{
public:
    /// `next_token` is the index of the first token that the caller has not received.
    explicit stream_relay(unsigned next_token) : next_token_(next_token) {}

    /// Starts to read from another engine; an incomplete event is discarded.
    void restart();

    /// Consumes bytes of the answer and appends the events to forward to `out`.
    relay_status feed(std::string_view bytes, std::string& out);

    unsigned next_token() const { return next_token_; }

private:
    relay_status process_event(std::string_view lines, std::string& out);

    std::string pending_;
    unsigned next_token_;
    bool resumed_ = false; ///< True while only tokens of earlier engines have been forwarded.
};

/// Value of a key at the top level of a JSON object when it is an unsigned number below 2^31. It scans
/// without building a document, because it runs once for each token.
std::optional<unsigned> top_level_number(std::string_view json, std::string_view key);

} // namespace siskinusher
