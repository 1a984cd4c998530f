// A client sends a debit with a note in an RFC 2047 encoded word. The servers must run what the client sent.

#include "review/standins/fleet.hpp"

#include <cstdio>
#include <cstdlib>
#include <map>
#include <set>

namespace
{

using namespace siskinusher::review;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;
constexpr int attempts = 20;

std::string base64(std::string const& text)
{
    static char const* const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < text.size(); at += 3)
    {
        unsigned bits = 0;
        for (std::size_t i = 0; i < 3; ++i)
        {
            bits = bits << 8U | (at + i < text.size() ? static_cast<unsigned char>(text[at + i]) : 0U);
        }
        for (std::size_t i = 0; i < 4; ++i)
        {
            out.push_back(at + i <= text.size() ? digits[bits >> (18U - 6U * i) & 63U] : '=');
        }
    }
    return out;
}

// The text of the note. With trouble it holds line ends, and a second request behind them.
std::string note(int number, bool trouble)
{
    if (!trouble)
    {
        return "two picks, one furrowing line";
    }
    return "two picks\r\nContent-Length: 0\r\n\r\nPOST /debit/hidden HTTP/1.1\r\nHost: app.example\r\n"
           "Attempt-Id: hidden-" +
           std::to_string(number) + "\r\nX-Rest: one furrowing line";
}

[[noreturn]] void run(std::string const& record_file)
{
    bool const trouble = has_trouble();
    recorder record(record_file);
    record.write(trouble ? "with trouble" : "without trouble");
    std::string const folder = temporary_folder();
    std::mutex mutex;
    std::map<std::string, std::vector<std::string>> runs; // Method, target and body, by id.
    store platform;
    platform.write("config", "main", small_configuration());
    auto const handle = [&](server_request const& request)
    {
        std::string const what = first_line(request.head) + " | body '" + request.body + "'";
        std::string pinned = header_of(request.head, "Pin-Ms");
        std::lock_guard<std::mutex> const lock(mutex);
        runs[request.id()].push_back(what);
        record.write("run      id=" + request.id() + " " + what + " pin_ms='" + pinned + "'");
        server_answer answer;
        answer.body = "done";
        return answer;
    };
    server const first(platform, "i-app-1", "app", {}, handle);
    server const second(platform, "i-app-2", "app", {}, handle);
    edge process(folder, "edge-1", platform.address());
    if (!process.wait_ready())
    {
        std::puts("not run: siskin-edge is not ready");
        finish(exit_not_run, folder);
    }
    std::map<std::string, std::string> sent;
    for (int i = 0; i < attempts; ++i)
    {
        std::string const id = "attempt-" + std::to_string(i);
        std::string const body = "pick set " + std::to_string(i);
        std::string const head = "POST /debit/parts HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: " + id +
                                 "\r\nDeadline-Ms: 2000\r\nContent-Length: " + std::to_string(body.size()) +
                                 "\r\nX-Note: =?utf-8?B?" + base64(note(i, trouble)) + "?=\r\n\r\n";
        sent[id] = "POST /debit/parts HTTP/1.1 | body '" + body + "'";
        record.write("sent     id=" + id + " " + sent[id]);
        client_answer const answer = call(process.caller_port(), head + body);
        record.write("answered id=" + id + " status=" + std::to_string(answer.status) + " body='" +
                     answer.body + "'");
    }
    std::lock_guard<std::mutex> const lock(mutex);
    int unknown = 0;
    int changed = 0;
    int whole = 0;
    for (auto const& [id, of_id] : runs)
    {
        for (std::string const& each : of_id)
        {
            bool const known = sent.count(id) > 0;
            unknown += known ? 0 : 1;
            changed += known && sent[id] != each ? 1 : 0;
            whole += known && sent[id] == each ? 1 : 0;
        }
    }
    std::string const result = "sent " + std::to_string(attempts) + ", run as sent " + std::to_string(whole) +
                               ", run with body changed " + std::to_string(changed) +
                               ", run with an id that no client sent " + std::to_string(unknown);
    record.write(result);
    std::puts(result.c_str());
    process.kill();
    if (whole + changed == 0)
    {
        finish(exit_not_run, folder);
    }
    finish(unknown + changed > 0 ? exit_broken : exit_held, folder);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc == 2)
    {
        run(argv[1]);
    }
    return exit_not_run;
}
