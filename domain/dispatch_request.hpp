#pragma once

#include "core/steady_time.hpp"
#include "domain/identifiers.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace siskinusher
{

/// A part of a prompt that several requests may share.
struct prompt_part
{
    std::string id;
    unsigned tokens = 0;
};

/// The properties of a request that the choice of a backend server depends on.
struct dispatch_request
{
    request_number number = 0;
    std::string service;
    std::string model;        ///< Empty for plain services.
    std::string adapter;      ///< Empty when none is asked for.
    std::string organisation; ///< Of the caller; empty when callers are not told apart.
    std::uint64_t cost = 0;   ///< What the request counts in the division of scarce room among organisations.
    unsigned priority = 0;
    steady_time arrived;
    steady_time deadline;
    duration max_wait{0}; ///< How long it may wait for a backend server before it is refused.
    /// Target time until the answer or its first event; zero when there is none.
    duration latency_objective{0};
    std::vector<prompt_part> prompt;
    /// Servers that failed this request: chosen only if there is no other.
    std::vector<backend_name> failed_servers;
    /// Server that works on the request meanwhile and is never chosen; empty for none.
    backend_name running_at;
    /// Software versions whose servers may run it; empty for all.
    std::set<std::string> versions;
    /// False once a part of an answer was passed on or a server works on the request: a stop of the instance
    /// does not shorten its wait.
    bool may_be_refused = true;
};

/// Where a request is sent.
struct dispatch_target
{
    backend_name backend;
    std::string address;
};

/// The facts on which the choice of a backend server was based, for the log.
struct dispatch_basis
{
    unsigned candidates = 0; ///< Servers that could run the request.
    unsigned limited = 0;    ///< Candidates that were left out because of the limit that they name.
    bool on_trial = false;   ///< The chosen server has just started or failed, see server_pace.
    unsigned in_use = 0;     ///< Known requests at the chosen server.
    duration load_age{0};    ///< Age of the server's last load report.
    duration waited{0};      ///< Since the request's arrival or its previous attempt.
};

/// Ids of the parts that other requests may share: all but the last one, which belongs to the request itself
/// or to its session.
std::vector<std::string> shared_part_ids(std::vector<prompt_part> const& prompt);

inline bool operator==(prompt_part const& a, prompt_part const& b)
{
    return a.id == b.id && a.tokens == b.tokens;
}

inline bool operator==(dispatch_target const& a, dispatch_target const& b)
{
    return a.backend == b.backend && a.address == b.address;
}

} // namespace siskinusher
