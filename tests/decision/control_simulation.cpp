#include "decision/control_simulation.hpp"

#include "core/invariant.hpp"

#include <algorithm>
#include <utility>

namespace siskinusher::testing
{

control_simulation::control_simulation(std::uint64_t seed) : random_(seed)
{
    config.generation = 1;
    config.data_centres = {"a"};
    set_invariant_handler([this](std::string_view name, std::string const& detail)
                          { violation = "invariant " + std::string{name} + " " + detail; });
}

void control_simulation::add_instance(std::string const& name, std::string const& data_centre)
{
    simulated_instance node;
    node.id = {name, random_.next()};
    node.data_centre = data_centre;
    node.clock_rate = 0.9951 + 0.0098 * random_.unit(); // The rates of two clocks differ by less than 1%.
    node.clock_offset = random_duration(seconds{1000});
    controller_settings settings;
    settings.self = node.id;
    settings.data_centre = data_centre;
    node.controller = std::make_unique<engine_controller>(settings, random_.next());
    instances[name] = std::move(node);
    outbox out;
    instances[name].controller->on_config(local_time(instances[name]),
                                          std::make_shared<fleet_config const>(config), out);
}

void control_simulation::add_engine(std::string const& name, std::uint64_t memory,
                                    std::string const& data_centre, bool checks_epoch)
{
    simulated_engine engine;
    engine.report.name = name;
    engine.report.boot_id = random_.next();
    engine.report.revision = 1;
    engine.report.memory_bytes = memory;
    engine.report.places = 8;
    engine.data_centre = data_centre;
    engine.checks_epoch = checks_epoch;
    engines[name] = engine;
}

void control_simulation::add_model(std::string const& name, std::uint64_t bytes, unsigned max_replicas)
{
    model_config model;
    model.name = name;
    model.checkpoint = name;
    model.bytes = bytes;
    model.max_replicas = max_replicas;
    model.load_time_ms = 1000;
    config.models[name] = model;
}

void control_simulation::apply_config()
{
    ++config.generation;
    auto const shared = std::make_shared<fleet_config const>(config);
    for (auto const& node : instances)
    {
        deliver(node.first, node.second.id.incarnation,
                [shared](engine_controller& c, steady_time t, outbox& out) { c.on_config(t, shared, out); });
    }
}

void control_simulation::kill(std::string const& name)
{
    instances.at(name).alive = false;
    instances.at(name).delayed_events.clear();
}

void control_simulation::pause(std::string const& name)
{
    instances.at(name).paused = true;
}

void control_simulation::resume(std::string const& name)
{
    instances.at(name).paused = false;
    auto const held = std::exchange(instances.at(name).delayed_events, {});
    for (auto const& event : held)
    {
        event();
    }
}

void control_simulation::restart_engine(std::string const& name)
{
    engine_report& report = engines.at(name).report;
    report.boot_id = random_.next();
    report.revision = 1;
    report.models.clear();
    report.adapters.clear();
    engines.at(name).highest_epoch = 0;
}

void control_simulation::send_load_request(std::string const& node, std::string const& model, rank level,
                                           std::string const& adapter)
{
    deliver(node, instances.at(node).id.incarnation,
            [=](engine_controller& c, steady_time t, outbox& out) {
                c.on_load_request(t, load_request{model, adapter, level, seconds{20}, 1}, out);
            });
}

void control_simulation::send_load_requests_for(duration span, std::string const& node,
                                                std::string const& model, rank level,
                                                std::string const& adapter)
{
    for (duration spent{0}; spent < span; spent += milliseconds{200})
    {
        send_load_request(node, model, level, adapter);
        run(milliseconds{200});
    }
}

void control_simulation::run(duration span)
{
    duration const end = now_ + span;
    for (duration next = now_ + milliseconds{50}; next <= end; next += milliseconds{50})
    {
        while (!queue_.empty() && queue_.begin()->first <= next)
        {
            auto const event = queue_.begin()->second;
            now_ = std::max(now_, queue_.begin()->first);
            queue_.erase(queue_.begin());
            event();
            check();
        }
        now_ = next;
        if (now_ >= next_second_)
        {
            next_second_ = now_ + seconds{1};
            send_heartbeats_and_lists();
        }
        for (auto const& node : instances)
        {
            if (!node.second.paused)
            {
                deliver(node.first, node.second.id.incarnation,
                        [](engine_controller& c, steady_time t, outbox& out) { c.on_tick(t, out); });
                check();
            }
        }
    }
}

std::string control_simulation::holder(std::string const& data_centre)
{
    for (auto const& node : instances)
    {
        simulated_instance const& n = node.second;
        if (n.alive && n.data_centre == data_centre && n.controller->holds_lease(local_time(n)))
        {
            return node.first;
        }
    }
    return {};
}

unsigned control_simulation::replicas(std::string const& model) const
{
    return static_cast<unsigned>(std::count_if(engines.begin(), engines.end(),
                                               [&](auto const& entry) {
                                                   return entry.second.alive &&
                                                          entry.second.report.models.count(model) != 0;
                                               }));
}

data_centre_record control_simulation::record(std::string const& data_centre) const
{
    return std::get<data_centre_record>(objects_.at("dc/" + data_centre).first);
}

std::map<std::string, quota_row> control_simulation::quota_rows(std::string const& row) const
{
    auto const object = objects_.find("quota");
    if (object == objects_.end())
    {
        return {};
    }
    auto const& rows = std::get<quota_record>(object->second.first).rows;
    auto const found = rows.find(row);
    return found == rows.end() ? std::map<std::string, quota_row>{} : found->second;
}

steady_time control_simulation::local_time(simulated_instance const& node) const
{
    double const elapsed = static_cast<double>(now_.count()) * node.clock_rate;
    return steady_time{node.clock_offset + duration{static_cast<duration::rep>(elapsed)}};
}

void control_simulation::report(std::string const& engine)
{
    simulated_engine const& source = engines.at(engine);
    if (!source.alive || source.silent)
    {
        return;
    }
    engine_report const copy = source.report;
    for (auto const& node : instances)
    {
        if (node.second.data_centre != source.data_centre)
        {
            continue;
        }
        std::string const name = node.first;
        std::uint64_t const incarnation = node.second.id.incarnation;
        schedule(random_duration(report_lag) + microseconds{1},
                 [this, name, incarnation, copy]
                 {
                     deliver(name, incarnation,
                             [copy](engine_controller& c, steady_time t, outbox& out)
                             { c.on_report(t, copy, out); });
                 });
    }
}

void control_simulation::schedule(duration delay, std::function<void()> what)
{
    queue_.emplace(now_ + delay, std::move(what));
}

void control_simulation::deliver(std::string const& name, std::uint64_t incarnation,
                                 std::function<void(engine_controller&, steady_time, outbox&)> const& what)
{
    simulated_instance& node = instances.at(name);
    if (!node.alive || node.id.incarnation != incarnation)
    {
        return;
    }
    if (node.paused)
    {
        node.delayed_events.emplace_back([this, name, incarnation, what]
                                         { deliver(name, incarnation, what); });
        return;
    }
    outbox out;
    what(*node.controller, local_time(node), out);
    carry_out(node, out);
}

void control_simulation::carry_out(simulated_instance& node, outbox const& out)
{
    for (auto const& item : out)
    {
        if (auto const* request = std::get_if<store_request>(&item))
        {
            on_store(node, *request);
        }
        else if (auto const* sent = std::get_if<send_order>(&item))
        {
            on_order(node, *sent);
        }
        else if (auto const* poll = std::get_if<poll_engine>(&item))
        {
            report(poll->name);
        }
        else if (auto const* event = std::get_if<log_event>(&item))
        {
            logs.push_back(*event);
        }
        else if (auto const* message = std::get_if<send_peer>(&item))
        {
            auto const pair = std::minmax(node.id.name, message->to);
            if (instances.count(message->to) == 0 || chance(lose_message) ||
                cut.count({pair.first, pair.second}) != 0)
            {
                continue;
            }
            instance_id const from = node.id;
            std::string const to = message->to;
            std::uint64_t const incarnation = instances.at(to).id.incarnation;
            peer_message const content = message->message;
            schedule(random_duration(milliseconds{20}) + microseconds{1},
                     [this, from, to, incarnation, content]
                     {
                         deliver(to, incarnation,
                                 [from, content](engine_controller& c, steady_time t, outbox& o)
                                 { c.on_peer(t, from, content, o); });
                     });
        }
    }
}

void control_simulation::on_store(simulated_instance const& node, store_request const& request)
{
    std::string const name = node.id.name;
    std::uint64_t const incarnation = node.id.incarnation;
    auto const answer = [this, name, incarnation, request](store_result const& result)
    {
        store_reply const reply{request.owner, request.tag, request.key, result};
        schedule(random_duration(milliseconds{10}),
                 [this, name, incarnation, reply]
                 {
                     deliver(name, incarnation,
                             [reply](engine_controller& c, steady_time t, outbox& o)
                             { c.on_store_reply(t, reply, o); });
                 });
    };
    bool const is_write = std::holds_alternative<store_put>(request.operation);
    if (is_write && chance(delay_write))
    {
        schedule(random_duration(seconds{12}), [this, request] { apply(request); });
        schedule(milliseconds{300}, [answer] { answer(store_unavailable{}); });
        return;
    }
    schedule(random_duration(milliseconds{10}) + microseconds{1},
             [this, name, request, answer]
             {
                 if (!store_up || !instances.at(name).reaches_store)
                 {
                     answer(store_unavailable{});
                     return;
                 }
                 store_result const result = apply(request);
                 answer(chance(lose_answer) ? store_result{store_unavailable{}} : result);
             });
}

store_result control_simulation::apply(store_request const& request)
{
    auto const found = objects_.find(request.key);
    if (auto const* put = std::get_if<store_put>(&request.operation))
    {
        object_version const current = found == objects_.end() ? 0 : found->second.second;
        if (current != put->expected)
        {
            return store_conflict{};
        }
        objects_[request.key] = {put->value, ++last_version_};
        return store_written{last_version_};
    }
    if (found == objects_.end())
    {
        return store_absent{};
    }
    return store_found{found->second.first, found->second.second};
}

void control_simulation::on_order(simulated_instance const& node, send_order const& sent)
{
    std::vector<intent> const intents = record(node.data_centre).intents;
    bool const recorded = std::find(intents.begin(), intents.end(), sent.what.what) != intents.end();
    orders.push_back({node.id.name, sent.what, recorded});
    if (local_time(node) >= sent.what.lease_until)
    {
        violation = "order emitted without a lease by " + node.id.name;
    }
    order const what = sent.what;
    std::string const name = node.id.name;
    std::uint64_t const incarnation = node.id.incarnation;
    duration const delay =
        chance(late_order) ? random_duration(milliseconds{4900}) : random_duration(milliseconds{10});
    auto const arrive = [this, what, name, incarnation]
    {
        order_outcome outcome = execute_order(what);
        if (chance(lose_answer) && outcome.result != order_result::not_sent)
        {
            outcome = {what.what.id, order_result::unknown, 0, 0};
        }
        schedule(random_duration(milliseconds{10}),
                 [this, name, incarnation, outcome]
                 {
                     deliver(name, incarnation,
                             [outcome](engine_controller& c, steady_time t, outbox& o)
                             { c.on_order_outcome(t, outcome, o); });
                 });
    };
    if (chance(stall_order))
    {
        schedule(random_duration(seconds{20}),
                 [this, name, incarnation, arrive]
                 {
                     if (instances.at(name).alive && instances.at(name).id.incarnation == incarnation)
                     {
                         arrive();
                     }
                 });
        return;
    }
    if (hold_orders)
    {
        held_orders_.emplace_back(arrive);
        return;
    }
    schedule(delay + microseconds{1}, arrive);
}

void control_simulation::deliver_held_orders()
{
    hold_orders = false;
    for (auto const& arrive : std::exchange(held_orders_, {}))
    {
        arrive();
    }
}

order_outcome control_simulation::execute_order(order const& what)
{
    simulated_engine& engine = engines.at(what.what.engine);
    if (!engine.alive)
    {
        return {what.what.id, order_result::not_sent, 0, 0};
    }
    if (engine.checks_epoch && what.epoch < engine.highest_epoch)
    {
        return {what.what.id, order_result::refused_epoch, engine.report.boot_id, engine.report.revision};
    }
    engine.highest_epoch = std::max(engine.highest_epoch, what.epoch);
    engine_report& report = engine.report;
    bool const model = what.what.kind == order_kind::load_model || what.what.kind == order_kind::unload_model;
    bool const load = what.what.kind == order_kind::load_model || what.what.kind == order_kind::load_adapter;
    auto& contents = model ? report.models : report.adapters;
    bool const changes = (contents.count(what.what.subject) != 0) != load;
    if (changes)
    {
        if (load)
        {
            contents[what.what.subject] = what.what.bytes;
        }
        else
        {
            contents.erase(what.what.subject);
        }
        ++report.revision;
        engine.overcommitted = report.used_bytes() > report.memory_bytes;
        control_simulation::report(what.what.engine);
    }
    return {what.what.id, order_result::done, report.boot_id, report.revision};
}

void control_simulation::check()
{
    if (!violation.empty())
    {
        return;
    }
    std::map<std::string, std::string> holders;
    for (auto const& entry : instances)
    {
        simulated_instance const& node = entry.second;
        if (!node.alive || !node.controller->holds_lease(local_time(node)))
        {
            continue;
        }
        auto const first = holders.emplace(node.data_centre, entry.first);
        if (!first.second)
        {
            violation =
                "two holders of " + node.data_centre + ": " + first.first->second + " and " + entry.first;
        }
    }
    for (auto const& entry : engines)
    {
        if (entry.second.overcommitted)
        {
            violation = "memory of " + entry.first + " overcommitted";
        }
    }
    for (auto const& model : config.models)
    {
        unsigned granted = 0;
        for (auto const& row : quota_rows(model.first))
        {
            granted += row.second.granted;
        }
        if (check_bounds && granted > model.second.max_replicas)
        {
            violation = "too many grants of " + model.first;
        }
        if (check_bounds && replicas(model.first) > model.second.max_replicas)
        {
            violation = "too many replicas of " + model.first;
        }
    }
}

void control_simulation::send_heartbeats_and_lists()
{
    std::vector<listed_server> list;
    for (auto const& entry : engines)
    {
        if (entry.second.alive)
        {
            list.push_back({entry.first, "addr-" + entry.first, "", listed_kind::engine,
                            entry.second.data_centre, "pool", listed_state::live, entry.second.checks_epoch});
        }
        report(entry.first);
    }
    for (auto const& entry : instances)
    {
        if (entry.second.alive)
        {
            list.push_back({entry.first, "addr", "peer", listed_kind::instance, entry.second.data_centre, "",
                            listed_state::live, true});
        }
    }
    for (auto const& entry : instances)
    {
        std::string const name = entry.first;
        std::uint64_t const incarnation = entry.second.id.incarnation;
        schedule(random_duration(list_lag) + microseconds{1},
                 [this, name, incarnation, list]
                 {
                     deliver(name, incarnation,
                             [list](engine_controller& c, steady_time t, outbox& o)
                             { c.on_instances(t, list, o); });
                 });
        for (auto const& other : instances)
        {
            auto const pair = std::minmax(name, other.first);
            instance_id const from = other.second.id;
            bool const heard = other.second.alive && !other.second.paused && other.first != name &&
                               cut.count({pair.first, pair.second}) == 0;
            if (heard)
            {
                schedule(random_duration(milliseconds{20}) + microseconds{1},
                         [this, name, incarnation, from]
                         {
                             deliver(name, incarnation,
                                     [from](engine_controller& c, steady_time t, outbox&)
                                     { c.on_incarnation(t, from); });
                         });
            }
        }
    }
}

} // namespace siskinusher::testing
