#pragma once

#include "tests/standins/http_server.hpp"

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace siskinusher::standins
{

/// Stand-in for the platform's metadata store, with lists, watches, conditional writes and outages.
class store_standin
{
public:
    enum class mode
    {
        up,
        busy,   ///< Answers 503.
        silent, ///< Closes the connection without an answer.
    };

    store_standin();
    ~store_standin();
    store_standin(store_standin const&) = delete;
    store_standin& operator=(store_standin const&) = delete;

    std::string address() const { return server_.address(); }

    /// Writes and removes objects as the operator and the servers do.
    void write(std::string const& kind, std::string const& name, nlohmann::json const& spec);
    void remove(std::string const& kind, std::string const& name);
    /// Writes an object whose spec is this text, which may be no valid JSON, as another writer's may be.
    void write_text(std::string const& kind, std::string const& name, std::string spec);
    /// Limits the objects of one answer to a listing; zero for no limit.
    void set_page_size(std::size_t objects) { page_size_ = objects; }
    void set_mode(mode value);
    /// Answers watches without changes at once, whatever wait they ask for.
    void end_waits_early(bool value) { ends_waits_early_ = value; }
    /// Ends the connections of the watches that wait.
    void cut_off_watches();
    /// Drops the history, so that every watch of an older revision is answered 410.
    void drop_history();
    /// Keeps a copy of all objects, for restore().
    void keep_copy();
    /// Goes back to the latest copy, as after a loss: later writes are gone, their revisions are given out
    /// again, and the era of the answers rises by one.
    void restore();
    /// Sets the text of the era header; nothing leaves the header out.
    void set_era(std::optional<std::string> era);
    /// Number of lists and watches of the servers' entries so far.
    unsigned server_entry_reads();
    /// Number of calls that were refused in mode busy so far, without stale reads, which cost little.
    unsigned refused_calls();
    nlohmann::json spec_of(std::string const& kind, std::string const& name);

private:
    struct object
    {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        nlohmann::json spec;
    };
    struct change
    {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json event;
    };

    struct copy
    {
        std::map<std::string, std::map<std::string, object>> kinds;
        std::uint64_t revision = 1;
    };

    void serve(http_exchange& exchange);
    void list(http_exchange& exchange, std::string const& kind);
    std::string text_of(nlohmann::json const& body); ///< With the texts of write_text() in their places.
    void watch(http_exchange& exchange, std::string const& kind);
    void put(http_exchange& exchange, std::string const& kind, std::string const& name, bool create);
    nlohmann::json encode(std::string const& name, object const& value) const;
    void record(std::string const& kind, std::string const& name, object const& value, bool deleted);

    std::atomic<std::size_t> page_size_{0};
    std::atomic<bool> ends_waits_early_{false};
    std::mutex mutex_;
    std::map<std::string, std::string> texts_; ///< By the spec that stands for each.
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, object>> kinds_;
    std::deque<change> history_;
    std::uint64_t revision_ = 1;
    copy copy_;
    std::uint64_t restorations_ = 0;
    std::uint64_t cuts_ = 0;
    std::optional<std::string> era_{"1"};
    std::uint64_t dropped_revision_ = 0; ///< The history up to this revision is dropped.
    mode mode_{mode::up};
    bool stopping_ = false;
    unsigned server_entry_reads_ = 0;
    unsigned refused_calls_ = 0;
    http_server server_;
};

} // namespace siskinusher::standins
