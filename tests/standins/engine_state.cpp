#include "tests/standins/engine_state.hpp"

#include "tests/standins/http_call.hpp"

#include <thread>

namespace siskinusher::standins
{

using nlohmann::json;
using std::chrono::milliseconds;

namespace
{

// Invariant I7: a leaving backend server gets no new work after 3 seconds.
constexpr auto leaving_grace = std::chrono::seconds{3};

constexpr double bytes_in_gib = 1024.0 * 1024.0 * 1024.0;

json bytes_of(std::map<std::string, std::uint64_t> const& values)
{
    return values.empty() ? json::object() : json(values);
}

} // namespace

engine_state::engine_state(engine_settings settings, std::uint64_t boot_id)
    : settings_(std::move(settings)), boot_id_(boot_id), check_epoch_(settings_.check_epoch),
      checkpoints_(settings_.checkpoints),
      violations_({{"memory_overcommitted", 0}, {"old_epoch_order", 0}, {"work_after_leaving", 0}}),
      counts_({{"completed", 0},
               {"refused", 0},
               {"cancelled", 0},
               {"loads", 0},
               {"unloads", 0},
               {"orders_refused", 0}})
{
}

order_answer engine_state::take_order(engine_order const& order)
{
    lock_type lock(mutex_);
    order_answer answer;
    if (order.epoch < highest_epoch_ && check_epoch_)
    {
        answer = {409, revision_,
                  "epoch " + std::to_string(order.epoch) + " is older than " +
                      std::to_string(highest_epoch_)};
    }
    else
    {
        violations_["old_epoch_order"] += order.epoch < highest_epoch_ ? 1 : 0;
        highest_epoch_ = std::max(highest_epoch_, order.epoch);
        if (order.kind == "load_model" || order.kind == "load_adapter")
        {
            bool const is_model = order.kind == "load_model";
            answer = load(lock, is_model ? models_ : adapters_, order, is_model);
        }
        else if (order.kind == "unload_model" || order.kind == "unload_adapter")
        {
            answer = unload(order.kind == "unload_model" ? models_ : adapters_, order);
        }
        else
        {
            answer = {422, revision_, "unknown order kind " + order.kind};
        }
    }
    counts_["orders_refused"] += answer.status == 200 ? 0 : 1;
    return answer;
}

order_answer engine_state::load(lock_type& lock, item_table& items, engine_order const& order, bool is_model)
{
    if (items.count(order.subject) != 0)
    {
        changed_.wait(lock, [&] { return items.count(order.subject) == 0 || items[order.subject].loaded; });
        return items.count(order.subject) != 0 ? done()
                                               : order_answer{422, revision_, "unloaded while the load ran"};
    }
    if (used_bytes() + order.bytes > settings_.memory_bytes)
    {
        if (settings_.enforce_memory)
        {
            return {507, revision_, "no memory for " + order.subject};
        }
        ++violations_["memory_overcommitted"];
    }
    items[order.subject].bytes = order.bytes;
    ++revision_;
    run_load(lock, order, is_model);
    items[order.subject].loaded = true;
    ++revision_;
    ++counts_["loads"];
    if (is_model)
    {
        // A fetched checkpoint stays on the local disk.
        checkpoints_.emplace(order.subject + settings_.checkpoint_suffix, "disk");
    }
    changed_.notify_all();
    return done();
}

void engine_state::run_load(lock_type& lock, engine_order const& order, bool is_model)
{
    auto const found = checkpoints_.find(order.subject + settings_.checkpoint_suffix);
    std::string const tier = is_model && found != checkpoints_.end() ? found->second : "remote";
    double const size = static_cast<double>(order.bytes) / bytes_in_gib;
    lock.unlock();
    if (!is_model)
    {
        fetch(order.subject, false, settings_.adapter_load);
    }
    else if (tier == "remote")
    {
        fetch(order.subject, true, duration_ms{size * settings_.remote_load_ms});
    }
    else
    {
        bool const in_memory = tier == "memory";
        std::this_thread::sleep_for(
            duration_ms{size * (in_memory ? settings_.memory_load_ms : settings_.disk_load_ms)});
    }
    lock.lock();
}

void engine_state::fetch(std::string const& subject, bool is_model, duration_ms at_full_speed) const
{
    if (settings_.weight_store.empty())
    {
        std::this_thread::sleep_for(at_full_speed);
        return;
    }
    json const ask{
        {"engine", settings_.name}, {"subject", subject}, {"kind", is_model ? "model" : "adapter"}};
    auto const answer = http_call(settings_.weight_store, "POST", "/weights/loads", ask.dump());
    auto const parsed = json::parse(answer ? answer->body : "", nullptr, false);
    auto const grant = parsed.is_object() ? parsed : json::object();
    std::this_thread::sleep_for(milliseconds{grant.value("wait_ms", 0)} +
                                at_full_speed * grant.value("slowdown", 1.0));
    http_call(settings_.weight_store, "DELETE", "/weights/loads/" + grant.value("id", std::string("0")));
}

order_answer engine_state::unload(item_table& items, engine_order const& order)
{
    auto const found = items.find(order.subject);
    if (found == items.end())
    {
        return done();
    }
    if (!found->second.loaded || found->second.users > 0)
    {
        return {422, revision_, order.subject + " is in use or still loading"};
    }
    items.erase(found);
    ++revision_;
    ++counts_["unloads"];
    changed_.notify_all();
    return done();
}

admission engine_state::admit(std::string const& request, std::string const& model,
                              std::string const& adapter, unsigned priority,
                              std::function<bool()> const& caller_gone)
{
    lock_type lock(mutex_);
    if (!present(model, adapter))
    {
        ++counts_["refused"];
        return admission::not_loaded;
    }
    if (waiting_.size() >= settings_.queue_limit)
    {
        ++counts_["refused"];
        return admission::queue_full;
    }
    if (leaving_ && clock::now() > leaving_since_ + leaving_grace)
    {
        ++violations_["work_after_leaving"];
    }
    queue_entry const own{priority, arrivals_++, model, adapter};
    waiting_.insert(own);
    requests_[request] = false;
    change_users(model, adapter, 1);
    while (!is_next(own))
    {
        changed_.wait_for(lock, milliseconds{50});
        if (requests_[request] || caller_gone())
        {
            waiting_.erase(own);
            requests_.erase(request);
            change_users(model, adapter, -1);
            ++counts_["cancelled"];
            changed_.notify_all();
            return admission::caller_gone;
        }
    }
    waiting_.erase(own);
    ++running_;
    changed_.notify_all();
    return admission::running;
}

void engine_state::finish(std::string const& request, std::string const& model, std::string const& adapter)
{
    {
        lock_type const lock(mutex_);
        --running_;
        change_users(model, adapter, -1);
        ++counts_[requests_[request] ? "cancelled" : "completed"];
        requests_.erase(request);
    }
    changed_.notify_all();
}

bool engine_state::cancel(std::string const& request)
{
    lock_type const lock(mutex_);
    auto const found = requests_.find(request);
    if (found == requests_.end())
    {
        return false;
    }
    found->second = true;
    changed_.notify_all();
    return true;
}

bool engine_state::cancelled(std::string const& request) const
{
    lock_type const lock(mutex_);
    auto const found = requests_.find(request);
    return found != requests_.end() && found->second;
}

json engine_state::report()
{
    lock_type const lock(mutex_);
    auto const now = clock::now();
    if (last_report_.is_null() || now - reported_at_ > settings_.report_lag)
    {
        last_report_ = make_report();
        reported_at_ = now;
    }
    return last_report_;
}

json engine_state::make_report() const
{
    std::map<std::string, std::uint64_t> models;
    std::map<std::string, std::uint64_t> adapters;
    for (auto const& entry : models_)
    {
        models[entry.first] = entry.second.bytes;
    }
    for (auto const& entry : adapters_)
    {
        adapters[entry.first] = entry.second.bytes;
    }
    return {{"name", settings_.name},
            {"boot_id", boot_id_},
            {"revision", revision_},
            {"leaving", leaving_},
            {"memory_bytes", settings_.memory_bytes},
            {"prefix_cache_bytes", settings_.prefix_cache_bytes},
            {"import_bytes", 0},
            {"places", settings_.places},
            {"running", running_},
            {"waiting", waiting_.size()},
            {"models", bytes_of(models)},
            {"adapters", bytes_of(adapters)},
            {"in_use", users_by_item()},
            {"checkpoints", checkpoints_.empty() ? json::object() : json(checkpoints_)},
            {"violations", violations_},
            {"counts", counts_}};
}

void engine_state::set_leaving(bool leaving)
{
    lock_type const lock(mutex_);
    leaving_ = leaving;
    leaving_since_ = clock::now();
    ++revision_;
}

void engine_state::ignore_epoch()
{
    lock_type const lock(mutex_);
    check_epoch_ = false;
}

bool engine_state::present(std::string const& model, std::string const& adapter) const
{
    return models_.count(model) != 0 && (adapter.empty() || adapters_.count(adapter) != 0);
}

bool engine_state::ready(std::string const& model, std::string const& adapter) const
{
    return models_.at(model).loaded && (adapter.empty() || adapters_.at(adapter).loaded);
}

bool engine_state::is_next(queue_entry const& own) const
{
    if (running_ >= settings_.places || !ready(std::get<2>(own), std::get<3>(own)))
    {
        return false;
    }
    for (auto const& other : waiting_)
    {
        if (other == own)
        {
            return true;
        }
        if (ready(std::get<2>(other), std::get<3>(other)))
        {
            return false;
        }
    }
    return false;
}

void engine_state::change_users(std::string const& model, std::string const& adapter, int change)
{
    models_.at(model).users += static_cast<unsigned>(change);
    if (!adapter.empty())
    {
        adapters_.at(adapter).users += static_cast<unsigned>(change);
    }
}

json engine_state::users_by_item() const
{
    json result = json::object();
    for (auto const* items : {&models_, &adapters_})
    {
        for (auto const& entry : *items)
        {
            if (entry.second.users > 0)
            {
                result[entry.first] = entry.second.users;
            }
        }
    }
    return result;
}

std::uint64_t engine_state::used_bytes() const
{
    std::uint64_t total = settings_.prefix_cache_bytes;
    for (auto const* items : {&models_, &adapters_})
    {
        for (auto const& entry : *items)
        {
            total += entry.second.bytes;
        }
    }
    return total;
}

} // namespace siskinusher::standins
