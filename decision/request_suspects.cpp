#include "decision/request_controller_impl.hpp"

#include <algorithm>
#include <iterator>

namespace siskinusher
{

namespace
{

// A suspect is refused when the home instance has not replied for this long.
constexpr duration permit_reply_timeout = seconds(1);

// Time between two requests for a permit.
constexpr duration permit_request_interval = milliseconds(200);

// A report that arrives sooner after the loss may have been sent before the server died.
constexpr duration loss_settle_time = milliseconds(20);

} // namespace

void request_controller::impl::broadcast(peer_message const& message, outbox& out) const
{
    for (std::string const& name : peers_.others())
    {
        out.emplace_back(send_peer{name, message});
    }
}

void request_controller::impl::mark_suspect(steady_time now, std::uint64_t fingerprint)
{
    suspects_.suspect(now, fingerprint);
    if (in_flight_.count(fingerprint) == 0)
    {
        return;
    }
    for (auto& item : requests_)
    {
        open_request& request = item.second;
        bool const running =
            request.phase == request_phase::in_flight || request.phase == request_phase::refused_in_flight;
        if (running && request.local && !request.counted_as_suspect &&
            request.profile.fingerprint == fingerprint)
        {
            if (backend_state* const server = router_.find(request.server))
            {
                request.counted_as_suspect = true;
                ++server->suspects;
            }
        }
    }
}

void request_controller::impl::announce(std::vector<std::uint64_t> const& fingerprints,
                                        backend_name const& server, std::uint64_t boot_id, outbox& out)
{
    if (!fingerprints.empty())
    {
        broadcast(suspect_announce{fingerprints, server, boot_id}, out);
    }
}

void request_controller::impl::confirm_culprit(steady_time now, std::uint64_t fingerprint, outbox& out)
{
    suspects_.confirm(now, fingerprint);
    broadcast(crash_confirmed{fingerprint}, out);
    out.emplace_back(log_event{"crash_named", {{"fingerprint", std::to_string(fingerprint)}}});
}

void request_controller::impl::server_died(steady_time now, backend_name const& name, std::uint64_t boot_id,
                                           outbox& out)
{
    // Even if this boot is already known to have ended it is handled again, because this attempt was lost
    // later.
    router_.mark_dead(now, name, boot_id);
    boot_ended(now, name, boot_id, out);
}

void request_controller::impl::boot_ended(steady_time now, backend_name const& name, std::uint64_t boot_id,
                                          outbox& out)
{
    std::set<std::uint64_t> suspected;
    std::set<std::uint64_t> culprits;
    auto const add = [&](std::uint64_t fingerprint, bool permitted)
    {
        if (fingerprint != 0)
        {
            (permitted ? culprits : suspected).insert(fingerprint);
        }
    };
    for (auto& item : requests_)
    {
        open_request& request = item.second;
        bool const running =
            request.phase == request_phase::in_flight || request.phase == request_phase::refused_in_flight;
        if (running && request.local && request.server == name && request.boot_id == boot_id)
        {
            add(request.profile.fingerprint, request.permitted);
        }
    }
    std::vector<lost_attempt> ended;
    auto const lost = losses_.find(name);
    if (lost != losses_.end())
    {
        auto& attempts = lost->second;
        for (lost_attempt const& attempt : attempts)
        {
            if (attempt.boot_id == boot_id)
            {
                add(attempt.fingerprint, attempt.permitted);
                ended.push_back(attempt);
            }
        }
        attempts.erase(std::remove_if(attempts.begin(), attempts.end(),
                                      [boot_id](lost_attempt const& attempt)
                                      { return attempt.boot_id == boot_id; }),
                       attempts.end());
    }
    std::vector<std::uint64_t> announced;
    for (std::uint64_t fingerprint : suspected)
    {
        if (culprits.count(fingerprint) == 0 &&
            suspects_.status_of(now, fingerprint) == suspect_table::status::clear)
        {
            mark_suspect(now, fingerprint);
            announced.push_back(fingerprint);
        }
    }
    announce(announced, name, boot_id, out);
    for (std::uint64_t fingerprint : culprits)
    {
        confirm_culprit(now, fingerprint, out);
    }
    for (lost_attempt const& attempt : ended)
    {
        forget_loss(name, attempt, out);
    }
    if (!announced.empty() || !culprits.empty())
    {
        out.emplace_back(log_event{"server_dead",
                                   {{"server", name},
                                    {"boot_id", std::to_string(boot_id)},
                                    {"suspects", std::to_string(announced.size())},
                                    {"named", std::to_string(culprits.size())}}});
    }
    requeue_checked(now, name, boot_id, duration{0}, out);
}

// The server still has the same boot id, so the lost attempts did not crash it.
void request_controller::impl::server_survived(steady_time now, backend_name const& name,
                                               std::uint64_t boot_id, outbox& out)
{
    auto const found = losses_.find(name);
    if (found == losses_.end())
    {
        return;
    }
    auto const survived = [&](lost_attempt const& attempt)
    { return attempt.boot_id == boot_id && now - attempt.at >= loss_settle_time; };
    auto& attempts = found->second;
    std::vector<lost_attempt> settled;
    std::copy_if(attempts.begin(), attempts.end(), std::back_inserter(settled), survived);
    attempts.erase(std::remove_if(attempts.begin(), attempts.end(), survived), attempts.end());
    if (attempts.empty())
    {
        losses_.erase(found);
    }
    for (lost_attempt const& attempt : settled)
    {
        forget_loss(name, attempt, out);
    }
    requeue_checked(now, name, boot_id, loss_settle_time, out);
}

// Drops a lost attempt. If its request has ended meanwhile, the permit that it still holds is given back.
void request_controller::impl::forget_loss(backend_name const& name, lost_attempt const& attempt, outbox& out)
{
    backend_state* const server = router_.find(name);
    if (server != nullptr && attempt.permitted && server->unsettled_suspects > 0)
    {
        --server->unsettled_suspects;
    }
    auto const held = permits_.find(attempt.fingerprint);
    if (attempt.permitted && held != permits_.end() && held->second == attempt.number &&
        find(attempt.number) == nullptr)
    {
        permits_.erase(held);
        send_release(attempt.fingerprint, out);
    }
}

void request_controller::impl::send_release(std::uint64_t fingerprint, outbox& out)
{
    if (suspects_.is_confirmed(fingerprint))
    {
        // If a release overtook crash_confirmed, the home instance would grant another permit.
        return;
    }
    std::string const home = peers_.permit_issuer_of(fingerprint);
    if (home == settings_.self.name)
    {
        suspects_.release_permit(fingerprint, home, 0);
        return;
    }
    out.emplace_back(send_peer{home, suspect_permit_request{fingerprint, 0}});
}

// Queues again the requests whose attempt was lost in this boot of the server at least `age` ago.
void request_controller::impl::requeue_checked(steady_time now, backend_name const& name,
                                               std::uint64_t boot_id, duration age, outbox& out)
{
    if (checking_count_ == 0)
    {
        return;
    }
    group_set groups;
    for (auto& item : requests_)
    {
        open_request& request = item.second;
        if (request.phase == request_phase::checking_loss && request.server == name &&
            request.boot_id == boot_id && request.loss_check_deadline - loss_check_limit + age <= now)
        {
            --checking_count_;
            enqueue(now, request);
            groups.insert(request.target->group);
        }
    }
    dispatch_groups(now, groups, out);
}

void request_controller::impl::ask_permit(steady_time now, open_request& request, outbox& out)
{
    request_number const number = request.profile.number;
    std::uint64_t const fingerprint = request.profile.fingerprint;
    request.phase = request_phase::asking_permit;
    request.next_permit_request = now + permit_request_interval;
    if (permits_.emplace(fingerprint, number).first->second != number)
    {
        return; // Another request of this instance with the same fingerprint holds or awaits the permit.
    }
    std::string const home = peers_.permit_issuer_of(fingerprint);
    if (home == settings_.self.name)
    {
        bool const granted = suspects_.grant_permit(now, fingerprint, home, number);
        on_permit(now, number, fingerprint, granted,
                  suspects_.status_of(now, fingerprint) == suspect_table::status::confirmed, out);
        return;
    }
    if (!request.permit_reply_deadline)
    {
        request.permit_reply_deadline = now + permit_reply_timeout;
        history_.add(now, number, "asks_permit", "home=" + home);
    }
    out.emplace_back(send_peer{home, suspect_permit_request{fingerprint, number}});
}

void request_controller::impl::on_permit(steady_time now, request_number number, std::uint64_t fingerprint,
                                         bool granted, bool confirmed, outbox& out)
{
    if (confirmed)
    {
        suspects_.confirm(now, fingerprint);
    }
    open_request* const request = find(number);
    if (request == nullptr || request->phase != request_phase::asking_permit ||
        request->profile.fingerprint != fingerprint)
    {
        if (granted && permits_.count(fingerprint) == 0)
        {
            out.emplace_back(
                send_peer{peers_.permit_issuer_of(fingerprint), suspect_permit_request{fingerprint, 0}});
        }
        return;
    }
    request->permit_reply_deadline.reset();
    if (confirmed)
    {
        refuse_request(now, number, refusal_reason::crashes_server, out);
        return;
    }
    if (!granted)
    {
        permits_.erase(fingerprint);
        history_.add(now, number, "permit_denied");
        return;
    }
    request->permitted = true;
    history_.add(now, number, "permit_granted");
    enqueue(now, *request);
    dispatch_for_request(now, *request, out);
}

void request_controller::impl::give_back_permit(open_request& request, outbox& out)
{
    std::uint64_t const fingerprint = request.profile.fingerprint;
    auto const held = permits_.find(fingerprint);
    if (held == permits_.end() || held->second != request.profile.number)
    {
        return;
    }
    auto const lost = losses_.find(request.server);
    bool const unsettled =
        lost != losses_.end() &&
        std::any_of(lost->second.begin(), lost->second.end(),
                    [&request](lost_attempt const& attempt)
                    { return attempt.permitted && attempt.number == request.profile.number; });
    if (unsettled)
    {
        return; // The server may have died: no equal request may run before that is known.
    }
    permits_.erase(held);
    send_release(fingerprint, out);
}

void request_controller::impl::clear_suspect(steady_time now, open_request& request, outbox& out)
{
    std::uint64_t const fingerprint = request.profile.fingerprint;
    if (!request.local || fingerprint == 0 || !suspects_.clear(fingerprint))
    {
        return;
    }
    if (request.permitted)
    {
        permits_.erase(fingerprint);
        request.permitted = false;
    }
    broadcast(suspect_cleared{fingerprint}, out);
    out.emplace_back(log_event{"suspect_cleared", {{"fingerprint", std::to_string(fingerprint)}}});
    history_.add(now, request.profile.number, "cleared_of_suspicion");
}

} // namespace siskinusher
