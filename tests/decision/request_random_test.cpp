#include "core/random_source.hpp"
#include "decision/request_fixture.hpp"

#include <deque>
#include <functional>
#include <map>
#include <set>

using namespace siskinusher;

namespace
{

constexpr duration tick_length = milliseconds(50);
// Time within which the announcement of a suspect reaches all instances.
constexpr duration announcement_time = milliseconds(110);
constexpr std::uint64_t culprit = 666; ///< Fingerprint of a request that crashes every server that runs it.

/// Simulates three instances and five servers with delayed messages, lost connections, crashes and silent
/// servers.
class random_fleet
{
public:
    explicit random_fleet(std::uint64_t seed) : random_(seed)
    {
        for (char const* const name : {"i1", "i2", "i3"})
        {
            members_.push_back(member_of(name, "a"));
        }
        for (char const* const name : {"e1", "e2", "e3"})
        {
            rows_.push_back(listed(name));
            servers_[name] = {1, true, {"m"}, {}};
        }
        for (char const* const name : {"s1", "s2"})
        {
            rows_.push_back(listed(name, listed_kind::service));
            servers_[name] = {1, true, {}, {}};
        }
        servers_["e2"].models.emplace_back("n");
        for (member const& item : members_)
        {
            auto& node = nodes_[item.id.name];
            node = std::make_unique<request_controller>(request_settings{item.id, "a"}, random_.next());
            outbox out;
            node->on_members(now_, members_);
            node->on_config(now_, sample_config(), out);
            node->on_instances(now_, rows_, out);
            apply_actions(item.id.name, out);
        }
    }

    void run(duration length)
    {
        steady_time const end = now_ + length;
        for (auto const& node : nodes_)
        {
            every(tick_length, node.first,
                  [](request_controller& c, steady_time t, outbox& o) { c.on_tick(t, o); });
            for (auto const& server : servers_)
            {
                poll_regularly(node.first, server.first);
            }
        }
        schedule_arrival(end - seconds(40));
        at(seconds(5), [this] { send_culprit(); });
        while (!events_.empty() && events_.begin()->first <= end)
        {
            auto const next = events_.begin();
            now_ = next->first;
            auto const what = std::move(next->second);
            events_.erase(next);
            what();
        }
        for (auto const& item : requests_)
        {
            cr_assert(item.second.answered, "request %lu was never answered",
                      static_cast<unsigned long>(item.first));
        }
        for (auto const& node : nodes_)
        {
            cr_assert_eq(node.second->open_requests(), 0);
        }
        cr_assert_geq(requests_.size(), 1000);
        cr_assert_leq(culprit_deaths_, 2, "%u servers died", culprit_deaths_);
        cr_assert_geq(culprit_deaths_, 1, "no server died of the culprit, so the run has tested nothing");
    }

private:
    struct server_state
    {
        std::uint64_t boot = 1;
        bool alive = true;
        std::vector<std::string> models;
        std::set<std::pair<request_number, unsigned>> running;
    };
    struct request_state
    {
        std::string node;
        request_profile profile;
        steady_time deadline;
        bool answered = false;
        bool ran = false;
        bool unclear = false;
        unsigned attempts = 0;
        unsigned runs = 0;
        steady_time ran_at{};
        request_number origin = 0; ///< Number of a forwarded request at the instance that it came from.
        unsigned origin_attempt = 0;
    };

    void at(duration delay, std::function<void()> what) { events_.emplace(now_ + delay, std::move(what)); }

    template <typename Step>
    void step(std::string const& node, Step what)
    {
        outbox out;
        request_controller& controller = *nodes_.at(node);
        what(controller, now_, out);
        apply_actions(node, out);
        for (call_entry const& entry : controller.take_finished_calls())
        {
            auto& record = records_[entry.key];
            if (record.nonce == entry.nonce)
            {
                record = entry;
            }
        }
        for (call_start const& start : controller.take_call_starts())
        {
            at(milliseconds(2 + random_.below(10)), [this, node, start] { begin(node, start); });
        }
    }

    template <typename Step>
    void every(duration interval, std::string const& node, Step what)
    {
        at(interval,
           [this, interval, node, what]
           {
               step(node, what);
               every(interval, node, what);
           });
    }

    void begin(std::string const& node, call_start const& start)
    {
        call_start_result result{start.number, call_start_outcome::granted, {}};
        auto& record = records_[start.entry.key];
        bool const open = record.key.empty() || record.state == call_state::abandoned;
        if (random_.below(20) == 0)
        {
            result.outcome = call_start_outcome::unavailable;
        }
        else if (open)
        {
            record = start.entry;
        }
        else
        {
            result.outcome = record.state == call_state::done ? call_start_outcome::replay
                                                              : call_start_outcome::outcome_unknown;
            result.entry = record;
        }
        step(node,
             [&](request_controller& c, steady_time t, outbox& o) { c.on_call_start_result(t, result, o); });
    }

    void poll(std::string const& node, std::string const& name)
    {
        server_state const& server = servers_.at(name);
        if (!server.alive)
        {
            step(node,
                 [&](request_controller& c, steady_time t, outbox& o) {
                     c.on_engine_unreachable(t, {name, true}, o);
                 });
            return;
        }
        auto report = report_of(name, server.models, 3, server.boot);
        report.running = static_cast<unsigned>(server.running.size());
        step(node, [&](request_controller& c, steady_time t, outbox& o) { c.on_report(t, report, o); });
    }

    void poll_regularly(std::string const& node, std::string const& name)
    {
        at(milliseconds(400 + random_.below(200)),
           [this, node, name]
           {
               poll(node, name);
               poll_regularly(node, name);
           });
    }

    void schedule_arrival(steady_time until)
    {
        if (now_ >= until)
        {
            return;
        }
        request_profile p = random_.below(3) == 0 ? request_fixture::call() : request_fixture::profile();
        p.model = p.service.empty() && random_.below(4) == 0 ? "n" : p.model;
        p.request_rank = all_ranks.at(random_.below(rank_count));
        p.time_to_deadline = milliseconds(200 + random_.below(8000));
        p.fingerprint = 1000 + random_.below(400);
        p.prefix_hash = random_.below(20);
        if (!p.service.empty())
        {
            p.fingerprint += 10000;
            p.repeatable = random_.below(4) == 0;
            p.idempotency_key = random_.below(2) == 0 ? "key" + std::to_string(random_.below(150)) : "";
        }
        send(p);
        if (random_.below(400) == 0)
        {
            kill(rows_.at(random_.below(rows_.size())).name);
        }
        at(milliseconds(random_.below(60)), [this, until] { schedule_arrival(until); });
    }

    // Sends the culprit again at random instances; each copy arrives after the announcement of the last
    // death.
    void send_culprit()
    {
        request_profile p = request_fixture::profile();
        p.fingerprint = culprit;
        send(p);
        at(milliseconds(300 + random_.below(900)), [this] { resend_culprit(); });
    }
    void resend_culprit()
    {
        if (++culprit_sent_ < 20)
        {
            send_culprit();
        }
    }

    void send(request_profile p)
    {
        p.number = ++last_number_;
        std::string const node = members_.at(random_.below(members_.size())).id.name;
        requests_[p.number] = {node, p, now_ + p.time_to_deadline};
        step(node, [&](request_controller& c, steady_time t, outbox& o) { c.on_request(t, p, o); });
    }

    void answer(request_number number)
    {
        request_state& request = requests_.at(number);
        cr_assert(!request.answered, "second answer to request %lu", static_cast<unsigned long>(number));
        cr_assert(now_ <= request.deadline + tick_length, "request %lu was answered too late",
                  static_cast<unsigned long>(number));
        request.answered = true;
    }

    // The instance that forwarded a request gets a refusal that says not_run as a refusal, and any other
    // refusal as an answer.
    void answer_origin(request_number number, attempt_result result)
    {
        request_state const& request = requests_.at(number);
        if (request.origin != 0)
        {
            at(milliseconds(1), [this, number = request.origin, attempt = request.origin_attempt, result]
               { end(number, attempt, result, false); });
        }
    }

    void receive(forward const& from)
    {
        request_profile p = requests_.at(from.number).profile;
        p.number = ++last_number_;
        p.forwarded = true;
        p.time_to_deadline = from.time_left - milliseconds(1);
        requests_[p.number] = {from.instance, p, now_ + p.time_to_deadline};
        requests_[p.number].origin = from.number;
        requests_[p.number].origin_attempt = from.attempt;
        step(from.instance, [&](request_controller& c, steady_time t, outbox& o) { c.on_request(t, p, o); });
    }

    void end(request_number number, unsigned attempt, attempt_result result, bool dead)
    {
        request_state& request = requests_.at(number);
        bool const proven = result == attempt_result::refused_not_run || result == attempt_result::not_sent;
        request.unclear = request.unclear || !proven;
        if (result == attempt_result::answered && !request.answered)
        {
            answer(number);
            answer_origin(number, result);
        }
        attempt_finished f;
        f.number = number;
        f.attempt = attempt;
        f.result = result;
        f.server_dead = dead;
        step(request.node,
             [&](request_controller& c, steady_time t, outbox& o) { c.on_attempt_finished(t, f, o); });
    }

    void kill(std::string const& name)
    {
        server_state& server = servers_.at(name);
        if (!server.alive)
        {
            return;
        }
        server.alive = false;
        ++server.boot;
        auto const lost = std::exchange(server.running, {});
        bool const at_once = random_.below(2) == 0; // The server restarts before anyone notices.
        for (auto const& item : lost)
        {
            count_death(item.first);
            at(milliseconds(1 + random_.below(5)), [this, item, at_once]
               { end(item.first, item.second, attempt_result::connection_lost, !at_once); });
        }
        at(at_once ? duration{500} : duration{milliseconds(300)},
           [this, name] { servers_.at(name).alive = true; });
    }

    // The bound does not count copies whose first run began before all instances could know of the first
    // death.
    void count_death(request_number number)
    {
        request_state const& request = requests_.at(number);
        if (request.profile.fingerprint != culprit)
        {
            return;
        }
        bool const first = first_death_ == steady_time::max();
        first_death_ = std::min(first_death_, now_);
        bool const copy = request.runs == 1 && request.ran_at <= first_death_ + announcement_time;
        culprit_deaths_ += first || !copy ? 1 : 0;
    }

    void execute(request_number number, unsigned attempt, std::string const& name)
    {
        server_state& server = servers_.at(name);
        request_state& request = requests_.at(number);
        if (!server.alive)
        {
            end(number, attempt, attempt_result::not_sent, true);
            return;
        }
        if (server.running.size() >= 3 || random_.below(30) == 0)
        {
            end(number, attempt, attempt_result::refused_not_run, false);
            return;
        }
        cr_assert(request.profile.repeatable || !request.ran, "a call that may not be repeated ran twice");
        request.ran = true;
        request.ran_at = now_;
        ++request.runs;
        if (request.origin != 0)
        {
            requests_.at(request.origin).ran = true;
        }
        if (!request.profile.repeatable && !request.profile.idempotency_key.empty())
        {
            cr_assert(run_keys_.insert(request.profile.idempotency_key).second, "a key ran twice");
        }
        server.running.emplace(number, attempt);
        if (request.profile.fingerprint == culprit)
        {
            at(milliseconds(5), [this, name] { kill(name); });
            return;
        }
        std::uint64_t const roll = random_.below(60);
        auto const result = roll == 0   ? attempt_result::connection_lost
                            : roll == 1 ? attempt_result::silent
                            : roll == 2 ? attempt_result::bad_answer
                                        : attempt_result::answered;
        at(milliseconds(5 + random_.below(roll == 3 ? 9000 : 300)),
           [this, name, number, attempt, result]
           {
               if (servers_.at(name).running.erase({number, attempt}) != 0)
               {
                   end(number, attempt, result, false);
               }
           });
    }

    void apply_actions(std::string const& node, outbox const& out)
    {
        for (action const& item : out)
        {
            if (auto const* const sent = std::get_if<dispatch>(&item))
            {
                request_state& request = requests_.at(sent->number);
                cr_assert(!request.answered);
                cr_assert(request.profile.repeatable || !request.unclear,
                          "a call that may not be repeated was sent again after an unclear attempt");
                cr_assert_leq(++request.attempts, 3);
                at(milliseconds(1), [this, d = *sent] { execute(d.number, d.attempt, d.server); });
            }
            else if (auto const* const no = std::get_if<refuse>(&item))
            {
                answer(no->number);
                cr_assert(no->answer.execution != execution_verdict::not_run || !requests_.at(no->number).ran,
                          "not_run was said of a request that ran");
                answer_origin(no->number, no->answer.execution == execution_verdict::not_run
                                              ? attempt_result::refused_not_run
                                              : attempt_result::answered);
            }
            else if (auto const* const passed = std::get_if<forward>(&item))
            {
                cr_assert(!requests_.at(passed->number).profile.forwarded, "a request was forwarded twice");
                ++requests_.at(passed->number).attempts;
                at(milliseconds(1), [this, f = *passed] { receive(f); });
            }
            else if (auto const* const replay = std::get_if<replay_answer>(&item))
            {
                answer(replay->number);
            }
            else if (auto const* const message = std::get_if<send_peer>(&item))
            {
                at(milliseconds(1 + random_.below(9)),
                   [this, node, m = *message]
                   {
                       step(m.to,
                            [&](request_controller& c, steady_time t, outbox& o) {
                                c.on_peer(t, {node, 1}, m.message, o);
                            });
                   });
            }
            else if (auto const* const asked = std::get_if<poll_engine>(&item))
            {
                at(milliseconds(1 + random_.below(3)),
                   [this, node, name = asked->name] { poll(node, name); });
            }
        }
    }

    random_source random_;
    steady_time now_{seconds(1000)};
    std::multimap<steady_time, std::function<void()>> events_;
    std::vector<member> members_;
    std::vector<listed_server> rows_;
    std::map<std::string, std::unique_ptr<request_controller>> nodes_;
    std::map<std::string, server_state> servers_;
    std::map<request_number, request_state> requests_;
    std::map<std::string, call_entry> records_;
    std::set<std::string> run_keys_;
    request_number last_number_ = 0;
    unsigned culprit_sent_ = 0;
    unsigned culprit_deaths_ = 0;
    steady_time first_death_ = steady_time::max();
};

} // namespace

// Guards against violations of I3 to I6, and against a request that crashes more than two servers, under
// random loads, crashes, lost connections and late results.
Test(request_random, keeps_the_invariants_of_requests)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
    {
        random_fleet(seed).run(seconds(100));
    }
}

// Guards against a rank that is starved by a flood of other ranks: in every window of ten seconds each
// waiting rank gets its floor of the dispatches, less the credit that it carries over into the next window.
Test(request_random, holds_the_floors_in_every_window_of_ten_seconds)
{
    random_source random(20261204);
    request_fixture fixture({listed("e1")});
    fixture.remove_peers();
    std::multimap<steady_time, request_number> ends;
    std::map<request_number, std::size_t> ranks;
    std::deque<std::pair<steady_time, std::size_t>> window;
    std::array<std::size_t, rank_count> served{};
    std::array<int, rank_count> waiting{};
    auto const config = sample_config();
    auto const record_actions = [&]
    {
        for (dispatch const& sent : fixture.all<dispatch>())
        {
            std::size_t const r = ranks.at(sent.number);
            ends.emplace(fixture.now + milliseconds(20 + random.below(60)), sent.number);
            window.emplace_back(fixture.now, r);
            ++served.at(r);
            --waiting.at(r);
        }
        for (refuse const& no : fixture.all<refuse>())
        {
            --waiting.at(ranks.at(no.number));
        }
    };
    std::array<steady_time, rank_count> waits_since{};
    unsigned checked = 0;
    for (int i = 0; i < 60000; ++i)
    {
        fixture.now += milliseconds(1);
        if (i % 500 == 0)
        {
            auto report = report_of("e1", {"m"}, 10);
            report.running = static_cast<unsigned>(ends.size());
            fixture.report(report);
            record_actions();
        }
        // The flooding rank changes every 12 s; the total of arrivals always exceeds the capacity of the
        // server.
        std::uint64_t const flood = static_cast<std::uint64_t>(i) / 12000 % rank_count;
        auto p = fixture.profile();
        p.request_rank = all_ranks.at(random.below(3) == 0 ? flood : random.below(rank_count));
        ranks[fixture.next] = index_of(p.request_rank);
        ++waiting.at(index_of(p.request_rank));
        fixture.send(p);
        record_actions();
        while (!ends.empty() && ends.begin()->first <= fixture.now)
        {
            auto const number = ends.begin()->second;
            ends.erase(ends.begin());
            fixture.finish(number, 1, attempt_result::answered);
            record_actions();
        }
        if (i % 50 == 0)
        {
            fixture.tick(duration{0});
            record_actions();
        }
        while (!window.empty() && fixture.now - window.front().first > seconds(10))
        {
            --served.at(window.front().second);
            window.pop_front();
        }
        for (std::size_t r = 0; r < rank_count; ++r)
        {
            if (waiting.at(r) == 0)
            {
                waits_since.at(r) = fixture.now;
            }
            else if (fixture.now - waits_since.at(r) > seconds(10))
            {
                double const floor = config->ranks.at(r).floor * static_cast<double>(window.size());
                cr_assert(static_cast<double>(served.at(r)) + 3.0 >= floor, "rank %zu got %zu of %zu", r,
                          served.at(r), window.size());
                ++checked;
            }
        }
    }
    cr_assert_geq(checked, 10000, "the ranks did not wait long enough: checked %u", checked);
}
