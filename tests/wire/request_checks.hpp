#pragma once

#include "tests/wire/backend_standin.hpp"
#include "tests/wire/edge_child.hpp"
#include "tests/wire/small_fleet.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <future>
#include <optional>
#include <string>
#include <vector>

namespace siskinusher::standins
{

// Several requests fail together in an incident; a server with several failures is treated differently.
constexpr unsigned requests_at_once = 8;
constexpr char const* all_events = "1 2 3 4 5 6 ";

/// Outcome of a request in the log; empty while the request is open.
inline std::string logged_outcome(edge_child const& edge, std::string const& id)
{
    std::string const text = edge.log_text();
    std::string const line = "event=request request=" + id + " outcome=";
    std::size_t const at = text.find(line);
    std::size_t const begin = at + line.size();
    return at == std::string::npos ? std::string() : text.substr(begin, text.find(' ', begin) - begin);
}

/// Lines of the log that show what became of a request.
inline std::string log_of(edge_child const& edge, std::string const& id)
{
    std::string const text = edge.log_text();
    std::string lines;
    for (std::size_t at = 0; at < text.size();)
    {
        std::size_t const end = std::min(text.find('\n', at), text.size());
        std::string const line = text.substr(at, end - at);
        lines += line.find("request=" + id + " ") == std::string::npos ? "" : line + "\n";
        at = end + 1;
    }
    return lines;
}

/// Sends a request for a resumable stream of six events, in a thread of its own.
inline std::future<std::optional<http_answer>> begin_stream(edge_child const& edge, std::string const& id)
{
    return std::async(std::launch::async,
                      [&edge, id] {
                          return edge.call("POST", "/stream/1", id, {{"Model", "m0"}});
                      });
}

/// Opens requests_at_once repeatable requests.
inline std::vector<std::future<std::optional<http_answer>>> begin_requests(edge_child const& edge)
{
    std::vector<std::future<std::optional<http_answer>>> answers;
    for (unsigned i = 0; i < requests_at_once; ++i)
    {
        answers.push_back(std::async(std::launch::async, [&edge, i]
                                     { return edge.call("GET", "/again/1", "r" + std::to_string(i)); }));
    }
    return answers;
}

/// Expects the server's own answer.
inline void expect_plain_answer(edge_child const& edge, std::string const& id,
                                std::optional<http_answer> const& answer)
{
    cr_expect(answer && answer->status == 200 && answer->body == "body of " + id, "%s: status %d\n%s",
              id.c_str(), answer ? answer->status : 0, log_of(edge, id).c_str());
}

/// Expects all six events, each once and in order, and a complete answer.
inline void expect_whole_stream(edge_child const& edge, std::string const& id,
                                std::optional<http_answer> const& answer)
{
    (void)eventually([&] { return !logged_outcome(edge, id).empty(); }, std::chrono::seconds{2});
    std::string const events = answer ? event_ids(answer->body) : std::string("no answer");
    std::string const log = log_of(edge, id);
    cr_expect(answer && answer->status == 200, "%s: status %d", id.c_str(), answer ? answer->status : 0);
    cr_expect(events == all_events, "%s: events %s\n%s", id.c_str(), events.c_str(), log.c_str());
    cr_expect(logged_outcome(edge, id) == "served", "%s: outcome %s", id.c_str(),
              logged_outcome(edge, id).c_str());
}

/// Expects that an engine has run each of the requests r0, r1, ... once, and that none was cancelled.
inline void expect_one_run_each(backend_standin& engine, unsigned requests)
{
    for (unsigned i = 0; i < requests; ++i)
    {
        std::string const id = "r" + std::to_string(i);
        cr_expect(engine.runs()[id] == 1, "%s: %u runs", id.c_str(), engine.runs()[id]);
    }
    cr_expect(engine.cancelled() == 0, "%u of %u runs cancelled", engine.cancelled(), engine.total_runs());
}

} // namespace siskinusher::standins
