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

/// Tells the crash ledger, and through the store all instances, which prompt parts ran on an engine when it
/// crashed, and which were answered.
///
/// A lost connection alone proves no crash: the engine counts as crashed when its address then refuses a
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
    /// The connection to an engine ended that had just begun to answer, or had not begun.
    void on_lost(backend_entry const& engine, std::vector<prompt_part> const& prompt);
    /// An engine answered a request completely, or has been answering it for some time.
    void on_answered(std::vector<prompt_part> const& prompt);
    /// The block that applies to a request; none when it may be sent.
    std::optional<crash_block> find_block(std::vector<prompt_part> const& prompt) const;

private:
    class implementation;
    std::shared_ptr<implementation> impl_;
};

} // namespace siskinusher
