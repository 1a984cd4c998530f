#include "apps/reach_keeper.hpp"

#include "adapters/boot_clock.hpp"
#include "adapters/outbound_pool.hpp"
#include "adapters/ports.hpp"
#include "decision/dispatcher.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <string>
#include <utility>

namespace siskinusher
{

namespace
{

constexpr duration tick_interval = milliseconds{20};
// Connections are priced, and a cut lasts for seconds.
constexpr duration probe_interval = milliseconds{200};
// A round trip between regions takes 16 ms.
constexpr duration probe_time_limit = milliseconds{300};

} // namespace

class reach_keeper::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(boost::asio::io_context& loop, outbound_pool& pool_in, dispatcher& requests_in,
                   server_reach& reach_in, log_port& log_in, metric_port& metrics_in, std::uint64_t seed,
                   std::function<void()> on_change_in)
        : pool(pool_in), requests(requests_in), reach(reach_in), log(log_in), metrics(metrics_in),
          random(seed), on_change(std::move(on_change_in)), timer(loop)
    {
    }

    void tick()
    {
        steady_time const now = boot_now();
        if (reach.cut_off() != known_cut_off)
        {
            known_cut_off = reach.cut_off();
            duration const lasted = known_cut_off ? duration{0} : now - cut_off_at;
            cut_off_at = now;
            metrics.add("siskin_server_cuts_total", known_cut_off ? "begun" : "ended", 1);
            log.write(
                {known_cut_off ? "servers_lost" : "servers_regained",
                 {{"known_servers", std::to_string(requests.backends())},
                  {"after_ms", std::to_string(std::chrono::duration_cast<milliseconds>(lasted).count())}}});
            on_change();
        }
        if (reach.suspects_cut() && probes == 0)
        {
            look_for_sound_server(now);
        }
        if (known_cut_off && now >= next_probe)
        {
            next_probe = now + probe_interval;
            (void)probe([](backend_name const&) { return false; });
        }
        timer.expires_after(tick_interval);
        timer.async_wait(
            [weak = weak_from_this()](boost::system::error_code error)
            {
                auto const self = weak.lock();
                if (!error && self)
                {
                    self->tick();
                }
            });
    }

    // Servers of another service may be sound while all those of one have failed.
    void look_for_sound_server(steady_time now)
    {
        auto const failed = [this](backend_name const& server) { return reach.has_failed(server); };
        bool const first = probe(failed);
        if (!first)
        {
            reach.on_all_failed(now);
            return;
        }
        (void)probe(failed);
    }

    // Opens a connection to one server, on which nothing is sent. False when all are left out.
    bool probe(std::function<bool(backend_name const&)> const& left_out)
    {
        outbound_request request;
        request.address = requests.any_address(random.next(), left_out);
        if (request.address.empty())
        {
            return false;
        }
        request.connect_limit = probe_time_limit;
        request.time_limit = probe_time_limit;
        request.fresh_connection = true;
        ++probes;
        auto const accepted = std::make_shared<bool>(false);
        exchange_handlers handlers;
        handlers.may_send = [accepted]
        {
            *accepted = true;
            return false;
        };
        handlers.on_end = [weak = weak_from_this(), accepted](exchange_end)
        {
            if (auto const self = weak.lock())
            {
                --self->probes;
                self->reach.on_probe(boot_now(), *accepted);
            }
        };
        (void)pool.start(std::move(request), std::move(handlers));
        return true;
    }

    outbound_pool& pool;
    dispatcher& requests;
    server_reach& reach;
    log_port& log;
    metric_port& metrics;
    random_source random;
    std::function<void()> const on_change;
    boost::asio::steady_timer timer;
    unsigned probes = 0; ///< In progress.
    bool known_cut_off = false;
    steady_time cut_off_at;
    steady_time next_probe;
};

reach_keeper::reach_keeper(boost::asio::io_context& loop, outbound_pool& pool, dispatcher& requests,
                           server_reach& reach, log_port& log, metric_port& metrics, std::uint64_t seed,
                           std::function<void()> on_change)
    : impl_(std::make_shared<implementation>(loop, pool, requests, reach, log, metrics, seed,
                                             std::move(on_change)))
{
}

reach_keeper::~reach_keeper() = default;

void reach_keeper::start()
{
    impl_->tick();
}

} // namespace siskinusher
