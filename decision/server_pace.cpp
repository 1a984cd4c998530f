#include "decision/server_pace.hpp"

#include <algorithm>

namespace siskinusher
{

namespace
{

constexpr double first_window_share = 0.125;
// One request at a time would leave a server of few places idle between two answers.
constexpr double min_window = 2.0;
// Instances without an answer go on sending until the load is this many first windows: otherwise two requests
// that run for seconds would keep all others from learning anything.
constexpr double probed_windows = 2.0;
// Windows sent in an interval to a server that is idle as far as known. The rate falls with the load and ends
// at probed_windows, since the load that an instance knows lags behind. With 2.0, and a load of exactly half
// of the places taken as borne, 13 requests met at a slow server of 12 places in one of five simulated runs.
constexpr double idle_rate = 1.5;
// What one instance may use of the window after an answer in time. Several instances have such an answer at
// the same time, and do not see each other's requests for up to a second.
constexpr double answered_share = 0.5;
// A load above this share of the places comes only from instances that had answers in time: the others stop
// at twice the first window, a quarter of the places.
constexpr double borne_share = 0.5;
constexpr duration draw_interval = milliseconds{100};
// An engine's requests run for seconds and show in the sums of all instances after up to a second. Until then
// the instances together send one window; with a window in each 100 ms, 65 instances would send 20 requests
// to 12 places before the first sum shows any of them.
constexpr duration engine_window_interval = milliseconds{1000};
// An instance with few requests draws for the time since its latest draw, but for two intervals at most: a
// burst at all instances after a calm time sends two windows.
constexpr int max_drawn_intervals = 2;
// The sums of all instances may count requests from before the trial for this time: a report and its reply
// are up to 500 ms old each.
constexpr duration load_lag = milliseconds{1000};
// A refusal within this time after a start shows that the server was used too early.
constexpr duration start_time = seconds{5};
// Bounds the harm of a load figure or a usual time that is wrong: no server is held back for longer without
// a failure or refusal.
constexpr duration max_trial = seconds{30};
constexpr double slow_factor = 2.0;
// A round trip between regions takes 16 ms, which says nothing about the server.
constexpr duration distance_allowance = milliseconds{20};
constexpr std::size_t remembered_answers = 31;
// With fewer answers of other servers, only the objective decides.
constexpr std::size_t min_compared_answers = 5;
// A deployment has 150 models at most; an operator's mistake must not take memory without bound.
constexpr std::size_t max_kinds = 512;
constexpr std::size_t max_gone = 2048;

double first_window(unsigned places)
{
    return std::max(places * first_window_share, min_window);
}

} // namespace

server_pace::server_pace(std::uint64_t seed) : random_(seed) {}

void server_pace::on_known(backend_name const& backend, std::int64_t started_at)
{
    runs_[backend] = {started_at, false};
}

void server_pace::on_started(steady_time now, backend_name const& backend, std::int64_t started_at,
                             paced_server const& server)
{
    auto const known = runs_.find(backend);
    if (known != runs_.end() && known->second.started_at == started_at)
    {
        known->second.gone = false;
        return;
    }
    runs_[backend] = {started_at, false};
    trial& each = trials_[backend];
    each = {};
    each.after_start = true;
    each.started_at = now;
    begin(now, each, server);
}

void server_pace::begin(steady_time now, trial& each, paced_server const& server)
{
    each.server = server;
    each.active = true;
    each.began_at = now;
    each.window = first_window(server.places);
    each.window_set_at = now;
    each.answered_in_time = false;
    each.drawn = false;
    each.drawn_at = now;
    if (each.window >= server.places)
    {
        each.active = false;
    }
}

void server_pace::on_failed(steady_time now, backend_name const& backend, paced_server const& server)
{
    begin(now, trials_[backend], server);
}

void server_pace::on_refused(steady_time now, backend_name const& backend, duration took)
{
    auto const found = trials_.find(backend);
    if (found == trials_.end())
    {
        return;
    }
    trial& each = found->second;
    if (find_active(now, backend) != nullptr)
    {
        each.began_at = now;
        shrink(now, each, took);
    }
    else if (each.started_at != steady_time::min() && now - each.started_at < start_time)
    {
        begin(now, each, each.server);
    }
}

void server_pace::grow(steady_time now, trial& each, double window)
{
    each.window = window;
    each.window_set_at = now;
    each.active = each.window < each.server.places;
}

void server_pace::shrink(steady_time now, trial& each, duration took)
{
    each.answered_in_time = false;
    if (now - took >= each.window_set_at)
    {
        each.window = std::max(each.window / 2.0, first_window(each.server.places));
        each.window_set_at = now;
    }
}

bool server_pace::in_time(steady_time now, backend_name const& backend, answer_kind const& kind,
                          duration took, duration objective) const
{
    if (objective > duration{0} && took > objective)
    {
        return false;
    }
    auto const found = answers_.find(kind);
    std::vector<duration> others;
    if (found != answers_.end())
    {
        for (timed_answer const& each : found->second)
        {
            if (each.backend != backend && !on_trial(now, each.backend))
            {
                others.push_back(each.took);
            }
        }
    }
    if (others.size() < min_compared_answers)
    {
        return true;
    }
    auto const middle = others.begin() + static_cast<std::ptrdiff_t>(others.size() / 2);
    std::nth_element(others.begin(), middle, others.end());
    return took <= std::chrono::duration_cast<duration>(*middle * slow_factor) + distance_allowance;
}

void server_pace::on_answer(steady_time now, backend_name const& backend, answer_kind const& kind,
                            duration took, duration objective, unsigned in_use)
{
    if (trial* const each = find_active(now, backend))
    {
        if (!in_time(now, backend, kind, took, objective))
        {
            shrink(now, *each, took);
        }
        else if (now - took >= each->window_set_at)
        {
            each->answered_in_time = true;
            // The answer came in time beside the requests that were there.
            grow(now, *each, std::max<double>(each->window, in_use) * 2.0);
        }
        return;
    }
    if (answers_.size() >= max_kinds && answers_.count(kind) == 0)
    {
        answers_.clear();
    }
    std::deque<timed_answer>& answers = answers_[kind];
    answers.push_back({backend, took});
    if (answers.size() > remembered_answers)
    {
        answers.pop_front();
    }
}

void server_pace::on_error(steady_time now, backend_name const& backend, duration took)
{
    if (trial* const each = find_active(now, backend))
    {
        shrink(now, *each, took);
    }
}

void server_pace::on_load(steady_time now, backend_name const& backend, unsigned in_use)
{
    trial* const each = find_active(now, backend);
    bool const sends_rarely = each != nullptr && each->window < instances_;
    if (sends_rarely && in_use > each->window && in_use > each->server.places * borne_share &&
        now - each->began_at >= load_lag)
    {
        // At most a doubling for each report, so that a single wrong report does not end the trial.
        grow(now, *each, std::min<double>(in_use, each->window * 2.0));
    }
}

void server_pace::on_sent(steady_time now, backend_name const& backend)
{
    if (trial* const each = find_active(now, backend))
    {
        each->drawn = false;
    }
}

void server_pace::on_instances(unsigned instances)
{
    instances_ = instances > 0 ? instances : instances_;
}

void server_pace::forget(backend_name const& backend)
{
    trials_.erase(backend);
    auto const run = runs_.find(backend);
    if (run == runs_.end() || run->second.gone)
    {
        return;
    }
    run->second.gone = true;
    gone_.push_back(backend);
    if (gone_.size() > max_gone)
    {
        auto const oldest = runs_.find(gone_.front());
        if (oldest != runs_.end() && oldest->second.gone)
        {
            runs_.erase(oldest);
        }
        gone_.pop_front();
    }
}

void server_pace::forget_failures()
{
    for (auto each = trials_.begin(); each != trials_.end();)
    {
        each = each->second.after_start ? std::next(each) : trials_.erase(each);
    }
}

server_pace::trial* server_pace::find_active(steady_time now, backend_name const& backend)
{
    auto const found = trials_.find(backend);
    return found != trials_.end() && found->second.active && now - found->second.began_at < max_trial
               ? &found->second
               : nullptr;
}

server_pace::trial const* server_pace::find_active(steady_time now, backend_name const& backend) const
{
    auto const found = trials_.find(backend);
    return found != trials_.end() && found->second.active && now - found->second.began_at < max_trial
               ? &found->second
               : nullptr;
}

bool server_pace::may_send(steady_time now, backend_name const& backend, unsigned own_requests,
                           unsigned in_use)
{
    trial* const each = find_active(now, backend);
    if (each == nullptr)
    {
        return true;
    }
    double const probed = std::max(each->window, first_window(each->server.places) * probed_windows);
    if (in_use >= (each->answered_in_time ? each->window : probed))
    {
        return false;
    }
    double const part = each->window / instances_;
    if (own_requests + 1 <= part)
    {
        return true;
    }
    if (each->answered_in_time)
    {
        return own_requests + 1 <= std::max(each->window * answered_share, 1.0);
    }
    if (own_requests > 0 || part >= 1.0)
    {
        return false;
    }
    duration const waited = now - each->drawn_at;
    if (waited >= draw_interval)
    {
        duration const interval = each->server.is_engine ? engine_window_interval : draw_interval;
        auto const intervals =
            std::chrono::duration<double>(std::min<duration>(waited, interval * max_drawn_intervals)) /
            interval;
        each->drawn = random_.unit() < part * intervals * idle_rate * (1.0 - in_use / probed);
        each->drawn_at = now;
    }
    return each->drawn;
}

bool server_pace::on_trial(steady_time now, backend_name const& backend) const
{
    return find_active(now, backend) != nullptr;
}

std::vector<backend_name> server_pace::servers_on_trial(steady_time now) const
{
    std::vector<backend_name> names;
    for (auto const& [name, each] : trials_)
    {
        if (on_trial(now, name))
        {
            names.push_back(name);
        }
    }
    return names;
}

double server_pace::window(steady_time now, backend_name const& backend) const
{
    trial const* const each = find_active(now, backend);
    return each == nullptr ? 0.0 : each->window;
}

} // namespace siskinusher
