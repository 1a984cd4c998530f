#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include <nlohmann/json.hpp>

namespace siskinusher::standins
{

struct http_answer;

/// How one request of a caller ended.
struct call_outcome
{
    enum class kind
    {
        right,   ///< The complete answer to this request.
        refused, ///< A problem document that says not_run.
        unclear, ///< A problem document that says may_have_run or ran.
        wrong,   ///< Anything else, and no answer at all.
    };

    kind how{kind::wrong};
    double milliseconds = 0;
    std::string detail; ///< Reason of the refusal, or what is wrong.
    std::string body;
};

/// Headers of a request: its rank, and its deadline in milliseconds.
std::map<std::string, std::string> headers_for(std::string const& rank, unsigned deadline_ms);

/// A completion request for one user message, `prompt`.
nlohmann::json completion_request(std::string const& model, std::string const& prompt, unsigned tokens,
                                  bool stream);

/// Sends a completion request to an instance and checks the answer, token by token.
call_outcome ask_model(std::string const& instance, nlohmann::json const& request, std::string const& rank,
                       unsigned deadline_ms);

/// Sends a call to a plain service through an instance; `check` returns what is wrong with a 2xx answer's
/// body.
call_outcome call_service(std::string const& instance, std::string const& method, std::string const& path,
                          std::string const& body, std::map<std::string, std::string> const& headers,
                          std::function<std::string(std::string const&)> const& check);

/// One row of the printed table: the outcomes of all requests of one kind. Thread-safe.
class tally
{
public:
    explicit tally(std::string name) : name_(std::move(name)) {}

    void add(call_outcome const& outcome);

    unsigned count(call_outcome::kind kind) const;
    unsigned total() const;
    double slowest() const;
    double latency_quantile(double share) const; ///< In milliseconds; right answers only.
    std::string const& name() const { return name_; }
    std::string first_problem() const;

private:
    std::string const name_;
    mutable std::mutex mutex_;
    std::map<call_outcome::kind, unsigned> counts_;
    std::multiset<double> times_;
    std::string first_problem_;
};

/// Calls `work` with each index from 0 to count - 1 on its own thread, and waits for all threads.
void in_parallel(unsigned count, std::function<void(unsigned)> const& work);

} // namespace siskinusher::standins
