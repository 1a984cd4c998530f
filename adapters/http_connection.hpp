#pragma once

#include "adapters/wire_connection.hpp"
#include "core/steady_time.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace siskinusher
{

struct http_call
{
    std::string method = "GET";
    std::string path; ///< Escaped, with the query.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// Only outbound_pool heeds it: the call uses no connection that has carried another one, on which a late
    /// second copy of an earlier answer could be taken for the answer to this call.
    bool fresh_connection = false;
};

/// Result of a call. Without a complete answer the status is zero.
struct http_outcome
{
    int status = 0;
    std::string etag;
    /// All headers of the answer, in their order; only outbound_pool fills them in.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool refused = false;        ///< Nothing listens at the address.
    bool sent = false;           ///< At least one byte of the call was written.
    bool lost = false;           ///< The connection ended after that; only outbound_pool tells.
    bool reused = false;         ///< The connection had carried an earlier call.
    std::string why;             ///< Cause when there is no answer, for the log.
    bool invalid_status = false; ///< There was one, but its status is not valid or allows no body.
};

/// The bytes of a call, head and body.
std::string encode_call(http_call const& call, std::string const& address);

/// One HTTP/1.1 connection to a fixed address. The deadline of a call is absolute, and its answer is limited
/// in every part. A call is never repeated unless the caller makes it again, and its outcome tells whether a
/// byte was written. Used by one thread at a time.
class http_connection
{
public:
    /// Calls end within 100 ms, without an answer, after `stopping` becomes true; it must outlive the
    /// connection.
    http_connection(std::string address, std::atomic<bool> const& stopping);
    ~http_connection();
    http_connection(http_connection&&) noexcept;
    http_connection& operator=(http_connection&&) = delete;

    /// Makes one call, on the open connection if there is one. Never throws. `may_write` is asked immediately
    /// before the first byte is written; when it returns false, nothing is written.
    http_outcome exchange(http_call const& call, steady_time deadline,
                          std::function<bool()> const& may_write = {});

    /// Closes the connection; the next call opens a new one.
    void close();

private:
    // These return why there is no answer; empty when there is one.
    std::string transfer(http_call const& call, steady_time deadline, std::function<bool()> const& may_write,
                         http_outcome& outcome);
    std::string receive(http_call const& call, steady_time deadline, http_outcome& outcome);
    template <typename Step, typename Status>
    Status wait_through(Step const& step, Status waiting, steady_time deadline) const;

    std::string const address_;
    std::atomic<bool> const& stopping_;
    std::unique_ptr<wire_connection> connection_;
};

} // namespace siskinusher
