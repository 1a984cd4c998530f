#pragma once

#include "tests/standins/child_process.hpp"
#include "tests/standins/fleet_facts.hpp"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace siskinusher::standins
{

struct deployment_settings
{
    std::string text_file;       ///< The operators' text.
    std::string binaries;        ///< Folder of siskin-entry and siskinctl.
    std::string standins;        ///< Folder of the stand-ins.
    unsigned instances = 3;      ///< In each data centre.
    unsigned engines = 4;        ///< In each data centre.
    unsigned services = 1;       ///< In each data centre.
    unsigned first_token = 20;   ///< Milliseconds.
    unsigned token_interval = 5; ///< Milliseconds.
    unsigned places = 8;         ///< Requests that an engine runs at the same time.
};

/// One process of the deployment and where it listens.
struct deployed_server
{
    std::string name;
    std::string data_centre;
    std::string kind; ///< instance, engine or service.
    std::string address;
    std::string peer_address; ///< Empty for backend servers.
    std::vector<std::string> command;
    std::unique_ptr<child_process> process;
};

/// A whole fleet on loopback: the platform, engines, services and instances. Each process listens at an IP
/// address of its own, so that outgoing connections, which come from 127.0.0.1, never take the port of a
/// server that is restarted. The destructor ends every process and removes the temporary folder.
class deployment
{
public:
    explicit deployment(deployment_settings settings);
    ~deployment();

    deployment(deployment const&) = delete;
    deployment& operator=(deployment const&) = delete;

    /// Starts everything and applies the operators' text. Throws std::runtime_error.
    void start();

    /// Waits until every instance is ready. Returns the names of those that are not.
    std::string wait_ready(std::chrono::milliseconds time);

    /// Runs siskinctl to apply an operators' text. Throws std::runtime_error.
    void apply_text(std::string const& text_file);

    void kill(deployed_server& server);
    void restart(deployed_server& server);

    /// Sends SIGTERM to all processes, and SIGKILL to those that still run after `grace`. Sends
    /// SIGKILL at once when `grace` is zero.
    void stop(std::chrono::milliseconds grace);

    /// Keeps the folder of settings and logs after the end, for the analysis of a failure.
    void keep_folder() { keep_folder_ = true; }

    fleet_facts const& facts() const { return facts_; }
    std::string const& folder() const { return folder_; }
    std::string const& platform() const { return platform_address_; }
    std::string const& operator_key() const { return operator_key_; }
    std::vector<deployed_server>& instances() { return instances_; }
    std::vector<deployed_server>& engines() { return engines_; }
    std::vector<deployed_server>& services() { return services_; }

private:
    std::string next_host();
    void start_platform();
    void start_backends();
    void add_engine(std::string const& data_centre, unsigned number);
    void add_service(std::string const& data_centre, unsigned number);
    void launch_backend(deployed_server& server);
    void plan_instances();
    void write_instance_settings(std::size_t index, std::string const& region) const;
    void register_server(nlohmann::json const& row) const;
    std::string log_of(std::string const& name) const { return folder_ + "/" + name + ".log"; }

    deployment_settings const settings_;
    fleet_facts const facts_;
    std::string const folder_;
    std::string const cluster_key_;
    std::string const operator_key_;
    bool keep_folder_ = false;
    unsigned last_host_number_ = 9; ///< Last byte of the IP address; the first is 127.0.0.10.
    std::unique_ptr<child_process> platform_;
    std::string platform_address_;
    std::vector<deployed_server> instances_;
    std::vector<deployed_server> engines_;
    std::vector<deployed_server> services_;
};

} // namespace siskinusher::standins
