#pragma once

#include "decision/request_controller.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace siskinusher
{

/// A configuration with the models m and n, the adapter x of m, and the service pay with the pool ledger.
inline std::shared_ptr<fleet_config> sample_config()
{
    auto config = std::make_shared<fleet_config>();
    config->generation = 1;
    config->data_centres = {"a", "b"};
    config->region_of = {{"a", "ra"}, {"b", "rb"}};
    for (char const* name : {"m", "n"})
    {
        model_config model;
        model.name = name;
        model.checkpoint = std::string("cp-") + name;
        model.load_time_ms = 4000;
        config->models[name] = model;
    }
    config->adapters["x"] = {"x", "m", 1};
    service_config pay;
    pay.name = "pay";
    pay.pool = "ledger";
    config->services["pay"] = pay;
    return config;
}

inline listed_server listed(std::string const& name, listed_kind kind = listed_kind::engine)
{
    listed_server row;
    row.name = name;
    row.address = name + ":80";
    row.kind = kind;
    row.data_centre = "a";
    row.pool = kind == listed_kind::service ? "ledger" : "engines";
    return row;
}

/// A report of a server that has the given models loaded. By default the server has four free places and has
/// not restarted (boot id 1).
inline engine_report report_of(std::string const& name, std::vector<std::string> const& models,
                               unsigned places = 4, std::uint64_t boot = 1)
{
    engine_report report;
    report.name = name;
    report.boot_id = boot;
    report.places = places;
    for (std::string const& model : models)
    {
        report.models[model] = 1;
    }
    return report;
}

inline member member_of(std::string const& name, std::string const& data_centre)
{
    return {{name, 1}, data_centre, name + ":80", name + ":90", false};
}

/// The request_controller of instance "i1" in data centre "a", with the actions of the last step in `out`.
struct request_fixture
{
    request_controller controller;
    steady_time now{seconds(100)};
    outbox out;
    request_number next = 1;
    std::vector<member> members{member_of("i1", "a"), member_of("i2", "a"), member_of("j1", "b")};

    explicit request_fixture(std::vector<listed_server> const& servers = {listed("e1"), listed("e2")},
                             std::shared_ptr<fleet_config> const& config = sample_config())
        : controller(request_settings{{"i1", 1}, "a"}, 7)
    {
        controller.on_members(now, members);
        controller.on_config(now, config, out);
        controller.on_instances(now, servers, out);
    }

    /// Leaves this instance as the only member.
    void remove_peers() { controller.on_members(now, {members.front()}); }

    static request_profile profile(std::string const& model = "m")
    {
        request_profile p;
        p.model = model;
        p.repeatable = true;
        p.time_to_deadline = seconds(30);
        return p;
    }
    static request_profile call(std::string const& key = {})
    {
        request_profile p;
        p.service = "pay";
        p.idempotency_key = key;
        p.body_digest = 5;
        p.time_to_deadline = seconds(30);
        return p;
    }

    request_number send(request_profile p)
    {
        out.clear();
        p.number = next++;
        if (p.fingerprint == 0)
        {
            p.fingerprint = 1000 + p.number;
        }
        controller.on_request(now, p, out);
        return p.number;
    }
    void report(engine_report const& r)
    {
        out.clear();
        controller.on_report(now, r, out);
    }
    void finish(request_number number, unsigned attempt, attempt_result result, bool dead = false,
                unsigned tokens = 0)
    {
        out.clear();
        attempt_finished finished;
        finished.number = number;
        finished.attempt = attempt;
        finished.result = result;
        finished.server_dead = dead;
        finished.delivered_tokens = tokens;
        finished.status = 201;
        finished.body = "paid";
        controller.on_attempt_finished(now, finished, out);
    }
    void peer(std::string const& from, peer_message const& message)
    {
        out.clear();
        controller.on_peer(now, {from, 1}, message, out);
    }
    void finish_recording(request_number number, call_start_outcome outcome)
    {
        out.clear();
        controller.on_call_start_result(now, {number, outcome, {}}, out);
    }
    void tick(duration step)
    {
        out.clear();
        now += step;
        controller.on_tick(now, out);
    }

    template <typename Action>
    std::vector<Action> all() const
    {
        std::vector<Action> found;
        for (action const& item : out)
        {
            if (auto const* const match = std::get_if<Action>(&item))
            {
                found.push_back(*match);
            }
        }
        return found;
    }
    template <typename Action>
    std::optional<Action> only(request_number number) const
    {
        std::optional<Action> found;
        for (Action const& item : all<Action>())
        {
            if (item.number == number)
            {
                cr_assert(!found.has_value(), "two actions of one kind for request %lu",
                          static_cast<unsigned long>(number));
                found = item;
            }
        }
        return found;
    }
    template <typename Message>
    std::vector<std::pair<std::string, Message>> messages() const
    {
        std::vector<std::pair<std::string, Message>> found;
        for (send_peer const& item : all<send_peer>())
        {
            if (auto const* const match = std::get_if<Message>(&item.message))
            {
                found.emplace_back(item.to, *match);
            }
        }
        return found;
    }
    std::string server_of(request_number number) const
    {
        auto const sent = only<dispatch>(number);
        return sent ? sent->server : std::string{};
    }
    bool refused(request_number number, refusal_reason reason, execution_verdict verdict) const
    {
        auto const said = only<refuse>(number);
        return said && said->answer.reason == reason && said->answer.execution == verdict;
    }
};

} // namespace siskinusher
