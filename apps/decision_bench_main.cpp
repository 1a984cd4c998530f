#include "apps/flag_range.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/random_source.hpp"
#include "decision/request_controller.hpp"

DEFINE_uint32(engines, 127, "engines of the data centre (1 to 2000)");
DEFINE_uint32(models, 150, "models (1 to 5000)");
DEFINE_uint32(adapters, 10000, "adapters (0 to 100000)");
DEFINE_uint32(models_per_engine, 5, "models that each engine has loaded (1 to 100)");
DEFINE_uint32(adapters_per_engine, 400, "adapters that each engine has loaded (0 to 5000)");
DEFINE_uint32(instances, 360, "live instances of the fleet (1 to 5000)");
DEFINE_uint32(open, 312, "requests in flight at this instance (1 to 5000)");
DEFINE_uint32(requests, 200000, "requests to measure (1000 to 5000000)");
DEFINE_uint64(seed, 1, "seed of the random requests");

namespace
{

using namespace siskinusher;
using clock_type = std::chrono::steady_clock;

// Enough places at each engine for all requests in flight, so that each measured request is routed.
constexpr unsigned places = 64;

std::string numbered(char const* prefix, std::uint64_t number)
{
    return prefix + std::to_string(number);
}

std::shared_ptr<fleet_config> make_config()
{
    auto config = std::make_shared<fleet_config>();
    config->data_centres = {"a"};
    config->region_of["a"] = "ra";
    for (unsigned i = 0; i < FLAGS_models; ++i)
    {
        model_config model;
        model.name = numbered("model-", i);
        model.checkpoint = model.name;
        model.max_replicas = 100;
        config->models[model.name] = model;
    }
    for (unsigned i = 0; i < FLAGS_adapters; ++i)
    {
        std::string const name = numbered("adapter-", i);
        config->adapters[name] = {name, numbered("model-", i % FLAGS_models), 1};
    }
    return config;
}

engine_report make_report(unsigned engine)
{
    engine_report report;
    report.name = numbered("engine-", engine);
    report.boot_id = 1;
    report.places = places;
    for (unsigned i = 0; i < FLAGS_models_per_engine; ++i)
    {
        report.models[numbered("model-", (engine * FLAGS_models_per_engine + i) % FLAGS_models)] = 1;
    }
    if (FLAGS_adapters == 0)
    {
        return report;
    }
    for (unsigned i = 0; i < FLAGS_adapters_per_engine; ++i)
    {
        // Adapters of the loaded models, spread over the engines that have the model.
        unsigned const model =
            (engine * FLAGS_models_per_engine + i % FLAGS_models_per_engine) % FLAGS_models;
        unsigned const adapter = model + FLAGS_models * (i / FLAGS_models_per_engine);
        if (adapter < FLAGS_adapters)
        {
            report.adapters[numbered("adapter-", adapter)] = 1;
        }
    }
    return report;
}

struct samples
{
    std::vector<double> us;

    double quantile(double q)
    {
        auto const at = us.begin() + static_cast<std::ptrdiff_t>(q * static_cast<double>(us.size() - 1));
        std::nth_element(us.begin(), at, us.end());
        return *at;
    }
    double mean() const
    {
        double sum = 0.0;
        for (double value : us)
        {
            sum += value;
        }
        return sum / static_cast<double>(us.size());
    }
};

template <typename Step>
void measure(samples& into, Step step)
{
    auto const start = clock_type::now();
    step();
    into.us.push_back(std::chrono::duration<double, std::micro>(clock_type::now() - start).count());
}

bool flags_valid()
{
    return in_range("engines", FLAGS_engines, 1, 2000) && in_range("models", FLAGS_models, 1, 5000) &&
           in_range("adapters", FLAGS_adapters, 0, 100000) &&
           in_range("models_per_engine", FLAGS_models_per_engine, 1, 100) &&
           in_range("adapters_per_engine", FLAGS_adapters_per_engine, 0, 5000) &&
           in_range("instances", FLAGS_instances, 1, 5000) && in_range("open", FLAGS_open, 1, 5000) &&
           in_range("requests", FLAGS_requests, 1000, 5000000);
}

int measure_decisions()
{
    steady_time now{seconds(100)};
    outbox out;
    request_controller controller(request_settings{{"i0", 1}, "a"}, FLAGS_seed);
    std::vector<member> members;
    for (unsigned i = 0; i < FLAGS_instances; ++i)
    {
        members.push_back({{numbered("i", i), 1}, "a", "127.0.0.1:1", "127.0.0.1:2", false});
    }
    controller.on_members(now, members);
    controller.on_config(now, make_config(), out);
    std::vector<listed_server> rows;
    std::vector<engine_report> reports;
    for (unsigned i = 0; i < FLAGS_engines; ++i)
    {
        reports.push_back(make_report(i));
        listed_server row;
        row.name = reports.back().name;
        row.address = "127.0.0.1:3";
        row.data_centre = "a";
        rows.push_back(std::move(row));
    }
    controller.on_instances(now, rows, out);
    for (engine_report const& report : reports)
    {
        controller.on_report(now, report, out);
    }

    random_source random(FLAGS_seed);
    std::vector<std::pair<request_number, unsigned>> running;
    samples routing;
    samples finishing;
    samples reporting;
    samples ticking;
    std::uint64_t routed = 0;
    request_number number = 0;
    std::size_t next_report = 0;
    while (number < FLAGS_requests)
    {
        now += microseconds(500);
        request_profile profile;
        profile.number = ++number;
        if (FLAGS_adapters > 0 && random.below(2) == 0)
        {
            engine_report const& host = reports[random.below(reports.size())];
            if (!host.adapters.empty())
            {
                auto chosen = host.adapters.begin();
                std::advance(chosen, static_cast<std::ptrdiff_t>(random.below(host.adapters.size())));
                profile.adapter = chosen->first;
                profile.model = numbered("model-", std::stoul(chosen->first.substr(8)) % FLAGS_models);
            }
        }
        if (profile.model.empty())
        {
            profile.model = numbered("model-", random.below(FLAGS_models));
        }
        profile.request_rank = all_ranks[random.below(rank_count)];
        profile.repeatable = true;
        profile.time_to_deadline = seconds(30);
        profile.fingerprint = random.next();
        profile.prefix_hash = random.below(1000) + 1;
        out.clear();
        measure(routing, [&] { controller.on_request(now, profile, out); });
        for (action const& item : out)
        {
            if (auto const* const sent = std::get_if<dispatch>(&item))
            {
                running.emplace_back(sent->number, sent->attempt);
                ++routed;
            }
        }
        if (running.size() > FLAGS_open)
        {
            std::size_t const i = random.below(running.size());
            attempt_finished finished;
            finished.number = running[i].first;
            finished.attempt = running[i].second;
            running[i] = running.back();
            running.pop_back();
            out.clear();
            measure(finishing, [&] { controller.on_attempt_finished(now, finished, out); });
        }
        if (number % 4 == 0)
        {
            engine_report& report = reports[next_report++ % reports.size()];
            // At the target load, the contents of an engine change in fewer than one of a thousand reports.
            report.revision += next_report % 1000 == 0 ? 1 : 0;
            out.clear();
            measure(reporting, [&] { controller.on_report(now, report, out); });
        }
        if (number % 100 == 0)
        {
            out.clear();
            measure(ticking, [&] { controller.on_tick(now, out); });
        }
        controller.take_load_requests();
    }
    std::printf("engines=%u models=%u adapters=%u open=%u requests=%u routed=%llu "
                "route_us_mean=%.2f route_us_p50=%.2f route_us_p99=%.2f finish_us_mean=%.2f "
                "report_us_mean=%.2f tick_us_mean=%.2f\n",
                FLAGS_engines, FLAGS_models, FLAGS_adapters, FLAGS_open, FLAGS_requests,
                static_cast<unsigned long long>(routed), routing.mean(), routing.quantile(0.5),
                routing.quantile(0.99), finishing.mean(), reporting.mean(), ticking.mean());
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Measures the routing decisions of one instance; prints one line of key=value "
                            "figures. Times are in microseconds.");
    gflags::SetVersionString(SISKIN_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return flags_valid() ? measure_decisions() : 2;
}
