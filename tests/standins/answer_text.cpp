#include "tests/standins/answer_text.hpp"

#include "core/hash.hpp"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <sstream>

namespace siskinusher::standins
{

using nlohmann::json;

std::string answer_word(json const& request, unsigned token_index)
{
    auto const key = request.value("model", "") + "\n" + request.value("messages", json::array()).dump();
    char word[32];
    std::snprintf(word, sizeof word, "%u-%06x ", token_index,
                  static_cast<unsigned>(stable_hash(key, token_index) & 0xFFFFFFU));
    return word;
}

std::string answer_text(json const& request, unsigned from, unsigned count)
{
    std::string text;
    for (unsigned i = from; i < count; ++i)
    {
        text += answer_word(request, i);
    }
    return text;
}

std::string check_stream(json const& request, std::string const& stream, unsigned from, unsigned count)
{
    std::istringstream lines(stream);
    std::string line;
    unsigned next = from;
    bool ended = false;
    while (std::getline(lines, line))
    {
        if (!line.empty() && line.back() == '\r')
        {
            line.pop_back();
        }
        if (line.rfind("data: ", 0) != 0)
        {
            continue;
        }
        if (ended)
        {
            return "data after the end mark";
        }
        if (line == "data: [DONE]")
        {
            ended = true;
            continue;
        }
        auto const chunk = json::parse(line.substr(6), nullptr, false);
        if (chunk.is_discarded() || !chunk.contains("token_index"))
        {
            return "unexpected event: " + line;
        }
        if (chunk["token_index"] != next)
        {
            return "token " + chunk["token_index"].dump() + " in place of " + std::to_string(next);
        }
        if (chunk["choices"][0]["delta"].value("content", "") != answer_word(request, next))
        {
            return "token " + std::to_string(next) + " belongs to another request";
        }
        ++next;
    }
    if (next != count)
    {
        return std::to_string(next) + " of " + std::to_string(count) + " tokens";
    }
    return ended ? "" : "the end mark is missing";
}

std::string check_answer(json const& request, std::string const& body, unsigned count)
{
    auto const answer = json::parse(body, nullptr, false);
    if (answer.is_discarded() || !answer.contains("choices"))
    {
        return "not a completion: " + body.substr(0, 200);
    }
    bool const right = answer["choices"][0]["message"].value("content", "") == answer_text(request, 0, count);
    return right ? "" : "the text belongs to another request or is truncated";
}

} // namespace siskinusher::standins
