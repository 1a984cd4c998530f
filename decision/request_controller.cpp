#include "decision/request_controller.hpp"

#include "decision/request_controller_impl.hpp"

#include <utility>
#include <variant>

namespace siskinusher
{

namespace
{

template <typename... Handlers>
struct overloaded_handlers : Handlers...
{
    using Handlers::operator()...;
};
template <typename... Handlers>
overloaded_handlers(Handlers...) -> overloaded_handlers<Handlers...>;

} // namespace

void request_controller::impl::on_peer(steady_time now, instance_id const& from, peer_message const& message,
                                       outbox& out)
{
    auto const handlers = overloaded_handlers{
        [&](engine_reports const& m)
        {
            for (engine_report const& report : m.reports)
            {
                on_report(now, report, false, out);
            }
        },
        [&](data_centre_summary const& m)
        {
            peers_.on_summary(now, m);
            dispatch_all(now, out);
        },
        [&](suspect_announce const& m)
        {
            for (std::uint64_t fingerprint : m.fingerprints)
            {
                mark_suspect(now, fingerprint);
            }
            if (router_.mark_dead(now, m.server, m.boot_id))
            {
                boot_ended(now, m.server, m.boot_id, out);
            }
        },
        [&](suspect_permit_request const& m)
        {
            if (m.tag == 0)
            {
                suspects_.release_permit(m.fingerprint, from.name, 0);
                return;
            }
            suspect_permit_reply reply{m.fingerprint, m.tag, false, false};
            reply.granted = suspects_.grant_permit(now, m.fingerprint, from.name, m.tag);
            reply.confirmed = suspects_.status_of(now, m.fingerprint) == suspect_table::status::confirmed;
            out.emplace_back(send_peer{from.name, reply});
        },
        [&](suspect_permit_reply const& m)
        { on_permit(now, m.tag, m.fingerprint, m.granted, m.confirmed, out); },
        [&](suspect_cleared const& m) { suspects_.clear(m.fingerprint); },
        [&](crash_confirmed const& m) { suspects_.confirm(now, m.fingerprint); },
        [&](backend_leaving const& m) { router_.mark_leaving(m.server, m.boot_id); },
        [](auto const&) {},
    };
    std::visit(handlers, message);
}

void request_controller::impl::on_members(std::vector<member> const& members)
{
    peers_.set_members(members);
    suspects_.release_absent_holders(peers_.names());
}

void request_controller::impl::on_report(steady_time now, engine_report const& report, bool direct,
                                         outbox& out)
{
    backend_state const* const before = router_.find(report.name);
    std::uint64_t const known_boot = before == nullptr ? 0 : before->boot_id;
    auto const effect = router_.on_report(now, report, direct);
    if (effect == request_router::report_effect::ignored)
    {
        return;
    }
    if (effect == request_router::report_effect::new_boot)
    {
        boot_ended(now, report.name, known_boot, out);
    }
    if (direct && report.leaving && announced_leaving_.emplace(report.name, report.boot_id).second)
    {
        for (std::string const& name : peers_.same_data_centre())
        {
            out.emplace_back(send_peer{name, backend_leaving{report.name, report.boot_id}});
        }
    }
    if (direct)
    {
        server_survived(now, report.name, report.boot_id, out);
    }
    dispatch_for_server(now, report.name, out);
}

void request_controller::impl::on_engine_unreachable(steady_time now, engine_unreachable const& what,
                                                     outbox& out)
{
    backend_state const* const server = router_.find(what.name);
    if (what.refused && server != nullptr && !server->dead)
    {
        server_died(now, what.name, server->boot_id, out);
    }
}

void request_controller::impl::on_instances(steady_time now, std::vector<listed_server> const& servers,
                                            outbox& out)
{
    router_.on_instances(servers);
    dispatch_all(now, out);
}

void request_controller::impl::on_config(steady_time now, std::shared_ptr<fleet_config const> config,
                                         outbox& out)
{
    if (config == nullptr)
    {
        return;
    }
    config_ = std::move(config);
    router_.on_config(*config_);
    queue_.set_ranks(config_->ranks);
    peers_.set_regions(config_->region_of);
    std::vector<std::pair<request_number, refusal_reason>> removed;
    for (target_group const* group : waiting_groups_)
    {
        bool const known = group->service ? config_->services.count(group->name) != 0
                                          : config_->models.count(group->name) != 0;
        if (known)
        {
            continue;
        }
        for (target_state const* target : group->waiting)
        {
            for (rank r : all_ranks)
            {
                for (queued_request const& item : target->queue.first(now, r, target->queue.size(r)))
                {
                    removed.emplace_back(item.number, group->service ? refusal_reason::unknown_service
                                                                     : refusal_reason::unknown_model);
                }
            }
        }
    }
    for (auto const& item : removed)
    {
        refuse_request(now, item.first, item.second, out);
    }
    dispatch_all(now, out);
}

request_controller::request_controller(request_settings settings, std::uint64_t seed)
    : impl_(std::make_unique<impl>(std::move(settings), seed))
{
}
request_controller::~request_controller() = default;
request_controller::request_controller(request_controller&&) noexcept = default;
request_controller& request_controller::operator=(request_controller&&) noexcept = default;

void request_controller::on_config(steady_time now, std::shared_ptr<fleet_config const> config, outbox& out)
{
    impl_->on_config(now, std::move(config), out);
}
void request_controller::on_tick(steady_time now, outbox& out)
{
    impl_->on_tick(now, out);
}
void request_controller::on_request(steady_time now, request_profile const& profile, outbox& out)
{
    impl_->on_request(now, profile, out);
}
void request_controller::on_attempt_finished(steady_time now, attempt_finished const& finished, outbox& out)
{
    impl_->on_attempt_finished(now, finished, out);
}
void request_controller::on_attempt_progress(attempt_progress const& progress)
{
    impl_->on_attempt_progress(progress);
}
void request_controller::on_cancelled(steady_time now, request_number number, outbox& out)
{
    impl_->on_cancelled(now, number, out);
}
void request_controller::on_peer(steady_time now, instance_id const& from, peer_message const& message,
                                 outbox& out)
{
    impl_->on_peer(now, from, message, out);
}
void request_controller::on_members(steady_time /*now*/, std::vector<member> const& members)
{
    impl_->on_members(members);
}
void request_controller::on_instances(steady_time now, std::vector<listed_server> const& servers, outbox& out)
{
    impl_->on_instances(now, servers, out);
}
void request_controller::on_report(steady_time now, engine_report const& report, outbox& out)
{
    impl_->on_report(now, report, true, out);
}
void request_controller::on_engine_unreachable(steady_time now, engine_unreachable const& what, outbox& out)
{
    impl_->on_engine_unreachable(now, what, out);
}
void request_controller::on_call_start_result(steady_time now, call_start_result const& result, outbox& out)
{
    impl_->on_call_start_result(now, result, out);
}
void request_controller::drain(steady_time /*now*/)
{
    impl_->drain();
}
std::vector<load_request> request_controller::take_load_requests()
{
    return impl_->take_load_requests();
}
std::vector<call_start> request_controller::take_call_starts()
{
    return impl_->take_call_starts();
}
std::vector<call_entry> request_controller::take_finished_calls()
{
    return impl_->take_finished_calls();
}
std::size_t request_controller::open_requests() const
{
    return impl_->open_requests();
}
std::vector<std::string> request_controller::decision_history(request_number number) const
{
    return impl_->decision_history(number);
}

} // namespace siskinusher
