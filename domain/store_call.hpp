#pragma once

#include "domain/identifiers.hpp"
#include "domain/store_records.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace siskinusher
{

/// The configuration text, as stored in the object `config`.
struct config_object
{
    std::uint64_t generation = 0;
    std::string text;

    friend bool operator==(config_object const& a, config_object const& b)
    {
        return a.generation == b.generation && a.text == b.text;
    }
};

/// A typed value of the object store. The adapter encodes it; the decision layer never sees bytes.
using store_value = std::variant<data_centre_record, quota_record, call_segment, config_object>;

/// The module that made a store call; the reply is routed back to it.
enum class store_owner
{
    lease,
    quota,
    records,
    configuration,
};

struct store_get
{
};
/// Writes on the condition that the object still has `expected`; zero means that it must not exist.
struct store_put
{
    object_version expected = 0;
    store_value value;
};
struct store_remove
{
    object_version expected = 0;
};
/// Waits until the object has another version than `seen`, or the adapter's watch time is over.
struct store_watch
{
    object_version seen = 0;
};

using store_operation = std::variant<store_get, store_put, store_remove, store_watch>;

struct store_request
{
    store_owner owner{store_owner::lease};
    std::uint64_t tag = 0; ///< Chosen by the owner; returned in the reply.
    std::string key;
    store_operation operation;
};

struct store_found
{
    store_value value;
    object_version version = 0;
};
struct store_written
{
    object_version version = 0;
};
struct store_conflict ///< The condition did not hold; nothing was written.
{
};
struct store_absent
{
};
struct store_unchanged ///< A watch ended without a change.
{
};
struct store_unavailable ///< No answer: a write may have taken effect.
{
};

using store_result = std::variant<store_found, store_written, store_conflict, store_absent, store_unchanged,
                                  store_unavailable>;

struct store_reply
{
    store_owner owner{store_owner::lease};
    std::uint64_t tag = 0;
    std::string key;
    store_result result;
};

} // namespace siskinusher
