// Guards against invariants that break only under rare combinations of faults. Long runs draw requests and
// faults from a seed and check the invariants while events are handled.
#include "fleet/scenario.hpp"

#include "core/hash.hpp"

#include <gflags/gflags.h>

#include <chrono>
#include <cstdio>

DEFINE_uint64(seed, 1, "first seed");
DEFINE_uint64(seeds, 10, "number of seeds; ignored with --minutes");
DEFINE_double(minutes, 0, "start further seeds for this many minutes");
DEFINE_uint64(virtual_seconds, 120, "length of each run in seconds of virtual time");
DEFINE_uint64(faults, 0xFFFF, "bit mask of the fault kinds to inject, to narrow down a failing seed");

namespace siskinusher::testing
{

namespace
{

fleet_shape random_shape(random_source& random)
{
    fleet_shape shape;
    shape.data_centres.resize(1 + random.below(3));
    shape.instances_per_dc = 2 + static_cast<unsigned>(random.below(3));
    shape.engines_per_dc = 2 + static_cast<unsigned>(random.below(3));
    shape.places = 2 + static_cast<unsigned>(random.below(6));
    shape.checks_epoch = random.below(2) == 0;
    return shape;
}

std::vector<model_config> random_models(random_source& random)
{
    std::vector<model_config> models;
    for (int i = 1; i <= 8; ++i)
    {
        model_config model;
        model.name = "m" + std::to_string(i);
        model.checkpoint = model.name;
        model.bytes = 20 + random.below(30);
        model.max_replicas = 1 + static_cast<unsigned>(random.below(3));
        model.load_time_ms = 500 + static_cast<unsigned>(random.below(4000));
        models.push_back(model);
    }
    return models;
}

caller_request random_request(random_source& random, std::uint64_t body)
{
    caller_request request;
    request.body = body;
    request.request_rank = all_ranks.at(random.below(rank_count));
    request.time_to_deadline = milliseconds{500 + static_cast<int>(random.below(20000))};
    if (random.below(4) == 0)
    {
        request.service = "ledger";
        request.repeatable = random.below(3) == 0;
        request.key = random.below(4) == 0 ? "" : "k" + std::to_string(random.below(40));
        request.body = request.key.empty() ? body : stable_hash(request.key);
        return request;
    }
    request.model = "m" + std::to_string(1 + random.below(8));
    request.tokens = 5 + static_cast<unsigned>(random.below(80));
    if (request.model == "m1" && random.below(2) == 0)
    {
        request.adapter = "a" + std::to_string(1 + random.below(9));
    }
    return request;
}

template <typename Range>
auto const& pick(random_source& random, Range const& range)
{
    return range[random.below(range.size())];
}

void inject_random_fault(fake_fleet& fleet, random_source& random)
{
    std::uint64_t const kind = random.below(16);
    if ((FLAGS_faults >> kind & 1U) == 0)
    {
        return;
    }
    std::vector<std::string> const instances = fleet.instances();
    std::vector<std::string> const engines = fleet.engines();
    std::string const instance = pick(random, instances);
    std::string const data_centre = instance.substr(0, instance.find('-'));
    std::string const holder = fleet.holder(data_centre);
    std::string const victim = holder.empty() || random.below(2) == 0 ? instance : holder;
    duration const time = milliseconds{200 + static_cast<int>(random.below(15000))};
    switch (kind)
    {
    case 0:
        fleet.kill(victim);
        fleet.at(fleet.now() + time, [&fleet, victim] { fleet.start(victim); });
        break;
    case 1:
        fleet.pause(victim, time);
        break;
    case 2:
        fleet.pause_in_next_order(victim, time);
        break;
    case 3:
        fleet.cut(data_centre, "platform");
        break;
    case 4:
        fleet.cut(victim, "platform");
        break;
    case 5:
        fleet.cut(victim, data_centre);
        break;
    case 6:
        fleet.cut(data_centre, pick(random, instances).substr(0, 1) + "1");
        break;
    case 7:
        fleet.heal();
        break;
    case 8:
        fleet.store.down = !fleet.store.down;
        break;
    case 9:
        fleet.store.lose_answer = random.below(2) == 0 ? 0.0 : 0.3;
        break;
    case 10:
        fleet.kill_engine(pick(random, engines), time);
        break;
    case 11:
        fleet.lose_orders = random.below(2) == 0 ? 0.0 : 0.4;
        break;
    case 12:
        fleet.lose_messages = random.below(2) == 0 ? 0.0 : 0.2;
        break;
    case 13:
        fleet.lose_answers = random.below(2) == 0 ? 0.0 : 0.3;
        break;
    case 14:
    {
        fleet_config config = *fleet.config();
        config.models.at("m" + std::to_string(1 + random.below(8))).max_replicas =
            1 + static_cast<unsigned>(random.below(3));
        fleet.apply(config);
        break;
    }
    default:
        fleet.store_slowdown = random.below(2) == 0 ? 1.0 : 6.0;
        break;
    }
}

/// Returns true when no invariant was violated.
bool run_seed(std::uint64_t seed)
{
    random_source random(seed);
    fleet_shape shape = random_shape(random);
    for (std::size_t i = 0; i < shape.data_centres.size(); ++i)
    {
        shape.data_centres[i] = "d" + std::to_string(i + 1);
    }
    fake_fleet fleet(shape, base_config(random_models(random)), seed);
    std::uint64_t body = 10000;
    fleet.run_for(seconds{8});
    for (std::uint64_t step = 0; step < FLAGS_virtual_seconds * 10; ++step)
    {
        std::vector<std::string> const instances = fleet.instances();
        for (std::uint64_t i = random.below(4); i > 0; --i)
        {
            fleet.submit(pick(random, instances), random_request(random, ++body));
        }
        if (random.below(20) == 0)
        {
            inject_random_fault(fleet, random);
        }
        fleet.run_for(milliseconds{100});
    }
    fleet.heal();
    fleet.store.down = false;
    fleet.store.lose_answer = 0;
    fleet.lose_messages = 0;
    for (std::string const& each : fleet.instances())
    {
        fleet.start(each);
    }
    fleet.run_for(seconds{60});
    std::size_t answered = 0;
    for (request_outcome const& each : fleet.outcomes())
    {
        answered += each.state == final_state::answered ? 1U : 0U;
    }
    bool const good = fleet.violations().empty();
    if (!good)
    {
        for (std::string const& line : fleet.trace())
        {
            std::printf("  %s\n", line.c_str());
        }
        for (std::string const& each : fleet.violations())
        {
            std::printf("  violation %s\n", each.c_str());
        }
    }
    std::printf("%s seed=%lu requests=%zu answered=%zu loads=%u\n", good ? "ok  " : "FAIL", seed,
                fleet.outcomes().size(), answered, fleet.loads_ordered());
    std::fflush(stdout);
    return good;
}

} // namespace

int run_all()
{
    auto const started = std::chrono::steady_clock::now();
    int failed = 0;
    std::uint64_t done = 0;
    for (std::uint64_t seed = FLAGS_seed;; ++seed, ++done)
    {
        std::chrono::duration<double> const elapsed = std::chrono::steady_clock::now() - started;
        bool const more = FLAGS_minutes > 0 ? elapsed.count() < FLAGS_minutes * 60 : done < FLAGS_seeds;
        if (!more)
        {
            break;
        }
        failed += run_seed(seed) ? 0 : 1;
    }
    std::printf("%lu seeds, %d failed\n", done, failed);
    return failed == 0 ? 0 : 1;
}

} // namespace siskinusher::testing

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "test_soak [--seed=N] [--seeds=N | --minutes=N] [--virtual_seconds=N] [--faults=MASK]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return siskinusher::testing::run_all();
}
