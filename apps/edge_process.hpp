#pragma once

#include "adapters/edge_settings.hpp"

#include <functional>
#include <memory>
#include <string>

namespace siskinusher
{

struct log_port;
class metrics_registry;

/// Keeps SIGHUP, which ends a process by default, pending until the process object handles it. Call it first
/// in main(): threads inherit the mask, and a SIGHUP that comes after the settings were read must not be
/// lost.
void hold_reload_signal();
/// The same for SIGTERM and SIGINT. Call it before threads are created, so that these signals reach the main
/// thread only, which blocks them again at its end. Until then they end the process at once, which has
/// accepted nothing.
void hold_stop_signals();

/// One siskin-edge process: the event loop and the servers, watches and services that run on it.
class edge_process
{
public:
    /// Reads the settings again. After a null result the settings in force stay.
    using settings_source = std::function<std::unique_ptr<edge_settings>()>;

    /// The references must outlive the process object.
    edge_process(edge_settings settings, settings_source reload, log_port& log, metrics_registry& metrics);
    ~edge_process();
    edge_process(edge_process const&) = delete;
    edge_process& operator=(edge_process const&) = delete;

    /// Serves until SIGTERM or SIGINT and until the accepted requests are answered. Returns an empty string,
    /// or the reason why the process cannot start. Signals that have been held are handled first, and those
    /// that come after the end are held.
    std::string run();

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace siskinusher
