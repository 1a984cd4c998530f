#pragma once

#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace siskinusher::standins
{

/// One word of the stand-in engine's generated answer. It depends on the model name and the messages of the
/// request, so that a test can tell which request an answer belongs to, and on the position, so that a
/// missing or repeated token is detected.
std::string answer_word(nlohmann::json const& request, unsigned token_index);

/// The whole text of an answer from token `from` to `count`.
std::string answer_text(nlohmann::json const& request, unsigned from, unsigned count);

/// Checks a stream of server-sent events: tokens `from` to `count` in order, of this request, and the end
/// mark last. Returns an empty string when the stream is right, else what is wrong.
std::string check_stream(nlohmann::json const& request, std::string const& stream, unsigned from,
                         unsigned count);

/// Checks a whole answer in the same way.
std::string check_answer(nlohmann::json const& request, std::string const& body, unsigned count);

} // namespace siskinusher::standins
