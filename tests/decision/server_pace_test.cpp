#include "decision/server_pace.hpp"

#include "core/random_source.hpp"
#include "decision/dispatcher.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

using namespace siskinusher;

namespace
{

steady_time at(std::int64_t ms)
{
    return steady_time(milliseconds{ms});
}

answer_kind const kind{"s", ""};
constexpr std::int64_t objective_ms = 1500;
constexpr duration objective = milliseconds{objective_ms};
// A server is on trial for this time at most when it neither fails nor refuses.
constexpr duration max_trial = seconds{30};
constexpr paced_server twelve_places{12, true};

server_pace pace_of(unsigned instances, std::uint64_t seed = 1)
{
    server_pace pace(seed);
    pace.on_instances(instances);
    return pace;
}

// Answers of another server that show which time is usual.
void learn_usual_time(server_pace& pace, steady_time now, std::int64_t took_ms)
{
    for (int i = 0; i < 9; ++i)
    {
        pace.on_answer(now, "other", kind, milliseconds{took_ms}, objective, 0);
    }
}

enum class load_figure
{
    right,
    always_zero,
    always_full,
};

// A server with a bounded number of places and a bounded queue. What it cannot take it refuses.
struct simulated_server
{
    struct job
    {
        std::size_t instance = 0;
        dispatch_request request;
        steady_time arrived; ///< Of the request at its instance.
        steady_time sent;
        bool on_trial = false;
        std::optional<steady_time> begun;
        bool answered = false;
    };

    backend_entry entry;
    duration first_event = milliseconds{100};
    duration whole = milliseconds{1500};
    load_figure figure = load_figure::right;
    bool dead = false;
    bool frozen = false;
    std::list<job> jobs;
    unsigned refused = 0;
    unsigned refused_on_trial = 0; ///< To such instances.
    std::size_t most_on_trial = 0; ///< The same of the requests of instances that saw it on trial.
    std::size_t most = 0; ///< Largest number of requests at the same moment, including those it refused.

    static constexpr std::size_t queue = 4;

    backend_load load() const
    {
        auto const running = static_cast<unsigned>(
            std::count_if(jobs.begin(), jobs.end(), [](job const& each) { return each.begun.has_value(); }));
        auto const waiting = static_cast<unsigned>(jobs.size()) - running;
        return figure == load_figure::right         ? backend_load{running, waiting, entry.places}
               : figure == load_figure::always_zero ? backend_load{0, 0, entry.places}
                                                    : backend_load{entry.places, 0, entry.places};
    }
};

// Dispatchers of several instances in front of simulated servers, and the sums of requests that the lease
// holder sends them every 500 ms.
class simulation
{
public:
    simulation(unsigned instances, bool slow_start, double requests_per_s, std::uint64_t seed = 1)
        : random_(seed), per_tick_(requests_per_s / 100.0), reported_(instances)
    {
        for (unsigned i = 0; i < instances; ++i)
        {
            dispatcher_settings settings;
            settings.data_centre = "here";
            settings.seed = seed * 1000 + i;
            settings.slow_start = slow_start;
            dispatchers_.push_back(std::make_unique<dispatcher>(settings));
        }
    }

    simulated_server& add_known(std::string const& name) { return add(name, std::nullopt); }
    simulated_server& add_new(std::string const& name) { return add(name, now_); }

    simulated_server& at_server(std::string const& name)
    {
        return **std::find_if(servers_.begin(), servers_.end(),
                              [&name](auto const& each) { return each->entry.name == name; });
    }

    // The connections of all requests at the server are lost, and it accepts no new ones.
    void kill(simulated_server& server)
    {
        server.dead = true;
        for (auto const& each : std::exchange(server.jobs, {}))
        {
            end(server, each, attempt_result::connection_lost);
            submit(each.instance, each.request, each.arrived);
        }
    }

    void run(duration time)
    {
        for (steady_time const end = now_ + time; now_ < end; now_ += milliseconds{10})
        {
            exchange_loads();
            for (auto const& server : servers_)
            {
                serve(*server);
            }
            for (due_ += per_tick_; due_ >= 1.0; due_ -= 1.0)
            {
                dispatch_request request;
                request.number = ++last_number_;
                request.service = "s";
                request.deadline = now_ + seconds{10};
                request.max_wait = seconds{2};
                request.latency_objective = objective;
                std::size_t const instance = random_.below(dispatchers_.size());
                // Callers share prompts: without this, servers with the same load would be chosen in the same
                // order by all instances, which then fill the first one whether or not it is new.
                request.prompt = {{std::to_string(instance) + "/" + std::to_string(random_.below(6)), 300}};
                submit(instance, request, now_);
            }
            for (std::size_t i = 0; i < dispatchers_.size(); ++i)
            {
                dispatch(i);
            }
        }
    }

    // Runs until the server holds at least three quarters of the mean of the others, over half a second.
    duration time_to_full_share(simulated_server const& server, duration limit)
    {
        steady_time const begin = now_;
        while (now_ - begin < limit)
        {
            double own = 0.0;
            double others = 0.0;
            for (int i = 0; i < 50; ++i)
            {
                run(milliseconds{10});
                for (auto const& each : servers_)
                {
                    (each.get() == &server ? own : others) += static_cast<double>(each->jobs.size());
                }
            }
            if (own >= 0.75 * others / static_cast<double>(servers_.size() - 1))
            {
                break;
            }
        }
        return now_ - begin;
    }

    void forget_results()
    {
        refused_by_instances = 0;
        refused_by_servers = 0;
        first_answers.clear();
        for (auto const& each : servers_)
        {
            each->most = 0;
            each->most_on_trial = 0;
            each->refused = 0;
            each->refused_on_trial = 0;
        }
    }

    // Time from a request's arrival to its first answer that 99 of 100 requests keep to, in milliseconds.
    std::int64_t first_answer_ms()
    {
        if (first_answers.empty())
        {
            return 0;
        }
        std::sort(first_answers.begin(), first_answers.end());
        return first_answers[first_answers.size() * 99 / 100].count() / 1000;
    }

    steady_time now() const { return now_; }

    unsigned refused_by_instances = 0;
    unsigned refused_by_servers = 0;
    std::vector<duration> first_answers;
    unsigned instances_told = 0; ///< By the holder; zero for the real number.

private:
    simulated_server& add(std::string const& name, std::optional<steady_time> heard_at)
    {
        auto server = std::make_unique<simulated_server>();
        server->entry.name = name;
        server->entry.service = "s";
        server->entry.address = name + ":1";
        server->entry.data_centre = "here";
        server->entry.places = 12;
        server->entry.is_engine = true;
        server->entry.started_at = ++last_start_;
        for (auto const& each : dispatchers_)
        {
            each->on_backend(server->entry, heard_at);
        }
        servers_.push_back(std::move(server));
        return *servers_.back();
    }

    void submit(std::size_t instance, dispatch_request request, steady_time arrived)
    {
        arrived_[request.number] = arrived;
        requests_[request.number] = request;
        dispatchers_[instance]->submit(now_, std::move(request));
    }

    void end(simulated_server& server, simulated_server::job const& job, attempt_result result)
    {
        dispatchers_[job.instance]->on_attempt_end(
            now_, {job.request.number, server.entry.name, result, false, false, now_ - job.sent});
    }

    // The report of each instance, and the holder's reply with the sums of the latest reports, at times that
    // differ between the instances.
    void exchange_loads()
    {
        std::int64_t const tick = now_.time_since_epoch().count() / 10000;
        for (std::size_t i = 0; i < dispatchers_.size(); ++i)
        {
            if (tick % 50 != static_cast<std::int64_t>(i * 7 % 50))
            {
                continue;
            }
            reported_[i] = dispatchers_[i]->running_at_engines();
            std::map<backend_name, unsigned> sums;
            for (auto const& rows : reported_)
            {
                for (engine_requests const& row : rows)
                {
                    sums[row.engine] += row.running;
                }
            }
            placement_update update;
            update.instances =
                instances_told > 0 ? instances_told : static_cast<unsigned>(dispatchers_.size());
            update.running.emplace();
            for (auto const& [engine, running] : sums)
            {
                load_figure const figure = at_server(engine).figure;
                if (figure != load_figure::always_zero)
                {
                    update.running->push_back({engine, figure == load_figure::right ? running : 12U});
                }
            }
            dispatchers_[i]->on_placements(now_, update);
        }
    }

    void serve(simulated_server& server)
    {
        if (server.frozen)
        {
            return;
        }
        auto running = static_cast<unsigned>(std::count_if(server.jobs.begin(), server.jobs.end(),
                                                           [](simulated_server::job const& each)
                                                           { return each.begun.has_value(); }));
        for (auto each = server.jobs.begin(); each != server.jobs.end();)
        {
            if (!each->begun && running < server.entry.places)
            {
                each->begun = now_;
                ++running;
            }
            dispatcher& instance = *dispatchers_[each->instance];
            if (each->begun && !each->answered && now_ - *each->begun >= server.first_event)
            {
                each->answered = true;
                first_answers.push_back(now_ - each->arrived);
                instance.on_load(now_, server.entry.name, server.load());
                instance.on_first_event(now_, each->request.number);
            }
            if (each->begun && now_ - *each->begun >= server.whole)
            {
                end(server, *each, attempt_result::answered);
                each = server.jobs.erase(each);
                continue;
            }
            ++each;
        }
    }

    void dispatch(std::size_t instance)
    {
        for (dispatch_step const& step : dispatchers_[instance]->step(now_))
        {
            if (auto const* const assigned = std::get_if<assign_request>(&step))
            {
                send(instance, *assigned);
            }
            else
            {
                ++refused_by_instances;
            }
        }
    }

    void send(std::size_t instance, assign_request const& step)
    {
        simulated_server& server = at_server(step.target.backend);
        simulated_server::job job{
            instance, requests_[step.number], arrived_[step.number], now_, step.basis.on_trial, {}, false};
        server.most = std::max(server.most, server.jobs.size() + 1);
        auto const on_trial = static_cast<std::size_t>(std::count_if(server.jobs.begin(), server.jobs.end(),
                                                                     [](simulated_server::job const& each)
                                                                     { return each.on_trial; }));
        server.most_on_trial = std::max(server.most_on_trial, on_trial + (step.basis.on_trial ? 1U : 0U));
        bool const full = server.jobs.size() >= server.entry.places + simulated_server::queue;
        if (!server.dead && !full)
        {
            server.jobs.push_back(job);
            return;
        }
        refused_by_servers += full ? 1 : 0;
        server.refused += full ? 1 : 0;
        server.refused_on_trial += full && step.basis.on_trial ? 1 : 0;
        if (full)
        {
            dispatchers_[instance]->on_load(now_, server.entry.name, server.load());
        }
        end(server, job, server.dead ? attempt_result::not_sent : attempt_result::refused_not_run);
        job.request.failed_servers.push_back(server.entry.name);
        submit(instance, job.request, job.arrived);
    }

    random_source random_;
    double per_tick_;
    double due_ = 0.0;
    steady_time now_ = at(1000);
    request_number last_number_ = 0;
    std::int64_t last_start_ = 0;
    std::vector<std::unique_ptr<dispatcher>> dispatchers_;
    std::vector<std::unique_ptr<simulated_server>> servers_;
    std::vector<std::vector<engine_requests>> reported_;
    std::map<request_number, dispatch_request> requests_;
    std::map<request_number, steady_time> arrived_;
};

// A server that has 12 places, which a request takes for 1.5 s, serves 8 requests a second.
constexpr double usual_load = 4.8;
constexpr double heavy_load = 6.4;

struct deployment
{
    unsigned instances = 1;
    unsigned servers = 8;
};
// Many servers for each instance, and many instances that rarely send to the servers of a small service.
constexpr std::array<deployment, 4> deployments{{{1, 8}, {9, 9}, {65, 65}, {65, 8}}};

void add_known_servers(simulation& sim, unsigned servers)
{
    for (unsigned i = 0; i < servers; ++i)
    {
        sim.add_known("k" + std::to_string(i));
    }
    sim.run(seconds{5});
    sim.forget_results();
}

} // namespace

// Guards against a server that gets a request of each instance as soon as it appears, is filled beyond its
// places before any load figure shows it, or is left idle for too long. What callers get is compared with the
// same run without a pace.
Test(server_pace, cold_start_of_a_server_among_known_ones)
{
    for (auto const& [instances, servers] : deployments)
    {
        for (double const load : {usual_load, heavy_load})
        {
            unsigned refused = 0;
            unsigned refused_without = 0;
            for (std::uint64_t seed = 1; seed <= 5; ++seed)
            {
                simulation without(instances, false, load * servers, seed);
                add_known_servers(without, servers);
                simulated_server const& flooded = without.add_new("new");
                without.run(seconds{5});
                refused_without += flooded.refused;

                simulation sim(instances, true, load * servers, seed);
                add_known_servers(sim, servers);
                simulated_server const& fresh = sim.add_new("new");
                sim.run(seconds{1});
                std::size_t const at_first = fresh.most;
                sim.run(seconds{4});
                refused += fresh.refused_on_trial;
                std::int64_t const first_answer_ms = sim.first_answer_ms();
                duration const time = seconds{5} + sim.time_to_full_share(fresh, seconds{40});
                cr_log_info(
                    "cold %u instances, %u servers, %.1f/s, seed %lu: most %zu in the first second (%zu "
                    "without), %ld on trial, full share within %ld ms, 99 in 100 first answers within "
                    "%ld ms (%ld ms without)",
                    instances, servers, load, seed, at_first, flooded.most,
                    static_cast<long>(fresh.most_on_trial), static_cast<long>(time.count() / 1000),
                    static_cast<long>(first_answer_ms), static_cast<long>(without.first_answer_ms()));
                cr_expect_leq(at_first, fresh.entry.places, "%u instances, seed %lu: %zu requests", instances,
                              seed, at_first);
                cr_expect_leq(fresh.most_on_trial, fresh.entry.places + simulated_server::queue,
                              "%u instances, seed %lu", instances, seed);
                cr_expect_leq(time.count(), (max_trial + seconds{5}).count(), "%u instances, seed %lu",
                              instances, seed);
                cr_expect_eq(sim.refused_by_instances, 0U);
                // Where the known servers alone miss the objective, the pace must not make it worse.
                cr_expect_leq(first_answer_ms, std::max(objective_ms, without.first_answer_ms() + 150));
            }
            cr_log_info(
                "cold %u instances, %u servers, %.1f/s: refused by the new server %u, without a pace %u",
                instances, servers, load, refused, refused_without);
            cr_expect_leq(refused, refused_without / 4);
        }
    }
}

// Guards against tests that would pass without the pace: the simulated flood is a flood without it.
Test(server_pace, simulated_server_is_flooded_without_a_pace)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        simulation sim(65, false, heavy_load * 8, seed);
        add_known_servers(sim, 8);
        simulated_server const& fresh = sim.add_new("new");
        sim.run(seconds{2});
        cr_expect_gt(fresh.most, fresh.entry.places);
    }
}

// Guards against a server that is flooded, or left alone, when it works again after it lost all its
// connections.
Test(server_pace, recovery_after_failures)
{
    for (auto const& [instances, servers] : deployments)
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed)
        {
            simulation sim(instances, true, usual_load * servers, seed);
            add_known_servers(sim, servers);
            simulated_server& failing = sim.at_server("k3");
            sim.kill(failing);
            sim.run(seconds{3});
            failing.dead = false;
            sim.forget_results();
            // A failing server is avoided for 4 s at most.
            duration const time = sim.time_to_full_share(failing, seconds{50});
            cr_log_info(
                "recovery %u instances, %u servers, seed %lu: most %zu, %ld on trial, full share within "
                "%ld ms",
                instances, servers, seed, failing.most, static_cast<long>(failing.most_on_trial),
                static_cast<long>(time.count() / 1000));
            cr_expect_leq(failing.most, failing.entry.places, "%u instances, seed %lu: %zu requests",
                          instances, seed, failing.most);
            cr_expect_leq(time.count(), (max_trial + seconds{4}).count(), "%u instances, seed %lu", instances,
                          seed);
            cr_expect_eq(sim.refused_by_instances, 0U);
            cr_expect_eq(failing.refused, 0U);
        }
    }
}

// Guards against a new server that gets its full share although its answers come ten times as late as those
// of others.
Test(server_pace, slow_server_among_fast_ones)
{
    for (auto const& [instances, servers] : deployments)
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed)
        {
            simulation sim(instances, true, usual_load * servers, seed);
            add_known_servers(sim, servers);
            simulated_server& slow = sim.add_new("new");
            slow.first_event = milliseconds{1000};
            slow.whole = milliseconds{3000};
            sim.run(seconds{20});
            cr_log_info(
                "slow %u instances, %u servers, seed %lu: most %zu, %ld on trial, 99 in 100 within %ld ms",
                instances, servers, seed, slow.most, static_cast<long>(slow.most_on_trial),
                static_cast<long>(sim.first_answer_ms()));
            cr_expect_leq(slow.most, slow.entry.places / 2, "%u instances, seed %lu: %zu requests", instances,
                          seed, slow.most);
            cr_expect_eq(sim.refused_by_instances, 0U);
            cr_expect_eq(slow.refused, 0U);
        }
    }
}

// Guards against refusals, and requests that wait, when all servers of a service start together.
Test(server_pace, all_servers_start_together)
{
    for (auto const& [instances, servers] : deployments)
    {
        std::array<std::int64_t, 2> first_answer_ms{};
        for (bool const slow_start : {false, true})
        {
            simulation sim(instances, slow_start, usual_load * servers);
            for (unsigned i = 0; i < servers; ++i)
            {
                sim.add_new("n" + std::to_string(i));
            }
            sim.run(seconds{10});
            first_answer_ms[slow_start ? 1 : 0] = sim.first_answer_ms();
            cr_log_info("together %u instances, %u servers, pace %d: 99 in 100 within %ld ms", instances,
                        servers, static_cast<int>(slow_start), static_cast<long>(sim.first_answer_ms()));
            cr_expect_eq(sim.refused_by_instances, 0U);
        }
        cr_expect_leq(first_answer_ms[1], first_answer_ms[0] + 150);
    }
}

// Guards against a server that is filled while it stands still in the middle of the growth, and against one
// that is left alone after it goes on and all its answers arrive late and together.
Test(server_pace, freeze_in_the_middle_of_the_growth)
{
    for (auto const& [instances, servers] : deployments)
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed)
        {
            simulation sim(instances, true, usual_load * servers, seed);
            add_known_servers(sim, servers);
            simulated_server& fresh = sim.add_new("new");
            sim.run(milliseconds{500});
            fresh.frozen = true;
            sim.run(seconds{3});
            std::size_t const most = fresh.most;
            fresh.frozen = false;
            duration const time = sim.time_to_full_share(fresh, seconds{50});
            cr_log_info("freeze %u instances, %u servers, seed %lu: most %zu, full share within %ld ms",
                        instances, servers, seed, most, static_cast<long>(time.count() / 1000));
            cr_expect_leq(most, fresh.entry.places, "%u instances, seed %lu", instances, seed);
            cr_expect_leq(time.count(), max_trial.count(), "%u instances, seed %lu", instances, seed);
            cr_expect_eq(sim.refused_by_instances, 0U);
        }
    }
}

// Guards against a server that is filled while it loads a model, so that all wait for the load, and against
// one that stays slowed although only its first answers were late.
Test(server_pace, model_load_after_the_start)
{
    for (auto const& [instances, servers] : deployments)
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed)
        {
            simulation sim(instances, true, usual_load * servers, seed);
            add_known_servers(sim, servers);
            simulated_server& fresh = sim.add_new("new");
            fresh.first_event = milliseconds{2000};
            fresh.whole = milliseconds{3400};
            sim.run(seconds{2});
            std::size_t const most = fresh.most;
            fresh.first_event = milliseconds{100};
            fresh.whole = milliseconds{1500};
            duration const time = sim.time_to_full_share(fresh, seconds{50});
            cr_log_info("model load %u instances, %u servers, seed %lu: most %zu, full share within %ld ms",
                        instances, servers, seed, most, static_cast<long>(time.count() / 1000));
            cr_expect_leq(most, fresh.entry.places / 2, "%u instances, seed %lu", instances, seed);
            cr_expect_leq(time.count(), max_trial.count(), "%u instances, seed %lu", instances, seed);
            cr_expect_eq(sim.refused_by_instances, 0U);
            cr_expect_eq(fresh.refused_on_trial, 0U);
        }
    }
}

// Guards against load figures that end the protection or keep a server idle when they are wrong: a server
// that always reports the same load is not flooded at first, and callers get what they get without a pace.
Test(server_pace, wrong_load_figures_do_bounded_harm)
{
    for (auto const& [instances, servers] : deployments)
    {
        for (load_figure const figure : {load_figure::always_zero, load_figure::always_full})
        {
            std::array<std::int64_t, 2> first_answer_ms{};
            for (bool const slow_start : {false, true})
            {
                simulation sim(instances, slow_start, usual_load * servers);
                add_known_servers(sim, servers);
                simulated_server& fresh = sim.add_new("new");
                fresh.figure = figure;
                sim.run(seconds{1});
                std::size_t const at_first = fresh.most;
                sim.run(max_trial);
                first_answer_ms[slow_start ? 1 : 0] = sim.first_answer_ms();
                cr_log_info(
                    "figure %d, %u instances, %u servers, pace %d: most %zu in the first second, refused "
                    "by the new server %u, by all %u, 99 in 100 within %ld ms",
                    static_cast<int>(figure), instances, servers, static_cast<int>(slow_start), at_first,
                    fresh.refused, sim.refused_by_servers, static_cast<long>(sim.first_answer_ms()));
                cr_expect_eq(sim.refused_by_instances, 0U);
                if (slow_start)
                {
                    cr_expect_leq(at_first, fresh.entry.places);
                }
            }
            cr_expect_leq(first_answer_ms[1], first_answer_ms[0] + 150);
        }
    }
}

// Guards against a number of instances that is wrong, or was never told, and makes the instances flood the
// server together or leave it idle.
Test(server_pace, wrong_number_of_instances_does_bounded_harm)
{
    for (unsigned const told : {8U, 500U})
    {
        simulation sim(65, true, usual_load * 65);
        sim.instances_told = told;
        add_known_servers(sim, 65);
        simulated_server const& fresh = sim.add_new("new");
        duration const time = sim.time_to_full_share(fresh, seconds{40});
        cr_log_info("%u instances told: most %zu, %ld on trial, full share after %ld ms", told, fresh.most,
                    static_cast<long>(fresh.most_on_trial), static_cast<long>(time.count() / 1000));
        cr_expect_leq(fresh.most_on_trial, fresh.entry.places + simulated_server::queue);
        cr_expect_leq(time.count(), (max_trial + seconds{5}).count());
        cr_expect_eq(sim.refused_by_instances, 0U);
    }
}

// Guards against a window that does not grow, or grows more than once for requests that were sent together.
Test(server_pace, answers_in_time_double_the_window_once_a_round)
{
    server_pace pace = pace_of(1);
    pace.on_started(at(0), "new", 7, twelve_places);
    cr_expect(pace.on_trial(at(0), "new"));
    cr_expect(pace.may_send(at(0), "new", 0, 0) && pace.may_send(at(0), "new", 1, 1));
    cr_expect_not(pace.may_send(at(0), "new", 2, 2));
    pace.on_answer(at(100), "new", kind, milliseconds{100}, objective, 0);
    pace.on_answer(at(110), "new", kind, milliseconds{105}, objective, 0);
    cr_expect(pace.may_send(at(110), "new", 3, 3) && !pace.may_send(at(110), "new", 4, 4));
    pace.on_answer(at(250), "new", kind, milliseconds{100}, objective, 0);
    cr_expect(pace.may_send(at(250), "new", 7, 7) && !pace.may_send(at(250), "new", 8, 8));
    pace.on_answer(at(400), "new", kind, milliseconds{100}, objective, 0);
    cr_expect_not(pace.on_trial(at(400), "new"));
    cr_expect(pace.may_send(at(400), "new", 12, 15));
}

// Guards against a window that grows on in spite of slow answers, be they slower than the objective or only
// much slower than those of other servers.
Test(server_pace, slow_answers_halve_the_window)
{
    server_pace pace = pace_of(1);
    learn_usual_time(pace, at(0), 100);
    pace.on_started(at(0), "new", 7, {64, true});
    pace.on_answer(at(220), "new", kind, milliseconds{215}, objective, 0);
    cr_expect_eq(pace.window(at(220), "new"), 16.0);
    pace.on_answer(at(500), "new", kind, milliseconds{225}, objective, 0);
    cr_expect_eq(pace.window(at(500), "new"), 8.0);
    pace.on_answer(at(600), "new", {"s", "other model"}, milliseconds{90}, objective, 0);
    pace.on_answer(at(3000), "new", {"s", "other model"}, milliseconds{1501}, objective, 0);
    cr_expect_eq(pace.window(at(3000), "new"), 8.0);
    pace.on_answer(at(9000), "new", kind, milliseconds{1000}, objective, 0);
    cr_expect_eq(pace.window(at(9000), "new"), 8.0, "the window stays at its first size at least");
}

// Guards against an error in the middle of the growth that is taken for an answer, and against a lost
// connection after which the server gets as much as before.
Test(server_pace, error_in_the_middle_of_the_growth)
{
    server_pace pace = pace_of(1);
    pace.on_started(at(0), "new", 7, {64, true});
    pace.on_answer(at(100), "new", kind, milliseconds{50}, objective, 0);
    pace.on_answer(at(200), "new", kind, milliseconds{50}, objective, 0);
    cr_expect_eq(pace.window(at(200), "new"), 32.0);
    pace.on_error(at(300), "new", milliseconds{50});
    pace.on_error(at(301), "new", milliseconds{50});
    cr_expect_eq(pace.window(at(301), "new"), 16.0, "one round is one sign");
    pace.on_refused(at(400), "new", milliseconds{5});
    cr_expect_eq(pace.window(at(400), "new"), 8.0);
    pace.on_answer(at(500), "new", kind, milliseconds{50}, objective, 0);
    pace.on_failed(at(600), "new", {64, true});
    cr_expect_eq(pace.window(at(600), "new"), 8.0);
    pace.on_answer(at(610), "new", kind, milliseconds{50}, objective, 0);
    cr_expect_eq(pace.window(at(610), "new"), 8.0, "the request was sent before the failure");
}

// Guards against answers that were held up by a freeze, of the instance or the server, and arrive together:
// they are one bad sign at most, and none when they were sent before the window's last change.
Test(server_pace, answers_after_a_freeze_are_one_sign)
{
    server_pace pace = pace_of(1);
    pace.on_started(at(0), "new", 7, {64, true});
    pace.on_answer(at(100), "new", kind, milliseconds{50}, objective, 0);
    pace.on_answer(at(200), "new", kind, milliseconds{50}, objective, 0);
    for (int i = 0; i < 10; ++i)
    {
        pace.on_answer(at(6000 + i), "new", kind, milliseconds{5700}, objective, 0);
    }
    cr_expect_eq(pace.window(at(6010), "new"), 16.0);
    pace.on_answer(at(6020), "new", kind, milliseconds{5900}, objective, 0);
    cr_expect_eq(pace.window(at(6020), "new"), 16.0);
    pace.on_answer(at(6200), "new", kind, milliseconds{50}, objective, 0);
    cr_expect_eq(pace.window(at(6200), "new"), 32.0, "it grows again at once");
}

// Guards against a trial that ends too early and is not taken up again, and against refusals of a server that
// has run for long, which say only that it is full.
Test(server_pace, refusal_soon_after_the_start_begins_a_trial_again)
{
    server_pace pace = pace_of(1);
    pace.on_known("old", 3);
    pace.on_refused(at(0), "old", milliseconds{5});
    cr_expect_not(pace.on_trial(at(0), "old"));
    pace.on_started(at(0), "new", 7, twelve_places);
    for (std::int64_t const ms : {100, 200, 300})
    {
        pace.on_answer(at(ms), "new", kind, milliseconds{50}, objective, 0);
    }
    cr_expect_not(pace.on_trial(at(300), "new"));
    pace.on_refused(at(4999), "new", milliseconds{5});
    cr_expect(pace.on_trial(at(4999), "new"));
    for (std::int64_t const ms : {6100, 6200, 6300})
    {
        pace.on_answer(at(ms), "new", kind, milliseconds{50}, objective, 0);
    }
    pace.on_refused(at(6400), "new", milliseconds{5});
    cr_expect_not(pace.on_trial(at(6400), "new"));
}

// Guards against servers that are slowed although they are known: because the number of instances changes,
// because an entry expired and came back, or because it is written again.
Test(server_pace, known_servers_are_not_slowed)
{
    server_pace pace = pace_of(65);
    pace.on_known("old", 3);
    for (unsigned const instances : {64U, 1U, 0U, 360U})
    {
        pace.on_instances(instances);
        cr_expect(pace.may_send(at(0), "old", 9, 15) && !pace.on_trial(at(0), "old"));
    }
    pace.on_started(at(100), "old", 3, twelve_places);
    pace.forget("old");
    pace.on_started(at(9000), "old", 3, twelve_places);
    cr_expect_not(pace.on_trial(at(9000), "old"));
    pace.on_started(at(9000), "old", 4, twelve_places);
    cr_expect(pace.on_trial(at(9000), "old"));
}

// Guards against a known server that is slowed because its entry once expired, after many others have gone
// for good.
Test(server_pace, server_that_came_back_stays_known)
{
    server_pace pace = pace_of(9);
    pace.on_known("old", 3);
    pace.forget("old");
    pace.on_started(at(0), "old", 3, twelve_places);
    for (int i = 0; i < 5000; ++i)
    {
        std::string const name = "s" + std::to_string(i);
        pace.on_started(at(i), name, i + 10, twelve_places);
        pace.forget(name);
    }
    pace.on_started(at(6000), "old", 3, twelve_places);
    cr_expect_not(pace.on_trial(at(6000), "old"));
}

// Guards against servers that are slowed because this instance's own link failed, and against a new server
// that is flooded after it.
Test(server_pace, failures_of_the_own_link_are_forgotten)
{
    server_pace pace = pace_of(9);
    pace.on_known("old", 3);
    pace.on_started(at(0), "new", 7, twelve_places);
    pace.on_failed(at(10), "old", twelve_places);
    pace.on_failed(at(10), "new", twelve_places);
    cr_expect(pace.on_trial(at(10), "old"));
    pace.forget_failures();
    cr_expect_not(pace.on_trial(at(20), "old"));
    cr_expect(pace.on_trial(at(20), "new"));
}

// Guards against instances that together send much more than the window before they can know of each other,
// and against a part of the window that is never used.
Test(server_pace, instances_together_send_about_one_window_before_sums_arrive)
{
    double sum = 0.0;
    constexpr unsigned rounds = 200;
    for (std::uint64_t round = 0; round < rounds; ++round)
    {
        for (std::uint64_t i = 0; i < 65; ++i)
        {
            server_pace pace = pace_of(65, round * 65 + i);
            pace.on_started(at(0), "new", 7, twelve_places);
            unsigned own = 0;
            for (std::int64_t ms = 0; ms < 1000; ms += 10)
            {
                if (pace.may_send(at(ms), "new", own, own))
                {
                    pace.on_sent(at(ms), "new");
                    ++own;
                }
            }
            cr_assert_leq(own, 1U);
            sum += own;
        }
    }
    double const mean = sum / rounds;
    cr_expect(mean >= 2.0 && mean <= 4.0, "%.2f; the window is 2", mean);
}

// Guards against an instance that sends so rarely that its own answers take minutes to show that the server
// bears its load, and against taking the requests that ran before a failure for such a sign.
Test(server_pace, instances_that_send_rarely_follow_the_load)
{
    server_pace pace = pace_of(65);
    pace.on_failed(at(0), "s", twelve_places);
    pace.on_load(at(500), "s", 11);
    cr_expect_eq(pace.window(at(500), "s"), 2.0);
    pace.on_load(at(1000), "s", 11);
    cr_expect_eq(pace.window(at(1000), "s"), 4.0, "a report doubles the window at most");
    pace.on_load(at(1500), "s", 6);
    cr_expect_eq(pace.window(at(1500), "s"), 4.0, "instances that try the server out may cause this load");
    pace.on_load(at(2000), "s", 7);
    cr_expect_eq(pace.window(at(2000), "s"), 7.0);
    pace.on_load(at(2500), "s", 0);
    cr_expect_eq(pace.window(at(2500), "s"), 7.0);
}

// Guards against a server that is held back for ever by a figure that never changes.
Test(server_pace, trial_ends_without_any_answer)
{
    server_pace pace = pace_of(65);
    pace.on_started(at(0), "s", 7, twelve_places);
    cr_expect_not(pace.may_send(at(29999), "s", 0, 12));
    cr_expect(pace.may_send(at(30000), "s", 0, 12));
}
