#include "decision/request_controller_impl.hpp"

#include <algorithm>

namespace siskinusher
{

namespace
{

// If a server is found dead later than this after a lost attempt, the attempt is not taken for the cause.
constexpr duration loss_retention = seconds(10);

// If the adapter never reports the end of an attempt, its place is freed this long after the deadline.
constexpr duration late_attempt_timeout = seconds(60);

// A server whose latest report is older is polled by this instance. The server has the time until the report
// exceeds request_settings::max_report_age to answer.
constexpr duration poll_age = seconds(2);

// Time between two such polls of one server.
constexpr duration poll_interval = milliseconds(500);

// When the oldest request of a loaded model has waited longer than this, another replica is requested.
constexpr duration scale_out_delay = milliseconds(500);

constexpr duration housekeeping_interval = seconds(1);

// The state of a target without open requests is removed after this time.
constexpr duration idle_target_limit = minutes(10);

// Requests of one target and rank that are examined for the rank and the nearest deadline of a load request.
constexpr std::size_t sample_size = 64;

} // namespace

void request_controller::impl::on_tick(steady_time now, outbox& out)
{
    expire_requests(now, out);
    expire_queue(now, out);
    dispatch_all(now, out);
    for (target_group* group : waiting_groups_)
    {
        collect_load_requests(now, *group);
    }
    poll_unreported(now, out);
    poll_after_losses(now, out);
    if (now >= next_housekeeping_)
    {
        next_housekeeping_ = now + housekeeping_interval;
        run_housekeeping(now, out);
    }
}

void request_controller::impl::poll_unreported(steady_time now, outbox& out)
{
    for (auto it = polled_at_.begin(); it != polled_at_.end();)
    {
        it = now - it->second >= poll_interval ? polled_at_.erase(it) : std::next(it);
    }
    for (backend_state const* server : router_.find_unreported(now, poll_age))
    {
        if (polled_at_.emplace(server->name, now).second)
        {
            out.emplace_back(poll_engine{server->name, server->address});
        }
    }
}

void request_controller::impl::poll_after_losses(steady_time now, outbox& out)
{
    for (auto const& item : losses_)
    {
        backend_state const* const server = router_.find(item.first);
        bool const open = server != nullptr && !server->dead && !item.second.empty() &&
                          item.second.back().boot_id == server->boot_id &&
                          now - item.second.back().at < loss_check_limit;
        if (open)
        {
            out.emplace_back(poll_engine{server->name, server->address});
        }
    }
}

void request_controller::impl::expire_requests(steady_time now, outbox& out)
{
    std::vector<request_number> due;
    for (auto const& item : requests_)
    {
        open_request const& request = item.second;
        if (now >= request.deadline || request.phase == request_phase::asking_permit ||
            (request.phase == request_phase::checking_loss && now >= request.loss_check_deadline))
        {
            due.push_back(item.first);
        }
    }
    std::sort(due.begin(), due.end());
    for (request_number number : due)
    {
        open_request* const request = find(number);
        if (request == nullptr)
        {
            continue;
        }
        bool const late = now >= request->deadline;
        switch (request->phase)
        {
        case request_phase::recording:
            refuse_request(now, number, refusal_reason::record_store_unavailable, out);
            break;
        case request_phase::awaiting_same_key:
        {
            auto const first = running_keys_.find(request->profile.idempotency_key);
            open_request const* const running = first == running_keys_.end() ? nullptr : find(first->second);
            bool const not_sent = running != nullptr && running->phase != request_phase::in_flight &&
                                  running->phase != request_phase::refused_in_flight &&
                                  running->verdict == execution_verdict::not_run;
            request->verdict = not_sent ? execution_verdict::not_run : execution_verdict::may_have_run;
            refuse_request(now, number, refusal_reason::deadline_passed, out);
            break;
        }
        case request_phase::asking_permit:
        {
            auto const status = suspects_.status_of(now, request->profile.fingerprint);
            if (status == suspect_table::status::confirmed)
            {
                refuse_request(now, number, refusal_reason::crashes_server, out);
            }
            else if (late || (request->permit_reply_deadline && now >= *request->permit_reply_deadline))
            {
                refuse_request(now, number, refusal_reason::suspect_not_cleared, out);
            }
            else if (status == suspect_table::status::clear)
            {
                give_back_permit(*request, out);
                request->permit_reply_deadline.reset();
                enqueue(now, *request);
            }
            else if (now >= request->next_permit_request)
            {
                ask_permit(now, *request, out);
            }
            break;
        }
        case request_phase::queued:
            refuse_request(now, number, request->last_failure.value_or(refusal_reason::deadline_unreachable),
                           out);
            break;
        case request_phase::checking_loss:
            if (late)
            {
                refuse_request(now, number, refusal_reason::deadline_passed, out);
                break;
            }
            // The server did not answer the polls, so it may have died.
            if (request->profile.fingerprint != 0)
            {
                mark_suspect(now, request->profile.fingerprint);
                announce({request->profile.fingerprint}, request->server, 0, out);
            }
            --checking_count_;
            enqueue(now, *request);
            break;
        case request_phase::in_flight:
            if (!request->answer_started)
            {
                refuse_request(now, number, refusal_reason::deadline_passed, out);
            }
            break;
        case request_phase::ending:
            break;
        case request_phase::refused_in_flight:
            if (now >= request->deadline + late_attempt_timeout)
            {
                end_attempt(*request);
                request->verdict = worst_of(request->verdict, execution_verdict::may_have_run);
                refuse_followers(now, *request, refusal_reason::outcome_unknown, out);
                erase(number, out);
            }
            break;
        }
    }
}

// Refuses the queued requests that are not expected to start before their deadlines.
void request_controller::impl::expire_queue(steady_time now, outbox& out)
{
    std::vector<request_number> too_late;
    for (target_group* group : waiting_groups_)
    {
        update_without_server(now, *group);
        for (target_state const* target : group->waiting)
        {
            route_capacity const capacity = router_.capacity(now, query_of(*target));
            std::size_t ahead = 0;
            duration const first_wait = expected_wait(now, *target, capacity, 0);
            for (rank r : all_ranks)
            {
                for (queued_request const& item : target->queue.first(now, r, target->queue.size(r)))
                {
                    duration const wait =
                        capacity.servers == 0 ? first_wait : expected_wait(now, *target, capacity, ahead);
                    open_request const* const request = find(item.number);
                    if (request != nullptr && now + wait > request->deadline)
                    {
                        too_late.push_back(item.number);
                        continue;
                    }
                    ++ahead;
                }
            }
        }
    }
    for (request_number number : too_late)
    {
        refuse_request(now, number, refusal_reason::deadline_unreachable, out);
    }
}

void request_controller::impl::run_housekeeping(steady_time now, outbox& out)
{
    suspects_.expire(now);
    for (auto it = losses_.begin(); it != losses_.end();)
    {
        auto& lost = it->second;
        while (!lost.empty() && now - lost.front().at > loss_retention)
        {
            lost_attempt const oldest = lost.front();
            lost.pop_front();
            forget_loss(it->first, oldest, out);
        }
        it = lost.empty() ? losses_.erase(it) : std::next(it);
    }
    for (auto it = announced_leaving_.begin(); it != announced_leaving_.end();)
    {
        backend_state const* const server = router_.find(it->first);
        bool const same_boot = server != nullptr && server->boot_id == it->second;
        it = same_boot ? std::next(it) : announced_leaving_.erase(it);
    }
    std::set<target_group const*> used;
    for (auto it = targets_.begin(); it != targets_.end();)
    {
        target_state const& target = *it->second;
        if (target.open == 0 && now - target.last_used > idle_target_limit)
        {
            it = targets_.erase(it);
            continue;
        }
        used.insert(target.group);
        ++it;
    }
    for (auto it = groups_.begin(); it != groups_.end();)
    {
        it = used.count(it->second.get()) == 0 ? groups_.erase(it) : std::next(it);
    }
}

void request_controller::impl::collect_load_requests(steady_time now, target_group& group)
{
    auto const due = [&](std::optional<steady_time> const& last)
    { return !last || now - *last >= settings_.load_request_interval; };
    if (group.service || group.waiting.empty())
    {
        return;
    }
    std::vector<target_state const*> loaded;
    std::vector<target_state const*> all(group.waiting.begin(), group.waiting.end());
    if (group.without_server)
    {
        if (due(group.last_load_request))
        {
            group.last_load_request = now;
            add_load_request(now, group, all, {});
        }
        return;
    }
    bool slow = false;
    for (target_state* target : group.waiting)
    {
        if (!target->adapter.empty() && router_.capacity(now, query_of(*target)).servers == 0)
        {
            if (due(target->last_load_request))
            {
                target->last_load_request = now;
                add_load_request(now, group, {target}, target->adapter);
            }
            continue;
        }
        loaded.push_back(target);
        for (rank r : all_ranks)
        {
            auto const oldest = target->queue.newest_first(now, r)
                                    ? std::vector<queued_request>{{0, 0, now - scale_out_delay * 2}}
                                    : target->queue.first(now, r, 1);
            slow = slow || (!oldest.empty() && now - oldest.front().arrived > scale_out_delay);
        }
    }
    if (slow && due(group.last_load_request))
    {
        group.last_load_request = now;
        add_load_request(now, group, loaded, {});
    }
}

void request_controller::impl::add_load_request(steady_time now, target_group const& group,
                                                std::vector<target_state const*> const& targets,
                                                std::string const& adapter)
{
    load_request made;
    made.model = group.name;
    made.adapter = adapter;
    made.highest_rank = rank::background;
    made.nearest_deadline = duration::max();
    for (target_state const* target : targets)
    {
        made.waiting += static_cast<unsigned>(target->queue.size());
        for (rank r : all_ranks)
        {
            for (queued_request const& item : target->queue.first(now, r, sample_size))
            {
                made.highest_rank = std::min(made.highest_rank, r);
                if (open_request const* const request = find(item.number))
                {
                    made.nearest_deadline = std::min(made.nearest_deadline, request->deadline - now);
                }
            }
        }
    }
    load_requests_.push_back(std::move(made));
}

} // namespace siskinusher
