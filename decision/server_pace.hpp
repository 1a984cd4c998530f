#pragma once

#include "core/random_source.hpp"
#include "core/steady_time.hpp"
#include "domain/identifiers.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace siskinusher
{

/// What a server is like that may be on trial.
struct paced_server
{
    unsigned places = 1;
    bool is_engine = false;
};

/// Requests whose answers take a similar time: a service, and a model or nothing.
using answer_kind = std::pair<std::string, std::string>;

/// Tells whether this instance should send a request to a server that has just started or failed, and so is
/// on trial.
///
/// It is designed for a server that all instances see as idle at the same moment. All instances together
/// begin with a small window of requests at the server, which doubles with answers that come in time and
/// halves with slow ones and refusals. An instance without such an answer sends at most its even part of the
/// window. One that has had one uses what the observed load leaves of the window, up to half of it. An
/// instance that sends too rarely to judge by its own answers follows the observed load: others have found
/// that the server bears it. No messages are needed.
///
/// The result is a preference: the caller uses a server on trial as any other when no other server can take
/// the request.
class server_pace
{
public:
    explicit server_pace(std::uint64_t seed);

    /// A run of a server that was known when this instance started. It is not on trial.
    void on_known(backend_name const& backend, std::int64_t started_at);
    /// A server has appeared or started again; `started_at` identifies the run. Nothing changes when this run
    /// is known already.
    void on_started(steady_time now, backend_name const& backend, std::int64_t started_at,
                    paced_server const& server);
    /// A connection was lost or could not be opened, or the server was silent.
    void on_failed(steady_time now, backend_name const& backend, paced_server const& server);
    /// The server refused a request for lack of capacity after `took`.
    void on_refused(steady_time now, backend_name const& backend, duration took);
    /// The first event or the whole answer came after `took`; `in_use` counts the requests of all instances
    /// at the server as far as known. Must be called for all servers, because those that are not on trial
    /// show which time is usual.
    void on_answer(steady_time now, backend_name const& backend, answer_kind const& kind, duration took,
                   duration objective, unsigned in_use);
    /// The server answered with an error after `took`.
    void on_error(steady_time now, backend_name const& backend, duration took);
    /// A new report of the load; `in_use` counts the requests of all instances at the server.
    void on_load(steady_time now, backend_name const& backend, unsigned in_use);
    /// A request was sent, whatever may_send() returned.
    void on_sent(steady_time now, backend_name const& backend);
    /// The number of instances that the lease holder knows; zero when unknown.
    void on_instances(unsigned instances);
    /// The server's entry has gone. Its run stays known, since the entry may come back.
    void forget(backend_name const& backend);
    /// The failures of late were those of this instance's own link.
    void forget_failures();

    /// `own_requests` are those of this instance at the server, `in_use` those of all instances as far as
    /// known.
    bool may_send(steady_time now, backend_name const& backend, unsigned own_requests, unsigned in_use);
    bool on_trial(steady_time now, backend_name const& backend) const;
    std::vector<backend_name> servers_on_trial(steady_time now) const;
    /// Requests of all instances that the server is to get at the same time; zero when it is not on trial.
    double window(steady_time now, backend_name const& backend) const;

private:
    struct trial
    {
        paced_server server;
        bool active = true;
        bool after_start = false; ///< Began with a start of the server, not with a failure.
        steady_time started_at = steady_time::min(); ///< Of the server, as seen by this instance.
        steady_time began_at;                        ///< Of the trial, or the latest refusal in it.
        double window = 0.0;
        steady_time window_set_at; ///< Answers to requests that were sent earlier say nothing of this window.
        bool answered_in_time = false; ///< This instance has had such an answer since the latest bad sign.
        steady_time drawn_at;          ///< Of the latest draw.
        bool drawn = false;            ///< The latest draw allowed a request, and none was sent since.
    };
    struct known_run
    {
        std::int64_t started_at = 0;
        bool gone = false; ///< The server's entry has gone.
    };
    struct timed_answer
    {
        backend_name backend;
        duration took{0};
    };

    trial* find_active(steady_time now, backend_name const& backend);
    trial const* find_active(steady_time now, backend_name const& backend) const;
    void begin(steady_time now, trial& each, paced_server const& server);
    static void grow(steady_time now, trial& each, double window);
    static void shrink(steady_time now, trial& each, duration took);
    bool in_time(steady_time now, backend_name const& backend, answer_kind const& kind, duration took,
                 duration objective) const;

    random_source random_;
    // Until the lease holder has told a count.
    unsigned instances_ = 64;
    std::map<backend_name, trial> trials_;
    std::map<backend_name, known_run> runs_;
    std::deque<backend_name> gone_; ///< Servers in the order in which their entries went; some are back.
    std::map<answer_kind, std::deque<timed_answer>> answers_;
};

} // namespace siskinusher
