// A session's prompt grows. Its Prompt-Prefix stays within max_header_bytes, so that its requests are proper.

#include "review/standins/fleet.hpp"

#include <cstdio>

namespace
{

using namespace siskinusher::review;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;
constexpr int sessions = 40;
constexpr std::size_t header_limit = 16384; ///< max_header_bytes of the configuration.
constexpr int usual_parts = 40;
constexpr int long_parts = 800;
constexpr int allowed_denials = 5; ///< Of the rule, and one in this many of all requests:
constexpr int requests_of_denial = 500;

std::string prefix(int session, int parts)
{
    std::string text;
    for (int i = 0; i < parts; ++i)
    {
        char part[32];
        (void)std::snprintf(part, sizeof part, "%s%08x:%d", i == 0 ? "" : ",",
                            static_cast<unsigned>(session * 4096 + i + 1), 4);
        text += part;
    }
    return text;
}

server_answer stream(server_request const& request)
{
    std::string const event = "id: 1\ndata: furrow\n\n";
    char size[24];
    (void)std::snprintf(size, sizeof size, "%zx\r\n", event.size());
    server_answer answer;
    answer.raw = "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.id() +
                 "\r\nServer-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Type: text/event-stream\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n" +
                 size + event + "\r\n0\r\n\r\n";
    return answer;
}

[[noreturn]] void run(std::string const& record_file)
{
    int const parts = has_trouble() ? long_parts : usual_parts;
    recorder record(record_file);
    record.write(has_trouble() ? "with trouble" : "without trouble");
    std::string const folder = temporary_folder();
    store platform;
    platform.write("config", "main", small_configuration());
    server const first(platform, "i-llm-1", "llm", {"m0"}, stream);
    server const second(platform, "i-llm-2", "llm", {"m0"}, stream);
    edge process(folder, "edge-1", platform.address());
    if (!process.wait_ready())
    {
        std::puts("not run: siskin-edge is not ready");
        process.kill();
        finish(exit_not_run, folder);
    }
    int denied = 0;
    int served = 0;
    std::size_t most_bytes = 0;
    for (int i = 0; i < sessions; ++i)
    {
        std::string const id = "session-" + std::to_string(i);
        std::string const head =
            "POST /advice/furrow HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: " + id +
            "\r\nDeadline-Ms: 5000\r\nModel: m0\r\nToken-Usage: " + std::to_string(parts * 4) +
            ",80\r\nPrompt-Prefix: " + prefix(i, parts) + "\r\nContent-Length: 2\r\n\r\n";
        most_bytes = std::max(most_bytes, head.size());
        record.write("sent     id=" + id + " head of " + std::to_string(head.size()) + " bytes, " +
                     std::to_string(parts) + " parts");
        int const status = call(process.caller_port(), head + "{}").status;
        record.write("answered id=" + id + " status=" + std::to_string(status));
        denied += status >= 300 && status < 500 && status != 408 && status != 421 && status != 429 ? 1 : 0;
        served += status == 200 ? 1 : 0;
    }
    process.kill();
    std::string const result = "requests " + std::to_string(sessions) + ", longest head " +
                               std::to_string(most_bytes) + " of " + std::to_string(header_limit) +
                               " bytes, served " + std::to_string(served) + ", denied " +
                               std::to_string(denied);
    record.write(result);
    std::puts(result.c_str());
    if (most_bytes > header_limit || served + denied == 0)
    {
        finish(exit_not_run, folder);
    }
    bool const broken = denied > allowed_denials + sessions / requests_of_denial;
    finish(broken ? exit_broken : exit_held, folder);
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
