#pragma once

#include "http_server.hpp"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace review
{

/// The platform's metadata store: lists, single objects, watches, and writes under a condition.
class metadata_store
{
public:
    metadata_store();
    ~metadata_store();
    metadata_store(metadata_store const&) = delete;
    metadata_store& operator=(metadata_store const&) = delete;

    std::string address() const { return server_.address(); }
    /// Writes an object as the operator and the servers do.
    void write(std::string const& kind, std::string const& name, nlohmann::json const& spec);
    void remove(std::string const& kind, std::string const& name);
    /// The spec of an object; null when there is none.
    nlohmann::json spec_of(std::string const& kind, std::string const& name);

private:
    struct stored_object
    {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        nlohmann::json spec;
    };
    struct change
    {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json event;
    };

    void serve(http_request const& request, http_channel& channel);
    void read(http_channel& channel, std::string const& kind, std::string const& name);
    void watch(http_channel& channel, std::string const& kind, std::uint64_t from, unsigned wait_ms);
    void put(http_request const& request, http_channel& channel, std::string const& kind,
             std::string const& name);
    void erase(http_channel& channel, std::string const& kind, std::string const& name);
    void record(std::string const& kind, std::string const& name, bool deleted);
    static nlohmann::json encode(std::string const& name, stored_object const& object);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, stored_object>> kinds_;
    std::deque<change> history_;
    std::uint64_t revision_ = 1;
    bool ending_ = false;
    http_server server_;
};

} // namespace review
