#include "fleet/fake_fleet_parts.hpp"

#include "core/hash.hpp"
#include "core/invariant.hpp"

#include <algorithm>
#include <cstdio>

namespace siskinusher::testing
{

std::size_t fake_fleet::submit(std::string const& name, caller_request const& request)
{
    fake_instance& instance = *instances_.at(name);
    std::size_t const position = outcomes_.size();
    request_outcome outcome;
    outcome.request = request;
    outcome.instance = name;
    outcome.sent = now_;
    outcome.number = instance.next_number++;
    outcomes_.push_back(outcome);
    if (!instance.running)
    {
        outcomes_.back().state = final_state::instance_lost;
        return position;
    }
    outcome_of_[{instance.run_name(), outcome.number}] = position;
    request_profile profile;
    profile.number = outcome.number;
    profile.service = request.service;
    profile.model = request.model;
    profile.adapter = request.adapter;
    profile.request_rank = request.request_rank;
    profile.time_to_deadline = request.time_to_deadline;
    profile.repeatable = request.repeatable;
    profile.idempotency_key = request.key;
    profile.body_digest = stable_hash(std::to_string(request.body));
    profile.fingerprint =
        stable_hash(request.model + "/" + request.service + "/" + std::to_string(request.body));
    profile.prefix_hash = profile.fingerprint;
    feed(instance, request_arrived{profile});
    return position;
}

void fake_fleet::perform(fake_instance& from, dispatch const& what)
{
    auto const found = outcome_of_.find({from.run_name(), what.number});
    if (found == outcome_of_.end())
    {
        violation("an instance dispatched an unknown request " + std::to_string(what.number));
        return;
    }
    work_item item;
    item.key = {from.self.id.name, from.self.id.incarnation, what.number, what.attempt};
    item.outcome = found->second;
    item.request = outcomes_[found->second].request;
    item.continue_from = what.continue_from_token;
    if (from.kill_in_call && !item.request.key.empty())
    {
        bool const sent = *std::exchange(from.kill_in_call, std::nullopt);
        // A plain service runs a call for 5 ms, so its answer is still on the way 2 ms after the call.
        schedule(sent ? milliseconds{2} : duration{0}, [this, at = from.self.id.name] { kill(at); });
        if (!sent)
        {
            return;
        }
    }
    auto const server = servers_.find(what.server);
    if (server == servers_.end() || !server->second->running)
    {
        attempt_key const key = item.key;
        schedule(local_latency, [this, key] { end_attempt(key, attempt_result::not_sent, nullptr, 0); });
        return;
    }
    if (server->second->silent || !linked(from.self.id.name, what.server))
    {
        attempt_key const key = item.key;
        schedule(silence_limit, [this, key] { end_attempt(key, attempt_result::silent, nullptr, 0); });
        return;
    }
    std::string const name = what.server;
    region_requests_ += server->second->listed.data_centre == from.self.data_centre ? 0U : 1U;
    schedule(latency(from.self.id.name, name), [this, name, item] { receive_work(name, item); });
    attempt_key const key = item.key;
    schedule(what.time_left, [this, name, key] { end_without_first_byte(name, key); });
}

// Does what the adapter does at the deadline: an attempt without a first byte of an answer ends, and the
// server's work is cancelled.
void fake_fleet::end_without_first_byte(std::string const& name, attempt_key const& key)
{
    fake_server& server = *servers_.at(name);
    std::vector<std::deque<work_item>*> queues{&server.waiting_for_load};
    for (auto& waiting : server.waiting)
    {
        queues.push_back(&waiting);
    }
    for (std::deque<work_item>* const queue : queues)
    {
        auto const same = [&](work_item const& each) { return !(each.key < key) && !(key < each.key); };
        auto const found = std::find_if(queue->begin(), queue->end(), same);
        if (found != queue->end())
        {
            queue->erase(found);
            end_attempt(key, attempt_result::silent, nullptr, 0);
            return;
        }
    }
    auto const active = server.active.find(key);
    if (active != server.active.end() && !outcomes_[active->second.outcome].first_token)
    {
        server.active.erase(active);
        end_attempt(key, attempt_result::silent, nullptr, 0);
        start_waiting_work(server);
    }
}

void fake_fleet::perform(fake_instance& from, forward const& what)
{
    attempt_key const origin{from.self.id.name, from.self.id.incarnation, what.number, what.attempt};
    auto const found = outcome_of_.find({from.run_name(), what.number});
    std::string const target = what.instance;
    if (found == outcome_of_.end() || find_instance(target) == nullptr || !find_instance(target)->running ||
        !linked(from.self.id.name, target))
    {
        schedule(milliseconds{500},
                 [this, origin] { end_attempt(origin, attempt_result::not_sent, nullptr, 0); });
        return;
    }
    std::size_t const position = found->second;
    ++region_requests_;
    duration const left = what.time_left;
    watch_forward(origin, target, now_ + left);
    schedule(latency(from.self.id.name, target),
             [this, origin, target, position, left]
             {
                 fake_instance& instance = *instances_.at(target);
                 if (!instance.running)
                 {
                     end_attempt(origin, attempt_result::not_sent, nullptr, 0);
                     return;
                 }
                 caller_request const& request = outcomes_[position].request;
                 request_number const number = instance.next_number++;
                 outcome_of_[{instance.run_name(), number}] = position;
                 forwarded_from_[{instance.run_name(), number}] = origin;
                 request_profile profile;
                 profile.number = number;
                 profile.model = request.model;
                 profile.adapter = request.adapter;
                 profile.service = request.service;
                 profile.request_rank = request.request_rank;
                 profile.time_to_deadline = left;
                 profile.repeatable = request.repeatable;
                 profile.fingerprint =
                     stable_hash(request.model + "/" + request.service + "/" + std::to_string(request.body));
                 profile.forwarded = true;
                 feed(instance, request_arrived{profile});
             });
}

// Does what the adapter does with a forwarded attempt: ends it at the deadline if no first byte has arrived,
// and also later when the target becomes silent.
void fake_fleet::watch_forward(attempt_key const& origin, std::string const& target, steady_time deadline)
{
    schedule(silence_limit,
             [this, origin, target, deadline]
             {
                 auto const same = [&](auto const& each)
                 { return !(each.second < origin) && !(origin < each.second); };
                 auto const found = std::find_if(forwarded_from_.begin(), forwarded_from_.end(), same);
                 if (found == forwarded_from_.end())
                 {
                     return;
                 }
                 fake_instance const& at = *instances_.at(target);
                 std::size_t const position = outcome_of_.at(found->first);
                 bool const silent = !at.running || at.paused || !linked(origin.instance, target);
                 bool const late = now_ >= deadline && !outcomes_[position].first_token;
                 if (silent || late)
                 {
                     forwarded_from_.erase(found);
                     end_attempt(origin, attempt_result::silent, nullptr, 0);
                     return;
                 }
                 watch_forward(origin, target, deadline);
             });
}

void fake_fleet::receive_work(std::string const& name, work_item item)
{
    fake_server& server = *servers_.at(name);
    if (!server.running)
    {
        end_attempt(item.key, attempt_result::not_sent, nullptr, 0);
        return;
    }
    if (server.leaving_since && now_ - *server.leaving_since > leaving_grace + region_latency)
    {
        violation("I7 new request at leaving server " + name);
    }
    if (server.loading.count(item.request.model) != 0)
    {
        server.waiting_for_load.push_back(std::move(item));
        return;
    }
    if (server.listed.kind == listed_kind::engine && server.models.count(item.request.model) == 0)
    {
        end_attempt(item.key, attempt_result::refused_not_run, &server, 0);
        return;
    }
    if (server.active.size() >= shape_.places)
    {
        if (server.waiting_count() >= engine_queue)
        {
            end_attempt(item.key, attempt_result::refused_not_run, &server, 0);
            return;
        }
        server.waiting.at(index_of(item.request.request_rank)).push_back(std::move(item));
        return;
    }
    start_work(server, std::move(item));
}

void fake_fleet::start_work(fake_server& server, work_item item)
{
    request_outcome& outcome = outcomes_[item.outcome];
    ++outcome.executions;
    if (!outcome.started)
    {
        outcome.started = now_;
    }
    if (load_record* const load = last_load(server.listed.name, item.request.model))
    {
        load->used = true;
    }
    if (!item.request.key.empty() && !item.request.repeatable)
    {
        unsigned const times = ++executions_of_key_[item.request.key];
        if (times > 1)
        {
            violation("I6 key " + item.request.key + " ran " + std::to_string(times) + " times");
        }
    }
    else if (!item.request.repeatable && outcome.executions > 1)
    {
        violation("I6 call without a key ran twice");
    }
    std::string const name = server.listed.name;
    std::uint64_t const boot = server.boot;
    attempt_key const key = item.key;
    if (server.listed.kind == listed_kind::engine && crashing_bodies.count(item.request.body) != 0)
    {
        ++crashes_[item.request.body];
        server.active[key] = std::move(item);
        schedule(milliseconds{50},
                 [this, name, boot]
                 {
                     if (servers_.at(name)->boot == boot && servers_.at(name)->running)
                     {
                         crash_server(*servers_.at(name), seconds{5});
                     }
                 });
        return;
    }
    duration time = milliseconds{5};
    if (server.listed.kind == listed_kind::engine)
    {
        duration adapter{0};
        if (!item.request.adapter.empty() && server.adapters.count(item.request.adapter) == 0)
        {
            adapter = milliseconds{8};
        }
        unsigned const tokens =
            item.request.tokens > item.continue_from ? item.request.tokens - item.continue_from : 1;
        time = shape_.prefill + adapter + shape_.token_interval * tokens;
        std::size_t const position = item.outcome;
        schedule(shape_.prefill + adapter,
                 [this, position, name, boot, key] { send_first_token(name, boot, key, position); });
    }
    server.active[key] = std::move(item);
    schedule(time, [this, name, boot, key] { finish_work(name, boot, key); });
}

void fake_fleet::send_first_token(std::string const& name, std::uint64_t boot, attempt_key const& key,
                                  std::size_t position)
{
    fake_server const& server = *servers_.at(name);
    bool const running = server.boot == boot && server.running && server.active.count(key) != 0;
    if (!running || server.silent || !linked(key.instance, name))
    {
        return;
    }
    if (!outcomes_[position].first_token)
    {
        outcomes_[position].first_token = now_;
    }
    attempt_key at = key;
    fake_instance* instance = find_instance(at.instance);
    for (auto origin = forwarded_from_.find({instance->run_name(), at.number});
         origin != forwarded_from_.end(); origin = forwarded_from_.find({instance->run_name(), at.number}))
    {
        feed(*instance, attempt_progress{at.number, at.attempt});
        at = origin->second;
        instance = find_instance(at.instance);
    }
    feed(*instance, attempt_progress{at.number, at.attempt});
}

void fake_fleet::finish_work(std::string const& name, std::uint64_t boot, attempt_key const& key)
{
    fake_server& server = *servers_.at(name);
    if (server.boot != boot || !server.running || server.active.erase(key) == 0)
    {
        return;
    }
    bool const lost = server.silent || !linked(key.instance, name) ||
                      (server.listed.kind == listed_kind::service && random_.unit() < lose_answers);
    if (lost)
    {
        schedule(silence_limit, [this, key] { end_attempt(key, attempt_result::silent, nullptr, 0); });
    }
    else
    {
        end_attempt(key, attempt_result::answered, &server, 0);
    }
    start_waiting_work(server);
}

void fake_fleet::start_waiting_work(fake_server& server)
{
    for (auto& waiting : server.waiting)
    {
        while (!waiting.empty() && server.active.size() < shape_.places)
        {
            work_item item = std::move(waiting.front());
            waiting.pop_front();
            start_work(server, std::move(item));
        }
    }
}

void fake_fleet::end_attempt(attempt_key const& key, attempt_result result, fake_server const* server,
                             unsigned tokens)
{
    attempt_finished done;
    done.number = key.number;
    done.attempt = key.attempt;
    done.result = result;
    done.delivered_tokens = tokens;
    if (server != nullptr)
    {
        done.boot_id = server->boot;
        done.server_dead = !server->running;
    }
    if (result == attempt_result::answered)
    {
        done.status = 200;
        done.body = "answer";
    }
    schedule(local_latency,
             [this, key, done]
             {
                 fake_instance* const instance = find_instance(key.instance);
                 if (instance == nullptr || !instance->running ||
                     instance->self.id.incarnation != key.incarnation)
                 {
                     return;
                 }
                 auto const known = outcome_of_.find({instance->run_name(), key.number});
                 bool const late = known != outcome_of_.end() && outcomes_[known->second].final_answers > 0;
                 if (done.result == attempt_result::answered && !late)
                 {
                     finish_request(*instance, key.number, final_state::answered, {});
                 }
                 feed(*instance, done);
             });
}

void fake_fleet::perform(fake_instance& from, refuse const& what)
{
    finish_request(from, what.number, final_state::refused, what.answer);
}

void fake_fleet::perform(fake_instance& from, replay_answer const& what)
{
    finish_request(from, what.number, final_state::answered, {});
}

void fake_fleet::finish_request(fake_instance& at, request_number number, final_state state,
                                refusal const& why)
{
    auto const slot = std::make_pair(at.run_name(), number);
    if (auto const origin = forwarded_from_.find(slot); origin != forwarded_from_.end())
    {
        attempt_key const key = origin->second;
        forwarded_from_.erase(origin);
        attempt_result const result = state == final_state::answered ? attempt_result::answered
                                      : why.execution == execution_verdict::not_run
                                          ? attempt_result::refused_not_run
                                          : attempt_result::connection_lost;
        schedule(region_latency, [this, key, result] { end_attempt(key, result, nullptr, 0); });
        return;
    }
    auto const found = outcome_of_.find(slot);
    if (found != outcome_of_.end() && outcomes_[found->second].instance != at.self.id.name)
    {
        return; // The request was forwarded here, and the instance that forwarded it has ended the attempt.
    }
    if (found == outcome_of_.end())
    {
        violation("an instance answered an unknown request");
        return;
    }
    request_outcome& outcome = outcomes_[found->second];
    if (++outcome.final_answers > 1)
    {
        violation("I3 request " + std::to_string(number) + " at " + at.self.id.name + " got two answers");
        return;
    }
    outcome.state = state;
    outcome.why = why;
    outcome.ended = now_;
    if (state == final_state::refused && why.execution == execution_verdict::not_run &&
        outcome.executions > 0)
    {
        violation("I5 request " + std::to_string(number) + " was refused as not_run (" +
                  std::string(to_string(why.reason)) + ") but has run");
    }
}

} // namespace siskinusher::testing
