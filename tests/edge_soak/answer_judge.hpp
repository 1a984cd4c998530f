#pragma once

#include "tests/wire/fault_spans.hpp"
#include "tests/wire/faulty_backend.hpp"
#include "tests/wire/operator_standin.hpp"
#include "tests/wire/wire_caller.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace siskinusher::standins
{

/// One request and its answer, as the caller sees them.
struct request_record
{
    std::string id; ///< Requests of one caller may have the same id, one after the other.
    /// Id of the first attempt at what the caller wants done; equal to `id` for that attempt.
    std::string first_id;
    std::size_t instance = 0;
    std::string prefix;         ///< Path prefix of the route.
    bool organisations = false; ///< The configuration has organisations.
    std::string key;            ///< Empty for none.
    unsigned cost = 0;          ///< In tokens.
    bool at_most_once = false;
    bool stream = false;
    std::chrono::milliseconds time_allowed{0}; ///< The deadline that the caller sent.
    time_span open;                            ///< From the begin of the sending to the end of the answer.
    caller_answer answer;
};

/// True for a status which promises that the request has not run and never will.
bool is_promise(int status);

struct broken_guarantee
{
    request_record request;
    std::string what;
};

/// Judges the records of a run. These spans of faults excuse an answer that is neither complete nor a
/// refusal, when they share a moment with the request; N is the instance of the request:
///
/// "killed N"      SIGKILL until the new process is started.
/// "suspended N"   SIGSTOP until SIGCONT.
/// "stopping N"    The stop time after SIGTERM until the new process is started.
/// "leaving N"     The time from which a stopping process may end until the new process is started; only for
///                 requests without a sign that the process has read them.
/// "backend NAME"  A fault that breaks answers, at a server that ran the request, or at any engine (any plain
///                 server) when none ran it: with wrong_request_id a server also rejects with a wrong id.
/// "link NAME"     A link to such a server was cut or reset; a request that none ran may be lost on it.
///
/// An answer without a head is not excused by faults of servers, and neither is a request that ran on sound
/// servers only. Nothing is excused by faults of the store and of the links to it ("store", "store link N");
/// they only put off the time by which an instance must know a configuration. "started N" is the start of a
/// process, which reads the configuration from the store. Pauses, slow answers, rejections, delayed links,
/// draining servers, SIGHUP, changes of the configuration, copies of answers and servers with two names
/// excuse nothing.
class answer_judge
{
public:
    answer_judge(fault_spans const& faults, operator_standin const& configs,
                 std::vector<std::unique_ptr<faulty_backend>> const& backends);

    /// Judges the requests of a run that has ended.
    std::vector<broken_guarantee> judge(std::vector<request_record> records);

private:
    /// The oldest version that an instance can have after an answer, from what the answer shows.
    struct seen_version
    {
        std::size_t instance = 0;
        fault_clock::time_point at;
        std::size_t version = 1;
    };

    void judge_runs(request_record const& record);
    void judge_repetitions(std::vector<request_record> const& records);
    void judge_answer(request_record const& record);
    void judge_version(request_record const& record);
    bool is_excused(request_record const& record) const;
    bool time_is_over(request_record const& record) const;
    std::size_t oldest_version(request_record const& record) const;
    bool fits(request_record const& record, std::size_t version) const;
    /// True when the request has begun to run before `limit`.
    bool ran_before(std::string const& id, fault_clock::time_point limit) const;
    void report(request_record const& record, std::string const& what);

    fault_spans const& faults_;
    operator_standin const& configs_;
    std::map<std::string, std::string> service_of_;            ///< Of each server.
    std::map<std::string, std::multiset<std::string>> ran_on_; ///< The servers that ran each request.
    std::map<std::string, std::vector<fault_clock::time_point>> run_times_;  ///< Of each request.
    std::map<std::string, std::vector<fault_clock::time_point>> send_times_; ///< The same, in order.
    std::vector<seen_version> seen_;
    std::vector<broken_guarantee> broken_;
};

} // namespace siskinusher::standins
