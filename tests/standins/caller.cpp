#include "tests/standins/caller.hpp"

#include "tests/standins/answer_text.hpp"
#include "tests/standins/http_call.hpp"

#include <chrono>
#include <thread>
#include <vector>

namespace siskinusher::standins
{

using nlohmann::json;

namespace
{

using clock = std::chrono::steady_clock;

// The instance must refuse before the deadline by itself; the caller waits 3 s longer to receive the refusal.
constexpr auto timeout_margin = std::chrono::seconds{3};

call_outcome classify_answer(std::optional<http_answer> const& answer, clock::time_point start,
                             std::function<std::string(std::string const&)> const& check)
{
    call_outcome outcome;
    outcome.milliseconds = std::chrono::duration<double, std::milli>(clock::now() - start).count();
    if (!answer)
    {
        outcome.detail = "no answer";
        return outcome;
    }
    outcome.body = answer->body;
    if (answer->status / 100 == 2)
    {
        outcome.detail =
            answer->whole ? check(answer->body) : "the answer is shorter than its Content-Length";
        outcome.how = outcome.detail.empty() ? call_outcome::kind::right : call_outcome::kind::wrong;
        return outcome;
    }
    auto problem = json::parse(answer->body, nullptr, false);
    if (!problem.is_object() || !problem["reason"].is_string() || !problem["execution"].is_string())
    {
        outcome.detail = "status " + std::to_string(answer->status) + " without a problem document";
        return outcome;
    }
    outcome.detail = problem["reason"].get<std::string>();
    outcome.how =
        problem["execution"] == "not_run" ? call_outcome::kind::refused : call_outcome::kind::unclear;
    return outcome;
}

} // namespace

std::map<std::string, std::string> headers_for(std::string const& rank, unsigned deadline_ms)
{
    return {{"X-Rank", rank}, {"X-Deadline-Ms", std::to_string(deadline_ms)}};
}

json completion_request(std::string const& model, std::string const& prompt, unsigned tokens, bool stream)
{
    json const message{{"role", "user"}, {"content", prompt}};
    return {
        {"model", model}, {"messages", json::array({message})}, {"max_tokens", tokens}, {"stream", stream}};
}

call_outcome ask_model(std::string const& instance, json const& request, std::string const& rank,
                       unsigned deadline_ms)
{
    auto const start = clock::now();
    auto const answer =
        http_call(instance, "POST", "/v1/chat/completions", request.dump(), headers_for(rank, deadline_ms),
                  std::chrono::milliseconds{deadline_ms} + timeout_margin);
    unsigned const tokens = request["max_tokens"];
    return classify_answer(answer, start,
                           [&request, tokens](std::string const& body)
                           {
                               return request["stream"] == true ? check_stream(request, body, 0, tokens)
                                                                : check_answer(request, body, tokens);
                           });
}

call_outcome call_service(std::string const& instance, std::string const& method, std::string const& path,
                          std::string const& body, std::map<std::string, std::string> const& headers,
                          std::function<std::string(std::string const&)> const& check)
{
    auto const start = clock::now();
    return classify_answer(http_call(instance, method, path, body, headers, std::chrono::seconds{13}), start,
                           check);
}

void tally::add(call_outcome const& outcome)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    ++counts_[outcome.how];
    if (outcome.how == call_outcome::kind::right)
    {
        times_.insert(outcome.milliseconds);
    }
    else if (first_problem_.empty())
    {
        first_problem_ = outcome.detail;
    }
}

unsigned tally::count(call_outcome::kind kind) const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const found = counts_.find(kind);
    return found == counts_.end() ? 0 : found->second;
}

unsigned tally::total() const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    unsigned sum = 0;
    for (auto const& entry : counts_)
    {
        sum += entry.second;
    }
    return sum;
}

double tally::slowest() const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return times_.empty() ? 0 : *times_.rbegin();
}

double tally::latency_quantile(double share) const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    if (times_.empty())
    {
        return 0;
    }
    auto const rank = static_cast<std::ptrdiff_t>(share * static_cast<double>(times_.size() - 1));
    return *std::next(times_.begin(), rank);
}

std::string tally::first_problem() const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return first_problem_;
}

void in_parallel(unsigned count, std::function<void(unsigned)> const& work)
{
    std::vector<std::thread> threads;
    threads.reserve(count);
    for (unsigned i = 0; i < count; ++i)
    {
        threads.emplace_back([&work, i] { work(i); });
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
}

} // namespace siskinusher::standins
