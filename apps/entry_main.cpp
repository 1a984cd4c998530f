#include "adapters/config_parser.hpp"
#include "adapters/engine_poller.hpp"
#include "adapters/event_log.hpp"
#include "adapters/http_front.hpp"
#include "adapters/instance_list_client.hpp"
#include "adapters/object_store_client.hpp"
#include "adapters/order_client.hpp"
#include "adapters/peer_link.hpp"
#include "adapters/settings_reader.hpp"
#include "apps/core_binding.hpp"
#include "apps/core_runner.hpp"
#include "apps/entry_process.hpp"
#include "core/invariant.hpp"

#include <gflags/gflags.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <Poco/Exception.h>

#include <malloc.h>

#include <cstdio>
#include <random>
#include <string>

DEFINE_string(settings, "", "file with the settings (YAML)");
DEFINE_bool(check, false, "check the settings and exit");
DECLARE_bool(help);
DECLARE_bool(version);

namespace siskinusher
{

namespace
{

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;

constexpr char const* usage =
    "usage: siskin-entry --settings FILE [--check]\n"
    "Serves callers until SIGTERM or SIGINT, then finishes the accepted requests and exits.\n"
    "  --settings FILE  settings of this instance (YAML)\n"
    "  --check          check the settings and exit\n"
    "  --help           show this text and exit\n"
    "  --version        show the version and exit\n"
    "exit codes: 0 graceful end or successful check; 1 wrong usage, wrong settings or failed start\n";

// At 42 requests per second with about 6 events each, this covers a stall of the core's thread for 16 s.
constexpr std::size_t ring_capacity = 4096;

std::uint64_t random_number()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

member make_member(entry_settings const& settings, std::uint64_t incarnation)
{
    return {{settings.name, incarnation},
            settings.data_centre,
            settings.http_address,
            settings.peer_address,
            false};
}

instance_settings make_core_settings(entry_settings const& settings, std::uint64_t incarnation)
{
    instance_settings result;
    result.self = make_member(settings, incarnation);
    result.queue_length = settings.queue;
    for (peer_settings const& peer : settings.peers)
    {
        result.seeds.push_back(
            {{peer.name, 0}, peer.data_centre, peer.http_address, peer.peer_address, false});
    }
    return result;
}

front_settings make_front_settings(entry_settings const& settings, std::uint64_t incarnation)
{
    front_settings result;
    result.address = settings.http_address;
    result.instance_name = settings.name;
    result.incarnation = incarnation;
    result.operator_key = settings.operator_key;
    result.shared_key = settings.cluster_key;
    result.connections = settings.connections;
    result.body_bytes = settings.body_bytes;
    return result;
}

int serve(entry_settings const& settings)
{
    // Each malloc arena keeps its own freed memory. With hundreds of threads, the default of 8 arenas per
    // core wastes more than contention for fewer arenas costs.
    (void)::mallopt(M_ARENA_MAX, 4);
    entry_process::block_signals();
    std::uint64_t const incarnation = random_number();
    event_log log(std::make_shared<spdlog::sinks::stdout_sink_mt>(), settings.log_level,
                  {settings.cluster_key, settings.operator_key});
    metrics_registry metrics;
    set_invariant_handler(
        [&log](std::string_view name, std::string const& detail) {
            log.write({"invariant_violated", {{"name", std::string(name)}, {"detail", detail}}});
        });

    event_queue ring(ring_capacity);
    request_board board;
    instance_settings const core_settings = make_core_settings(settings, incarnation);
    peer_link peers({core_settings.self.id, settings.peer_address, settings.cluster_key, random_number()},
                    ring, metrics, log);
    object_store_settings store_settings;
    store_settings.address = settings.object_store_address;
    store_settings.seed = random_number();
    object_store_client store(store_settings, ring, metrics, log);
    order_client orders({}, ring, metrics, log);
    engine_poller polls({}, ring, metrics);
    config_parser parser(ring, log);
    core_runner core(std::make_unique<core_binding>(core_settings, random_number()), ring,
                     {peers, store, orders, polls, parser, board, log, metrics});
    backend_client backends(settings.cluster_key, {});
    http_front front(make_front_settings(settings, incarnation),
                     {ring, core, board, backends, metrics, log, entry_process::request_stop});
    metrics.set_gauge("siskin_open_requests", [&front] { return front.open_requests(); });
    auto const listening = peers.start();
    if (!listening)
    {
        std::fprintf(stderr, "siskin-entry: cannot listen on %s: %s\n", settings.peer_address.c_str(),
                     listening.error().message().c_str());
        return exit_failed;
    }
    peers.set_members(core_settings.seeds);
    try
    {
        core.start();
        front.start();
    }
    catch (Poco::Exception const& error)
    {
        std::fprintf(stderr, "siskin-entry: cannot listen on %s: %s\n", settings.http_address.c_str(),
                     error.displayText().c_str());
        return exit_failed;
    }
    instance_list_settings list_settings;
    list_settings.address = settings.instance_list_address;
    instance_list_client const list(list_settings, ring, metrics, log);
    log.write({"started",
               {{"instance", settings.name},
                {"incarnation", std::to_string(incarnation)},
                {"http", settings.http_address},
                {"version", SISKIN_VERSION}}});
    entry_process process(front, core, ring, log, {});
    int const code = process.run();
    set_invariant_handler({});
    return code;
}

template <typename Result>
int print_errors(Result const& result)
{
    for (read_error const& each : result.error())
    {
        std::fprintf(stderr, "%s\n", to_string(each).c_str());
    }
    return exit_failed;
}

int run(int argc)
{
    if (FLAGS_help)
    {
        std::fputs(usage, stdout);
        return exit_ok;
    }
    if (FLAGS_version)
    {
        std::printf("siskin-entry %s\n", SISKIN_VERSION);
        return exit_ok;
    }
    if (argc > 1 || FLAGS_settings.empty())
    {
        std::fputs(usage, stderr);
        return exit_failed;
    }
    auto const text = read_text_file(FLAGS_settings);
    if (!text)
    {
        return print_errors(text);
    }
    auto const settings = read_entry_settings(text.value(), FLAGS_settings);
    if (!settings)
    {
        return print_errors(settings);
    }
    return FLAGS_check ? exit_ok : serve(settings.value());
}

} // namespace

} // namespace siskinusher

int main(int argc, char** argv)
{
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    return siskinusher::run(argc);
}
