#include "adapters/engine_poller.hpp"

#include "adapters/http_connection.hpp"
#include "adapters/platform_json.hpp"
#include "adapters/process_clock.hpp"
#include "adapters/worker_pool.hpp"

#include <mutex>
#include <set>
#include <utility>

namespace siskinusher
{

namespace
{

// A data centre has 127 engines at the target; each is in the queue at most once.
constexpr std::size_t queue_capacity = 1024;

struct poll_job
{
    backend_name name;
    std::string address;
};

} // namespace

class engine_poller::impl
{
public:
    impl(engine_poller_settings settings, event_sink& sink, metric_port& metrics)
        : settings_(settings), sink_(sink), metrics_(metrics),
          pool_(settings_.workers, queue_capacity, [this](poll_job const& job) { run(job); })
    {
    }
    ~impl() { stopping_ = true; }

    void poll(backend_name const& name, std::string const& address)
    {
        {
            std::lock_guard<std::mutex> const lock(mutex_);
            if (!in_progress_.insert(name).second)
            {
                return count("in_progress");
            }
        }
        if (!pool_.try_submit({name, address}))
        {
            std::lock_guard<std::mutex> const lock(mutex_);
            in_progress_.erase(name);
            count("ring_full");
        }
    }

private:
    void run(poll_job const& job)
    {
        if (stopping_)
        {
            return;
        }
        event result = request_report(job);
        {
            // The name is erased before the push, so that the consumer of the event can poll again at once.
            std::lock_guard<std::mutex> const lock(mutex_);
            in_progress_.erase(job.name);
        }
        if (!stopping_ && !sink_.push(std::move(result)))
        {
            count("event_ring_full"); // The next poll makes up for the dropped event.
        }
    }

    event request_report(poll_job const& job)
    {
        http_connection connection(job.address, stopping_);
        steady_time const deadline = steady_now() + settings_.call_limit;
        http_call call;
        call.path = "/engine/report";
        http_outcome outcome = connection.exchange(call, deadline);
        if (outcome.status == 404)
        {
            call.path = "/service/report";
            outcome = connection.exchange(call, deadline);
        }
        if (outcome.status == 0)
        {
            count(outcome.refused ? "refused" : outcome.invalid_status ? "invalid_status" : "no_answer");
            return engine_unreachable{job.name, outcome.refused};
        }
        auto report = read_engine_report(outcome.body);
        // Another name means that the address now belongs to another server.
        if (outcome.status != 200 || !report || report.value().name != job.name)
        {
            count("bad_report");
            return engine_unreachable{job.name, false};
        }
        count("ok");
        return engine_report_received{std::move(report).value()};
    }

    void count(std::string_view result) { metrics_.add("siskin_polls_total", result, 1); }

    engine_poller_settings const settings_;
    event_sink& sink_;
    metric_port& metrics_;
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::set<backend_name> in_progress_;
    worker_pool<poll_job> pool_; // Declared last, because its threads use the other members.
};

engine_poller::engine_poller(engine_poller_settings settings, event_sink& sink, metric_port& metrics)
    : impl_(std::make_unique<impl>(settings, sink, metrics))
{
}

engine_poller::~engine_poller() = default;

void engine_poller::poll(backend_name const& name, std::string const& address)
{
    impl_->poll(name, address);
}

} // namespace siskinusher
