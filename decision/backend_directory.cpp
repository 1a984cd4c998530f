#include "decision/backend_directory.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace siskinusher
{

namespace
{

// Number of removals that are kept for peers that are a little behind. A peer that is further behind gets a
// complete update.
constexpr std::size_t max_kept_removals = 512;
// Servers whose removal is remembered; twice as many at most. All of the target's 1,400 servers may be
// replaced in one release.
constexpr std::size_t max_remembered_removals = 2048;

// The part of an entry that is sent to peers.
backend_entry without_copies(backend_entry entry)
{
    entry.copies_in_memory.clear();
    entry.copies_on_disk.clear();
    return entry;
}

} // namespace

class backend_directory::implementation
{
public:
    struct known_server
    {
        revised_backend value;
        std::uint64_t sequence = 0; ///< Of its last change that is sent to peers.
    };

    struct removed_server
    {
        store_revision absent_at;     ///< The server was not in the store's state of this revision.
        std::int64_t ended_start = 0; ///< The start that had announced its end; zero when none had.
        std::uint64_t ended_era = 0;  ///< The store's era at that announcement.
    };

    void record_change(backend_name const& name, std::uint64_t previous)
    {
        changes.erase(previous);
        changes[++position.sequence] = name;
    }

    void record_removal(backend_name const& name, std::uint64_t previous)
    {
        record_change(name, previous);
        removals[position.sequence] = name;
        while (removals.size() > max_kept_removals)
        {
            pruned_until = removals.begin()->first;
            changes.erase(removals.begin()->first);
            removals.erase(removals.begin());
        }
    }

    // Null when none is remembered.
    removed_server const* find_removal(backend_name const& name) const
    {
        for (auto const* const each : {&removed, &removed_earlier})
        {
            auto const found = each->find(name);
            if (found != each->end())
            {
                return &found->second;
            }
        }
        return nullptr;
    }

    void remember_removal(backend_name const& name, store_revision const& absent_at,
                          known_server const* server)
    {
        removed_server const* const earlier = find_removal(name);
        removed_server removal = earlier == nullptr ? removed_server{} : *earlier;
        removal.absent_at = std::max(removal.absent_at, absent_at);
        if (server != nullptr)
        {
            backend_entry const& entry = server->value.entry;
            removal.absent_at = std::max(removal.absent_at, server->value.revision);
            if (entry.leaving && entry.started_at != 0)
            {
                removal.ended_start = entry.started_at;
                removal.ended_era = server->value.revision.era;
            }
        }
        if (removed.size() >= max_remembered_removals && removed.count(name) == 0)
        {
            removed_earlier = std::exchange(removed, {});
        }
        removed[name] = removal;
    }

    bool has_ended(backend_entry const& entry, store_revision const& revision) const
    {
        removed_server const* const removal = find_removal(entry.name);
        return removal != nullptr && removal->ended_start == entry.started_at &&
               removal->ended_era < revision.era;
    }

    update_position position;
    std::uint64_t pruned_until = 0; ///< Removals up to this sequence are no longer kept.
    std::map<backend_name, known_server> servers;
    std::map<std::uint64_t, backend_name> changes;  ///< The last change of each server, by sequence.
    std::map<std::uint64_t, backend_name> removals; ///< Those of `changes` that are removals.
    // When the first map is full, it replaces the second one.
    std::map<backend_name, removed_server> removed;
    std::map<backend_name, removed_server> removed_earlier;
};

backend_directory::backend_directory(std::string source) : impl_(std::make_unique<implementation>())
{
    impl_->position.source = std::move(source);
}

backend_directory::~backend_directory() = default;

directory_change backend_directory::put(backend_entry const& entry, store_revision const& revision)
{
    auto const known = impl_->servers.find(entry.name);
    bool const is_new = known == impl_->servers.end();
    auto const* const removal = is_new ? impl_->find_removal(entry.name) : nullptr;
    if (is_new ? removal != nullptr && revision <= removal->absent_at
               : revision < known->second.value.revision)
    {
        return directory_change::outdated;
    }
    implementation::known_server& server = impl_->servers[entry.name];
    backend_entry shared = without_copies(entry);
    server.value.revision = revision;
    if (!is_new && server.value.entry == shared)
    {
        return directory_change::same;
    }
    server.value.entry = std::move(shared);
    impl_->record_change(entry.name, server.sequence);
    server.sequence = impl_->position.sequence;
    return directory_change::changed;
}

backend_entry backend_directory::settled(backend_entry entry, store_revision const& revision) const
{
    auto const found = impl_->servers.find(entry.name);
    if (entry.leaving || entry.started_at == 0)
    {
        return entry;
    }
    if (found == impl_->servers.end())
    {
        entry.leaving = impl_->has_ended(entry, revision);
        return entry;
    }
    revised_backend const& known = found->second.value;
    bool const news = revision.era == known.revision.era && revision != known.revision;
    entry.leaving = known.entry.leaving && known.entry.started_at == entry.started_at && !news;
    return entry;
}

bool backend_directory::remove(backend_name const& name, store_revision const& absent_at)
{
    auto const found = impl_->servers.find(name);
    bool const is_known = found != impl_->servers.end();
    impl_->remember_removal(name, absent_at, is_known ? &found->second : nullptr);
    if (!is_known)
    {
        return false;
    }
    impl_->record_removal(name, found->second.sequence);
    impl_->servers.erase(found);
    return true;
}

backend_update backend_directory::changes_since(update_position const& known,
                                                store_revision const& followed) const
{
    backend_update update;
    update.position = impl_->position;
    update.followed = followed;
    update.complete = known.source != impl_->position.source || known.sequence < impl_->pruned_until ||
                      known.sequence > impl_->position.sequence;
    auto each = update.complete ? impl_->changes.begin() : impl_->changes.upper_bound(known.sequence);
    for (; each != impl_->changes.end(); ++each)
    {
        auto const server = impl_->servers.find(each->second);
        bool const removal = impl_->removals.count(each->first) > 0;
        if (!removal && server != impl_->servers.end())
        {
            update.changed.push_back(server->second.value);
        }
        else if (removal && server == impl_->servers.end() && !update.complete)
        {
            update.removed.push_back(each->second);
        }
    }
    return update;
}

merge_result backend_directory::merge(backend_update const& update, unlisted_servers unlisted)
{
    merge_result result;
    std::set<backend_name> listed;
    for (revised_backend const& each : update.changed)
    {
        listed.insert(each.entry.name);
        backend_entry const entry = settled(each.entry, each.revision);
        if (put(entry, each.revision) == directory_change::changed)
        {
            result.changed.push_back({entry, each.revision});
        }
    }
    std::vector<backend_name> gone = update.removed;
    if (update.complete && unlisted == unlisted_servers::gone)
    {
        for (auto const& [name, server] : impl_->servers)
        {
            // A server that was written after the state of the sender is absent there only because that
            // state is older.
            if (listed.count(name) == 0 && server.value.revision <= update.followed)
            {
                gone.push_back(name);
            }
        }
    }
    result.whole = !update.complete || unlisted == unlisted_servers::gone;
    for (backend_name const& name : gone)
    {
        auto const found = impl_->servers.find(name);
        if (found != impl_->servers.end() && found->second.value.revision > update.followed)
        {
            // The server is back, or the sender does not say how much of the store it knows.
            result.whole = false;
        }
        else if (remove(name, update.followed))
        {
            result.removed.push_back(name);
        }
    }
    return result;
}

} // namespace siskinusher
