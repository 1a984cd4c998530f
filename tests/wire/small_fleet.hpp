#pragma once

#include "tests/wire/backend_standin.hpp"
#include "tests/wire/edge_child.hpp"
#include "tests/wire/store_standin.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <functional>
#include <string>
#include <thread>

namespace siskinusher::standins
{

/// A store with a configuration, two plain servers and two engines with the model m0, and one siskin-edge
/// process.
struct small_fleet
{
    small_fleet()
    {
        store.write("config", "main", example_config(1));
        cr_assert(edge.wait_ready(), "%s", edge.log_text().c_str());
    }

    store_standin store;
    backend_standin plain_1{store, "p1", "plain"};
    backend_standin plain_2{store, "p2", "plain"};
    backend_standin engine_1{store, "e1", "llm", {"m0"}};
    backend_standin engine_2{store, "e2", "llm", {"m0"}};
    edge_child edge{"edge-1", store.address()};
};

/// As small_fleet, but with a single server of each service, so that no request can go on elsewhere.
struct single_server_fleet
{
    single_server_fleet()
    {
        store.write("config", "main", example_config(1));
        cr_assert(edge.wait_ready(), "%s", edge.log_text().c_str());
    }

    store_standin store;
    backend_standin plain{store, "p1", "plain"};
    backend_standin engine{store, "e1", "llm", {"m0"}};
    edge_child edge{"edge-1", store.address()};
};

/// Returns true as soon as the condition holds, and false when it does not hold within the limit.
inline bool eventually(std::function<bool()> const& condition,
                       std::chrono::milliseconds limit = std::chrono::seconds{15})
{
    auto const until = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < until)
    {
        if (condition())
        {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
    return false;
}

/// Ids of the events in a stream's body, each followed by a space.
inline std::string event_ids(std::string const& body)
{
    std::string ids;
    for (std::size_t at = body.find("id: "); at != std::string::npos; at = body.find("id: ", at + 1))
    {
        ids += body.substr(at + 4, body.find('\n', at) - at - 4) + " ";
    }
    return ids;
}

} // namespace siskinusher::standins
