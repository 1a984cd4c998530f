#include "tests/standins/engine_server.hpp"

#include <gflags/gflags.h>

#include <iostream>
#include <sstream>

DEFINE_string(host, "127.0.0.1", "IP address to listen at");
DEFINE_int32(port, 0, "port to listen at; 0 lets the system choose");
DEFINE_string(name, "engine", "name in the report");
DEFINE_uint64(memory_bytes, 85'899'345'920, "memory for models, adapters and the prefix cache");
DEFINE_uint64(prefix_cache_bytes, 8'589'934'592, "memory set aside for the prefix cache");
DEFINE_uint32(places, 8, "requests that run at the same time");
DEFINE_uint32(queue, 32, "requests that wait for a place");
DEFINE_bool(enforce_memory, true, "refuse a load that does not fit (507); else count a violation");
DEFINE_bool(check_epoch, true, "refuse an order with an old epoch (409); else count a violation");
DEFINE_string(checkpoints, "", "local checkpoints as name=memory or name=disk, separated by commas");
DEFINE_string(checkpoint_suffix, "", "a model's checkpoint is its name and this suffix");
DEFINE_double(remote_load_ms, 60.0, "time for each GiB of a load from the weight store at full speed");
DEFINE_double(disk_load_ms, 24.0, "time for each GiB of a load from disk");
DEFINE_double(memory_load_ms, 6.0, "time for each GiB of a load from memory");
DEFINE_uint32(report_lag_ms, 100, "maximum age of the report");
DEFINE_uint32(first_token_ms, 20, "time to the first token");
DEFINE_uint32(token_interval_ms, 5, "time between tokens");
DEFINE_uint32(tokens, 16, "tokens of an answer when the request has no max_tokens");
DEFINE_string(weight_store, "", "address of the platform; empty: remote loads run at full speed");
DEFINE_bool(stay, false, "keep running when the parent process ends");

using namespace siskinusher::standins;

namespace
{

std::map<std::string, std::string> parse_checkpoints(std::string const& text)
{
    std::map<std::string, std::string> result;
    std::istringstream items(text);
    std::string item;
    while (std::getline(items, item, ','))
    {
        auto const equals = item.find('=');
        if (equals != std::string::npos)
        {
            result[item.substr(0, equals)] = item.substr(equals + 1);
        }
    }
    return result;
}

engine_settings settings_from_flags()
{
    using std::chrono::milliseconds;
    engine_settings settings;
    settings.name = FLAGS_name;
    settings.memory_bytes = FLAGS_memory_bytes;
    settings.prefix_cache_bytes = FLAGS_prefix_cache_bytes;
    settings.places = FLAGS_places;
    settings.queue_limit = FLAGS_queue;
    settings.enforce_memory = FLAGS_enforce_memory;
    settings.check_epoch = FLAGS_check_epoch;
    settings.checkpoints = parse_checkpoints(FLAGS_checkpoints);
    settings.checkpoint_suffix = FLAGS_checkpoint_suffix;
    settings.memory_load_ms = FLAGS_memory_load_ms;
    settings.disk_load_ms = FLAGS_disk_load_ms;
    settings.remote_load_ms = FLAGS_remote_load_ms;
    settings.report_lag = milliseconds{FLAGS_report_lag_ms};
    settings.weight_store = FLAGS_weight_store;
    return settings;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "stand-in for a model engine: deterministic answers, orders, faults by POST /control");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (!FLAGS_stay)
    {
        exit_with_parent();
    }
    block_stop_signals();
    using std::chrono::milliseconds;
    generation_settings const generation{milliseconds{FLAGS_first_token_ms},
                                         milliseconds{FLAGS_token_interval_ms}, FLAGS_tokens};
    engine_server const server(FLAGS_host, static_cast<std::uint16_t>(FLAGS_port), settings_from_flags(),
                               generation);
    std::cout << "listening " << server.address() << std::endl;
    wait_for_stop_signal();
    return 0;
}
