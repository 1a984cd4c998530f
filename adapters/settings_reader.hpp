#pragma once

#include "adapters/entry_settings.hpp"
#include "adapters/operator_settings.hpp"
#include "adapters/read_result.hpp"

#include <string>

namespace siskinusher
{

/// Reads the whole of a file of at most 1 MB; the error names the file.
read_result<std::string> read_text_file(std::string const& file);

/// Reads the settings of siskin-entry. Reports every wrong, unknown, duplicate or missing setting at once;
/// `file` appears in the messages. Never throws.
read_result<entry_settings> read_entry_settings(std::string const& text, std::string const& file);

/// Reads the settings of siskinctl; otherwise as read_entry_settings.
read_result<operator_settings> read_operator_settings(std::string const& text, std::string const& file);

/// True for text that can serve as a key: 32 to 256 printable characters without spaces.
bool is_key(std::string const& text);

} // namespace siskinusher
