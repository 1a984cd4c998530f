#include "adapters/settings_reader.hpp"

#include "core/random_source.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>

using namespace siskinusher;

namespace
{

std::string const good = R"(instance: {name: a-1, data_centre: a, region: north}
listen: {http: 127.0.0.1:18001, peer: 127.0.0.1:19001}
platform: {object_store: 127.0.0.1:17000, instance_list: 127.0.0.1:17000}
keys:
  cluster: "0123456789012345678901234567890c"
  operator: "0123456789012345678901234567890o"
peers:
  - {name: a-2, data_centre: a, http: 127.0.0.1:18002, peer: "[::1]:19002"}
limits: {connections: 7}
)";

std::string replaced(std::string const& from, std::string const& to)
{
    std::string text = good;
    return text.replace(text.find(from), from.size(), to);
}

bool reports(std::string const& text, std::string const& expected)
{
    auto const result = read_entry_settings(text, "s.yaml");
    if (result)
    {
        return false;
    }
    auto const& errors = result.assume_error();
    bool const found = std::any_of(errors.begin(), errors.end(),
                                   [&](read_error const& e) { return to_string(e) == expected; });
    if (!found)
    {
        for (auto const& error : errors)
        {
            cr_log_error("reported: %s", to_string(error).c_str());
        }
    }
    return found;
}

} // namespace

Test(settings_reader, reads_every_setting_and_applies_defaults)
{
    auto const result = read_entry_settings(good, "s.yaml");
    cr_assert(result.has_value());
    entry_settings const& settings = result.assume_value();
    cr_assert(settings.name == "a-1" && settings.region == "north");
    std::vector<peer_settings> const peers{{"a-2", "a", "127.0.0.1:18002", "[::1]:19002"}};
    cr_assert(settings.peers == peers);
    cr_assert(settings.connections == 7 && settings.queue == 2048 && settings.log_level == "info");
    cr_assert(settings == read_entry_settings(good, "other.yaml").assume_value());
}

// Guards against a message that does not lead the operator to the faulty line.
Test(settings_reader, names_file_line_and_accepted_range)
{
    cr_assert(reports(replaced("connections: 7", "connections: 0"),
                      "s.yaml:9: wrong value '0' for 'limits.connections'; accepted: an integer from 1 to "
                      "65536"));
    cr_assert(reports(replaced("connections: 7", "conections: 7"),
                      "s.yaml:9: unknown setting 'limits.conections'; accepted: connections, body_bytes, "
                      "queue"));
    cr_assert(reports(replaced(", region: north", ""),
                      "s.yaml:1: missing setting 'instance.region'; accepted: 1 to 64 letters, digits, '.', "
                      "'_' and '-', starting with a letter or digit"));
    cr_assert(reports(good + "listen: {}\n", "s.yaml:10: duplicate setting 'listen'; first on line 2"));
    cr_assert(reports(replaced("127.0.0.1:19001", "localhost:19001"),
                      "s.yaml:2: wrong value 'localhost:19001' for 'listen.peer'; accepted: IP number and "
                      "port from 1 to 65535, for example 127.0.0.1:18001"));
    cr_assert(
        reports(replaced("name: a-2", "name: a-1"), "s.yaml:8: peer 'a-1' has the name of this instance"));
    cr_assert(reports(good + "log: {level: verbose}\n",
                      "s.yaml:10: wrong value 'verbose' for 'log.level'; accepted: debug, info, warning, "
                      "error"));
    cr_assert(reports("a: [1\n", "s.yaml:2: not valid YAML: end of sequence flow not found"));
}

// Guards against errors that are reported one at a time, so that each one costs a start of the process.
Test(settings_reader, reports_all_faults_at_once_in_line_order)
{
    auto const result = read_entry_settings("instance: {name: a-1}\nlisten: {http: x}\nfoo: 1\n", "s.yaml");
    cr_assert(result.has_error());
    auto const& errors = result.assume_error();
    cr_assert_eq(errors.size(), 8); // 2 of instance, 2 of listen, platform, keys, peers, foo.
    cr_assert(std::is_sorted(errors.begin(), errors.end(),
                             [](read_error const& a, read_error const& b) { return a.line < b.line; }));
}

// Guards against a key in a log: messages about keys never contain their value.
Test(settings_reader, never_shows_a_key)
{
    auto const result = read_entry_settings(replaced("890c", ""), "s.yaml");
    cr_assert(result.has_error());
    for (auto const& error : result.assume_error())
    {
        cr_assert(error.message.find("0123456") == std::string::npos);
    }
}

// Guards against memory or stack exhaustion by a small hostile text.
Test(settings_reader, bounds_size_nesting_and_aliases)
{
    cr_assert(
        reports(std::string(1000001, ' '), "s.yaml: the text has 1000001 bytes; accepted: at most 1000000"));
    cr_assert(reports(std::string(100000, '['), "s.yaml:1: nested deeper than 16 levels"));
    std::string bomb = "a0: &a0 [x]\n";
    for (int i = 1; i < 12; ++i)
    {
        std::string const before = "*a" + std::to_string(i - 1);
        bomb += "a" + std::to_string(i) + ": &a" + std::to_string(i) + " [";
        for (int j = 0; j < 8; ++j)
        {
            bomb += before + (j < 7 ? "," : "]\n");
        }
    }
    cr_assert(reports(bomb, "s.yaml:7: more than 200000 values with aliases expanded"));
    cr_assert(reports("a: &a [*a]\n", "s.yaml:1: an alias refers to a value that contains it"));
}

// Guards against an exception or a crash on malformed input: 3,000 seeded mutations of a valid text.
Test(settings_reader, survives_mutated_texts)
{
    random_source random(20261204);
    static constexpr char alphabet[] = "[]{}:,&*!|>-?#'\"% \n\t\\ax0\x01\xff";
    for (int run = 0; run < 3000; ++run)
    {
        std::string text = good;
        for (std::uint64_t edits = 1 + random.below(6); edits > 0; --edits)
        {
            auto const at = random.below(text.size());
            switch (random.below(3))
            {
            case 0:
                text[at] = alphabet[random.below(sizeof(alphabet) - 1)];
                break;
            case 1:
                text.erase(at, random.below(20));
                break;
            default:
                text.insert(at, text.substr(random.below(text.size()), random.below(30)));
            }
        }
        auto const result = read_entry_settings(text, "s.yaml");
        cr_assert(result.has_value() || !result.assume_error().empty());
    }
}

// Guards against bytes that cannot be stored as a JSON string or that control a terminal.
Test(settings_reader, refuses_text_that_is_not_clean_utf8)
{
    std::string const message =
        "s.yaml:2: not UTF-8 text, or a control character other than tab and line end";
    for (std::string const bytes :
         {"\xff", "\xc0\x80", "\xed\xa0\x80", "\xf4\x90\x80\x80", "\xe2\x82", "\x1b"})
    {
        cr_assert(reports("a: 1\nb: " + bytes + "\n", message));
    }
    auto const clean = read_entry_settings("a: 1\nb: \xe2\x82\xac \xf0\x9f\x98\x80\n", "s.yaml");
    cr_assert(clean.assume_error().back().message.find("unknown setting 'b'") == 0);
}

Test(settings_reader, reads_the_settings_of_siskinctl)
{
    std::string const key = "0123456789012345678901234567890k";
    auto const result = read_operator_settings(
        "object_store: 127.0.0.1:7\ninstances: [127.0.0.1:8]\noperator_key: " + key + "\n", "o.yaml");
    operator_settings const expected{"127.0.0.1:7", "", {"127.0.0.1:8"}, key};
    cr_assert(result.has_value() && result.assume_value() == expected);
    auto const faulty = read_operator_settings("instances: [host:8]\noperator_key: short\n", "o.yaml");
    cr_assert(faulty.has_error() && faulty.assume_error().size() == 3);
    cr_assert(faulty.assume_error().at(2).message.find("short") == std::string::npos);
}
