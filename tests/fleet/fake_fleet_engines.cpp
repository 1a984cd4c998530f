#include "fleet/fake_fleet_parts.hpp"

#include "core/hash.hpp"
#include "core/invariant.hpp"

#include <algorithm>
#include <cstdio>

namespace siskinusher::testing
{

void fake_fleet::perform(fake_instance& from, send_order const& what)
{
    std::string const name = from.self.id.name;
    std::uint64_t const incarnation = from.self.id.incarnation;
    if (from.local(now_) > what.what.lease_until)
    {
        schedule(
            microseconds{10},
            [this, name, what] {
                feed(*instances_.at(name), order_outcome{what.what.what.id, order_result::not_sent, 0, 0});
            });
        return;
    }
    if (from.pause_in_order.count() > 0)
    {
        duration const time = std::exchange(from.pause_in_order, duration{0});
        from.delayed_actions.emplace_back([this, name, incarnation, what]
                                          { deliver_order(name, incarnation, what); });
        pause(name, time);
        return;
    }
    deliver_order(name, incarnation, what);
}

void fake_fleet::deliver_order(std::string const& instance, std::uint64_t incarnation, send_order const& what)
{
    std::string const server = what.what.what.engine;
    unsigned const bound = bound_of(what.what.what.subject);
    auto const answer = [this, instance, incarnation](order_outcome const& outcome)
    {
        schedule(local_latency,
                 [this, instance, incarnation, outcome]
                 {
                     if (instances_.at(instance)->self.id.incarnation == incarnation)
                     {
                         feed(*instances_.at(instance), outcome);
                     }
                 });
    };
    if (servers_.count(server) == 0 || !servers_.at(server)->running)
    {
        answer({what.what.what.id, order_result::not_sent, 0, 0});
        return;
    }
    if (!linked(instance, server) || servers_.at(server)->silent)
    {
        schedule(seconds{4}, [what, answer] { answer({what.what.what.id, order_result::unknown, 0, 0}); });
        return;
    }
    schedule(latency(instance, server),
             [this, server, what, answer, bound]
             {
                 if (!servers_.at(server)->running)
                 {
                     answer({what.what.what.id, order_result::unknown, 0, 0});
                     return;
                 }
                 if (what.what.what.kind == order_kind::load_model)
                 {
                     unsigned& sent = bound_at_sending_[what.what.what.subject];
                     sent = std::max(sent, bound);
                 }
                 execute_order(*servers_.at(server), what, answer);
             });
}

void fake_fleet::execute_order(fake_server& server, send_order const& what,
                               std::function<void(order_outcome)> const& answer)
{
    intent const& order = what.what.what;
    if (server.listed.checks_epoch && what.what.epoch < server.highest_epoch)
    {
        answer({order.id, order_result::refused_epoch, server.boot, server.revision});
        return;
    }
    server.highest_epoch = std::max(server.highest_epoch, what.what.epoch);
    bool const lost = random_.unit() < lose_orders;
    std::string const name = server.listed.name;
    std::uint64_t const boot = server.boot;
    auto const acknowledge = [this, name, boot, id = order.id, answer, lost]
    {
        fake_server const& at = *servers_.at(name);
        bool const gone = at.boot != boot || !at.running;
        order_result const result = lost || gone ? order_result::unknown : order_result::done;
        schedule(lost ? seconds{4} : duration{0},
                 [answer, id, result, boot, revision = at.revision] {
                     answer({id, result, boot, revision});
                 });
    };
    switch (order.kind)
    {
    case order_kind::load_model:
    {
        if (server.models.count(order.subject) != 0 || server.loading.count(order.subject) != 0)
        {
            acknowledge();
            return;
        }
        if (shape_.refuses_overcommit && !fits(server, order.bytes))
        {
            answer({order.id, order_result::refused, server.boot, server.revision});
            return;
        }
        ++loads_ordered_;
        server.loading[order.subject] = order.bytes;
        ++server.revision;
        auto const tier = server.checkpoints.find(order.subject);
        bool const remote = tier == server.checkpoints.end();
        loading_ += remote ? 1U : 0U; // Checkpoints in memory and on disk load without the weight store.
        peak_loads_ = std::max(peak_loads_, loading_);
        double const share = load_share(remote ? std::nullopt : std::make_optional(tier->second));
        last_load_[{name, order.subject}] = loads_.size();
        loads_.push_back({name, order.subject, remote, now_, std::nullopt, std::nullopt, false});
        auto const model = configs_.back()->models.find(order.subject);
        double const base_ms = model == configs_.back()->models.end() ? 1000.0 : model->second.load_time_ms;
        double const slowdown =
            std::max(1.0, (remote ? loading_ : 1U) / double(configs_.back()->weight_store.full_speed_loads));
        duration const time{static_cast<duration::rep>(base_ms * 1000.0 * share * slowdown * store_slowdown)};
        intent const copy = order;
        schedule(time,
                 [this, name, boot, copy, remote, acknowledge]
                 {
                     finish_load(name, boot, copy, remote);
                     acknowledge();
                 });
        break;
    }
    case order_kind::unload_model:
        if (load_record* const load = last_load(name, order.subject); load != nullptr && !load->unloaded)
        {
            load->unloaded = now_;
        }
        server.models.erase(order.subject);
        ++server.revision;
        acknowledge();
        break;
    case order_kind::load_adapter:
        server.adapters[order.subject] = order.bytes;
        ++server.revision;
        schedule(milliseconds{8}, acknowledge);
        break;
    case order_kind::unload_adapter:
        server.adapters.erase(order.subject);
        ++server.revision;
        acknowledge();
        break;
    }
}

void fake_fleet::finish_load(std::string const& name, std::uint64_t boot, intent const& what, bool remote)
{
    loading_ -= remote ? 1U : 0U;
    fake_server& server = *servers_.at(name);
    if (server.boot != boot || !server.running)
    {
        return;
    }
    server.loading.erase(what.subject);
    server.models[what.subject] = what.bytes;
    ++server.revision;
    if (load_record* const load = last_load(name, what.subject))
    {
        load->ended = now_;
    }
    keep_checkpoint(server, what.subject);
    for (work_item& each : std::exchange(server.waiting_for_load, {}))
    {
        receive_work(name, std::move(each));
    }
}

double fake_fleet::load_share(std::optional<checkpoint_tier> tier)
{
    return !tier || *tier == checkpoint_tier::remote ? 1.0 : *tier == checkpoint_tier::memory ? 0.1 : 0.4;
}

// A loaded checkpoint stays in the memory of the engine's host. When the limit of memory is exceeded, the
// oldest checkpoint moves to disk; when the limit of the disk is exceeded, the oldest there is deleted.
void fake_fleet::keep_checkpoint(fake_server& server, std::string const& model) const
{
    server.checkpoints[model] = checkpoint_tier::memory;
    auto const forget = [&model](std::deque<std::string>& kept)
    { kept.erase(std::remove(kept.begin(), kept.end(), model), kept.end()); };
    forget(server.kept_in_memory);
    forget(server.kept_on_disk);
    server.kept_in_memory.push_back(model);
    if (shape_.memory_checkpoints != 0 && server.kept_in_memory.size() > shape_.memory_checkpoints)
    {
        server.checkpoints[server.kept_in_memory.front()] = checkpoint_tier::disk;
        server.kept_on_disk.push_back(server.kept_in_memory.front());
        server.kept_in_memory.pop_front();
    }
    if (shape_.disk_checkpoints != 0 && server.kept_on_disk.size() > shape_.disk_checkpoints)
    {
        server.checkpoints.erase(server.kept_on_disk.front());
        server.kept_on_disk.pop_front();
    }
}

bool fake_fleet::fits(fake_server const& server, std::uint64_t bytes) const
{
    std::uint64_t used = shape_.prefix_cache + bytes;
    for (auto const* const each : {&server.models, &server.loading, &server.adapters})
    {
        for (auto const& subject : *each)
        {
            used += subject.second;
        }
    }
    return used <= shape_.engine_memory;
}

load_record* fake_fleet::last_load(std::string const& server, std::string const& model)
{
    auto const found = last_load_.find({server, model});
    return found == last_load_.end() ? nullptr : &loads_[found->second];
}

// Returns the largest bound that an instance may still act on: an instance that is cut off keeps the
// configuration it has, and the others adopt a new one within config_grace.
unsigned fake_fleet::bound_of(std::string const& model) const
{
    std::size_t oldest = configs_.size();
    for (std::size_t i = configs_.size(); i > 1 && now_ - accepted_at_[i - 1] <= config_grace; --i)
    {
        oldest = i - 1;
    }
    for (auto const& each : instances_)
    {
        fake_instance const& instance = *each.second;
        std::size_t const generation =
            instance.running ? instance.core->status(instance.local(now_)).config_generation : 0;
        oldest = generation == 0 ? oldest : std::min(oldest, generation);
    }
    unsigned bound = 0;
    for (std::size_t i = oldest; i <= configs_.size(); ++i)
    {
        auto const found = configs_[i - 1]->models.find(model);
        bound = std::max(bound, found == configs_[i - 1]->models.end() ? 0U : found->second.max_replicas);
    }
    return bound;
}

engine_report fake_fleet::report_of(fake_server const& server) const
{
    engine_report report;
    report.name = server.listed.name;
    report.boot_id = server.boot;
    report.revision = server.revision;
    report.leaving = server.leaving_since.has_value();
    report.memory_bytes = shape_.engine_memory;
    report.prefix_cache_bytes = shape_.prefix_cache;
    report.places = shape_.places;
    report.running = static_cast<unsigned>(server.active.size());
    report.waiting = static_cast<unsigned>(server.waiting_count());
    // Like the report of a real engine, this one shows a model as soon as its load has been accepted.
    report.models = server.models;
    report.models.insert(server.loading.begin(), server.loading.end());
    report.adapters = server.adapters;
    report.counts_use = true;
    auto const count = [&report](work_item const& item)
    {
        ++report.in_use[item.request.model];
        if (!item.request.adapter.empty())
        {
            ++report.in_use[item.request.adapter];
        }
    };
    std::for_each(server.waiting_for_load.begin(), server.waiting_for_load.end(), count);
    for (auto const& each : server.active)
    {
        count(each.second);
    }
    for (auto const& waiting : server.waiting)
    {
        std::for_each(waiting.begin(), waiting.end(), count);
    }
    if (shape_.reports_checkpoints)
    {
        report.checkpoints = server.checkpoints;
    }
    return report;
}

void fake_fleet::perform(fake_instance& from, poll_engine const& what)
{
    std::string const name = from.self.id.name;
    std::string const server = what.name;
    if (servers_.count(server) == 0 || !servers_.at(server)->running)
    {
        schedule(local_latency,
                 [this, name, server] {
                     feed(*instances_.at(name), engine_unreachable{server, true});
                 });
        return;
    }
    if (!linked(name, server) || servers_.at(server)->silent)
    {
        schedule(milliseconds{800},
                 [this, name, server] {
                     feed(*instances_.at(name), engine_unreachable{server, false});
                 });
        return;
    }
    // The report describes the engine now but arrives later.
    engine_report const report = report_of(*servers_.at(server));
    schedule(milliseconds{20},
             [this, name, report] { feed(*instances_.at(name), engine_report_received{report}); });
}

void fake_fleet::crash_server(fake_server& server, duration down, std::vector<std::string> const& contents)
{
    server.running = false;
    std::vector<attempt_key> lost;
    for (auto const& each : server.active)
    {
        lost.push_back(each.first);
    }
    for (auto& waiting : server.waiting)
    {
        for (work_item const& each : waiting)
        {
            lost.push_back(each.key);
        }
        waiting.clear();
    }
    for (work_item const& each : std::exchange(server.waiting_for_load, {}))
    {
        lost.push_back(each.key);
    }
    server.active.clear();
    server.models.clear();
    server.adapters.clear();
    server.loading.clear();
    for (attempt_key const& each : lost)
    {
        end_attempt(each, attempt_result::connection_lost, &server, 0);
    }
    std::string const name = server.listed.name;
    schedule(down,
             [this, name, contents]
             {
                 fake_server& restarted = *servers_.at(name);
                 restarted.running = true;
                 restarted.boot = random_.next() | 1U;
                 restarted.revision = 1;
                 for (std::string const& model : contents)
                 {
                     restarted.models[model] = configs_.back()->models.at(model).bytes;
                 }
             });
}

void fake_fleet::kill_engine(std::string const& engine, duration down,
                             std::vector<std::string> const& contents)
{
    if (servers_.at(engine)->running)
    {
        crash_server(*servers_.at(engine), down, contents);
    }
}

void fake_fleet::leave_engine(std::string const& engine)
{
    servers_.at(engine)->leaving_since = now_;
}

void fake_fleet::set_silent(std::string const& server, bool silent)
{
    servers_.at(server)->silent = silent;
}

} // namespace siskinusher::testing
