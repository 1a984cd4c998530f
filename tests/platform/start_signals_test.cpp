#include "tests/wire/small_fleet.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

using namespace siskinusher::standins;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// A start takes 5 to 10 ms on a machine without other load.
constexpr milliseconds start_time{50};
// From the settings of edge_child, with a second for a busy machine.
constexpr milliseconds longest_stop{9000};

// Shorter than the end of a process.
constexpr std::chrono::microseconds signal_interval{100};
constexpr int signals_between_checks = 20;

std::string read_file(std::string const& name)
{
    std::ifstream in(name);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

/// Starts a process whose settings file is a pipe: the process waits in main() until it is given the
/// settings, and signals can be sent before and at known times after it has read them.
class held_start
{
public:
    explicit held_start(edge_child& edge_in) : edge(edge_in)
    {
        edge.process().kill();
        text = read_file(edge.settings_file());
        log_begin = edge.log_text().size();
        (void)std::remove(edge.settings_file().c_str());
        cr_assert_eq(::mkfifo(edge.settings_file().c_str(), 0600), 0);
        edge.start();
        // Fails until the process has opened the other end.
        cr_assert(eventually(
            [this]
            {
                pipe = ::open(edge.settings_file().c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
                return pipe >= 0;
            }));
        write_file(text);
    }

    ~held_start()
    {
        ::close(pipe);
        edge.process().kill();
        write_file(text);
    }

    held_start(held_start const&) = delete;
    held_start& operator=(held_start const&) = delete;

    /// The process reads the settings that it has had so far, not those of the file.
    void go_on()
    {
        cr_assert_eq(::write(pipe, text.data(), text.size()), static_cast<ssize_t>(text.size()));
        ::close(std::exchange(pipe, -1));
    }

    /// Replaces the settings file by one with another address for peers.
    void change_file() const
    {
        std::string changed = text;
        std::string const key = "peers: \"127.0.0.1:";
        std::size_t const at = changed.find(key);
        cr_assert_neq(at, std::string::npos);
        std::size_t const port = at + key.size();
        changed.replace(port, changed.find('"', port) - port, "1");
        write_file(changed);
    }

    bool logs(std::string const& part) const
    {
        return edge.log_text().find(part, log_begin) != std::string::npos;
    }

private:
    void write_file(std::string const& content) const
    {
        std::string const fresh = edge.settings_file() + ".new";
        std::ofstream(fresh) << content;
        cr_assert_eq(std::rename(fresh.c_str(), edge.settings_file().c_str()), 0);
    }

    edge_child& edge;
    std::string text; ///< Of the settings before the start.
    std::size_t log_begin = 0;
    int pipe = -1;
};

} // namespace

// Guards against a process that ends when SIGHUP comes before it handles the signal, and against one that
// loses the signal and goes on with settings that were changed after it had read them.
Test(start_signals, sighup_during_the_start_reads_the_changed_settings)
{
    store_standin store;
    store.write("config", "main", example_config(1));
    edge_child edge("edge-1", store.address());
    for (milliseconds delay{-1}; delay <= start_time; ++delay)
    {
        held_start start(edge);
        bool const while_reading = delay < milliseconds{0};
        if (!while_reading)
        {
            start.go_on();
            std::this_thread::sleep_for(delay);
        }
        start.change_file();
        edge.process().send(SIGHUP);
        if (while_reading)
        {
            start.go_on();
        }
        bool const reloaded = eventually(
            [&]
            {
                return !edge.process().running() ||
                       start.logs("event=reload outcome=applied addresses_need_restart=true");
            });
        cr_assert(edge.process().running(), "ended by SIGHUP %d ms after the settings",
                  static_cast<int>(delay.count()));
        cr_assert(reloaded, "not read again after SIGHUP %d ms after the settings",
                  static_cast<int>(delay.count()));
    }
}

// Guards against a process that never handles SIGHUP because its starter has blocked it. Blocking it is the
// only way to lose no SIGHUP before main() begins, and an unchanged file must change nothing.
Test(start_signals, sighup_that_the_starter_has_blocked_is_handled)
{
    store_standin store;
    store.write("config", "main", example_config(1));
    edge_child edge("edge-1", store.address());
    for (milliseconds delay{0}; delay <= start_time; ++delay)
    {
        edge.process().kill();
        std::size_t const log_begin = edge.log_text().size();
        edge.start({SIGHUP});
        std::this_thread::sleep_for(delay);
        edge.process().send(SIGHUP);
        cr_assert(eventually(
                      [&]
                      {
                          return edge.log_text().find(
                                     "event=reload outcome=applied addresses_need_restart=false",
                                     log_begin) != std::string::npos;
                      },
                      seconds{5}),
                  "no reload for SIGHUP %d ms after the start", static_cast<int>(delay.count()));
        cr_assert(edge.process().running());
    }
    cr_assert(edge.wait_ready());
}

// Guards against a stopping process that a further signal ends without order after its event loop, when the
// handlers are gone: its exit code and its last lines of the log would be lost.
Test(start_signals, further_signals_do_not_end_a_stopping_process)
{
    store_standin store;
    store.write("config", "main", example_config(1));
    for (int const signal : {SIGHUP, SIGTERM})
    {
        edge_child edge("edge-1", store.address());
        cr_assert(edge.wait_ready());
        edge.process().send(SIGTERM);
        auto const until = std::chrono::steady_clock::now() + longest_stop;
        bool ended = false;
        while (!ended && std::chrono::steady_clock::now() < until)
        {
            for (int i = 0; i < signals_between_checks; ++i)
            {
                edge.process().send(signal);
                std::this_thread::sleep_for(signal_interval);
            }
            ended = edge.process().wait(milliseconds{0});
        }
        cr_assert(ended);
        cr_expect_eq(edge.process().exit_code(), 0, "signal %d ended the process", signal);
        cr_expect_neq(edge.log_text().find("event=stop "), std::string::npos, "signal %d", signal);
    }
}

// Guards against a starting process that loses SIGTERM or ends by it without order. Before it listens for
// callers it has accepted nothing, and the signal may end it at once.
Test(start_signals, sigterm_during_the_start_ends_the_process_in_order)
{
    store_standin store;
    store.write("config", "main", example_config(1));
    std::vector<std::unique_ptr<edge_child>> edges;
    std::vector<std::unique_ptr<held_start>> starts;
    for (milliseconds delay{-5}; delay <= start_time; delay += milliseconds{5})
    {
        edges.push_back(
            std::make_unique<edge_child>("edge-" + std::to_string(edges.size()), store.address()));
        starts.push_back(std::make_unique<held_start>(*edges.back()));
        bool const while_reading = delay < milliseconds{0};
        if (!while_reading)
        {
            starts.back()->go_on();
            std::this_thread::sleep_for(delay);
        }
        edges.back()->process().send(SIGTERM);
        if (while_reading)
        {
            cr_assert(edges.back()->process().wait(longest_stop), "waits for its settings");
        }
    }
    for (std::size_t i = 0; i < edges.size(); ++i)
    {
        cr_assert(edges[i]->process().wait(longest_stop), "start %zu did not end", i);
        bool const accepted = starts[i]->logs("event=start ");
        cr_assert_eq(accepted, starts[i]->logs("event=stopping "), "start %zu", i);
        cr_assert_eq(accepted, starts[i]->logs("event=stop "), "start %zu", i);
        cr_assert_eq(edges[i]->process().exit_code(), accepted ? 0 : -1, "start %zu", i);
    }
}
