#pragma once

#include "domain/identifiers.hpp"

#include <boost/outcome/std_result.hpp>

#include <string>
#include <string_view>

namespace siskinusher
{

/// Frames of the handshake are smaller than this; larger ones are refused before authentication.
constexpr std::size_t max_handshake_bytes = 1024;

/// Random bytes for a challenge. Errors: errc::io_error when the system provides none.
boost::outcome_v2::std_result<std::string> make_nonce();

/// The side of a mutual challenge and response that opened the connection. Both sides prove that they know
/// the shared key by an HMAC-SHA256 over a label of the side, both names, both incarnations and both nonces,
/// so that a proof can be neither replayed nor reflected nor moved to another pair of instances.
///
///     dialler                                 acceptor
///     hello(name, incarnation, nonce)    ->
///                                        <-   challenge(name, incarnation, nonce, proof)
///     response(proof)                    ->
class dialler_handshake
{
public:
    /// `expected` is the name of the instance that was dialled.
    dialler_handshake(std::string key, instance_id self, std::string expected, std::string nonce);

    /// The first frame.
    std::string hello() const;

    /// Takes the challenge and returns the last frame; the acceptor is then authenticated. Errors:
    /// errc::permission_denied for a wrong proof or name, otherwise those of the codec.
    boost::outcome_v2::std_result<std::string> on_challenge(std::string_view frame);

    /// The authenticated acceptor; empty before.
    instance_id const& peer() const { return peer_; }

private:
    std::string const key_;
    instance_id const self_;
    std::string const expected_;
    std::string const nonce_;
    instance_id peer_;
};

/// The side that accepted the connection.
class acceptor_handshake
{
public:
    acceptor_handshake(std::string key, instance_id self, std::string nonce);

    /// Takes the hello and returns the challenge. Errors: errc::permission_denied for the own name or none,
    /// otherwise those of the codec.
    boost::outcome_v2::std_result<std::string> on_hello(std::string_view frame);

    /// Takes the response and returns the authenticated dialler. Errors: errc::permission_denied for a wrong
    /// proof, otherwise those of the codec.
    boost::outcome_v2::std_result<instance_id> on_response(std::string_view frame);

private:
    std::string const key_;
    instance_id const self_;
    std::string const nonce_;
    std::string dialler_nonce_;
    instance_id claimed_; ///< Not authenticated.
};

} // namespace siskinusher
