#pragma once

#include "review/standins/net.hpp"

#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace siskinusher::review
{

using std::chrono::milliseconds;

/// The record of a case: what was sent, answered and run, with the time since the start in milliseconds.
class recorder
{
public:
    explicit recorder(std::string const& file);
    void write(std::string const& line);

private:
    std::mutex mutex_;
    std::ofstream out_;
    std::chrono::steady_clock::time_point const begun_;
};

/// Stand-in for the platform's metadata store: lists, waiting watches and conditional writes.
class store
{
public:
    store();
    std::string address() const { return listener_.address(); }
    /// Writes and removes objects as the operator and the servers do.
    void write(std::string const& kind, std::string const& name, nlohmann::json const& spec);
    void remove(std::string const& kind, std::string const& name);

private:
    struct object
    {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        nlohmann::json spec;
    };
    struct change
    {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json event;
    };

    void serve(connection& peer);
    std::pair<int, std::string> answer(std::string const& method, std::string const& target,
                                       std::string const& body);
    std::pair<int, std::string> watch(std::string const& kind, std::uint64_t since, milliseconds wait);
    std::pair<int, std::string> put(std::string const& kind, std::string const& name, bool create,
                                    nlohmann::json const& body);
    void record(std::string const& kind, std::string const& name, object const& value, bool deleted);
    static nlohmann::json encode(std::string const& name, object const& value);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, object>> kinds_;
    std::deque<change> history_;
    std::uint64_t revision_ = 1;
    listener listener_;
};

/// A request as it arrived at a server.
struct server_request
{
    std::string head;
    std::string body;
    std::string id() const { return header_of(head, "Attempt-Id"); }
};

/// What a server answers.
struct server_answer
{
    int status = 200;
    std::string header_lines; ///< Beside Attempt-Id and Server-Stamp.
    std::string body;
    bool not_run = false;
    bool signed_by_server = true;
    std::string raw; ///< Sent as it is instead of an answer, if not empty.
    bool close = false;
};

/// Stand-in for a backend server. It writes its entry to the store and serves one request at a time on each
/// connection. The handler gets each request that the server runs.
class server
{
public:
    using handler = std::function<server_answer(server_request const&)>;

    server(store& platform, std::string name, std::string service, std::vector<std::string> models,
           handler handle);
    void write_entry(std::string const& state = "ready");
    /// Writes another software version into the entry; the first one is "v1".
    void set_version(std::string version);
    std::string const& name() const { return name_; }

private:
    void serve(connection& peer);
    std::string report_body() const;

    store& store_;
    std::string const name_;
    std::string const service_;
    std::vector<std::string> const models_;
    handler const handle_;
    std::int64_t const born_;
    std::string version_{"v1"};
    listener listener_;
};

/// One siskin-edge process, started with the command of the deploy file.
class edge
{
public:
    edge(std::string const& folder, std::string const& name, std::string const& store_address);
    ~edge();
    edge(edge const&) = delete;
    edge& operator=(edge const&) = delete;

    void start();
    void send(int signal) const;
    void kill();
    bool running();
    bool wait_ready(milliseconds limit = milliseconds{20000}) const;
    std::uint16_t caller_port() const { return caller_port_; }
    pid_t process_id() const { return pid_; }

private:
    std::string const folder_;
    std::string const name_;
    std::uint16_t const caller_port_;
    std::uint16_t const readiness_port_;
    std::uint16_t const peer_port_;
    pid_t pid_ = -1;
};

/// A machine of the platform with one siskin-edge process. It ends the process when that takes more memory
/// than the machine has, and starts it again after each end.
class machine
{
public:
    machine(std::string const& folder, std::string name, std::string const& store_address, long memory_kb,
            recorder& record);
    ~machine();
    machine(machine const&) = delete;
    machine& operator=(machine const&) = delete;

    edge const& process() const { return process_; }
    std::string const& name() const { return name_; }
    int ends() const { return ends_; } ///< How often the process has ended by itself, also for its memory.
    long most_memory_kb() const { return most_memory_kb_; }
    /// Ends the process for good.
    void stop();

private:
    void watch();

    std::string const name_;
    long const memory_kb_;
    recorder& record_;
    edge process_;
    std::atomic<long> most_memory_kb_{0};
    std::atomic<int> ends_{0};
    std::atomic<bool> stopping_{false};
    std::thread watcher_;
};

/// Whether the disruption is wanted: the variable TROUBLE is not 0.
bool has_trouble();
/// Removes the folder and ends this program, whose threads of stand-ins are left as they are.
[[noreturn]] void finish(int code, std::string const& folder);
/// A folder for settings and logs, below /tmp.
std::string temporary_folder();

/// A configuration like that of a small deployment: the routes /debit/ (non_idempotent) and /stock/
/// (idempotent) of the service "app", and /advice/ (streaming, resumable) of the engines "llm".
nlohmann::json small_configuration();

/// One attempt of a client on a connection of its own.
struct client_answer
{
    int status = 0; ///< 0 without a complete answer.
    std::string head;
    std::string body;
};
client_answer call(std::uint16_t port, std::string const& bytes, int limit_ms = 10000);

} // namespace siskinusher::review
