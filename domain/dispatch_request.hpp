#pragma once

#include "core/steady_time.hpp"
#include "domain/identifiers.hpp"

#include <cstdint>
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

/// What choosing a backend server needs to know about a request.
struct dispatch_request
{
    request_number number = 0;
    std::string service;
    std::string model;   ///< Empty for plain services.
    std::string adapter; ///< Empty when none is asked for.
    unsigned priority = 0;
    steady_time arrived;
    steady_time deadline;
    duration patience{0}; ///< How long it may wait for a backend server before it is refused.
    std::vector<prompt_part> prompt;
    std::vector<backend_name> avoid; ///< Servers that failed it; used only when there is no other.
};

/// Where a request is sent.
struct dispatch_target
{
    backend_name backend;
    std::string address;
};

/// What a choice was based on, for the log.
struct dispatch_basis
{
    unsigned candidates = 0; ///< Servers that could run the request.
    unsigned in_use = 0;     ///< Requests at the chosen server, as far as known.
    duration load_age{0};    ///< Age of the server's last load report.
    duration waited{0};      ///< From arrival, or from the previous attempt.
};

inline bool operator==(prompt_part const& a, prompt_part const& b)
{
    return a.id == b.id && a.tokens == b.tokens;
}

inline bool operator==(dispatch_target const& a, dispatch_target const& b)
{
    return a.backend == b.backend && a.address == b.address;
}

} // namespace siskinusher
