#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <tuple>

#include <nlohmann/json.hpp>

namespace siskinusher::standins
{

struct engine_settings
{
    std::string name = "engine";
    std::uint64_t memory_bytes = 80'000'000'000;
    std::uint64_t prefix_cache_bytes = 8'000'000'000;
    unsigned places = 8;       ///< Requests that run at the same time.
    unsigned queue_limit = 32; ///< Requests that wait for a place.
    bool enforce_memory = true;
    bool check_epoch = true;
    std::map<std::string, std::string>
        checkpoints;               ///< Tier ("memory" or "disk") by checkpoint; all others are remote.
    std::string checkpoint_suffix; ///< A model's checkpoint is its name and this suffix.
    double memory_load_ms = 6.0;   ///< Load time of each GiB by tier; for remote, at full speed.
    double disk_load_ms = 24.0;
    double remote_load_ms = 60.0;
    std::chrono::milliseconds adapter_load{7};
    std::chrono::milliseconds report_lag{100};
    std::string weight_store; ///< Address of the platform; empty: remote loads run at full speed.
};

/// An order as it arrives on the wire.
struct engine_order
{
    std::uint64_t epoch = 0;
    std::string kind;
    std::string subject;
    std::uint64_t bytes = 0;
};

struct order_answer
{
    int status = 200; ///< 409: old epoch; 507: no memory; 422: cannot be carried out.
    std::uint64_t revision = 0;
    std::string problem;
};

/// Outcome of waiting for a place.
enum class admission
{
    running,
    queue_full,
    not_loaded,
    caller_gone,
};

/// Loaded models and adapters, queue and running requests of a stand-in engine. A load counts as used memory
/// and appears in the report from its start; requests for its model or adapter wait until it ends.
class engine_state
{
public:
    engine_state(engine_settings settings, std::uint64_t boot_id);

    std::uint64_t boot_id() const { return boot_id_; }

    /// Carries out an order; a load order returns after the load.
    order_answer take_order(engine_order const& order);

    /// Waits for a place by priority (the lowest number first), then by arrival. Call finish() when the
    /// result was admission::running.
    admission admit(std::string const& request, std::string const& model, std::string const& adapter,
                    unsigned priority, std::function<bool()> const& caller_gone);
    void finish(std::string const& request, std::string const& model, std::string const& adapter);

    /// Cancels a waiting or running request; false when it is unknown.
    bool cancel(std::string const& request);
    bool cancelled(std::string const& request) const;

    /// The report that GET /engine/report returns; it is at most report_lag old.
    nlohmann::json report();

    void set_leaving(bool leaving);
    void ignore_epoch();

private:
    using clock = std::chrono::steady_clock;
    using duration_ms = std::chrono::duration<double, std::milli>;

    struct loaded_item
    {
        std::uint64_t bytes = 0;
        bool loaded = false;
        unsigned users = 0; ///< Running and waiting requests.
    };
    using item_table = std::map<std::string, loaded_item>;
    using lock_type = std::unique_lock<std::mutex>;

    /// A waiting request: priority, arrival, model, adapter.
    using queue_entry = std::tuple<unsigned, std::uint64_t, std::string, std::string>;

    order_answer load(lock_type& lock, item_table& items, engine_order const& order, bool is_model);
    order_answer unload(item_table& items, engine_order const& order);
    order_answer done() const { return {200, revision_, ""}; }
    void run_load(lock_type& lock, engine_order const& order, bool is_model);
    void fetch(std::string const& subject, bool is_model, duration_ms at_full_speed) const;
    bool present(std::string const& model, std::string const& adapter) const;
    bool ready(std::string const& model, std::string const& adapter) const;
    bool is_next(queue_entry const& own) const;
    void change_users(std::string const& model, std::string const& adapter, int change);
    nlohmann::json users_by_item() const;
    std::uint64_t used_bytes() const;
    nlohmann::json make_report() const;

    engine_settings const settings_;
    std::uint64_t const boot_id_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    bool check_epoch_;
    bool leaving_ = false;
    clock::time_point leaving_since_{};
    std::uint64_t revision_ = 1;
    std::uint64_t highest_epoch_ = 0;
    std::uint64_t arrivals_ = 0;
    unsigned running_ = 0;
    item_table models_;
    item_table adapters_;
    std::map<std::string, std::string> checkpoints_;
    std::set<queue_entry> waiting_;
    std::map<std::string, bool> requests_; ///< Waiting and running requests; true when cancelled.
    std::map<std::string, std::uint64_t> violations_;
    std::map<std::string, std::uint64_t> counts_;
    nlohmann::json last_report_;
    clock::time_point reported_at_{};
};

} // namespace siskinusher::standins
