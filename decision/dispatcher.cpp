#include "decision/dispatcher.hpp"

#include "decision/backend_state_table.hpp"
#include "decision/fair_order.hpp"
#include "decision/refusal_limiter.hpp"
#include "decision/send_limiter.hpp"
#include "decision/server_pace.hpp"

#include <algorithm>
#include <list>
#include <set>
#include <tuple>
#include <utility>

namespace siskinusher
{

namespace
{

// Round trips by the platform's figures: one way takes 0.5 ms between data centres of a region and 8 ms
// between regions. These costs also stand for the price of traffic between regions.
constexpr double same_region_ms = 1.0;
constexpr double other_region_ms = 16.0;
// Each running request lengthens the engine's steps for all requests: by the published step times, about 8 ms
// over a whole answer.
constexpr double running_request_ms = 8.0;
// A request beyond the server's places waits for one of them to end.
constexpr double queued_engine_request_ms = 60.0;
constexpr double queued_call_ms = 25.0;
// Calls at one server hardly slow each other down; this small cost only spreads them over the servers.
constexpr double running_call_ms = 2.0;
// Cost of a server whose failure rate is 1: a retry, and the time lost before it.
constexpr double failing_server_ms = 400.0;
// Reading a prompt makes the running streams pause. A quarter of the reading time is counted for each running
// stream, so that long prompts go to engines with few streams.
constexpr double disturbance_share = 0.25;
// Cost of a server whose streams pause as long as allowed: further streams would be late there too.
constexpr double pausing_server_ms = 60.0;
// Published prefill speed of the engines, in tokens for each millisecond.
constexpr double prefill_tokens_per_ms = 38.7;
// A server gets no further request from this instance while this many requests beyond its places are there.
constexpr unsigned allowed_queue = 4;
// A server that refused a request because its queue was full gets no new one for this time.
constexpr duration full_queue_avoidance = milliseconds{80};
// An engine that answered that it does not hold a model gets no request for it until the engine's entry
// changes or this time has passed.
constexpr duration model_absent_time = milliseconds{400};
// For this time a server to which no connection could be opened is reported to the lease holder; it is longer
// than the time until the next trial.
constexpr duration unreachable_report_time = milliseconds{1000};
// Waiting requests are checked again after this time even if no event has come.
constexpr duration recheck_interval = milliseconds{50};
// Limit of the prompt parts that are remembered with the server that read them last.
constexpr std::size_t max_remembered_prompt_parts = 4096;
// Retry-after time for callers whose request found no server: a load from disk takes this long.
constexpr duration placement_retry_after = milliseconds{1000};
constexpr duration overload_retry_after = milliseconds{1500};

// A server that asks for a longer pause gets a request after this time, which it may refuse again: its need
// may have ended.
constexpr duration max_pause = seconds{10};
// For a server that asks for a pause in words that cannot be read.
constexpr duration unreadable_pause = seconds{1};
// Callers are told to come back up to this much later than the first server, as a share of its pause, so that
// they do not come together.
constexpr double max_retry_spread = 0.25;

// Requests that one organisation may have waiting for a service while others wait for it: half of a list of
// 512, which is what an instance with 20 places works off in about a second when answers take 40 ms.
constexpr unsigned max_waiting_beside_others = 256;
// The lease holder reports the use by all instances as often.
constexpr duration fleet_use_interval = milliseconds{500};
// Models that were not used for a while are forgotten as often.
constexpr duration order_sweep_interval = seconds{10};

// The waiting requests of one organisation for one model of a service. Use is counted for each model: what an
// organisation uses of models with room does not set it back where another model is scarce.
struct waiting_organisation
{
    std::string service;
    std::string model;
    std::string name; ///< Empty for requests without an organisation.
    fair_order* order = nullptr;
    unsigned requests = 0;
    bool is_new = true; ///< Since the last step.
    double use = 0.0;   ///< Valid within a step.
    std::optional<steady_time> fleet_use_at;
    std::size_t turn = 0; ///< Index of its turn in the step's current priority.
    std::uint64_t turn_of = 0;
};

struct waiting_request
{
    dispatch_request request;
    steady_time since;
    steady_time refuse_at;
    // Set while requests of organisations wait; null otherwise.
    waiting_organisation* organisation = nullptr;
};

using waiting_list = std::list<waiting_request>;

// The requests of one organisation and priority in a step.
struct organisation_turn
{
    waiting_organisation* organisation = nullptr;
    std::vector<waiting_list::iterator> requests; ///< By deadline.
    std::size_t next = 0;
};

// True when `a` is served after `b`; the order of a heap.
bool is_later(organisation_turn const* a, organisation_turn const* b)
{
    return std::tie(a->organisation->use, a->requests[a->next]->request.deadline) >
           std::tie(b->organisation->use, b->requests[b->next]->request.deadline);
}

// Requests that are equal in these fields have the same candidates, and none finds a server in a step in
// which another one found none: within a step, servers only fill up.
using request_kind = std::tuple<std::string, std::string, std::string, backend_name, std::set<std::string>>;

auto kind_of(dispatch_request const& request)
{
    return std::tie(request.model, request.service, request.adapter, request.running_at, request.versions);
}

// Why a kind of request finds no server.
struct search_failure
{
    dispatch_basis basis;
    bool unknown_model = false;
    bool version_gone = false;
    std::optional<steady_time> pauses_end;
};

struct demand_count
{
    unsigned priority = 9;
    unsigned running = 0;
    unsigned arrivals = 0;
};

using demand_key = std::tuple<std::string, std::string, std::string>;

// The server failed this request, it is held back by its pace, and its cost in milliseconds. Compared in this
// order.
using choice_cost = std::tuple<bool, bool, double>;

demand_key key_of(dispatch_request const& request)
{
    return {request.service, request.model, request.adapter};
}

bool has_version(dispatch_request const& request, backend_entry const& entry)
{
    return request.versions.empty() || request.versions.count(entry.software_version) > 0;
}

bool contains(std::vector<backend_name> const& names, backend_name const& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

class dispatcher::implementation
{
public:
    explicit implementation(dispatcher_settings settings_in)
        : settings(std::move(settings_in)), limiter(settings.seed), random(settings.seed)
    {
        if (settings.slow_start)
        {
            pace.emplace(settings.seed);
        }
    }

    double distance_ms(std::string const& data_centre) const
    {
        if (data_centre == settings.data_centre)
        {
            return 0.0;
        }
        auto const mine = settings.region_of.find(settings.data_centre);
        auto const theirs = settings.region_of.find(data_centre);
        bool const same = mine != settings.region_of.end() && theirs != settings.region_of.end() &&
                          mine->second == theirs->second;
        return same ? same_region_ms : other_region_ms;
    }

    double unread_tokens(dispatch_request const& request, backend_name const& backend) const
    {
        double unread = 0.0;
        bool matching = true;
        for (prompt_part const& part : request.prompt)
        {
            auto const last = last_server_of_part.find(part.id);
            matching = matching && last != last_server_of_part.end() && last->second == backend;
            unread += matching ? 0.0 : part.tokens;
        }
        return unread;
    }

    double cost_ms(steady_time now, dispatch_request const& request, known_backend const& backend) const
    {
        unsigned const in_use = backend_state_table::in_use(now, backend);
        unsigned const places = std::max(backend.entry.places, 1U);
        double const queued = in_use + 1 > places ? in_use + 1 - places : 0.0;
        double const load = backend.entry.is_engine
                                ? in_use * running_request_ms + queued * queued_engine_request_ms
                                : in_use * running_call_ms + queued * queued_call_ms;
        double const own_reading_ms = unread_tokens(request, backend.entry.name) / prefill_tokens_per_ms;
        double const reading_ms = own_reading_ms + backend.unread_tokens / prefill_tokens_per_ms;
        double const disturbance =
            backend.entry.is_engine ? in_use * own_reading_ms * disturbance_share : 0.0;
        return distance_ms(backend.entry.data_centre) + load + reading_ms + disturbance +
               backend_state_table::failure_rate(now, backend) * failing_server_ms +
               backend_state_table::pause_level(now, backend) * pausing_server_ms;
    }

    bool has_place(steady_time now, known_backend const& backend) const
    {
        return backend_state_table::in_use(now, backend) < backend.entry.places + allowed_queue;
    }

    // Returns the server with the lowest cost; one that failed this request only when there is no other, and
    // one that is to get no more work at its pace only when no other can take the request. A server that has
    // just failed is not used for a while, even if it is the only one: it would only fail again.
    known_backend* choose(steady_time now, dispatch_request const& request, dispatch_basis& basis)
    {
        auto found = table.candidates(now, request.service, placement_key{request.model, request.adapter});
        found.erase(std::remove_if(found.begin(), found.end(),
                                   [&request](known_backend const* each)
                                   { return !has_version(request, each->entry); }),
                    found.end());
        basis.candidates = static_cast<unsigned>(found.size());
        known_backend* best = nullptr;
        choice_cost best_cost{true, true, 0.0};
        known_backend const* best_limited = nullptr;
        choice_cost best_limited_cost{true, true, 0.0};
        for (known_backend* const backend : found)
        {
            if (backend->entry.name == request.running_at || now < backend->avoid_until ||
                now < backend->paused_until || !has_place(now, *backend))
            {
                continue;
            }
            bool const avoided = contains(request.failed_servers, backend->entry.name);
            if (!refusals.may_send(now, backend->entry.name, backend->own_requests,
                                   backend_state_table::in_use(now, *backend), backend->entry.places))
            {
                ++basis.limited;
                continue;
            }
            bool const held_back = pace && !pace->may_send(now, backend->entry.name, backend->own_requests,
                                                           backend_state_table::in_use(now, *backend));
            choice_cost const cost{avoided, held_back, cost_ms(now, request, *backend)};
            if (!limiter.may_send(now, backend->entry.name))
            {
                ++basis.limited;
                if (best_limited == nullptr || cost < best_limited_cost)
                {
                    best_limited = backend;
                    best_limited_cost = cost;
                }
                continue;
            }
            if (best == nullptr || cost < best_cost)
            {
                best = backend;
                best_cost = cost;
            }
        }
        if (best_limited != nullptr && (best == nullptr || best_limited_cost < best_cost))
        {
            limiter.on_held_back(best_limited->entry.name, request.number);
        }
        return best;
    }

    void remember_prompt(dispatch_request const& request, backend_name const& backend)
    {
        if (last_server_of_part.size() > max_remembered_prompt_parts)
        {
            last_server_of_part.clear();
        }
        for (prompt_part const& part : request.prompt)
        {
            last_server_of_part[part.id] = backend;
        }
    }

    assign_request assign(steady_time now, waiting_request const& waiting, known_backend& backend,
                          dispatch_basis basis)
    {
        basis.in_use = backend_state_table::in_use(now, backend);
        basis.load_age =
            backend.load_updated_at == steady_time{} ? duration{0} : now - backend.load_updated_at;
        basis.waited = now - waiting.since;
        ++backend.own_requests;
        limiter.on_sent(now, backend.entry.name);
        if (pace)
        {
            basis.on_trial = pace->on_trial(now, backend.entry.name);
            pace->on_sent(now, backend.entry.name);
            unanswered[waiting.request.number] = {backend.entry.name, now};
        }
        double const unread = unread_tokens(waiting.request, backend.entry.name);
        backend.unread_tokens += unread;
        unread_by_request[waiting.request.number] = {backend.entry.name, unread};
        ++backend.running[{waiting.request.model, waiting.request.adapter}];
        ++demand[key_of(waiting.request)].running;
        assigned[waiting.request.number] = waiting.request;
        remember_prompt(waiting.request, backend.entry.name);
        return {waiting.request.number, {backend.entry.name, backend.entry.address}, basis};
    }

    reject_request reject(steady_time now, waiting_request const& waiting, dispatch_basis basis)
    {
        basis.waited = now - waiting.since;
        refusal answer;
        answer.execution = execution_verdict::not_run;
        answer.reason = basis.candidates > 0 ? refusal_reason::overloaded
                        : !table.has_servers_of(waiting.request.service) || version_gone(waiting.request)
                            ? refusal_reason::no_backend
                            : refusal_reason::model_not_loadable;
        answer.retry_after =
            answer.reason == refusal_reason::overloaded ? overload_retry_after : placement_retry_after;
        if (auto const first = end_of_pauses(now, waiting.request))
        {
            double const spread = 1.0 + max_retry_spread * static_cast<double>(random.below(100)) / 100.0;
            answer.retry_after = std::chrono::duration_cast<duration>((*first - now) * spread);
        }
        return {waiting.request.number, answer, basis};
    }

    // When the first of the servers ends its pause; none when one of them wants none now.
    std::optional<steady_time> end_of_pauses(steady_time now, dispatch_request const& request)
    {
        if (now >= latest_pause_end)
        {
            return std::nullopt;
        }
        std::optional<steady_time> first;
        for (known_backend const* const each :
             table.candidates(now, request.service, placement_key{request.model, request.adapter}))
        {
            if (now >= each->paused_until)
            {
                return std::nullopt;
            }
            first = first ? std::min(*first, each->paused_until) : each->paused_until;
        }
        return first;
    }

    // True when no server can take the request before it must be refused.
    bool paused_too_long(steady_time now, waiting_request const& waiting)
    {
        auto const first = end_of_pauses(now, waiting.request);
        return first && *first >= waiting.refuse_at;
    }

    // True when no server has the version at which the request's stream began. A stream that is being passed
    // on waits: a server that crashed may come back.
    bool version_gone(dispatch_request const& request) const
    {
        return request.may_be_refused && !request.versions.empty() &&
               !table.has_version_of(request.service, request.versions);
    }

    bool unknown_model(dispatch_request const& request) const
    {
        if (!config || request.model.empty())
        {
            return false;
        }
        service_profile const* const service = find_service(*config, request.service);
        return service != nullptr && service->engine &&
               find_model(*service->engine, request.model) == nullptr;
    }

    // Takes requests by priority, organisation and deadline.
    void step_by_organisation(steady_time now, std::vector<dispatch_step>& steps)
    {
        forget_unused_orders(now);
        for (waiting_request& each : waiting)
        {
            join_organisation(each);
        }
        for (auto first = organisations.begin(); first != organisations.end();)
        {
            auto last = first;
            while (last != organisations.end() && last->second.order == first->second.order)
            {
                ++last;
            }
            compare_organisations(now, first, last);
            first = last;
        }
        failures_of_step.clear();
        for (auto first = waiting.begin(); first != waiting.end();)
        {
            std::vector<organisation_turn> turns;
            ++last_turn;
            unsigned const priority = first->request.priority;
            for (; first != waiting.end() && first->request.priority == priority; ++first)
            {
                waiting_organisation& of = *first->organisation;
                if (std::exchange(of.turn_of, last_turn) != last_turn)
                {
                    of.turn = turns.size();
                    turns.push_back({&of, {}, 0});
                }
                turns[of.turn].requests.push_back(first);
            }
            take_turns(now, turns, steps);
        }
        refuse_excess(now, steps);
    }

    void forget_unused_orders(steady_time now)
    {
        if (now - orders_swept_at < order_sweep_interval)
        {
            return;
        }
        orders_swept_at = now;
        for (auto each = orders.begin(); each != orders.end();)
        {
            each->second.forget_unused(now);
            auto const& [service, model] = each->first;
            auto const waits = organisations.lower_bound({service, model, ""});
            bool const needed = each->second.size() > 0 ||
                                (waits != organisations.end() && waits->second.order == &each->second);
            each = needed ? std::next(each) : orders.erase(each);
        }
    }

    void join_organisation(waiting_request& each)
    {
        if (each.organisation != nullptr)
        {
            return;
        }
        dispatch_request const& request = each.request;
        waiting_organisation& of = organisations[{request.service, request.model, request.organisation}];
        if (of.order == nullptr)
        {
            of.service = request.service;
            of.model = request.model;
            of.name = request.organisation;
            of.order = &orders[{of.service, of.model}];
        }
        ++of.requests;
        each.organisation = &of;
    }

    waiting_list::iterator remove_waiting(waiting_list::iterator each)
    {
        waiting_of_organisations -= each->request.organisation.empty() ? 0 : 1;
        if (waiting_organisation* const of = each->organisation; of != nullptr && --of->requests == 0)
        {
            organisations.erase(organisations.find({of->service, of->model, of->name}));
        }
        return waiting.erase(each);
    }

    // By service, model and name.
    using organisation_map =
        std::map<std::tuple<std::string, std::string, std::string>, waiting_organisation>;

    // Brings the use of the organisations that wait for a model up to date.
    void compare_organisations(steady_time now, organisation_map::iterator first,
                               organisation_map::iterator last)
    {
        bool const alone = std::next(first) == last;
        std::optional<double> least;
        for (auto each = first; each != last; ++each)
        {
            waiting_organisation& of = each->second;
            if (!alone)
            {
                look_up_fleet_use(now, of);
                of.use = of.order->use(now, of.name);
            }
            if (!of.is_new)
            {
                least = least ? std::min(*least, of.use) : of.use;
            }
        }
        for (auto each = first; each != last; ++each)
        {
            waiting_organisation& of = each->second;
            if (std::exchange(of.is_new, false) && !alone && least)
            {
                of.order->on_return(now, of.name, *least);
                of.use = std::max(of.use, *least);
            }
        }
    }

    void look_up_fleet_use(steady_time now, waiting_organisation& of)
    {
        if (!fleet_use_of || of.name.empty() ||
            (of.fleet_use_at && now - *of.fleet_use_at < fleet_use_interval))
        {
            return;
        }
        of.fleet_use_at = now;
        std::optional<fleet_use> const told = fleet_use_of(of.name);
        if (!told)
        {
            return;
        }
        // The holder tells one figure for all models. It is divided as the use at this instance is.
        double const own = use_of_all_models.own_use(now, of.name);
        double const share = own > 0.0 ? of.order->own_use(now, of.name) / own : 1.0;
        double const cost = told->in_requests ? of.order->cost_per_request(of.name) : 1.0;
        of.order->on_fleet_use(now, of.name, told->per_second * share * cost);
    }

    void take_turns(steady_time now, std::vector<organisation_turn>& turns, std::vector<dispatch_step>& steps)
    {
        std::vector<organisation_turn*> queue;
        queue.reserve(turns.size());
        for (organisation_turn& each : turns)
        {
            queue.push_back(&each);
        }
        std::make_heap(queue.begin(), queue.end(), is_later);
        while (!queue.empty())
        {
            std::pop_heap(queue.begin(), queue.end(), is_later);
            organisation_turn& turn = *queue.back();
            waiting_list::iterator const each = turn.requests[turn.next++];
            bool const is_last = turn.next == turn.requests.size();
            take(now, each, steps);
            if (is_last)
            {
                queue.pop_back();
                continue;
            }
            std::push_heap(queue.begin(), queue.end(), is_later);
        }
    }

    // Assigns a request, refuses it, or lets it wait.
    void take(steady_time now, waiting_list::iterator each, std::vector<dispatch_step>& steps)
    {
        search_failure failure;
        auto const known = failures_of_step.find(kind_of(each->request));
        if (known == failures_of_step.end())
        {
            ++searches;
            known_backend* const backend = choose(now, each->request, failure.basis);
            if (backend != nullptr)
            {
                steps.emplace_back(assign(now, *each, *backend, failure.basis));
                charge(now, *each);
                remove_waiting(each);
                return;
            }
            explain(now, each->request, failure);
        }
        search_failure const& why = known == failures_of_step.end() ? failure : known->second;
        if (now >= each->refuse_at || why.unknown_model ||
            (why.version_gone && each->request.may_be_refused) ||
            (why.pauses_end && *why.pauses_end >= each->refuse_at))
        {
            steps.emplace_back(reject(now, *each, why.basis));
            remove_waiting(each);
            return;
        }
        new_missing_model = new_missing_model || (why.basis.candidates == 0 && each->since == now);
    }

    void explain(steady_time now, dispatch_request const& request, search_failure& failure)
    {
        failure.unknown_model = unknown_model(request);
        failure.version_gone =
            !request.versions.empty() && !table.has_version_of(request.service, request.versions);
        failure.pauses_end = end_of_pauses(now, request);
        // A server's limit counts each request that it holds back, so that each must be tried.
        if (failure.basis.limited == 0)
        {
            failures_of_step.emplace(kind_of(request), failure);
        }
    }

    // A request that states no cost counts as much as others of its organisation do.
    void charge(steady_time now, waiting_request const& each)
    {
        waiting_organisation& of = *each.organisation;
        double const cost = each.request.cost > 0 ? static_cast<double>(each.request.cost)
                                                  : of.order->cost_per_request(of.name);
        of.order->on_assigned(now, of.name, cost);
        use_of_all_models.on_assigned(now, of.name, cost);
        of.use += cost;
    }

    // Refuses the least urgent and newest requests of organisations that have too many waiting beside others.
    void refuse_excess(steady_time now, std::vector<dispatch_step>& steps)
    {
        if (waiting.size() <= max_waiting_beside_others)
        {
            return;
        }
        std::map<std::string, unsigned> by_service;
        std::map<std::pair<std::string, std::string>, unsigned> by_organisation;
        for (auto const& [key, of] : organisations)
        {
            by_service[of.service] += of.requests;
            by_organisation[{of.service, of.name}] += of.requests;
        }
        for (auto const& [key, requests] : by_organisation)
        {
            if (requests <= max_waiting_beside_others || requests == by_service[key.first])
            {
                continue;
            }
            std::vector<waiting_list::iterator> found;
            for (auto each = waiting.begin(); each != waiting.end(); ++each)
            {
                if (each->request.may_be_refused && each->request.service == key.first &&
                    each->request.organisation == key.second)
                {
                    found.push_back(each);
                }
            }
            std::sort(found.begin(), found.end(),
                      [](auto const& a, auto const& b)
                      {
                          return std::tie(a->request.priority, a->since, a->request.number) >
                                 std::tie(b->request.priority, b->since, b->request.number);
                      });
            found.resize(std::min<std::size_t>(found.size(), requests - max_waiting_beside_others));
            for (waiting_list::iterator const each : found)
            {
                reject_request refused = reject(now, *each, {});
                refused.answer.reason = refusal_reason::queue_full;
                refused.answer.retry_after = overload_retry_after;
                steps.emplace_back(refused);
                remove_waiting(each);
            }
        }
    }

    dispatcher_settings const settings;
    std::shared_ptr<serving_config const> config;
    backend_state_table table;
    send_limiter limiter;
    refusal_limiter refusals;
    random_source random;
    steady_time latest_pause_end; ///< Of all servers.
    // Sorted by priority, then by deadline.
    waiting_list waiting;
    unsigned waiting_of_organisations = 0; ///< Waiting requests that have an organisation.
    organisation_map organisations;        ///< Those that wait, by service and name.
    std::map<std::pair<std::string, std::string>, fair_order> orders; ///< By service and model.
    fair_order use_of_all_models;
    steady_time orders_swept_at;
    std::map<request_kind, search_failure, std::less<>> failures_of_step;
    std::uint64_t last_turn = 0;
    std::uint64_t searches = 0;
    fleet_use_lookup fleet_use_of;
    std::map<request_number, dispatch_request> assigned;
    void drop_unread_tokens(request_number number)
    {
        auto const found = unread_by_request.find(number);
        if (found == unread_by_request.end())
        {
            return;
        }
        if (known_backend* const backend = table.find(found->second.first))
        {
            backend->unread_tokens = std::max(backend->unread_tokens - found->second.second, 0.0);
        }
        unread_by_request.erase(found);
    }

    // Tells the pace that the first event or the answer of a request has arrived.
    void note_answer(steady_time now, request_number number, dispatch_request const& request,
                     bool server_error)
    {
        auto const found = unanswered.find(number);
        if (found == unanswered.end())
        {
            return;
        }
        auto const& [backend, sent_at] = found->second;
        known_backend const* const known = table.find(backend);
        if (server_error)
        {
            pace->on_error(now, backend, now - sent_at);
        }
        else
        {
            pace->on_answer(now, backend, {request.service, request.model}, now - sent_at,
                            request.latency_objective,
                            known == nullptr ? 0 : backend_state_table::in_use(now, *known));
        }
        unanswered.erase(found);
    }

    // Tells the pace how an attempt ended that brought no event before.
    void note_attempt_end(steady_time now, dispatch_request const& request, attempt_report const& report,
                          known_backend const& backend)
    {
        if (!pace)
        {
            return;
        }
        switch (report.result)
        {
        case attempt_result::answered:
            note_answer(now, report.number, request, report.server_error);
            break;
        case attempt_result::refused_not_run:
            // A server that does not hold the model does not lack room.
            if (!report.model_absent)
            {
                pace->on_refused(now, report.backend, report.took);
            }
            break;
        case attempt_result::caller_gone:
            break;
        case attempt_result::bad_answer:
            pace->on_error(now, report.backend, report.took);
            break;
        case attempt_result::not_sent:
        case attempt_result::connection_lost:
        case attempt_result::silent:
            pace->on_failed(now, report.backend, paced(backend.entry));
            break;
        }
        unanswered.erase(report.number);
    }

    static paced_server paced(backend_entry const& entry) { return {entry.places, entry.is_engine}; }

    // The servers and times of assigned requests without an answer or event yet. Empty without a pace.
    std::map<request_number, std::pair<backend_name, steady_time>> unanswered;
    std::optional<server_pace> pace; ///< Only where the settings ask for it.

    // The server of each assigned request and the prompt tokens to be read there, until its first event.
    std::map<request_number, std::pair<backend_name, double>> unread_by_request;
    std::map<std::string, backend_name> last_server_of_part;
    std::map<demand_key, demand_count> demand;
    bool new_missing_model = false;
    steady_time stepped_at;
    std::optional<steady_time> waiting_limit;
};

dispatcher::dispatcher(dispatcher_settings settings)
    : impl_(std::make_unique<implementation>(std::move(settings)))
{
}

dispatcher::~dispatcher() = default;

void dispatcher::on_config(std::shared_ptr<serving_config const> config)
{
    impl_->config = std::move(config);
}

void dispatcher::on_backend(backend_entry const& entry, std::optional<steady_time> heard_at)
{
    if (impl_->pace && heard_at)
    {
        impl_->pace->on_started(*heard_at, entry.name, entry.started_at, implementation::paced(entry));
    }
    else if (impl_->pace)
    {
        impl_->pace->on_known(entry.name, entry.started_at);
    }
    known_backend const* const known = impl_->table.find(entry.name);
    if (known != nullptr && known->entry.started_at != entry.started_at)
    {
        impl_->limiter.forget(entry.name);
        impl_->refusals.forget(entry.name);
        known_backend* const restarted = impl_->table.find(entry.name);
        restarted->said_leaving = false;
        restarted->paused_until = {};
    }
    impl_->table.on_backend(entry);
}

void dispatcher::on_backend_gone(backend_name const& name)
{
    impl_->limiter.forget(name);
    impl_->refusals.forget(name);
    if (impl_->pace)
    {
        impl_->pace->forget(name);
    }
    impl_->table.on_backend_gone(name);
}

void dispatcher::on_placements(steady_time now, placement_update const& placement)
{
    impl_->limiter.on_grants(now, placement.grants, placement.instances);
    impl_->refusals.on_instances(placement.instances);
    impl_->table.on_placements(now, placement);
    if (!impl_->pace)
    {
        return;
    }
    impl_->pace->on_instances(placement.instances);
    if (!placement.running)
    {
        return;
    }
    for (backend_name const& name : impl_->pace->servers_on_trial(now))
    {
        if (known_backend const* const backend = impl_->table.find(name))
        {
            impl_->pace->on_load(now, name, backend_state_table::in_use(now, *backend));
        }
    }
}

void dispatcher::on_fleet_use(fleet_use_lookup lookup)
{
    impl_->fleet_use_of = std::move(lookup);
}

void dispatcher::submit(steady_time now, dispatch_request request)
{
    demand_count& count = impl_->demand[key_of(request)];
    count.priority = std::min(count.priority, request.priority);
    ++count.arrivals;
    waiting_request entry{std::move(request), now, {}};
    entry.refuse_at = std::min(now + entry.request.max_wait, entry.request.deadline);
    if (impl_->waiting_limit && entry.request.may_be_refused)
    {
        entry.refuse_at = std::min(entry.refuse_at, std::max(*impl_->waiting_limit, now));
    }
    auto const before = [](waiting_request const& a, waiting_request const& b)
    {
        return std::tie(a.request.priority, a.request.deadline) <
               std::tie(b.request.priority, b.request.deadline);
    };
    impl_->waiting_of_organisations += entry.request.organisation.empty() ? 0 : 1;
    auto const place = std::upper_bound(impl_->waiting.begin(), impl_->waiting.end(), entry, before);
    impl_->waiting.insert(place, std::move(entry));
}

void dispatcher::withdraw(request_number number)
{
    for (auto each = impl_->waiting.begin(); each != impl_->waiting.end();)
    {
        each = each->request.number == number ? impl_->remove_waiting(each) : std::next(each);
    }
}

void dispatcher::refuse_waiting_by(steady_time limit)
{
    impl_->waiting_limit = limit;
    for (waiting_request& each : impl_->waiting)
    {
        each.refuse_at = each.request.may_be_refused ? std::min(each.refuse_at, limit) : each.refuse_at;
    }
}

void dispatcher::on_load(steady_time now, backend_name const& backend, backend_load const& load)
{
    impl_->table.on_load(now, backend, load);
}

bool dispatcher::on_limit(steady_time now, backend_name const& backend, std::optional<double> per_second)
{
    return impl_->limiter.on_answer(now, backend, per_second);
}

bool dispatcher::on_leaving(backend_name const& backend)
{
    known_backend* const known = impl_->table.find(backend);
    return known != nullptr && !std::exchange(known->said_leaving, true);
}

duration dispatcher::on_pause_request(steady_time now, backend_name const& backend,
                                      std::optional<duration> pause)
{
    duration const bounded = std::min<duration>(pause.value_or(unreadable_pause), max_pause);
    if (known_backend* const known = impl_->table.find(backend))
    {
        known->paused_until = std::max(known->paused_until, now + bounded);
        impl_->latest_pause_end = std::max(impl_->latest_pause_end, known->paused_until);
    }
    return bounded;
}

bool dispatcher::on_refusal_limit(backend_name const& backend, std::optional<double> per_second)
{
    return impl_->refusals.on_answer(backend, per_second);
}

void dispatcher::on_attempt_end(steady_time now, attempt_report const& report)
{
    auto const found = impl_->assigned.find(report.number);
    if (found == impl_->assigned.end())
    {
        return;
    }
    dispatch_request const request = found->second;
    impl_->assigned.erase(found);
    impl_->drop_unread_tokens(report.number);
    demand_count& count = impl_->demand[key_of(request)];
    count.running -= count.running > 0 ? 1 : 0;
    known_backend* const backend = impl_->table.find(report.backend);
    if (backend == nullptr)
    {
        impl_->unanswered.erase(report.number);
        return;
    }
    impl_->note_attempt_end(now, request, report, *backend);
    backend->own_requests -= backend->own_requests > 0 ? 1 : 0;
    placement_key const key{request.model, request.adapter};
    unsigned& running = backend->running[key];
    running -= running > 0 ? 1 : 0;
    switch (report.result)
    {
    case attempt_result::answered:
        if (report.server_error)
        {
            impl_->table.on_server_error(now, *backend);
        }
        else
        {
            impl_->table.on_success(*backend);
        }
        break;
    case attempt_result::refused_not_run:
        if (report.model_absent)
        {
            backend->absent_until[key] = now + model_absent_time;
            backend->placed_until.erase(key);
        }
        else
        {
            backend->avoid_until = std::max(backend->avoid_until, now + full_queue_avoidance);
            impl_->refusals.on_refused(now, report.backend);
        }
        break;
    case attempt_result::caller_gone:
        break;
    case attempt_result::not_sent:
        backend->unreachable_until = now + unreachable_report_time;
        impl_->table.on_failure(now, *backend);
        break;
    case attempt_result::silent:
        impl_->table.on_silence(now, *backend);
        break;
    case attempt_result::connection_lost:
    case attempt_result::bad_answer:
        impl_->table.on_failure(now, *backend);
        break;
    }
}

void dispatcher::on_first_event(steady_time now, request_number number)
{
    impl_->drop_unread_tokens(number);
    auto const found = impl_->assigned.find(number);
    if (found != impl_->assigned.end())
    {
        impl_->note_answer(now, number, found->second, false);
    }
}

void dispatcher::on_silence(steady_time now, backend_name const& backend)
{
    if (known_backend* const known = impl_->table.find(backend))
    {
        impl_->table.on_silence(now, *known);
        if (impl_->pace)
        {
            impl_->pace->on_failed(now, backend, implementation::paced(known->entry));
        }
    }
}

void dispatcher::on_pause(steady_time now, backend_name const& backend, double share)
{
    if (known_backend* const known = impl_->table.find(backend))
    {
        backend_state_table::on_pause(now, *known, share);
    }
}

std::vector<dispatch_step> dispatcher::step(steady_time now)
{
    std::vector<dispatch_step> steps;
    impl_->stepped_at = now;
    if (impl_->waiting_of_organisations > 0)
    {
        impl_->step_by_organisation(now, steps);
        return steps;
    }
    for (auto each = impl_->waiting.begin(); each != impl_->waiting.end();)
    {
        dispatch_basis basis;
        ++impl_->searches;
        known_backend* const backend = impl_->choose(now, each->request, basis);
        if (backend != nullptr)
        {
            steps.emplace_back(impl_->assign(now, *each, *backend, basis));
        }
        else if (now >= each->refuse_at || impl_->unknown_model(each->request) ||
                 impl_->version_gone(each->request) || impl_->paused_too_long(now, *each))
        {
            steps.emplace_back(impl_->reject(now, *each, basis));
        }
        else
        {
            impl_->new_missing_model =
                impl_->new_missing_model || (basis.candidates == 0 && each->since == now);
            ++each;
            continue;
        }
        each = impl_->remove_waiting(each);
    }
    return steps;
}

std::optional<steady_time> dispatcher::next_due() const
{
    std::optional<steady_time> due;
    for (waiting_request const& each : impl_->waiting)
    {
        due = due ? std::min(*due, each.refuse_at) : each.refuse_at;
    }
    // An avoided server or an absent model may become usable again without an event.
    return due ? std::optional(std::min(*due, impl_->stepped_at + recheck_interval)) : due;
}

std::vector<model_demand> dispatcher::take_demand()
{
    std::map<demand_key, unsigned> waiting;
    for (waiting_request const& each : impl_->waiting)
    {
        ++waiting[key_of(each.request)];
    }
    std::vector<model_demand> result;
    for (auto each = impl_->demand.begin(); each != impl_->demand.end();)
    {
        auto const& [service, model, adapter] = each->first;
        demand_count& count = each->second;
        unsigned const waits = waiting[each->first];
        if (!model.empty() && (waits > 0 || count.running > 0 || count.arrivals > 0))
        {
            result.push_back({service, model, adapter, count.priority, waits, count.running, count.arrivals});
        }
        count.arrivals = 0;
        each = waits == 0 && count.running == 0 ? impl_->demand.erase(each) : std::next(each);
    }
    impl_->new_missing_model = false;
    return result;
}

bool dispatcher::has_new_missing_model() const
{
    return impl_->new_missing_model;
}

std::vector<limit_report> dispatcher::take_limit_reports(steady_time now)
{
    return impl_->limiter.take_reports(now);
}

std::vector<engine_requests> dispatcher::running_at_engines() const
{
    return impl_->table.running_at_engines();
}

std::vector<backend_name> dispatcher::unreachable(steady_time now) const
{
    return impl_->table.unreachable(now);
}

backend_entry const* dispatcher::find_backend(backend_name const& name) const
{
    known_backend const* const backend = impl_->table.find(name);
    return backend == nullptr ? nullptr : &backend->entry;
}

void dispatcher::forget_failures()
{
    impl_->table.forget_failures();
    if (impl_->pace)
    {
        impl_->pace->forget_failures();
    }
}

std::string dispatcher::any_address(std::uint64_t draw,
                                    std::function<bool(backend_name const&)> const& left_out) const
{
    return impl_->table.any_address(draw, left_out);
}

std::size_t dispatcher::waiting() const
{
    return impl_->waiting.size();
}

std::uint64_t dispatcher::searches() const
{
    return impl_->searches;
}

std::size_t dispatcher::remembered_organisations() const
{
    std::size_t sum = 0;
    for (auto const& [key, order] : impl_->orders)
    {
        sum += order.size();
    }
    return sum;
}

std::size_t dispatcher::backends() const
{
    return impl_->table.size();
}

} // namespace siskinusher
