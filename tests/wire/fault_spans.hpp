#pragma once

#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace siskinusher::standins
{

using fault_clock = std::chrono::steady_clock;

/// A closed interval of time; `end` is the maximum while it lasts.
struct time_span
{
    fault_clock::time_point begin;
    fault_clock::time_point end;
};

/// Records when each process, server and link was faulty, by names that the user chooses.
class fault_spans
{
public:
    /// Opens a span, unless one of this name is open.
    void begin(std::string const& name);
    /// Closes the open span, if any, `linger` after now.
    void end(std::string const& name, std::chrono::milliseconds linger = {});
    void add(std::string const& name, time_span span);
    /// Of the spans of these names that share a moment with `span`, the one that begins last.
    std::optional<time_span> last_overlap(std::vector<std::string> const& names, time_span span) const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::vector<time_span>> spans_;
};

} // namespace siskinusher::standins
