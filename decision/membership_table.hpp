#pragma once

#include "core/steady_time.hpp"
#include "domain/engine_report.hpp"
#include "domain/identifiers.hpp"
#include "domain/member.hpp"
#include "domain/peer_message.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace siskinusher
{

/// Interval at which heartbeats are sent.
constexpr duration heartbeat_interval = seconds{1};
/// Number of instances of the same data centre that get a heartbeat in one interval. It is limited so that
/// the cost does not grow with the fleet.
constexpr std::size_t heartbeat_fanout = 12;
/// An instance is considered dead when a heartbeat that was due has not come within this time.
constexpr duration member_silence = seconds{3};

/// The instances of the fleet as this instance knows them from heartbeats, the instance list and the
/// settings. A member counts as live as soon as it is known, even before its first heartbeat, until it is
/// silent for too long.
class membership_table
{
public:
    /// `seeds` are the members of the settings; this instance may be among them with its addresses.
    membership_table(instance_id self, std::string data_centre, std::vector<member> seeds);
    ~membership_table();
    membership_table(membership_table&&) noexcept;
    membership_table& operator=(membership_table&&) noexcept;

    /// A new incarnation replaces the old one, whose late heartbeats are ignored from then on.
    void on_heartbeat(steady_time now, instance_id const& from, heartbeat const& beat);
    /// Adds instances, fills in addresses and marks leaving ones. An instance that is no longer listed is
    /// removed once it is silent.
    void on_instances(steady_time now, std::vector<listed_server> const& servers);
    /// Marks silent members as dead; to be called at least every 50 ms. A gap of more than a second means
    /// that this instance was paused, and does not count as silence of the others.
    void on_tick(steady_time now);
    /// The live members and this instance, sorted by name. The address of a member is empty while it is known
    /// only from heartbeats.
    std::vector<member> live() const;
    /// The instances to send a heartbeat to; to be called once in each heartbeat_interval. Returns at most
    /// heartbeat_fanout instances of the same data centre and one of each other data centre, those that have
    /// waited longest. Includes dead members: otherwise the two sides of a partition would never reconnect.
    std::vector<std::string> heartbeat_targets();

    /// Increases whenever live() may have changed, so that a caller can avoid copying hundreds of members.
    std::uint64_t revision() const;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace siskinusher
