#pragma once

#include "core/refusal.hpp"
#include "domain/backend_entry.hpp"
#include "domain/dispatch_request.hpp"
#include "domain/event.hpp"
#include "domain/placement_exchange.hpp"
#include "domain/serving_config.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace siskinusher
{

struct dispatcher_settings
{
    std::string data_centre;
    std::map<std::string, std::string> region_of; ///< Region of each data centre.
    std::uint64_t seed = 0;
    bool slow_start = false; ///< Servers that have just started or failed get work as they answer it.
};

struct assign_request
{
    request_number number = 0;
    dispatch_target target;
    dispatch_basis basis;
};
struct reject_request
{
    request_number number = 0;
    refusal answer;
    dispatch_basis basis;
};
using dispatch_step = std::variant<assign_request, reject_request>;

/// Use of an organisation by all instances, as the lease holder reports it.
struct fleet_use
{
    double per_second = 0.0;
    bool in_requests = false; ///< Counted in requests, otherwise in the unit of dispatch_request::cost.
};
/// Looks up the use of an organisation; no value when it is not known.
using fleet_use_lookup = std::function<std::optional<fleet_use>(std::string const& organisation)>;

/// What the choice of servers needs to know about an attempt that ended.
struct attempt_report
{
    request_number number = 0;
    backend_name backend;
    attempt_result result{attempt_result::answered};
    bool server_error = false; ///< The server answered with an error.
    bool model_absent = false; ///< The server answered that it does not hold the model or adapter.
    duration took{0};
};

/// Keeps the waiting requests in a queue, assigns each one to a backend server that holds its model, or
/// refuses it.
///
/// Requests are taken by priority, then by the organisation whose recent use of the model is the least,
/// then by deadline. While others wait for the service, an organisation has at most 256 requests waiting for
/// it; the least urgent and newest beyond that are refused.
///
/// It is designed for these loads: bursts of one kind of request (the more urgent are served first, then
/// those with the nearer deadline), floods by some organisations (the others keep their share), requests for
/// models that no engine holds (they wait up to their max_wait while the lease holder loads the model),
/// failing servers (they are avoided for a while), slow servers (others are preferred), servers that name a
/// limit for all instances together (others are used), servers that all want a pause (what cannot wait for
/// the first of them is refused at once, to come back after it), servers that have just started or failed
/// (where the settings ask for it, others are preferred until their answers show what they bear), and
/// services without servers (their requests are refused at once after a short start-up time).
class dispatcher
{
public:
    explicit dispatcher(dispatcher_settings settings);
    ~dispatcher();
    dispatcher(dispatcher const&) = delete;
    dispatcher& operator=(dispatcher const&) = delete;

    void on_config(std::shared_ptr<serving_config const> config);
    /// `heard_at` is the time when this instance heard of the entry; empty while it learns which servers
    /// there are when it starts, since these are not new.
    void on_backend(backend_entry const& entry, std::optional<steady_time> heard_at = {});
    void on_backend_gone(backend_name const& name);
    void on_placements(steady_time now, placement_update const& placement);

    /// Sets where the use of organisations by all instances is looked up, every 0.5 s for each one that waits
    /// beside another. Without it only the use at this instance counts.
    void on_fleet_use(fleet_use_lookup lookup);

    void submit(steady_time now, dispatch_request request);
    /// Removes a waiting request that no longer needs a server. Does nothing when the request does not wait.
    void withdraw(request_number number);
    /// Called when the instance stops: waiting requests that may be refused are refused at `limit` at the
    /// latest. Such requests submitted after `limit` are refused at once when no server is free.
    void refuse_waiting_by(steady_time limit);
    void on_load(steady_time now, backend_name const& backend, backend_load const& load);
    /// An answer of the server has arrived; `per_second` is the limit that it names, if any. Returns true
    /// when that changes the limit.
    bool on_limit(steady_time now, backend_name const& backend, std::optional<double> per_second);
    /// The server says in its answers that it leaves: this start of it gets no new request. Returns true when
    /// that is new.
    bool on_leaving(backend_name const& backend);
    /// The server refused a request and wants no other for a while. Returns the time for which it gets none.
    duration on_pause_request(steady_time now, backend_name const& backend, std::optional<duration> pause);
    /// The same for the refusals a second that the server bears, of all instances together.
    bool on_refusal_limit(backend_name const& backend, std::optional<double> per_second);
    void on_attempt_end(steady_time now, attempt_report const& report);

    /// Called when the first event of a request's stream has arrived, so its prompt has been read.
    void on_first_event(steady_time now, request_number number);
    /// A request has waited for the server for longer than its route allows, and goes on waiting. The server
    /// is avoided for a while, as after a failed attempt.
    void on_silence(steady_time now, backend_name const& backend);
    /// A stream of the server paused; `share` is the pause as a share of the longest one allowed.
    void on_pause(steady_time now, backend_name const& backend, double share);

    /// Returns the decisions that are due, in the order in which they are to be carried out.
    std::vector<dispatch_step> step(steady_time now);
    /// When step() is to be called again if no event comes before; empty when nothing waits.
    std::optional<steady_time> next_due() const;

    /// Demand of this instance's callers since the last call.
    std::vector<model_demand> take_demand();
    /// True when a request began to wait for a model or adapter since the last call of take_demand.
    bool has_new_missing_model() const;

    /// What this instance knows of servers' limits, for the lease holder.
    std::vector<limit_report> take_limit_reports(steady_time now);

    /// This instance's requests at engines.
    std::vector<engine_requests> running_at_engines() const;

    /// Servers to whose address no connection could be opened within the last second.
    std::vector<backend_name> unreachable(steady_time now) const;

    /// The entry of a server; null when the server is unknown.
    backend_entry const* find_backend(backend_name const& name) const;
    /// The failures of late were those of this instance's own link: no server is avoided because of them.
    void forget_failures();
    /// Address of a server that is not leaving and not left out, chosen by `draw`; empty when there is none.
    std::string any_address(std::uint64_t draw,
                            std::function<bool(backend_name const&)> const& left_out) const;
    std::size_t waiting() const;
    /// Searches for a server so far, each over all servers that hold the model.
    std::uint64_t searches() const;
    /// Organisations whose use is remembered, counted once for each model.
    std::size_t remembered_organisations() const;
    std::size_t backends() const;

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace siskinusher
