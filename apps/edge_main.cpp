#include "adapters/edge_settings.hpp"
#include "adapters/event_log.hpp"
#include "adapters/metrics_registry.hpp"
#include "adapters/settings_reader.hpp"
#include "apps/edge_process.hpp"

#include <gflags/gflags.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <csignal>
#include <cstdio>
#include <memory>
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
    "usage: siskin-edge --settings FILE [--check]\n"
    "Serves callers on the users' platform until SIGTERM or SIGINT; SIGHUP reads the settings again.\n"
    "  --settings FILE  settings of this instance (YAML)\n"
    "  --check          check the settings and exit\n"
    "  --help           show this text and exit\n"
    "  --version        show the version and exit\n"
    "exit codes: 0 graceful end or successful check; 1 wrong usage, wrong settings or failed start\n";

// Returns null when the settings file is not valid, and prints its errors.
std::unique_ptr<edge_settings> load(std::string const& file)
{
    auto const text = read_text_file(file);
    auto const settings = text ? read_edge_settings(text.assume_value(), file)
                               : read_result<edge_settings>(text.assume_error());
    if (!settings)
    {
        for (read_error const& error : settings.assume_error())
        {
            std::fprintf(stderr, "%s\n", to_string(error).c_str());
        }
        return nullptr;
    }
    return std::make_unique<edge_settings>(settings.assume_value());
}

int serve(edge_settings const& settings, std::string const& file)
{
    (void)std::signal(SIGPIPE, SIG_IGN);
    hold_stop_signals();
    event_log log(std::make_shared<spdlog::sinks::stdout_sink_mt>(), settings.log_level, {});
    metrics_registry metrics;
    edge_process process(
        settings, [file] { return load(file); }, log, metrics);
    std::string const error = process.run();
    if (!error.empty())
    {
        std::fprintf(stderr, "%s\n", error.c_str());
        return exit_failed;
    }
    return exit_ok;
}

} // namespace

} // namespace siskinusher

int main(int argc, char** argv)
{
    siskinusher::hold_reload_signal();
    gflags::AllowCommandLineReparsing();
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    if (FLAGS_help)
    {
        std::fputs(siskinusher::usage, stdout);
        return siskinusher::exit_ok;
    }
    if (FLAGS_version)
    {
        std::puts("siskin-edge " SISKIN_VERSION);
        return siskinusher::exit_ok;
    }
    if (argc > 1 || FLAGS_settings.empty())
    {
        std::fputs(siskinusher::usage, stderr);
        return siskinusher::exit_failed;
    }
    auto const settings = siskinusher::load(FLAGS_settings);
    if (!settings)
    {
        return siskinusher::exit_failed;
    }
    return FLAGS_check ? siskinusher::exit_ok : siskinusher::serve(*settings, FLAGS_settings);
}
