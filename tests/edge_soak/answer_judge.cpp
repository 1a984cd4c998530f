#include "tests/edge_soak/answer_judge.hpp"

#include <algorithm>

namespace siskinusher::standins
{

namespace
{

using std::chrono::milliseconds;

// The time within which a configuration must be in force, from the settings of edge_child.
constexpr milliseconds change_time{2500};
// With less time left than this, an instance makes no further attempt.
constexpr milliseconds deadline_margin{60};
constexpr unsigned events_of_stream = 6;
constexpr unsigned max_backends = 2;

// The events that a stream of this request has after its first `count` events.
std::string events(std::string const& id, unsigned count)
{
    std::string text;
    for (unsigned event = 1; event <= count; ++event)
    {
        text += "id: " + std::to_string(event) + "\ndata: " + id + "\n\n";
    }
    return text;
}

} // namespace

bool is_promise(int status)
{
    static std::set<int> const promises{408, 421, 429, 503};
    return promises.count(status) > 0;
}

answer_judge::answer_judge(fault_spans const& faults, operator_standin const& configs,
                           std::vector<std::unique_ptr<faulty_backend>> const& backends)
    : faults_(faults), configs_(configs)
{
    for (auto const& backend : backends)
    {
        backend_standin& server = backend->server();
        service_of_[server.name()] = server.service();
        for (auto const& [id, times] : server.run_times())
        {
            std::vector<std::string> const runs(times.size(), server.name());
            ran_on_[id].insert(runs.begin(), runs.end());
            run_times_[id].insert(run_times_[id].end(), times.begin(), times.end());
        }
    }
}

std::vector<broken_guarantee> answer_judge::judge(std::vector<request_record> records)
{
    std::sort(records.begin(), records.end(),
              [](auto const& a, auto const& b) { return a.open.end < b.open.end; });
    for (request_record const& record : records)
    {
        send_times_[record.id].push_back(record.open.begin);
    }
    for (request_record const& record : records)
    {
        judge_runs(record);
        judge_answer(record);
        judge_version(record);
    }
    judge_repetitions(records);
    return broken_;
}

void answer_judge::report(request_record const& record, std::string const& what)
{
    auto const total = std::chrono::duration_cast<milliseconds>(record.open.end - record.open.begin);
    std::string text = record.id + " at edge-" + std::to_string(record.instance) + " " + what + ": " +
                       record.prefix + " status " + std::to_string(record.answer.status) + " after " +
                       std::to_string(total.count()) + " of " + std::to_string(record.time_allowed.count()) +
                       " ms, ran on";
    for (std::string const& server : ran_on_[record.id])
    {
        text += " " + server;
    }
    broken_.push_back({record, text});
}

// No request runs more often than allowed, and none that was refused as "not run" has run by then or runs
// later, unless its caller sends it again under the same id; a run after that belongs to the later sending.
void answer_judge::judge_runs(request_record const& record)
{
    std::size_t const count = ran_on_[record.id].size();
    if (count > (record.at_most_once ? 1 : max_backends))
    {
        report(record, "ran " + std::to_string(count) + " times");
    }
    if (record.answer.status == 200 && count == 0)
    {
        report(record, "served although it has not run");
    }
    auto const& sent = send_times_.at(record.id);
    auto const next = std::upper_bound(sent.begin(), sent.end(), record.open.begin);
    if (is_promise(record.answer.status) &&
        ran_before(record.id, next == sent.end() ? fault_clock::time_point::max() : *next))
    {
        report(record, "refused although it has run");
    }
}

bool answer_judge::ran_before(std::string const& id, fault_clock::time_point limit) const
{
    auto const found = run_times_.find(id);
    return found != run_times_.end() &&
           std::any_of(found->second.begin(), found->second.end(), [limit](auto at) { return at < limit; });
}

// What must be done once is done once, also when its caller has sent it again after an answer or a close that
// said that it had not run.
void answer_judge::judge_repetitions(std::vector<request_record> const& records)
{
    std::map<std::string, std::size_t> runs;
    std::set<std::string> counted;
    for (request_record const& record : records)
    {
        if (record.at_most_once && counted.insert(record.id).second &&
            (runs[record.first_id] += ran_on_[record.id].size()) > 1 && !ran_on_[record.id].empty() &&
            record.id != record.first_id)
        {
            report(record, "repeats " + record.first_id + ", which has run");
        }
    }
}

void answer_judge::judge_answer(request_record const& record)
{
    caller_answer const& answer = record.answer;
    std::string const expected = record.stream ? events(record.id, events_of_stream) : "body of " + record.id;
    if (answer.status == 200 && (answer.whole ? answer.body != expected : expected.find(answer.body) != 0))
    {
        report(record, "wrong body '" + answer.body + "'");
    }
    if (answer.status == 400)
    {
        report(record, "a valid request was answered with 400");
    }
    // 500 is the complete answer of a server with the fault server_error; judge_version checks 404.
    static std::set<int> const complete{200, 404, 500, 503};
    // judge_version checks 401, too.
    bool const refused_for_organisation =
        record.organisations && (answer.status == 401 || answer.status == 429);
    bool const is_complete = complete.count(answer.status) > 0 || refused_for_organisation;
    if (answer.sent && (!answer.whole || !is_complete) && !is_excused(record))
    {
        report(record, answer.whole ? "neither answered nor refused" : "broken off");
    }
}

bool answer_judge::is_excused(request_record const& record) const
{
    std::string const instance = std::to_string(record.instance);
    auto const& ran = ran_on_.at(record.id);
    std::vector<std::string> excuses{"killed " + instance, "suspended " + instance, "stopping " + instance};
    if (record.answer.status == 0)
    {
        if (ran.empty())
        {
            excuses.push_back("leaving " + instance);
        }
        return faults_.last_overlap(excuses, record.open).has_value();
    }
    for (auto const& [server, service] : service_of_)
    {
        if (ran.count(server) > 0 || (ran.empty() && (service == "llm") == record.stream))
        {
            excuses.push_back("backend " + server);
            excuses.push_back("link " + server);
        }
    }
    return time_is_over(record) || faults_.last_overlap(excuses, record.open).has_value();
}

// True when the request was open until the caller's deadline or the route's time limit, with the shortest
// limit of the versions that the instance can have had at the arrival.
bool answer_judge::time_is_over(request_record const& record) const
{
    milliseconds limit = record.time_allowed;
    std::size_t const newest = configs_.written_by(record.open.begin);
    for (std::size_t version = oldest_version(record); version <= newest; ++version)
    {
        milliseconds const time_limit = configs_.time_limit_of(record.prefix, version);
        limit = time_limit > milliseconds{0} ? std::min(limit, time_limit) : limit;
    }
    return record.open.end - record.open.begin >= limit - deadline_margin;
}

// A version is in force change_time after its acknowledgement, if the instance was in touch with the store
// during that time. A process that starts reads the configuration, and no process goes back to an older
// version than one that an answer has shown.
std::size_t answer_judge::oldest_version(request_record const& record) const
{
    std::string const instance = std::to_string(record.instance);
    std::vector<std::string> const out_of_touch{"store", "store link " + instance, "suspended " + instance};
    auto in_touch = record.open.begin;
    while (auto const span = faults_.last_overlap(out_of_touch, {in_touch - change_time, in_touch}))
    {
        in_touch = span->begin - milliseconds{1};
    }
    std::size_t version = std::max<std::size_t>(1, configs_.acknowledged_by(in_touch - change_time));
    auto const started =
        faults_.last_overlap({"started " + instance}, {fault_clock::time_point::min(), record.open.begin});
    version = std::max(version, started ? configs_.acknowledged_by(started->begin) : 1);
    for (seen_version const& seen : seen_)
    {
        if (seen.instance == record.instance && seen.at < record.open.begin &&
            (!started || started->end < seen.at))
        {
            version = std::max(version, seen.version);
        }
    }
    return version;
}

bool answer_judge::fits(request_record const& record, std::size_t version) const
{
    std::string const service = configs_.service_of(record.prefix, version);
    auto const server = service_of_.find(record.answer.server);
    bool const needs_key = record.organisations && !configs_.is_public(record.prefix);
    return (record.answer.status != 404 || service.empty()) &&
           (record.answer.status != 401 || (needs_key && !configs_.holds_key(record.key, version))) &&
           (server == service_of_.end() || service == server->second);
}

// Checks that an answer with 404 or of a server's service fits a version that the instance can have.
void answer_judge::judge_version(request_record const& record)
{
    if (record.answer.status == 0 ||
        faults_.last_overlap({"started " + std::to_string(record.instance)}, record.open))
    {
        return; // Unknown, or unknown which process has answered.
    }
    std::size_t const oldest = oldest_version(record);
    std::size_t const newest = configs_.written_by(record.open.end);
    std::size_t version = oldest;
    for (; version <= newest && !fits(record, version); ++version)
    {
    }
    if (version > newest)
    {
        report(record, "answer of '" + record.answer.server + "' fits no version from " +
                           std::to_string(oldest) + " to " + std::to_string(newest));
    }
    else if (version > oldest)
    {
        seen_.push_back({record.instance, record.open.end, version});
    }
}

} // namespace siskinusher::standins
