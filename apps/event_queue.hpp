#pragma once

#include "adapters/ports.hpp"
#include "core/bounded_queue.hpp"

#include <cstddef>
#include <functional>
#include <optional>
#include <utility>
#include <variant>

namespace siskinusher
{

/// A query that runs on the core's thread.
using core_query = std::function<void(decision_core&, steady_time)>;
using core_input = std::variant<event, core_query>;

/// Carries events and queries from all adapters to the core's thread.
class event_queue : public event_sink
{
public:
    explicit event_queue(std::size_t capacity) : inputs_(capacity) {}

    bool push(event what) override { return inputs_.try_push(core_input(std::move(what))); }
    bool ask(core_query query) { return inputs_.try_push(core_input(std::move(query))); }
    std::optional<core_input> pop(duration wait) { return inputs_.pop(wait); }
    void close() { inputs_.close(); }

private:
    bounded_queue<core_input> inputs_;
};

} // namespace siskinusher
