#pragma once

#include "adapters/http_head.hpp"
#include "domain/fleet_config.hpp"
#include "domain/request_profile.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace siskinusher
{

/// The fields of an inference request's body that this instance uses.
struct inference_body
{
    std::string model;
    std::string adapter;
    bool stream = false;
    std::string prompt_start; ///< The first bytes of the prompt, for the prefix hash.
};

/// A parsed value, or a message for the caller that says why the request is malformed.
template <typename T>
struct parsed
{
    std::optional<T> value;
    std::string error;
};

/// Parses the body of /v1/chat/completions.
parsed<inference_body> parse_inference_body(std::string_view body);

/// Builds the profile of an inference request, or of a plain call when `inference` is null. `path` is the
/// path below /services/<name>. The request number is left zero.
parsed<request_profile> build_profile(request_head const& request, inference_body const* inference,
                                      std::string const& service, std::string_view path,
                                      std::string_view body, fleet_config const* config);

} // namespace siskinusher
