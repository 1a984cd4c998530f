#include "decision/crash_ledger.hpp"

#include "core/hash.hpp"
#include "decision/answer_memory.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

namespace siskinusher
{

namespace
{

// Crashes after which a suspect is blocked. Two may be a coincidence: servers also crash for other reasons,
// and a request that lost its server is sent to a second one.
constexpr unsigned blocking_crashes = 3;
// The same for the first part, which many requests share: blocking it by mistake would refuse a whole route.
constexpr unsigned first_part_blocking_crashes = 5;
// From this number of crashes on, the part is taken as proven to crash engines.
constexpr unsigned proving_crashes = 5;
// A part with fewer crashes is tried again after this time without a further one.
constexpr duration suspected_block_time = seconds{30};
constexpr duration proven_block_time = minutes{15};
constexpr duration mark_lifetime = minutes{15};
// Further crashes under one suspect prove nothing new.
constexpr std::size_t max_marks_of_suspect = 8;
// A blocked request is tried again after this time, and after four times as long for each further crash.
constexpr duration request_block_time = seconds{30};
constexpr double request_block_growth = 4.0;
// Shorter than mark_lifetime, so that the marks of a request that still comes are renewed by trials.
constexpr duration max_request_block_time = minutes{10};
// The same for a request whose crashes others explain as well.
constexpr duration hidden_request_block_time = seconds{1};
// The check whether a lost server has crashed takes up to 720 ms, and no other trial begins meanwhile.
constexpr duration trial_gap = seconds{1};
// For callers whose request waits for a trial of another one.
constexpr duration trial_retry_after = seconds{1};
// Limit of all marks, because callers choose the parts.
constexpr std::size_t max_marks = 512;
// Marks that a peer tells may be this much older than those that they replace: instances follow the store
// with different delays.
constexpr duration max_told_lag = seconds{1};
constexpr std::size_t max_suspects = 8;
// Time until a change of this instance has reached the lease holder and is in its replies.
constexpr duration change_spread_time = seconds{2};

struct mark
{
    crash_mark crash;
    steady_time known_since;
    bool own = false;         ///< Not in the store yet.
    steady_time kept_until{}; ///< A reply without the mark does not remove it before.
    /// Set while only reports of a peer name the mark: it is dropped then unless another report comes.
    std::optional<steady_time> unconfirmed_until{};
    bool lost = false; ///< By the store, and not written again.
};

struct blocked_suspect
{
    unsigned crashes = 0;
    steady_time latest;
    duration block_time{0};
    bool ends_by_trial = false;

    steady_time until() const { return latest + block_time; }
    bool applies(steady_time now) const { return ends_by_trial || now < until(); }
};

duration block_time_of_request(std::size_t crashes)
{
    double const further =
        static_cast<double>(std::max<std::size_t>(crashes, blocking_crashes)) - blocking_crashes;
    std::chrono::duration<double> const grown = request_block_time * std::pow(request_block_growth, further);
    return grown < max_request_block_time ? std::chrono::duration_cast<duration>(grown)
                                          : max_request_block_time;
}

} // namespace

class crash_ledger::implementation
{
public:
    // Requests have a memory of their own: there is a new one with almost every answer, and the parts that
    // many requests share would be forgotten.
    std::optional<steady_time> answered_at(crash_mark const& mark) const
    {
        return (mark.position == whole_request ? answered_requests : answered_parts)
            .answered_at(mark.suspect);
    }

    std::size_t marks_of(std::string const& suspect) const
    {
        return static_cast<std::size_t>(std::count_if(marks.begin(), marks.end(),
                                                      [&suspect](auto const& each)
                                                      { return each.second.crash.suspect == suspect; }));
    }

    // Makes room for a mark: drops the oldest one whose suspect has no other. False when there is
    // none.
    bool drop_single_mark()
    {
        std::map<std::string, unsigned> counts;
        for (auto const& [id, each] : marks)
        {
            ++counts[each.crash.suspect];
        }
        auto oldest = marks.end();
        for (auto each = marks.begin(); each != marks.end(); ++each)
        {
            bool const single = counts[each->second.crash.suspect] == 1;
            if (single && (oldest == marks.end() || each->second.known_since < oldest->second.known_since))
            {
                oldest = each;
            }
        }
        if (oldest == marks.end())
        {
            return false;
        }
        marks.erase(oldest);
        return true;
    }

    bool insert(steady_time now, crash_mark const& crash, bool own)
    {
        std::string const id = id_of(crash);
        if (marks.count(id) > 0 || (marks.size() >= max_marks && !drop_single_mark()))
        {
            return false;
        }
        marks[id] = {crash, now, own, {}, {}, false};
        find_blocked();
        return true;
    }

    using marks_by_suspect = std::map<std::string, std::vector<mark const*>>;

    // Explains the crashes by as few suspects as possible: the one with most of them first. Of those with as
    // many, the one that was answered least recently here, then the later one in the prompt, which fewer
    // requests share.
    void find_blocked()
    {
        blocked.clear();
        marks_by_suspect all;
        for (auto const& [id, each] : marks)
        {
            all[each.crash.suspect].push_back(&each);
        }
        std::set<std::string> explained; // Names of crashes.
        while (block_next(all, explained))
        {
        }
        for (auto const& [suspect, of_suspect] : all)
        {
            bool const hidden = of_suspect.front()->crash.position == whole_request &&
                                of_suspect.size() >= blocking_crashes && blocked.count(suspect) == 0;
            if (hidden)
            {
                block(suspect, of_suspect).block_time = hidden_request_block_time;
            }
        }
    }

    // Blocks the suspect that explains most of the crashes that are not explained yet. False when none
    // explains enough.
    bool block_next(marks_by_suspect const& all, std::set<std::string>& explained)
    {
        marks_by_suspect open;
        for (auto const& [suspect, of_suspect] : all)
        {
            for (mark const* const each : of_suspect)
            {
                if (explained.count(crash_name(each->crash)) == 0)
                {
                    open[suspect].push_back(each);
                }
            }
        }
        auto const best = std::max_element(open.begin(), open.end(),
                                           [this](auto const& a, auto const& b)
                                           { return weight(a.second) < weight(b.second); });
        if (best == open.end() || best->second.size() < needed_crashes(best->second))
        {
            return false;
        }
        blocked_suspect& found = block(best->first, best->second);
        found.block_time = found.ends_by_trial ? block_time_of_request(all.at(best->first).size())
                           : found.crashes >= proving_crashes ? proven_block_time
                                                              : suspected_block_time;
        for (mark const* const each : best->second)
        {
            explained.insert(crash_name(each->crash));
        }
        return true;
    }

    blocked_suspect& block(std::string const& suspect, std::vector<mark const*> const& crashes)
    {
        blocked_suspect& found = blocked[suspect];
        found.crashes = static_cast<unsigned>(crashes.size());
        found.ends_by_trial = crashes.front()->crash.position == whole_request;
        for (mark const* const each : crashes)
        {
            found.latest = std::max(found.latest, each->known_since);
        }
        return found;
    }

    static std::string crash_name(crash_mark const& crash)
    {
        return crash.engine + "/" + std::to_string(crash.engine_started_at);
    }

    static unsigned first_position(std::vector<mark const*> const& of_suspect)
    {
        unsigned position = of_suspect.front()->crash.position;
        for (mark const* const each : of_suspect)
        {
            position = std::min(position, each->crash.position);
        }
        return position;
    }

    static std::size_t needed_crashes(std::vector<mark const*> const& of_suspect)
    {
        return first_position(of_suspect) == 0 ? first_part_blocking_crashes : blocking_crashes;
    }

    std::tuple<std::size_t, steady_time::duration, unsigned>
    weight(std::vector<mark const*> const& of_suspect) const
    {
        auto const last = answered_at(of_suspect.front()->crash);
        auto const unanswered_for = last ? -last->time_since_epoch() : steady_time::duration::max();
        return {of_suspect.size(), unanswered_for, first_position(of_suspect)};
    }

    std::map<std::string, mark> marks; ///< By id.
    steady_time all_known_at;          ///< When the marks were those of the store or of a peer.
    // Marks that were dropped lately: a reply of an instance that still has one does not bring it back.
    std::map<std::string, steady_time> dropped_until;
    std::map<std::string, blocked_suspect> blocked;
    std::map<std::string, unsigned> logged; ///< Blocked suspects that take_changes has returned.
    answer_memory answered_parts;
    answer_memory answered_requests;
    std::string on_trial; ///< The request that is being tried; empty for none.
    steady_time next_trial;
    // Earliest time of the next trial of requests that were lost on trial. At the limit of marks a further
    // crash does not show in them.
    std::map<std::string, steady_time> next_trial_of;
};

crash_ledger::crash_ledger() : impl_(std::make_unique<implementation>()) {}

crash_ledger::~crash_ledger() = default;

std::vector<crash_mark> crash_ledger::on_answered(steady_time now, suspect_names const& names)
{
    for (std::string const& part : names.parts)
    {
        impl_->answered_parts.remember(now, part);
    }
    if (!names.request.empty())
    {
        impl_->answered_requests.remember(now, names.request);
        impl_->next_trial_of.erase(names.request);
    }
    for (auto each = impl_->dropped_until.begin(); each != impl_->dropped_until.end();)
    {
        each = now >= each->second ? impl_->dropped_until.erase(each) : std::next(each);
    }
    std::vector<crash_mark> cleared;
    for (auto const& [id, each] : impl_->marks)
    {
        bool const named =
            each.crash.suspect == names.request ||
            std::find(names.parts.begin(), names.parts.end(), each.crash.suspect) != names.parts.end();
        if (named)
        {
            cleared.push_back(each.crash);
        }
    }
    for (crash_mark const& each : cleared)
    {
        impl_->marks.erase(id_of(each));
        impl_->dropped_until[id_of(each)] = now + change_spread_time;
    }
    if (!cleared.empty())
    {
        impl_->find_blocked();
    }
    return cleared;
}

std::vector<crash_suspect> crash_ledger::suspects(suspect_names const& names, backend_name const& engine,
                                                  std::int64_t engine_started_at) const
{
    std::vector<crash_suspect> found;
    std::optional<crash_suspect> oldest;
    steady_time oldest_answer = steady_time::max();
    for (std::size_t i = 0; i < names.parts.size(); ++i)
    {
        crash_mark const crash{names.parts[i], static_cast<unsigned>(i), engine, engine_started_at};
        auto const last = impl_->answered_at(crash);
        if (!last && found.size() < max_suspects)
        {
            found.push_back({crash, false});
        }
        else if (last && *last <= oldest_answer)
        {
            oldest_answer = *last;
            oldest = crash_suspect{crash, true};
        }
    }
    if (found.empty() && oldest)
    {
        found.push_back(*oldest);
    }
    if (!names.request.empty())
    {
        crash_mark const crash{names.request, whole_request, engine, engine_started_at};
        found.push_back({crash, impl_->answered_at(crash).has_value()});
    }
    return found;
}

bool crash_ledger::answered_after(crash_mark const& mark, steady_time since) const
{
    auto const last = impl_->answered_at(mark);
    return last && *last > since;
}

bool crash_ledger::add_own(steady_time now, crash_mark const& crash)
{
    return impl_->marks_of(crash.suspect) < max_marks_of_suspect && impl_->insert(now, crash, true);
}

void crash_ledger::on_saved(steady_time now, std::string const& id)
{
    auto const found = impl_->marks.find(id);
    if (found != impl_->marks.end())
    {
        found->second.own = false;
        found->second.kept_until = now + change_spread_time;
    }
}

void crash_ledger::add(steady_time now, crash_mark const& crash)
{
    std::string const id = id_of(crash);
    auto const found = impl_->marks.find(id);
    if (found != impl_->marks.end())
    {
        found->second.unconfirmed_until.reset();
        return;
    }
    auto const dropped = impl_->dropped_until.find(id);
    if (dropped == impl_->dropped_until.end() || now >= dropped->second)
    {
        (void)impl_->insert(now, crash, false);
    }
}

void crash_ledger::on_lost(std::string const& id)
{
    auto const found = impl_->marks.find(id);
    if (found != impl_->marks.end())
    {
        found->second.lost = true;
    }
}

std::vector<crash_mark> crash_ledger::take_lost()
{
    std::vector<crash_mark> lost;
    for (auto& [id, each] : impl_->marks)
    {
        if (std::exchange(each.lost, false))
        {
            lost.push_back(each.crash);
        }
    }
    return lost;
}

void crash_ledger::add_reported(steady_time now, crash_mark const& crash)
{
    std::string const id = id_of(crash);
    bool const known = impl_->marks.count(id) > 0;
    if (!known)
    {
        add(now, crash);
    }
    auto const found = impl_->marks.find(id);
    if (found != impl_->marks.end() && (!known || found->second.unconfirmed_until))
    {
        found->second.unconfirmed_until = now + change_spread_time;
    }
}

void crash_ledger::drop_unconfirmed(steady_time now)
{
    std::size_t const before = impl_->marks.size();
    for (auto each = impl_->marks.begin(); each != impl_->marks.end();)
    {
        bool const drop = each->second.unconfirmed_until && now >= *each->second.unconfirmed_until;
        each = drop ? impl_->marks.erase(each) : std::next(each);
    }
    if (impl_->marks.size() != before)
    {
        impl_->find_blocked();
    }
}

void crash_ledger::remove(std::string const& id)
{
    if (impl_->marks.erase(id) > 0)
    {
        impl_->find_blocked();
    }
}

void crash_ledger::replace(steady_time now, std::vector<crash_mark> const& crashes)
{
    std::set<std::string> named;
    for (crash_mark const& each : crashes)
    {
        named.insert(id_of(each));
        add(now, each);
    }
    for (auto each = impl_->marks.begin(); each != impl_->marks.end();)
    {
        bool const keep = named.count(each->first) > 0 || each->second.own || now < each->second.kept_until;
        each = keep ? std::next(each) : impl_->marks.erase(each);
    }
    impl_->find_blocked();
}

bool crash_ledger::replace_by_told(steady_time now, std::vector<crash_mark> const& told, steady_time known_at)
{
    if (known_at + max_told_lag < impl_->all_known_at)
    {
        return false;
    }
    impl_->all_known_at = std::max(impl_->all_known_at, known_at);
    replace(now, told);
    return true;
}

void crash_ledger::on_listed(steady_time read_at)
{
    impl_->all_known_at = std::max(impl_->all_known_at, read_at);
}

std::vector<crash_mark> crash_ledger::expire(steady_time now)
{
    std::vector<crash_mark> expired;
    for (auto each = impl_->marks.begin(); each != impl_->marks.end();)
    {
        bool const old = now - each->second.known_since >= mark_lifetime;
        if (old)
        {
            expired.push_back(each->second.crash);
        }
        each = old ? impl_->marks.erase(each) : std::next(each);
    }
    if (!expired.empty())
    {
        impl_->find_blocked();
    }
    return expired;
}

std::optional<crash_block> crash_ledger::find_block(steady_time now, suspect_names const& names) const
{
    auto const block_of = [this, now](std::string const& suspect) -> std::optional<crash_block>
    {
        auto const found = impl_->blocked.find(suspect);
        if (found == impl_->blocked.end() || !found->second.applies(now))
        {
            return std::nullopt;
        }
        blocked_suspect const& each = found->second;
        duration const least = each.ends_by_trial ? trial_retry_after : duration{0};
        return crash_block{suspect, each.crashes, now - each.latest,
                           std::max<duration>(each.until() - now, least)};
    };
    for (std::string const& part : names.parts)
    {
        if (auto block = block_of(part))
        {
            return block;
        }
    }
    return block_of(names.request);
}

bool crash_ledger::begin_trial(steady_time now, std::string const& request)
{
    auto const found = impl_->blocked.find(request);
    auto const delayed = impl_->next_trial_of.find(request);
    bool const due = found != impl_->blocked.end() && found->second.ends_by_trial &&
                     now >= found->second.until() &&
                     (delayed == impl_->next_trial_of.end() || now >= delayed->second);
    if (!due || !impl_->on_trial.empty() || now < impl_->next_trial)
    {
        return false;
    }
    impl_->on_trial = request;
    return true;
}

void crash_ledger::end_trial(steady_time now, std::string const& request, bool lost)
{
    if (impl_->on_trial != request)
    {
        return;
    }
    impl_->on_trial.clear();
    impl_->next_trial = now + trial_gap;
    auto const found = impl_->blocked.find(request);
    if (lost && found != impl_->blocked.end())
    {
        impl_->next_trial_of[request] = now + std::max<duration>(found->second.block_time, trial_gap);
    }
}

std::vector<block_change> crash_ledger::take_changes(steady_time now)
{
    std::vector<block_change> changes;
    std::map<std::string, unsigned> current;
    for (auto const& [suspect, each] : impl_->blocked)
    {
        if (each.applies(now))
        {
            current[suspect] = each.crashes;
            if (impl_->logged.count(suspect) == 0)
            {
                changes.push_back({suspect, true, each.crashes});
            }
        }
    }
    for (auto const& [suspect, crashes] : impl_->logged)
    {
        if (current.count(suspect) == 0)
        {
            changes.push_back({suspect, false, crashes});
            impl_->next_trial_of.erase(suspect);
        }
    }
    impl_->logged = std::move(current);
    return changes;
}

std::size_t crash_ledger::crashes_of(std::string const& suspect) const
{
    return impl_->marks_of(suspect);
}

std::vector<crash_mark> crash_ledger::crashes() const
{
    std::vector<crash_mark> all;
    for (auto const& [id, each] : impl_->marks)
    {
        all.push_back(each.crash);
    }
    return all;
}

std::vector<crash_mark> crash_ledger::new_crashes(steady_time now) const
{
    std::vector<crash_mark> fresh;
    for (auto const& [id, each] : impl_->marks)
    {
        if (each.own || now < each.kept_until)
        {
            fresh.push_back(each.crash);
        }
    }
    return fresh;
}

std::uint64_t crash_ledger::digest() const
{
    std::uint64_t sum = 0;
    for (auto const& [id, each] : impl_->marks)
    {
        sum ^= stable_hash(id);
    }
    return sum;
}

std::size_t crash_ledger::blocked_suspects(steady_time now) const
{
    return static_cast<std::size_t>(std::count_if(impl_->blocked.begin(), impl_->blocked.end(),
                                                  [now](auto const& each)
                                                  { return each.second.applies(now); }));
}

bool operator==(crash_suspect const& a, crash_suspect const& b)
{
    return a.crash == b.crash && a.answered_before == b.answered_before;
}

} // namespace siskinusher
