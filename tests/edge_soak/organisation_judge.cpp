#include "tests/edge_soak/organisation_judge.hpp"

#include <algorithm>
#include <sstream>

namespace siskinusher::standins
{

namespace
{

constexpr std::chrono::seconds window{4};
constexpr double excess = 0.1;
// About 15 requests of the soak's mean cost, as in the example of docs/design/organisations.md.
constexpr double slack = 1700;

} // namespace

std::string quota_settings()
{
    std::ostringstream text;
    text << ", quota_window_s: " << window.count() << ", quota_excess: " << excess
         << ", quota_slack: " << slack;
    return text.str();
}

organisation_judge::organisation_judge(operator_standin const& configs,
                                       std::vector<std::unique_ptr<faulty_backend>> const& backends)
    : configs_(configs)
{
    for (auto const& backend : backends)
    {
        for (auto const& [id, names] : backend->server().organisations())
        {
            organisations_[id].insert(names.begin(), names.end());
        }
        for (auto const& [id, times] : backend->server().run_times())
        {
            run_times_[id].insert(run_times_[id].end(), times.begin(), times.end());
        }
    }
    for (auto& [id, times] : run_times_)
    {
        std::sort(times.begin(), times.end());
    }
}

std::vector<broken_guarantee> organisation_judge::judge(std::vector<request_record> records)
{
    std::sort(records.begin(), records.end(),
              [](auto const& a, auto const& b) { return a.open.begin < b.open.begin; });
    std::map<std::string, std::vector<request_record>> ran_of;
    // From the last to the first, so that a run counts for the last sending of its id before it.
    for (auto record = records.rbegin(); record != records.rend(); ++record)
    {
        auto& times = run_times_[record->id];
        auto const first = std::lower_bound(times.begin(), times.end(), record->open.begin);
        bool const ran = first != times.end();
        times.erase(first, times.end());
        judge_key(*record, ran);
        if (ran && !configs_.is_public(record->prefix))
        {
            ran_of[configs_.organisation_of(record->key)].push_back(*record);
        }
    }
    for (auto& [organisation, ran] : ran_of)
    {
        std::reverse(ran.begin(), ran.end());
        judge_windows(organisation, ran);
    }
    return broken_;
}

void organisation_judge::report(request_record const& record, std::string const& what)
{
    broken_.push_back({record, record.id + " at edge-" + std::to_string(record.instance) + " with the key '" +
                                   record.key + "' " + what + ": " + record.prefix + " status " +
                                   std::to_string(record.answer.status)});
}

void organisation_judge::judge_key(request_record const& record, bool ran)
{
    bool const is_public = configs_.is_public(record.prefix);
    std::string const expected = is_public ? "" : configs_.organisation_of(record.key);
    for (std::string const& name : organisations_[record.id])
    {
        if (name != expected)
        {
            report(record, "reached a server as organisation '" + name + "'");
        }
    }
    if (!ran || is_public)
    {
        return;
    }
    if (record.answer.status == 401)
    {
        report(record, "ran although it was answered 401");
    }
    if (!configs_.held_within(record.key, record.open.begin - revoke_time, record.open.end))
    {
        report(record, expected.empty() ? "ran, but no version has held its key"
                                        : "ran although its key had been taken away");
    }
}

// A lowered limit is binding one window after all instances know it. They know it revoke_time after its
// acknowledgement, because an instance without a proof of being current refuses all keys.
void organisation_judge::judge_windows(std::string const& organisation,
                                       std::vector<request_record> const& records)
{
    double cost = 0;
    auto end = records.begin();
    for (auto first = records.begin(); first != records.end(); cost -= first->cost, ++first)
    {
        auto const begin = first->open.begin;
        for (; end != records.end() && end->open.begin < begin + window; ++end)
        {
            cost += end->cost;
        }
        auto const limit =
            configs_.limit_within(organisation, window, begin - window - revoke_time, begin + window);
        if (!limit)
        {
            continue;
        }
        double const bound = *limit * (1 + excess) + slack;
        fullest_window_ = std::max(fullest_window_, cost / bound);
        if (cost > bound)
        {
            report(*first, "begins a window in which " + organisation + " used " + std::to_string(cost) +
                               " of " + std::to_string(bound) + " tokens");
        }
    }
}

} // namespace siskinusher::standins
