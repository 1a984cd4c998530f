#pragma once

#include "domain/store_revision.hpp"

#include <cstdint>
#include <set>

namespace siskinusher
{

/// Tells whether a watch of the store that is silent has missed a change.
///
/// The store counts all changes with one revision. The lease holder writes its lease twice a second and so
/// learns the store's revision: if it knows each change since the state of a watch, the watch has missed
/// nothing, without a call of its own. A watch on a connection that has gone silent shows as an unknown
/// change.
class change_ledger
{
public:
    /// A change is known: an object that some watch showed, or a write of this instance.
    void on_change(store_revision const& revision);
    /// True when each change after `from` and up to `until` is known. False across eras of the store, in
    /// which revisions are given out again.
    bool knows_all(store_revision const& from, store_revision const& until) const;
    /// Drops what is known of the changes up to `revision`, and of earlier eras.
    void forget_until(store_revision const& revision);

private:
    std::uint64_t era_ = 0;
    std::set<std::uint64_t> known_; ///< Revision numbers of that era.
};

} // namespace siskinusher
