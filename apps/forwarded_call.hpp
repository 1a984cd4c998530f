#pragma once

#include "platform/request_codec.hpp"

#include <optional>
#include <string>

namespace siskinusher
{

/// Path at which an instance takes requests for its peers.
extern char const* const forward_path;

/// A caller's request that another instance has accepted and cannot pass on to a server.
struct forwarded_call
{
    request_head head;
    std::string body;
    unsigned servers_left = 0; ///< How many servers may still run it.
    /// The peer has identified the caller and has charged its organisation. A build that knows no
    /// organisations has not.
    bool caller_checked = false;
};

/// What is sent before the request's body in the call that passes the request on to a peer. A caller that has
/// been identified is not identified again there: its key stays here. `authorization`
/// is the value of the header by which peers know each other; the caller's own header of that name is within
/// the call's body.
std::string encode_forwarded_head(platform::caller_request const& request, std::size_t body_size,
                                  platform::attempt_headers const& headers, unsigned servers_left,
                                  std::string const& peer_address, std::string const& authorization,
                                  bool caller_checked);
/// Returns no value when the bytes are no such call.
std::optional<forwarded_call> decode_forwarded_call(request_head const& call, std::string const& bytes);

} // namespace siskinusher
