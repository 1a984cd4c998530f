#pragma once

#include "core/steady_time.hpp"
#include "domain/identifiers.hpp"

#include <deque>
#include <map>
#include <optional>

namespace siskinusher
{

/// Tells whether this instance may send a request to a backend server that falls over when it has to refuse
/// more than a number of requests a second for want of room, those of all instances together.
///
/// Each instance causes at most its even part of the refusals in any second; where that is less than one, it
/// leaves the server alone after a refusal until its part allows the next one. It sends only to places that
/// are free as far as it knows, and has no more requests there than its part of the places, at least one:
/// others may see the same free place. It is designed for bursts that fill all servers of a service at once.
/// It needs no agreement, so that it holds while the lease holder cannot be reached.
class refusal_limiter
{
public:
    /// An answer of the server has arrived; `per_second` is empty when it names no such limit. Returns true
    /// when that changes the limit.
    bool on_answer(backend_name const& backend, std::optional<double> per_second);
    /// The server refused a request for want of room.
    void on_refused(steady_time now, backend_name const& backend);
    /// The server has ended or started again.
    void forget(backend_name const& backend);
    /// The number of instances that the lease holder knows; zero when unknown.
    void on_instances(unsigned instances);

    bool is_limited(backend_name const& backend) const { return servers_.count(backend) > 0; }
    /// `own_requests` are those of this instance at the server, `in_use` those of all instances as far as
    /// known, `places` what it runs at the same time.
    bool may_send(steady_time now, backend_name const& backend, unsigned own_requests, unsigned in_use,
                  unsigned places) const;

private:
    struct limited_server
    {
        double per_second = 0.0;
        steady_time next;                 ///< No request is sent before.
        std::deque<steady_time> refusals; ///< Of the last second.
    };

    std::map<backend_name, limited_server> servers_;
    // Until the lease holder has told a count.
    unsigned instances_ = 64;
};

} // namespace siskinusher
