#pragma once

#include "decision/crash_ledger.hpp"
#include "domain/backend_entry.hpp"
#include "domain/dispatch_request.hpp"

#include <functional>
#include <memory>
#include <optional>
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

namespace platform
{
class metadata_store;
}

/// Tells the crash ledger, and through the store all instances, which requests and prompt parts ran on a
/// server when it crashed, and which were answered.
///
/// A lost connection alone proves no crash: the server counts as crashed when its address then refuses a
/// connection.
class crash_reporter
{
public:
    /// All references must outlive the reporter. While `holds_lease` returns true, this instance removes
    /// marks that are too old from the store.
    crash_reporter(boost::asio::io_context& loop, outbound_pool& pool, platform::metadata_store& store,
                   crash_ledger& ledger, log_port& log, metric_port& metrics,
                   std::function<bool()> holds_lease);
    ~crash_reporter();
    crash_reporter(crash_reporter const&) = delete;
    crash_reporter& operator=(crash_reporter const&) = delete;

    void start();
    /// Sets the handler that is called when a request or part has become blocked.
    void on_blocked(std::function<void()> handler);
    /// The connection to a server ended that had just begun to answer, or had not begun.
    void on_lost(backend_entry const& server, suspect_names const& names);
    /// A server answered a request completely, or has been answering it for some time.
    void on_answered(suspect_names const& names);
    /// The block that applies to a request; none when it may be sent.
    std::optional<crash_block> find_block(suspect_names const& names) const;
    /// As crash_ledger::begin_trial; false on all instances but the lease holder.
    bool begin_trial(suspect_names const& names);
    void end_trial(suspect_names const& names, bool lost);

private:
    class implementation;
    std::shared_ptr<implementation> impl_;
};

} // namespace siskinusher
