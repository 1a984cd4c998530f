#pragma once

#include "decision/stream_register.hpp"
#include "platform/metadata_store.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace boost::asio
{
class io_context;
}

namespace siskinusher
{

class outbound_pool;
struct log_port;
struct metric_port;

/// What the stream keeper needs to know of the order lease.
struct stream_keeper_peers
{
    std::function<bool()> holds_lease;
    /// The lease holder; empty when this instance holds the lease or knows none.
    std::function<std::optional<platform::store_relay>()> holder;
    std::function<bool()> holder_answers; ///< True when it answered the latest report.
};

/// Keeps the stream register's content in the store: reads it at the start, and writes it while this instance
/// holds the order lease. While the holder does not answer, it writes the streams that begin here, which
/// would be lost with this instance. Asks the lease holder for streams that this instance does not know.
class stream_keeper
{
public:
    /// All references must outlive the keeper. `name` is unique for each process; it names objects.
    stream_keeper(boost::asio::io_context& loop, outbound_pool& pool, platform::metadata_store& store,
                  stream_register& streams, log_port& log, metric_port& metrics, std::string name,
                  stream_keeper_peers peers);
    ~stream_keeper();
    stream_keeper(stream_keeper const&) = delete;
    stream_keeper& operator=(stream_keeper const&) = delete;

    void start();
    /// On the lease holder: takes over the streams that an instance reports, and writes them to the store.
    void on_reported(std::vector<begun_stream> const& streams);
    /// Asks the lease holder, or else the store, how a stream may go on that this instance does not know.
    void ask(std::string const& service, std::string const& request_id,
             std::function<void(take_up_choice)> done);

private:
    class implementation;
    std::shared_ptr<implementation> impl_;
};

} // namespace siskinusher
