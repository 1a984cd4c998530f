#pragma once

#include "core/steady_time.hpp"
#include "domain/crash_mark.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace siskinusher
{

/// Why a request is refused, and for how long.
struct crash_block
{
    std::string suspect;
    unsigned crashes = 0;
    duration age{0};       ///< Since the latest of them became known here.
    duration remaining{0}; ///< Until requests with the suspect may be tried again.
};

/// A suspect that has become blocked, or is blocked no longer.
struct block_change
{
    std::string suspect;
    bool blocked = false;
    unsigned crashes = 0;
};

/// A request or part that may have caused a crash.
struct crash_suspect
{
    crash_mark crash;
    bool answered_before = false; ///< Requests with the suspect were answered at this instance.
};

/// Finds the requests, and the prompt parts, that crash each server that begins to answer them.
///
/// All instances hold the same marks, each a suspect and a crash, and derive the same blocks from them. A
/// suspect is blocked when enough crashes are explained by no other one; the suspect with most crashes
/// explains them first, so that requests which only ran beside it are not blocked. A request with as many
/// crashes that others explain is blocked too, for a short time, because several such requests at once hide
/// each other. A complete answer clears the marks of its suspects.
///
/// A blocked part is tried again by anyone when its block has ended. A blocked request is tried again only by
/// one instance, with one request at a time: a service has few servers, and all instances that try at once
/// would end them.
///
/// It is designed for a few such requests and parts at a time among many sound ones, and for servers that
/// crash for other reasons meanwhile.
class crash_ledger
{
public:
    crash_ledger();
    ~crash_ledger();
    crash_ledger(crash_ledger const&) = delete;
    crash_ledger& operator=(crash_ledger const&) = delete;

    /// A request with these names was answered. Returns the marks that this disproves, which are dropped.
    std::vector<crash_mark> on_answered(steady_time now, suspect_names const& names);
    /// What may have caused the crash of a server that ran a request with these names: the request, and those
    /// of its parts that were never answered here, otherwise the part whose latest answer is the oldest.
    std::vector<crash_suspect> suspects(suspect_names const& names, backend_name const& engine,
                                        std::int64_t engine_started_at) const;
    /// True when a request with the suspect was answered here after `since`.
    bool answered_after(crash_mark const& mark, steady_time since) const;

    /// Adds a mark that this instance found. False when nothing changes: the mark is known, or there are
    /// enough of its suspect.
    bool add_own(steady_time now, crash_mark const& crash);
    /// The store has the mark; from now on the other instances will report it.
    void on_saved(steady_time now, std::string const& id);
    /// Adds a mark that was read from the store.
    void add(steady_time now, crash_mark const& crash);
    /// Adds a mark that a peer has found and may not have saved. It is dropped when neither the store nor
    /// another report confirms it for a while, because the peer may have cleared it.
    void add_reported(steady_time now, crash_mark const& crash);
    void drop_unconfirmed(steady_time now);
    /// Drops a mark that the store no longer has.
    void remove(std::string const& id);
    /// The store has come back from a copy without the mark, which is kept.
    void on_lost(std::string const& id);
    /// The marks that the store has lost since the last call, for writing them again. To be called on the
    /// lease holder only.
    std::vector<crash_mark> take_lost();
    /// Replaces all marks by those of another instance, except recent changes that it may not know yet.
    void replace(steady_time now, std::vector<crash_mark> const& crashes);
    /// Replaces all marks by those that a peer knew at `known_at`. False, without effect, when this instance
    /// knows the marks of a later time: a peer that stood still tells those that it had before.
    bool replace_by_told(steady_time now, std::vector<crash_mark> const& told, steady_time known_at);
    /// All marks were read from the store by a call that was sent at `read_at`.
    void on_listed(steady_time read_at);
    /// Drops the marks that are too old. Returns them, for removal from the store. To be called on the lease
    /// holder only: the other instances take over its marks.
    std::vector<crash_mark> expire(steady_time now);

    /// The block that applies to a request with these names; none when it may be sent.
    std::optional<crash_block> find_block(steady_time now, suspect_names const& names) const;
    /// Begins the trial of a blocked request. False when it is too early, or another trial is in progress. To
    /// be called on the lease holder only.
    bool begin_trial(steady_time now, std::string const& request);
    /// `lost` when the server ended the connection of the request on trial.
    void end_trial(steady_time now, std::string const& request, bool lost);
    /// Changes since the last call, for the log.
    std::vector<block_change> take_changes(steady_time now);

    /// Number of marks of the suspect.
    std::size_t crashes_of(std::string const& suspect) const;
    std::vector<crash_mark> crashes() const;
    /// The marks of this instance that the lease holder may not have from the store yet.
    std::vector<crash_mark> new_crashes(steady_time now) const;
    /// Equal for instances with the same marks.
    std::uint64_t digest() const;
    std::size_t blocked_suspects(steady_time now) const;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

bool operator==(crash_suspect const& a, crash_suspect const& b);

} // namespace siskinusher
