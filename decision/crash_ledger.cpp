#include "decision/crash_ledger.hpp"

#include "core/hash.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <unordered_map>
#include <utility>

namespace siskinusher
{

namespace
{

// Crashes after which a part is blocked. Two may be a coincidence: engines also crash for other reasons, and
// a request that lost its engine is sent to a second one.
constexpr unsigned blocking_crashes = 3;
// The same for the first part, which many requests share: blocking it by mistake would refuse a whole route.
constexpr unsigned first_part_blocking_crashes = 5;
// From this number of crashes on, the part is taken as proven to crash engines.
constexpr unsigned proving_crashes = 5;
// A part with fewer crashes is tried again after this time without a further one.
constexpr duration suspected_block_time = seconds{30};
constexpr duration proven_block_time = minutes{15};
constexpr duration mark_lifetime = minutes{15};
// Further crashes of one part prove nothing new.
constexpr std::size_t max_marks_of_part = 8;
// Limit of all marks, because callers choose the parts.
constexpr std::size_t max_marks = 512;
constexpr std::size_t max_suspects = 8;
// Parts whose latest answer is remembered; twice as many at most.
constexpr std::size_t remembered_parts = 4096;
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

struct blocked_part
{
    unsigned crashes = 0;
    steady_time latest;

    steady_time until() const
    {
        return latest + (crashes >= proving_crashes ? proven_block_time : suspected_block_time);
    }
};

} // namespace

class crash_ledger::implementation
{
public:
    std::optional<steady_time> answered_at(std::string const& part) const
    {
        for (auto const* const each : {&answered, &answered_earlier})
        {
            auto const found = each->find(part);
            if (found != each->end())
            {
                return found->second;
            }
        }
        return std::nullopt;
    }

    void remember_answer(steady_time now, std::string const& part)
    {
        if (answered.size() >= remembered_parts)
        {
            answered_earlier = std::exchange(answered, {});
        }
        answered[part] = now;
    }

    std::size_t marks_of(std::string const& part) const
    {
        return static_cast<std::size_t>(std::count_if(marks.begin(), marks.end(),
                                                      [&part](auto const& each)
                                                      { return each.second.crash.suspect == part; }));
    }

    // Makes room for a mark: drops the oldest one whose part was suspected only once. False when there is
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

    // Explains the crashes by as few parts as possible: the part with most of them first. Of parts with as
    // many, the one that was answered least recently here, then the later one in the prompt, which fewer
    // requests share.
    void find_blocked()
    {
        blocked.clear();
        std::set<std::string> explained; // Ids of crashes.
        for (;;)
        {
            std::map<std::string, std::vector<mark const*>> by_part;
            for (auto const& [id, each] : marks)
            {
                if (explained.count(crash_name(each.crash)) == 0)
                {
                    by_part[each.crash.suspect].push_back(&each);
                }
            }
            auto const best = std::max_element(by_part.begin(), by_part.end(),
                                               [this](auto const& a, auto const& b)
                                               { return weight(a.second) < weight(b.second); });
            if (best == by_part.end() || best->second.size() < needed_crashes(best->second))
            {
                return;
            }
            blocked_part& found = blocked[best->first];
            found.crashes = static_cast<unsigned>(best->second.size());
            for (mark const* const each : best->second)
            {
                found.latest = std::max(found.latest, each->known_since);
                explained.insert(crash_name(each->crash));
            }
        }
    }

    static std::string crash_name(crash_mark const& crash)
    {
        return crash.engine + "/" + std::to_string(crash.engine_started_at);
    }

    static unsigned first_position(std::vector<mark const*> const& of_part)
    {
        unsigned position = of_part.front()->crash.position;
        for (mark const* const each : of_part)
        {
            position = std::min(position, each->crash.position);
        }
        return position;
    }

    static std::size_t needed_crashes(std::vector<mark const*> const& of_part)
    {
        return first_position(of_part) == 0 ? first_part_blocking_crashes : blocking_crashes;
    }

    std::tuple<std::size_t, steady_time::duration, unsigned>
    weight(std::vector<mark const*> const& of_part) const
    {
        auto const last = answered_at(of_part.front()->crash.suspect);
        auto const unanswered_for = last ? -last->time_since_epoch() : steady_time::duration::max();
        return {of_part.size(), unanswered_for, first_position(of_part)};
    }

    std::map<std::string, mark> marks; ///< By id.
    // Marks that were dropped lately: a reply of an instance that still has one does not bring it back.
    std::map<std::string, steady_time> dropped_until;
    std::map<std::string, blocked_part> blocked;
    std::map<std::string, unsigned> logged; ///< Blocked parts that take_changes has returned.
    // Time of the latest answer by part. When the first map is full, it replaces the second one.
    std::unordered_map<std::string, steady_time> answered;
    std::unordered_map<std::string, steady_time> answered_earlier;
};

crash_ledger::crash_ledger() : impl_(std::make_unique<implementation>()) {}

crash_ledger::~crash_ledger() = default;

std::vector<crash_mark> crash_ledger::on_answered(steady_time now, std::vector<std::string> const& parts)
{
    for (std::string const& part : parts)
    {
        impl_->remember_answer(now, part);
    }
    for (auto each = impl_->dropped_until.begin(); each != impl_->dropped_until.end();)
    {
        each = now >= each->second ? impl_->dropped_until.erase(each) : std::next(each);
    }
    std::vector<crash_mark> cleared;
    for (auto const& [id, each] : impl_->marks)
    {
        if (std::find(parts.begin(), parts.end(), each.crash.suspect) != parts.end())
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

std::vector<crash_suspect> crash_ledger::suspects(std::vector<std::string> const& parts,
                                                  backend_name const& engine,
                                                  std::int64_t engine_started_at) const
{
    std::vector<crash_suspect> never_answered;
    std::optional<crash_suspect> oldest;
    steady_time oldest_answer = steady_time::max();
    for (std::size_t i = 0; i < parts.size(); ++i)
    {
        crash_mark const crash{parts[i], static_cast<unsigned>(i), engine, engine_started_at};
        auto const last = impl_->answered_at(parts[i]);
        if (!last && never_answered.size() < max_suspects)
        {
            never_answered.push_back({crash, false});
        }
        else if (last && *last <= oldest_answer)
        {
            oldest_answer = *last;
            oldest = crash_suspect{crash, true};
        }
    }
    if (never_answered.empty() && oldest)
    {
        return {*oldest};
    }
    return never_answered;
}

bool crash_ledger::answered_after(std::string const& part, steady_time since) const
{
    auto const last = impl_->answered_at(part);
    return last && *last > since;
}

bool crash_ledger::add_own(steady_time now, crash_mark const& crash)
{
    return impl_->marks_of(crash.suspect) < max_marks_of_part && impl_->insert(now, crash, true);
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

std::optional<crash_block> crash_ledger::find_block(steady_time now,
                                                    std::vector<std::string> const& parts) const
{
    for (std::string const& part : parts)
    {
        auto const found = impl_->blocked.find(part);
        if (found != impl_->blocked.end() && now < found->second.until())
        {
            return crash_block{part, found->second.crashes, now - found->second.latest,
                               found->second.until() - now};
        }
    }
    return std::nullopt;
}

std::vector<block_change> crash_ledger::take_changes(steady_time now)
{
    std::vector<block_change> changes;
    std::map<std::string, unsigned> current;
    for (auto const& [part, each] : impl_->blocked)
    {
        if (now < each.until())
        {
            current[part] = each.crashes;
            if (impl_->logged.count(part) == 0)
            {
                changes.push_back({part, true, each.crashes});
            }
        }
    }
    for (auto const& [part, crashes] : impl_->logged)
    {
        if (current.count(part) == 0)
        {
            changes.push_back({part, false, crashes});
        }
    }
    impl_->logged = std::move(current);
    return changes;
}

std::size_t crash_ledger::crashes_of(std::string const& part) const
{
    return impl_->marks_of(part);
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
                                                  { return now < each.second.until(); }));
}

bool operator==(crash_suspect const& a, crash_suspect const& b)
{
    return a.crash == b.crash && a.answered_before == b.answered_before;
}

} // namespace siskinusher
