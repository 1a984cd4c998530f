#include "decision/request_controller_impl.hpp"

#include "core/invariant.hpp"

#include <algorithm>

namespace siskinusher
{

namespace
{

// Estimated time to load an adapter onto an engine that already has its base model.
constexpr duration adapter_load_time = milliseconds(10);

/// Load time from a tier as a share of the load time from the weight store. The estimates are low on purpose:
/// a request that is accepted and cannot be served is still refused before its deadline, but a request that
/// is refused too early is lost.
double tier_share(checkpoint_tier tier)
{
    switch (tier)
    {
    case checkpoint_tier::memory:
        return 0.1;
    case checkpoint_tier::disk:
        return 0.4;
    default:
        return 1.0;
    }
}

} // namespace

std::optional<refusal_reason> request_controller::impl::check_arrival(steady_time now,
                                                                      request_profile const& profile) const
{
    if (draining_)
    {
        return refusal_reason::draining;
    }
    if (config_ == nullptr)
    {
        return refusal_reason::no_configuration;
    }
    if (!profile.service.empty())
    {
        if (config_->services.count(profile.service) == 0)
        {
            return refusal_reason::unknown_service;
        }
    }
    else
    {
        auto const model = config_->models.find(profile.model);
        if (model == config_->models.end())
        {
            return refusal_reason::unknown_model;
        }
        if (!profile.adapter.empty())
        {
            auto const adapter = config_->adapters.find(profile.adapter);
            if (adapter == config_->adapters.end() || adapter->second.base_model != profile.model)
            {
                return refusal_reason::unknown_model;
            }
        }
        if (model->second.max_replicas == 0)
        {
            return refusal_reason::model_not_loadable;
        }
    }
    if (profile.fingerprint != 0 &&
        suspects_.status_of(now, profile.fingerprint) == suspect_table::status::confirmed)
    {
        return refusal_reason::crashes_server;
    }
    if (profile.time_to_deadline <= duration{0})
    {
        return refusal_reason::deadline_unreachable;
    }
    // Bounds the number of requests that wait outside the queues: for the record of a call's start, for a
    // permit or for the answer of another request.
    if (requests_.size() >= settings_.queue_limit * 8)
    {
        return refusal_reason::overloaded;
    }
    if (queue_.full(profile.request_rank))
    {
        return refusal_reason::queue_full;
    }
    return std::nullopt;
}

target_state& request_controller::impl::target_of(steady_time now, request_profile const& profile)
{
    bool const service = !profile.service.empty();
    // A service and a model may have the same name; the slash keeps their keys apart. No name contains a
    // slash or a colon.
    std::string group_key = service ? "/" + profile.service : profile.model;
    std::string const target_key = profile.adapter.empty() ? group_key : group_key + ":" + profile.adapter;
    auto& target = targets_[target_key];
    if (target == nullptr)
    {
        auto& group = groups_[group_key];
        if (group == nullptr)
        {
            group = std::make_unique<target_group>();
            group->name = service ? profile.service : profile.model;
            group->service = service;
        }
        target = std::make_unique<target_state>();
        target->group = group.get();
        target->adapter = profile.adapter;
    }
    target->last_used = now;
    return *target;
}

duration request_controller::impl::expected_wait(steady_time now, target_state const& target,
                                                 route_capacity const& capacity, std::size_t ahead) const
{
    target_group const& group = *target.group;
    if (capacity.servers > 0)
    {
        if (capacity.free > ahead)
        {
            return duration{0};
        }
        // Other instances use the same servers: this instance is expected to get the places that it uses now
        // or an even share of all places, whichever is more.
        std::size_t const instances = peers_.same_data_centre().size() + 1;
        double const places =
            std::max({1.0, static_cast<double>(capacity.own),
                      static_cast<double>(capacity.places) / static_cast<double>(instances)});
        double const rounds = static_cast<double>(ahead - capacity.free + 1) / places;
        return duration{static_cast<duration::rep>(static_cast<double>(group.mean_service.count()) * rounds)};
    }
    if (group.service)
    {
        return duration{0};
    }
    route_query base;
    base.group = &group.name;
    if (!target.adapter.empty() && router_.capacity(now, base).servers > 0)
    {
        return adapter_load_time;
    }
    auto const model = config_->models.find(group.name);
    if (model == config_->models.end())
    {
        return duration{0};
    }
    checkpoint_tier const tier = router_.nearest_tier(model->second.checkpoint);
    double load_us = 1000.0 * model->second.load_time_ms * tier_share(tier);
    if (tier == checkpoint_tier::remote && config_->weight_store.loads_per_second > 0.0)
    {
        auto const earlier = std::count_if(
            waiting_groups_.begin(), waiting_groups_.end(),
            [&group](target_group const* other)
            {
                return other->without_server && other != &group &&
                       (!group.without_server || other->without_server_since < group.without_server_since);
            });
        load_us += 1e6 * static_cast<double>(earlier) / config_->weight_store.loads_per_second;
    }
    duration const load{static_cast<duration::rep>(load_us)};
    duration const elapsed = group.without_server ? now - group.without_server_since : duration{0};
    return std::max(duration{0}, load - elapsed);
}

std::optional<refusal_reason> request_controller::impl::check_start(steady_time now,
                                                                    open_request const& request)
{
    target_state const& target = *request.target;
    route_query const query = query_of(target);
    route_capacity const capacity = router_.capacity(now, query);
    if (capacity.servers == 0)
    {
        if (target.group->service)
        {
            if (!router_.any_listed_service(config_->services.at(target.group->name).pool))
            {
                return refusal_reason::no_backend;
            }
            return std::nullopt;
        }
        if (!request.profile.forwarded && peers_.has_place(now, target.group->name, request.avoided_names))
        {
            return std::nullopt;
        }
        if (!router_.any_listed_engine(config_->models.at(target.group->name).engine_pools))
        {
            return refusal_reason::no_backend;
        }
    }
    std::size_t ahead = 0;
    rank const own = request.profile.request_rank;
    for (rank r : all_ranks)
    {
        bool const counts = r < own || (r == own && !target.queue.newest_first(now, r));
        ahead += counts ? target.queue.size(r) : 0;
    }
    if (now + expected_wait(now, target, capacity, ahead) > request.deadline)
    {
        return refusal_reason::deadline_unreachable;
    }
    return std::nullopt;
}

void request_controller::impl::on_request(steady_time now, request_profile const& profile, outbox& out)
{
    if (!check_invariant(requests_.count(profile.number) == 0, "request_number_unique",
                         "number=" + std::to_string(profile.number)))
    {
        return;
    }
    open_request fresh;
    fresh.profile = profile;
    fresh.arrived = now;
    fresh.deadline = now + profile.time_to_deadline;
    fresh.sequence = next_sequence_++;
    history_.add(now, profile.number, "arrived");
    if (auto const reason = check_arrival(now, profile))
    {
        send_refusal(now, fresh, *reason, execution_verdict::not_run, out);
        return;
    }
    fresh.target = &target_of(now, profile);
    if (join_running_call(now, fresh, out))
    {
        return;
    }
    if (auto const reason = check_start(now, fresh))
    {
        send_refusal(now, fresh, *reason, execution_verdict::not_run, out);
        return;
    }
    budget_.on_first_attempt();
    open_request& request = requests_.emplace(profile.number, std::move(fresh)).first->second;
    ++request.target->open;
    if (!profile.idempotency_key.empty() && !profile.repeatable)
    {
        record_start(now, request);
        return;
    }
    enqueue(now, request);
    dispatch_for_request(now, request, out);
}

bool request_controller::impl::join_running_call(steady_time now, open_request& request, outbox& out)
{
    request_profile const& profile = request.profile;
    if (profile.idempotency_key.empty() || profile.repeatable)
    {
        return false;
    }
    auto const running = running_keys_.find(profile.idempotency_key);
    if (running == running_keys_.end())
    {
        return false;
    }
    open_request& first = requests_.at(running->second);
    if (first.profile.body_digest != profile.body_digest)
    {
        send_refusal(now, request, refusal_reason::key_reused, execution_verdict::not_run, out);
        return true;
    }
    first.same_key_waiters.push_back(profile.number);
    request.phase = request_phase::awaiting_same_key;
    ++request.target->open;
    history_.add(now, profile.number, "waits_for_same_key", "first=" + std::to_string(running->second));
    requests_.emplace(profile.number, std::move(request));
    return true;
}

void request_controller::impl::record_start(steady_time now, open_request& request)
{
    request.phase = request_phase::recording;
    request.nonce = random_.next() | 1U;
    request.recorded = true;
    running_keys_[request.profile.idempotency_key] = request.profile.number;
    call_start start;
    start.number = request.profile.number;
    start.entry.key = request.profile.idempotency_key;
    start.entry.body_digest = request.profile.body_digest;
    start.entry.nonce = request.nonce;
    call_starts_.push_back(std::move(start));
    history_.add(now, request.profile.number, "records_start");
}

void request_controller::impl::on_call_start_result(steady_time now, call_start_result const& result,
                                                    outbox& out)
{
    open_request* const request = find(result.number);
    if (request == nullptr || request->phase != request_phase::recording)
    {
        return;
    }
    switch (result.outcome)
    {
    case call_start_outcome::granted:
        enqueue(now, *request);
        dispatch_for_request(now, *request, out);
        return;
    case call_start_outcome::replay:
        request->recorded = false;
        if (!result.entry.body_kept)
        {
            request->verdict = execution_verdict::ran;
            refuse_request(now, result.number, refusal_reason::already_ran, out);
            return;
        }
        history_.add(now, result.number, "replayed");
        out.emplace_back(replay_answer{result.number, result.entry});
        answer_followers(now, *request, result.entry, out);
        erase(result.number, out);
        return;
    case call_start_outcome::key_reused:
        request->recorded = false;
        refuse_request(now, result.number, refusal_reason::key_reused, out);
        return;
    case call_start_outcome::outcome_unknown:
        request->recorded = false;
        request->verdict = execution_verdict::may_have_run;
        refuse_request(now, result.number, refusal_reason::outcome_unknown, out);
        return;
    case call_start_outcome::unavailable:
        refuse_request(now, result.number, refusal_reason::record_store_unavailable, out);
        return;
    }
}

} // namespace siskinusher
