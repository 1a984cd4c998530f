#pragma once

#include "adapters/http_front.hpp"
#include "apps/core_runner.hpp"
#include "tests/support/fault_server.hpp"

#include <mutex>
#include <string>
#include <vector>

namespace siskinusher
{

/// The events that a fixed_core has received.
struct core_record
{
    std::mutex mutex;
    std::vector<request_profile> arrived;
    std::vector<attempt_finished> finished;
    unsigned cancelled = 0;
    bool drained = false;

    template <typename Condition>
    bool wait_until(Condition condition)
    {
        for (int i = 0; i < 2000; ++i) // At most 20 s, so that a test fails instead of hanging.
        {
            {
                std::lock_guard<std::mutex> const lock(mutex);
                if (condition(*this))
                {
                    return true;
                }
            }
            std::this_thread::sleep_for(milliseconds{10});
        }
        return false;
    }
};

/// Core that sends every request to the given addresses, one after the other, until one answers. The model
/// "none" is refused and the model "later" is never decided.
class fixed_core : public decision_core
{
public:
    fixed_core(core_record& record, std::vector<std::string> addresses);

    void handle(steady_time now, event const& what, outbox& out) override;
    bool ready() const override { return true; }
    std::shared_ptr<fleet_config const> config() const override { return config_; }
    std::size_t open_requests() const override { return 0; }
    bool release(steady_time /*now*/, outbox& /*out*/) override { return true; }
    std::vector<std::string> explain_request(request_number number) const override
    {
        return {"request " + std::to_string(number)};
    }
    std::vector<std::string> explain_model(std::string const& model) const override { return {model}; }
    std::vector<std::pair<std::string, std::string>> status(steady_time /*now*/) const override
    {
        return {{"holder", "self"}};
    }

private:
    core_record& record_;
    std::vector<std::string> const addresses_;
    std::shared_ptr<fleet_config const> config_;
};

/// Ports that do nothing.
class silent_ports : public peer_port,
                     public store_port,
                     public order_port,
                     public poll_port,
                     public config_parser_port,
                     public log_port
{
public:
    void send(std::string const& /*to*/, peer_message const& /*message*/) override {}
    void on_instances(std::vector<listed_server> const& /*servers*/) override {}
    void submit(store_request const& /*request*/) override {}
    void submit(order const& /*what*/, std::string const& /*address*/) override {}
    void poll(backend_name const& /*name*/, std::string const& /*address*/) override {}
    void parse(config_object const& /*object*/) override {}
    void write(log_event const& /*entry*/) override {}
};

/// An http_front on a free port, with a fixed_core behind it.
class front_fixture
{
public:
    explicit front_fixture(std::vector<std::string> backends, front_settings settings = default_settings());
    ~front_fixture();

    static front_settings default_settings();
    std::string address() const { return "127.0.0.1:" + std::to_string(front.port()); }

    /// Sends one request with "Connection: close" and returns the complete answer with its head.
    std::string call(std::string const& method, std::string const& path, std::string const& headers = {},
                     std::string const& body = {}) const;

    core_record record;
    silent_ports ports;
    metrics_registry metrics;
    request_board board;
    event_queue ring{1024};
    backend_client backends{"shared", {}};
    core_runner runner;
    std::atomic<bool> drain_called{false};
    http_front front;
};

/// Status code of an answer; zero when there is none.
int status_of(std::string const& answer);

} // namespace siskinusher
