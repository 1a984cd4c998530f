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

/// Why requests with a part are refused, and for how long.
struct crash_block
{
    std::string suspect;
    unsigned crashes = 0;  ///< Crashes that no other part explains better.
    duration age{0};       ///< Since the latest of them became known here.
    duration remaining{0}; ///< Until requests with the part are tried again.
};

/// A part that has become blocked, or is blocked no longer.
struct block_change
{
    std::string suspect;
    bool blocked = false;
    unsigned crashes = 0;
};

/// A part that may have caused a crash.
struct crash_suspect
{
    crash_mark crash;
    bool answered_before = false; ///< Requests with the part were answered at this instance.
};

/// Finds the prompt parts that crash each engine that begins to answer a request with them.
///
/// All instances hold the same marks, each a part and a crash, and derive the same blocked parts from them. A
/// part is blocked when enough crashes are explained by no other part; the part with most crashes explains
/// them first, so that parts of other requests on the same engines are not blocked. A complete answer clears
/// the marks of its parts. It is designed for a few such parts at a time among many sound ones, and for
/// engines that crash for other reasons meanwhile.
class crash_ledger
{
public:
    crash_ledger();
    ~crash_ledger();
    crash_ledger(crash_ledger const&) = delete;
    crash_ledger& operator=(crash_ledger const&) = delete;

    /// A request with these parts was answered. Returns the marks that this disproves, which are dropped.
    std::vector<crash_mark> on_answered(steady_time now, std::vector<std::string> const& parts);
    /// The parts that may have caused the crash of an engine which ran a request with these parts: those that
    /// were never answered here, otherwise the one whose latest answer is the oldest.
    std::vector<crash_suspect> suspects(std::vector<std::string> const& parts, backend_name const& engine,
                                        std::int64_t engine_started_at) const;
    /// True when a request with the part was answered here after `since`.
    bool answered_after(std::string const& part, steady_time since) const;

    /// Adds a mark that this instance found. False when nothing changes: the mark is known, or there are
    /// enough of its part.
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
    /// Drops the marks that are too old. Returns them, for removal from the store. To be called on the lease
    /// holder only: the other instances take over its marks.
    std::vector<crash_mark> expire(steady_time now);

    /// The block that applies to a request with these parts; none when it may be sent.
    std::optional<crash_block> find_block(steady_time now, std::vector<std::string> const& parts) const;
    /// Changes since the last call, for the log.
    std::vector<block_change> take_changes(steady_time now);

    /// Number of marks of the part.
    std::size_t crashes_of(std::string const& part) const;
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
