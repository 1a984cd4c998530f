#pragma once

#include "http_server.hpp"
#include "metadata_store.hpp"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review
{

/// An order as an engine has received it.
struct engine_order
{
    double at = 0.0; ///< Seconds since the start of the program.
    std::string op;
    std::string model;
    std::uint64_t expected = 0;
    std::uint64_t fence = 0;
    std::string holder;
    int status = 0;           ///< The answer, or that which it would have got; zero for none.
    bool delayed = false;     ///< It gets no answer and is carried out later.
    bool carried_out = false; ///< The time is that at which a delayed order was carried out.
};

/// Seconds since the start of the program.
double seconds_now();

/// A model engine with the orders, the memory limit and the entries of PROTOCOL.md. Streams have one event in
/// 100 ms.
class model_engine
{
public:
    /// `models` are held from the start on; `on_disk` are loaded in `disk_s`, others in `load_s`.
    model_engine(metadata_store& store, std::string id, std::set<std::string> models,
                 std::set<std::string> on_disk);
    ~model_engine();
    model_engine(model_engine const&) = delete;
    model_engine& operator=(model_engine const&) = delete;

    /// The next order to load this model gets no answer and is carried out `seconds` later.
    void delay_load(std::string const& model, double seconds);
    /// Ends as by a crash: connections are reset, and nothing of its memory is left.
    void crash();
    /// Starts again under the same id at the same address, with its disk.
    void start_again();
    std::vector<engine_order> orders();
    /// Models that are held or being loaded.
    std::set<std::string> models();
    std::uint64_t sequence();
    /// Orders to load that would have exceeded the memory, each of which has ended the engine.
    unsigned overfilled();
    /// Streams that were running when an order has ended the engine.
    unsigned streams_cut();
    /// How often requests with this id have begun to run.
    std::map<std::string, unsigned> runs();

    static constexpr double weights_mb = 200000.0;
    static constexpr double model_mb = 72700.0;
    static constexpr double load_s = 6.0;
    static constexpr double disk_s = 0.84;

private:
    void serve(http_request const& request, http_channel& channel);
    void serve_order(http_request const& request, http_channel& channel);
    void serve_report(http_channel& channel);
    void serve_stream(http_request const& request, http_channel& channel);
    int carry_out(engine_order const& order);
    void work();
    void write_entry();
    void go_down();

    metadata_store& store_;
    std::string const id_;
    std::set<std::string> on_disk_;
    std::mutex mutex_;
    std::set<std::string> models_;
    std::string loading_;
    std::string unloading_;
    double busy_until_ = 0.0;
    std::uint64_t sequence_ = 0;
    std::int64_t born_ = 0;
    bool is_up_ = true;
    bool overfill_pending_ = false;
    std::string delayed_model_;
    double delay_ = 0.0;
    std::vector<std::pair<double, engine_order>> late_;
    std::vector<engine_order> orders_;
    std::map<std::string, unsigned> running_; ///< Streams by model.
    std::map<std::string, unsigned> runs_;
    unsigned overfilled_ = 0;
    unsigned streams_cut_ = 0;
    std::atomic<std::uint64_t> life_{1};
    std::atomic<bool> ending_{false};
    http_server server_;
    std::thread worker_;
};

} // namespace review
