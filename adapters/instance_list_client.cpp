#include "adapters/instance_list_client.hpp"

#include "adapters/http_connection.hpp"
#include "adapters/platform_json.hpp"
#include "adapters/process_clock.hpp"

#include <utility>

namespace siskinusher
{

instance_list_client::instance_list_client(instance_list_settings settings, event_sink& sink,
                                           metric_port& metrics, log_port& log)
    : settings_(std::move(settings)), sink_(sink), metrics_(metrics), log_(log), thread_([this] { run(); })
{
}

instance_list_client::~instance_list_client()
{
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        stopping_ = true;
    }
    stop_requested_.notify_all();
    thread_.join();
}

void instance_list_client::run()
{
    http_connection connection(settings_.address, stopping_);
    std::string last_result = "ok";
    while (!stopping_)
    {
        std::string const result = read_list(connection);
        metrics_.add("siskin_instance_list_calls_total", result, 1);
        if (result != last_result && !stopping_)
        {
            log_.write({"instance_list", {{"result", result}}});
            last_result = result;
        }
        std::unique_lock<std::mutex> lock(mutex_);
        stop_requested_.wait_for(lock, settings_.interval, [this] { return stopping_.load(); });
    }
}

std::string instance_list_client::read_list(http_connection& connection)
{
    http_call call;
    call.path = "/instances";
    http_outcome const outcome = connection.exchange(call, steady_now() + settings_.call_limit);
    if (outcome.status != 200)
    {
        return outcome.invalid_status ? "invalid_status"
               : outcome.status == 0  ? "no_answer"
                                      : "status_" + std::to_string(outcome.status);
    }
    auto servers = read_instance_list(outcome.body);
    if (!servers)
    {
        return "malformed";
    }
    return sink_.push(instance_list_received{std::move(servers).value()}) ? "ok" : "event_ring_full";
}

} // namespace siskinusher
