#pragma once

#include "tests/wire/edge_child.hpp"
#include "tests/wire/fault_spans.hpp"
#include "tests/wire/faulty_link.hpp"

#include <chrono>
#include <csignal>
#include <cstddef>
#include <optional>
#include <string>

namespace siskinusher::standins
{

/// A siskin-edge process with a link to the store, and the faults of both. Records the spans "killed N",
/// "suspended N", "stopping N" (the stop time after SIGTERM is over), "leaving N" (it may end after SIGTERM),
/// "started N" and "store link N", where N is its number. Use on the main thread only, as child_process.
class faulty_edge
{
public:
    /// `revoke_ms` and `quota_settings` as for edge_child.
    faulty_edge(std::size_t number, std::string const& store_address, unsigned holder_gap_ms,
                fault_spans& spans, unsigned revoke_ms = 0, std::string const& quota_settings = {});

    edge_child const& edge() const { return edge_; }
    faulty_link& store_link() { return store_link_; }
    std::string span_name(std::string const& fault) const { return fault + " " + std::to_string(number_); }

    /// True while it is suspended or stopping; no fault of the process may be injected then.
    bool busy() const { return suspended_until_ || stop_begun_; }
    /// Sends SIGKILL and starts the process again.
    void kill();
    void suspend(std::chrono::milliseconds time);
    void stop();
    void reload() { edge_.process().send(SIGHUP); }
    /// The connections to the store that are open now stay silent for good, while new ones work.
    void silence_store_link();
    /// Continues the process at the end of its suspension, and starts it again when it has stopped. Returns
    /// false when it did not stop in time.
    bool step();

private:
    void start();

    std::size_t const number_;
    fault_spans& spans_;
    faulty_link store_link_;
    edge_child edge_;
    std::optional<fault_clock::time_point> suspended_until_;
    std::optional<fault_clock::time_point> stop_begun_;
};

} // namespace siskinusher::standins
