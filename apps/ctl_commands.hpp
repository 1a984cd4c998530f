#pragma once

#include "adapters/fleet_text_reader.hpp"
#include "adapters/operator_settings.hpp"
#include "apps/ctl_ports.hpp"
#include "core/steady_time.hpp"

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace siskinusher
{

/// Exit codes of siskinctl.
enum class exit_code
{
    ok = 0,
    refused = 1,     ///< A text, a write or a call was refused.
    usage = 2,       ///< The command line or the settings are wrong.
    unreachable = 3, ///< The store or an instance did not answer.
};

/// The commands of siskinctl. Results are printed to `out`, errors to `err`.
class ctl_commands
{
public:
    struct environment
    {
        config_store_port& store;
        instance_port& instances;
        std::ostream& out;
        std::ostream& err;
        std::function<void(duration)> sleep;
    };

    ctl_commands(environment env, operator_settings settings);

    /// Checks a text without calls to the store or to instances; `show_time` prints how long the checks took.
    exit_code validate(std::string const& file, bool show_time);
    /// Shows the difference from the accepted text to the file's, by item.
    exit_code diff(std::string const& file);
    /// Writes the file's text as the accepted one. With `expected`, only as the successor of that generation.
    exit_code apply(std::string const& file, std::optional<std::uint64_t> expected);
    exit_code status();
    /// `instance` is a name from the instance list or an address.
    exit_code drain(std::string const& instance);
    /// `query` is "request" or "model"; `value` is the request id or the name of the model.
    exit_code explain(std::string const& query, std::string const& value);

private:
    struct candidate
    {
        std::string text;
        fleet_text parsed;
    };

    std::optional<candidate> read(std::string const& file);
    std::vector<instance_address> instances(std::string& error);
    exit_code fail(config_failure const& failure);
    void show_difference(config_object const& from, fleet_text const& to);
    std::uint64_t highest_in_force();
    exit_code write(object_version expected, config_object const& object, candidate const& wanted);
    exit_code report_conflict(stored_config const& accepted, candidate const& wanted,
                              bool may_have_been_accepted);

    environment env_;
    operator_settings settings_;
};

} // namespace siskinusher
