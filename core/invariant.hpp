#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace siskinusher
{

/// Called with the name of a violated invariant and a key=value detail.
using invariant_handler = std::function<void(std::string_view name, std::string const& detail)>;

/// Replaces the handler: a test installs one that fails the test, a process one that writes to its log. Must
/// be called before other threads start.
void set_invariant_handler(invariant_handler handler);

/// Counts and reports a violation when `holds` is false. Returns `holds`, so that the caller can fall back to
/// a safe action.
bool check_invariant(bool holds, std::string_view name, std::string const& detail);

/// Number of violations since the start of this process.
std::uint64_t invariant_violations();

} // namespace siskinusher
