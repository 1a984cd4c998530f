#include "measure/baselines.hpp"

#include <algorithm>
#include <utility>

namespace siskinusher::testing
{

namespace
{

constexpr duration poll_interval = milliseconds{500};
constexpr duration loading_poll_interval = milliseconds{100};
constexpr duration first_retry_delay = milliseconds{200};
constexpr duration longest_retry_delay = seconds{2};
constexpr duration send_interval = milliseconds{100}; ///< Interval of attempts to send waiting requests.
constexpr duration longest_load = seconds{60};

} // namespace

baseline_core::baseline_core(instance_settings settings, std::shared_ptr<fleet_config const> config,
                             std::uint64_t seed)
    : settings_(std::move(settings)), config_(std::move(config)), random_(seed)
{
}

instance_status baseline_core::status(steady_time /*now*/) const
{
    instance_status result;
    result.ready = true;
    result.config_generation = 1;
    return result;
}

bool baseline_core::drained(steady_time /*now*/) const
{
    return open_.empty();
}

void baseline_core::handle(steady_time now, event const& what, outbox& out)
{
    if (auto const* const arrived = std::get_if<request_arrived>(&what))
    {
        open_request request;
        request.profile = arrived->profile;
        request.deadline = now + arrived->profile.time_to_deadline;
        open_request& kept = open_[arrived->profile.number] = request;
        send(now, kept, out);
    }
    else if (std::holds_alternative<tick>(what))
    {
        on_tick(now, out);
        if (now >= next_send_)
        {
            next_send_ = now + send_interval;
            send_waiting(now, out);
        }
        for (auto& each : engines_)
        {
            if (now >= each.second.next_poll)
            {
                each.second.next_poll = now + poll_interval;
                out.emplace_back(poll_engine{each.first, each.second.listed.address});
            }
        }
    }
    else if (auto const* const report = std::get_if<engine_report_received>(&what))
    {
        auto const found = engines_.find(report->report.name);
        if (found != engines_.end())
        {
            found->second.report = report->report;
            on_report(found->second);
        }
    }
    else if (auto const* const finished = std::get_if<attempt_finished>(&what))
    {
        finish(now, *finished, out);
    }
    else if (auto const* const list = std::get_if<instance_list_received>(&what))
    {
        update_engines(list->servers);
    }
    else if (auto const* const outcome = std::get_if<order_outcome>(&what))
    {
        on_order(now, *outcome);
    }
}

void baseline_core::update_engines(std::vector<listed_server> const& servers)
{
    for (listed_server const& each : servers)
    {
        if (each.kind == listed_kind::engine && can_reach(each))
        {
            engines_[each.name].listed = each;
        }
    }
}

void baseline_core::finish(steady_time now, attempt_finished const& what, outbox& out)
{
    auto const found = open_.find(what.number);
    if (found == open_.end())
    {
        return;
    }
    open_request& request = found->second;
    engine_state& engine = engines_[request.engine];
    engine.own_requests -= engine.own_requests > 0 ? 1U : 0U;
    unsigned& in_flight = engine.in_flight[request.profile.model];
    in_flight -= in_flight > 0 ? 1U : 0U;
    if (what.result == attempt_result::answered)
    {
        open_.erase(found);
        return;
    }
    if (what.result == attempt_result::refused_not_run || what.result == attempt_result::not_sent)
    {
        out.emplace_back(count_metric{"siskin_retries_total", "refused_not_run", 1});
        request.engine.clear();
        request.retry_delay = std::clamp(request.retry_delay * 2, first_retry_delay, longest_retry_delay);
        request.not_before = now + request.retry_delay;
        return;
    }
    refuse_request(what.number, refusal_reason::deadline_passed, execution_verdict::may_have_run, out);
    open_.erase(found);
}

bool baseline_core::send(steady_time now, open_request& request, outbox& out)
{
    engine_state* best = nullptr;
    auto const key = [this](engine_state const& each)
    { return std::make_pair(each.listed.data_centre != settings_.self.data_centre, each.load()); };
    for (auto& each : engines_)
    {
        bool const has = each.second.report.models.count(request.profile.model) != 0;
        if (has && (best == nullptr || key(each.second) < key(*best)))
        {
            best = &each.second;
        }
    }
    if (best == nullptr)
    {
        return on_miss(now, request.profile.model, out);
    }
    request.engine = best->listed.name;
    ++best->own_requests;
    ++best->in_flight[request.profile.model];
    best->used[request.profile.model] = now;
    out.emplace_back(dispatch{request.profile.number, ++request.attempts, best->listed.name,
                              best->listed.address, request.deadline - now, 0});
    return true;
}

void baseline_core::send_waiting(steady_time now, outbox& out)
{
    for (auto each = open_.begin(); each != open_.end();)
    {
        open_request& request = each->second;
        if (!request.engine.empty())
        {
            ++each;
            continue;
        }
        bool const late = now >= request.deadline;
        if (late || (now >= request.not_before && !send(now, request, out)))
        {
            refuse_request(each->first,
                           late ? refusal_reason::deadline_passed : refusal_reason::model_not_loadable,
                           execution_verdict::not_run, out);
            each = open_.erase(each);
            continue;
        }
        ++each;
    }
}

void baseline_core::refuse_request(request_number number, refusal_reason why, execution_verdict execution,
                                   outbox& out)
{
    refusal answer;
    answer.reason = why;
    answer.execution = execution;
    out.emplace_back(refuse{number, answer});
}

std::uint64_t baseline_core::send_order_to(steady_time now, engine_state const& engine, order_kind kind,
                                           std::string const& model, outbox& out)
{
    order what;
    what.what.id = random_.next();
    what.what.issuer = settings_.self.id;
    what.what.engine = engine.listed.name;
    what.what.kind = kind;
    what.what.subject = model;
    what.what.bytes = config_->models.at(model).bytes;
    what.epoch = 1;
    what.lease_until = now + seconds{1};
    out.emplace_back(send_order{what, engine.listed.address});
    return what.what.id;
}

// ---- load_on_miss

bool load_on_miss_core::can_reach(listed_server const& server) const
{
    return server.data_centre == settings_.self.data_centre;
}

void load_on_miss_core::on_tick(steady_time now, outbox& /*out*/)
{
    for (auto each = pending_.begin(); each != pending_.end();)
    {
        engine_state& engine = engines_[each->second.engine];
        engine.next_poll = std::min(engine.next_poll, now + loading_poll_interval);
        auto const next = std::next(each);
        if (now >= each->second.until)
        {
            remove_pending(each);
        }
        each = next;
    }
}

void load_on_miss_core::remove_pending(std::map<std::string, pending_load>::iterator entry)
{
    engine_state& engine = engines_[entry->second.engine];
    engine.reserved -= std::min(engine.reserved, entry->second.bytes);
    pending_.erase(entry);
}

bool load_on_miss_core::on_miss(steady_time now, std::string const& model, outbox& out)
{
    if (pending_.count(model) != 0 || engines_.empty())
    {
        return true;
    }
    engine_state* best = nullptr;
    for (auto& each : engines_)
    {
        if (each.second.report.memory_bytes != 0 &&
            (best == nullptr || std::make_pair(each.second.load(), each.second.reserved) <
                                    std::make_pair(best->load(), best->reserved)))
        {
            best = &each.second;
        }
    }
    std::uint64_t const bytes = config_->models.at(model).bytes;
    if (best == nullptr || !evict_for(now, *best, bytes, out))
    {
        return true;
    }
    best->reserved += bytes;
    std::uint64_t const id = send_order_to(now, *best, order_kind::load_model, model, out);
    pending_[model] = {id, best->listed.name, bytes, now + longest_load};
    return true;
}

bool load_on_miss_core::evict_for(steady_time now, engine_state& engine, std::uint64_t bytes, outbox& out)
{
    std::vector<std::pair<steady_time, std::string>> idle;
    std::uint64_t evictable = 0;
    for (auto const& each : engine.report.models)
    {
        if (engine.in_flight[each.first] == 0)
        {
            idle.emplace_back(engine.used[each.first], each.first);
            evictable += each.second;
        }
    }
    std::sort(idle.begin(), idle.end());
    std::uint64_t const needed = engine.report.used_bytes() + engine.reserved + bytes;
    std::uint64_t const excess =
        needed > engine.report.memory_bytes ? needed - engine.report.memory_bytes : 0;
    if (evictable < excess)
    {
        return false;
    }
    std::uint64_t freed = 0;
    for (auto const& each : idle)
    {
        if (freed >= excess)
        {
            break;
        }
        freed += engine.report.models[each.second];
        send_order_to(now, engine, order_kind::unload_model, each.second, out);
        engine.report.models.erase(each.second);
    }
    return true;
}

void load_on_miss_core::on_order(steady_time now, order_outcome const& outcome)
{
    for (auto& each : pending_)
    {
        if (each.second.order == outcome.intent_id && outcome.result != order_result::done)
        {
            // Another instance has used the memory first. The load is forgotten after the next reports, so
            // that another engine can be chosen.
            each.second.until = now + poll_interval;
        }
    }
}

void load_on_miss_core::on_report(engine_state& engine)
{
    for (auto each = pending_.begin(); each != pending_.end();)
    {
        auto const next = std::next(each);
        if (each->second.engine == engine.listed.name && engine.report.models.count(each->first) != 0)
        {
            remove_pending(each);
        }
        each = next;
    }
}

// ---- static_placement

static_placement_core::static_placement_core(instance_settings settings,
                                             std::shared_ptr<fleet_config const> config, std::uint64_t seed,
                                             std::shared_ptr<static_plan const> plan)
    : baseline_core(std::move(settings), std::move(config), seed), plan_(std::move(plan))
{
}

bool static_placement_core::can_reach(listed_server const& /*server*/) const
{
    return true;
}

void static_placement_core::on_tick(steady_time now, outbox& out)
{
    // The first instance of each data centre loads the planned models, one at a time on each engine.
    if (settings_.self.id.name != settings_.self.data_centre + "-1")
    {
        return;
    }
    for (auto const& row : *plan_)
    {
        for (std::string const& name : row.second)
        {
            auto const found = engines_.find(name);
            bool const own =
                found != engines_.end() && found->second.listed.data_centre == settings_.self.data_centre;
            if (own && open_order_.count(name) == 0 && ordered_.insert({name, row.first}).second)
            {
                open_order_[name] = send_order_to(now, found->second, order_kind::load_model, row.first, out);
            }
        }
    }
}

bool static_placement_core::on_miss(steady_time /*now*/, std::string const& model, outbox& /*out*/)
{
    return plan_->count(model) != 0;
}

void static_placement_core::on_order(steady_time /*now*/, order_outcome const& outcome)
{
    for (auto each = open_order_.begin(); each != open_order_.end(); ++each)
    {
        if (each->second == outcome.intent_id)
        {
            open_order_.erase(each);
            return;
        }
    }
}

void static_placement_core::on_report(engine_state& /*engine*/) {}

} // namespace siskinusher::testing
