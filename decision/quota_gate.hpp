#pragma once

#include "core/steady_time.hpp"
#include "domain/quota_exchange.hpp"
#include "domain/serving_config.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace siskinusher
{

/// Lets requests of organisations with limits through, on each instance, as far as the lease holder has
/// issued credit for them. Requests of an organisation are admitted in the order of their arrival.
///
/// It is designed for an organisation that sends many times its limit (its requests are refused at once while
/// the time that the holder named has not come), for a holder that does not answer (requests wait, then they
/// are refused as unchecked), and for instances that are cut off (they live on a small share that the limit
/// tolerates). See docs/design/organisations.md.
class quota_gate
{
public:
    /// `instance` and `start` name this process in its questions.
    quota_gate(quota_bounds bounds, std::string instance, std::uint64_t start);
    ~quota_gate();
    quota_gate(quota_gate const&) = delete;
    quota_gate& operator=(quota_gate const&) = delete;

    void on_config(std::shared_ptr<serving_config const> const& config);
    /// A request of any organisation; one without a limit is admitted by the next step().
    void submit(steady_time now, quota_request request);
    /// Removes a request that waits. Does nothing when it does not wait.
    void withdraw(request_number number);
    /// A request that was admitted ends without having run.
    void give_back(steady_time now, std::string const& organisation, std::uint64_t cost);
    /// Returns the decisions that are due, in the order in which they are to be carried out.
    std::vector<quota_step> step(steady_time now);
    /// When step() or next_question() is to be called again if no event comes before; empty when there is
    /// nothing to do.
    std::optional<steady_time> next_due(steady_time now) const;
    /// The question that is to be sent to the holder now; none while one is open, or when nothing is needed.
    std::optional<quota_question> next_question(steady_time now);
    /// The holder's answer to the open question; one with another sequence number is ignored.
    void on_reply(steady_time now, quota_reply const& reply);
    /// The open question got no answer. `nobody_issues` tells that the instance that was taken for the holder
    /// answered that it is none: the shares for a time without a holder are used at once.
    void on_no_reply(steady_time now, bool nobody_issues = false);

    std::size_t waiting() const;
    /// Use of an organisation by all instances, in units of its limit a second, as the holder last told; none
    /// when it has not told. Decays while the holder tells nothing new.
    std::optional<double> fleet_use(steady_time now, std::string const& organisation) const;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace siskinusher
