#pragma once

#include "apps/ctl_ports.hpp"

#include <string>
#include <vector>

namespace siskinusher
{

/// Reads and writes the object config through the HTTP API of the object store.
class http_config_store : public config_store_port
{
public:
    explicit http_config_store(std::string address) : address_(std::move(address)) {}
    config_read_result get() override;
    config_put_outcome put(object_version expected, config_object const& object) override;

private:
    std::string address_;
};

/// Operator calls over HTTP. The key is sent to instances only, never to the instance list.
class http_instances : public instance_port
{
public:
    http_instances(std::string list_address, std::string operator_key)
        : list_address_(std::move(list_address)), key_(std::move(operator_key))
    {
    }
    std::vector<instance_address> list(std::string& error) override;
    http_answer call(std::string const& method, std::string const& address, std::string const& path) override;

private:
    std::string list_address_;
    std::string key_;
};

} // namespace siskinusher
