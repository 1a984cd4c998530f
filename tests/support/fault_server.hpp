#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace siskinusher
{

/// The server's end of one connection, driven by a script.
class fault_connection
{
public:
    explicit fault_connection(int descriptor) : descriptor_(descriptor) {}

    /// Receives one request with its body; false when the client closed first.
    bool receive();
    /// Head and body of the last request.
    std::string const& request() const { return request_; }
    std::string header(std::string const& name) const;

    void send(std::string const& bytes) const;
    /// Sends an answer with the last request's id and the given body.
    void answer(int status, std::string const& body, std::string const& more_headers = {}) const;
    void begin_stream() const;
    void send_chunk(std::string const& data) const;
    void send_token(unsigned index) const;
    void end_stream() const;
    /// Ends the server's bytes in order; the connection stays open for those of the client.
    void end_output() const;
    /// Makes the close at the end of the script reset the connection.
    void reset() const;
    /// Waits until the client closes.
    void wait_for_close() const;

private:
    int descriptor_;
    std::string request_;
    std::string buffer_;
};

/// TCP server on a free port that simulates the faults of real servers: the n-th accepted connection runs the
/// n-th script on its own thread. Further connections are accepted and closed.
class fault_server
{
public:
    using script = std::function<void(fault_connection&)>;

    explicit fault_server(std::vector<script> scripts);
    ~fault_server();

    std::string address() const;
    unsigned accepted() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

/// Address of a port that nothing listens on.
std::string dead_address();

/// Sends bytes to a server and returns all that it sends until it closes the connection or sends nothing for
/// 20 s.
std::string exchange(std::string const& address, std::string const& request);

/// TCP client for raw bytes. Reads until `mark` was received, the server closes, or 20 s pass without data.
class raw_client
{
public:
    explicit raw_client(std::string const& address);
    ~raw_client();
    raw_client(raw_client const&) = delete;
    raw_client& operator=(raw_client const&) = delete;
    void send(std::string const& bytes) const;
    std::string read_until(std::string const& mark) const;
    std::string read_all() const { return read_until({}); }
    void close();

private:
    int descriptor_;
};

} // namespace siskinusher
