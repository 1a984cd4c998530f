#pragma once

#include "core/steady_time.hpp"
#include "domain/identifiers.hpp"

#include <cstdint>
#include <string>

namespace siskinusher
{

/// What an order tells an engine to do.
enum class order_kind
{
    load_model,
    unload_model,
    load_adapter,
    unload_adapter,
};

/// An order as it is recorded before it is sent. The record remains when its issuer stops.
struct intent
{
    std::uint64_t id = 0; ///< Unique: drawn at random by the issuer.
    instance_id issuer;
    backend_name engine;
    order_kind kind{order_kind::load_model};
    std::string subject;     ///< Name of the model or adapter.
    std::uint64_t bytes = 0; ///< Memory that the subject takes.
};

/// An intent as it is sent to an engine.
struct order
{
    intent what;
    std::uint64_t epoch = 0;   ///< Fencing epoch of the lease under which it is sent.
    steady_time lease_until{}; ///< On the local clock; the adapter does not send the order later than this.
};

/// How an order ended, as far as the sender knows.
enum class order_result
{
    done,          ///< The engine acknowledged; revision is valid.
    refused_epoch, ///< The engine has seen a higher epoch.
    refused,       ///< The engine refused before changing anything, for example for lack of memory.
    not_sent,      ///< The lease had run out or no byte was written.
    unknown,       ///< The order may still take effect, until order_lifetime has passed.
};

struct order_outcome
{
    std::uint64_t intent_id = 0;
    order_result result{order_result::unknown};
    std::uint64_t boot_id = 0;
    std::uint64_t revision = 0; ///< Engine revision after the order.
};

/// Longest time from sending an order to its last effect at the engine, for orders whose answer is lost.
constexpr duration order_lifetime = seconds{5};

bool operator==(intent const& a, intent const& b);
inline bool operator!=(intent const& a, intent const& b)
{
    return !(a == b);
}

/// The name used in logs and on the wire to engines, for example "load_model".
char const* to_string(order_kind kind);

} // namespace siskinusher
