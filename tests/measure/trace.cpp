#include "measure/trace.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace siskinusher::testing
{

namespace
{

constexpr std::uint64_t mebibyte = 1ULL << 20U;
constexpr std::uint64_t gibibyte = 1ULL << 30U;
constexpr double smallest_model_gib = 3;
constexpr double largest_model_gib = 34;
/// Share of the models that are active at the start; most models are idle.
constexpr double active_at_start = 0.15;
/// Share of the models and adapters that become active or idle within an hour, from docs/design.md.
constexpr double changing_share = 0.59;
/// Share of the engines' places that are in use in normal hours.
constexpr double utilisation = 0.35;
constexpr double flood_factor = 5;
constexpr unsigned burst_requests = 2; ///< Requests of one burst at each instance.
constexpr duration burst_spread = milliseconds{100};
constexpr std::array<double, rank_count> rank_mix{0.3, 0.5, 0.2};
constexpr std::array<seconds, rank_count> rank_deadline{seconds{15}, seconds{30}, seconds{60}};
constexpr std::array<unsigned, rank_count> rank_tokens{40, 60, 90};

struct active_period
{
    duration from{0};
    duration to{0};
    bool contains(duration when) const { return from <= when && when < to; }
};

class trace_maker
{
public:
    trace_maker(deployment const& sizes, phase_lengths const& lengths, std::uint64_t seed)
        : sizes_(sizes), random_(seed * 7919 + 17)
    {
        trace_.lengths = lengths;
    }

    measured_trace make()
    {
        make_fleet();
        make_models();
        make_adapters();
        make_traffic();
        std::stable_sort(trace_.requests.begin(), trace_.requests.end(),
                         [](trace_request const& a, trace_request const& b) { return a.sent < b.sent; });
        std::uint64_t body = 0;
        for (trace_request& each : trace_.requests)
        {
            each.request.body = ++body;
        }
        return std::move(trace_);
    }

private:
    void make_fleet()
    {
        fleet_shape& shape = trace_.shape;
        shape.data_centres = sizes_.data_centres;
        shape.instances_per_dc = 3;
        shape.engines_per_dc = sizes_.engines_per_dc;
        shape.services_per_dc = 1;
        shape.engine_memory = 80 * gibibyte;
        shape.prefix_cache = 4 * gibibyte;
        shape.tick_interval = milliseconds{20};
        shape.memory_checkpoints = 4;
        shape.disk_checkpoints = 12;
        shape.refuses_overcommit = true;
        shape.trace_length = 1000000;
        trace_.config.weight_store = {sizes_.loads_per_second, 4};
        for (std::string const& dc : sizes_.data_centres)
        {
            for (unsigned i = 1; i <= shape.instances_per_dc; ++i)
            {
                instances_.push_back(dc + "-" + std::to_string(i));
            }
        }
    }

    static std::string numbered(char const* prefix, unsigned number)
    {
        return (number < 10 ? std::string(prefix) + "0" : std::string(prefix)) + std::to_string(number);
    }

    duration between(duration from, duration to)
    {
        return from + duration{static_cast<duration::rep>(random_.below(
                          static_cast<std::uint64_t>(std::max<duration::rep>((to - from).count(), 1))))};
    }

    /// Draws the periods in which a model or adapter is active. The changes of one hour are spread over the
    /// whole trace.
    std::vector<active_period> draw_active_periods()
    {
        duration const end = trace_.total();
        bool const active = random_.unit() < active_at_start;
        bool const changes = random_.unit() < changing_share;
        if (!changes)
        {
            return active ? std::vector<active_period>{{duration{0}, end}} : std::vector<active_period>{};
        }
        duration const when = between(trace_.start_of(phase::normal) + seconds{1}, end - seconds{2});
        if (active)
        {
            return {{duration{0}, when}};
        }
        return {{when, std::min(end, when + between(seconds{20}, seconds{80}))}};
    }

    void make_models()
    {
        for (unsigned i = 1; i <= sizes_.models; ++i)
        {
            model_config model;
            model.name = numbered("m", i);
            model.checkpoint = model.name;
            double const gib =
                smallest_model_gib + (largest_model_gib - smallest_model_gib) * std::pow(random_.unit(), 1.5);
            model.bytes = static_cast<std::uint64_t>(gib * static_cast<double>(gibibyte));
            model.load_time_ms = 400 + static_cast<unsigned>(gib * 350);
            active_periods_[model.name] = draw_active_periods();
            bool const from_start =
                !active_periods_[model.name].empty() && active_periods_[model.name].front().from.count() == 0;
            model.max_replicas = from_start ? 6 : 3;
            popularity_[model.name] = 1.0 / (1.0 + static_cast<double>(random_.below(8)));
            duration active_time{0};
            for (active_period const& each : active_periods_[model.name])
            {
                active_time += each.to - each.from;
            }
            trace_.weights[model.name] =
                popularity_[model.name] * static_cast<double>(active_time.count()) / 1e6 +
                0.001 * random_.unit();
            trace_.config.models[model.name] = model;
        }
    }

    void make_adapters()
    {
        for (unsigned i = 1; i <= sizes_.adapters; ++i)
        {
            adapter_config adapter;
            adapter.name = numbered("a", i);
            adapter.base_model = numbered("m", 1 + static_cast<unsigned>(random_.below(sizes_.models)));
            adapter.bytes = (50 + random_.below(250)) * mebibyte;
            trace_.config.adapters[adapter.name] = adapter;
            adapters_of_[adapter.base_model].emplace_back(adapter.name, draw_active_periods());
        }
    }

    void add(duration when, std::string const& model, rank request_rank, std::string const& instance,
             int burst)
    {
        trace_request each;
        each.sent = when;
        each.instance = instance;
        each.burst = burst;
        each.request.model = model;
        each.request.request_rank = request_rank;
        each.request.time_to_deadline = rank_deadline.at(index_of(request_rank));
        unsigned const tokens = rank_tokens.at(index_of(request_rank));
        each.request.tokens = tokens / 2 + static_cast<unsigned>(random_.below(tokens));
        std::vector<std::string> adapters;
        for (auto const& adapter : adapters_of_[model])
        {
            if (is_active(adapter.second, when))
            {
                adapters.push_back(adapter.first);
            }
        }
        if (!adapters.empty() && random_.below(2) == 0)
        {
            each.request.adapter = adapters[random_.below(adapters.size())];
        }
        trace_.requests.push_back(std::move(each));
    }

    static bool is_active(std::vector<active_period> const& times, duration when)
    {
        return std::any_of(times.begin(), times.end(),
                           [when](active_period const& each) { return each.contains(when); });
    }

    rank draw_rank()
    {
        double const drawn = random_.unit();
        return drawn < rank_mix[0]                 ? rank::urgent
               : drawn < rank_mix[0] + rank_mix[1] ? rank::standard
                                                   : rank::background;
    }

    /// Returns the requests per second that keep the share `utilisation` of the engines' places in use.
    double normal_rate() const
    {
        double service_s = 0;
        for (rank const each : all_ranks)
        {
            service_s += rank_mix.at(index_of(each)) * (0.08 + 0.03 * rank_tokens.at(index_of(each)));
        }
        double const places = static_cast<double>(trace_.shape.places) * trace_.shape.engines_per_dc *
                              static_cast<double>(trace_.shape.data_centres.size());
        return utilisation * places / service_s;
    }

    void add_arrivals(duration from, duration to, double rate, std::optional<rank> only)
    {
        duration when = from;
        while (true)
        {
            when += duration{static_cast<duration::rep>(-std::log(1.0 - random_.unit()) / rate * 1e6)};
            if (when >= to)
            {
                return;
            }
            double total = 0;
            for (auto const& each : active_periods_)
            {
                total += is_active(each.second, when) ? popularity_[each.first] : 0.0;
            }
            double drawn = random_.unit() * total;
            for (auto const& each : active_periods_)
            {
                drawn -= is_active(each.second, when) ? popularity_[each.first] : 0.0;
                if (total > 0 && drawn <= 0)
                {
                    add(when, each.first, only ? *only : draw_rank(),
                        instances_[random_.below(instances_.size())], -1);
                    break;
                }
            }
        }
    }

    void make_traffic()
    {
        int burst = 0;
        for (auto const& each : active_periods_)
        {
            for (active_period const& time : each.second)
            {
                if (time.from.count() == 0)
                {
                    continue;
                }
                for (std::string const& instance : instances_)
                {
                    for (unsigned i = 0; i < burst_requests; ++i)
                    {
                        add(between(time.from, time.from + burst_spread), each.first, draw_rank(), instance,
                            burst);
                    }
                }
                ++burst;
            }
        }
        // The steady traffic starts after 10 s, when instances have elected lease holders and read the
        // configuration.
        add_arrivals(seconds{10}, trace_.total(), normal_rate(), std::nullopt);
        for (phase const flood : {phase::background_flood, phase::urgent_flood})
        {
            duration const from = trace_.start_of(flood);
            duration const to = from + trace_.lengths.at(static_cast<std::size_t>(flood));
            rank const flooded = flood == phase::background_flood ? rank::background : rank::urgent;
            double const own = rank_mix.at(index_of(flooded)) * normal_rate();
            add_arrivals(from, to, flood_factor * normal_rate() - own, flooded);
        }
    }

    deployment const& sizes_;
    random_source random_;
    measured_trace trace_;
    std::vector<std::string> instances_;
    std::map<std::string, std::vector<active_period>> active_periods_;
    std::map<std::string, double> popularity_;
    std::map<std::string, std::vector<std::pair<std::string, std::vector<active_period>>>> adapters_of_;
};

} // namespace

deployment find_deployment(std::string const& name)
{
    if (name == "authority")
    {
        return {name, {"chaguanas", "princes-town", "valencia"}, 4, 65, 75, 4.5};
    }
    if (name == "kidskin")
    {
        return {name, {"akl-a", "chc-a", "wlg-a"}, 3, 50, 60, 3.5};
    }
    throw std::invalid_argument("deployment \"" + name + "\" is unknown; use authority or kidskin");
}

duration measured_trace::start_of(phase which) const
{
    duration start{0};
    for (std::size_t i = 0; i < static_cast<std::size_t>(which); ++i)
    {
        start += lengths.at(i);
    }
    return start;
}

phase measured_trace::phase_at(duration since_start) const
{
    for (std::size_t i = phase_count; i > 1; --i)
    {
        if (since_start >= start_of(static_cast<phase>(i - 1)))
        {
            return static_cast<phase>(i - 1);
        }
    }
    return phase::warm_up;
}

duration measured_trace::total() const
{
    return start_of(phase::count_);
}

measured_trace make_trace(deployment const& sizes, phase_lengths const& lengths, std::uint64_t seed)
{
    return trace_maker(sizes, lengths, seed).make();
}

} // namespace siskinusher::testing
