#include "core/random_source.hpp"
#include "decision/caller_admission.hpp"
#include "decision/quota_gate.hpp"
#include "decision/quota_issuer.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

using namespace siskinusher;

namespace
{

/// Time since the start of the simulation. The instances see it through clocks of their own.
using true_time = duration;

double in_seconds(duration of)
{
    return std::chrono::duration<double>(of).count();
}

duration from_seconds(double of)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(of));
}

// Clocks run up to 1 % apart.
double draw_clock_rate(random_source& random)
{
    return 0.995 + 0.01 * random.unit();
}

/// Runs events in the order of their times.
class event_queue
{
public:
    true_time now{0};

    void at(true_time when, std::function<void()> what)
    {
        events_.push({std::max(when, now), ++number_, std::move(what)});
    }

    void run_until(true_time end)
    {
        while (!events_.empty() && events_.top().when <= end)
        {
            auto const what = events_.top().what;
            now = events_.top().when;
            events_.pop();
            what();
        }
        now = end;
    }

private:
    struct event
    {
        true_time when{0};
        std::uint64_t number;
        std::function<void()> what;
        bool operator<(event const& other) const
        {
            return std::tie(other.when, other.number) < std::tie(when, number);
        }
    };
    std::priority_queue<event> events_;
    std::uint64_t number_ = 0;
};

/// How callers of one organisation send.
struct caller_load
{
    std::string organisation;
    double intensity = 1.0; ///< Multiple of the organisation's rate.
    double mean_cost = 1100.0;
    bool steady = false;     ///< Spread over all instances, at even distances, never retried.
    unsigned at_once = 1;    ///< Requests that are sent at one instant.
    std::optional<int> only; ///< They go to this instance; to any when empty.
    double not_run = 0.0;    ///< Share of the requests that end without having run.
    std::optional<true_time> not_run_until{}; ///< They end so at this time; soon when empty.
    double hung_up = 0.0;                     ///< Share of the requests whose callers hang up within 20 ms.
};

struct sent_request
{
    std::string organisation;
    std::uint64_t cost = 0;
    true_time sent_at{0};
    true_time admitted_at{0};
    bool ran = true;
    bool steady = false;
    unsigned tries = 0;
    double not_run = 0.0;
    std::optional<true_time> not_run_until{};
    double hung_up = 0.0;
};

/// Instances with clocks of their own, one of which holds the lease, and callers that send to them.
class quota_world
{
public:
    static constexpr duration question_time_limit = milliseconds{300}; // As in apps/quota_keeper.
    // As in apps/placement_service: instances report each 0.5 s and are known to the holder for 1.5 s.
    static constexpr duration report_interval = milliseconds{500};
    static constexpr duration report_lifetime = milliseconds{1500};

    struct node
    {
        std::string name;
        std::uint64_t start = 0;
        std::unique_ptr<quota_gate> gate;
        std::unique_ptr<quota_issuer> issuer;
        double clock_rate = 1.0;
        duration clock_offset{0};
        bool frozen = false;
        bool cut = false;
        true_time reachable_since{0}; ///< It and the holder have been in touch since then.
        std::vector<std::function<void()>> on_wake;
        std::uint64_t timer = 0;
        std::uint64_t open_question = 0;
        std::size_t version = 0;              ///< Of the configuration.
        std::optional<true_time> reported_at; ///< To the present holder.
    };

    quota_world(std::uint64_t seed, unsigned instances, quota_bounds bounds_in)
        : random(seed), bounds(bounds_in)
    {
        for (unsigned i = 0; i < instances; ++i)
        {
            add_node();
        }
    }

    // Configurations -----------------------------------------------------------------------------------

    /// Every instance learns it within `spread`.
    void set_config(std::vector<organisation> organisations, duration spread)
    {
        auto config = std::make_shared<serving_config>();
        config->organisations = std::move(organisations);
        auto const version = configs_.size();
        configs_.push_back({config, events.now, events.now});
        for (std::size_t i = 0; i < nodes.size(); ++i)
        {
            events.at(events.now + from_seconds(random.unit() * in_seconds(spread)),
                      [this, i, version, start = nodes[i].start]
                      { deliver(i, start, [this, i, version] { learn(i, version); }); });
        }
    }

    // Faults -------------------------------------------------------------------------------------------

    void add_node()
    {
        nodes.emplace_back();
        node& added = nodes.back();
        added.name = "i" + std::to_string(nodes.size());
        added.clock_rate = draw_clock_rate(random);
        added.clock_offset = seconds{1000 + static_cast<int>(random.below(100000))};
        restart(nodes.size() - 1);
        events.at(events.now + microseconds{random.below(500000)},
                  [this, i = nodes.size() - 1] { report(i); });
    }

    void restart(std::size_t i)
    {
        node& it = nodes[i];
        lose_lease_of(i);
        it.start = ++starts_;
        it.frozen = false;
        it.on_wake.clear();
        it.open_question = 0;
        it.gate = std::make_unique<quota_gate>(bounds, it.name, it.start);
        it.issuer = std::make_unique<quota_issuer>(bounds);
        it.reachable_since = events.now;
        if (!configs_.empty())
        {
            learn(i, configs_.size() - 1);
        }
    }

    void freeze(std::size_t i) { nodes[i].frozen = true; }

    void wake(std::size_t i)
    {
        node& it = nodes[i];
        if (!it.frozen)
        {
            return;
        }
        it.frozen = false;
        it.reachable_since = events.now;
        woken_at_ = events.now;
        auto pending = std::move(it.on_wake);
        it.on_wake.clear();
        if (random.below(2) == 0)
        {
            std::reverse(pending.begin(), pending.end());
        }
        for (auto const& each : pending)
        {
            each();
        }
        run_node(i);
    }

    void set_cut(std::size_t i, bool cut)
    {
        nodes[i].cut = cut;
        nodes[i].reachable_since = events.now;
    }

    void set_loss(double share)
    {
        loss = share;
        calm_since_ = events.now;
    }

    /// The lease goes to `i` in a new epoch, or is held by nobody when empty.
    void give_lease(std::optional<std::size_t> i)
    {
        holder = i;
        held_since_ = events.now;
        last_holder_ = i ? i : last_holder_;
        if (i)
        {
            for (node& each : nodes)
            {
                each.reported_at.reset();
            }
            nodes[*i].issuer->begin_lease(local(*i));
        }
    }

    /// The last holder goes on in the same epoch.
    void regain_lease()
    {
        if (!holder && last_holder_ && last_holder_start_ == nodes[*last_holder_].start)
        {
            holder = last_holder_;
            held_since_ = events.now;
        }
    }

    void suspend_lease()
    {
        if (holder)
        {
            last_holder_start_ = nodes[*holder].start;
            holder.reset();
        }
    }

    // Callers ------------------------------------------------------------------------------------------

    void send(std::size_t i, sent_request request)
    {
        request.sent_at = events.now;
        auto const number = static_cast<request_number>(requests_.size());
        requests_.push_back(std::move(request));
        ++sent[requests_.back().organisation];
        deliver(i, nodes[i].start,
                [this, i, number]
                {
                    sent_request const& what = requests_[number];
                    nodes[i].gate->submit(
                        local(i), {number, what.organisation, what.cost, local(i) + milliseconds{1000}, {}});
                    if (random.unit() < what.hung_up)
                    {
                        hang_up(i, number);
                    }
                    run_node(i);
                });
    }

    /// Sends as `load` says until `end`.
    void send_load(caller_load const& load, double rate, true_time end)
    {
        if (events.now >= end)
        {
            return;
        }
        double cost_sum = 0.0;
        for (unsigned each = 0; each < load.at_once; ++each)
        {
            double const cost = load.mean_cost * (0.5 + random.unit());
            cost_sum += cost;
            std::size_t const target =
                load.only ? static_cast<std::size_t>(*load.only) % nodes.size() : random.below(nodes.size());
            sent_request request;
            request.organisation = load.organisation;
            request.cost = static_cast<std::uint64_t>(cost);
            request.steady = load.steady;
            request.not_run = load.not_run;
            request.not_run_until = load.not_run_until;
            request.hung_up = load.hung_up;
            send(target, std::move(request));
        }
        double const gap = cost_sum / (rate * load.intensity);
        double const factor = load.steady ? 1.0 : 0.2 + 1.6 * random.unit();
        events.at(events.now + from_seconds(gap * factor),
                  [this, load, rate, end] { send_load(load, rate, end); });
    }

    // Checks -------------------------------------------------------------------------------------------

    /// Cost of the requests that ran, by organisation.
    std::map<std::string, double> cost_run() const
    {
        std::map<std::string, double> sums;
        for (sent_request const& each : requests_)
        {
            if (each.ran && each.admitted_at > duration{0})
            {
                sums[each.organisation] += static_cast<double>(each.cost);
            }
        }
        return sums;
    }

    /// Share of the cost sent from `begin` to `end` that was admitted.
    double admitted_share(std::string const& organisation, true_time begin, true_time end) const
    {
        double sent_cost = 0.0;
        double admitted_cost = 0.0;
        for (sent_request const& each : requests_)
        {
            if (each.organisation == organisation && each.sent_at >= begin && each.sent_at < end)
            {
                sent_cost += static_cast<double>(each.cost);
                admitted_cost += each.admitted_at > duration{0} ? static_cast<double>(each.cost) : 0.0;
            }
        }
        return sent_cost > 0.0 ? admitted_cost / sent_cost : 0.0;
    }

    /// The first window of an organisation that exceeds its bound; empty when there is none. `by_sending`
    /// places each request at the time at which it was sent rather than at which it got its credit.
    std::string find_exceeded(std::string const& organisation, bool by_sending)
    {
        std::vector<std::pair<true_time, double>> runs;
        for (sent_request const& each : requests_)
        {
            if (each.organisation == organisation && each.ran && each.admitted_at > duration{0})
            {
                runs.emplace_back(by_sending ? each.sent_at : each.admitted_at,
                                  static_cast<double>(each.cost));
            }
        }
        std::sort(runs.begin(), runs.end());
        double sum = 0.0;
        std::size_t first = 0;
        for (auto const& [end, cost] : runs)
        {
            sum += cost;
            while (end - runs[first].first >= bounds.window)
            {
                sum -= runs[first++].second;
            }
            double const allowed = bound_at(organisation, end);
            worst = std::max(worst, sum / allowed);
            if (sum > allowed)
            {
                return organisation + ": " + std::to_string(sum) + " in the window that ends at " +
                       std::to_string(in_seconds(end)) + " s, " + std::to_string(allowed) + " are allowed";
            }
        }
        return {};
    }

    event_queue events;
    random_source random;
    quota_bounds const bounds;
    std::vector<node> nodes;
    std::optional<std::size_t> holder;
    double loss = 0.0;
    std::map<std::string, std::uint64_t> sent;
    std::uint64_t questions = 0;
    double worst = 0.0; ///< Largest share of its bound that a window used.
    std::uint64_t steady_served = 0;
    std::string refused_steadily; ///< A steady caller that was refused while the holder was reachable.

private:
    struct config_version
    {
        std::shared_ptr<serving_config const> config;
        true_time issued_at{0};
        true_time known_at{0}; ///< To all instances.
    };

    steady_time local(std::size_t i) const
    {
        return steady_time{nodes[i].clock_offset +
                           from_seconds(in_seconds(events.now) * nodes[i].clock_rate)};
    }

    void learn(std::size_t i, std::size_t version)
    {
        configs_[version].known_at = std::max(configs_[version].known_at, events.now);
        if (version < nodes[i].version)
        {
            return;
        }
        nodes[i].version = version;
        nodes[i].gate->on_config(configs_[version].config);
        nodes[i].issuer->on_config(local(i), configs_[version].config);
    }

    void lose_lease_of(std::size_t i)
    {
        if (holder == i)
        {
            holder.reset();
        }
    }

    // Runs `what` at the instance, once it does not stand still, unless it has been restarted since.
    void deliver(std::size_t i, std::uint64_t start, std::function<void()> what)
    {
        node& it = nodes[i];
        if (it.start != start)
        {
            return;
        }
        if (it.frozen)
        {
            it.on_wake.push_back(std::move(what));
            return;
        }
        what();
    }

    // The work of apps/quota_keeper.
    void run_node(std::size_t i)
    {
        node& it = nodes[i];
        bool again = true;
        while (again)
        {
            again = false;
            for (quota_step const& step : it.gate->step(local(i)))
            {
                std::visit([this, i](auto const& each) { carry_out(i, each); }, step);
            }
            if (auto const question = it.gate->next_question(local(i)))
            {
                again = ask(i, *question);
            }
        }
        if (auto const due = it.gate->next_due(local(i)))
        {
            double const wait = std::max(in_seconds(*due - local(i)), 0.0) / it.clock_rate;
            events.at(events.now + from_seconds(wait) + microseconds{1},
                      [this, i, start = it.start, timer = ++it.timer]
                      {
                          deliver(i, start,
                                  [this, i, timer]
                                  {
                                      if (nodes[i].timer == timer)
                                      {
                                          run_node(i);
                                      }
                                  });
                      });
        }
    }

    void carry_out(std::size_t i, admit_request const& step)
    {
        sent_request& request = requests_[step.number];
        request.admitted_at = events.now;
        steady_served += request.steady ? 1 : 0;
        if (random.unit() >= request.not_run)
        {
            return;
        }
        duration const took = milliseconds{1 + random.below(random.below(4) == 0 ? 4000 : 100)};
        events.at(std::max(events.now + took, request.not_run_until.value_or(duration{0})),
                  [this, i, start = nodes[i].start, number = step.number]
                  {
                      deliver(i, start,
                              [this, i, number]
                              {
                                  sent_request& ended = requests_[number];
                                  ended.ran = false;
                                  nodes[i].gate->give_back(local(i), ended.organisation, ended.cost);
                                  run_node(i);
                              });
                  });
    }

    void carry_out(std::size_t i, refuse_over_limit const& step)
    {
        note_refused(i, step.number, "over limit");
        sent_request again = requests_[step.number];
        if (again.steady || again.tries >= 2 || random.below(2) == 0)
        {
            return;
        }
        ++again.tries;
        events.at(events.now + step.retry_after, [this, again] { send(random.below(nodes.size()), again); });
    }

    void carry_out(std::size_t i, refuse_unchecked const& step) { note_refused(i, step.number, "unchecked"); }

    void note_refused(std::size_t i, request_number number, char const* why)
    {
        sent_request const& request = requests_[number];
        // An earlier holder's credit counts as outstanding for 4 s, and credit that was lost on the way too.
        constexpr duration settling_time = seconds{6};
        true_time const settled = events.now - settling_time;
        // Requests that an instance which stood still had not read come at once when it wakes. Together they
        // cost more than the capacity of a small organisation (seed 247: five requests, sent over 10 s).
        constexpr duration crowding_time = seconds{2};
        bool const is_crowded = woken_at_ && events.now - *woken_at_ < crowding_time;
        bool const reachable = !is_crowded && holder && held_since_ <= settled && calm_since_ <= settled &&
                               loss == 0.0 && nodes[i].reachable_since <= settled && !nodes[i].cut &&
                               nodes[*holder].reachable_since <= settled && !nodes[*holder].cut &&
                               !nodes[*holder].frozen;
        if (request.steady && reachable && refused_steadily.empty())
        {
            refused_steadily = request.organisation + " refused as " + why + " at " +
                               std::to_string(in_seconds(events.now)) + " s";
        }
    }

    void hang_up(std::size_t i, request_number number)
    {
        events.at(events.now + milliseconds{random.below(20)}, [this, i, number, start = nodes[i].start]
                  { deliver(i, start, [this, i, number] { nodes[i].gate->withdraw(number); }); });
    }

    // True when the reply is here at once.
    bool ask(std::size_t i, quota_question const& question)
    {
        node& it = nodes[i];
        ++questions;
        if (holder == i)
        {
            it.gate->on_reply(local(i), answer(i, question));
            return true;
        }
        if (!holder)
        {
            it.gate->on_no_reply(local(i));
            return false;
        }
        it.open_question = question.sequence;
        auto const start = it.start;
        events.at(events.now + from_seconds(in_seconds(question_time_limit) / it.clock_rate),
                  [this, i, start, sequence = question.sequence]
                  { deliver(i, start, [this, i, sequence] { close_question(i, sequence, nullptr); }); });
        if (is_lost(i))
        {
            return false;
        }
        events.at(events.now + draw_delay(),
                  [this, i, start, question, h = *holder, holder_start = nodes[*holder].start] {
                      deliver(h, holder_start,
                              [this, i, start, question, h] { reply_to(i, start, question, h); });
                  });
        return false;
    }

    void reply_to(std::size_t i, std::uint64_t start, quota_question const& question, std::size_t h)
    {
        if (holder != h)
        {
            return; // Answers 409, which is noticed no later than a lost reply.
        }
        quota_reply const reply = answer(h, question);
        if (is_lost(i))
        {
            return;
        }
        events.at(events.now + draw_delay(), [this, i, start, reply]
                  { deliver(i, start, [this, i, reply] { close_question(i, reply.sequence, &reply); }); });
    }

    quota_reply answer(std::size_t h, quota_question const& question)
    {
        return nodes[h].issuer->answer(local(h), known_instances(h), question);
    }

    // Instances that the holder knows: itself, and those that have reported to it of late.
    unsigned known_instances(std::size_t h) const
    {
        unsigned known = 1;
        for (std::size_t i = 0; i < nodes.size(); ++i)
        {
            auto const& reported_at = nodes[i].reported_at;
            known += i != h && reported_at && events.now - *reported_at < report_lifetime ? 1 : 0;
        }
        return known;
    }

    void report(std::size_t i)
    {
        if (holder && !nodes[i].frozen && !nodes[*holder].frozen && !is_lost(i))
        {
            nodes[i].reported_at = events.now;
        }
        events.at(events.now + report_interval, [this, i] { report(i); });
    }

    void close_question(std::size_t i, std::uint64_t sequence, quota_reply const* reply)
    {
        node& it = nodes[i];
        if (it.open_question != sequence)
        {
            return;
        }
        it.open_question = 0;
        if (reply != nullptr)
        {
            it.gate->on_reply(local(i), *reply);
        }
        else
        {
            it.gate->on_no_reply(local(i));
        }
        run_node(i);
    }

    bool is_lost(std::size_t i)
    {
        return nodes[i].cut || (holder && nodes[*holder].cut) || random.unit() < loss;
    }

    duration draw_delay() { return microseconds{500 + random.below(random.below(50) == 0 ? 350000 : 8000)}; }

    double bound_at(std::string const& organisation, true_time end) const
    {
        double most = 0.0;
        for (std::size_t i = 0; i < configs_.size(); ++i)
        {
            bool const replaced = i + 1 < configs_.size() && end >= configs_[i + 1].known_at + bounds.window;
            if (configs_[i].issued_at > end || replaced)
            {
                continue;
            }
            for (auto const& each : *configs_[i].config->organisations)
            {
                if (each.name == organisation)
                {
                    double const plain = each.quota.per_second * in_seconds(bounds.window) + each.quota.burst;
                    most = std::max(most, plain * (1.0 + bounds.excess) + bounds.slack);
                }
            }
        }
        return most;
    }

    std::vector<config_version> configs_;
    std::vector<sent_request> requests_;
    std::uint64_t starts_ = 0;
    true_time held_since_{0};
    true_time calm_since_{0};
    std::optional<true_time> woken_at_; ///< Of any instance.
    std::optional<std::size_t> last_holder_;
    std::uint64_t last_holder_start_ = 0;
};

quota_bounds page_bounds()
{
    return {seconds{8}, 0.1, 17000.0};
}

organisation organisation_of(std::string name, double per_second, double burst)
{
    organisation made;
    made.name = std::move(name);
    made.quota = {quota_unit::tokens, per_second, burst, 1.0};
    return made;
}

/// Faults of all kinds, and callers of four organisations: a small and a large one that go over their limits,
/// and a small and a large one that stay at half of them.
class fault_run
{
public:
    static constexpr double small_rate = 4200.0;
    static constexpr double large_rate = 329349.0;

    fault_run(std::uint64_t seed, true_time length)
        : random_(seed ^ 0x5EED), length_(length),
          world_(seed, random_.below(2) == 0 ? 65 : 2 + static_cast<unsigned>(random_.below(20)),
                 page_bounds())
    {
        world_.set_config({organisation_of("small", small_rate, random_.below(2) == 0 ? 0.0 : small_rate),
                           organisation_of("large", large_rate, large_rate),
                           organisation_of("half-small", small_rate, 0.0),
                           organisation_of("half-large", large_rate, large_rate)},
                          duration{0});
        world_.events.run_until(milliseconds{1});
        world_.give_lease(world_.random.below(world_.nodes.size()));
        send_steadily("half-small", small_rate, 1100.0);
        send_steadily("half-large", large_rate, 9000.0);
        send_phase("small", small_rate, 1100.0);
        send_phase("large", large_rate, 9000.0);
        schedule_fault();
    }

    std::string run()
    {
        world_.events.run_until(length_);
        for (bool const by_sending : {false, true})
        {
            for (char const* const name : {"small", "large", "half-small", "half-large"})
            {
                std::string const fault = world_.find_exceeded(name, by_sending);
                if (!fault.empty())
                {
                    return (by_sending ? "by the time of sending, " : "by the time of credit, ") + fault;
                }
            }
        }
        return world_.refused_steadily;
    }

    quota_world const& world() const { return world_; }

private:
    void send_steadily(char const* name, double rate, double cost)
    {
        caller_load load;
        load.organisation = name;
        load.mean_cost = cost;
        load.intensity = 0.5;
        load.steady = true;
        world_.send_load(load, rate, length_);
    }

    // Draws how the callers send for some seconds.
    void send_phase(std::string const& name, double rate, double cost)
    {
        true_time const end = world_.events.now + milliseconds{1000 + random_.below(9000)};
        caller_load load;
        load.organisation = name;
        load.mean_cost = cost;
        load.intensity = 0.2 + 4.0 * random_.unit() * random_.unit();
        load.not_run = random_.below(4) == 0 ? random_.unit() : 0.0;
        if (random_.below(2) == 0)
        {
            load.not_run_until = end + milliseconds{random_.below(4000)};
        }
        load.hung_up = random_.below(5) == 0 ? random_.unit() : 0.0;
        if (random_.below(3) == 0)
        {
            load.at_once = 2 + static_cast<unsigned>(random_.below(200));
        }
        if (random_.below(4) == 0)
        {
            load.only = static_cast<int>(random_.below(world_.nodes.size()));
        }
        if (random_.below(6) != 0) // Otherwise they pause, so that credit is saved up.
        {
            world_.send_load(load, rate, end);
        }
        if (end < length_)
        {
            world_.events.at(end, [this, name, rate, cost] { send_phase(name, rate, cost); });
        }
    }

    void schedule_fault()
    {
        world_.events.at(world_.events.now +
                             milliseconds{200 + random_.below(random_.below(3) == 0 ? 10000 : 1500)},
                         [this]
                         {
                             inject_fault();
                             schedule_fault();
                         });
    }

    void after(duration wait, std::function<void()> what)
    {
        world_.events.at(world_.events.now + wait, std::move(what));
    }

    // The lease is given to another instance, 1.5 to 4.8 s after the holder was lost.
    void replace_holder()
    {
        auto const lost = world_.holder;
        after(milliseconds{1500 + random_.below(3300)},
              [this, lost]
              {
                  if (world_.holder != lost && world_.holder)
                  {
                      return;
                  }
                  std::size_t const next = random_.below(world_.nodes.size());
                  if (!world_.nodes[next].frozen)
                  {
                      world_.give_lease(next);
                  }
                  else
                  {
                      replace_holder();
                  }
              });
    }

    void inject_fault()
    {
        std::size_t const any = random_.below(world_.nodes.size());
        std::size_t const node = world_.holder && random_.below(4) == 0 ? *world_.holder : any;
        bool const is_holder = world_.holder == node;
        duration const span = milliseconds{100 + random_.below(random_.below(3) == 0 ? 12000 : 2000)};
        switch (random_.below(9))
        {
        case 0:
            world_.restart(node);
            if (is_holder)
            {
                replace_holder();
            }
            break;
        case 1:
        case 2:
            world_.freeze(node);
            after(span, [this, node] { world_.wake(node); });
            if (is_holder && span > milliseconds{1400})
            {
                after(milliseconds{1400}, [this] { world_.give_lease(std::nullopt); });
                replace_holder();
            }
            break;
        case 3:
        case 4:
            world_.set_cut(node, true);
            after(span, [this, node] { world_.set_cut(node, false); });
            if (is_holder && span > milliseconds{1400})
            {
                after(milliseconds{1400}, [this] { world_.give_lease(std::nullopt); });
                replace_holder();
            }
            break;
        case 5:
            world_.set_loss(random_.below(2) == 0 ? 0.0 : 0.4 * random_.unit());
            after(span, [this] { world_.set_loss(0.0); });
            break;
        case 6:
            // The holder loses its lease for a while, and nobody else gets it.
            world_.suspend_lease();
            after(milliseconds{500 + random_.below(2000)}, [this] { world_.regain_lease(); });
            after(milliseconds{3000},
                  [this]
                  {
                      if (!world_.holder)
                      {
                          replace_holder();
                      }
                  });
            break;
        case 7:
            if (world_.nodes.size() < 80)
            {
                world_.add_node();
            }
            break;
        case 8:
            change_limits();
            break;
        default:
            break;
        }
    }

    void change_limits()
    {
        double const share = 0.3 + random_.unit();
        world_.set_config(
            {organisation_of("small", small_rate * share, random_.below(2) == 0 ? 0.0 : small_rate),
             organisation_of("large", large_rate * share, large_rate * share),
             organisation_of("half-small", small_rate, 0.0),
             organisation_of("half-large", large_rate, large_rate)},
            milliseconds{2000});
    }

    random_source random_;
    true_time const length_;
    quota_world world_;
};

std::uint64_t runs()
{
    // A longer test by hand sets QUOTA_RUNS; with the default the whole test takes a few seconds at most.
    char const* const text = std::getenv("QUOTA_RUNS");
    return text == nullptr ? 24 : std::strtoull(text, nullptr, 10);
}

std::uint64_t first_seed()
{
    char const* const text = std::getenv("QUOTA_SEED");
    return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

/// Share of `rate` that is served over 30 s to callers who send `load`, without faults.
double served_share(caller_load const& load, unsigned instances, double rate, double burst)
{
    quota_world world(7, instances, page_bounds());
    world.set_config({organisation_of(load.organisation, rate, burst)}, duration{0});
    world.events.run_until(milliseconds{1});
    world.give_lease(0);
    world.events.run_until(seconds{10});
    world.send_load(load, rate, seconds{40});
    world.events.run_until(seconds{40});
    cr_expect(world.find_exceeded(load.organisation, false).empty(), "%s",
              world.find_exceeded(load.organisation, false).c_str());
    return world.cost_run()[load.organisation] / (rate * 30.0);
}

} // namespace

// Guards against interleavings of faults after which an organisation is served more in a window than its
// limit tolerates, or after which one that stays at half of its limit is refused while the holder is
// reachable.
Test(quota_random, faults_keep_each_window_within_its_bound)
{
    unsigned failed = 0;
    double worst = 0.0;
    for (std::uint64_t seed = first_seed(); seed < first_seed() + runs(); ++seed)
    {
        fault_run run{seed, seconds{40}};
        std::string const fault = run.run();
        failed += fault.empty() ? 0 : 1;
        worst = std::max(worst, run.world().worst);
        cr_expect(fault.empty(), "seed %lu: %s", static_cast<unsigned long>(seed), fault.c_str());
        cr_expect(run.world().steady_served > 0, "seed %lu: no steady caller was served",
                  static_cast<unsigned long>(seed));
    }
    cr_log_info("%u of %lu seeds failed, the fullest window used %.3f of its bound", failed,
                static_cast<unsigned long>(runs()), worst);
}

namespace
{

struct load_form
{
    char const* name;
    double intensity;
    unsigned at_once;
    std::optional<int> only;
};

// Expects that callers who send in these forms are served about their limit, at fleets of three sizes.
void expect_limit_served(std::vector<load_form> const& forms)
{
    for (unsigned const instances : {1U, 9U, 65U})
    {
        for (load_form const& each : forms)
        {
            caller_load load;
            load.organisation = "o";
            load.intensity = each.intensity;
            load.at_once = each.at_once;
            load.only = each.only;
            double const small = served_share(load, instances, fault_run::small_rate, 0.0);
            load.mean_cost = 9000.0;
            double const large = served_share(load, instances, fault_run::large_rate, fault_run::large_rate);
            cr_log_info("%u instances, %s: small %.3f, large %.3f of the rate served", instances, each.name,
                        small, large);
            cr_expect(small >= 0.9, "%u instances, %s: small %.3f", instances, each.name, small);
            cr_expect(large >= 0.9, "%u instances, %s: large %.3f", instances, each.name, large);
        }
    }
}

} // namespace

// Guards against credit that lies unused at instances: callers that send more than their limit must be
// served about the limit, however they spread over the instances.
Test(quota_random, callers_beyond_their_limit_are_served_the_limit)
{
    expect_limit_served({{"spread, 1.2 times", 1.2, 1, {}},
                         {"spread, 5 times", 5.0, 1, {}},
                         {"one instance, 1.2 times", 1.2, 1, 1},
                         {"one instance, 5 times", 5.0, 1, 1}});
}

namespace
{

/// Share of the cost sent in a time without a holder of 6.5 s that is admitted, for callers at half of
/// `rate`, over 20 such times.
double admitted_without_holder(unsigned instances, double rate, double burst, double mean_cost)
{
    double sum = 0.0;
    constexpr int times = 20;
    for (int time = 0; time < times; ++time)
    {
        quota_world world(static_cast<std::uint64_t>(time) + 1, instances, page_bounds());
        world.set_config({organisation_of("o", rate, burst)}, duration{0});
        world.events.run_until(milliseconds{1});
        world.give_lease(0);
        caller_load load;
        load.organisation = "o";
        load.intensity = 0.5;
        load.mean_cost = mean_cost;
        load.steady = true;
        world.send_load(load, rate, seconds{40});
        world.events.run_until(seconds{20});
        world.give_lease(std::nullopt);
        world.events.run_until(milliseconds{26500});
        world.give_lease(instances - 1);
        world.events.run_until(seconds{40});
        std::string const exceeded = world.find_exceeded("o", false);
        cr_expect(exceeded.empty(), "%s", exceeded.c_str());
        sum += world.admitted_share("o", seconds{20}, milliseconds{26500});
    }
    return sum / times;
}

} // namespace

namespace
{

void expect_small_served_without_holder(unsigned instances)
{
    double const share = admitted_without_holder(instances, fault_run::small_rate, 0.0, 1100.0);
    cr_log_info("%u instances: small %.3f of the cost admitted", instances, share);
    cr_expect(share >= 0.5, "%u instances: small %.3f", instances, share);
}

void expect_large_served_without_holder(unsigned instances)
{
    double const share =
        admitted_without_holder(instances, fault_run::large_rate, fault_run::large_rate, 9000.0);
    cr_log_info("%u instances: large %.3f of the cost admitted", instances, share);
    cr_expect(share >= 0.5, "%u instances: large %.3f", instances, share);
}

} // namespace

// Guards against an organisation within its limit that is refused while a lost holder is replaced, where its
// limit is several requests a second for each instance.
Test(quota_random, callers_within_their_limit_are_served_without_a_holder)
{
    expect_small_served_without_holder(1);
    expect_large_served_without_holder(1);
    expect_large_served_without_holder(9);
}

// Guards against the same where the limit is less than a request a second for each instance.
Test(quota_random, callers_with_small_shares_are_served_without_a_holder)
{
    expect_small_served_without_holder(9);
    expect_small_served_without_holder(65);
    expect_large_served_without_holder(65);
}

// Guards against times for a return that let the level stand at its capacity while callers wait.
Test(quota_random, callers_at_one_instant_are_served_the_limit)
{
    expect_limit_served({{"40 at once, 3 times", 3.0, 40, {}}});
}

namespace
{

/// Instances that read the configuration from the store or are told about it by peers, and callers whose keys
/// are taken away: version v takes away key v.
class revocation_run
{
public:
    static constexpr duration revocation_time = seconds{5};

    revocation_run(std::uint64_t seed, true_time length) : random_(seed), length_(length)
    {
        nodes_.resize(2 + random_.below(12));
        for (std::size_t i = 0; i < nodes_.size(); ++i)
        {
            nodes_[i].clock_rate = draw_clock_rate(random_);
            nodes_[i].clock_offset = seconds{1000 + static_cast<int>(random_.below(100000))};
            learn_at(i, duration{0});
        }
        versions_ = {{duration{0}, duration{0}}};
        events_.at(milliseconds{500}, [this] { take_key_away(); });
        events_.at(milliseconds{100}, [this] { send(); });
        events_.at(milliseconds{300}, [this] { inject_fault(); });
    }

    std::string run()
    {
        events_.run_until(length_);
        return fault_;
    }

    std::uint64_t admitted = 0;
    std::uint64_t unproven = 0;

private:
    struct node
    {
        double clock_rate = 1.0;
        duration clock_offset{0};
        bool frozen = false;
        bool reaches_store = true;
        bool reaches_peers = true;
        std::uint64_t start = 0;
        std::optional<std::size_t> version;
        std::size_t named = 0; ///< The latest version that a peer named.
        steady_time current_at{};
        std::optional<true_time> proven_at; ///< The same in true time, as far as reads from the store tell.
        std::vector<std::function<void()>> on_wake;
    };
    struct version_times
    {
        true_time visible_at{0};
        true_time acknowledged_at{0};
    };

    steady_time local(std::size_t i) const
    {
        return steady_time{nodes_[i].clock_offset +
                           from_seconds(in_seconds(events_.now) * nodes_[i].clock_rate)};
    }

    void at(true_time when, std::size_t i, std::function<void()> const& what)
    {
        events_.at(when, [this, i, start = nodes_[i].start, what] { deliver(i, start, what); });
    }

    void deliver(std::size_t i, std::uint64_t start, std::function<void()> const& what)
    {
        node& it = nodes_[i];
        if (it.start != start)
        {
            return;
        }
        if (it.frozen)
        {
            it.on_wake.push_back(what);
            return;
        }
        what();
    }

    std::size_t visible() const
    {
        std::size_t newest = 0;
        while (newest + 1 < versions_.size() && versions_[newest + 1].visible_at <= events_.now)
        {
            ++newest;
        }
        return newest;
    }

    duration draw_delay()
    {
        return microseconds{500 + random_.below(random_.below(20) == 0 ? 3000000 : 20000)};
    }

    // Learns the configuration from the store or a peer, then again after some time.
    void learn_at(std::size_t i, true_time when)
    {
        at(when, i,
           [this, i]
           {
               steady_time const begun = local(i);
               if (random_.below(3) == 0)
               {
                   read_store(i, begun);
               }
               else
               {
                   ask_peer(i, begun);
               }
               learn_at(i, events_.now + milliseconds{200 + random_.below(800)});
           });
    }

    void read_store(std::size_t i, steady_time begun)
    {
        if (!nodes_[i].reaches_store)
        {
            return;
        }
        true_time const asked_at = events_.now;
        events_.at(events_.now + draw_delay(),
                   [this, i, start = nodes_[i].start, begun, asked_at]
                   {
                       std::size_t const found = visible();
                       events_.at(events_.now + draw_delay(),
                                  [this, i, start, begun, asked_at, found]
                                  {
                                      deliver(i, start,
                                              [this, i, begun, asked_at, found]
                                              {
                                                  if (prove(i, begun, found, true))
                                                  {
                                                      nodes_[i].proven_at = std::max(
                                                          nodes_[i].proven_at.value_or(asked_at), asked_at);
                                                  }
                                              });
                                  });
                   });
    }

    void ask_peer(std::size_t i, steady_time begun)
    {
        std::size_t const peer = random_.below(nodes_.size());
        if (peer == i || !nodes_[i].reaches_peers || !nodes_[peer].reaches_peers)
        {
            return;
        }
        bool const brings_text = random_.below(2) == 0;
        at(events_.now + draw_delay(), peer,
           [this, i, start = nodes_[i].start, peer, begun, brings_text]
           {
               if (!nodes_[peer].version)
               {
                   return;
               }
               duration const age = local(peer) - nodes_[peer].current_at;
               std::size_t const version = *nodes_[peer].version;
               events_.at(events_.now + draw_delay(),
                          [this, i, start, begun, age, version, brings_text]
                          {
                              deliver(i, start,
                                      [this, i, begun, age, version, brings_text]
                                      { prove(i, begun - age, version, brings_text); });
                          });
           });
    }

    // A statement that no version after `version` was acknowledged before `since`. It counts only for an
    // instance that has the version.
    bool prove(std::size_t i, steady_time since, std::size_t version, bool brings_text)
    {
        node& it = nodes_[i];
        it.named = std::max(it.named, version);
        if (brings_text && (!it.version || *it.version < version))
        {
            it.version = version;
        }
        bool const counts = it.version && *it.version >= version;
        if (counts)
        {
            it.current_at = std::max(it.current_at, since);
        }
        return counts;
    }

    void take_key_away()
    {
        true_time const visible_at = events_.now + draw_delay();
        duration const writing = random_.below(2) == 0 ? microseconds{random_.below(1000)} : draw_delay();
        versions_.push_back({visible_at, visible_at + writing});
        if (random_.below(2) == 0)
        {
            // No instance reads the version before the key's time is over.
            events_.at(visible_at, [this] { cut_store(seconds{6}); });
        }
        std::size_t const key = versions_.size() - 1;
        true_time const bound = versions_[key].acknowledged_at + revocation_time;
        for (duration after = milliseconds{-50}; after < milliseconds{250}; after += milliseconds{5})
        {
            events_.at(bound + after, [this, key] { send(key); });
        }
        events_.at(versions_[key].acknowledged_at + milliseconds{random_.below(9000)},
                   [this] { take_key_away(); });
    }

    void cut_store(duration span)
    {
        for (std::size_t i = 0; i < nodes_.size(); ++i)
        {
            nodes_[i].reaches_store = false;
            events_.at(events_.now + span, [this, i] { nodes_[i].reaches_store = true; });
        }
    }

    void send()
    {
        // Mostly a key that was taken away of late, or one that stays.
        std::size_t const recent = random_.below(std::min<std::size_t>(versions_.size(), 3));
        send(random_.below(4) == 0 ? kept_key : versions_.size() - 1 - recent);
        events_.at(events_.now + milliseconds{random_.below(20)}, [this] { send(); });
    }

    void send(std::size_t key)
    {
        std::size_t const i = random_.below(nodes_.size());
        at(events_.now + microseconds{100 + random_.below(5000)}, i,
           [this, i, key, sent_at = events_.now] { decide(i, key, sent_at); });
    }

    void decide(std::size_t i, std::size_t key, true_time sent_at)
    {
        node const& it = nodes_[i];
        if (!it.version)
        {
            return; // Without a configuration, nothing is served.
        }
        bool const is_known = key > *it.version;
        caller_identity const identity =
            is_known ? caller_identity{&caller_} : caller_identity{rejected_caller{true}};
        admission const decision = admit_caller(identity, local(i), {it.current_at, it.named > *it.version},
                                                {revocation_time, seconds{10}});
        auto const* const refused = std::get_if<caller_refused>(&decision);
        admitted += refused == nullptr ? 1 : 0;
        unproven += refused != nullptr && refused->fault == admission_fault::keys_unproven ? 1 : 0;
        if (refused == nullptr && key != kept_key &&
            sent_at > versions_[key].acknowledged_at + revocation_time)
        {
            note("key " + std::to_string(key) + " used", i);
        }
        // A read that began 4.9 s ago on the slowest clock is younger than 0.99 x 5 s on the fastest.
        if (refused != nullptr && key == kept_key && it.proven_at &&
            events_.now - *it.proven_at < milliseconds{4900})
        {
            note("a valid key refused", i);
        }
    }

    void note(std::string const& what, std::size_t i)
    {
        if (fault_.empty())
        {
            fault_ = what + " at instance " + std::to_string(i) + " at " +
                     std::to_string(in_seconds(events_.now)) + " s";
        }
    }

    void inject_fault()
    {
        std::size_t const i = random_.below(nodes_.size());
        duration const span = milliseconds{100 + random_.below(random_.below(3) == 0 ? 20000 : 3000)};
        switch (random_.below(4))
        {
        case 0:
            nodes_[i].reaches_store = false;
            events_.at(events_.now + span, [this, i] { nodes_[i].reaches_store = true; });
            break;
        case 1:
            nodes_[i].reaches_peers = false;
            events_.at(events_.now + span, [this, i] { nodes_[i].reaches_peers = true; });
            break;
        case 2:
            nodes_[i].frozen = true;
            events_.at(events_.now + span,
                       [this, i]
                       {
                           nodes_[i].frozen = false;
                           auto const pending = std::move(nodes_[i].on_wake);
                           nodes_[i].on_wake.clear();
                           for (auto const& each : pending)
                           {
                               each();
                           }
                       });
            break;
        default:
            // A start without a configuration.
            ++nodes_[i].start;
            nodes_[i].version.reset();
            nodes_[i].named = 0;
            nodes_[i].current_at = steady_time{};
            nodes_[i].proven_at.reset();
            nodes_[i].on_wake.clear();
            learn_at(i, events_.now);
            break;
        }
        events_.at(events_.now + milliseconds{random_.below(3000)}, [this] { inject_fault(); });
    }

    static constexpr std::size_t kept_key = 1000000;

    random_source random_;
    true_time const length_;
    event_queue events_;
    std::vector<node> nodes_;
    std::vector<version_times> versions_;
    organisation const caller_;
    std::string fault_;
};

} // namespace

// Guards against a request with a key that runs although it was sent later than the revocation time after the
// version that took its key away was acknowledged, and against refusals of valid keys at instances that have
// just read the configuration.
Test(quota_random, keys_that_were_taken_away_are_refused_in_time)
{
    std::uint64_t admitted = 0;
    std::uint64_t unproven = 0;
    for (std::uint64_t seed = first_seed(); seed < first_seed() + runs(); ++seed)
    {
        revocation_run run(seed, seconds{60});
        std::string const fault = run.run();
        cr_expect(fault.empty(), "seed %lu: %s", static_cast<unsigned long>(seed), fault.c_str());
        admitted += run.admitted;
        unproven += run.unproven;
    }
    cr_log_info("%lu requests admitted, %lu refused as unproven", static_cast<unsigned long>(admitted),
                static_cast<unsigned long>(unproven));
    cr_expect(admitted > 0 && unproven > 0);
}
