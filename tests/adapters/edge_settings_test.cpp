#include "adapters/edge_settings.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>

using namespace siskinusher;

namespace
{

std::string const whole = R"(instance: { name: a-1, data_centre: a, region: north }
data_centres:
  - { name: a, region: north }
listen: { callers: "127.0.0.1:18001", readiness: "127.0.0.1:18002", peers: "127.0.0.1:18003" }
platform: { object_store: "127.0.0.1:17000", leaving_ms: 2500, change_ms: 2600 }
retries: { ratio: 0.2, window_s: 10, slack: 58 }
orders: { holder_gap_ms: 3000, load_window_s: 5 }
limits: { stop_s: 8, descriptors: 4100, cpu_share: 0.25 }
)";

std::string replaced(std::string const& from, std::string const& to)
{
    std::string text = whole;
    return text.replace(text.find(from), from.size(), to);
}

edge_settings read(std::string const& text)
{
    auto const result = read_edge_settings(text, "s.yaml");
    if (!result)
    {
        for (auto const& error : result.assume_error())
        {
            cr_log_error("reported: %s", to_string(error).c_str());
        }
        cr_assert_fail("the settings were not accepted");
    }
    return result.assume_value();
}

bool reports(std::string const& text, std::string const& expected)
{
    auto const result = read_edge_settings(text, "s.yaml");
    if (result)
    {
        return false;
    }
    auto const& errors = result.assume_error();
    return std::any_of(errors.begin(), errors.end(),
                       [&expected](read_error const& each) { return to_string(each) == expected; });
}

} // namespace

Test(edge_settings, reads_whole_numbers)
{
    edge_settings const settings = read(whole);
    cr_assert(settings.leaving_time == milliseconds{2500} && settings.change_time == milliseconds{2600});
    cr_assert(settings.retry_window == seconds{10} && settings.spare_retries == 58);
    cr_assert(settings.holder_gap == milliseconds{3000} && settings.stop_time == seconds{8});
    cr_assert(settings.descriptors == 4100);
}

// Guards against settings of an older build that are refused, and against a process that takes the memory of
// a larger machine for its own.
Test(edge_settings, memory_is_that_of_the_smallest_machine_when_it_is_not_named)
{
    cr_assert_eq(read(whole).memory_mb, 160U);
    cr_assert_eq(read(replaced("cpu_share: 0.25", "cpu_share: 0.25, memory_mb: 260.9")).memory_mb, 260U);
    cr_assert(reports(replaced("cpu_share: 0.25", "memory_mb: 31"),
                      "s.yaml:8: wrong value '31' for 'limits.memory_mb'; accepted: a number from 32 to "
                      "10000000"));
    cr_assert(!(read(whole) == read(replaced("cpu_share: 0.25", "cpu_share: 0.25, memory_mb: 260"))));
}

// Guards against instances that end at their start because a bound of the platform has a fraction, as on a
// deployment that is a scaled-down copy of a larger one.
Test(edge_settings, rounds_allowances_down)
{
    cr_assert(read(replaced("slack: 58", "slack: 33.1578947368421")).spare_retries == 33);
    cr_assert(read(replaced("slack: 58", "slack: 0.9")).spare_retries == 0);
    cr_assert(read(replaced("descriptors: 4100", "descriptors: 4100.9")).descriptors == 4100);
    cr_assert(read(replaced("leaving_ms: 2500", "leaving_ms: 2500.0019")).leaving_time ==
              microseconds{2500001});
    cr_assert(read(replaced("change_ms: 2600", "change_ms: 2600.5")).change_time == microseconds{2600500});
    cr_assert(read(replaced("stop_s: 8", "stop_s: 7.75")).stop_time == milliseconds{7750});
}

Test(edge_settings, rounds_times_to_wait_up)
{
    cr_assert(read(replaced("holder_gap_ms: 3000", "holder_gap_ms: 3000.0001")).holder_gap ==
              microseconds{3000001});
    cr_assert(read(replaced("window_s: 10", "window_s: 9.5")).retry_window == milliseconds{9500});
}

Test(edge_settings, names_the_figure_that_is_none)
{
    cr_assert(reports(replaced("slack: 58", "slack: false"),
                      "s.yaml:6: wrong value 'false' for 'retries.slack'; accepted: a number from 0 to "
                      "1000000"));
    cr_assert(
        reports(replaced("leaving_ms: 2500", "leaving_ms: 2.5s"),
                "s.yaml:5: wrong value '2.5s' for 'platform.leaving_ms'; accepted: a number from 100 to "
                "600000"));
    cr_assert(reports(replaced("stop_s: 8", "stop_s: .nan"),
                      "s.yaml:8: wrong value '.nan' for 'limits.stop_s'; accepted: a number from 1 to 3600"));
    cr_assert(reports(replaced("holder_gap_ms: 3000", "holder_gap_ms: -1"),
                      "s.yaml:7: wrong value '-1' for 'orders.holder_gap_ms'; accepted: a number from 0 to "
                      "600000"));
}

// Guards against settings of deployments without organisations that are refused, or that ask for a proof.
Test(edge_settings, organisations_may_be_absent)
{
    edge_settings const settings = read(whole);
    cr_assert(!settings.revocation_time.has_value());
    cr_assert(settings.quotas == (quota_bounds{seconds{1}, 0.0, 0.0}));
    cr_assert(!read(whole + "organisations: { revoke_fail_closed: false }\n").revocation_time.has_value());
}

// Guards against a bound that is read as another one: a longer one lets revoked keys work.
Test(edge_settings, organisations_are_read_as_written)
{
    std::string const section =
        "organisations: { revoke_ms: 5000, revoke_fail_closed: true, quota_window_s: 8, "
        "quota_excess: 0.1, quota_slack: 17000 }\n";
    edge_settings const settings = read(whole + section);
    cr_assert(settings.revocation_time == duration(milliseconds{5000}));
    cr_assert(settings.quotas.window == duration(seconds{8}));
    cr_assert_float_eq(settings.quotas.excess, 0.1, 1e-9);
    cr_assert_float_eq(settings.quotas.slack, 17000.0, 1e-9);
    cr_assert(!(settings == read(whole)));
    // With a fraction, as on a scaled-down deployment, the bound is not lengthened.
    std::string const fraction = "organisations: { revoke_ms: 1250.0009, revoke_fail_closed: true }\n";
    cr_assert(read(whole + fraction).revocation_time == duration(microseconds{1250000}));
    // Without fail-closed, keys that were taken away may work while the instance cannot know.
    std::string const open = "organisations: { revoke_ms: 5000, revoke_fail_closed: false }\n";
    cr_assert(!read(whole + open).revocation_time.has_value());
}

// Guards against a process that starts without the bound that its operators meant to set.
Test(edge_settings, faults_of_organisations_are_named)
{
    for (std::string const section :
         {"organisations: { revoke_fail_closed: true }",
          "organisations: { revoke_fail_closed: yes, revoke_ms: 5000 }",
          "organisations: { revoke_fail_closed: true, revoke_ms: 0 }",
          "organisations: { revoke_fail_closed: true, revoke_ms: -5 }",
          "organisations: { revoke_fail_closed: true, revoke_ms: .inf }", "organisations: { revoke_s: 5 }",
          "organisations: { quota_excess: -0.1 }", "organisations: { quota_window_s: 0 }"})
    {
        cr_expect_not(read_edge_settings(whole + section + "\n", "s.yaml"), "%s", section.c_str());
    }
}

// Guards against deployments whose settings do not name the section and that would be served differently.
Test(edge_settings, servers_start_slowly_only_when_asked_for)
{
    cr_assert(!read(whole).slow_start);
    cr_assert(!read(whole + "servers: {}\n").slow_start);
    cr_assert(!read(whole + "servers: { slow_start: false }\n").slow_start);
    edge_settings const asked = read(whole + "servers: { slow_start: true }\n");
    cr_assert(asked.slow_start && !(asked == read(whole)));
    cr_assert(reports(whole + "servers: { slow_start: yes }\n",
                      "s.yaml:9: wrong value 'yes' for 'servers.slow_start'; accepted: true, false"));
}
