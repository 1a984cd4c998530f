#pragma once

#include "core/rank.hpp"
#include "core/steady_time.hpp"
#include "domain/fleet_config.hpp"
#include "domain/identifiers.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace siskinusher
{

/// An entry of the queue. `sequence` increases with each arriving request; a retry keeps its sequence.
struct queued_request
{
    std::uint64_t sequence = 0;
    request_number number = 0;
    steady_time arrived;
};

/// The waiting requests of one model, adapter or service, by rank and in the order of their arrival.
class target_queue
{
public:
    std::size_t size(rank r) const { return by_rank_[index_of(r)].size(); }
    std::size_t size() const { return by_rank_[0].size() + by_rank_[1].size() + by_rank_[2].size(); }
    bool empty() const { return size() == 0; }

    /// The first requests of a rank in the order in which they are to be served. Background requests are
    /// served newest first while the oldest one has waited for more than a second.
    std::vector<queued_request> first(steady_time now, rank r, std::size_t limit) const;
    bool newest_first(steady_time now, rank r) const;

private:
    friend class admission_queue;
    std::array<std::map<std::uint64_t, queued_request>, rank_count> by_rank_;
};

/// Counts the waiting requests of each rank and decides which rank is served next.
class admission_queue
{
public:
    using rank_set = std::array<bool, rank_count>;

    explicit admission_queue(std::size_t limit_per_rank) : limit_(limit_per_rank) {}

    void set_ranks(std::array<rank_policy, rank_count> const& ranks) { ranks_ = ranks; }

    bool full(rank r) const { return sizes_[index_of(r)] >= limit_; }
    std::size_t size() const { return sizes_[0] + sizes_[1] + sizes_[2]; }

    void push(target_queue& queue, rank r, queued_request const& item);
    /// False when the request is not in the queue.
    bool remove(target_queue& queue, rank r, std::uint64_t sequence);

    /// Ranks in the order in which they are to be tried: those whose floor is due, by credit, then the others
    /// by importance.
    std::array<rank, rank_count> order() const;
    /// True when the rank has waited for so many dispatches that its guaranteed share (its floor) entitles it
    /// to the next one.
    bool floor_due(rank r) const { return credit_[index_of(r)] >= 1.0; }
    /// Counts one dispatch of the rank `served`. `waiting` holds the ranks that waited for the same servers;
    /// each of them earns credit according to its floor.
    void count_dispatch(rank served, rank_set const& waiting);

private:
    std::size_t limit_;
    std::array<rank_policy, rank_count> ranks_{};
    std::array<std::size_t, rank_count> sizes_{};
    std::array<double, rank_count> credit_{}; ///< Dispatches that each waiting rank is owed by its floor.
};

} // namespace siskinusher
