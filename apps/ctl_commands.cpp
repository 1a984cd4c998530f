#include "apps/ctl_commands.hpp"

#include "adapters/settings_reader.hpp"
#include "adapters/yaml_tree.hpp"

#include <Poco/URI.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <ostream>
#include <utility>

namespace siskinusher
{

namespace
{

/// Number of attempts to write or to learn the outcome of a write, one second apart.
constexpr int write_attempts = 10;

void print(std::ostream& stream, read_errors const& errors)
{
    for (auto const& error : errors)
    {
        stream << to_string(error) << '\n';
    }
}

/// Replaces the control characters in a text from an instance, which could control the operator's terminal.
std::string printable(std::string text)
{
    std::replace_if(
        text.begin(), text.end(), [](char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7F'; },
        ' ');
    return text;
}

nlohmann::ordered_json parse_json(std::string const& body)
{
    return nlohmann::ordered_json::parse(body, nullptr, false);
}

std::string to_display_text(nlohmann::ordered_json const& value)
{
    return printable(value.is_string()
                         ? value.get<std::string>()
                         : value.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace));
}

/// The generation in force according to an instance's status; zero when the status does not name it.
std::uint64_t generation_in(std::string const& body)
{
    auto const document = parse_json(body);
    auto const field = document.is_object() ? document.find("config_generation") : document.end();
    if (field == document.end())
    {
        return 0;
    }
    std::string const digits = to_display_text(*field);
    bool const valid =
        !digits.empty() && digits.size() <= 18 && digits.find_first_not_of("0123456789") == std::string::npos;
    return valid ? std::stoull(digits) : 0;
}

bool succeeded(http_answer const& answer)
{
    return answer.status >= 200 && answer.status < 300;
}

std::string reason_of(http_answer const& answer)
{
    return answer.status == 0 ? answer.error : "status " + std::to_string(answer.status);
}

} // namespace

ctl_commands::ctl_commands(environment env, operator_settings settings)
    : env_(std::move(env)), settings_(std::move(settings))
{
}

std::optional<ctl_commands::candidate> ctl_commands::read(std::string const& file)
{
    auto text = read_text_file(file);
    if (!text)
    {
        print(env_.err, text.assume_error());
        return std::nullopt;
    }
    auto parsed = read_fleet_text(text.assume_value(), file, 0);
    if (!parsed)
    {
        print(env_.err, parsed.assume_error());
        return std::nullopt;
    }
    return candidate{std::move(text.assume_value()), std::move(parsed.assume_value())};
}

exit_code ctl_commands::validate(std::string const& file, bool show_time)
{
    auto const start = std::chrono::steady_clock::now();
    auto const wanted = read(file);
    auto const took = std::chrono::steady_clock::now() - start;
    if (show_time)
    {
        env_.out << "checked in " << std::chrono::duration_cast<microseconds>(took).count() << " us\n";
    }
    if (!wanted)
    {
        return exit_code::refused;
    }
    fleet_config const& config = wanted->parsed.config;
    env_.out << file << ": valid: " << config.models.size() << " models, " << config.adapters.size()
             << " adapters, " << config.services.size() << " services\n";
    return exit_code::ok;
}

exit_code ctl_commands::fail(config_failure const& failure)
{
    env_.err << "object store " << settings_.object_store_address << ": " << failure.message << '\n';
    return failure.reached ? exit_code::refused : exit_code::unreachable;
}

void ctl_commands::show_difference(config_object const& from, fleet_text const& to)
{
    fleet_text before;
    if (from.generation > 0)
    {
        auto parsed = read_fleet_text(from.text, "accepted text", from.generation);
        if (!parsed)
        {
            env_.err
                << "the accepted text does not pass the checks of this version; no difference is shown\n";
            print(env_.err, parsed.assume_error());
            return;
        }
        before = std::move(parsed.assume_value());
    }
    auto const lines = difference(before, to);
    for (auto const& line : lines)
    {
        env_.out << line << '\n';
    }
    if (lines.empty())
    {
        env_.out << "no item differs\n";
    }
}

exit_code ctl_commands::diff(std::string const& file)
{
    auto const wanted = read(file);
    if (!wanted)
    {
        return exit_code::refused;
    }
    auto const found = env_.store.get();
    if (auto const* const failure = std::get_if<config_failure>(&found))
    {
        return fail(*failure);
    }
    auto const* const stored = std::get_if<stored_config>(&found);
    config_object const accepted = stored != nullptr ? stored->object : config_object{};
    env_.out << "difference from generation " << accepted.generation << " to " << file << ":\n";
    show_difference(accepted, wanted->parsed);
    return exit_code::ok;
}

std::uint64_t ctl_commands::highest_in_force()
{
    std::uint64_t highest = 0;
    std::string error;
    for (auto const& each : instances(error))
    {
        http_answer const answer = env_.instances.call("GET", each.address, "/operator/status");
        highest = succeeded(answer) ? std::max(highest, generation_in(answer.body)) : highest;
    }
    return highest;
}

exit_code ctl_commands::apply(std::string const& file, std::optional<std::uint64_t> expected)
{
    auto const wanted = read(file);
    if (!wanted)
    {
        return exit_code::refused;
    }
    auto const found = env_.store.get();
    if (auto const* const failure = std::get_if<config_failure>(&found))
    {
        return fail(*failure);
    }
    auto const* const stored = std::get_if<stored_config>(&found);
    stored_config const accepted = stored != nullptr ? *stored : stored_config{};
    if (expected && *expected != accepted.object.generation)
    {
        env_.err << "generation " << *expected << " was expected\n";
        return report_conflict(accepted, *wanted, false);
    }
    // Instances never move to a lower generation, so the successor of a text that was restored from an old
    // copy of the store must be above theirs.
    std::uint64_t const in_force = settings_.operator_key.empty() ? 0 : highest_in_force();
    if (in_force > accepted.object.generation)
    {
        env_.out << "instances have generation " << in_force << " in force, above the store's "
                 << accepted.object.generation << "; the new generation is chosen above it\n";
    }
    else if (stored != nullptr && accepted.object.text == wanted->text)
    {
        env_.out << "generation " << accepted.object.generation << " already has this text\n";
        return exit_code::ok;
    }
    env_.out << "difference from generation " << accepted.object.generation << " to " << file << ":\n";
    show_difference(accepted.object, wanted->parsed);
    config_object const object{std::max(accepted.object.generation, in_force) + 1, wanted->text};
    return write(accepted.version, object, *wanted);
}

exit_code ctl_commands::write(object_version expected, config_object const& object, candidate const& wanted)
{
    bool answer_lost = false;
    for (int attempt = 0; attempt < write_attempts; ++attempt)
    {
        if (attempt > 0)
        {
            env_.sleep(seconds{1});
        }
        // Repeating the write is safe: it has the same condition and the same value.
        config_put_outcome const outcome = env_.store.put(expected, object);
        if (outcome == config_put_outcome::written)
        {
            env_.out << "accepted: generation " << object.generation << '\n';
            return exit_code::ok;
        }
        if (outcome == config_put_outcome::not_allowed)
        {
            env_.err << "the object store refused the text, for example because it exceeds 1 MB as JSON\n";
            return exit_code::refused;
        }
        if (outcome == config_put_outcome::not_sent && !answer_lost)
        {
            return fail({false, "cannot be reached; nothing was changed"});
        }
        answer_lost = answer_lost || outcome == config_put_outcome::unknown;
        auto const found = env_.store.get();
        auto const* const now = std::get_if<stored_config>(&found);
        if (now == nullptr || now->version == expected)
        {
            continue; // The outcome is not known yet.
        }
        if (answer_lost && now->object == object)
        {
            env_.out << "accepted: generation " << object.generation << ", found by reading back\n";
            return exit_code::ok;
        }
        return report_conflict(*now, wanted, answer_lost);
    }
    env_.err << "the outcome of writing generation " << object.generation
             << " is unknown: no answer arrived; run 'siskinctl diff' before applying again\n";
    return exit_code::unreachable;
}

exit_code ctl_commands::report_conflict(stored_config const& accepted, candidate const& wanted,
                                        bool may_have_been_accepted)
{
    env_.err << "not applied: generation " << accepted.object.generation << " is the accepted one"
             << (may_have_been_accepted ? "; your text may have been accepted before it" : "") << '\n';
    env_.out << "difference from generation " << accepted.object.generation << " to your text:\n";
    show_difference(accepted.object, wanted.parsed);
    return exit_code::refused;
}

std::vector<instance_address> ctl_commands::instances(std::string& error)
{
    if (settings_.instances.empty())
    {
        return env_.instances.list(error);
    }
    std::vector<instance_address> result;
    for (auto const& address : settings_.instances)
    {
        result.push_back({address, address});
    }
    return result;
}

exit_code ctl_commands::status()
{
    exit_code result = exit_code::ok;
    auto const found = env_.store.get();
    if (auto const* const failure = std::get_if<config_failure>(&found))
    {
        result = fail(*failure);
    }
    else if (auto const* const stored = std::get_if<stored_config>(&found))
    {
        env_.out << "accepted generation " << stored->object.generation << '\n';
    }
    else
    {
        env_.out << "no configuration has been accepted\n";
    }
    std::string error;
    auto const all = instances(error);
    if (!error.empty())
    {
        env_.err << "instance list: " << error << '\n';
        return exit_code::unreachable;
    }
    for (auto const& each : all)
    {
        http_answer const answer = env_.instances.call("GET", each.address, "/operator/status");
        auto const document = parse_json(answer.body);
        if (!succeeded(answer) || !document.is_object())
        {
            env_.err << printable(each.name) << ": "
                     << (succeeded(answer) ? "the answer is not a JSON object" : reason_of(answer)) << '\n';
            result = std::max(result, answer.status == 0 ? exit_code::unreachable : exit_code::refused);
            continue;
        }
        env_.out << printable(each.name);
        for (auto const& field : document.items())
        {
            env_.out << ' ' << printable(field.key()) << '=' << to_display_text(field.value());
        }
        env_.out << '\n';
    }
    return result;
}

exit_code ctl_commands::drain(std::string const& instance)
{
    std::string address = instance;
    if (!is_address(instance))
    {
        std::string error;
        auto const all = env_.instances.list(error);
        if (!error.empty())
        {
            env_.err << "instance list: " << error << '\n';
            return exit_code::unreachable;
        }
        auto const found = std::find_if(all.begin(), all.end(),
                                        [&](instance_address const& each) { return each.name == instance; });
        if (found == all.end())
        {
            env_.err << "the instance list shows no instance " << quote(instance) << '\n';
            return exit_code::refused;
        }
        address = found->address;
    }
    http_answer const answer = env_.instances.call("POST", address, "/operator/drain");
    if (!succeeded(answer))
    {
        env_.err << "drain of " << quote(instance) << ": " << reason_of(answer) << '\n';
        return answer.status == 0 ? exit_code::unreachable : exit_code::refused;
    }
    env_.out << instance << " drains: it refuses new requests and finishes accepted ones\n";
    return exit_code::ok;
}

exit_code ctl_commands::explain(std::string const& query, std::string const& value)
{
    std::string error;
    auto const all = instances(error);
    if (!error.empty())
    {
        env_.err << "instance list: " << error << '\n';
        return exit_code::unreachable;
    }
    std::string encoded;
    Poco::URI::encode(value, "&=+#?/%", encoded);
    std::string path = "/operator/explain?";
    path.append(query).append("=").append(encoded);
    bool known = false;
    bool answer_missing = false;
    for (auto const& each : all)
    {
        http_answer const answer = env_.instances.call("GET", each.address, path);
        if (!succeeded(answer))
        {
            answer_missing = answer_missing || answer.status != 404;
            if (answer.status != 404) // 404: this instance does not know the request.
            {
                env_.err << printable(each.name) << ": " << reason_of(answer) << '\n';
            }
            continue;
        }
        auto const document = parse_json(answer.body);
        auto const lines = document.is_object() ? document.find("explain") : document.end();
        if (lines == document.end() || !lines->is_array())
        {
            env_.err << printable(each.name) << ": the answer has no list 'explain'\n";
            answer_missing = true;
            continue;
        }
        for (auto const& line : *lines)
        {
            known = true;
            env_.out << printable(each.name) << ": " << to_display_text(line) << '\n';
        }
    }
    if (known)
    {
        return exit_code::ok;
    }
    env_.err << "no instance that answered knows " << query << ' ' << quote(value) << '\n';
    return answer_missing ? exit_code::unreachable : exit_code::refused;
}

} // namespace siskinusher
