#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace siskinusher::review
{

/// A TCP connection that reads HTTP/1.1 messages byte by byte as they were sent: values of headers are not
/// decoded, and nothing is added.
class connection
{
public:
    explicit connection(int descriptor) : descriptor_(descriptor) {}
    ~connection();
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    /// Connects to 127.0.0.1. Null when nothing listens.
    static std::unique_ptr<connection> open(std::uint16_t port);

    bool send(std::string const& bytes);
    /// Reads up to and including the empty line after a head. Empty at the end of the connection.
    std::string read_head();
    /// Reads the body that the head announces by a length or as chunks. No value when the connection ends in
    /// it.
    std::optional<std::string> read_body(std::string const& head, bool is_answer);
    /// Reads one line without its end, or nothing at the end of the connection.
    std::optional<std::string> read_line();
    /// Calls that read fail after this time without a byte.
    void set_read_limit(int milliseconds);
    /// Ends waiting reads of other threads.
    void shut_down();

private:
    bool fill();

    int const descriptor_;
    std::string buffer_;
};

/// Value of a header in a head, empty without one. Names are compared without case.
std::string header_of(std::string const& head, std::string const& name);
/// True when a line of the head has this name.
bool has_header(std::string const& head, std::string const& name);
/// First line of a head.
std::string first_line(std::string const& head);
/// Second word of the first line.
std::string target_of(std::string const& head);
int status_of(std::string const& head);

/// Listens on a free port of 127.0.0.1 and serves each connection on a thread of its own.
class listener
{
public:
    using handler = std::function<void(connection&)>;

    explicit listener(handler handle);
    ~listener();
    listener(listener const&) = delete;
    listener& operator=(listener const&) = delete;

    std::uint16_t port() const;
    std::string address() const { return "127.0.0.1:" + std::to_string(port()); }

private:
    class implementation;
    std::shared_ptr<implementation> impl_;
};

/// A free port of 127.0.0.1.
std::uint16_t free_port();

} // namespace siskinusher::review
