#include "decision/request_controller_impl.hpp"

#include "core/invariant.hpp"

#include <algorithm>
#include <array>

namespace siskinusher
{

namespace
{

// A suspect is forwarded only when it was announced at least this long ago: the announcement goes over the
// peer connection and the request over HTTP, and the announcement has to arrive first.
constexpr duration announcement_delay = milliseconds(110);

// Requests of one target and rank that one pass tries to place.
constexpr std::size_t requests_per_pass = 16;

} // namespace

void request_controller::impl::enqueue(steady_time now, open_request& request)
{
    request.phase = request_phase::queued;
    target_state& target = *request.target;
    queue_.push(target.queue, request.profile.request_rank,
                {request.sequence, request.profile.number, request.arrived});
    target.group->waiting.insert(&target);
    waiting_groups_.insert(target.group);
    update_without_server(now, *target.group);
}

void request_controller::impl::dequeue(open_request& request)
{
    target_state& target = *request.target;
    queue_.remove(target.queue, request.profile.request_rank, request.sequence);
    if (!target.queue.empty())
    {
        return;
    }
    target.group->waiting.erase(&target);
    if (target.group->waiting.empty())
    {
        waiting_groups_.erase(target.group);
        target.group->without_server = false;
    }
}

route_query request_controller::impl::query_of(target_state const& target)
{
    route_query query;
    query.group = &target.group->name;
    query.service = target.group->service;
    query.adapter = &target.adapter;
    return query;
}

route_query request_controller::impl::query_of(open_request const& request) const
{
    route_query query = query_of(*request.target);
    query.request_rank = request.profile.request_rank;
    query.prefix_hash = request.profile.prefix_hash;
    query.suspect = request.permitted;
    query.floor_due = queue_.floor_due(request.profile.request_rank);
    query.avoided_servers = &request.avoided_names;
    query.allowed = request.permitted ? &request.suspect_servers : nullptr;
    return query;
}

void request_controller::impl::update_without_server(steady_time now, target_group& group)
{
    route_query base;
    base.group = &group.name;
    base.service = group.service;
    bool const without_server = !group.waiting.empty() && router_.capacity(now, base).servers == 0;
    if (without_server && !group.without_server)
    {
        group.without_server_since = now;
    }
    group.without_server = without_server;
}

void request_controller::impl::dispatch_for_request(steady_time now, open_request const& request, outbox& out)
{
    target_group& group = *request.target->group;
    group_set groups{&group};
    if (queue_.size() > 1)
    {
        std::set<std::string> names;
        router_.add_groups_sharing_servers(query_of(*request.target), names);
        for (target_group* other : waiting_groups_)
        {
            if (other->service == group.service && names.count(other->name) != 0)
            {
                groups.insert(other);
            }
        }
    }
    dispatch_groups(now, groups, out);
    if (waiting_groups_.count(&group) != 0)
    {
        collect_load_requests(now, group);
    }
}

void request_controller::impl::dispatch_for_server(steady_time now, backend_name const& name, outbox& out)
{
    backend_state const* const server = router_.find(name);
    if (server == nullptr || queue_.size() == 0)
    {
        return;
    }
    group_set groups;
    for (std::string const& group : router_.groups_of(*server))
    {
        auto const found = groups_.find(server->is_engine ? group : "/" + group);
        if (found != groups_.end() && !found->second->waiting.empty())
        {
            groups.insert(found->second.get());
        }
    }
    dispatch_groups(now, groups, out);
}

void request_controller::impl::dispatch_all(steady_time now, outbox& out)
{
    if (!waiting_groups_.empty())
    {
        dispatch_groups(now, group_set(waiting_groups_), out);
    }
}

// A permit that is granted while a pass is running makes another request ready. Its group is served after the
// pass, because the pass holds pointers to the requests that it is about to place.
void request_controller::impl::dispatch_groups(steady_time now, group_set const& groups, outbox& out)
{
    groups_to_dispatch_.insert(groups.begin(), groups.end());
    if (dispatching_)
    {
        return;
    }
    dispatching_ = true;
    while (!groups_to_dispatch_.empty())
    {
        group_set const current = std::exchange(groups_to_dispatch_, {});
        while (run_dispatch_pass(now, current, out))
        {
        }
    }
    dispatching_ = false;
}

// Places the first requests of each rank. True when requests were placed and the pass did not reach all of
// the waiting requests, so that another pass may place more.
bool request_controller::impl::run_dispatch_pass(steady_time now, group_set const& groups, outbox& out)
{
    std::array<std::vector<queued_request>, rank_count> items;
    bool newest_first = false;
    bool all_scanned = true;
    for (target_group const* group : groups)
    {
        for (target_state const* target : group->waiting)
        {
            for (rank r : all_ranks)
            {
                if (target->queue.size(r) == 0)
                {
                    continue;
                }
                all_scanned = all_scanned && target->queue.size(r) <= requests_per_pass;
                newest_first = newest_first || target->queue.newest_first(now, r);
                auto const first = target->queue.first(now, r, requests_per_pass);
                items[index_of(r)].insert(items[index_of(r)].end(), first.begin(), first.end());
            }
        }
    }
    for (rank r : all_ranks)
    {
        bool const descending = newest_first && r == rank::background;
        std::sort(items[index_of(r)].begin(), items[index_of(r)].end(),
                  [descending](queued_request const& a, queued_request const& b)
                  { return descending ? a.sequence > b.sequence : a.sequence < b.sequence; });
    }
    std::array<std::size_t, rank_count> next{};
    bool placed = false;
    for (;;)
    {
        admission_queue::rank_set waiting{};
        std::array<open_request*, rank_count> heads{};
        for (rank r : all_ranks)
        {
            std::size_t const i = index_of(r);
            for (; next[i] < items[i].size() && heads[i] == nullptr; ++next[i])
            {
                open_request* const request = find(items[i][next[i]].number);
                if (request == nullptr || request->phase != request_phase::queued ||
                    !check_queued(now, *request, out))
                {
                    continue;
                }
                route_query query = query_of(*request);
                auto const equal = in_flight_.find(request->profile.fingerprint);
                if (equal != in_flight_.end())
                {
                    backend_state const* const same = router_.find(equal->second.server);
                    query.only = same != nullptr && router_.serves(now, *same, query) ? same : nullptr;
                }
                query.ignore_ceiling = true;
                if (router_.choose(now, query) != nullptr)
                {
                    heads[i] = request;
                    waiting[i] = true;
                    break;
                }
            }
        }
        if (!waiting[0] && !waiting[1] && !waiting[2])
        {
            return placed && !all_scanned;
        }
        bool sent = false;
        for (rank r : queue_.order())
        {
            open_request* const request = heads[index_of(r)];
            if (request == nullptr)
            {
                continue;
            }
            route_query query = query_of(*request);
            auto const equal = in_flight_.find(request->profile.fingerprint);
            if (equal != in_flight_.end())
            {
                backend_state const* const same = router_.find(equal->second.server);
                query.only = same != nullptr && router_.serves(now, *same, query) ? same : nullptr;
            }
            backend_state* const server = router_.choose(now, query);
            if (server != nullptr)
            {
                dispatch_to(now, *request, *server, out);
                queue_.count_dispatch(r, waiting);
                ++next[index_of(r)];
                sent = true;
                placed = true;
                break;
            }
        }
        if (!sent)
        {
            for (rank r : all_ranks)
            {
                next[index_of(r)] += waiting[index_of(r)] ? 1 : 0;
            }
        }
    }
}

// Removes a request from the queue if it must be refused, needs a permit or is forwarded to another instance.
// True when the request stays in the queue.
bool request_controller::impl::check_queued(steady_time now, open_request& request, outbox& out)
{
    std::uint64_t const fingerprint = request.profile.fingerprint;
    auto const status =
        fingerprint == 0 ? suspect_table::status::clear : suspects_.status_of(now, fingerprint);
    if (status == suspect_table::status::confirmed)
    {
        refuse_request(now, request.profile.number, refusal_reason::crashes_server, out);
        return false;
    }
    if (now >= request.deadline)
    {
        return true;
    }
    bool const suspect = status == suspect_table::status::suspect && !request.permitted;
    bool const loaded = router_.capacity(now, query_of(*request.target)).servers > 0;
    bool const announced = !suspect || suspects_.age_of(now, fingerprint) >= announcement_delay;
    if (!loaded && announced && request.target->group->without_server && try_forward(now, request, out))
    {
        return false;
    }
    if (loaded && (suspect || request.permitted))
    {
        member const* const host = find_suspect_runner(now, request);
        if (host != nullptr && announced)
        {
            request.avoided_names.push_back(host->id.name);
            forward_to(now, request, *host, out);
        }
        if (host != nullptr)
        {
            return false;
        }
    }
    if (suspect && loaded)
    {
        dequeue(request);
        ask_permit(now, request, out);
        return false;
    }
    return true;
}

// Suspects of several instances must not run on the same server, because its death would confirm all of them
// as crashing. Each server therefore has one instance that runs suspects on it, its suspect host. A suspect
// that can run on no server of this instance is forwarded to the suspect host of another server. Calls of
// plain services cannot be forwarded, because their start may be recorded for this instance. Null when the
// request is to run on this instance.
member const* request_controller::impl::find_suspect_runner(steady_time now, open_request& request) const
{
    request.suspect_servers.clear();
    member const* host = nullptr;
    for (backend_name const& server : router_.serving(now, query_of(*request.target)))
    {
        member const* const other = peers_.suspect_runner_of(server);
        if (other == nullptr)
        {
            request.suspect_servers.push_back(server);
        }
        else if (host == nullptr && std::find(request.avoided_names.begin(), request.avoided_names.end(),
                                              other->id.name) == request.avoided_names.end())
        {
            host = other;
        }
    }
    bool const can_forward =
        !request.profile.forwarded && !request.target->group->service && !request.permitted;
    return request.suspect_servers.empty() && can_forward ? host : nullptr;
}

bool request_controller::impl::try_forward(steady_time now, open_request& request, outbox& out)
{
    if (request.profile.forwarded || request.target->group->service || request.permitted)
    {
        return false;
    }
    member const* const to =
        peers_.reserve_place(now, request.profile.model, request.profile.number, request.avoided_names);
    if (to == nullptr)
    {
        return false;
    }
    // Each data centre is tried only once, because a second try would use the same summary.
    request.avoided_names.push_back(to->data_centre);
    forward_to(now, request, *to, out);
    return true;
}

void request_controller::impl::forward_to(steady_time now, open_request& request, member const& to,
                                          outbox& out)
{
    dequeue(request);
    request.phase = request_phase::in_flight;
    request.answer_started = false;
    request.local = false;
    request.server = to.id.name;
    request.boot_id = 0;
    request.sent_at = now;
    ++request.attempts;
    out.emplace_back(
        forward{request.profile.number, request.attempts, to.id.name, to.address, request.deadline - now});
    out.emplace_back(log_event{"forward",
                               {{"request", std::to_string(request.profile.number)},
                                {"model", request.profile.model},
                                {"instance", to.id.name},
                                {"data_centre", to.data_centre}}});
    history_.add(now, request.profile.number, "forwarded", "instance=" + to.id.name);
}

void request_controller::impl::dispatch_to(steady_time now, open_request& request, backend_state& server,
                                           outbox& out)
{
    request_profile const& profile = request.profile;
    if (!check_invariant(profile.repeatable || request.verdict == execution_verdict::not_run,
                         "call_sent_after_unclear_attempt", "number=" + std::to_string(profile.number)))
    {
        refuse_request(now, profile.number, refusal_reason::outcome_unknown, out);
        return;
    }
    dequeue(request);
    std::uint64_t const fingerprint = profile.fingerprint;
    request.phase = request_phase::in_flight;
    request.answer_started = false;
    request.local = true;
    request.server = server.name;
    request.boot_id = server.boot_id;
    request.sent_at = now;
    ++request.attempts;
    ++server.own[index_of(profile.request_rank)];
    request.counted_as_suspect =
        fingerprint != 0 && suspects_.status_of(now, fingerprint) != suspect_table::status::clear;
    server.suspects += request.counted_as_suspect ? 1 : 0;
    if (fingerprint != 0)
    {
        same_fingerprint_requests& equal = in_flight_[fingerprint];
        equal.server = server.name;
        ++equal.count;
    }
    router_.remember_prefix(request.target->group->name, profile.prefix_hash, server);
    out.emplace_back(dispatch{profile.number, request.attempts, server.name, server.address,
                              request.deadline - now, request.delivered_tokens});
    out.emplace_back(log_event{"route",
                               {{"request", std::to_string(profile.number)},
                                {"target", request.target->group->name},
                                {"rank", std::string(to_string(profile.request_rank))},
                                {"server", server.name},
                                {"waited_us", std::to_string((now - request.arrived).count())}}});
    history_.add(now, profile.number, "dispatched",
                 "server=" + server.name + " used=" + std::to_string(server.used()) + "/" +
                     std::to_string(server.report.places));
}

} // namespace siskinusher
