#pragma once

#include "apps/ctl_commands.hpp"
#include "domain/serving_config.hpp"
#include "platform/config_review.hpp"

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace siskinusher
{

/// What the text of a configuration of siskin-edge contains. Without a configuration the findings say why the
/// instances would not take the text.
struct checked_config
{
    std::optional<serving_config> config;
    std::vector<config_finding> findings;
};

/// Reads a text with the reader of the instances, and reviews what it contains. No finding shows a key.
checked_config check_config_text(std::string const& text);

struct check_request
{
    std::string file;
    std::string against; ///< File with the version in force; empty for no comparison.
    bool as_json = false;
};

/// The command `check`: prints the findings about a file and what it changes. Returns exit_code::ok without
/// findings, exit_code::refused with findings, and exit_code::usage when a file cannot be read or the one to
/// compare with is not valid.
exit_code check_serving_config(check_request const& request, std::ostream& out, std::ostream& err);

} // namespace siskinusher
