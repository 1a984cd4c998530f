#include "adapters/settings_reader.hpp"
#include "adapters/yaml_tree.hpp"
#include "apps/ctl_check.hpp"
#include "apps/ctl_commands.hpp"
#include "apps/ctl_http.hpp"

#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

DEFINE_string(settings, "", "YAML file with object_store, instance_list, instances and operator_key");
DEFINE_string(store, "", "address of the object store; replaces the one of the settings");
DEFINE_int64(expect_generation, -1, "apply: write only as the successor of this generation");
DEFINE_string(request, "", "explain: id of a request");
DEFINE_string(model, "", "explain: name of a model");
DEFINE_bool(time, false, "validate: print how long the checks took");
DEFINE_string(against, "", "check: file with the version in force, to compare with");
DEFINE_bool(json, false, "check: print JSON");
DECLARE_bool(help);
DECLARE_bool(version);

namespace GFLAGS_NAMESPACE
{
// The function that the library calls on a wrong command line. The library does not declare it in its
// headers.
extern void (*gflags_exitfunc)(int);
} // namespace GFLAGS_NAMESPACE

namespace
{

using namespace siskinusher;

constexpr char const* usage =
    R"(siskinctl changes and inspects the fleet.

usage: siskinctl [--settings FILE] [--store IP:PORT] COMMAND

commands:
  validate FILE [--time]    check the operators' text
  diff FILE                 show what the text would change, by item
  apply FILE [--expect-generation N]
                            show the difference and make the text the accepted one
  status                    show the accepted generation and the state of each instance
  drain INSTANCE            let an instance, by name or address, finish its requests and leave
  explain --request ID      show what was decided about a request
  explain --model NAME      show what was decided about a model
  check FILE [--against FILE] [--json]
                            check a configuration of siskin-edge, and compare it with the version in force

The operator key is read from the environment variable SISKIN_OPERATOR_KEY or from the settings file.
Exit codes: 0 done, 1 refused, 2 wrong usage, 3 store or instance unreachable.
Exit codes of check: 0 clean, 1 findings, 2 wrong usage or a file that cannot be read.
)";

exit_code wrong_usage(std::string const& message)
{
    std::cerr << message << "\nsiskinctl --help lists the commands\n";
    return exit_code::usage;
}

bool load_settings(operator_settings& settings)
{
    if (!FLAGS_settings.empty())
    {
        auto const text = read_text_file(FLAGS_settings);
        auto const read = text ? read_operator_settings(text.assume_value(), FLAGS_settings)
                               : read_result<operator_settings>(text.assume_error());
        if (!read)
        {
            for (auto const& error : read.assume_error())
            {
                std::cerr << to_string(error) << '\n';
            }
            return false;
        }
        settings = read.assume_value();
    }
    if (!FLAGS_store.empty())
    {
        settings.object_store_address = FLAGS_store;
        if (!is_address(FLAGS_store))
        {
            std::cerr << "wrong value " << quote(FLAGS_store)
                      << " for --store; accepted: " << accepted_address << '\n';
            return false;
        }
    }
    if (char const* const key = std::getenv("SISKIN_OPERATOR_KEY"))
    {
        settings.operator_key = key;
        if (!is_key(settings.operator_key))
        {
            std::cerr << "SISKIN_OPERATOR_KEY is wrong (not shown); accepted: 32 to 256 printable characters "
                         "without spaces\n";
            return false;
        }
    }
    return true;
}

exit_code run_command(std::vector<std::string> const& arguments)
{
    if (arguments.empty())
    {
        return wrong_usage("a command is missing");
    }
    std::string const& command = arguments.front();
    bool const takes_file =
        command == "validate" || command == "diff" || command == "apply" || command == "check";
    bool const takes_argument = takes_file || command == "drain";
    if (!takes_argument && command != "status" && command != "explain")
    {
        return wrong_usage("unknown command '" + command + "'");
    }
    if (arguments.size() != (takes_argument ? 2U : 1U))
    {
        return wrong_usage("'" + command + "' takes " + (takes_argument ? "one argument" : "no argument"));
    }
    if (command == "explain" && FLAGS_request.empty() == FLAGS_model.empty())
    {
        return wrong_usage("'explain' takes one of --request and --model");
    }
    if (command == "check")
    {
        return check_serving_config({arguments[1], FLAGS_against, FLAGS_json}, std::cout, std::cerr);
    }
    operator_settings settings;
    if (!load_settings(settings))
    {
        return exit_code::usage;
    }
    bool const calls_store = command == "diff" || command == "apply" || command == "status";
    if (calls_store && settings.object_store_address.empty())
    {
        return wrong_usage("'" + command + "' needs --settings or --store");
    }
    if (!takes_file && settings.operator_key.empty())
    {
        return wrong_usage("'" + command +
                           "' needs the operator key from SISKIN_OPERATOR_KEY or the settings file");
    }
    http_config_store store(settings.object_store_address);
    http_instances instances(settings.instance_list_address, settings.operator_key);
    ctl_commands commands(
        {store, instances, std::cout, std::cerr, [](duration time) { std::this_thread::sleep_for(time); }},
        settings);
    if (command == "validate")
    {
        return commands.validate(arguments[1], FLAGS_time);
    }
    if (command == "diff")
    {
        return commands.diff(arguments[1]);
    }
    if (command == "apply")
    {
        return commands.apply(arguments[1], FLAGS_expect_generation < 0
                                                ? std::nullopt
                                                : std::optional<std::uint64_t>(FLAGS_expect_generation));
    }
    if (command == "status")
    {
        return commands.status();
    }
    if (command == "drain")
    {
        return commands.drain(arguments[1]);
    }
    return FLAGS_request.empty() ? commands.explain("model", FLAGS_model)
                                 : commands.explain("request", FLAGS_request);
}

} // namespace

int main(int argc, char** argv)
{
    GFLAGS_NAMESPACE::gflags_exitfunc = [](int)
    { std::exit(static_cast<int>(siskinusher::exit_code::usage)); };
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    if (FLAGS_help)
    {
        std::cout << usage;
        return 0;
    }
    if (FLAGS_version)
    {
        std::cout << "siskinctl " << SISKIN_VERSION << '\n';
        return 0;
    }
    return static_cast<int>(run_command(std::vector<std::string>(argv + 1, argv + argc)));
}
