#include "tests/standins/demo_run.hpp"
#include "tests/standins/deployment.hpp"
#include "tests/standins/http_server.hpp"

#include <gflags/gflags.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <ctime>
#include <exception>
#include <filesystem>
#include <string>
#include <thread>

#include <unistd.h>

DEFINE_string(deployment, "authority", "authority or kidskin");
DEFINE_string(mode, "demo",
              "demo: sends work, checks every answer and ends; up: runs until SIGINT or SIGTERM");
DEFINE_string(text, "", "operators' text; default: examples/<deployment>.yaml");
DEFINE_string(binaries, "",
              "folder of siskin-entry and siskinctl; default: the parent of this program's folder");
DEFINE_uint32(time_limit_s, 58, "time after which the demo ends as failed");

using namespace siskinusher::standins;

namespace
{

/// Ends the program on a stop signal and at the time limit, even while the main thread is blocked.
void watch_signals_and_time_limit(std::string const& folder)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    auto const end = std::chrono::steady_clock::now() + std::chrono::seconds{FLAGS_time_limit_s};
    timespec const step{1, 0};
    int received = -1;
    // sigtimedwait also returns early when the process is stopped and continued, so the clock is checked too.
    while (received < 0 && std::chrono::steady_clock::now() < end)
    {
        received = ::sigtimedwait(&signals, nullptr, &step);
    }
    kill_all_children();
    if (received < 0)
    {
        std::fprintf(stderr, "the time limit has passed; settings and logs are kept in %s\n", folder.c_str());
        ::_exit(3);
    }
    std::error_code ignored;
    std::filesystem::remove_all(folder, ignored);
    std::fprintf(stderr, "stopped by signal %d\n", received);
    ::_exit(128 + received);
}

deployment_settings settings_from_flags()
{
    auto const standins = std::filesystem::read_symlink("/proc/self/exe").parent_path();
    deployment_settings settings;
    settings.text_file = FLAGS_text.empty() ? "examples/" + FLAGS_deployment + ".yaml" : FLAGS_text;
    settings.standins = standins.string();
    settings.binaries = FLAGS_binaries.empty() ? standins.parent_path().string() : FLAGS_binaries;
    settings.engines = FLAGS_deployment == "kidskin" ? 3 : 4;
    return settings;
}

void print_addresses(deployment& fleet)
{
    std::printf("%-24s %s\n", "platform", fleet.platform().c_str());
    for (auto* group : {&fleet.instances(), &fleet.engines(), &fleet.services()})
    {
        for (auto const& server : *group)
        {
            std::printf("%-24s %s %s\n", server.name.c_str(), server.address.c_str(),
                        server.peer_address.c_str());
        }
    }
    std::printf("settings and logs: %s\nrunning until SIGINT or SIGTERM\n", fleet.folder().c_str());
    std::fflush(stdout);
}

int run_deployment()
{
    deployment fleet(settings_from_flags());
    bool const demo = FLAGS_mode == "demo";
    if (demo)
    {
        std::thread(watch_signals_and_time_limit, fleet.folder()).detach();
    }
    try
    {
        fleet.start();
        auto const missing = fleet.wait_ready(std::chrono::seconds{12});
        if (!missing.empty())
        {
            throw std::runtime_error("not ready:" + missing);
        }
    }
    catch (std::exception const& error)
    {
        std::fprintf(stderr, "%s\nsettings and logs are kept in %s\n", error.what(), fleet.folder().c_str());
        fleet.keep_folder();
        return 1;
    }
    if (!demo)
    {
        print_addresses(fleet);
        wait_for_stop_signal();
        fleet.stop(std::chrono::seconds{4});
        return 0;
    }
    bool const right = demo_run(fleet).run();
    if (!right)
    {
        std::fprintf(stderr, "settings and logs are kept in %s\n", fleet.folder().c_str());
        fleet.keep_folder();
    }
    return right ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("runs a whole deployment on loopback: stand-ins and nine instances");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if ((FLAGS_deployment != "authority" && FLAGS_deployment != "kidskin") ||
        (FLAGS_mode != "demo" && FLAGS_mode != "up"))
    {
        std::fprintf(stderr, "--deployment must be authority or kidskin, and --mode demo or up\n");
        return 2;
    }
    block_stop_signals();
    std::signal(SIGPIPE, SIG_IGN);
    try
    {
        return run_deployment();
    }
    catch (std::exception const& error)
    {
        std::fprintf(stderr, "%s\n", error.what());
        return 1;
    }
}
