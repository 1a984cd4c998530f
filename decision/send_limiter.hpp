#pragma once

#include "core/random_source.hpp"
#include "core/steady_time.hpp"
#include "domain/server_limit.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace siskinusher
{

/// Tells whether this instance may send a request to a backend server that names a limit for all instances
/// together.
///
/// While the lease holder answers, an instance sends only what the holder has granted. Without a holder it
/// keeps to an even part of the limit, and begins at a random time, so that the instances do not send
/// together.
class send_limiter
{
public:
    explicit send_limiter(std::uint64_t seed);

    /// An answer of the server has arrived; `per_second` is empty when it names no limit. Returns true when
    /// that changes the limit.
    bool on_answer(steady_time now, backend_name const& backend, std::optional<double> per_second);
    /// The server has ended or started again.
    void forget(backend_name const& backend);
    bool may_send(steady_time now, backend_name const& backend) const;
    void on_sent(steady_time now, backend_name const& backend);
    /// A request would have been sent to the server without its limit.
    void on_held_back(backend_name const& backend, request_number request);

    /// What to report to the lease holder. The wants are counted anew after it.
    std::vector<limit_report> take_reports(steady_time now);
    /// `instances` is the number of instances that the holder knows; zero when unknown.
    void on_grants(steady_time now, std::vector<limit_grant> const& grants, unsigned instances);

    /// The server's limit, for the log; empty for none.
    std::optional<double> limit_of(backend_name const& backend) const;

private:
    struct limited_server
    {
        double per_second = -1.0; ///< Negative when the server names no limit any more.
        steady_time named_at = steady_time::min();
        unsigned granted = 0;
        steady_time granted_until;
        steady_time next_own; ///< When a request may be sent without a grant, while no holder answers.
        unsigned sent = 0;    ///< Since the previous report.
        std::set<request_number> held_back;
    };

    bool holder_answers(steady_time now) const;
    duration own_interval(limited_server const& server) const;
    void set_limit(steady_time now, limited_server& server, double per_second, steady_time named_at);

    random_source random_;
    std::map<backend_name, limited_server> servers_;
    std::optional<steady_time> grants_at_;
    unsigned instances_;
};

} // namespace siskinusher
