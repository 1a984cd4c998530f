#pragma once

#include "tests/edge_soak/answer_judge.hpp"

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace siskinusher::standins
{

/// The time after which a key that was taken away must not run anywhere. With 3 s, instances whose own bound
/// was 60 s passed: few faults of the soak keep an instance from a version for that long.
constexpr std::chrono::milliseconds revoke_time{1500};

/// The settings of quotas, as edge_child takes them.
std::string quota_settings();

/// Judges keys and limits of organisations on what the servers have received.
class organisation_judge
{
public:
    organisation_judge(operator_standin const& configs,
                       std::vector<std::unique_ptr<faulty_backend>> const& backends);

    /// Judges the requests of a run that has ended.
    std::vector<broken_guarantee> judge(std::vector<request_record> records);
    /// The highest cost in a window, as a part of what its limit allows.
    double fullest_window() const { return fullest_window_; }

private:
    void judge_key(request_record const& record, bool ran);
    void judge_windows(std::string const& organisation, std::vector<request_record> const& records);
    void report(request_record const& record, std::string const& what);

    operator_standin const& configs_;
    std::map<std::string, std::set<std::string>> organisations_; ///< That servers received with each id.
    std::map<std::string, std::vector<fault_clock::time_point>> run_times_; ///< Of each id, in order.
    double fullest_window_ = 0;
    std::vector<broken_guarantee> broken_;
};

} // namespace siskinusher::standins
