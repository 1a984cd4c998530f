#include "decision/membership_table.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace siskinusher
{

namespace
{

/// Number of replaced incarnations that are kept for each name, to ignore their late heartbeats. These arrive
/// within seconds, in which an instance does not restart more often than this.
constexpr std::size_t max_replaced_incarnations = 4;
/// Ticks come every 50 ms; a gap longer than this means that this process was paused.
constexpr duration longest_tick_gap = seconds{1};

struct member_state
{
    member info;
    bool seed = false;
    bool listed = false; ///< The last instance list contains it.
    bool leaving = false;
    bool reports_draining = false;
    bool alive = true;
    std::optional<steady_time> last_heard; ///< Time of the last heartbeat, or when the member became known.
    std::uint64_t last_sent = 0;           ///< Round of the last heartbeat sent to it.
    std::deque<std::uint64_t> replaced_incarnations;
};

} // namespace

class membership_table::state
{
public:
    state(instance_id self, std::string data_centre, std::vector<member> seeds)
        : self_{std::move(self), std::move(data_centre), {}, {}, false}
    {
        for (auto& seed : seeds)
        {
            if (seed.id.name == self_.id.name)
            {
                self_.address = std::move(seed.address);
                self_.peer_address = std::move(seed.peer_address);
                continue;
            }
            std::string const name = seed.id.name;
            member_state& added = members_[name];
            added.info = std::move(seed);
            added.seed = true;
        }
    }

    void on_heartbeat(steady_time now, instance_id const& from, heartbeat const& beat);
    void on_instances(steady_time now, std::vector<listed_server> const& servers);
    void on_tick(steady_time now);
    std::vector<member> live() const;
    std::vector<std::string> heartbeat_targets();
    std::uint64_t revision() const { return revision_; }

private:
    std::size_t member_count_in(std::string const& data_centre) const;
    duration allowed_silence(std::string const& data_centre) const;

    member self_;
    std::map<std::string, member_state> members_;
    std::optional<steady_time> last_tick_;
    std::uint64_t heartbeat_round_ = 0;
    std::uint64_t revision_ = 1;
};

std::size_t membership_table::state::member_count_in(std::string const& data_centre) const
{
    auto const count =
        std::count_if(members_.begin(), members_.end(),
                      [&](auto const& entry) { return entry.second.info.data_centre == data_centre; });
    return static_cast<std::size_t>(count) + (data_centre == self_.data_centre ? 1 : 0);
}

/// A member sends heartbeats to its peers in rotation, so that one may reach this instance only after several
/// intervals. Their number is derived from the size of this data centre, as the sender knows nearly the same
/// members.
duration membership_table::state::allowed_silence(std::string const& data_centre) const
{
    std::size_t const here = member_count_in(self_.data_centre);
    bool const own = data_centre == self_.data_centre;
    // A member sends to all others of its own data centre, heartbeat_fanout (12) in each interval.
    std::size_t const rounds = own ? (here - 1 + heartbeat_fanout - 1) / heartbeat_fanout : here;
    auto const extra_intervals = static_cast<duration::rep>(std::max<std::size_t>(rounds, 1) - 1);
    return extra_intervals * heartbeat_interval + member_silence;
}

void membership_table::state::on_heartbeat(steady_time now, instance_id const& from, heartbeat const& beat)
{
    if (from.name == self_.id.name)
    {
        return;
    }
    member_state& each = members_[from.name];
    if (std::find(each.replaced_incarnations.begin(), each.replaced_incarnations.end(), from.incarnation) !=
        each.replaced_incarnations.end())
    {
        return;
    }
    member const before = each.info;
    bool const was_alive = each.alive && each.last_heard.has_value();
    if (each.info.id.incarnation != from.incarnation && each.info.id.incarnation != 0)
    {
        each.replaced_incarnations.push_back(each.info.id.incarnation);
        if (each.replaced_incarnations.size() > max_replaced_incarnations)
        {
            each.replaced_incarnations.pop_front();
        }
    }
    each.info.id = from;
    each.info.data_centre = beat.data_centre;
    each.reports_draining = beat.draining;
    each.info.draining = each.reports_draining || each.leaving;
    each.last_heard = now;
    each.alive = true;
    revision_ += was_alive && before == each.info ? 0 : 1;
}

void membership_table::state::on_instances(steady_time now, std::vector<listed_server> const& servers)
{
    ++revision_;
    for (auto& entry : members_)
    {
        entry.second.listed = false;
        entry.second.leaving = false;
    }
    for (auto const& server : servers)
    {
        if (server.kind != listed_kind::instance)
        {
            continue;
        }
        bool const leaving = server.state == listed_state::leaving;
        if (server.name == self_.id.name)
        {
            self_.address = server.address;
            self_.peer_address = server.peer_address;
            self_.draining = leaving;
            continue;
        }
        member_state& each = members_[server.name];
        each.info.id.name = server.name;
        each.info.data_centre = server.data_centre;
        each.info.address = server.address;
        each.info.peer_address = server.peer_address;
        each.listed = true;
        each.leaving = leaving;
        each.last_heard = each.last_heard ? each.last_heard : now;
    }
    for (auto& entry : members_)
    {
        entry.second.info.draining = entry.second.reports_draining || entry.second.leaving;
    }
}

void membership_table::state::on_tick(steady_time now)
{
    duration const gap = last_tick_ ? now - *last_tick_ : duration{0};
    last_tick_ = now;
    duration const pause = gap > longest_tick_gap ? gap : duration{0};
    duration const own = allowed_silence(self_.data_centre);
    duration const other = allowed_silence({});
    for (auto entry = members_.begin(); entry != members_.end();)
    {
        member_state& each = entry->second;
        // The pause is not counted as silence. A heartbeat that arrived during the pause has just been
        // handled, so its time must not move into the future.
        each.last_heard = each.last_heard ? std::min(*each.last_heard + pause, now) : now;
        duration const longest = each.info.data_centre == self_.data_centre ? own : other;
        bool const was_alive = std::exchange(each.alive, each.alive && now - *each.last_heard < longest);
        revision_ += was_alive == each.alive ? 0 : 1;
        bool const removable = !each.alive && !each.listed && !each.seed;
        entry = removable ? members_.erase(entry) : std::next(entry);
    }
}

std::vector<member> membership_table::state::live() const
{
    std::vector<member> result{self_};
    for (auto const& entry : members_)
    {
        if (entry.second.alive)
        {
            result.push_back(entry.second.info);
        }
    }
    std::sort(result.begin(), result.end(), [](member const& a, member const& b) { return a.id < b.id; });
    return result;
}

std::vector<std::string> membership_table::state::heartbeat_targets()
{
    ++heartbeat_round_;
    std::vector<member_state*> by_last_sent;
    by_last_sent.reserve(members_.size());
    for (auto& entry : members_)
    {
        by_last_sent.push_back(&entry.second);
    }
    std::stable_sort(by_last_sent.begin(), by_last_sent.end(),
                     [](member_state const* a, member_state const* b)
                     { return a->last_sent < b->last_sent; });
    std::map<std::string, std::size_t> taken;
    std::vector<std::string> result;
    for (member_state* const each : by_last_sent)
    {
        bool const own = each->info.data_centre == self_.data_centre;
        std::size_t& count = taken[each->info.data_centre];
        if (count < (own ? heartbeat_fanout : 1))
        {
            ++count;
            each->last_sent = heartbeat_round_;
            result.push_back(each->info.id.name);
        }
    }
    return result;
}

membership_table::membership_table(instance_id self, std::string data_centre, std::vector<member> seeds)
    : state_(std::make_unique<state>(std::move(self), std::move(data_centre), std::move(seeds)))
{
}
membership_table::~membership_table() = default;
membership_table::membership_table(membership_table&&) noexcept = default;
membership_table& membership_table::operator=(membership_table&&) noexcept = default;

std::uint64_t membership_table::revision() const
{
    return state_->revision();
}

void membership_table::on_heartbeat(steady_time now, instance_id const& from, heartbeat const& beat)
{
    state_->on_heartbeat(now, from, beat);
}

void membership_table::on_instances(steady_time now, std::vector<listed_server> const& servers)
{
    state_->on_instances(now, servers);
}

void membership_table::on_tick(steady_time now)
{
    state_->on_tick(now);
}

std::vector<member> membership_table::live() const
{
    return state_->live();
}

std::vector<std::string> membership_table::heartbeat_targets()
{
    return state_->heartbeat_targets();
}

} // namespace siskinusher
