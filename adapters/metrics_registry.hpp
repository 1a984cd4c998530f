#pragma once

#include "adapters/ports.hpp"
#include "core/rank.hpp"
#include "core/steady_time.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace siskinusher
{

/// Counters, gauges and latency quantiles of this process. Safe to call from every thread.
class metrics_registry : public metric_port, public latency_port
{
public:
    metrics_registry();
    ~metrics_registry() override;

    void add(std::string_view name, std::string_view label, std::uint64_t amount) override;

    /// Value of a counter; zero when it has never been incremented.
    std::uint64_t value(std::string_view name, std::string_view label) const;

    /// Records the time from a request's arrival to the end of its answer.
    void observe_request(rank request_rank, duration total);
    /// Records the time that this process added before the request was first sent to a backend server.
    void observe_added(duration added);

    /// Records one duration of a kind, for example siskin_answer_seconds with the label "0".
    void observe(std::string const& name, std::string const& label, duration value) override;

    /// Registers a gauge whose value is read at each call of text(). Call before other threads start.
    void set_gauge(std::string const& name, std::function<std::uint64_t()> read);

    /// All values in the Prometheus text format.
    std::string text() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace siskinusher
