#pragma once

#include "tests/support/fault_server.hpp"
#include "tests/wire/backend_standin.hpp"
#include "tests/wire/edge_child.hpp"
#include "tests/wire/store_standin.hpp"

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace siskinusher::standins
{

/// One siskin-edge process before servers that follow scripts.
class scripted_fleet
{
public:
    scripted_fleet() { store_.write("config", "main", example_config(1)); }

    void add(std::string const& name, std::string const& service, std::vector<fault_server::script> scripts)
    {
        servers_.push_back(std::make_unique<fault_server>(std::move(scripts)));
        add_name(name, service);
    }

    /// Writes one more entry with the address of the server that was added last.
    void add_name(std::string const& name, std::string const& service)
    {
        add_entry(name, service, servers_.back()->address());
    }

    /// Writes an entry with any address.
    void add_entry(std::string const& name, std::string const& service, std::string const& address)
    {
        nlohmann::json entry{{"service", service}, {"address", address}, {"zone", "here"}, {"version", "v1"},
                             {"slots", 8},         {"state", "ready"},   {"born", 1}};
        if (service == "llm")
        {
            entry["models"] = {{{"name", "m0"}, {"version", 1}, {"adapters", nlohmann::json::array()}}};
        }
        store_.write("servers", name, entry);
    }

    store_standin& store() { return store_; }

    edge_child& edge()
    {
        if (!edge_)
        {
            edge_ = std::make_unique<edge_child>("edge-1", store_.address());
            cr_assert(edge_->wait_ready(), "%s", edge_->log_text().c_str());
        }
        return *edge_;
    }

private:
    store_standin store_;
    std::vector<std::unique_ptr<fault_server>> servers_;
    std::unique_ptr<edge_child> edge_;
};

} // namespace siskinusher::standins
