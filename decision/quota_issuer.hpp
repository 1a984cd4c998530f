#pragma once

#include "core/steady_time.hpp"
#include "domain/quota_exchange.hpp"
#include "domain/serving_config.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace siskinusher
{

/// Issues, on the lease holder, the credit that instances need before they run requests of organisations with
/// limits.
///
/// It is designed for organisations whose limit is less than one request a second for each instance, so that
/// fixed shares would refuse what is allowed, and for callers that spread over all instances at once, which
/// local counters would let through. Credit that was issued and may still be spent counts against the limit,
/// so that the bound on each window holds whatever the instances do. See docs/design/organisations.md.
class quota_issuer
{
public:
    explicit quota_issuer(quota_bounds bounds);
    ~quota_issuer();
    quota_issuer(quota_issuer const&) = delete;
    quota_issuer& operator=(quota_issuer const&) = delete;

    void on_config(steady_time now, std::shared_ptr<serving_config const> const& config);
    /// This instance has gained the lease; credit of the holder before may be in use for some seconds.
    void begin_lease(steady_time now);
    /// The lease had lapsed and has come back without another holder in between: instances may have used
    /// their shares meanwhile.
    void resume_lease(steady_time now);
    /// `instances` is the number of instances that the holder knows, itself included.
    quota_reply answer(steady_time now, unsigned instances, quota_question const& question);

    /// State of one organisation, for logs and the metrics.
    struct standing
    {
        std::string organisation;
        double per_second = 0.0;  ///< Its limit.
        double level = 0.0;       ///< Credit that can be issued now.
        double outstanding = 0.0; ///< Issued, and neither spent, returned nor expired.
        double capacity = 0.0;
        double spent_per_s = 0.0;
        bool over_limit = false; ///< Some of what waited was not granted within the last second.
    };
    /// Organisations whose over_limit has changed since the last call.
    std::vector<standing> take_changes(steady_time now);

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace siskinusher
