#include "apps/entry_process.hpp"

#include "adapters/process_clock.hpp"

#include <csignal>
#include <unistd.h>

#include <string>
#include <thread>

namespace siskinusher
{

namespace
{

constexpr duration check_interval = milliseconds{20};

sigset_t stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGUSR1); // Sent by request_stop.
    return signals;
}

std::string cause_of(int signal)
{
    switch (signal)
    {
    case SIGTERM:
        return "SIGTERM";
    case SIGINT:
        return "SIGINT";
    default:
        return "operator";
    }
}

} // namespace

void entry_process::block_signals()
{
    sigset_t const signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // Writing to a connection that a caller has closed must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
}

entry_process::entry_process(http_front& front, core_runner& core, event_queue& ring, log_port& log,
                             shutdown_limits limits)
    : front_(front), core_(core), ring_(ring), log_(log), limits_(limits)
{
}

int entry_process::run()
{
    sigset_t const signals = stop_signals();
    int signal = 0;
    while (sigwait(&signals, &signal) != 0)
    {
    }
    shut_down(cause_of(signal));
    return 0;
}

void entry_process::request_stop()
{
    ::kill(::getpid(), SIGUSR1);
}

void entry_process::shut_down(std::string const& cause)
{
    // The signals stay blocked, so that a second one does not shorten the shutdown.
    log_.write({"shutdown_started", {{"cause", cause}}});
    front_.announce_shutdown();
    std::this_thread::sleep_for(limits_.load_balancer);
    front_.refuse_new();
    while (!ring_.push(drain_requested{}))
    {
        std::this_thread::sleep_for(milliseconds(1));
    }
    steady_time const until = steady_now() + limits_.requests;
    while (front_.open_requests() > 0 && steady_now() < until)
    {
        std::this_thread::sleep_for(check_interval);
    }
    std::size_t const left = front_.open_requests();
    bool const released = core_.release_lease(limits_.lease);
    log_.write({"shutdown_finished",
                {{"open_requests", std::to_string(left)}, {"lease_released", released ? "true" : "false"}}});
    front_.stop();
    core_.stop();
}

} // namespace siskinusher
