#pragma once

#include <string_view>

namespace siskinusher
{

/// Says whether a request may have run on a backend server.
enum class execution_verdict
{
    not_run,      ///< Proven: no byte reached a backend server, or the server refused before running.
    may_have_run, ///< Bytes may have reached a backend server and nothing proves that it did not run.
    ran,          ///< A backend server answered.
};

/// The name used in refusals, logs and metrics.
std::string_view to_string(execution_verdict value);

/// Combines the verdicts of two attempts at one request: `ran` outweighs `may_have_run`, which outweighs
/// `not_run`.
execution_verdict worst_of(execution_verdict a, execution_verdict b);

} // namespace siskinusher
