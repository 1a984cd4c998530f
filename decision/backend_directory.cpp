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
// Servers that have left and whose starts are remembered; twice as many at most.
constexpr std::size_t max_kept_ends = 512;

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

    void record_end(revised_backend const& server)
    {
        backend_entry const& entry = server.entry;
        if (!entry.leaving || entry.started_at == 0)
        {
            return;
        }
        if (ended.size() >= max_kept_ends)
        {
            ended_earlier = std::exchange(ended, {});
        }
        ended[entry.name] = {entry.started_at, server.revision.era};
    }

    bool has_ended(backend_entry const& entry, store_revision const& revision) const
    {
        for (auto const* const each : {&ended, &ended_earlier})
        {
            auto const found = each->find(entry.name);
            if (found != each->end() && found->second.first == entry.started_at &&
                found->second.second < revision.era)
            {
                return true;
            }
        }
        return false;
    }

    update_position position;
    std::uint64_t pruned_until = 0; ///< Removals up to this sequence are no longer kept.
    std::map<backend_name, known_server> servers;
    std::map<std::uint64_t, backend_name> changes;  ///< The last change of each server, by sequence.
    std::map<std::uint64_t, backend_name> removals; ///< Those of `changes` that are removals.
    // The start that had announced its end, and the store's era then, by name of a server that has left. When
    // the first map is full, it replaces the second one.
    std::map<backend_name, std::pair<std::int64_t, std::uint64_t>> ended;
    std::map<backend_name, std::pair<std::int64_t, std::uint64_t>> ended_earlier;
};

backend_directory::backend_directory(std::string source) : impl_(std::make_unique<implementation>())
{
    impl_->position.source = std::move(source);
}

backend_directory::~backend_directory() = default;

directory_change backend_directory::put(backend_entry const& entry, store_revision const& revision)
{
    auto const [found, is_new] = impl_->servers.try_emplace(entry.name);
    implementation::known_server& server = found->second;
    if (!is_new && revision < server.value.revision)
    {
        return directory_change::outdated;
    }
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

bool backend_directory::remove(backend_name const& name)
{
    auto const found = impl_->servers.find(name);
    if (found == impl_->servers.end())
    {
        return false;
    }
    impl_->record_end(found->second.value);
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

backend_update backend_directory::merge(backend_update const& update)
{
    backend_update effect;
    std::set<backend_name> listed;
    for (revised_backend const& each : update.changed)
    {
        listed.insert(each.entry.name);
        backend_entry const entry = settled(each.entry, each.revision);
        if (put(entry, each.revision) == directory_change::changed)
        {
            effect.changed.push_back({entry, each.revision});
        }
    }
    effect.removed = update.removed;
    if (update.complete)
    {
        for (auto const& [name, server] : impl_->servers)
        {
            // A server that was written after the state of the sender is absent there only because that
            // state is older.
            if (listed.count(name) == 0 && server.value.revision <= update.followed)
            {
                effect.removed.push_back(name);
            }
        }
    }
    effect.removed.erase(std::remove_if(effect.removed.begin(), effect.removed.end(),
                                        [this](backend_name const& name) { return !remove(name); }),
                         effect.removed.end());
    return effect;
}

} // namespace siskinusher
