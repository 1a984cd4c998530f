#pragma once

#include <string>
#include <string_view>

namespace siskinusher
{

/// Header names of a request that one instance forwards to another.
constexpr char const* forward_request_header = "X-Siskin-Forward-Id";
constexpr char const* forward_proof_header = "X-Siskin-Forward-Proof";
constexpr char const* forward_token_header = "X-Siskin-Forward-Token";

/// Computes the proof that the sender of a forwarded request knows the key shared by the instances, as
/// hexadecimal digits of an HMAC-SHA256 over the request id, the next token and the SHA-256 digest of the
/// body. The key itself never leaves the process.
std::string forward_proof(std::string_view shared_key, std::string_view request_id,
                          std::string_view next_token, std::string_view body);

/// Compares in a time that does not depend on where the texts differ.
bool equal_in_constant_time(std::string_view a, std::string_view b);

} // namespace siskinusher
