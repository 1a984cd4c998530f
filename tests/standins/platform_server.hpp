#pragma once

#include "tests/standins/http_server.hpp"
#include "tests/standins/instance_directory.hpp"
#include "tests/standins/object_table.hpp"
#include "tests/standins/weight_store.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace siskinusher::standins
{

/// The stand-in for the hosting environment: object store, instance list and weight store at one address.
/// GET /counts returns the number of calls of each kind.
class platform_server
{
public:
    platform_server(std::string const& host, std::uint16_t port, std::chrono::milliseconds list_lag,
                    weight_store_settings weights);

    std::string address() const { return server_.address(); }

private:
    void handle(http_exchange& exchange);
    void control(nlohmann::json const& call);
    void read_object(http_exchange& exchange, std::string const& key);
    void write_object(http_exchange& exchange, std::string const& key);
    void remove_object(http_exchange& exchange, std::string const& key);
    void list_objects(http_exchange& exchange);
    void weights(http_exchange& exchange);
    void counts(http_exchange& exchange);
    void count(std::string const& call);

    object_table objects_;
    instance_directory directory_;
    weight_store weights_;
    std::mutex mutex_;
    std::map<std::string, std::uint64_t> counts_;
    http_server server_; ///< Declared last, because its threads use the other members.
};

} // namespace siskinusher::standins
