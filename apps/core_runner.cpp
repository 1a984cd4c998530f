#include "apps/core_runner.hpp"

#include "adapters/process_clock.hpp"

#include <chrono>
#include <future>

namespace siskinusher
{

namespace
{

constexpr duration tick_interval = milliseconds{20};
// Longest time that an operator's call waits for the core. A core that lags further behind refuses requests.
constexpr duration query_time_limit = seconds{1};

std::int64_t wall_clock_seconds()
{
    auto const since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<seconds>(since_epoch).count();
}

// The promise is shared, because the core may still answer a query that has timed out.
template <typename Answer, typename Query>
Answer query_core(event_queue& ring, Query query)
{
    auto const promise = std::make_shared<std::promise<Answer>>();
    auto future = promise->get_future();
    bool const asked = ring.ask([promise, query = std::move(query)](decision_core& core, steady_time now)
                                { promise->set_value(query(core, now)); });
    if (!asked || future.wait_for(query_time_limit) != std::future_status::ready)
    {
        return {};
    }
    return future.get();
}

} // namespace

core_runner::core_runner(std::unique_ptr<decision_core> core, event_queue& ring, core_ports ports)
    : core_(std::move(core)), ring_(ring), ports_(ports)
{
}

core_runner::~core_runner()
{
    stop();
}

void core_runner::start()
{
    thread_ = std::thread([this] { loop(); });
}

void core_runner::stop()
{
    stopping_ = true;
    ring_.close();
    if (thread_.joinable())
    {
        thread_.join();
    }
}

bool core_runner::release_lease(duration limit)
{
    steady_time const until = steady_now() + limit;
    releasing_ = true;
    while (!released_ && steady_now() < until)
    {
        std::this_thread::sleep_for(tick_interval);
    }
    return released_;
}

std::shared_ptr<fleet_config const> core_runner::config() const
{
    std::lock_guard<std::mutex> const lock(config_mutex_);
    return config_;
}

std::vector<std::string> core_runner::explain_request(request_number number)
{
    return query_core<std::vector<std::string>>(ring_, [number](decision_core& core, steady_time /*now*/)
                                                { return core.explain_request(number); });
}

std::vector<std::string> core_runner::explain_model(std::string const& model)
{
    return query_core<std::vector<std::string>>(ring_, [model](decision_core& core, steady_time /*now*/)
                                                { return core.explain_model(model); });
}

std::vector<std::pair<std::string, std::string>> core_runner::status()
{
    return query_core<std::vector<std::pair<std::string, std::string>>>(
        ring_, [](decision_core& core, steady_time now) { return core.status(now); });
}

void core_runner::loop()
{
    steady_time next_tick = steady_now();
    while (true)
    {
        steady_time const now = steady_now();
        if (now >= next_tick)
        {
            tick_core();
            next_tick = now + tick_interval;
        }
        auto input = ring_.pop(std::max(next_tick - steady_now(), duration::zero()));
        if (!input)
        {
            if (stopping_)
            {
                return;
            }
            continue;
        }
        if (auto const* const what = std::get_if<event>(&*input))
        {
            handle(*what);
        }
        else
        {
            std::get<core_query> (*input)(*core_, steady_now());
        }
    }
}

void core_runner::handle(event const& what)
{
    if (auto const* const list = std::get_if<instance_list_received>(&what))
    {
        ports_.peers.on_instances(list->servers);
    }
    core_->handle(steady_now(), what, actions_);
    carry_out();
}

void core_runner::tick_core()
{
    std::vector<event> results;
    results.swap(unsent_results_);
    for (event const& what : results)
    {
        handle(what);
    }
    if (releasing_ && !released_)
    {
        released_ = core_->release(steady_now(), actions_);
        carry_out();
    }
    handle(tick{wall_clock_seconds()});
    publish();
}

void core_runner::carry_out()
{
    for (action& what : actions_)
    {
        std::visit([this](auto& each) { perform(std::move(each)); }, what);
    }
    actions_.clear();
}

void core_runner::publish()
{
    ready_ = core_->ready();
    auto current = core_->config();
    if (current != config_) // Only this thread writes config_, so reading it here needs no lock.
    {
        std::lock_guard<std::mutex> const lock(config_mutex_);
        config_ = std::move(current);
    }
}

void core_runner::report_unsent(request_number number, unsigned attempt)
{
    attempt_finished result;
    result.number = number;
    result.attempt = attempt;
    result.result = attempt_result::not_sent;
    unsent_results_.emplace_back(std::move(result));
}

void core_runner::perform(dispatch&& what)
{
    request_number const number = what.number;
    unsigned const attempt = what.attempt;
    if (!ports_.requests.deliver(number, std::move(what)))
    {
        report_unsent(number, attempt);
    }
}

void core_runner::perform(forward&& what)
{
    request_number const number = what.number;
    unsigned const attempt = what.attempt;
    if (!ports_.requests.deliver(number, std::move(what)))
    {
        report_unsent(number, attempt);
    }
}

void core_runner::perform(refuse&& what)
{
    (void)ports_.requests.deliver(what.number, what);
}

void core_runner::perform(replay_answer&& what)
{
    request_number const number = what.number;
    (void)ports_.requests.deliver(number, std::move(what));
}

void core_runner::perform(send_peer&& what)
{
    ports_.peers.send(what.to, what.message);
}

void core_runner::perform(store_request&& what)
{
    ports_.store.submit(what);
}

void core_runner::perform(send_order&& what)
{
    ports_.orders.submit(what.what, what.address);
}

void core_runner::perform(poll_engine&& what)
{
    ports_.polls.poll(what.name, what.address);
}

void core_runner::perform(parse_config&& what)
{
    ports_.parser.parse(what.object);
}

void core_runner::perform(log_event&& what)
{
    ports_.log.write(what);
}

void core_runner::perform(count_metric&& what)
{
    ports_.metrics.add(what.name, what.label, what.amount);
}

} // namespace siskinusher
