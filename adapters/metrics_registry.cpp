#include "adapters/metrics_registry.hpp"

#include "core/invariant.hpp"

#include <sstream> // Boost 1.74's quantile headers use it without including it.

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <map>
#include <mutex>
#include <utility>

namespace siskinusher
{

namespace
{

namespace acc = boost::accumulators;

constexpr std::array<double, 3> quantiles{0.5, 0.95, 0.99};

// Estimates quantiles since the start of the process in constant memory (the P-square algorithm).
class latency_summary
{
public:
    latency_summary() : values_(acc::extended_p_square_probabilities = quantiles) {}

    void observe(duration value) { values_(std::chrono::duration<double>(value).count()); }

    void print(std::ostream& out, std::string const& name, std::string const& labels) const
    {
        std::string const inner = labels.empty() ? labels : labels + ",";
        std::string const outer = labels.empty() ? labels : "{" + labels + "}";
        // For n quantiles the algorithm needs 2 * n + 3 samples before it has an estimate.
        if (acc::count(values_) > 2 * quantiles.size() + 2)
        {
            auto const estimates = acc::extended_p_square(values_);
            for (std::size_t i = 0; i < quantiles.size(); ++i)
            {
                out << name << "{" << inner << "quantile=\"" << quantiles.at(i) << "\"} "
                    << estimates[static_cast<std::ptrdiff_t>(i)] << "\n";
            }
        }
        out << name << "_sum" << outer << " " << acc::sum(values_) << "\n";
        out << name << "_count" << outer << " " << acc::count(values_) << "\n";
    }

private:
    acc::accumulator_set<double, acc::stats<acc::tag::extended_p_square, acc::tag::count, acc::tag::sum>>
        values_;
};

// Bytes, messages and sent orders are counted by kind, everything else by reason.
std::string_view label_name(std::string_view counter)
{
    auto const has = [counter](std::string_view part)
    { return counter.find(part) != std::string_view::npos; };
    return has("bytes") || has("messages") || has("orders") ? "kind" : "reason";
}

std::string escape_label(std::string_view value)
{
    std::string text;
    for (char const c : value)
    {
        if (c == '\n')
        {
            text.append("\\n");
            continue;
        }
        if (c == '"' || c == '\\')
        {
            text.push_back('\\');
        }
        text.push_back(c);
    }
    return text;
}

} // namespace

class metrics_registry::implementation
{
public:
    mutable std::mutex mutex;
    std::map<std::string, std::map<std::string, std::uint64_t, std::less<>>, std::less<>> counters;
    std::array<latency_summary, rank_count> by_rank;
    latency_summary added;
    std::map<std::pair<std::string, std::string>, latency_summary> latencies; ///< By name and label.
    std::map<std::string, std::function<std::uint64_t()>> gauges;
};

metrics_registry::metrics_registry() : implementation_(std::make_unique<implementation>()) {}
metrics_registry::~metrics_registry() = default;

void metrics_registry::add(std::string_view name, std::string_view label, std::uint64_t amount)
{
    std::lock_guard<std::mutex> const lock(implementation_->mutex);
    auto counter = implementation_->counters.find(name);
    if (counter == implementation_->counters.end())
    {
        counter = implementation_->counters.try_emplace(std::string(name)).first;
    }
    auto row = counter->second.find(label);
    if (row == counter->second.end())
    {
        row = counter->second.emplace(std::string(label), 0).first;
    }
    row->second += amount;
}

std::uint64_t metrics_registry::value(std::string_view name, std::string_view label) const
{
    std::lock_guard<std::mutex> const lock(implementation_->mutex);
    auto const counter = implementation_->counters.find(name);
    if (counter == implementation_->counters.end())
    {
        return 0;
    }
    auto const row = counter->second.find(label);
    return row == counter->second.end() ? 0 : row->second;
}

void metrics_registry::observe_request(rank request_rank, duration total)
{
    std::lock_guard<std::mutex> const lock(implementation_->mutex);
    implementation_->by_rank.at(index_of(request_rank)).observe(total);
}

void metrics_registry::observe_added(duration added)
{
    std::lock_guard<std::mutex> const lock(implementation_->mutex);
    implementation_->added.observe(added);
}

void metrics_registry::observe(std::string const& name, std::string const& label, duration value)
{
    std::lock_guard<std::mutex> const lock(implementation_->mutex);
    implementation_->latencies[{name, label}].observe(value);
}

void metrics_registry::set_gauge(std::string const& name, std::function<std::uint64_t()> read)
{
    std::lock_guard<std::mutex> const lock(implementation_->mutex);
    implementation_->gauges[name] = std::move(read);
}

std::string metrics_registry::text() const
{
    std::ostringstream out;
    std::lock_guard<std::mutex> const lock(implementation_->mutex);
    for (auto const& [name, rows] : implementation_->counters)
    {
        out << "# TYPE " << name << " counter\n";
        for (auto const& [label, count] : rows)
        {
            out << name;
            if (!label.empty())
            {
                out << "{" << label_name(name) << "=\"" << escape_label(label) << "\"}";
            }
            out << " " << count << "\n";
        }
    }
    out << "# TYPE siskin_invariant_violations_total counter\nsiskin_invariant_violations_total "
        << invariant_violations() << "\n";
    for (auto const& [name, read] : implementation_->gauges)
    {
        out << "# TYPE " << name << " gauge\n" << name << " " << read() << "\n";
    }
    out << "# TYPE siskin_request_seconds summary\n";
    for (rank const each : all_ranks)
    {
        std::string const label = "rank=\"" + std::string(to_string(each)) + "\"";
        implementation_->by_rank.at(index_of(each)).print(out, "siskin_request_seconds", label);
    }
    for (auto const& [key, latency] : implementation_->latencies)
    {
        latency.print(out, key.first, "priority=\"" + escape_label(key.second) + "\"");
    }
    out << "# TYPE siskin_added_seconds summary\n";
    implementation_->added.print(out, "siskin_added_seconds", "");
    return out.str();
}

} // namespace siskinusher
