#pragma once

#include "domain/quota_exchange.hpp"

#include <optional>
#include <string>

namespace siskinusher
{

/// Path of the call by which an instance asks the lease holder for credit. An instance that does not hold the
/// lease answers 409, a build before organisations 404.
extern char const* const quota_path;

/// Encodes questions for credit and their replies as CBOR. Decoding returns an empty optional for bytes that
/// do not have the form that the encoder writes; rows with further fields at their end are accepted.
std::string encode_quota_question(quota_question const& question);
std::optional<quota_question> decode_quota_question(std::string const& bytes);
std::string encode_quota_reply(quota_reply const& reply);
std::optional<quota_reply> decode_quota_reply(std::string const& bytes);

} // namespace siskinusher
