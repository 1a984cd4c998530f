// One of three servers fails part of its requests after it has run them. Its answer does not say that the
// request did not run. A request that may run once must not be answered as not run then.

#include "review/standins/fleet.hpp"

#include <cstdio>
#include <set>

namespace
{

using namespace siskinusher::review;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;
constexpr int clients = 12;
constexpr int debits_of_client = 10;
constexpr milliseconds work_time{60};
constexpr unsigned failed_of_ten = 4; ///< srv_grey fails 0.4 of the requests of one server.

std::string request(std::string const& id, std::string const& body)
{
    return "POST /debit/parts HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: " + id +
           "\r\nDeadline-Ms: 2000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A status that promises that the request has not run and never will.
bool is_promise(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

[[noreturn]] void run(std::string const& record_file)
{
    bool const trouble = has_trouble();
    recorder record(record_file);
    record.write(trouble ? "with trouble" : "without trouble");
    std::string const folder = temporary_folder();
    store platform;
    platform.write("config", "main", small_configuration());
    std::mutex mutex;
    std::set<std::string> ran;
    std::map<std::string, unsigned> booked; // How often each pick set was debited.
    unsigned arrivals_at_grey = 0;
    auto const handle = [&](std::string const& name, bool grey, server_request const& call)
    {
        std::this_thread::sleep_for(work_time);
        std::lock_guard<std::mutex> const lock(mutex);
        ran.insert(call.id());
        ++booked[call.body];
        server_answer answer;
        answer.body = "debited";
        if (grey && arrivals_at_grey++ % 10 < failed_of_ten)
        {
            answer.status = 503;
            answer.body = "stores ledger unavailable";
        }
        record.write("run      id=" + call.id() + " at " + name + " " + call.body +
                     " answered status=" + std::to_string(answer.status) + " without Not-Executed");
        return answer;
    };
    auto const served_by = [&handle](std::string const& name, bool grey)
    { return [&handle, name, grey](server_request const& call) { return handle(name, grey, call); }; };
    server const first(platform, "i-app-1", "app", {}, served_by("i-app-1", trouble));
    server const second(platform, "i-app-2", "app", {}, served_by("i-app-2", false));
    server const third(platform, "i-app-3", "app", {}, served_by("i-app-3", false));
    edge process(folder, "edge-1", platform.address());
    if (!process.wait_ready())
    {
        std::puts("not run: siskin-edge is not ready");
        process.kill();
        finish(exit_not_run, folder);
    }
    int false_promises = 0;
    // A client sends a request that may run once again after a promise only, and once.
    auto const debit = [&](std::string const& number)
    {
        for (int attempt = 0; attempt < 2; ++attempt)
        {
            std::string const id = "debit-" + number + "-" + std::to_string(attempt);
            std::string const body = "pick set " + number;
            record.write("sent     id=" + id);
            client_answer const answer = call(process.caller_port(), request(id, body));
            std::lock_guard<std::mutex> const lock(mutex);
            bool const is_false = is_promise(answer.status) && ran.count(id) > 0;
            false_promises += is_false ? 1 : 0;
            record.write("answered id=" + id + " status=" + std::to_string(answer.status) +
                         (is_false ? " although it has run" : ""));
            if (!is_promise(answer.status))
            {
                return;
            }
        }
    };
    std::vector<std::thread> callers;
    callers.reserve(clients);
    for (int client = 0; client < clients; ++client)
    {
        callers.emplace_back(
            [&debit, client]
            {
                for (int i = 0; i < debits_of_client; ++i)
                {
                    debit(std::to_string(client) + "-" + std::to_string(i));
                }
            });
    }
    for (std::thread& each : callers)
    {
        each.join();
    }
    process.kill();
    std::lock_guard<std::mutex> const lock(mutex);
    int twice = 0;
    for (auto const& [body, times] : booked)
    {
        twice += times > 1 ? 1 : 0;
    }
    std::string const result = "debits " + std::to_string(clients * debits_of_client) +
                               ", answered as not run but run " + std::to_string(false_promises) +
                               ", pick sets debited twice " + std::to_string(twice);
    record.write(result);
    std::puts(result.c_str());
    finish(ran.empty() ? exit_not_run : false_promises > 0 ? exit_broken : exit_held, folder);
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
