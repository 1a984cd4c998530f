#pragma once

#include "adapters/ports.hpp"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

namespace siskinusher
{

struct instance_list_settings
{
    std::string address;            ///< IP number and port of the platform.
    duration interval = seconds{1}; ///< From the end of one call to the start of the next.
    duration call_limit = seconds{2};
};

/// Reads the platform's instance list every second and pushes it as instance_list_received. After a failed
/// call nothing is pushed: the last list stays in force. Calls are counted in
/// siskin_instance_list_calls_total by result.
class instance_list_client
{
public:
    /// Starts the thread. The ports must outlive the client.
    instance_list_client(instance_list_settings settings, event_sink& sink, metric_port& metrics,
                         log_port& log);
    ~instance_list_client();
    instance_list_client(instance_list_client const&) = delete;
    instance_list_client& operator=(instance_list_client const&) = delete;

private:
    void run();
    std::string read_list(class http_connection& connection);

    instance_list_settings const settings_;
    event_sink& sink_;
    metric_port& metrics_;
    log_port& log_;
    std::mutex mutex_;
    std::condition_variable stop_requested_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace siskinusher
