#include "decision/server_reach.hpp"

#include <algorithm>
#include <iterator>

namespace siskinusher
{

namespace
{

// Servers that fail one after the other before the link of this instance is suspected. A request that ends
// its servers reaches two.
constexpr std::size_t failed_servers_of_cut = 3;
// Servers that have not failed and accept no connection.
constexpr unsigned failed_probes_of_cut = 2;
// Failures within one moment prove little.
constexpr duration min_unanswered_time = milliseconds{300};
// Servers that are only slow send events of other streams in this time.
constexpr duration min_silent_time = milliseconds{600};
// A server that has failed is avoided for up to 4 s, so that its next failure may come that much later.
constexpr duration failure_memory = milliseconds{6000};
// A trial without an outcome, for example because its caller has left, keeps others back for this long.
constexpr duration trial_time = milliseconds{1000};
// Requests that may run only once are tried after servers have accepted connections for this long.
constexpr duration single_run_trial_delay = milliseconds{2000};

// Number of servers whose failure is not forgotten; drops the others.
std::size_t recent(std::map<backend_name, steady_time>& failures, steady_time now)
{
    for (auto each = failures.begin(); each != failures.end();)
    {
        each = now - each->second >= failure_memory ? failures.erase(each) : std::next(each);
    }
    return failures.size();
}

} // namespace

void server_reach::on_answer(steady_time now, bool fresh)
{
    received_at_ = now;
    silent_.clear();
    if (!fresh)
    {
        return;
    }
    answered_fresh_at_ = now;
    failed_fresh_.clear();
    suspects_cut_ = false;
    cut_off_ = false;
    accepted_ = false;
    trial_at_ = {};
}

void server_reach::on_failure(steady_time now, backend_name const& server, bool fresh,
                              std::size_t known_servers)
{
    if (cut_off_)
    {
        // The trial has failed, or an attempt that began before the cut was noticed.
        accepted_ = false;
        return;
    }
    std::size_t const needed = std::max<std::size_t>(std::min(failed_servers_of_cut, known_servers), 1);
    (fresh ? failed_fresh_ : silent_)[server] = now;
    if (recent(silent_, now) >= needed && now - received_at_ >= min_silent_time)
    {
        begin_cut(now); // Accepted connections would not show that servers answer.
        return;
    }
    if (recent(failed_fresh_, now) < needed || now - answered_fresh_at_ < min_unanswered_time)
    {
        return;
    }
    failed_probes_ = suspects_cut_ ? failed_probes_ : 0;
    suspects_cut_ = true;
    if (failed_fresh_.size() >= known_servers)
    {
        begin_cut(now);
    }
}

void server_reach::begin_cut(steady_time now)
{
    suspects_cut_ = false;
    cut_off_ = true;
    cut_off_since_ = now;
    accepted_ = false;
    silent_.clear();
    failed_fresh_.clear();
}

void server_reach::on_probe(steady_time now, bool accepted)
{
    if (cut_off_)
    {
        accepted_ = accepted_ || accepted;
        return;
    }
    if (!suspects_cut_)
    {
        return;
    }
    failed_probes_ = accepted ? 0 : failed_probes_ + 1;
    suspects_cut_ = !accepted;
    if (failed_probes_ >= failed_probes_of_cut)
    {
        begin_cut(now);
    }
}

void server_reach::on_all_failed(steady_time now)
{
    if (suspects_cut_)
    {
        begin_cut(now);
    }
}

bool server_reach::has_failed(backend_name const& server) const
{
    return silent_.count(server) > 0 || failed_fresh_.count(server) > 0;
}

bool server_reach::begin_trial(steady_time now, bool repeatable)
{
    if (!cut_off_ || !accepted_)
    {
        accepted_at_ = {};
        return false;
    }
    if (accepted_at_ == steady_time{})
    {
        accepted_at_ = now;
    }
    bool const may_run = repeatable || now - accepted_at_ >= single_run_trial_delay;
    if (!may_run || (trial_at_ != steady_time{} && now - trial_at_ < trial_time))
    {
        return false;
    }
    trial_at_ = now;
    return true;
}

} // namespace siskinusher
