#pragma once

#include "domain/quota_exchange.hpp"
#include "domain/serving_config.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace boost::asio
{
class io_context;
}

namespace siskinusher
{

class outbound_pool;
struct log_port;
struct metric_port;

/// The lease holder as other instances reach it.
struct quota_holder
{
    std::string address;       ///< Empty when none is known.
    std::string authorization; ///< Value of the header by which peers know each other.
};

/// Connects the quota gate to the lease holder: asks for credit, over the network or at this instance, and
/// tells which requests may go on. The decisions are made by quota_gate.
class quota_keeper
{
public:
    /// Answers a question at this instance; no value when it does not hold the lease.
    using local_holder = std::function<std::optional<quota_reply>(quota_question const&)>;
    using holder_lookup = std::function<quota_holder()>;
    using step_handler = std::function<void(quota_step const&)>;

    /// The loop, the pool, the log and the metrics must outlive the keeper.
    quota_keeper(boost::asio::io_context& loop, outbound_pool& pool, log_port& log, metric_port& metrics,
                 quota_bounds bounds, std::string instance, std::uint64_t start, local_holder local,
                 holder_lookup holder);
    ~quota_keeper();
    quota_keeper(quota_keeper const&) = delete;
    quota_keeper& operator=(quota_keeper const&) = delete;

    void on_config(std::shared_ptr<serving_config const> const& config);
    /// Sets the function that is called for each request that may go on, or is refused. It may be called
    /// within submit().
    void on_step(step_handler handler);
    void submit(quota_request request);
    void withdraw(request_number number);
    void give_back(std::string const& organisation, std::uint64_t cost);

    std::size_t waiting() const;
    /// As quota_gate::fleet_use().
    std::optional<double> fleet_use(std::string const& organisation) const;

private:
    class implementation;
    std::shared_ptr<implementation> impl_;
};

} // namespace siskinusher
