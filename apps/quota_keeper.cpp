#include "apps/quota_keeper.hpp"

#include "adapters/boot_clock.hpp"
#include "adapters/outbound_pool.hpp"
#include "adapters/ports.hpp"
#include "adapters/quota_codec.hpp"
#include "decision/quota_gate.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace siskinusher
{

namespace
{

// A reply from another region takes 16 ms, and up to the time in which a busy holder gets to it. Requests
// wait meanwhile, and the holder may have changed.
constexpr duration question_time_limit = milliseconds{300};

} // namespace

class quota_keeper::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(boost::asio::io_context& loop, outbound_pool& pool_in, log_port& log_in,
                   metric_port& metrics_in, quota_bounds bounds, std::string instance, std::uint64_t start,
                   local_holder local_in, holder_lookup holder_in)
        : pool(pool_in), log(log_in), metrics(metrics_in), timer(loop),
          gate(bounds, std::move(instance), start), local(std::move(local_in)), holder(std::move(holder_in))
    {
    }

    // Carries out what is due. A handler may submit or withdraw requests, which is then done in the same run.
    void run()
    {
        if (running)
        {
            again = true;
            return;
        }
        running = true;
        do
        {
            again = false;
            take_steps();
            ask();
        } while (again);
        running = false;
        arm_timer();
    }

    void take_steps()
    {
        for (quota_step const& step : gate.step(boot_now()))
        {
            handler(step);
        }
    }

    void ask()
    {
        auto const question = gate.next_question(boot_now());
        if (!question)
        {
            return;
        }
        if (auto const reply = local(*question))
        {
            metrics.add("siskin_quota_questions_total", "local", 1);
            gate.on_reply(boot_now(), *reply);
            again = true;
            return;
        }
        quota_holder const target = holder();
        if (target.address.empty())
        {
            on_lost("no_holder", 0);
            return;
        }
        http_call call;
        call.method = "POST";
        call.path = quota_path;
        call.headers = {{"Authorization", target.authorization}, {"Content-Type", "application/cbor"}};
        call.body = encode_quota_question(*question);
        pool.call(target.address, call, question_time_limit,
                  [weak = weak_from_this()](http_outcome const& outcome)
                  {
                      if (auto const self = weak.lock())
                      {
                          self->on_outcome(outcome);
                      }
                  });
    }

    void on_outcome(http_outcome const& outcome)
    {
        auto const reply = outcome.status == 200 ? decode_quota_reply(outcome.body) : std::nullopt;
        if (reply)
        {
            metrics.add("siskin_quota_questions_total", "answered", 1);
            gate.on_reply(boot_now(), *reply);
            if (lost)
            {
                log.write({"quota_holder_regained", {{"waiting", std::to_string(gate.waiting())}}});
            }
            lost = false;
        }
        else
        {
            on_lost(outcome.status == 200 ? "unreadable_reply" : outcome.why, outcome.status);
        }
        run();
    }

    void on_lost(std::string const& why, int status)
    {
        metrics.add("siskin_quota_questions_total", "unanswered", 1);
        constexpr int no_holder_status = 409;
        gate.on_no_reply(boot_now(), status == no_holder_status);
        if (!lost)
        {
            log.write({"quota_holder_lost",
                       {{"why", why},
                        {"status", std::to_string(status)},
                        {"waiting", std::to_string(gate.waiting())}}});
        }
        lost = true;
    }

    void arm_timer()
    {
        auto const due = gate.next_due(boot_now());
        if (!due)
        {
            boost::system::error_code ignored;
            timer.cancel(ignored);
            return;
        }
        timer.expires_after(std::max<duration>(*due - boot_now(), duration{0}));
        timer.async_wait(
            [weak = weak_from_this()](boost::system::error_code error)
            {
                auto const self = weak.lock();
                if (!error && self)
                {
                    self->run();
                }
            });
    }

    outbound_pool& pool;
    log_port& log;
    metric_port& metrics;
    boost::asio::steady_timer timer;
    quota_gate gate;
    local_holder const local;
    holder_lookup const holder;
    step_handler handler = [](quota_step const&) {};
    bool running = false;
    bool again = false;
    bool lost = false;
};

quota_keeper::quota_keeper(boost::asio::io_context& loop, outbound_pool& pool, log_port& log,
                           metric_port& metrics, quota_bounds bounds, std::string instance,
                           std::uint64_t start, local_holder local, holder_lookup holder)
    : impl_(std::make_shared<implementation>(loop, pool, log, metrics, bounds, std::move(instance), start,
                                             std::move(local), std::move(holder)))
{
}

quota_keeper::~quota_keeper() = default;

void quota_keeper::on_config(std::shared_ptr<serving_config const> const& config)
{
    bool const is_used = config->organisations.has_value();
    impl_->gate.on_config(config);
    if (is_used)
    {
        impl_->run();
    }
}

void quota_keeper::on_step(step_handler handler)
{
    impl_->handler = std::move(handler);
}

void quota_keeper::submit(quota_request request)
{
    impl_->gate.submit(boot_now(), std::move(request));
    impl_->run();
}

void quota_keeper::withdraw(request_number number)
{
    impl_->gate.withdraw(number);
}

void quota_keeper::give_back(std::string const& organisation, std::uint64_t cost)
{
    impl_->gate.give_back(boot_now(), organisation, cost);
}

std::size_t quota_keeper::waiting() const
{
    return impl_->gate.waiting();
}

std::optional<double> quota_keeper::fleet_use(std::string const& organisation) const
{
    return impl_->gate.fleet_use(boot_now(), organisation);
}

} // namespace siskinusher
