#include "decision/quota_ledger.hpp"

#include "core/hash.hpp"
#include "core/random_source.hpp"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace siskinusher
{

namespace
{

constexpr duration read_interval = seconds{2};
// Shorter: a cold start waits for a grant of another data centre.
constexpr duration unmet_demand_read_interval = milliseconds{500};
// 11 data centres then make at most 55 writes a second.
constexpr duration write_interval = milliseconds{200};
constexpr duration answer_timeout = seconds{1};
// Spreads the retries of holders whose writes conflicted.
constexpr duration retry_spread = milliseconds{100};
constexpr duration outage_spread = seconds{2}; // In an outage, calls are as rare as reads without one.
constexpr std::size_t max_tracked_writes = 32;

struct tracked_write
{
    std::uint64_t tag = 0;
    object_version expected = 0;
    quota_record record;
};

} // namespace

class quota_ledger::implementation
{
public:
    implementation(std::string data_centre, std::uint64_t seed)
        : data_centre_(std::move(data_centre)), random_(seed)
    {
    }

    void on_config(std::shared_ptr<fleet_config const> config)
    {
        config_ = std::move(config);
        rows_up_to_date_ = false;
    }

    void on_tick(steady_time now, bool holds_lease, std::uint64_t epoch,
                 std::map<std::string, quota_demand> const& demand, outbox& out)
    {
        if (!holds_lease)
        {
            return;
        }
        if (epoch != fenced_epoch_)
        {
            fenced_ = false;
            fenced_epoch_ = epoch;
            last_tag_before_epoch_ = last_tag_;
            record_current_ = false;
            rows_up_to_date_ = false;
            next_read_ = now;
        }
        if (!config_)
        {
            return;
        }
        bool const waiting = in_flight_ && now < last_call_ + answer_timeout;
        if (waiting)
        {
            return;
        }
        if (now >= next_read_)
        {
            call(now, store_get{}, out);
            next_read_ = now + (demand_unmet_ ? unmet_demand_read_interval : read_interval);
            return;
        }
        if (!record_current_ || now < next_write_)
        {
            return;
        }
        if (rows_up_to_date_ && demand == up_to_date_demand_)
        {
            return; // Nothing has changed since the rows were found up to date.
        }
        quota_record next = record_;
        bool const changed = update(next, demand);
        demand_unmet_ =
            std::any_of(next.rows.begin(), next.rows.end(),
                        [this](auto const& row)
                        {
                            auto const mine = row.second.find(data_centre_);
                            return mine != row.second.end() && mine->second.wanted > mine->second.granted;
                        });
        if (!changed && fenced_)
        {
            rows_up_to_date_ = true;
            up_to_date_demand_ = demand;
            return;
        }
        next.write_nonce = random_.next();
        next_write_ = now + write_interval;
        writes_.push_back({last_tag_ + 1, version_, next});
        if (writes_.size() > max_tracked_writes)
        {
            record_current_ = false; // The outcome of too many writes is unknown: read before the next one.
            writes_.pop_back();
            return;
        }
        call(now, store_put{version_, std::move(next)}, out);
    }

    void on_store_reply(steady_time now, store_reply const& reply)
    {
        rows_up_to_date_ = false;
        if (reply.tag == last_tag_)
        {
            in_flight_ = false;
        }
        auto const write = std::find_if(writes_.begin(), writes_.end(),
                                        [&](tracked_write const& item) { return item.tag == reply.tag; });
        if (write != writes_.end())
        {
            auto const* written = std::get_if<store_written>(&reply.result);
            if (written != nullptr && record_current_ && write->expected == version_)
            {
                bool const fences = reply.tag > last_tag_before_epoch_;
                record_ = write->record;
                version_ = written->version;
                fenced_ = fenced_ || fences;
                // The others cannot take effect: they expect the version that this write replaced.
                writes_.clear();
                return;
            }
            if (std::holds_alternative<store_conflict>(reply.result))
            {
                writes_.erase(write);
            }
            record_current_ = record_current_ && !std::holds_alternative<store_conflict>(reply.result);
            bool const outage = std::holds_alternative<store_unavailable>(reply.result);
            duration const spread = outage ? outage_spread : retry_spread;
            next_read_ = now + microseconds{random_.below(spread.count())};
            next_write_ = std::max(next_write_, next_read_);
            return;
        }
        if (reply.tag != last_tag_)
        {
            return; // The answer to a read that a later call has superseded.
        }
        if (auto const* found = std::get_if<store_found>(&reply.result))
        {
            if (auto const* record = std::get_if<quota_record>(&found->value))
            {
                accept_record(*record, found->version);
            }
        }
        else if (std::holds_alternative<store_absent>(reply.result) && !object_seen_)
        {
            accept_record({}, 0);
        }
    }

    unsigned usable(std::string const& row) const
    {
        if (!fenced_ || !config_)
        {
            return 0;
        }
        // A write whose outcome is unknown may have lowered the grant.
        unsigned grant = own_row(record_, row).granted;
        for (auto const& write : writes_)
        {
            grant = std::min(grant, own_row(write.record, row).granted);
        }
        return grant;
    }

    unsigned unload_bound(std::string const& row) const
    {
        unsigned const granted = own_row(record_, row).granted;
        return fenced_ && config_ ? reduced_grant(record_, row, granted) : granted;
    }

    unsigned load_bound(std::string const& row) const
    {
        unsigned granted = 0;
        if (auto const found = record_.rows.find(row); found != record_.rows.end())
        {
            for (auto const& each : found->second)
            {
                granted += each.second.granted;
            }
        }
        unsigned const bound = fleet_bound(row);
        unsigned const excess = granted > bound ? granted - bound : 0;
        unsigned const grant = usable(row);
        return grant > excess ? grant - excess : 0;
    }

    unsigned fleet_bound(std::string const& row) const
    {
        if (!config_)
        {
            return 0;
        }
        if (row == weight_store_row)
        {
            return config_->weight_store.full_speed_loads;
        }
        if (row == weight_store_adapters_row)
        {
            return adapter_loads_in_flight;
        }
        auto const found = config_->models.find(row);
        return found == config_->models.end() ? 0 : found->second.max_replicas;
    }

    unsigned fair_share(std::string const& row, unsigned total) const
    {
        return config_ ? fair_share_of(row, total, data_centre_) : 0;
    }

    bool ready() const { return fenced_ && config_; }

private:
    void call(steady_time now, store_operation what, outbox& out)
    {
        in_flight_ = true;
        last_call_ = now;
        out.emplace_back(store_request{store_owner::quota, ++last_tag_, "quota", std::move(what)});
    }

    void accept_record(quota_record const& record, object_version version)
    {
        if (record_current_ && version == version_)
        {
            return;
        }
        // The nonce of the record shows whether an unanswered write of this epoch took effect.
        for (auto const& write : writes_)
        {
            if (write.record.write_nonce == record.write_nonce && write.tag > last_tag_before_epoch_)
            {
                fenced_ = true;
            }
        }
        if (!object_seen_ || version != version_)
        {
            writes_.clear();
        }
        record_ = record;
        version_ = version;
        record_current_ = true;
        object_seen_ = true;
    }

    quota_row own_row(quota_record const& record, std::string const& row) const
    {
        auto const rows = record.rows.find(row);
        if (rows == record.rows.end())
        {
            return {};
        }
        auto const found = rows->second.find(data_centre_);
        return found == rows->second.end() ? quota_row{} : found->second;
    }

    unsigned fair_share_of(std::string const& row, unsigned total, std::string const& data_centre) const
    {
        auto const& centres = config_->data_centres;
        if (std::find(centres.begin(), centres.end(), data_centre) == centres.end())
        {
            return 0;
        }
        unsigned const count = static_cast<unsigned>(centres.size());
        auto const order = rendezvous_order(row, centres);
        auto const place = std::find(order.begin(), order.end(), data_centre) - order.begin();
        return total / count + (static_cast<unsigned>(place) < total % count ? 1 : 0);
    }

    static unsigned granted_total(quota_record const& record, std::string const& row)
    {
        unsigned total = 0;
        auto const rows = record.rows.find(row);
        if (rows != record.rows.end())
        {
            for (auto const& entry : rows->second)
            {
                total += entry.second.granted;
            }
        }
        return total;
    }

    /// The grant to which this data centre has to come down while the grants together exceed the configured
    /// number. Each data centre above its fair share gives up the whole excess, but keeps its fair share. At
    /// least one data centre is above it, so that the excess always shrinks.
    unsigned reduced_grant(quota_record const& record, std::string const& row, unsigned granted) const
    {
        unsigned const total = granted_total(record, row);
        unsigned const bound = fleet_bound(row);
        if (total <= bound)
        {
            return granted;
        }
        unsigned const fair = fair_share_of(row, bound, data_centre_);
        unsigned const above = granted > fair ? granted - fair : 0;
        return granted - std::min(above, total - bound);
    }

    bool update(quota_record& next, std::map<std::string, quota_demand> const& demand) const
    {
        std::vector<std::string> names{weight_store_row, weight_store_adapters_row};
        for (auto const& model : config_->models)
        {
            names.push_back(model.first);
        }
        for (auto const& row : record_.rows)
        {
            if (fleet_bound(row.first) == 0)
            {
                names.push_back(row.first);
            }
        }
        bool changed = false;
        for (auto const& name : names)
        {
            auto const found = demand.find(name);
            changed =
                update_row(next, name, found == demand.end() ? quota_demand{} : found->second) || changed;
        }
        return changed;
    }

    bool update_row(quota_record& next, std::string const& name, quota_demand const& demand) const
    {
        auto& rows = next.rows[name];
        unsigned const bound = fleet_bound(name);
        bool const is_new = rows.count(data_centre_) == 0;
        if (is_new && bound == 0)
        {
            if (rows.empty())
            {
                next.rows.erase(name);
            }
            return false;
        }
        quota_row& row = rows[data_centre_];
        quota_row const before = row;
        unsigned const total = granted_total(next, name);
        unsigned const others = total - row.granted;
        unsigned const available = bound > others ? bound - others : 0;
        unsigned const fair = fair_share_of(name, bound, data_centre_);
        unsigned const wanted = demand.wanted;
        if (is_new)
        {
            row.granted = std::min(fair, available);
        }
        if (wanted > row.granted && row.granted < available)
        {
            row.granted = std::min(wanted, available);
        }
        else if (total > bound)
        {
            row.granted =
                std::max(std::min(demand.in_use, row.granted), reduced_grant(next, name, row.granted));
        }
        else if (!is_new)
        {
            release_to_others(rows, name, row, demand, fair, bound - total);
        }
        row.wanted = wanted;
        bool const differs = is_new || before.granted != row.granted ||
                             (before.wanted != row.wanted && affects_others(before, row));
        if (!differs)
        {
            row = before;
        }
        if (bound == 0 && row.granted == 0)
        {
            rows.erase(data_centre_);
            if (rows.empty())
            {
                next.rows.erase(name);
            }
            return true;
        }
        return differs;
    }

    /// A change of `wanted` affects other data centres only while it exceeds the grant.
    static bool affects_others(quota_row const& before, quota_row const& after)
    {
        return before.wanted > before.granted || after.wanted > after.granted;
    }

    /// Gives up grants for data centres that want more: those that this data centre does not need and, for a
    /// data centre below its fair share, also unused ones above its own fair share.
    void release_to_others(std::map<std::string, quota_row> const& rows, std::string const& name,
                           quota_row& row, quota_demand const& demand, unsigned fair,
                           unsigned unassigned) const
    {
        unsigned lacking = 0;
        unsigned lacking_below_fair = 0;
        for (auto const& entry : rows)
        {
            quota_row const& other = entry.second;
            if (entry.first == data_centre_ || other.wanted <= other.granted)
            {
                continue;
            }
            lacking += other.wanted - other.granted;
            unsigned const other_fair = fair_share_of(name, fleet_bound(name), entry.first);
            if (other.granted < other_fair)
            {
                lacking_below_fair +=
                    std::min(other.wanted, other_fair) - std::min(other.granted, other_fair);
            }
        }
        lacking -= std::min(lacking, unassigned);
        lacking_below_fair -= std::min(lacking_below_fair, unassigned);
        unsigned const needed = std::max(demand.in_use, demand.wanted);
        unsigned const unneeded = row.granted > needed ? row.granted - needed : 0;
        unsigned released = std::min(unneeded, lacking);
        unsigned const least_grant = std::max(demand.in_use, fair);
        unsigned const above_fair = row.granted > least_grant ? row.granted - least_grant : 0;
        released = std::max(released, std::min(above_fair, lacking_below_fair));
        row.granted -= released;
    }

    std::string const data_centre_;
    random_source random_;
    std::shared_ptr<fleet_config const> config_;
    quota_record record_;
    object_version version_ = 0;
    bool record_current_ = false;  ///< A write may be based on record_.
    bool object_seen_ = false;     ///< The object has been read or found absent.
    bool demand_unmet_ = false;    ///< This data centre wants more of some row than it has.
    bool rows_up_to_date_ = false; ///< The rows fit up_to_date_demand_ and need no write.
    std::map<std::string, quota_demand> up_to_date_demand_;
    bool fenced_ = false; ///< A write of this epoch took effect, so that writes of earlier holders fail.
    std::uint64_t fenced_epoch_ = 0;
    std::uint64_t last_tag_before_epoch_ = 0; ///< Writes with higher tags belong to this epoch.
    std::vector<tracked_write> writes_;       ///< Writes whose outcome is unknown; all expect version_.
    std::uint64_t last_tag_ = 0;
    bool in_flight_ = false;
    steady_time last_call_{};
    steady_time next_read_{};
    steady_time next_write_{};
};

quota_ledger::quota_ledger(std::string data_centre, std::uint64_t seed)
    : impl_(std::make_unique<implementation>(std::move(data_centre), seed))
{
}
quota_ledger::~quota_ledger() = default;

void quota_ledger::on_config(std::shared_ptr<fleet_config const> config)
{
    impl_->on_config(std::move(config));
}
void quota_ledger::on_tick(steady_time now, bool holds_lease, std::uint64_t epoch,
                           std::map<std::string, quota_demand> const& demand, outbox& out)
{
    impl_->on_tick(now, holds_lease, epoch, demand, out);
}
void quota_ledger::on_store_reply(steady_time now, store_reply const& reply)
{
    impl_->on_store_reply(now, reply);
}
unsigned quota_ledger::usable(std::string const& row) const
{
    return impl_->usable(row);
}
unsigned quota_ledger::unload_bound(std::string const& row) const
{
    return impl_->unload_bound(row);
}
unsigned quota_ledger::load_bound(std::string const& row) const
{
    return impl_->load_bound(row);
}

unsigned quota_ledger::fleet_bound(std::string const& row) const
{
    return impl_->fleet_bound(row);
}
unsigned quota_ledger::fair_share(std::string const& row, unsigned total) const
{
    return impl_->fair_share(row, total);
}
bool quota_ledger::ready() const
{
    return impl_->ready();
}

} // namespace siskinusher
