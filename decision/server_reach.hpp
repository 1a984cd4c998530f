#pragma once

#include "core/steady_time.hpp"
#include "domain/identifiers.hpp"

#include <cstddef>
#include <map>

namespace siskinusher
{

/// Tells whether this instance reaches the backend servers at all, as opposed to single servers that fail.
///
/// It counts as cut off when several servers were silent and nothing has arrived from any meanwhile. It
/// suspects a cut when new connections to several servers failed in a row and none brought an answer
/// meanwhile; those that are kept may live on in a cut. Since all servers of one service may be gone,
/// connections without a request then look whether servers that have not failed accept: the instance counts
/// as cut off when none does, or when all have failed. Only an answer on a new connection ends the cut. While
/// it lasts, connections without a request look whether servers accept again, and then single requests on
/// trial whether they answer: during a cut connections may be accepted and reset. The loss of all servers
/// looks the same; the other instances can tell it from a cut.
class server_reach
{
public:
    /// A part of an answer has arrived from a server. `fresh` when its connection has carried no other
    /// request.
    void on_answer(steady_time now, bool fresh);
    /// A new connection failed or ended without an answer (`fresh`), or a server was silent. `known_servers`
    /// is the number of servers that could have answered.
    void on_failure(steady_time now, backend_name const& server, bool fresh, std::size_t known_servers);
    /// A connection without a request was accepted, or was not, while a cut was suspected or lasted.
    void on_probe(steady_time now, bool accepted);
    /// A cut is suspected, and no server is known that has not failed.
    void on_all_failed(steady_time now);

    /// True when servers that have not failed are to be probed.
    bool suspects_cut() const { return suspects_cut_; }
    /// True when the server failed of late.
    bool has_failed(backend_name const& server) const;
    bool cut_off() const { return cut_off_; }
    duration cut_off_for(steady_time now) const { return cut_off_ ? now - cut_off_since_ : duration{0}; }
    /// True when the request may go to a server although this instance is cut off. A request that may run
    /// only once is tried only when no other comes for a while, because it cannot go on elsewhere.
    bool begin_trial(steady_time now, bool repeatable);

private:
    using failures = std::map<backend_name, steady_time>;

    failures silent_;       ///< Latest silence by server, since anything arrived from one.
    failures failed_fresh_; ///< The same for new connections, since one of them brought an answer.
    steady_time received_at_;
    steady_time answered_fresh_at_;
    void begin_cut(steady_time now);

    bool suspects_cut_ = false;
    unsigned failed_probes_ = 0; ///< In a row, since the suspicion.
    bool cut_off_ = false;
    steady_time cut_off_since_;
    bool accepted_ = false;
    steady_time accepted_at_;
    steady_time trial_at_; ///< Begin of the latest trial.
};

} // namespace siskinusher
