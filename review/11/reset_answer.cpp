#include "../fleet3/caller.hpp"
#include "../fleet3/edge_program.hpp"
#include "../fleet3/http_server.hpp"
#include "../fleet3/metadata_store.hpp"

#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace review
{

namespace
{

using nlohmann::json;

constexpr std::size_t long_body = 3000000; // max_body_bytes is 4,194,304.
constexpr std::size_t answer_bytes = 800;  // As on the sheet.
constexpr unsigned requests = 240;
constexpr unsigned long_request_each = 30; // One of 30 is long, and its answer is broken off.

std::string answer_of(std::string const& id)
{
    std::string text = "answer to " + id + " ";
    text.resize(answer_bytes, '.');
    return text;
}

std::string stamp_lines(std::string const& id)
{
    return "Attempt-Id: " + id + "\r\nServer-Stamp: stamp-" + id + "\r\nContent-Type: text/plain\r\n";
}

std::string request_text(std::string const& id, std::string const& body)
{
    std::string text = "POST /debit/1 HTTP/1.1\r\nHost: h.example\r\nDeadline-Ms: 2000\r\nAttempt-Id: ";
    text.append(id).append("\r\nContent-Length: ").append(std::to_string(body.size()));
    return text.append("\r\n\r\n").append(body);
}

json configuration()
{
    json const route{{"name", "debit"},
                     {"host", "h.example"},
                     {"path_prefix", "/debit/"},
                     {"route_kind", "non_idempotent"},
                     {"timeout_ms", 2000},
                     {"goal_ms", 120},
                     {"priority", 2},
                     {"service", "stores-app"},
                     {"attempts", 1}};
    return {{"version", 7},
            {"routes", json::array({route})},
            {"services", json::array({{{"name", "stores-app"},
                                       {"health_path", "/health"},
                                       {"max_conns", 110},
                                       {"protocol", "h1"},
                                       {"tls", false}}})},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 4194304},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}}};
}

/// An engine of stores-app. It answers a request with a long body before it has read that, without a length.
class store_engine
{
public:
    store_engine(metadata_store& store, std::string id, bool trouble)
        : id_(std::move(id)), trouble_(trouble),
          server_([this](http_request const& request, http_channel& channel) { serve(request, channel); },
                  [this](http_request const& request, http_channel& channel)
                  { return serve_early(request, channel); })
    {
        store.write("servers", id_,
                    {{"service", "stores-app"},
                     {"address", server_.address()},
                     {"zone", "chaguanas"},
                     {"version", "v1"},
                     {"slots", 6},
                     {"state", "ready"},
                     {"cold_left_ms", 0},
                     {"born", 1790000000000},
                     {"seq", 0}});
    }

    /// Requests whose answer was broken off by a reset.
    std::map<std::string, bool> broken()
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        return broken_;
    }

private:
    bool refuses(http_request const& request, http_channel& channel) const
    {
        std::string const expected = request.header("expect-instance");
        if (!expected.empty() && expected != id_)
        {
            channel.answer(421, "Instance-Id: " + id_ + "\r\n", "");
            return true;
        }
        return false;
    }

    void serve(http_request const& request, http_channel& channel) const
    {
        std::string const id = request.header("attempt-id");
        if (!refuses(request, channel))
        {
            ::usleep(15000);
            channel.answer(200, stamp_lines(id), answer_of(id));
        }
    }

    bool serve_early(http_request const& request, http_channel& channel)
    {
        std::size_t const length = std::strtoul(request.header("content-length").c_str(), nullptr, 10);
        if (length < long_body || refuses(request, channel))
        {
            return length >= long_body;
        }
        std::string const id = request.header("attempt-id");
        std::string const body = answer_of(id);
        channel.write("HTTP/1.1 200 OK\r\n" + stamp_lines(id) + "\r\n" + body.substr(0, answer_bytes / 2));
        ::usleep(100000);
        if (trouble_)
        {
            {
                std::lock_guard<std::mutex> const lock(mutex_);
                broken_[id] = true;
            }
            channel.reset();
            return true;
        }
        channel.write(body.substr(answer_bytes / 2));
        channel.finish();
        return true;
    }

    std::string const id_;
    bool const trouble_;
    std::mutex mutex_;
    std::map<std::string, bool> broken_;
    http_server server_;
};

class scenario
{
public:
    scenario(std::string const& folder, std::string const& record, bool trouble) : record_(record)
    {
        store_.write("config", "main", configuration());
        for (int i = 1; i <= 3; ++i)
        {
            engines_.push_back(std::make_unique<store_engine>(store_, "i-" + std::to_string(i), trouble));
        }
        edge_ = std::make_unique<edge_program>(folder, "edge-chaguanas-1", store_.address());
    }

    // Returns the exit code of the script.
    int play()
    {
        for (int i = 0; i < 200 && !edge_->ready(); ++i)
        {
            ::usleep(100000);
        }
        if (!edge_->ready())
        {
            record_ << "the process was not ready within 20 s\n";
            return 2;
        }
        unsigned whole = 0;
        unsigned other = 0;
        unsigned wrong = 0;
        unsigned long_requests = 0;
        for (unsigned i = 1; i <= requests; ++i)
        {
            bool const is_long = i % long_request_each == 0;
            std::string const id = "r-" + std::to_string(i);
            std::string const body(is_long ? long_body : 600, 'b');
            caller_answer const answer = call(edge_->callers(), request_text(id, body), 4.0);
            bool const success = answer.status >= 200 && answer.status < 300 && answer.complete;
            bool const is_whole = answer.body == answer_of(id);
            whole += success && is_whole ? 1 : 0;
            wrong += success && !is_whole ? 1 : 0;
            other += success ? 0 : 1;
            long_requests += is_long ? 1 : 0;
            if (is_long || !success || !is_whole)
            {
                record_ << id << ": body of " << body.size() << " bytes sent, "
                        << (was_broken(id) ? "answer of the engine reset after "
                                           : "whole answer of the engine, ")
                        << (was_broken(id) ? answer_bytes / 2 : answer_bytes)
                        << " bytes; the caller got status " << answer.status
                        << (answer.complete ? ", complete, " : ", not complete, ") << answer.body.size()
                        << " bytes of body, Server-Stamp '"
                        << (answer.headers.count("server-stamp") > 0 ? answer.headers.at("server-stamp") : "")
                        << "'\n";
            }
            ::usleep(20000);
        }
        record_ << requests << " requests, " << long_requests
                << " of them long; successes with the whole body: " << whole
                << ", successes with a part of the body: " << wrong << ", other ends: " << other << "\n";
        record_.flush();
        return wrong > 0 ? 1 : 0;
    }

private:
    bool was_broken(std::string const& id)
    {
        for (auto const& each : engines_)
        {
            if (each->broken().count(id) > 0)
            {
                return true;
            }
        }
        return false;
    }

    std::ofstream record_;
    metadata_store store_;
    std::vector<std::unique_ptr<store_engine>> engines_;
    std::unique_ptr<edge_program> edge_;
};

} // namespace

} // namespace review

// Arguments: temporary folder, file of the record, 1 with the disruption and 0 without it.
int main(int argc, char** argv)
{
    if (argc != 4)
    {
        return 2;
    }
    review::scenario scenario(argv[1], argv[2], std::string(argv[3]) != "0");
    int const result = scenario.play();
    ::_exit(result);
}
