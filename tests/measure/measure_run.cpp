#include "measure/measure_run.hpp"

#include "measure/baselines.hpp"

#include <algorithm>
#include <cstdio>
#include <set>

namespace siskinusher::testing
{

namespace
{

constexpr duration sample_interval = milliseconds{250};
constexpr duration window = seconds{10};
constexpr duration drain_time = seconds{65}; ///< Longer than the longest deadline.
constexpr duration network_time = milliseconds{1};
constexpr duration region_round_trip = milliseconds{16};

double to_seconds(duration time)
{
    return static_cast<double>(time.count()) / 1e6;
}

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
    {
        return 0;
    }
    std::sort(values.begin(), values.end());
    auto const position = static_cast<std::size_t>(share * static_cast<double>(values.size()));
    return values[std::min(position, values.size() - 1)];
}

/// Places one replica of each model, in the order of decreasing traffic, then further replicas while memory
/// lasts.
std::shared_ptr<static_plan> plan_static(measured_trace const& trace)
{
    auto plan = std::make_shared<static_plan>();
    std::map<std::string, std::uint64_t> free;
    for (std::string const& dc : trace.shape.data_centres)
    {
        for (unsigned i = 1; i <= trace.shape.engines_per_dc; ++i)
        {
            free[dc + "-engine-" + std::to_string(i)] = trace.shape.engine_memory - trace.shape.prefix_cache;
        }
    }
    std::vector<std::pair<double, std::string>> order;
    for (auto const& each : trace.weights)
    {
        order.emplace_back(-each.second, each.first);
    }
    std::sort(order.begin(), order.end());
    bool placed = true;
    for (unsigned round = 0; placed; ++round)
    {
        placed = false;
        for (auto const& each : order)
        {
            model_config const& model = trace.config.models.at(each.second);
            std::vector<std::string>& engines = (*plan)[each.second];
            std::string best;
            for (auto const& engine : free)
            {
                bool const has = std::count(engines.begin(), engines.end(), engine.first) != 0;
                if (!has && engine.second >= model.bytes && (best.empty() || engine.second > free[best]))
                {
                    best = engine.first;
                }
            }
            if (!best.empty() && engines.size() < model.max_replicas && engines.size() == round)
            {
                engines.push_back(best);
                free[best] -= model.bytes;
                placed = true;
            }
        }
    }
    for (auto each = plan->begin(); each != plan->end();)
    {
        each = each->second.empty() ? plan->erase(each) : std::next(each);
    }
    return plan;
}

class measured_run
{
public:
    measured_run(policy const& which, measured_trace const& trace, std::uint64_t seed)
        : trace_(trace), fleet_(shape_for(which, trace), config_for(which, trace), seed), start_(fleet_.now())
    {
    }

    run_result run(bool print_trace)
    {
        for (trace_request const& each : trace_.requests)
        {
            fleet_.at(start_ + each.sent, [this, &each] { submit(each); });
        }
        for (duration when = trace_.start_of(phase::normal); when < trace_.total(); when += sample_interval)
        {
            fleet_.at(start_ + when, [this] { sample(); });
        }
        fleet_.run_for(trace_.total() + drain_time);
        if (print_trace)
        {
            for (std::string const& line : fleet_.trace())
            {
                std::fprintf(stderr, "  %s\n", line.c_str());
            }
        }
        if (print_trace)
        {
            print_unserved();
        }
        add_cold_start_figures();
        add_service_figures();
        add_floor_figures();
        add_load_figures();
        result_.figures["region_requests"] = static_cast<double>(fleet_.region_requests());
        result_.figures["peer_messages"] = static_cast<double>(fleet_.messages());
        result_.figures["idle_engine_share"] =
            engine_samples_ == 0 ? 0
                                 : static_cast<double>(idle_samples_) / static_cast<double>(engine_samples_);
        for (auto const& each : fleet_.counters())
        {
            if (each.first.find("retries") != std::string::npos)
            {
                result_.figures["retries:" + each.first] = static_cast<double>(each.second);
            }
        }
        result_.violations = fleet_.violations();
        result_.figures["violations"] = static_cast<double>(result_.violations.size());
        return std::move(result_);
    }

private:
    static fleet_shape shape_for(policy const& which, measured_trace const& trace)
    {
        fleet_shape shape = trace.shape;
        shape.reports_checkpoints = which.name != "no_local_checkpoints";
        shape.carries_summaries = which.name != "no_forwarding";
        auto const config = std::make_shared<fleet_config const>(trace.config);
        if (which.name == "load_on_miss")
        {
            shape.make_core = [config](instance_settings const& settings, std::uint64_t seed)
            { return std::make_unique<load_on_miss_core>(settings, config, seed); };
        }
        if (which.name == "static_placement")
        {
            shape.make_core =
                [config, plan = plan_static(trace)](instance_settings const& settings, std::uint64_t seed)
            { return std::make_unique<static_placement_core>(settings, config, seed, plan); };
        }
        return shape;
    }

    static fleet_config config_for(policy const& which, measured_trace const& trace)
    {
        fleet_config config = trace.config;
        for (rank_policy& each : config.ranks)
        {
            each.floor = which.name == "no_floors" ? 0.0 : each.floor;
            each.ceiling = which.name == "no_ceilings" ? 1.0 : each.ceiling;
        }
        if (which.name == "one_replica_kept")
        {
            for (auto& each : config.models)
            {
                each.second.min_replicas = each.second.max_replicas > 3 ? 1 : 0;
            }
        }
        return config;
    }

    /// Prints the burst requests for newly active models that got no first token.
    void print_unserved() const
    {
        for (auto const& each : cold_)
        {
            request_outcome const& outcome = fleet_.outcomes()[each.first];
            if (!outcome.first_token)
            {
                std::fprintf(stderr,
                             "unserved sent=%.3f ended=%.3f at=%s number=%lu model=%s rank=%s reason=%s\n",
                             to_seconds(outcome.sent - start_), to_seconds(outcome.ended - start_),
                             outcome.instance.c_str(), outcome.number, outcome.request.model.c_str(),
                             std::string(to_string(outcome.request.request_rank)).c_str(),
                             std::string(to_string(outcome.why.reason)).c_str());
            }
        }
    }

    static std::string data_centre_of(std::string const& instance)
    {
        return instance.substr(0, instance.rfind('-'));
    }

    void submit(trace_request const& each)
    {
        duration bound{0};
        if (each.burst >= 0)
        {
            auto const key = std::make_pair(each.burst, data_centre_of(each.instance));
            auto const known = bounds_.find(key);
            bound = known == bounds_.end()
                        ? bounds_[key] = start_bound(each.request.model, data_centre_of(each.instance))
                        : known->second;
        }
        std::size_t const position = fleet_.submit(each.instance, each.request);
        open_.push_back(position);
        if (each.burst >= 0)
        {
            cold_.emplace_back(position, bound);
        }
    }

    /// Returns the shortest possible wait for a first token: the prefill, after either a load from the
    /// fastest checkpoint of the data centre on an idle system, or the round trip to a data centre that has
    /// the model loaded.
    duration start_bound(std::string const& model, std::string const& data_centre) const
    {
        duration const load = milliseconds{trace_.config.models.at(model).load_time_ms};
        duration nearest = load;
        for (engine_view const& each : fleet_.engine_views())
        {
            bool const own = each.data_centre == data_centre;
            if (each.models.count(model) != 0)
            {
                nearest = std::min(nearest, own ? duration{0} : region_round_trip);
            }
            auto const tier = each.checkpoints.find(model);
            if (own && tier != each.checkpoints.end())
            {
                double const share = fake_fleet::load_share(tier->second);
                nearest = std::min(
                    nearest, duration{static_cast<duration::rep>(share * static_cast<double>(load.count()))});
            }
        }
        return nearest + trace_.shape.prefill + network_time;
    }

    void sample()
    {
        auto const left_queue = [this](std::size_t position)
        {
            request_outcome const& outcome = fleet_.outcomes()[position];
            return outcome.started || outcome.state != final_state::open;
        };
        open_.erase(std::remove_if(open_.begin(), open_.end(), left_queue), open_.end());
        std::vector<engine_view> const engines = fleet_.engine_views();
        std::map<std::string, std::set<std::string>> loaded;
        std::map<std::string, std::set<std::string>> held;
        std::map<std::string, unsigned> replicas;
        for (engine_view const& each : engines)
        {
            loaded[each.data_centre].insert(each.models.begin(), each.models.end());
            held[each.data_centre].insert(each.models.begin(), each.models.end());
            held[each.data_centre].insert(each.loading.begin(), each.loading.end());
            for (auto const* const models : {&each.models, &each.loading})
            {
                for (std::string const& model : *models)
                {
                    ++replicas[model];
                }
            }
        }
        std::array<bool, rank_count> waits{};
        std::map<std::string, std::set<std::string>> wanted;
        for (std::size_t const position : open_)
        {
            request_outcome const& outcome = fleet_.outcomes()[position];
            if (fleet_.now() - outcome.sent < sample_interval)
            {
                continue; // The request may still be in transit.
            }
            std::string const dc = data_centre_of(outcome.instance);
            wanted[dc].insert(outcome.request.model);
            bool& rank_waits = waits.at(index_of(outcome.request.request_rank));
            rank_waits = rank_waits || loaded[dc].count(outcome.request.model) != 0;
        }
        waiting_.emplace_back(fleet_.now() - start_, waits);
        for (engine_view const& each : engines)
        {
            ++engine_samples_;
            if (each.running != 0 || each.waiting != 0 || !each.loading.empty())
            {
                continue;
            }
            auto const could_run = [&](std::string const& model)
            {
                bool const here = each.models.count(model) != 0;
                bool const loadable = held[each.data_centre].count(model) == 0 &&
                                      replicas[model] < trace_.config.models.at(model).max_replicas;
                return here || loadable;
            };
            auto const& models = wanted[each.data_centre];
            idle_samples_ += std::any_of(models.begin(), models.end(), could_run) ? 1U : 0U;
        }
    }

    void add_cold_start_figures()
    {
        std::vector<double> waits;
        std::vector<double> bounds;
        std::vector<double> normal_waits;
        std::vector<double> urgent_waits;
        std::size_t unserved = 0;
        for (auto const& each : cold_)
        {
            request_outcome const& outcome = fleet_.outcomes()[each.first];
            // A request without a first token counts as if it had waited until its deadline.
            double const wait = to_seconds(outcome.first_token ? *outcome.first_token - outcome.sent
                                                               : outcome.request.time_to_deadline);
            unserved += outcome.first_token ? 0U : 1U;
            waits.push_back(wait);
            bounds.push_back(to_seconds(each.second));
            if (outcome.request.request_rank == rank::urgent)
            {
                urgent_waits.push_back(wait);
            }
            if (trace_.phase_at(outcome.sent - start_) == phase::normal)
            {
                normal_waits.push_back(wait);
            }
        }
        result_.figures["cold_requests"] = static_cast<double>(waits.size());
        result_.figures["cold_unserved"] =
            waits.empty() ? 0 : static_cast<double>(unserved) / static_cast<double>(waits.size());
        for (auto const& each :
             {std::make_pair("p50", 0.5), std::make_pair("p99", 0.99), std::make_pair("p999", 0.999)})
        {
            result_.figures[std::string("cold_") + each.first] = percentile(waits, each.second);
            result_.figures[std::string("cold_normal_") + each.first] = percentile(normal_waits, each.second);
            result_.figures[std::string("cold_urgent_") + each.first] = percentile(urgent_waits, each.second);
            result_.figures[std::string("bound_") + each.first] = percentile(bounds, each.second);
        }
    }

    void add_service_figures()
    {
        static std::array<char const*, phase_count> const names{"warm_up", "normal", "background_flood",
                                                                "recovery", "urgent_flood"};
        std::array<std::array<double, rank_count>, phase_count> sent{};
        std::array<std::array<double, rank_count>, phase_count> in_time{};
        std::array<double, phase_count> executions{};
        std::array<double, phase_count> wasted{};
        for (request_outcome const& each : fleet_.outcomes())
        {
            auto const at = static_cast<std::size_t>(trace_.phase_at(each.sent - start_));
            std::size_t const which = index_of(each.request.request_rank);
            bool const good =
                each.first_token && *each.first_token - each.sent <= each.request.time_to_deadline;
            sent.at(at).at(which) += 1;
            in_time.at(at).at(which) += good ? 1 : 0;
            executions.at(at) += each.executions;
            wasted.at(at) += each.executions - (good ? 1.0 : 0.0);
            if (each.state == final_state::refused && at != 0)
            {
                result_.figures["refused:" + std::string(to_string(each.why.reason))] += 1;
            }
        }
        for (std::size_t at = 1; at < phase_count; ++at)
        {
            std::string const name = names.at(at);
            for (rank const each : all_ranks)
            {
                std::size_t const i = index_of(each);
                result_.figures["in_time:" + name + ":" + std::string(to_string(each))] =
                    sent.at(at).at(i) > 0 ? in_time.at(at).at(i) / sent.at(at).at(i) : 1;
            }
            result_.figures["wasted:" + name] = executions.at(at) > 0 ? wasted.at(at) / executions.at(at) : 0;
        }
    }

    /// Adds, for each rank, its smallest share of the started requests in any window of 10 s of a flood in
    /// which requests of the rank waited all the time. "floor:" is this share divided by the configured floor
    /// of the rank; "floor_or_offered:" is it divided by the lesser of the floor and the arrivals of the
    /// rank, because a rank with fewer arrivals than its floor cannot reach the floor.
    void add_floor_figures()
    {
        for (phase const flood : {phase::background_flood, phase::urgent_flood})
        {
            duration const from = trace_.start_of(flood);
            duration const to = from + trace_.lengths.at(static_cast<std::size_t>(flood));
            std::string const name = flood == phase::background_flood ? "background_flood" : "urgent_flood";
            for (duration at = from; at + window <= to; at += window)
            {
                std::array<double, rank_count> starts{};
                std::array<double, rank_count> arrivals{};
                for (request_outcome const& each : fleet_.outcomes())
                {
                    bool const inside =
                        each.started && *each.started - start_ >= at && *each.started - start_ < at + window;
                    starts.at(index_of(each.request.request_rank)) += inside ? 1 : 0;
                    bool const arrived = each.sent - start_ >= at && each.sent - start_ < at + window;
                    arrivals.at(index_of(each.request.request_rank)) += arrived ? 1 : 0;
                }
                double const total = starts[0] + starts[1] + starts[2];
                for (rank const each : all_ranks)
                {
                    std::size_t const i = index_of(each);
                    auto const idle = [&](auto const& point)
                    { return point.first >= at && point.first < at + window && !point.second.at(i); };
                    if (total == 0 || std::any_of(waiting_.begin(), waiting_.end(), idle))
                    {
                        continue;
                    }
                    std::string const suffix = name + ":" + std::string(to_string(each));
                    double const floor = trace_.config.ranks.at(i).floor * total;
                    lower_figure("floor:" + suffix, starts.at(i) / floor);
                    lower_figure("floor_or_offered:" + suffix,
                                 starts.at(i) / std::max(1.0, std::min(floor, arrivals.at(i))));
                    result_.figures["windows:" + suffix] += 1;
                }
            }
        }
    }

    void lower_figure(std::string const& figure, double value)
    {
        auto const known = result_.figures.emplace(figure, value).first;
        known->second = std::min(known->second, value);
    }

    void add_load_figures()
    {
        double remote = 0;
        double unused = 0;
        std::vector<double> remote_starts;
        for (load_record const& each : fleet_.loads())
        {
            remote += each.remote ? 1 : 0;
            unused += each.unloaded && !each.used ? 1 : 0;
            if (each.remote)
            {
                remote_starts.push_back(to_seconds(each.started - start_));
            }
        }
        // The rate is taken over 2 s, so that it can be compared with the fractional rate of the weight
        // store.
        double peak_rate = 0;
        for (std::size_t i = 0, first = 0; i < remote_starts.size(); ++i)
        {
            for (; remote_starts[first] <= remote_starts[i] - 2; ++first)
            {
            }
            peak_rate = std::max(peak_rate, static_cast<double>(i - first + 1) / 2);
        }
        result_.figures["loads"] = static_cast<double>(fleet_.loads().size());
        result_.figures["loads_remote"] = remote;
        result_.figures["loads_dropped_unused"] = unused;
        result_.figures["store_peak"] = fleet_.peak_loads();
        result_.figures["store_peak_rate"] = peak_rate;
    }

    measured_trace const& trace_;
    fake_fleet fleet_;
    steady_time start_;
    std::map<std::pair<int, std::string>, duration> bounds_;
    std::vector<std::pair<std::size_t, duration>> cold_;
    std::vector<std::size_t> open_;
    std::vector<std::pair<duration, std::array<bool, rank_count>>> waiting_;
    std::uint64_t engine_samples_ = 0;
    std::uint64_t idle_samples_ = 0;
    run_result result_;
};

} // namespace

std::vector<policy> const& all_policies()
{
    static std::vector<policy> const policies{
        {"load_on_miss", true, true},    {"static_placement", true, true},
        {"siskinusher", false, true},    {"no_floors", false, false},
        {"no_ceilings", false, false},   {"no_local_checkpoints", false, false},
        {"no_forwarding", false, false}, {"one_replica_kept", false, false}};
    return policies;
}

run_result run_policy(policy const& which, measured_trace const& trace, std::uint64_t seed, bool print_trace)
{
    return measured_run(which, trace, seed).run(print_trace);
}

} // namespace siskinusher::testing
