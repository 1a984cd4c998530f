#include "adapters/request_parser.hpp"

#include "adapters/http_message.hpp"
#include "core/hash.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace siskinusher
{

namespace
{

constexpr std::size_t json_depth_limit = 16;
// Engines cache prefixes in blocks of tokens; different shared system prompts differ within this many bytes.
constexpr std::size_t prefix_bytes = 512;
constexpr std::int64_t default_deadline_ms = 30000;
constexpr std::int64_t max_deadline_ms = 600000;
constexpr std::size_t max_key_length = 128;

using json = nlohmann::json;

// Reads only the fields that this instance uses, without building a document of up to 1 MB.
class body_scanner : public nlohmann::json_sax<json>
{
public:
    inference_body found;
    std::string error;

    bool null() override { return scalar(); }
    bool boolean(bool value) override
    {
        if (at_top_key("stream"))
        {
            found.stream = value;
            return true;
        }
        return scalar();
    }
    bool number_integer(number_integer_t /*value*/) override { return scalar(); }
    bool number_unsigned(number_unsigned_t /*value*/) override { return scalar(); }
    bool number_float(number_float_t /*value*/, string_t const& /*text*/) override { return scalar(); }
    bool binary(binary_t& /*value*/) override { return scalar(); }
    bool string(string_t& value) override
    {
        if (at_top_key("model"))
        {
            std::size_t const colon = value.find(':');
            found.model = value.substr(0, colon);
            found.adapter = colon == std::string::npos ? std::string{} : value.substr(colon + 1);
            return true;
        }
        bool const is_prompt = key_ == "content" || key_ == "text" || key_ == "prompt" || key_ == "role";
        if (is_prompt && found.prompt_start.size() < prefix_bytes)
        {
            found.prompt_start.append(value, 0, prefix_bytes - found.prompt_start.size());
        }
        return scalar();
    }
    bool start_object(std::size_t /*size*/) override { return descend(); }
    bool start_array(std::size_t /*size*/) override { return descend() && (depth_ > 1 || fail_type()); }
    bool end_object() override { return ascend(); }
    bool end_array() override { return ascend(); }
    bool key(string_t& value) override
    {
        key_ = value;
        if (depth_ == 1 && value == "continue_from_token")
        {
            error = "the field continue_from_token is reserved";
            return false;
        }
        // If a field appeared twice, an engine might use the other value and run a model that this instance
        // did not choose.
        bool& seen = value == "model" ? model_seen_ : stream_seen_;
        if (depth_ == 1 && (value == "model" || value == "stream") && std::exchange(seen, true))
        {
            error = "the field " + value + " appears twice";
            return false;
        }
        return true;
    }
    bool parse_error(std::size_t position, std::string const& /*token*/,
                     json::exception const& /*reason*/) override
    {
        error = "the body is not valid JSON at byte " + std::to_string(position);
        return false;
    }

private:
    bool at_top_key(std::string_view name) const { return depth_ == 1 && key_ == name; }
    bool fail_type()
    {
        error = "the body is not a JSON object";
        return false;
    }
    bool scalar()
    {
        if (depth_ == 0)
        {
            return fail_type();
        }
        if (at_top_key("model") || at_top_key("stream"))
        {
            error = "the field " + key_ + " has the wrong type";
            return false;
        }
        return true;
    }
    bool descend()
    {
        if (depth_ > 0 && !scalar())
        {
            return false;
        }
        if (++depth_ > json_depth_limit)
        {
            error = "the body is nested deeper than " + std::to_string(json_depth_limit) + " levels";
            return false;
        }
        return true;
    }
    bool ascend()
    {
        --depth_;
        return true;
    }

    std::size_t depth_ = 0;
    std::string key_;
    bool model_seen_ = false;
    bool stream_seen_ = false;
};

bool is_visible(char c)
{
    return c > ' ' && c < 0x7F;
}

// A path prefix matches whole segments only: "/stock" does not cover "/stockpile".
bool has_path_prefix(std::string_view path, std::string_view prefix)
{
    while (!prefix.empty() && prefix.back() == '/')
    {
        prefix.remove_suffix(1);
    }
    if (path.substr(0, prefix.size()) != prefix)
    {
        return false;
    }
    char const next = path.size() > prefix.size() ? path[prefix.size()] : '/';
    return next == '/' || next == '?';
}

bool is_repeatable_call(std::string const& method, std::string const& service, std::string_view path,
                        fleet_config const* config)
{
    if (method == "GET" || method == "HEAD" || method == "OPTIONS")
    {
        return true;
    }
    // The server may resolve a path with dots or escapes to another path than the prefix test sees.
    bool const is_plain =
        path.find("..") == std::string_view::npos && path.find('%') == std::string_view::npos;
    if (config == nullptr || !is_plain)
    {
        return false;
    }
    auto const found = config->services.find(service);
    if (found == config->services.end())
    {
        return false;
    }
    auto const& prefixes = found->second.repeatable_paths;
    return std::any_of(prefixes.begin(), prefixes.end(),
                       [path](std::string const& prefix) { return has_path_prefix(path, prefix); });
}

} // namespace

parsed<inference_body> parse_inference_body(std::string_view body)
{
    body_scanner scanner;
    if (!json::sax_parse(body.begin(), body.end(), &scanner))
    {
        return {std::nullopt, scanner.error.empty() ? "the body is not valid JSON" : scanner.error};
    }
    if (scanner.found.model.empty())
    {
        return {std::nullopt, "the field model is missing"};
    }
    return {std::move(scanner.found), {}};
}

parsed<request_profile> build_profile(request_head const& request, inference_body const* inference,
                                      std::string const& service, std::string_view path,
                                      std::string_view body, fleet_config const* config)
{
    request_profile profile;
    if (request.fields.has("X-Rank"))
    {
        auto const value = parse_rank(request.fields.value("X-Rank"));
        if (!value)
        {
            return {std::nullopt, "X-Rank must be urgent, standard or background"};
        }
        profile.request_rank = *value;
    }
    profile.time_to_deadline = milliseconds(default_deadline_ms);
    if (request.fields.has("X-Deadline-Ms"))
    {
        auto const value = parse_number(request.fields.value("X-Deadline-Ms"));
        if (!value || *value < 1 || *value > static_cast<std::uint64_t>(max_deadline_ms))
        {
            return {std::nullopt, "X-Deadline-Ms must be a whole number from 1 to 600000"};
        }
        profile.time_to_deadline = milliseconds(static_cast<std::int64_t>(*value));
    }
    if (request.fields.has("Idempotency-Key"))
    {
        std::string const& key = request.fields.value("Idempotency-Key");
        if (key.empty() || key.size() > max_key_length || !std::all_of(key.begin(), key.end(), is_visible))
        {
            return {std::nullopt, "Idempotency-Key must have 1 to 128 visible ASCII characters"};
        }
        profile.idempotency_key = key;
    }
    std::string target = request.method;
    target.append(" ").append(path);
    // The digest covers the method and the path too: the same body sent to another path is another call.
    profile.body_digest = stable_hash(body, stable_hash(target));
    if (inference != nullptr)
    {
        profile.model = inference->model;
        profile.adapter = inference->adapter;
        profile.repeatable = true;
        if (!inference->prompt_start.empty())
        {
            profile.prefix_hash = stable_hash(inference->prompt_start, stable_hash(profile.model));
        }
    }
    else
    {
        profile.service = service;
        profile.repeatable = is_repeatable_call(request.method, service, path, config);
    }
    std::string const identity = profile.service + "\n" + profile.model + "\n" + profile.adapter;
    profile.fingerprint = stable_hash(identity, profile.body_digest);
    return {std::move(profile), {}};
}

} // namespace siskinusher
