#pragma once

#include "domain/identifiers.hpp"
#include "domain/peer_message.hpp"
#include "domain/store_records.hpp"

namespace siskinusher
{

/// A call with an idempotency key; its start must be recorded before the call is made.
struct call_start
{
    request_number number = 0;
    call_entry entry; ///< In the state `started`, with the nonce of this request.
};

/// The outcome of recording the start of a call.
struct call_start_result
{
    request_number number = 0;
    call_start_outcome outcome{call_start_outcome::unavailable};
    call_entry entry; ///< The recorded answer when the outcome is replay.
};

} // namespace siskinusher
