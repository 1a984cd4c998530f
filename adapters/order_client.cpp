#include "adapters/order_client.hpp"

#include "adapters/event_delivery.hpp"
#include "adapters/http_connection.hpp"
#include "adapters/platform_json.hpp"
#include "adapters/process_clock.hpp"
#include "adapters/worker_pool.hpp"

#include <nlohmann/json.hpp>

#include <mutex>
#include <utility>
#include <vector>

namespace siskinusher
{

namespace
{

// Limit of the orders that wait for a thread. Each has an intent, and the data centre record holds at most
// 1 MB of intents.
constexpr std::size_t queue_capacity = 4096;

struct addressed_order
{
    order submitted;
    std::string address;
};

// In the order of order_result.
constexpr char const* result_names[] = {"done", "refused_epoch", "refused", "not_sent", "unknown"};

http_call encode(order const& submitted)
{
    nlohmann::json const body{{"id", submitted.what.id},
                              {"epoch", submitted.epoch},
                              {"kind", to_string(submitted.what.kind)},
                              {"subject", submitted.what.subject},
                              {"bytes", submitted.what.bytes}};
    http_call call;
    call.method = "POST";
    call.path = "/engine/orders";
    call.headers.emplace_back("Content-Type", "application/json");
    // Names come from the operators' configuration text; bytes that are not UTF-8 would make dump() throw.
    call.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return call;
}

order_outcome interpret(order const& submitted, http_outcome const& answer)
{
    order_outcome outcome{submitted.what.id, order_result::unknown, 0, 0};
    if (answer.status == 0 && !answer.sent)
    {
        outcome.result = order_result::not_sent;
    }
    else if (answer.status == 409)
    {
        outcome.result = order_result::refused_epoch;
    }
    else if (answer.status == 507 || answer.status == 422)
    {
        outcome.result = order_result::refused;
    }
    else if (answer.status == 200)
    {
        auto const acknowledgement = read_order_acknowledgement(answer.body);
        if (acknowledgement)
        {
            outcome = {submitted.what.id, order_result::done, acknowledgement.value().boot_id,
                       acknowledgement.value().revision};
        }
    }
    return outcome;
}

} // namespace

class order_client::impl
{
public:
    impl(order_client_settings settings, event_sink& sink, metric_port& metrics, log_port& log)
        : settings_(settings), sink_(sink), metrics_(metrics), log_(log),
          pool_(settings_.workers, queue_capacity, [this](addressed_order const& job) { run(job); })
    {
    }
    ~impl() { stopping_ = true; }

    void submit(order const& submitted, std::string const& address)
    {
        if (!pool_.try_submit({submitted, address}))
        {
            // All threads are busy, so the next one that finishes its order will report this outcome soon.
            std::lock_guard<std::mutex> const lock(mutex_);
            rejected_outcomes_.push_back({submitted.what.id, order_result::not_sent, 0, 0});
        }
    }

private:
    void run(addressed_order const& job);
    void report(order_outcome const& outcome);

    order_client_settings const settings_;
    event_sink& sink_;
    metric_port& metrics_;
    log_port& log_;
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::vector<order_outcome> rejected_outcomes_;
    worker_pool<addressed_order> pool_; // Declared last: its threads use the other members.
};

void order_client::impl::run(addressed_order const& job)
{
    if (stopping_)
    {
        return;
    }
    auto const lease_holds = [&job] { return steady_now() < job.submitted.lease_until; };
    http_outcome answer;
    if (lease_holds())
    {
        // Each order has a fresh connection. After a failed write on a reused one, it would not be known
        // whether the engine had closed the connection before or after it received the order.
        http_connection connection(job.address, stopping_);
        answer =
            connection.exchange(encode(job.submitted), steady_now() + settings_.answer_limit, lease_holds);
    }
    order_outcome const outcome = interpret(job.submitted, answer);
    if (outcome.result == order_result::unknown)
    {
        log_.write({"order_outcome_unknown",
                    {{"engine", job.submitted.what.engine},
                     {"subject", job.submitted.what.subject},
                     {"status", std::to_string(answer.status)},
                     {"detail", answer.why}}});
    }
    report(outcome);
    std::vector<order_outcome> rejected;
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        rejected.swap(rejected_outcomes_);
    }
    for (order_outcome const& one : rejected)
    {
        report(one);
    }
}

void order_client::impl::report(order_outcome const& outcome)
{
    metrics_.add("siskin_order_results_total", result_names[static_cast<std::size_t>(outcome.result)], 1);
    deliver(sink_, outcome, stopping_);
}

order_client::order_client(order_client_settings settings, event_sink& sink, metric_port& metrics,
                           log_port& log)
    : impl_(std::make_unique<impl>(settings, sink, metrics, log))
{
}

order_client::~order_client() = default;

void order_client::submit(order const& submitted, std::string const& address)
{
    impl_->submit(submitted, address);
}

} // namespace siskinusher
