#pragma once

#include "core/random_source.hpp"
#include "domain/store_call.hpp"

#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <variant>

namespace siskinusher::testing
{

/// An object store in memory for tests of the decision layer, with versions, conditional writes and lost
/// answers. Calls are answered at once.
class fake_store
{
public:
    explicit fake_store(std::uint64_t seed) : random_(seed) {}

    bool down = false;             ///< Calls have no effect and no answer.
    double lose_answer = 0.0;      ///< Share of calls that take effect but whose answer is lost.
    unsigned lose_next_writes = 0; ///< So many of the next writes take effect but their answers are lost.

    /// Carries out a call. A watch is answered at once; a caller that needs a waiting watch uses
    /// version_of().
    store_reply call(store_request const& request)
    {
        ++calls;
        if (down)
        {
            return {request.owner, request.tag, request.key, store_unavailable{}};
        }
        bool const write = std::holds_alternative<store_put>(request.operation);
        store_result result =
            std::visit([&](auto const& each) { return apply(request.key, each); }, request.operation);
        bool const lost = (write && lose_next_writes > 0) || random_.unit() < lose_answer;
        if (write && lose_next_writes > 0)
        {
            --lose_next_writes;
        }
        return {request.owner, request.tag, request.key, lost ? store_result{store_unavailable{}} : result};
    }

    object_version version_of(std::string const& key) const
    {
        auto const found = objects_.find(key);
        return found == objects_.end() ? 0 : found->second.version;
    }

    template <typename Value>
    Value const* find(std::string const& key) const
    {
        auto const found = objects_.find(key);
        return found == objects_.end() ? nullptr : std::get_if<Value>(&found->second.value);
    }

    /// Keeps a copy of all objects, for restore().
    void keep_copy() { copy_ = {objects_, next_version_}; }
    /// Goes back to the latest copy: later writes are gone, and their versions are given out again.
    void restore() { std::tie(objects_, next_version_) = copy_; }

    std::uint64_t calls = 0;
    std::uint64_t writes = 0;

private:
    store_result apply(std::string const& key, store_get const& /*get*/) const
    {
        auto const found = objects_.find(key);
        return found == objects_.end() ? store_result{store_absent{}} : store_result{found->second};
    }

    store_result apply(std::string const& key, store_put const& put)
    {
        if (version_of(key) != put.expected)
        {
            return store_conflict{};
        }
        ++writes;
        objects_[key] = {put.value, ++next_version_};
        return store_written{next_version_};
    }

    store_result apply(std::string const& key, store_remove const& remove)
    {
        if (version_of(key) != remove.expected)
        {
            return store_conflict{};
        }
        objects_.erase(key);
        return store_written{0};
    }

    store_result apply(std::string const& key, store_watch const& watch) const
    {
        if (version_of(key) == watch.seen)
        {
            return store_unchanged{};
        }
        return apply(key, store_get{});
    }

    random_source random_;
    std::map<std::string, store_found> objects_;
    object_version next_version_ = 0;
    std::pair<std::map<std::string, store_found>, object_version> copy_;
};

} // namespace siskinusher::testing
