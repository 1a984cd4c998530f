#pragma once

#include "domain/identifiers.hpp"
#include "domain/store_call.hpp"

#include <string>
#include <variant>
#include <vector>

namespace siskinusher
{

/// The value and the version of the store's object config.
struct stored_config
{
    config_object object;
    object_version version = 0;
};

/// No configuration has been accepted yet.
struct config_absent
{
};

/// The store did not answer, or not with a configuration.
struct config_failure
{
    bool reached = false; ///< The store answered, but not with a configuration.
    std::string message;
};

using config_read_result = std::variant<stored_config, config_absent, config_failure>;

enum class config_put_outcome
{
    written,
    conflict,    ///< The object has another version; nothing was written.
    unknown,     ///< No answer: the write may have taken effect, or may still do so.
    not_sent,    ///< The store could not be reached.
    not_allowed, ///< The store refused the value.
};

/// Reads and writes the object config of the object store.
class config_store_port
{
public:
    virtual ~config_store_port() = default;
    virtual config_read_result get() = 0;
    /// Writes on the condition that the object has version `expected`; zero means that it must not exist.
    virtual config_put_outcome put(object_version expected, config_object const& object) = 0;
};

/// Answer to an HTTP call; the status is zero when there was none.
struct http_answer
{
    int status = 0;
    std::string body;
    std::string error;
};

struct instance_address
{
    std::string name; ///< The address if the name is not known.
    std::string address;
};

/// Lists the instances and sends operator calls to them.
class instance_port
{
public:
    virtual ~instance_port() = default;
    /// Instances according to the instance list; `error` says why it could not be read.
    virtual std::vector<instance_address> list(std::string& error) = 0;
    virtual http_answer call(std::string const& method, std::string const& address,
                             std::string const& path) = 0;
};

} // namespace siskinusher
