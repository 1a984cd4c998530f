#include "decision/control_simulation.hpp"

#include <criterion/criterion.h>

#include <cstdlib>
#include <string>
#include <vector>

using namespace siskinusher;
using siskinusher::testing::control_simulation;

namespace
{

/// Injects faults of all kinds into two data centres for `steps` seconds, then lets the fleet recover.
class fault_run
{
public:
    // Three times as many as fit into the engines, so that evictions are always needed.
    static constexpr int models = 9;

    explicit fault_run(std::uint64_t seed) : world_(seed), random_(seed ^ 0x5EED)
    {
        world_.config.data_centres = {"a", "b"};
        for (int i = 0; i < models; ++i)
        {
            world_.add_model("m" + std::to_string(i), 30 + 3 * i, 1 + i % 3);
        }
        for (int i = 1; i <= 3; ++i)
        {
            world_.add_engine("ea" + std::to_string(i), 100, "a", i != 1);
            world_.add_engine("eb" + std::to_string(i), 100, "b", i != 1);
        }
        for (int i = 1; i <= 3; ++i)
        {
            world_.add_instance("a" + std::to_string(i), "a");
            world_.add_instance("b" + std::to_string(i), "b");
        }
    }

    void run(int steps)
    {
        world_.run(seconds{5});
        for (int step = 0; step < steps && world_.violation.empty(); ++step)
        {
            if (random_.below(3) == 0)
            {
                inject_fault();
            }
            send_load_requests_for_a_second();
        }
    }

    void recover()
    {
        world_.store_up = true;
        world_.lose_answer = world_.delay_write = world_.lose_message = world_.late_order =
            world_.stall_order = 0.0;
        world_.cut.clear();
        for (auto& node : world_.instances)
        {
            node.second.reaches_store = true;
            if (node.second.paused)
            {
                world_.resume(node.first);
            }
        }
        world_.run(seconds{40});
    }

    control_simulation& world() { return world_; }

private:
    std::string random_node()
    {
        auto it = world_.instances.begin();
        std::advance(it, random_.below(world_.instances.size()));
        return it->first;
    }

    void send_load_requests_for_a_second()
    {
        for (int i = 0; i < 5; ++i)
        {
            std::string const node = random_node();
            world_.send_load_request(node, "m" + std::to_string(random_.below(models)));
            world_.run(milliseconds{200});
        }
    }

    void inject_fault()
    {
        // Half of the faults affect a lease holder.
        std::string const holder = world_.holder(random_.below(2) == 0 ? "a" : "b");
        std::string const name = holder.empty() || random_.below(2) == 0 ? random_node() : holder;
        auto& node = world_.instances.at(name);
        switch (random_.below(10))
        {
        case 0:
            world_.store_up = !world_.store_up;
            break;
        case 1:
            node.reaches_store = !node.reaches_store;
            break;
        case 2:
        case 3:
            if (node.paused)
            {
                world_.resume(name);
            }
            else
            {
                world_.pause(name);
            }
            break;
        case 4:
            // Kills the instance and starts one under the same name or, in a quarter of the cases, under a
            // new name.
            world_.kill(name);
            world_.run(milliseconds{300});
            world_.add_instance(random_.below(4) == 0 ? name + "x" : name, node.data_centre);
            break;
        case 5:
        {
            std::string const other = random_node();
            auto const pair = std::minmax(name, other);
            if (!world_.cut.insert({pair.first, pair.second}).second)
            {
                world_.cut.clear();
            }
            break;
        }
        case 6:
            world_.lose_answer = 0.3 * random_.unit();
            world_.delay_write = 0.2 * random_.unit();
            break;
        case 7:
            world_.late_order = 0.5 * random_.unit();
            world_.stall_order = 0.3 * random_.unit();
            world_.lose_message = 0.3 * random_.unit();
            break;
        case 8:
            world_.report_lag = milliseconds{100 + random_.below(1900)};
            break;
        case 9:
            world_.restart_engine((random_.below(2) == 0 ? "ea" : "eb") +
                                  std::to_string(1 + random_.below(3)));
            break;
        default:
            break;
        }
    }

    control_simulation world_;
    random_source random_;
};

std::uint64_t runs()
{
    // A longer soak test sets CONTROL_RUNS; with the default the whole test takes a few seconds at most.
    char const* const text = std::getenv("CONTROL_RUNS");
    return text == nullptr ? 24 : std::strtoull(text, nullptr, 10);
}

} // namespace

// Guards against interleavings of faults after which two instances hold a lease, a model has more replicas
// than the configured number or the memory of an engine is overcommitted, and against a fleet that does not
// recover by itself afterwards.
Test(control_random, faults_break_no_bound_and_the_fleet_recovers)
{
    for (std::uint64_t seed = 1; seed <= runs(); ++seed)
    {
        fault_run run{seed};
        run.run(120);
        cr_expect(run.world().violation.empty(), "seed %lu: %s", static_cast<unsigned long>(seed),
                  run.world().violation.c_str());
        run.recover();
        cr_expect(run.world().violation.empty(), "seed %lu in recovery: %s", static_cast<unsigned long>(seed),
                  run.world().violation.c_str());
        for (auto const* centre : {"a", "b"})
        {
            cr_expect(!run.world().holder(centre).empty(), "seed %lu: nobody holds the lease of %s",
                      static_cast<unsigned long>(seed), centre);
        }
    }
}
