#pragma once

#include "core/rank.hpp"
#include "core/steady_time.hpp"
#include "domain/identifiers.hpp"

#include <cstdint>
#include <string>

namespace siskinusher
{

/// What the decision layer needs to know about a request; the body stays with the HTTP adapter.
struct request_profile
{
    request_number number = 0;
    std::string service; ///< Name of the plain service; empty for inference.
    std::string model;   ///< Base model; empty for plain services.
    std::string adapter; ///< Empty when none is asked for.
    rank request_rank{rank::standard};
    duration time_to_deadline{0}; ///< Counted from arrival.
    bool repeatable = false;      ///< The call is idempotent: it may be sent again after an unclear outcome.
    std::string idempotency_key;  ///< Empty when the caller gave none.
    std::uint64_t body_digest = 0;
    std::uint64_t fingerprint = 0; ///< Hash of service, model, adapter and body.
    std::uint64_t prefix_hash = 0; ///< Hash of the start of the prompt; zero when there is none.
    bool forwarded = false;        ///< Came from an instance of another data centre; not forwarded again.
};

} // namespace siskinusher
