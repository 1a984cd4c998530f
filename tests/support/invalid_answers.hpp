#pragma once

#include <string>
#include <vector>

namespace siskinusher
{

/// An answer whose status is not valid, or whose status allows no body although it has one.
struct invalid_answer
{
    std::string name;
    std::string status_line;
    std::string lines; ///< Further headers, each ended by CRLF.
    std::string body;
    bool closes = false; ///< The server closes the connection behind it.
    /// The reason that siskin-edge logs.
    char const* why = "invalid_status";

    /// The bytes of the answer; `id_lines` are the headers by which answers name their request.
    std::string text(std::string const& id_lines) const
    {
        return status_line + "\r\n" + id_lines + lines + "\r\n" + body;
    }
};

/// Answers with a status line that is not valid, whatever follows it.
inline std::vector<invalid_answer> invalid_status_lines()
{
    std::string const length = "Content-Length: 4\r\n";
    std::vector<invalid_answer> answers;
    for (char const* const status :
         {"000 Zero",  "099 Low",   "600 High",   "700 High",  "999 High",  "20 Two",
          "2000 Four", "+20 Sign",  "-20 Sign",   "+200 Sign", "-200 Sign", " 200 Space",
          "\t200 Tab", "2 0 Space", "20 0 Space", "200",       "OK",        "",
          "2xx OK",    "0200 OK",   "0x1 OK",     "200: OK"})
    {
        answers.push_back({status, std::string("HTTP/1.1 ") + status, length, "body", false});
        // Only the space behind the status is missing.
        answers.back().why = answers.back().name == "200" ? "malformed" : "invalid_status";
    }
    answers.push_back({"no status", "HTTP/1.1", length, "body", false});
    return answers;
}

/// Interim answers that no final one follows. A protocol change is no interim answer: what follows it is not
/// HTTP.
inline std::vector<invalid_answer> interim_answers()
{
    return {
        {"100, closed", "HTTP/1.1 100 Continue", "", "", true, "lost"},
        {"102, closed", "HTTP/1.1 102 Processing", "", "", true, "lost"},
        {"103, closed", "HTTP/1.1 103 Early Hints", "", "", true, "lost"},
        {"100 with a body, closed", "HTTP/1.1 100 Continue", "Content-Length: 4\r\n", "body", true, "lost"},
        {"199, closed", "HTTP/1.1 199 Any", "", "", true, "lost"},
        {"101, open", "HTTP/1.1 101 Switching Protocols", "Connection: Upgrade\r\nUpgrade: x\r\n", "", false},
        {"101, bytes", "HTTP/1.1 101 Switching Protocols", "Connection: Upgrade\r\nUpgrade: x\r\n", "bytes",
         false}};
}

/// Answers with a body although their status allows none.
inline std::vector<invalid_answer> bodies_not_allowed()
{
    char const* const forbidden = "body_not_allowed";
    std::string const length = "Content-Length: 4\r\n";
    std::string const chunked = "Transfer-Encoding: chunked\r\n";
    return {{"204, length", "HTTP/1.1 204 No Content", length, "body", false, forbidden},
            {"204, chunks", "HTTP/1.1 204 No Content", chunked, "4\r\nbody\r\n0\r\n\r\n", false, forbidden},
            {"204, length, no body", "HTTP/1.1 204 No Content", length, "", false, forbidden},
            {"204, neither", "HTTP/1.1 204 No Content", "", "body", false, forbidden},
            {"204, length 0", "HTTP/1.1 204 No Content", "Content-Length: 0\r\n", "body", false, forbidden},
            {"304, length", "HTTP/1.1 304 Not Modified", length, "body", false, forbidden},
            {"304, chunks", "HTTP/1.1 304 Not Modified", chunked, "4\r\nbody\r\n0\r\n\r\n", false, forbidden},
            {"304, neither", "HTTP/1.1 304 Not Modified", "", "body", false, forbidden}};
}

/// All of them.
inline std::vector<invalid_answer> invalid_answers()
{
    std::vector<invalid_answer> all = invalid_status_lines();
    for (auto const& more : {interim_answers(), bodies_not_allowed()})
    {
        all.insert(all.end(), more.begin(), more.end());
    }
    return all;
}

} // namespace siskinusher
