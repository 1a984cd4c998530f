#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace review
{

/// A request as a stand-in reads it. Names of headers are in lower case.
struct http_request
{
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(std::string const& name) const;
};

/// The connection on which a request arrived.
class http_channel
{
public:
    explicit http_channel(int descriptor) : descriptor_(descriptor) {}

    /// Writes bytes as they are. Returns false when the connection has ended.
    bool write(std::string const& bytes);
    /// Writes a whole answer with a length.
    bool answer(int status, std::string const& header_lines, std::string const& body);
    /// True when the other side has closed the connection.
    bool is_closed() const;
    /// The connection is closed after the handler, without a further byte.
    void drop() { dropped_ = true; }
    /// Resets the connection at once.
    void reset();
    /// Ends the sending side, and discards what the other side still sends, until it closes.
    void finish();
    bool dropped() const { return dropped_; }

private:
    int const descriptor_;
    bool dropped_ = false;
};

/// Listens on a loopback address, with one thread for each connection.
class http_server
{
public:
    using handler = std::function<void(http_request const&, http_channel&)>;

    /// Called with the head of a request before its body is read; true when it has answered. The connection
    /// is closed then.
    using early_handler = std::function<bool(http_request const&, http_channel&)>;

    explicit http_server(handler handle, early_handler answer_early = {});
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    std::string address() const;
    /// Resets all connections, and refuses new ones, as the end of a process does.
    void go_down();
    /// Listens again at the same address.
    void come_back();

private:
    struct state;
    static void accept_all(std::shared_ptr<state> const& shared, int listener);
    static void serve(std::shared_ptr<state> const& shared, int descriptor);

    std::shared_ptr<state> const state_;
};

/// Opens a connection to an address such as 127.0.0.1:80. Returns a negative number when it is refused.
int connect_to(std::string const& address);

} // namespace review
