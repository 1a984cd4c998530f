#include "fleet/fake_fleet_parts.hpp"

#include "core/hash.hpp"
#include "core/invariant.hpp"

#include <algorithm>
#include <cstdio>

namespace siskinusher::testing
{

void fake_fleet::perform(fake_instance& from, send_peer const& what)
{
    ++messages_;
    if (!shape_.carries_summaries && std::holds_alternative<data_centre_summary>(what.message))
    {
        return;
    }
    std::string const sender = from.self.id.name;
    if (find_instance(what.to) == nullptr || !linked(sender, what.to) || random_.unit() < lose_messages)
    {
        return;
    }
    instance_id const id = from.self.id;
    std::string const target = what.to;
    peer_message const message = what.message;
    schedule(latency(sender, target),
             [this, id, target, message]
             {
                 if (linked(id.name, target))
                 {
                     feed(*instances_.at(target), peer_received{id, message});
                 }
             });
}

void fake_fleet::perform(fake_instance& from, store_request const& what)
{
    std::string const name = from.self.id.name;
    std::uint64_t const incarnation = from.self.id.incarnation;
    if (!linked(name, "platform"))
    {
        store_reply const reply{what.owner, what.tag, what.key, store_unavailable{}};
        schedule(call_timeout,
                 [this, name, incarnation, reply]
                 {
                     if (instances_.at(name)->self.id.incarnation == incarnation)
                     {
                         feed(*instances_.at(name), reply);
                     }
                 });
        return;
    }
    schedule(store_delay,
             [this, name, incarnation, what]
             {
                 fake_instance& instance = *instances_.at(name);
                 if (instance.running && instance.self.id.incarnation == incarnation)
                 {
                     call_store(instance, what);
                 }
                 else if (std::holds_alternative<store_put>(what.operation))
                 {
                     store.call(what); // The write was sent before its sender ended.
                     wake_watches(what.key);
                 }
             });
}

void fake_fleet::call_store(fake_instance& from, store_request const& what)
{
    std::string const name = from.self.id.name;
    std::uint64_t const incarnation = from.self.id.incarnation;
    if (auto const* const watch = std::get_if<store_watch>(&what.operation);
        watch != nullptr && !store.down && store.version_of(what.key) == watch->seen)
    {
        watches_.push_back({name, incarnation, what});
        schedule(watch_time,
                 [this, name, incarnation, what]
                 {
                     auto const same = [&](waiting_watch const& each)
                     {
                         return each.instance == name && each.incarnation == incarnation &&
                                each.request.tag == what.tag && each.request.owner == what.owner;
                     };
                     auto const found = std::find_if(watches_.begin(), watches_.end(), same);
                     if (found != watches_.end())
                     {
                         watches_.erase(found);
                         feed(*instances_.at(name),
                              store_reply{what.owner, what.tag, what.key, store_unchanged{}});
                     }
                 });
        return;
    }
    object_version const before = store.version_of(what.key);
    store_reply const reply = store.call(what);
    bool const unanswered = std::holds_alternative<store_unavailable>(reply.result);
    schedule(unanswered ? call_timeout : store_delay,
             [this, name, incarnation, reply]
             {
                 if (instances_.at(name)->self.id.incarnation == incarnation)
                 {
                     feed(*instances_.at(name), reply);
                 }
             });
    if (store.version_of(what.key) != before)
    {
        wake_watches(what.key);
    }
}

void fake_fleet::wake_watches(std::string const& key)
{
    std::vector<waiting_watch> woken;
    auto const matches = [&](waiting_watch const& each) { return each.request.key == key; };
    std::copy_if(watches_.begin(), watches_.end(), std::back_inserter(woken), matches);
    watches_.erase(std::remove_if(watches_.begin(), watches_.end(), matches), watches_.end());
    for (waiting_watch const& each : woken)
    {
        schedule(store_delay,
                 [this, each]
                 {
                     fake_instance& instance = *instances_.at(each.instance);
                     if (instance.running && instance.self.id.incarnation == each.incarnation &&
                         linked(each.instance, "platform"))
                     {
                         call_store(instance, each.request);
                     }
                 });
    }
}

bool fake_fleet::apply(fleet_config config, object_version seen)
{
    auto const* const current = store.find<config_object>("config");
    config.generation = configs_.size() + 1;
    config.data_centres = configs_.back()->data_centres;
    config.region_of = configs_.back()->region_of;
    if (store.down || current == nullptr)
    {
        return false;
    }
    store_reply const reply =
        store.call({store_owner::configuration, 0, "config",
                    store_put{seen, config_object{config.generation, std::to_string(config.generation)}}});
    if (std::holds_alternative<store_conflict>(reply.result))
    {
        return false;
    }
    configs_.push_back(std::make_shared<fleet_config const>(config));
    accepted_at_.push_back(now_);
    wake_watches("config");
    return true;
}

void fake_fleet::perform(fake_instance& from, parse_config const& what)
{
    std::uint64_t const generation = what.object.generation;
    if (generation == 0 || generation > configs_.size())
    {
        return;
    }
    std::string const name = from.self.id.name;
    schedule(milliseconds{1},
             [this, name, object = what.object, generation] {
                 feed(*instances_.at(name), config_parsed{configs_[generation - 1], object});
             });
}

std::vector<listed_server> fake_fleet::listing() const
{
    std::vector<listed_server> result;
    for (auto const& each : instances_)
    {
        if (each.second->running || now_ < steady_time{seconds{1001}})
        {
            listed_server row;
            row.name = each.first;
            row.address = each.first;
            row.peer_address = each.first;
            row.kind = listed_kind::instance;
            row.data_centre = each.second->self.data_centre;
            row.state = each.second->draining ? listed_state::leaving : listed_state::live;
            result.push_back(row);
        }
    }
    for (auto const& each : servers_)
    {
        listed_server row = each.second->listed;
        row.state = each.second->leaving_since ? listed_state::leaving : listed_state::live;
        result.push_back(row);
    }
    return result;
}

void fake_fleet::send_lists()
{
    listings_.emplace_back(now_, listing());
    while (listings_.size() > 1 && listings_[1].first <= now_ - shape_.list_lag)
    {
        listings_.pop_front();
    }
    for (auto const& each : instances_)
    {
        if (each.second->running && linked(each.first, "platform"))
        {
            feed(*each.second, instance_list_received{listings_.front().second});
        }
    }
    schedule(seconds{1}, [this] { send_lists(); });
}

} // namespace siskinusher::testing
