#pragma once

#include <cstdint>
#include <ostream>
#include <string>

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

namespace siskinusher::standins
{

class fault_switches;

/// One request to a stand-in and its answer. The faults of fault_switches apply to every answer.
class http_exchange
{
public:
    http_exchange(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response,
                  fault_switches& faults, std::uint64_t connection);

    std::string const& method() const { return request_.getMethod(); }
    std::string const& path() const { return path_; }
    std::string const& body() const { return body_; }

    /// The value of a request header or query parameter; empty when absent.
    std::string header(std::string const& name) const { return request_.get(name, ""); }
    std::string query(std::string const& name) const;

    void set_header(std::string const& name, std::string const& value) { response_.set(name, value); }

    /// Sends a complete answer.
    void reply(int status, std::string const& body, std::string const& type = "application/json");

    /// Starts a streamed answer of server-sent events, in chunks or with the connection's end as its end.
    void begin_stream(bool chunked = true);

    /// Sends one piece of a stream. Returns false when the caller has closed its connection.
    bool send_piece(std::string const& piece);

    /// Applies the delay and freeze faults again; called between the parts of a long answer.
    void pause() const;

    /// Closes the connection, so that an answer or a stream stays incomplete.
    void abort();

    /// True when the caller has closed its connection.
    bool peer_closed() const;

private:
    /// Waits until the caller closes when this connection was silenced; true when it was.
    bool hang_if_silenced();

    Poco::Net::HTTPServerRequest& request_;
    Poco::Net::HTTPServerResponse& response_;
    fault_switches& faults_;
    std::uint64_t const connection_;
    std::string path_;
    std::string body_;
    std::ostream* stream_ = nullptr;
};

} // namespace siskinusher::standins
