#include "adapters/bounded_log.hpp"
#include "tests/adapters/recording_ports.hpp"

#include <criterion/criterion.h>

#include <string>

using namespace siskinusher;

// Guards against a flood of one event that hides the others or takes much processor time, and against
// omitted lines that are not counted.
Test(bounded_log, flood_of_one_event_is_counted)
{
    recording_ports target;
    steady_time now{seconds{10}};
    bounded_log log(target, 5, [&now] { return now; });
    for (int i = 0; i < 1000; ++i)
    {
        log.write({"attempt", {{"n", std::to_string(i)}}});
    }
    log.write({"lease_lost", {}});
    cr_assert_eq(target.lines().size(), 6);
    now += seconds{1};
    log.write({"attempt", {{"n", "last"}}});
    cr_assert_eq(target.lines().size(), 8);
    cr_assert_eq(target.lines()[6], "log_lines_omitted of=attempt count=995");
}
