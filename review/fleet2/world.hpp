#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

// Stand-ins for the scripts of the second review: the platform's store, servers and clients on loopback
// addresses, and the project's program as a separate process.
namespace review
{

using nlohmann::json;
using std::chrono::milliseconds;
using timer = std::chrono::steady_clock;

/// A request or an answer. Names of headers are in lower case.
struct message
{
    std::string method;
    std::string target;
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(std::string const& name) const;
    std::string query(std::string const& name) const;
    std::string path() const { return target.substr(0, target.find('?')); }
};

/// One TCP connection.
class connection
{
public:
    explicit connection(int descriptor) : descriptor_(descriptor) {}
    ~connection();
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    /// Reads one request, or one answer; nothing when the connection ends before it is complete.
    std::optional<message> read(bool is_answer);
    bool write(std::string const& bytes) const;
    bool answer(int status, std::string const& body, std::map<std::string, std::string> const& headers = {});
    /// True when the other end has closed, or this one by shut().
    bool closed() const;
    /// Ends the connection; a thread that reads from it goes on.
    void shut() const;

private:
    bool receive();

    int const descriptor_;
    std::string input_;
};

/// Serves each connection on a thread of its own.
class http_server
{
public:
    using handler = std::function<void(connection&, message const&)>;

    explicit http_server(handler handle);
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    /// Stops listening and ends all connections, as a process that exits.
    void stop();

private:
    void accept_connections();

    handler const handle_;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::set<connection*> open_;
    std::vector<std::thread> workers_;
    std::thread acceptor_;
};

/// The platform's metadata store.
class object_store
{
public:
    object_store();
    ~object_store();
    object_store(object_store const&) = delete;
    object_store& operator=(object_store const&) = delete;

    std::string address() const { return server_.address(); }
    void write(std::string const& kind, std::string const& name, json const& spec);
    void remove(std::string const& kind, std::string const& name);
    json spec_of(std::string const& kind, std::string const& name);
    /// Closes the connections of the watches that wait now, without an answer.
    void cut_waiting_watches();

private:
    struct object
    {
        std::uint64_t revision = 0;
        json spec;
    };
    struct change
    {
        std::uint64_t revision = 0;
        std::string kind;
        json event;
    };

    static json encode(std::string const& name, object const& value);
    void put_locked(std::string const& kind, std::string const& name, json const& spec);
    void serve(connection& caller, message const& request);
    void watch(connection& caller, message const& request, std::string const& kind);
    void replace(connection& caller, message const& request, std::string const& kind,
                 std::string const& name);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, object>> kinds_;
    std::deque<change> history_;
    std::uint64_t revision_ = 1;
    unsigned cuts_ = 0;
    bool stopping_ = false;
    http_server server_;
};

/// A request that reached a server.
struct arrival
{
    timer::time_point at;
    std::string id;
    std::string tenant;
    bool ran = false;
    bool whole = false; ///< Its answer was sent to its end.
};

/// A server of a service without models. It registers in the store and writes there every 1.2 s.
class plain_server
{
public:
    plain_server(object_store& store, std::string name, std::string service, milliseconds work);
    ~plain_server();
    plain_server(plain_server const&) = delete;
    plain_server& operator=(plain_server const&) = delete;

    std::string const& name() const { return name_; }
    /// Removes the entry, and serves on.
    void leave();
    /// Ends the process: connections close, whatever is running.
    void exit();
    std::vector<arrival> arrivals();

private:
    void write_entry();
    void serve(connection& caller, message const& request);

    object_store& store_;
    std::string const name_;
    std::string const service_;
    milliseconds const work_;
    std::int64_t const born_;
    std::mutex mutex_;
    std::condition_variable ended_;
    std::vector<arrival> arrivals_;
    unsigned running_ = 0;
    unsigned beats_ = 0;
    bool leaving_ = false;
    bool exited_ = false;
    http_server server_;
    std::thread heart_;
};

/// A siskin-edge process, started with the command of the deploy file in the repository's root folder.
class edge_process
{
public:
    /// `organisations` is the line of that section in the settings; empty for none.
    edge_process(std::string name, std::string const& zone, std::string const& store_address,
                 std::string const& folder, std::string const& organisations = {});
    ~edge_process();
    edge_process(edge_process const&) = delete;
    edge_process& operator=(edge_process const&) = delete;

    std::string const& name() const { return name_; }
    std::string const& front() const { return front_; }
    /// The name under which it holds the lease.
    std::string holder_name() const { return name_ + "@" + peers_; }
    void start();
    void send(int signal) const;
    bool running();
    bool wait_ready(milliseconds limit);

private:
    std::string const name_;
    std::string const settings_;
    std::string const log_;
    std::string front_;
    std::string ready_;
    std::string peers_;
    pid_t process_ = -1;
};

/// What a client saw of one request.
struct client_answer
{
    int status = 0;     ///< 0 when the connection ended before an answer was complete.
    std::string server; ///< Server-Stamp of the answer.
    std::string body;
};

/// Sends one request on a new connection.
client_answer call(std::string const& address, std::string const& method, std::string const& path,
                   std::map<std::string, std::string> const& headers, std::string const& body,
                   milliseconds limit);

/// A file that says what was sent, answered and run.
class record_file
{
public:
    explicit record_file(std::string const& path);
    ~record_file();
    record_file(record_file const&) = delete;
    record_file& operator=(record_file const&) = delete;

    void line(std::string const& text);
    /// Milliseconds since the record was begun.
    long long since(timer::time_point when) const;

private:
    timer::time_point const begun_ = timer::now();
    std::mutex mutex_;
    std::FILE* file_ = nullptr;
};

/// True unless the environment has TROUBLE=0.
bool wants_trouble();

/// A new temporary folder; the destructor removes it with the files in it.
class temporary_folder
{
public:
    temporary_folder();
    ~temporary_folder();
    temporary_folder(temporary_folder const&) = delete;
    temporary_folder& operator=(temporary_folder const&) = delete;

    std::string const& path() const { return path_; }

private:
    std::string path_;
};

} // namespace review
