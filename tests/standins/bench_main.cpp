#include "apps/bench_figures.hpp"
#include "tests/standins/deployment.hpp"
#include "tests/standins/http_call.hpp"
#include "tests/standins/http_server.hpp"
#include "tests/standins/target_text.hpp"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <stdexcept>
#include <thread>

DEFINE_string(parts, "latency,streams,idle,configuration", "figures to measure, separated by commas");
DEFINE_string(binaries, "", "folder of the shipped programs; default: the parent of this program's folder");
DEFINE_string(text, "examples/authority.yaml", "idle: operators' text of the nine-instance deployment");
DEFINE_uint32(requests, 1000, "latency: requests of each kind");
DEFINE_uint32(streams, 320, "streams: open streams");
DEFINE_uint32(seconds, 10, "length of each measurement");
DEFINE_uint32(models, 150, "configuration: models");
DEFINE_uint32(adapters, 10000, "configuration: adapters");

using namespace siskinusher;
using namespace siskinusher::standins;

namespace
{

using nlohmann::json;
using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;
using std::chrono::seconds;

bool selected(char const* part)
{
    return ("," + FLAGS_parts + ",").find(std::string(",") + part + ",") != std::string::npos;
}

double ms_since(clock_type::time_point start)
{
    return std::chrono::duration<double, std::milli>(clock_type::now() - start).count();
}

deployment_settings base_settings(std::string const& text_file)
{
    auto const standins = std::filesystem::read_symlink("/proc/self/exe").parent_path();
    deployment_settings settings;
    settings.text_file = text_file;
    settings.standins = standins.string();
    settings.binaries = FLAGS_binaries.empty() ? standins.parent_path().string() : FLAGS_binaries;
    return settings;
}

/// A temporary folder for configuration texts and logs; the destructor removes it.
class temporary_folder
{
public:
    temporary_folder()
    {
        path_ = (std::filesystem::temp_directory_path() / "siskin-bench-XXXXXX").string();
        if (::mkdtemp(path_.data()) == nullptr)
        {
            throw std::runtime_error("cannot make a folder like " + path_);
        }
    }
    ~temporary_folder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    }
    temporary_folder(temporary_folder const&) = delete;
    temporary_folder& operator=(temporary_folder const&) = delete;

    std::string write(std::string const& name, std::string const& text) const
    {
        std::ofstream(file(name)) << text;
        return file(name);
    }
    std::string file(std::string const& name) const { return path_ + "/" + name; }

private:
    std::string path_;
};

/// Runs a program to its end and prints its output; false when it failed.
bool run_program(std::string const& name, std::vector<std::string> const& command, std::string const& log,
                 milliseconds limit)
{
    child_process program(name, command, log);
    bool const ended = program.wait(limit);
    std::ifstream output(log);
    std::ostringstream text;
    text << output.rdbuf();
    std::printf("%s%s", text.str().c_str(), ended ? "" : "the time limit has passed\n");
    std::fflush(stdout);
    return ended && program.exit_code() == 0;
}

void start_fleet(deployment& fleet)
{
    fleet.start();
    auto const missing = fleet.wait_ready(seconds{20});
    if (!missing.empty())
    {
        throw std::runtime_error("not ready:" + missing);
    }
}

/// Waits until a request for the model succeeds, which needs the model to be loaded.
void wait_for_model(std::string const& address, std::string const& model)
{
    json const request{{"model", model},
                       {"max_tokens", 1},
                       {"messages", json::array({{{"role", "user"}, {"content", "first"}}})}};
    auto const until = clock_type::now() + seconds{20};
    while (clock_type::now() < until)
    {
        auto const answer = http_call(address, "POST", "/v1/chat/completions", request.dump());
        if (answer && answer->status == 200)
        {
            return;
        }
        std::this_thread::sleep_for(milliseconds{100});
    }
    throw std::runtime_error(model + " is not served");
}

bool measure_one_instance(temporary_folder const& folder)
{
    auto settings =
        base_settings(folder.write("one.yaml", numbered_text({{"here", "near"}}, "general", 8, 16)));
    settings.instances = 1;
    settings.engines = 1;
    settings.services = 0;
    settings.first_token = 2;
    settings.token_interval = 33;
    settings.places = 1000;
    deployment fleet(settings);
    start_fleet(fleet);
    auto const& entry = fleet.instances().front();
    wait_for_model(entry.address, "model-000");
    std::vector<std::string> const common{settings.binaries + "/siskin-bench", "--target=" + entry.address,
                                          "--direct=" + fleet.engines().front().address, "--model=model-000"};
    bool right = true;
    if (selected("latency"))
    {
        auto command = common;
        command.push_back("--requests=" + std::to_string(FLAGS_requests));
        right = run_program("siskin-bench", command, folder.file("latency.log"), seconds{120}) && right;
    }
    if (selected("streams"))
    {
        auto command = common;
        command.insert(command.end(), {"--mode=streams", "--streams=" + std::to_string(FLAGS_streams),
                                       "--seconds=" + std::to_string(FLAGS_seconds),
                                       "--pid=" + std::to_string(entry.process->process_id())});
        right = run_program("siskin-bench", command, folder.file("streams.log"), seconds{180}) && right;
    }
    return right;
}

/// Counters of /metrics whose name begins with siskin_peer or siskin_store, by name and label.
std::map<std::string, double> control_counters(std::string const& address)
{
    std::map<std::string, double> result;
    auto const answer = http_call(address, "GET", "/metrics");
    std::istringstream lines(answer ? answer->body : "");
    std::string line;
    while (std::getline(lines, line))
    {
        bool const control = line.rfind("siskin_peer", 0) == 0 || line.rfind("siskin_store", 0) == 0;
        auto const space = line.rfind(' ');
        if (control && space != std::string::npos)
        {
            result[line.substr(0, space)] = std::stod(line.substr(space + 1));
        }
    }
    return result;
}

json platform_calls(deployment const& fleet)
{
    auto const answer = http_call(fleet.platform(), "GET", "/counts");
    auto const document = json::parse(answer ? answer->body : "", nullptr, false);
    return document.is_object() ? document["calls"] : json::object();
}

std::string status_field(deployed_server const& instance, std::string const& key, char const* field)
{
    auto const answer = http_call(instance.address, "GET", "/operator/status", {},
                                  {{"Authorization", "Bearer " + key}}, milliseconds{1000});
    auto const document = json::parse(answer ? answer->body : "", nullptr, false);
    return document.is_object() ? document.value(field, std::string()) : std::string();
}

void measure_idle(deployment& fleet)
{
    std::this_thread::sleep_for(seconds{5}); // After 5 s the initial loads and the first reports are done.
    std::map<std::string, std::map<std::string, double>> counters;
    std::map<std::string, double> cpu;
    auto const calls = platform_calls(fleet);
    auto const start = clock_type::now();
    for (auto const& instance : fleet.instances())
    {
        counters[instance.name] = control_counters(instance.address);
        cpu[instance.name] =
            read_process_usage(instance.process->process_id()).value_or(process_usage{}).cpu_seconds;
    }
    std::this_thread::sleep_for(seconds{FLAGS_seconds});
    double const passed = ms_since(start) / 1000.0;
    for (auto const& instance : fleet.instances())
    {
        auto const usage = read_process_usage(instance.process->process_id()).value_or(process_usage{});
        std::printf("idle instance=%s holds_lease=%s core_share=%.4f rss_kb=%llu threads=%u",
                    instance.name.c_str(),
                    status_field(instance, fleet.operator_key(), "holds_lease").c_str(),
                    (usage.cpu_seconds - cpu[instance.name]) / passed,
                    static_cast<unsigned long long>(usage.resident_bytes / 1024), usage.threads);
        for (auto const& counter : control_counters(instance.address))
        {
            double const rate = (counter.second - counters[instance.name][counter.first]) / passed;
            if (rate > 0.0)
            {
                std::printf(" %s/s=%.1f", counter.first.c_str(), rate);
            }
        }
        std::printf(" load=%.1f\n", load_average());
    }
    std::printf("idle platform calls of the whole deployment:");
    auto const after = platform_calls(fleet);
    for (auto const& call : after.items())
    {
        std::printf(" %s/s=%.2f", call.key().c_str(),
                    (call.value().get<double>() - calls.value(call.key(), 0.0)) / passed);
    }
    auto const list = http_call(fleet.platform(), "GET", "/instances");
    auto const report = http_call(fleet.engines().front().address, "GET", "/engine/report");
    std::printf(
        "\nidle instance_list_bytes=%zu rows=%zu engine_report_bytes=%zu (bodies of one answer each)\n",
        list ? list->body.size() : 0,
        fleet.instances().size() + fleet.engines().size() + fleet.services().size(),
        report ? report->body.size() : 0);
    std::fflush(stdout);
}

bool measure_configuration(deployment& fleet, temporary_folder const& folder)
{
    auto const file =
        folder.write("target.yaml", numbered_text(fleet.facts().data_centres, fleet.facts().engine_pool,
                                                  FLAGS_models, FLAGS_adapters));
    std::printf("configuration models=%u adapters=%u bytes=%llu\n", FLAGS_models, FLAGS_adapters,
                static_cast<unsigned long long>(std::filesystem::file_size(file)));
    auto const binary = base_settings(file).binaries + "/siskinctl";
    bool const valid = run_program("siskinctl", {binary, "validate", "--time", file},
                                   folder.file("validate.log"), seconds{30});
    auto const before = status_field(fleet.instances().front(), fleet.operator_key(), "config_generation");
    auto const start = clock_type::now();
    double applied_ms = 0.0;
    try
    {
        fleet.apply_text(file);
        applied_ms = ms_since(start);
    }
    catch (std::exception const& error)
    {
        std::printf("configuration apply failed: %s\n", error.what());
        return false;
    }
    double first_ms = 0.0;
    std::size_t in_force = 0;
    while (in_force < fleet.instances().size() && ms_since(start) < 30000.0)
    {
        in_force = 0;
        for (auto const& instance : fleet.instances())
        {
            auto const now = status_field(instance, fleet.operator_key(), "config_generation");
            in_force += !now.empty() && now != before ? 1 : 0;
        }
        first_ms = first_ms <= 0.0 && in_force > 0 ? ms_since(start) : first_ms;
        std::this_thread::sleep_for(milliseconds{5});
    }
    std::printf(
        "configuration apply_ms=%.0f first_in_force_ms=%.0f all_in_force_ms=%.0f instances=%zu of %zu "
        "(times from the start of siskinctl) load=%.1f\n",
        applied_ms, first_ms, ms_since(start), in_force, fleet.instances().size(), load_average());
    for (auto const& instance : fleet.instances())
    {
        auto const usage = read_process_usage(instance.process->process_id()).value_or(process_usage{});
        std::printf("configuration instance=%s rss_kb=%llu\n", instance.name.c_str(),
                    static_cast<unsigned long long>(usage.resident_bytes / 1024));
    }
    return valid && in_force == fleet.instances().size();
}

bool measure_nine_instances(temporary_folder const& folder)
{
    deployment fleet(base_settings(FLAGS_text));
    start_fleet(fleet);
    if (selected("idle"))
    {
        measure_idle(fleet);
    }
    return !selected("configuration") || measure_configuration(fleet, folder);
}

bool measure()
{
    temporary_folder const folder;
    bool right = true;
    if (selected("latency") || selected("streams"))
    {
        right = measure_one_instance(folder);
    }
    if (selected("idle") || selected("configuration"))
    {
        right = measure_nine_instances(folder) && right;
    }
    return right;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("starts small deployments on loopback, measures them and prints the figures");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    try
    {
        return measure() ? 0 : 1;
    }
    catch (std::exception const& error)
    {
        std::fprintf(stderr, "%s\n", error.what());
        return 1;
    }
}
