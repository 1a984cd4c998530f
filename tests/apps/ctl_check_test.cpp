#include "apps/ctl_check.hpp"
#include "tests/wire/backend_standin.hpp"

#include <criterion/criterion.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

using namespace siskinusher;
using standins::example_config;

namespace
{

// A file that is removed at the end of the test.
class text_file
{
public:
    explicit text_file(std::string const& text)
    {
        static int count = 0;
        name = "/tmp/siskin-check-" + std::to_string(::getpid()) + "-" + std::to_string(++count) + ".json";
        std::ofstream(name) << text;
    }
    ~text_file() { (void)std::remove(name.c_str()); }
    text_file(text_file const&) = delete;
    text_file& operator=(text_file const&) = delete;

    std::string name;
};

struct check_result
{
    exit_code code{exit_code::ok};
    std::string out;
    std::string err;
};

check_result check(std::string const& file, std::string const& against = {}, bool as_json = false)
{
    std::ostringstream out;
    std::ostringstream err;
    exit_code const code = check_serving_config({file, against, as_json}, out, err);
    return {code, out.str(), err.str()};
}

check_result check_text(std::string const& text)
{
    text_file const file(text);
    return check(file.name);
}

bool contains(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

// The example with an organisation that has this key.
nlohmann::json with_key(std::string const& key)
{
    nlohmann::json config = example_config(1);
    config["tenants"] = {{{"name", "lab"}, {"api_keys", {key}}, {"rate_per_s", 100}, {"burst", 100}}};
    return config;
}

} // namespace

// Guards against findings about a configuration that instances serve without fault, and a wrong exit code.
Test(ctl_check, sound_configuration_is_clean)
{
    check_result const result = check_text(example_config(1).dump());
    cr_expect(result.code == exit_code::ok, "%s", result.out.c_str());
    cr_expect(contains(result.out, "0 errors, 0 warnings"), "%s", result.out.c_str());
    cr_expect(result.out.find('\x1b') == std::string::npos);
}

// Guards against a text that instances would not take and that passes the check, and against faults without a
// place.
Test(ctl_check, faults_have_places)
{
    check_result const broken = check_text("{\"version\": 1,\n \"routes\": [}\n");
    cr_expect(broken.code == exit_code::refused);
    cr_expect(contains(broken.out, "line 2, column 13: this is not valid JSON"), "%s", broken.out.c_str());
    nlohmann::json config = example_config(1);
    config["routes"][1].erase("timeout_ms");
    config["routes"][3]["route_kind"] = "other";
    config["services"].push_back(7);
    check_result const refused = check_text(config.dump());
    cr_expect(refused.code == exit_code::refused);
    for (char const* const part :
         {"error: routes[1]: route '/again/' lacks", "error: routes[3]: route '/stream-once/'",
          "error: services[2]: a service has no name", "3 errors, 0 warnings"})
    {
        cr_expect(contains(refused.out, part), "%s in\n%s", part, refused.out.c_str());
    }
    check_result const other = check_text("[]");
    cr_expect(other.code == exit_code::refused && contains(other.out, "lacks version"), "%s",
              other.out.c_str());
    nlohmann::json odd = example_config(1);
    odd["routes"][0]["goal_ms"] = 1;
    std::string text = odd.dump();
    text.replace(text.find("\"goal_ms\":1,"), 12, "\"goal_ms\":1e999,");
    cr_expect(contains(check_text(text).out, "1 values cannot be read"), "%s", check_text(text).out.c_str());
    config = example_config(1);
    config["routes"][0]["service"] = "absent";
    check_result const found = check_text(config.dump());
    cr_expect(found.code == exit_code::refused);
    cr_expect(contains(found.out, "error: routes[0] '/once/': leads to the unknown service 'absent'"), "%s",
              found.out.c_str());
}

// Guards against a file that cannot be read and counts as sound or as faulty.
Test(ctl_check, unreadable_files_are_a_usage_error)
{
    text_file const sound(example_config(1).dump());
    cr_expect(check("/nonexistent/file").code == exit_code::usage);
    cr_expect(check("/tmp").code == exit_code::usage);
    cr_expect(check(sound.name, "/nonexistent/file").code == exit_code::usage);
    text_file const broken("{");
    check_result const result = check(sound.name, broken.name);
    cr_expect(result.code == exit_code::usage && contains(result.err, "nothing to compare with"), "%s",
              result.err.c_str());
}

// Guards against changes that are not shown, or count as findings.
Test(ctl_check, changes_from_the_version_in_force_are_shown)
{
    text_file const in_force(example_config(1).dump());
    nlohmann::json config = example_config(2);
    config["routes"][0]["service"] = "llm";
    config["routes"][1]["timeout_ms"] = 2000;
    text_file const wanted(config.dump());
    check_result const result = check(wanted.name, in_force.name);
    cr_expect(result.code == exit_code::ok);
    for (char const* const part :
         {": 2\nroutes that move to another service:\n  h/once/: 'plain' -> 'llm'\n",
          "routes that change their limits:\n  h/again/: timeout_ms 4000 ms -> 2000 ms"})
    {
        cr_expect(contains(result.out, part), "%s in\n%s", part, result.out.c_str());
    }
    auto const document = nlohmann::json::parse(check(wanted.name, in_force.name, true).out);
    cr_expect_eq(document["changes"].size(), 2);
    cr_expect(document["findings"].empty());
}

// Guards against a key of an organisation in any output, also of faulty texts.
Test(ctl_check, keys_are_never_printed)
{
    std::string const key = "k7b2secret";
    nlohmann::json twice = with_key(key);
    twice["tenants"].push_back({{"name", "other"}, {"api_keys", {key}}});
    nlohmann::json odd = with_key(key);
    odd["tenants"][0]["api_keys"] = key;
    nlohmann::json unit = with_key(key);
    unit["tenants"][0]["unit"] = "bytes";
    std::string const sound = with_key(key).dump();
    std::size_t const at = sound.find(key);
    text_file const in_force(with_key("k7b2secret-old").dump());
    std::string const texts[]{sound,
                              twice.dump(),
                              odd.dump(),
                              unit.dump(),
                              sound.substr(0, at + 5),
                              sound.substr(0, at + key.size() + 1),
                              "\"" + key + "\" x",
                              std::string(sound).replace(at, 0, "\x01")};
    for (std::string const& text : texts)
    {
        text_file const file(text);
        for (bool const as_json : {false, true})
        {
            check_result const result = check(file.name, in_force.name, as_json);
            cr_expect(!contains(result.out + result.err, "k7b2"), "%s%s", result.out.c_str(),
                      result.err.c_str());
        }
    }
    text_file const file(sound);
    cr_expect(contains(check(file.name, in_force.name).out, "1 keys are revoked"));
}

// Guards against a check that takes long on the configuration of a large deployment: 3,000 routes in a
// second.
Test(ctl_check, three_thousand_routes_take_less_than_a_second)
{
    nlohmann::json config = example_config(1);
    nlohmann::json const route = config["routes"][0];
    for (int i = 0; i < 3000; ++i)
    {
        nlohmann::json one = route;
        one["name"] = "r" + std::to_string(i);
        one["path_prefix"] = "/r" + std::to_string(i) + "/";
        config["routes"].push_back(one);
    }
    text_file const in_force(config.dump());
    for (auto& each : config["routes"])
    {
        each["timeout_ms"] = 3000;
    }
    text_file const wanted(config.dump());
    config["routes"][17].erase("host");
    text_file const faulty(config.dump());
    for (text_file const* const file : {&wanted, &faulty})
    {
        auto const begun = std::chrono::steady_clock::now();
        check_result const result = check(file->name, in_force.name);
        auto const took =
            std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begun);
        cr_expect(result.code == (file == &wanted ? exit_code::ok : exit_code::refused));
        cr_expect_lt(took.count(), 1000, "%lld ms", static_cast<long long>(took.count()));
    }
}
