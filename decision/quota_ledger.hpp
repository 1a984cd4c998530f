#pragma once

#include "domain/action.hpp"
#include "domain/fleet_config.hpp"

#include <map>
#include <memory>
#include <string>

namespace siskinusher
{

/// Row of the quota object that divides the weight store's full-speed model loads among the data centres.
constexpr char const* weight_store_row = "weight_store";
/// Row of the quota object that divides the adapter loads in flight among the data centres.
constexpr char const* weight_store_adapters_row = "weight_store_adapters";
/// Adapter loads that the weight store serves at full speed (docs/design.md, 2).
constexpr unsigned adapter_loads_in_flight = 32;

/// Demand of a data centre for one row.
struct quota_demand
{
    unsigned in_use = 0; ///< Certainly or possibly in use; the grant is never lowered below it.
    unsigned wanted = 0; ///< Certainly in use, plus what is needed beyond that.

    friend bool operator==(quota_demand const& a, quota_demand const& b)
    {
        return a.in_use == b.in_use && a.wanted == b.wanted;
    }
};

/// Maintains the rows of this data centre in the quota object. It divides the replicas of each model and the
/// loads from the weight store among the data centres.
class quota_ledger
{
public:
    quota_ledger(std::string data_centre, std::uint64_t seed);
    ~quota_ledger();
    quota_ledger(quota_ledger const&) = delete;
    quota_ledger& operator=(quota_ledger const&) = delete;

    void on_config(std::shared_ptr<fleet_config const> config);
    /// Reads and writes only while the lease is held; after a change of `epoch`, grants are not
    /// usable until a write has taken effect, which makes the writes in flight of earlier holders fail.
    void on_tick(steady_time now, bool holds_lease, std::uint64_t epoch,
                 std::map<std::string, quota_demand> const& demand, outbox& out);
    void on_store_reply(steady_time now, store_reply const& reply);

    /// Grant of the row that may be used now; zero while it is uncertain.
    unsigned usable(std::string const& row) const;
    /// Number to which this data centre should unload; less than usable() when the configured number was
    /// lowered.
    unsigned unload_bound(std::string const& row) const;
    /// Number of replicas up to which loads may be ordered: the grant, less the excess of all grants over a
    /// configured number that was lowered, because other data centres may not have unloaded replicas yet.
    unsigned load_bound(std::string const& row) const;
    /// Configured number for the whole fleet; zero for a model that is not in the configuration.
    unsigned fleet_bound(std::string const& row) const;
    /// Equal share of `total` for this data centre. Rendezvous hashing decides which data centres get one
    /// more.
    unsigned fair_share(std::string const& row, unsigned total) const;
    bool ready() const;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace siskinusher
