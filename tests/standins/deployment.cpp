#include "tests/standins/deployment.hpp"

#include "tests/standins/http_call.hpp"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <stdexcept>
#include <thread>

namespace siskinusher::standins
{

using nlohmann::json;
using std::chrono::milliseconds;

namespace
{

constexpr auto start_time = std::chrono::seconds{5};

// Every third engine ignores epochs, as some real engines do; the others refuse orders with an old epoch.
constexpr unsigned epoch_ignoring_engine = 3;

std::string make_folder()
{
    std::string path = (std::filesystem::temp_directory_path() / "siskin-deployment-XXXXXX").string();
    if (::mkdtemp(path.data()) == nullptr)
    {
        throw std::runtime_error("cannot make a folder like " + path);
    }
    return path;
}

std::string random_hex_key()
{
    std::random_device device;
    std::string key;
    while (key.size() < 40)
    {
        key += "0123456789abcdef"[device() % 16];
    }
    return key;
}

/// An address with a free port at `host`. The port stays free, as no other process uses this IP address.
std::string free_address(std::string const& host)
{
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(host, 0), true, false);
    return socket.address().toString();
}

std::string port_of(std::string const& address)
{
    return address.substr(address.rfind(':') + 1);
}

std::string host_of(std::string const& address)
{
    return address.substr(0, address.rfind(':'));
}

} // namespace

deployment::deployment(deployment_settings settings)
    : settings_(std::move(settings)), facts_(read_fleet_facts(settings_.text_file)), folder_(make_folder()),
      cluster_key_(random_hex_key()), operator_key_(random_hex_key())
{
}

deployment::~deployment()
{
    stop(milliseconds{0});
    if (!keep_folder_)
    {
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }
}

void deployment::start()
{
    start_platform();
    start_backends();
    plan_instances();
    apply_text(settings_.text_file);
    for (auto& instance : instances_)
    {
        restart(instance);
    }
}

std::string deployment::wait_ready(milliseconds time)
{
    auto const until = std::chrono::steady_clock::now() + time;
    std::string missing;
    do
    {
        missing.clear();
        for (auto& instance : instances_)
        {
            auto const answer = http_call(instance.address, "GET", "/readyz", {}, {}, milliseconds{500});
            if (!answer || answer->status != 200)
            {
                missing += " " + instance.name + (instance.process->running() ? "" : " (ended)");
            }
        }
        std::this_thread::sleep_for(milliseconds{missing.empty() ? 0 : 100});
    } while (!missing.empty() && std::chrono::steady_clock::now() < until);
    return missing;
}

void deployment::kill(deployed_server& server)
{
    server.process->kill();
    if (server.kind == "instance")
    {
        http_call(platform_address_, "POST", "/control", json{{"unregister", server.name}}.dump());
    }
}

void deployment::restart(deployed_server& server)
{
    server.process.reset();
    if (server.kind != "instance")
    {
        launch_backend(server);
        return;
    }
    server.process = std::make_unique<child_process>(server.name, server.command, log_of(server.name));
    register_server({{"name", server.name},
                     {"address", server.address},
                     {"peer_address", server.peer_address},
                     {"kind", "instance"},
                     {"data_centre", server.data_centre},
                     {"pool", ""},
                     {"state", "live"},
                     {"checks_epoch", true}});
}

void deployment::stop(milliseconds grace)
{
    std::vector<child_process*> all{platform_.get()};
    for (auto* group : {&instances_, &engines_, &services_})
    {
        for (auto& server : *group)
        {
            all.push_back(server.process.get());
        }
    }
    for (auto* process : all)
    {
        if (process != nullptr)
        {
            process->send(grace.count() > 0 ? SIGTERM : SIGKILL);
        }
    }
    auto const until = std::chrono::steady_clock::now() + grace;
    for (auto* process : all)
    {
        auto const left = std::chrono::duration_cast<milliseconds>(until - std::chrono::steady_clock::now());
        if (process != nullptr && !process->wait(std::max(left, milliseconds{0})))
        {
            process->kill();
        }
    }
}

std::string deployment::next_host()
{
    return "127.0.0." + std::to_string(++last_host_number_);
}

void deployment::start_platform()
{
    std::vector<std::string> const command{settings_.standins + "/standin-platform", "--host=" + next_host(),
                                           "--loads_per_second=" + std::to_string(facts_.loads_per_second)};
    platform_ = std::make_unique<child_process>("platform", command, log_of("platform"));
    platform_address_ = wait_for_address(*platform_, start_time);
}

void deployment::start_backends()
{
    for (auto const& data_centre : facts_.data_centres)
    {
        for (unsigned number = 1; number <= settings_.engines; ++number)
        {
            add_engine(data_centre.first, number);
        }
        for (unsigned number = 1; number <= settings_.services; ++number)
        {
            add_service(data_centre.first, number);
        }
    }
}

void deployment::add_engine(std::string const& data_centre, unsigned number)
{
    bool const checks_epoch = number % epoch_ignoring_engine != 0;
    deployed_server engine;
    engine.name = data_centre + "-engine-" + std::to_string(number);
    engine.data_centre = data_centre;
    engine.kind = "engine";
    engine.address = free_address(next_host());
    engine.command = {settings_.standins + "/standin-engine",
                      "--host=" + host_of(engine.address),
                      "--port=" + port_of(engine.address),
                      "--name=" + engine.name,
                      "--weight_store=" + platform_address_,
                      "--checkpoint_suffix=" + facts_.checkpoint_suffix,
                      "--remote_load_ms=" + std::to_string(facts_.remote_load_ms),
                      "--first_token_ms=" + std::to_string(settings_.first_token),
                      "--token_interval_ms=" + std::to_string(settings_.token_interval),
                      "--places=" + std::to_string(settings_.places),
                      std::string("--check_epoch=") + (checks_epoch ? "true" : "false")};
    // Checkpoints are distributed unevenly: only the first engine of a data centre has some in memory or on
    // disk.
    if (number == 1)
    {
        engine.command.push_back("--checkpoints=" + facts_.most_replicated_model + facts_.checkpoint_suffix +
                                 "=memory," + facts_.cold_models.back() + facts_.checkpoint_suffix + "=disk");
    }
    launch_backend(engine);
    register_server({{"name", engine.name},
                     {"address", engine.address},
                     {"peer_address", ""},
                     {"kind", engine.kind},
                     {"data_centre", data_centre},
                     {"pool", facts_.engine_pool},
                     {"state", "live"},
                     {"checks_epoch", checks_epoch}});
    engines_.push_back(std::move(engine));
}

void deployment::add_service(std::string const& data_centre, unsigned number)
{
    deployed_server service;
    service.name = data_centre + "-" + facts_.service + "-" + std::to_string(number);
    service.data_centre = data_centre;
    service.kind = "service";
    service.address = free_address(next_host());
    service.command = {settings_.standins + "/standin-service", "--host=" + host_of(service.address),
                       "--port=" + port_of(service.address), "--name=" + service.name};
    launch_backend(service);
    register_server({{"name", service.name},
                     {"address", service.address},
                     {"peer_address", ""},
                     {"kind", service.kind},
                     {"data_centre", data_centre},
                     {"pool", facts_.service_pool},
                     {"state", "live"},
                     {"checks_epoch", true}});
    services_.push_back(std::move(service));
}

void deployment::launch_backend(deployed_server& server)
{
    // Renames the old log, so that wait_for_address does not read the address of an earlier start from it.
    std::error_code absent;
    std::filesystem::rename(log_of(server.name), log_of(server.name) + ".old", absent);
    server.process = std::make_unique<child_process>(server.name, server.command, log_of(server.name));
    wait_for_address(*server.process, start_time);
}

void deployment::plan_instances()
{
    for (auto const& data_centre : facts_.data_centres)
    {
        for (unsigned number = 1; number <= settings_.instances; ++number)
        {
            deployed_server instance;
            instance.name = data_centre.first + "-" + std::to_string(number);
            instance.data_centre = data_centre.first;
            instance.kind = "instance";
            auto const host = next_host();
            instance.address = free_address(host);
            do
            {
                instance.peer_address = free_address(host);
            } while (instance.peer_address == instance.address);
            instance.command = {settings_.binaries + "/siskin-entry",
                                "--settings=" + folder_ + "/" + instance.name + ".yaml"};
            instances_.push_back(std::move(instance));
        }
    }
    std::size_t index = 0;
    for (auto const& data_centre : facts_.data_centres)
    {
        for (unsigned number = 1; number <= settings_.instances; ++number)
        {
            write_instance_settings(index++, data_centre.second);
        }
    }
}

void deployment::write_instance_settings(std::size_t index, std::string const& region) const
{
    auto const& self = instances_[index];
    std::ofstream file(folder_ + "/" + self.name + ".yaml");
    file << "instance: {name: " << self.name << ", data_centre: " << self.data_centre
         << ", region: " << region << "}\nlisten: {http: " << self.address << ", peer: " << self.peer_address
         << "}\nplatform: {object_store: " << platform_address_ << ", instance_list: " << platform_address_
         << "}\nkeys: {cluster: \"" << cluster_key_ << "\", operator: \"" << operator_key_
         << "\"}\npeers:" << (instances_.size() == 1 ? " []\n" : "\n");
    for (auto const& peer : instances_)
    {
        if (peer.name != self.name)
        {
            file << "  - {name: " << peer.name << ", data_centre: " << peer.data_centre
                 << ", http: " << peer.address << ", peer: " << peer.peer_address << "}\n";
        }
    }
    file << "limits: {connections: 1024, body_bytes: 1048576, queue: 2048}\nlog: {level: info}\n";
}

void deployment::apply_text(std::string const& text_file)
{
    auto const settings_file = folder_ + "/operator.yaml";
    {
        std::ofstream file(settings_file);
        file << "object_store: " << platform_address_ << "\ninstances: [";
        for (auto const& instance : instances_)
        {
            file << (&instance == &instances_.front() ? "" : ", ") << instance.address;
        }
        file << "]\noperator_key: \"" << operator_key_ << "\"\n";
    }
    child_process apply("siskinctl",
                        {settings_.binaries + "/siskinctl", "--settings=" + settings_file, "apply",
                         std::filesystem::absolute(text_file).string()},
                        log_of("siskinctl"));
    bool const ended = apply.wait(start_time);
    auto const stored = http_call(platform_address_, "GET", "/objects/config");
    if (!ended || apply.exit_code() != 0 || !stored || stored->status != 200)
    {
        throw std::runtime_error("siskinctl apply did not store the operators' text (exit code " +
                                 std::to_string(apply.exit_code()) + "); see " + apply.log());
    }
}

void deployment::register_server(json const& row) const
{
    http_call(platform_address_, "POST", "/control", json{{"register", row}}.dump());
}

} // namespace siskinusher::standins
