#pragma once

#include "core/random_source.hpp"
#include "decision/load_planner.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace siskinusher
{

/// Simulates engines under a rotation planner in virtual time. The engines carry out one order at a time,
/// check the order sequence, take as long for a load as the nearest copy allows, and write entries to the
/// store.
class load_planner_simulation
{
public:
    struct engine
    {
        backend_entry entry;
        std::set<std::string> models;
        std::set<std::pair<std::string, std::string>> adapters;
        std::uint64_t sequence = 0;
        std::optional<engine_order> current_order;
        std::int64_t done_at = 0;
        std::vector<std::string> copy_order; ///< Models with a copy on disk, oldest copy first.
        /// An unload waits until this time, in ms, for the model's running requests.
        std::int64_t requests_run_until = 0;
    };

    load_planner_simulation(std::uint64_t seed, unsigned engines, unsigned models)
        : random(seed), planner({}), standby({})
    {
        auto made = std::make_shared<serving_config>();
        service_profile service;
        service.name = "llm";
        service.engine.emplace();
        service.engine->memory_mb = 200000;
        service.engine->adapter_places = 8;
        service.engine->store_loads_per_s = 4.5;
        for (unsigned i = 0; i < models; ++i)
        {
            model_profile model;
            model.name = "m" + std::to_string(i);
            model.weights_mb = i % 3 == 0 ? 34300 : 72700;
            model.load_from_memory = milliseconds{400};
            model.load_from_disk = milliseconds{800};
            model.load_from_store = seconds{6};
            model.adapters = i == 0 ? 20 : 0;
            model.adapter_mb = 66;
            service.engine->models.push_back(model);
        }
        made->services.push_back(service);
        config = made;
        planner.on_config(config);
        standby.on_config(config);
        for (unsigned i = 0; i < engines; ++i)
        {
            engine each;
            each.entry.name = "e" + std::to_string(i);
            each.entry.address = each.entry.name;
            each.entry.service = "llm";
            each.entry.places = 64;
            each.entry.is_engine = true;
            each.entry.started_at = 1;
            engines_by_name[each.entry.name] = each;
            publish(engines_by_name[each.entry.name]);
        }
        planner.begin_lease(now(), earlier_orders::own_only);
    }

    steady_time now() const { return steady_time(milliseconds{ms}); }

    double used_mb(engine const& each) const
    {
        double sum = 0.0;
        for (std::string const& model : each.models)
        {
            sum += find_model(*config->services[0].engine, model)->weights_mb;
        }
        if (each.current_order && each.current_order->kind == order_kind::load_model)
        {
            sum += find_model(*config->services[0].engine, each.current_order->model)->weights_mb;
        }
        return sum;
    }

    void publish(engine& each)
    {
        each.entry.models.clear();
        for (std::string const& model : each.models)
        {
            each.entry.models.push_back({model, {}});
        }
        if (!store_down)
        {
            stored_entries[each.entry.name] = each.entry;
            planner.on_backend(now(), each.entry);
            standby.on_backend(now(), each.entry);
        }
    }

    /// The engine starts again under its name, empty.
    void restart(std::string const& name)
    {
        engine& each = engines_by_name[name];
        each.models.clear();
        each.adapters.clear();
        each.current_order.reset();
        each.sequence = 0;
        ++each.entry.started_at;
        publish(each);
    }

    /// The other planner, which knows the entries only, becomes the lease holder.
    void hand_over()
    {
        holder = holder == &planner ? &standby : &planner;
        holder->begin_lease(now(), earlier_orders::of_other_holders);
    }

    /// Lists the stored entries again, as after an outage of the store.
    void relist_entries()
    {
        for (auto const& [name, entry] : stored_entries)
        {
            planner.on_backend(now(), entry);
            standby.on_backend(now(), entry);
        }
    }

    engine_order_result accept_order(engine_order const& order)
    {
        engine& each = engines_by_name[order.engine];
        if (each.current_order || order.expected_sequence != each.sequence)
        {
            return engine_order_result::conflict;
        }
        bool const holds = each.models.count(order.model) > 0;
        if (order.kind != order_kind::load_model && !holds)
        {
            return engine_order_result::refused;
        }
        if (order.kind == order_kind::load_model && holds)
        {
            return engine_order_result::already_holds;
        }
        ++each.sequence;
        ++orders;
        if (order.kind == order_kind::unload_adapter)
        {
            each.adapters.erase({order.model, order.adapter});
            return engine_order_result::already_holds;
        }
        if (order.kind == order_kind::load_adapter)
        {
            each.adapters.insert({order.model, order.adapter});
            overcommitted =
                overcommitted || each.adapters.size() > config->services[0].engine->adapter_places;
            return engine_order_result::accepted;
        }
        each.current_order = order;
        if (order.kind == order_kind::unload_model)
        {
            each.done_at = std::max<std::int64_t>(ms + 1, each.requests_run_until);
            return engine_order_result::accepted;
        }
        bool const on_disk = each.entry.copies_on_disk.count(order.model) > 0;
        store_loads += on_disk ? 0 : 1;
        each.done_at = ms + (on_disk ? 800 : 6000);
        overcommitted = overcommitted || used_mb(each) > 200000;
        return engine_order_result::accepted;
    }

    // A full disk drops the copy that was written first.
    void keep_copy(engine& each, std::string const& model) const
    {
        if (each.entry.copies_on_disk.insert(model).second)
        {
            each.copy_order.push_back(model);
        }
        if (each.copy_order.size() > copies_per_disk)
        {
            each.entry.copies_on_disk.erase(each.copy_order.front());
            each.copy_order.erase(each.copy_order.begin());
        }
    }

    static void remove_adapters(engine& each, std::string const& model)
    {
        for (auto adapter = each.adapters.begin(); adapter != each.adapters.end();)
        {
            adapter = adapter->first == model ? each.adapters.erase(adapter) : std::next(adapter);
        }
    }

    void advance(std::int64_t span)
    {
        for (std::int64_t const end = ms + span; ms < end; ms += 10)
        {
            for (auto& [name, each] : engines_by_name)
            {
                if (each.current_order && ms >= each.done_at)
                {
                    engine_order const order = *each.current_order;
                    each.current_order.reset();
                    if (order.kind == order_kind::load_model)
                    {
                        each.models.insert(order.model);
                        keep_copy(each, order.model);
                    }
                    else
                    {
                        each.models.erase(order.model);
                        remove_adapters(each, order.model);
                    }
                    publish(each);
                }
            }
            if (ms % 50 == 0 && planning)
            {
                plan();
            }
        }
    }

    void plan()
    {
        for (planner_action const& step : holder->plan(now()))
        {
            if (auto const* const order = std::get_if<engine_order>(&step))
            {
                holder->on_order_result(now(), *order, accept_order(*order));
                continue;
            }
            answer_inquiry(std::get<engine_inquiry>(step));
        }
    }

    void answer_inquiry(engine_inquiry const& inquiry)
    {
        engine const& each = engines_by_name[inquiry.engine];
        engine_state_report report;
        report.engine = each.entry.name;
        report.order_sequence = each.sequence;
        report.busy = each.current_order.has_value();
        for (std::string const& model : each.models)
        {
            resident_model resident{model, {}};
            for (auto const& [of_model, adapter] : each.adapters)
            {
                if (of_model == model)
                {
                    resident.adapters.insert(adapter);
                }
            }
            report.models.push_back(std::move(resident));
        }
        ++inquiries;
        holder->on_report(now(), report);
    }

    void report_demand(std::string const& model, unsigned waiting, unsigned arrivals = 1,
                       unsigned priority = 2)
    {
        holder->on_demand(now(), {"i", "i:1", {{"llm", model, "", priority, waiting, 0, arrivals}}, {}});
    }

    bool held(std::string const& model) const
    {
        return std::any_of(engines_by_name.begin(), engines_by_name.end(),
                           [&model](auto const& each) { return each.second.models.count(model) > 0; });
    }

    unsigned loads_from_store_at_once() const
    {
        return static_cast<unsigned>(std::count_if(
            engines_by_name.begin(), engines_by_name.end(),
            [](auto const& item)
            {
                engine const& each = item.second;
                return each.current_order && each.current_order->kind == order_kind::load_model &&
                       each.entry.copies_on_disk.count(each.current_order->model) == 0;
            }));
    }

    random_source random;
    std::shared_ptr<serving_config const> config;
    load_planner planner;
    load_planner standby;
    load_planner* holder = &planner;
    std::map<std::string, engine> engines_by_name;
    std::map<std::string, backend_entry> stored_entries;
    std::int64_t ms = 1000;  ///< The virtual time.
    bool store_down = false; ///< Engines cannot write their entries.
    bool planning = true;
    bool overcommitted = false;
    std::size_t copies_per_disk = 1000;
    unsigned store_loads = 0;
    unsigned orders = 0;
    unsigned inquiries = 0;
};

} // namespace siskinusher
