#include "apps/request_service.hpp"

#include "adapters/boot_clock.hpp"
#include "adapters/outbound_pool.hpp"
#include "adapters/ports.hpp"
#include "apps/forwarded_call.hpp"
#include "apps/open_exchange_impl.hpp"
#include "apps/request_log.hpp"
#include "core/random_source.hpp"
#include "decision/attempt_policy.hpp"
#include "decision/route_table.hpp"
#include "decision/stream_register.hpp"
#include "platform/request_codec.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace siskinusher
{

namespace
{

// The body of an answer that rejects the request is awaited for this long, so that the connection can be
// kept.
constexpr duration rejection_body_time = milliseconds{200};
// Event gaps below this share of max_event_gap are normal in a healthy batch and are not reported.
constexpr double min_reported_pause_share = 0.4;
// The final answer is due at the route's time limit; this part of it is kept for sending the answer.
constexpr duration answer_margin = milliseconds{30};
constexpr duration unconfigured_retry_after = seconds{1};
constexpr duration failed_retry_after = milliseconds{500};
// Short, because another instance can take the request at once.
constexpr duration stopping_retry_after = milliseconds{50};
// The server answered with a status that callers take for a promise, and does not state that the request has
// not run.
constexpr char const* unproven_refusal = "unproven_refusal";
// The server may end a stream that has no length by closing the connection, also when it crashes.
constexpr char const* broken_event = "stream_ends_in_event";
constexpr char const* no_event = "stream_without_event";
// The lease holder tells within this time which instances reach servers.
constexpr duration relay_wait_time = milliseconds{300};
// A connection to a peer takes a round trip; 16 ms between regions.
constexpr duration peer_connect_time = milliseconds{200};
// A peer that ends, stands still or is cut off cannot tell how many servers it has used. It may use one, and
// the instance that answers the caller decides on each further one.
constexpr unsigned servers_lent_to_peer = 1;
constexpr char const* refused_not_run = "refused_not_run";
constexpr char const* caller_gone = "caller_gone";
constexpr char const* no_server_reached = "no_server_reached";
constexpr char const* no_other_peer = "no_other_peer";
// A cut lasts for seconds, but another instance may serve the caller at once.
constexpr duration no_server_retry_after = milliseconds{500};
constexpr char const* blocked_part_reason = "crashing_part";
constexpr char const* blocked_request_reason = "crashing_request";
constexpr char const* unknown_version_reason = "unknown_version";
// The lease holder may learn of the stream, or answer again, within this time.
constexpr duration unknown_stream_retry_after = milliseconds{500};
// Requests that wait when the stop begins may still be assigned to a server within this time.
constexpr duration stopping_wait_limit = seconds{1};
// New streams are accepted for this long after the stop signal: until then new callers still arrive, and most
// streams end within the rest of the stop time.
constexpr duration stopping_stream_accept_time = milliseconds{2800};
// An engine that crashes on a request does so when it begins to answer. A stream that has gone on for longer
// than the first time is not suspected; after the second one its request counts as answered.
constexpr duration crash_onset_time = milliseconds{250};
constexpr duration sound_answer_time = milliseconds{1000};

std::chrono::microseconds span_until(steady_time when)
{
    return std::max<duration>(when - boot_now(), duration{0});
}

// `facts` are those of the head, if it was received.
attempt_result result_of(exchange_end end, std::optional<platform::answer_info> const& facts)
{
    if (facts && facts->not_run)
    {
        return attempt_result::refused_not_run; // The head proves it, whatever follows.
    }
    switch (end)
    {
    case exchange_end::complete:
        return attempt_result::answered;
    case exchange_end::refused:
    case exchange_end::not_sent:
        return attempt_result::not_sent;
    case exchange_end::lost:
        return attempt_result::connection_lost;
    case exchange_end::malformed:
    case exchange_end::invalid_status:
    case exchange_end::body_not_allowed:
    case exchange_end::too_large:
        return attempt_result::bad_answer;
    case exchange_end::timed_out:
        break;
    }
    return attempt_result::silent;
}

attempt_ender ender_of(attempt_result result)
{
    switch (result)
    {
    case attempt_result::silent:
    case attempt_result::bad_answer:
        return attempt_ender::instance;
    case attempt_result::caller_gone:
        return attempt_ender::caller;
    default:
        return attempt_ender::server;
    }
}

char const* reason_not_run(platform::answer_info const& facts)
{
    return facts.status == 421 ? "not_there" : "full";
}

bool is_success(int status)
{
    return status >= 200 && status < 300;
}

bool is_unproven_refusal(platform::answer_info const& facts)
{
    return facts.reads_as_not_run && !facts.not_run;
}

bool is_server_failure(platform::answer_info const& facts)
{
    return facts.status >= 500 || is_unproven_refusal(facts);
}

char const* failure_reason(platform::answer_info const& facts)
{
    return is_unproven_refusal(facts) ? unproven_refusal : "server_error";
}

} // namespace

class request_service::implementation : public std::enable_shared_from_this<implementation>
{
public:
    using open_pointer = std::shared_ptr<open_exchange>;

    implementation(boost::asio::io_context& loop_in, outbound_pool& pool_in, dispatcher& requests_in,
                   service_retry_budget& retries_in, crash_reporter& crashes_in, stream_register& streams_in,
                   server_reach& reach_in, relay_directory& relays_in, caller_access& access_in,
                   quota_keeper& quotas_in, log_port& log_in, metric_port& metrics_in,
                   latency_port& latencies_in, std::uint64_t seed)
        : loop(loop_in), pool(pool_in), requests(requests_in), retries(retries_in), crashes(crashes_in),
          streams(streams_in), reach(reach_in), relays(relays_in), access(access_in), quotas(quotas_in),
          log(log_in, metrics_in, latencies_in), metrics(metrics_in), random(seed), dispatch_timer(loop_in),
          relay_timer(loop_in)
    {
    }

    // `servers_left` is set for a request that a peer passed on; `caller_checked` tells whether the peer has
    // identified its caller.
    void accept(std::shared_ptr<caller_exchange> caller, std::optional<unsigned> servers_left = {},
                bool caller_checked = false)
    {
        auto const open = std::make_shared<open_exchange>(loop, std::move(caller));
        open->forwarded = servers_left.has_value();
        open->caller_checked = caller_checked;
        open->passed_on_by = open->forwarded ? open->caller->caller_address() : std::string();
        open->number = ++last_number;
        open->request = platform::decode_request(open->caller->head());
        if (!routes)
        {
            refuse_unrouted(*open, 503, "no_configuration");
            return;
        }
        route_rule const* const route = routes->find(open->request.host, open->request.target);
        if (route == nullptr)
        {
            refuse_unrouted(*open, 404, "no_route");
            return;
        }
        if (open->request.request_id.empty())
        {
            refuse_unrouted(*open, 400, "no_request_id");
            return;
        }
        organisation const* caller_of = nullptr;
        if (!identify(*open, *route, caller_of))
        {
            return;
        }
        if (servers_left == 0U)
        {
            refuse_unrouted(*open, 503, "no_server_left");
            return;
        }
        open->service = choose_target(*route, random.next());
        if (open->service.empty())
        {
            refuse_unrouted(*open, 503, "route_without_service");
            return;
        }
        duration const allowed =
            std::min(open->request.time_allowed.value_or(route->time_limit), route->time_limit);
        if (must_refuse(*route, allowed))
        {
            refuse_unrouted(*open, 503, "draining");
            return;
        }
        open->route = *route;
        if (caller_of != nullptr)
        {
            open->route.priority = caller_of->priority.value_or(route->priority);
        }
        if (open->forwarded)
        {
            // A peer of an older build lends all servers that are left and counts them as one.
            open->route.max_backends = std::min(route->max_backends, servers_lent_to_peer);
        }
        open->config_version = config_version();
        open->last_event = open->request.resume_after;
        open->suspects = platform::suspects_in(open->request, open->caller->body());
        open->deadline = open->caller->arrived() + allowed;
        exchanges[open->number] = open;
        if (!open->forwarded)
        {
            retries.on_request(boot_now(), open->service);
        }
        open->caller->on_gone([self = shared_from_this(), number = open->number] { self->on_gone(number); });
        if (refuse_blocked(open))
        {
            return;
        }
        arm_deadline(open);
        if (caller_of != nullptr && !open->caller_checked)
        {
            await_credit(open);
            return;
        }
        begin(open);
    }

    // Sets whose request it is. Returns false when it is refused. `caller_of` is set for a known
    // organisation.
    bool identify(open_exchange& open, route_rule const& route, organisation const*& caller_of)
    {
        if (open.caller_checked)
        {
            // A copy: identify() replaces what it reads.
            platform::identify(open.request, std::string(open.request.stated_organisation));
            caller_of = access.find(open.request.organisation);
            open.work = caller_of == nullptr ? 0 : work_of(caller_of->quota, open.request.tokens);
            return true;
        }
        if (!access.is_active())
        {
            return true;
        }
        admission const decision = access.check(route, open.request.credentials, open.caller->arrived());
        if (auto const* const refused = std::get_if<caller_refused>(&decision))
        {
            refuse_caller(open, *refused);
            return false;
        }
        caller_of = std::get<caller_admitted>(decision).caller;
        open.identified = true;
        platform::identify(open.request, caller_of == nullptr ? std::string() : caller_of->name);
        if (caller_of != nullptr)
        {
            open.quota_cost = quota_cost(caller_of->quota, open.request.tokens);
            open.work = work_of(caller_of->quota, open.request.tokens);
        }
        return true;
    }

    // Requests that were accepted before organisations were configured go on without one. Their further
    // attempts must not show keys to servers or peers.
    void withhold_credentials()
    {
        if (!access.is_active())
        {
            return;
        }
        for (auto const& [number, open] : exchanges)
        {
            if (!open->identified && !open->caller_checked)
            {
                platform::identify(open->request, {});
                open->identified = true;
            }
        }
    }

    void refuse_caller(open_exchange& open, caller_refused const& refused)
    {
        int const status = refusal_status(refused);
        std::string lines = refusal_lines(refused);
        lines.append(open.forwarded ? platform::encode_not_run(0) : "");
        open.caller->answer(status, lines, "");
        log.caller_refused(open.request.request_id, status, refused, access.proof_age(boot_now()),
                           config_version());
    }

    std::optional<head_refusal> refuse_by_head(request_head const& head)
    {
        if (!routes || !access.is_active())
        {
            return std::nullopt;
        }
        route_rule const* const route = routes->find(head.fields.value("Host"), head.target);
        if (route == nullptr)
        {
            return std::nullopt;
        }
        admission const decision = access.check(*route, platform::decode_credentials(head), boot_now());
        auto const* const refused = std::get_if<caller_refused>(&decision);
        if (refused == nullptr)
        {
            return std::nullopt;
        }
        log.caller_refused(platform::request_id_of(head), refusal_status(*refused), *refused,
                           access.proof_age(boot_now()), config_version());
        return head_refusal{refusal_status(*refused), refusal_lines(*refused)};
    }

    static int refusal_status(caller_refused const& refused)
    {
        return refused.fault == admission_fault::unknown_key ? 401 : 503;
    }

    static std::string refusal_lines(caller_refused const& refused)
    {
        return refused.retry_after > duration{0} ? platform::encode_retry_after(refused.retry_after)
                                                 : std::string();
    }

    // The request waits until its organisation has credit for it.
    void await_credit(open_pointer const& open)
    {
        open->awaits_credit = true;
        quota_request request;
        request.number = open->number;
        request.organisation = open->request.organisation;
        request.cost = open->quota_cost;
        request.refuse_at = std::min(boot_now() + max_wait(*open), open->deadline);
        quotas.submit(std::move(request));
    }

    void carry_out_quota(admit_request const& step)
    {
        if (open_pointer const open = take_awaiting_credit(step.number))
        {
            open->charged = true;
            begin(open);
        }
    }

    void carry_out_quota(refuse_over_limit const& step)
    {
        if (open_pointer const open = take_awaiting_credit(step.number))
        {
            log.over_limit(*open, step.retry_after, step.held);
            refuse(*open, step.retry_after, "quota_exceeded", 429);
        }
    }

    void carry_out_quota(refuse_unchecked const& step)
    {
        if (open_pointer const open = take_awaiting_credit(step.number))
        {
            log.quota_unchecked(*open, step.waited);
            refuse(*open, failed_retry_after, "quota_unchecked");
        }
    }

    // Null when the request has ended meanwhile.
    open_pointer take_awaiting_credit(request_number number)
    {
        auto const found = exchanges.find(number);
        if (found == exchanges.end() || !found->second->awaits_credit)
        {
            return nullptr;
        }
        found->second->awaits_credit = false;
        return found->second;
    }

    // Passes on a request that has all that it needs for that.
    void begin(open_pointer const& open)
    {
        if (is_take_up(*open) && !find_version(open))
        {
            return;
        }
        submit(open);
        run_dispatcher();
    }

    static bool is_resumable(open_exchange const& open)
    {
        return open.route.streaming && open.route.repeat == repeat_rule::resumable_stream;
    }

    static bool is_take_up(open_exchange const& open)
    {
        return is_resumable(open) && open.request.resume_after.value_or(0) > 0;
    }

    // Sets the version at which a stream that the caller takes up must go on. Returns false when the request
    // is answered, or goes on later.
    bool find_version(open_pointer const& open)
    {
        std::string const& id = open->request.taken_up_id;
        take_up_choice const choice = streams.choose(boot_now(), open->service, id);
        if (auto const* const known = std::get_if<only_version>(&choice))
        {
            open->version = known->version;
            log.take_up(*open, "known_here");
            return true;
        }
        if (std::holds_alternative<any_version>(choice))
        {
            log.take_up(*open, "one_version");
            return true;
        }
        if (id.empty() || !unknown_stream_handler)
        {
            log.take_up(*open, "nobody");
            refuse(*open, unknown_stream_retry_after, unknown_version_reason);
            return false;
        }
        unknown_stream_handler(open->service, id,
                               [weak = weak_from_this(), open](take_up_choice const& told)
                               {
                                   if (auto const self = weak.lock())
                                   {
                                       self->on_version_told(open, told);
                                   }
                               });
        return false;
    }

    void on_version_told(open_pointer const& open, take_up_choice const& told)
    {
        if (exchanges.count(open->number) == 0)
        {
            return; // The caller has gone, or its time is over.
        }
        if (std::holds_alternative<unknown_version>(told))
        {
            log.take_up(*open, "nobody");
            refuse(*open, unknown_stream_retry_after, unknown_version_reason);
            return;
        }
        open->version = version_of(told);
        log.take_up(*open, open->version ? "holder_or_store" : "one_version_told");
        submit(open);
        run_dispatcher();
    }

    // The version at which a stream must go on; none when any will do.
    static std::optional<std::string> version_of(take_up_choice const& choice)
    {
        auto const* const only = std::get_if<only_version>(&choice);
        return only == nullptr ? std::nullopt : std::optional(only->version);
    }

    // A stream begins only at a recorded version, and goes on only at its own.
    std::set<std::string> usable_versions(open_exchange const& open) const
    {
        if (open.version)
        {
            return {*open.version};
        }
        return is_resumable(open) ? streams.versions_to_begin(open.service) : std::set<std::string>();
    }

    void remember_stream(open_exchange& open)
    {
        if (!is_resumable(open))
        {
            return;
        }
        if (open.current->via_peer)
        {
            open.began_at_peer = true;
            return;
        }
        open.version = open.current->version;
        streams.on_begun(boot_now(), open.service, {stream_id(open), *open.version});
    }

    // The id by which callers name the stream when they take it up.
    static std::string const& stream_id(open_exchange const& open)
    {
        return is_take_up(open) && !open.request.taken_up_id.empty() ? open.request.taken_up_id
                                                                     : open.request.record_id;
    }

    // Ends a request that crashes servers, unless it may be sent as a trial. Returns false when it goes on.
    bool refuse_blocked(open_pointer const& open)
    {
        auto const block = crashes.find_block(open->suspects);
        if (!block || is_trial(*open, *block))
        {
            return false;
        }
        log.crash_blocked(*open, *block);
        char const* const reason =
            block->suspect == open->suspects.request ? blocked_request_reason : blocked_part_reason;
        if (open->failed_facts && !open->answer_started)
        {
            forward_server_failure(*open);
        }
        else if (open->may_have_run || open->answer_started)
        {
            give_up(*open, reason);
        }
        else
        {
            refuse(*open, block->remaining, reason);
        }
        return true;
    }

    // A trial is sent once: a second server would not show more.
    bool is_trial(open_exchange& open, crash_block const& block)
    {
        if (block.suspect != open.suspects.request || open.times_sent > 0)
        {
            return false;
        }
        if (!open.on_trial && crashes.begin_trial(open.suspects))
        {
            open.on_trial = true;
            log.crash_trial(open, block);
        }
        return open.on_trial;
    }

    // Requests that wait for a server are not left waiting once they are known to crash servers.
    void refuse_newly_blocked()
    {
        std::vector<open_pointer> found;
        for (auto const& [number, open] : waiting)
        {
            if (!open->is_running() && crashes.find_block(open->suspects))
            {
                found.push_back(open);
            }
        }
        for (open_pointer const& open : found)
        {
            (void)refuse_blocked(open);
        }
    }

    void refuse_unrouted(open_exchange& open, int status, char const* reason)
    {
        std::string lines = status == 503 ? platform::encode_retry_after(stop_end ? stopping_retry_after
                                                                                  : unconfigured_retry_after)
                                          : std::string();
        lines.append(open.forwarded ? platform::encode_not_run(0) : "");
        open.caller->answer(status, lines, "");
        log.refused_unrouted(open, status, reason, config_version());
    }

    std::uint64_t config_version() const { return routes ? routes->config().version : 0; }

    // `allowed` is the time that the request may take.
    bool must_refuse(route_rule const& route, duration allowed) const
    {
        if (!stop_end)
        {
            return false;
        }
        steady_time const now = boot_now();
        return route.streaming ? now > stop_begun + stopping_stream_accept_time : now + allowed > *stop_end;
    }

    duration max_wait(open_exchange const& open) const
    {
        wait_facts facts;
        facts.streaming = open.route.streaming;
        facts.answer_started = open.answer_started;
        facts.time_left = open.deadline - boot_now();
        facts.latency_objective = open.route.latency_objective;
        facts.max_event_gap = open.route.max_event_gap;
        return wait_limit(facts);
    }

    // Lets the request wait for a server, or passes it on to a peer while no server is reached. While it is
    // running, it waits for another server to go on there.
    void submit(open_pointer const& open)
    {
        bool const repeatable = open->route.repeat != repeat_rule::at_most_once;
        open->tries_servers = false;
        if (reach.cut_off())
        {
            // A trial may cost a server that a running request could use at a peer.
            open->tries_servers =
                !open->answer_started && !open->is_running() && reach.begin_trial(boot_now(), repeatable);
            if (!open->tries_servers)
            {
                pass_on(open);
                return;
            }
        }
        if (open->began_at_peer && !open->version)
        {
            ask_version(open);
            return;
        }
        wait_for_server(open);
    }

    // A stream that began through a peer goes on at the version at which it began there.
    void ask_version(open_pointer const& open)
    {
        if (!unknown_stream_handler)
        {
            give_up(*open, unknown_version_reason);
            return;
        }
        unknown_stream_handler(open->service, stream_id(*open),
                               [weak = weak_from_this(), open](take_up_choice const& told)
                               {
                                   auto const self = weak.lock();
                                   if (!self || self->exchanges.count(open->number) == 0)
                                   {
                                       return; // The caller has gone, or its time is over.
                                   }
                                   if (std::holds_alternative<unknown_version>(told))
                                   {
                                       self->give_up(*open, unknown_version_reason);
                                       return;
                                   }
                                   open->version = version_of(told);
                                   self->wait_for_server(open);
                                   self->run_dispatcher();
                               });
    }

    // Sends the request to an instance that reaches servers. Without one it is refused at once, or broken
    // off, unless it is running.
    void pass_on(open_pointer const& open)
    {
        if (open->is_running() && crashes.find_block(open->suspects))
        {
            log.server_silent(*open, "keep", blocked_request_reason); // As in carry_out(assign_request).
            return;
        }
        if (refuse_blocked(open))
        {
            return;
        }
        auto const relay = choose_peer(*open);
        if (relay)
        {
            assign_request step;
            step.number = ++last_number;
            step.target = {relay->address, relay->address};
            start_attempt(open, step, true);
            return;
        }
        if (open->is_running())
        {
            log.server_silent(*open, "keep", no_other_peer);
            watch_progress(open);
            return;
        }
        bool const may_learn = !open->forwarded && reach.cut_off_for(boot_now()) < relay_wait_time;
        if (may_learn)
        {
            unrelayed.push_back(open);
            arm_relay_timer();
            return;
        }
        open->last_failure = no_server_reached;
        if (open->failed_facts && !open->answer_started)
        {
            forward_server_failure(*open);
        }
        else if (open->answer_started || open->may_have_run)
        {
            give_up(*open, no_server_reached);
        }
        else
        {
            refuse(*open, no_server_retry_after, no_server_reached);
        }
    }

    std::optional<peer_relay> choose_peer(open_exchange const& open) const
    {
        if (open.forwarded)
        {
            return std::nullopt;
        }
        std::vector<std::string> excluded = open.failed_servers;
        if (open.is_running())
        {
            excluded.push_back(open.current->target.backend);
        }
        return relays.choose(excluded, open.unsuccessful_peers);
    }

    void arm_relay_timer()
    {
        relay_timer.expires_after(relay_wait_time);
        relay_timer.async_wait(
            [self = shared_from_this()](boost::system::error_code error)
            {
                if (!error)
                {
                    self->on_relays();
                }
            });
    }

    void on_relays()
    {
        for (open_pointer const& open : std::exchange(unrelayed, {}))
        {
            if (exchanges.count(open->number) > 0 && !open->is_running() && !open->awaited)
            {
                submit(open);
            }
        }
        run_dispatcher();
    }

    void on_reach_change()
    {
        if (!reach.cut_off())
        {
            on_relays();
            return;
        }
        std::vector<open_pointer> open_now;
        for (auto const& [number, open] : exchanges)
        {
            open_now.push_back(open);
        }
        for (open_pointer const& open : open_now)
        {
            if (exchanges.count(open->number) > 0)
            {
                leave_lost_server(open);
            }
        }
        run_dispatcher();
    }

    // Looks for a peer for a request that waits for a server, or whose server has given no answer yet.
    void leave_lost_server(open_pointer const& open)
    {
        if (!open->is_running())
        {
            bool const waited = open->awaited.has_value();
            stop_looking(*open, no_server_reached);
            if (waited)
            {
                submit(open);
            }
            return;
        }
        server_attempt const& attempt = *open->current;
        if (attempt.via_peer)
        {
            return;
        }
        if (!attempt.exchange->sent())
        {
            open->current->exchange->cancel();
            end_attempt(open, attempt_result::not_sent, no_server_reached);
            return;
        }
        if (next_attempt_step(facts_after(*open, attempt_result::silent)) == attempt_step::send_again)
        {
            stop_looking(*open, no_server_reached);
            submit(open);
        }
    }

    void wait_for_server(open_pointer const& open)
    {
        dispatch_request request;
        request.number = ++last_number;
        request.service = open->service;
        request.model = open->request.model;
        request.adapter = open->request.adapter;
        request.organisation = open->request.organisation;
        request.cost = open->work;
        request.priority = open->route.priority;
        request.arrived = open->caller->arrived();
        request.deadline = open->deadline;
        request.latency_objective = open->route.latency_objective;
        request.prompt = open->request.prompt;
        request.failed_servers = open->failed_servers;
        request.versions = usable_versions(*open);
        steady_time const now = boot_now();
        request.max_wait = max_wait(*open);
        request.may_be_refused = !open->answer_started && !open->is_running();
        if (open->is_running())
        {
            request.max_wait = open->deadline - now;
            request.running_at = open->current->target.backend;
        }
        open->awaited = request.number;
        waiting[request.number] = open;
        requests.submit(now, std::move(request));
    }

    // Ends the wait for a server, and the attempt at another server beside the current one. That attempt ends
    // as caller_gone, which tells the dispatcher nothing about its server.
    void stop_looking(open_exchange& open, std::string const& why)
    {
        if (open.awaited)
        {
            requests.withdraw(*open.awaited);
            waiting.erase(*open.awaited);
            open.awaited.reset();
        }
        if (open.replacement)
        {
            open.replacement->exchange->cancel();
            end_replacement(open, attempt_result::caller_gone, why);
        }
    }

    // Ends the attempt beside the current one, which goes on. `result` tells what it showed about its server.
    void end_replacement(open_exchange& open, attempt_result result, std::string const& why)
    {
        std::shared_ptr<server_attempt> const ended = std::exchange(open.replacement, nullptr);
        if (result == attempt_result::connection_lost)
        {
            report_loss(open, *ended);
        }
        bool const sent = ended->exchange->sent();
        report_end(*ended, result);
        // A rejection does not count as sent: the wait for the next search bounds how often this happens.
        if (sent && result != attempt_result::refused_not_run)
        {
            count_attempt(open, *ended, result);
        }
        else if (result != attempt_result::caller_gone)
        {
            open.failed_servers.push_back(ended->target.backend);
        }
        log.attempt_ended(open, *ended, why,
                          result == attempt_result::caller_gone ? attempt_ender::instance : ender_of(result),
                          "current_goes_on");
    }

    void run_dispatcher()
    {
        for (dispatch_step const& step : requests.step(boot_now()))
        {
            std::visit([this](auto const& each) { carry_out(each); }, step);
        }
        if (requests.has_new_missing_model() && missing_model_handler)
        {
            missing_model_handler();
        }
        if (auto const due = requests.next_due())
        {
            dispatch_timer.expires_after(span_until(*due));
            dispatch_timer.async_wait(
                [self = shared_from_this()](boost::system::error_code error)
                {
                    if (!error)
                    {
                        self->run_dispatcher();
                    }
                });
        }
    }

    void carry_out(reject_request const& step)
    {
        open_pointer const open = take_waiting(step.number);
        if (!open)
        {
            return;
        }
        if (open->is_running())
        {
            log.server_silent(*open, "keep", std::string(to_string(step.answer.reason)));
            watch_progress(open);
            return;
        }
        open->last_failure = std::string(to_string(step.answer.reason));
        log.no_server(*open, step, requests.backends());
        if (open->failed_facts && !open->answer_started)
        {
            forward_server_failure(*open);
            return;
        }
        if (open->answer_started || open->may_have_run)
        {
            give_up(*open, open->last_failure);
            return;
        }
        refuse(*open, step.answer.retry_after, open->last_failure);
    }

    void carry_out(assign_request const& step)
    {
        open_pointer const open = take_waiting(step.number);
        // A running attempt goes on, but no further server gets a request that crashes servers.
        bool const keeps_server = open && open->is_running() && crashes.find_block(open->suspects);
        if (!open || keeps_server || refuse_blocked(open))
        {
            requests.on_attempt_end(
                boot_now(),
                {step.number, step.target.backend, attempt_result::caller_gone, false, false, {}});
            if (keeps_server)
            {
                log.server_silent(*open, "keep", blocked_request_reason);
            }
            return;
        }
        start_attempt(open, step);
    }

    open_pointer take_waiting(request_number number)
    {
        auto const found = waiting.find(number);
        if (found == waiting.end())
        {
            return nullptr;
        }
        open_pointer open = std::move(found->second);
        waiting.erase(found);
        open->awaited.reset();
        return open;
    }

    void start_attempt(open_pointer const& open, assign_request const& step, bool via_peer = false)
    {
        auto const attempt = std::make_shared<server_attempt>();
        attempt->via_peer = via_peer;
        attempt->number = step.number;
        attempt->target = step.target;
        attempt->begun_at = boot_now();
        backend_entry const* const server = requests.find_backend(step.target.backend);
        attempt->version = server == nullptr ? std::string() : server->software_version;
        attempt->servers_lent = via_peer ? servers_lent_to_peer : 0;
        exchange_handlers handlers;
        auto const self = shared_from_this();
        bool const replaces = open->is_running();
        backend_name const replaced = replaces ? open->current->target.backend : backend_name();
        if (replaces)
        {
            handlers.may_send = [self, open] { return self->may_send_replacement(open); };
        }
        if (!via_peer)
        {
            handlers.named_id = platform::answered_id;
            handlers.on_skipped = [self, open, attempt](response_head const& head)
            { self->log.extra_answer(*open, *attempt, head.status, platform::answered_id(head)); };
        }
        handlers.on_head = [self, open, attempt](response_head const& head)
        { return self->on_head(open, attempt, head); };
        handlers.on_body = [self, open, attempt](std::string const& part)
        {
            if (attempt == open->current)
            {
                self->on_body(open, part);
                return;
            }
            attempt->body.append(part);
        };
        handlers.on_end = [self, open, attempt](exchange_end end)
        { attempt == open->current ? self->on_end(open, end) : self->on_replacement_end(open, end); };
        (replaces ? open->replacement : open->current) = attempt;
        outbound_request request = make_outbound_request(*open, *attempt);
        // A kept connection may have gone silent; a new one shows that the server can be reached.
        request.fresh_connection = replaces || open->tries_servers || was_tried(*open, step.target.backend);
        if (via_peer)
        {
            relays.on_begin(step.target.address);
        }
        attempt->exchange = pool.start(std::move(request), std::move(handlers));
        attempt->connection = attempt->exchange->use().connection;
        log.attempt_started(*open, *attempt, step, replaced);
        ++open->attempts;
        if (!replaces)
        {
            watch_progress(open);
        }
    }

    outbound_request make_outbound_request(open_exchange const& open, server_attempt const& attempt) const
    {
        backend_entry const* const entry = requests.find_backend(attempt.target.backend);
        platform::attempt_headers headers;
        headers.time_left = open.deadline - attempt.begun_at;
        headers.backend = attempt.target.backend;
        headers.priority = open.route.priority;
        headers.is_engine = entry != nullptr && entry->is_engine;
        headers.resume_after = open.last_event;
        outbound_request request;
        request.body = open.caller->shared_body();
        request.address = attempt.target.address;
        request.id = open.request.request_id;
        if (attempt.via_peer)
        {
            fill_forwarded(open, attempt, headers, request);
            return request;
        }
        request.method = open.request.method;
        request.bytes = platform::encode_attempt_head(open.request, request.body->size(), headers);
        request.time_limit = std::max<duration>(headers.time_left, milliseconds{1});
        request.connect_limit = std::min(request.connect_limit, request.time_limit / 2);
        return request;
    }

    // Other kept connections to a server that has failed the request may be broken as well.
    static bool was_tried(open_exchange const& open, backend_name const& backend)
    {
        return std::find(open.failed_servers.begin(), open.failed_servers.end(), backend) !=
               open.failed_servers.end();
    }

    void fill_forwarded(open_exchange const& open, server_attempt const& attempt,
                        platform::attempt_headers headers, outbound_request& request) const
    {
        headers.backend.clear();
        // The peer's last answer must arrive before the deadline here.
        headers.time_left = std::max<duration>(headers.time_left - answer_margin, milliseconds{1});
        headers.taken_up_id =
            open.began_at_peer && open.request.taken_up_id.empty() ? open.request.request_id : std::string();
        request.method = "POST";
        request.bytes = encode_forwarded_head(
            open.request, request.body->size(), headers, attempt.servers_lent, attempt.target.address,
            authorization ? authorization() : "", open.caller_checked || open.identified);
        request.time_limit = std::max<duration>(open.deadline - attempt.begun_at, milliseconds{1});
        request.connect_limit = std::min<duration>(peer_connect_time, request.time_limit / 2);
    }

    bool may_send_replacement(open_pointer const& open)
    {
        bool const sent = open->current->exchange->sent();
        attempt_result const result = sent ? attempt_result::silent : attempt_result::not_sent;
        bool const useful = next_attempt_step(facts_after(*open, result)) == attempt_step::send_again;
        bool const is_retry = sent || open->times_sent > 0;
        if (!useful)
        {
            open->replacement->withdrawn = "no_time";
        }
        else if (is_retry && !retries.try_take(boot_now(), open->service))
        {
            metrics.add("siskin_retries_refused_total", "budget", 1);
            open->replacement->withdrawn = "no_retry_budget";
        }
        return open->replacement->withdrawn.empty();
    }

    // Ends the current attempt, whose server makes no progress, and goes on with its replacement.
    void take_over(open_pointer const& open)
    {
        bool const sent = open->current->exchange->sent();
        open->current->exchange->cancel();
        log.attempt_ended(*open, *open->current, "silent", attempt_ender::instance, "replaced");
        // The silence itself has been reported to the dispatcher already.
        report_end(*open->current, attempt_result::caller_gone);
        count_attempt(*open, *open->current, sent ? attempt_result::silent : attempt_result::not_sent);
        use_replacement(open, "silent");
    }

    // `why` tells how the attempt before it ended.
    void use_replacement(open_pointer const& open, std::string const& why)
    {
        open->last_failure = why;
        metrics.add("siskin_retries_total", why, 1);
        open->current = std::exchange(open->replacement, nullptr);
        watch_progress(open);
    }

    // The replacement ends before it has become the current attempt.
    void on_replacement_end(open_pointer const& open, exchange_end end)
    {
        server_attempt& attempt = *open->replacement;
        attempt.invalid_status = attempt.exchange->invalid_status();
        if (end == exchange_end::complete)
        {
            take_over(open); // on_end() tells of bytes behind the answer.
            on_end(open, end);
            return;
        }
        if (!attempt.withdrawn.empty())
        {
            drop_replacement(open, attempt_result::caller_gone, attempt.withdrawn);
            return;
        }
        drop_replacement(open, result_of(end, attempt.facts), to_string(end));
    }

    void drop_replacement(open_pointer const& open, attempt_result result, std::string const& why)
    {
        end_replacement(*open, result, why);
        watch_progress(open);
        run_dispatcher();
    }

    duration longest_silence(open_exchange const& open) const
    {
        silence_facts facts;
        facts.repeat = open.route.repeat;
        facts.backends_run = open.backends_run;
        facts.max_backends = open.route.max_backends;
        facts.events_received = open.current && open.last_event_at > open.current->begun_at;
        facts.resume_point_known = !open.events_without_id;
        facts.latency_objective = open.route.latency_objective;
        facts.max_event_gap = open.route.max_event_gap;
        facts.wait_at_peer = open.current && open.current->via_peer ? max_wait(open) : duration{0};
        return silence_limit(facts);
    }

    // Looks for another server when the current attempt makes no progress for too long.
    void watch_progress(open_pointer const& open)
    {
        boost::system::error_code ignored;
        open->progress_timer.cancel(ignored);
        duration const limit = longest_silence(*open);
        if (limit > duration{0})
        {
            arm_progress_timer(open, limit, &implementation::on_silence);
        }
    }

    void arm_progress_timer(open_pointer const& open, duration limit,
                            void (implementation::*action)(open_pointer const&))
    {
        open->progress_timer.expires_after(limit);
        open->progress_timer.async_wait(
            [self = shared_from_this(), open, action, watched = open->current,
             beside = open->replacement](boost::system::error_code error)
            {
                // The attempts may have ended by themselves at the moment when the timer expired.
                if (!error && open->is_running() && open->current == watched && open->replacement == beside)
                {
                    (self.get()->*action)(open);
                }
            });
    }

    // The attempt goes on until another server is ready to take the request: a server that is only slow may
    // still answer, and without another one that is the best that the caller can get.
    void on_silence(open_pointer const& open)
    {
        if (!open->current->via_peer)
        {
            requests.on_silence(boot_now(), open->current->target.backend);
            if (!open->current->facts)
            {
                reach.on_failure(boot_now(), open->current->target.backend, false, requests.backends());
            }
        }
        attempt_result const result =
            open->current->exchange->sent() ? attempt_result::silent : attempt_result::not_sent;
        if (next_attempt_step(facts_after(*open, result)) != attempt_step::send_again)
        {
            log.server_silent(*open, "keep", "attempts");
            return;
        }
        log.server_silent(*open, "look_elsewhere", "");
        submit(open);
        run_dispatcher();
    }

    // Returns false to end the exchange in the connection pool; the attempt is then ended by the posted task.
    bool on_head(open_pointer const& open, std::shared_ptr<server_attempt> const& attempt,
                 response_head const& head)
    {
        attempt->facts = platform::decode_answer(head, open->request.request_id, attempt->target.backend);
        platform::answer_info const& facts = *attempt->facts;
        if (!attempt->via_peer)
        {
            learn_from_head(*open, *attempt);
        }
        char const* fault = nullptr;
        if (facts.wrong_request_id)
        {
            fault = "answer_of_another_request";
        }
        else if (!facts.names_request && !attempt->via_peer && !attempt->exchange->fresh())
        {
            // It may have been left on the connection by an earlier request.
            fault = "answer_of_unknown_request";
        }
        else if (is_refusal_of_key(*attempt))
        {
            fault = "peer_refused_key";
        }
        else if (is_success(facts.status) && (!facts.has_server_stamp || facts.encoded))
        {
            fault = "unsigned_answer";
        }
        if (fault != nullptr)
        {
            boost::asio::post(loop,
                              [self = shared_from_this(), open, attempt, fault] {
                                  self->end_closed_attempt(open, attempt, attempt_result::bad_answer, fault);
                              });
            return false;
        }
        if (attempt == open->replacement)
        {
            return on_replacement_head(open, attempt);
        }
        if (facts.not_run && open->replacement && open->replacement->exchange->sent())
        {
            // The replacement takes over at once; the rejected attempt's connection is not worth waiting for.
            boost::asio::post(loop,
                              [self = shared_from_this(), open, attempt]
                              {
                                  if (attempt == open->current && open->is_running())
                                  {
                                      self->end_rejected_attempt(open);
                                  }
                              });
            return false;
        }
        if (facts.not_run)
        {
            stop_looking(*open, "server_rejects");
            arm_progress_timer(open, rejection_body_time, &implementation::end_rejected_attempt);
        }
        else if (is_usable(*open, facts))
        {
            stop_looking(*open, "server_answers");
            watch_progress(open);
        }
        return true;
    }

    // True for a 401 of the peer itself, which is no server's answer to the caller's request. Builds that do
    // not state that the request has not run answer so before they have read the lease record.
    static bool is_refusal_of_key(server_attempt const& attempt)
    {
        constexpr int unauthorized = 401;
        platform::answer_info const& facts = *attempt.facts;
        return attempt.via_peer && facts.status == unauthorized && !facts.not_run && !facts.names_request &&
               !facts.has_server_stamp;
    }

    // What the server itself says in the head of its answer.
    void learn_from_head(open_exchange const& open, server_attempt const& attempt)
    {
        reach.on_answer(boot_now(), attempt.exchange->fresh());
        if (attempt.facts->load)
        {
            requests.on_load(boot_now(), attempt.target.backend, *attempt.facts->load);
        }
        learn_limit(open, attempt);
    }

    void learn_announcements(open_exchange const& open, server_attempt const& attempt)
    {
        platform::answer_info const& facts = *attempt.facts;
        if (facts.leaving && requests.on_leaving(attempt.target.backend))
        {
            log.server_leaves(open, attempt);
        }
        if (facts.pause || !facts.unreadable_pause.empty())
        {
            log.server_pauses(open, attempt,
                              requests.on_pause_request(boot_now(), attempt.target.backend, facts.pause));
        }
    }

    void learn_limit(open_exchange const& open, server_attempt const& attempt)
    {
        platform::answer_info const& facts = *attempt.facts;
        if (facts.from_other_server)
        {
            return;
        }
        learn_announcements(open, attempt);
        bool const unreadable = !facts.unreadable_limit.empty();
        if (unreadable || requests.on_limit(boot_now(), attempt.target.backend, facts.limit))
        {
            log.server_limit(open, attempt);
        }
        bool const unreadable_refusals = !facts.unreadable_refusal_limit.empty();
        if (unreadable_refusals || requests.on_refusal_limit(attempt.target.backend, facts.refusal_limit))
        {
            log.server_brittle(open, attempt);
        }
    }

    // False for an answer after which another server may be tried.
    static bool is_usable(open_exchange const& open, platform::answer_info const& facts)
    {
        return !facts.not_run &&
               (open.route.streaming ? is_success(facts.status) : !is_server_failure(facts));
    }

    // Of two servers, the first one that begins a stream, or completes another answer, serves the request.
    bool on_replacement_head(open_pointer const& open, std::shared_ptr<server_attempt> const& attempt)
    {
        platform::answer_info const& facts = *attempt->facts;
        if (is_usable(*open, facts))
        {
            if (open->route.streaming)
            {
                take_over(open);
            }
            return true;
        }
        char const* const why = facts.not_run ? reason_not_run(facts) : failure_reason(facts);
        attempt_result const result =
            facts.not_run ? attempt_result::refused_not_run : attempt_result::bad_answer;
        boost::asio::post(loop, [self = shared_from_this(), open, attempt, result, why]
                          { self->end_closed_attempt(open, attempt, result, why); });
        return false;
    }

    void end_rejected_attempt(open_pointer const& open)
    {
        open->current->exchange->cancel();
        end_attempt(open, attempt_result::refused_not_run, reason_not_run(*open->current->facts));
    }

    // Ends an attempt whose exchange on_head() has ended. A replacement may have become the current attempt
    // since then, when the one before it ended in the same turn of the loop.
    void end_closed_attempt(open_pointer const& open, std::shared_ptr<server_attempt> const& attempt,
                            attempt_result result, char const* why)
    {
        if (attempt == open->replacement)
        {
            drop_replacement(open, result, why);
        }
        else if (attempt == open->current && open->is_running())
        {
            end_attempt(open, result, why);
        }
    }

    void on_body(open_pointer const& open, std::string const& part)
    {
        server_attempt& attempt = *open->current;
        if (!attempt.via_peer)
        {
            reach.on_answer(boot_now(), attempt.exchange->fresh());
        }
        if (!open->route.streaming || !is_success(attempt.facts->status))
        {
            attempt.body.append(part);
            if (is_usable(*open, *attempt.facts))
            {
                stop_looking(*open, "server_resumed");
                watch_progress(open);
            }
            return;
        }
        std::vector<stream_event> const events = attempt.events.feed(part);
        // Parts of an event and comments are no progress: a stalled server may send them.
        bool const progress = std::any_of(events.begin(), events.end(),
                                          [](stream_event const& each) { return !each.is_comment; });
        if (progress)
        {
            stop_looking(*open, "server_resumed");
        }
        for (stream_event const& event : events)
        {
            bool const in_order = event.is_comment || forward_event(open, event);
            if (event.is_comment)
            {
                forward_comment(*open, event);
            }
            if (!open->is_running())
            {
                return; // The caller disconnected while the event was written.
            }
            if (!in_order)
            {
                attempt.exchange->cancel();
                end_attempt(open, attempt_result::bad_answer, "event_out_of_order");
                return;
            }
        }
        if (attempt.events.too_large() || attempt.leading_comments.size() > event_splitter::max_event_bytes)
        {
            attempt.exchange->cancel();
            end_attempt(open, attempt_result::bad_answer, "event_too_large");
            return;
        }
        attempt.exchange->set_kept_bytes(attempt.events.pending_bytes() + attempt.leading_comments.size());
        if (progress)
        {
            watch_progress(open);
        }
    }

    // Comments do not begin an answer: its stream could not go on elsewhere after that.
    void forward_comment(open_exchange& open, stream_event const& comment)
    {
        if (open.answer_started)
        {
            open.caller->write(comment.bytes);
            return;
        }
        open.current->leading_comments.append(comment.bytes);
    }

    void begin_stream_answer(open_exchange& open)
    {
        open.caller->begin(open.current->facts->status, open.current->facts->header_lines);
        if (!open.current->leading_comments.empty())
        {
            open.caller->write(open.current->leading_comments);
            open.current->leading_comments.clear();
        }
    }

    // Reports the first event of a stream, and long pauses after it, to the dispatcher.
    void report_stream_progress(open_exchange& open, steady_time now)
    {
        server_attempt& attempt = *open.current;
        if (open.last_event_at <= attempt.begun_at)
        {
            attempt.first_event_at = now;
            requests.on_first_event(now, attempt.number);
            return;
        }
        if (!attempt.counted_as_answered && now - attempt.first_event_at >= sound_answer_time)
        {
            count_as_answered(open, attempt);
        }
        duration const pause = now - open.last_event_at;
        open.longest_pause = std::max(open.longest_pause, pause);
        if (open.route.max_event_gap > duration{0})
        {
            double const share = std::chrono::duration<double>(pause) / open.route.max_event_gap;
            if (share >= min_reported_pause_share)
            {
                requests.on_pause(now, open.current->target.backend, share);
            }
        }
    }

    void count_as_answered(open_exchange const& open, server_attempt& attempt)
    {
        attempt.counted_as_answered = true;
        crashes.on_answered(open.suspects);
    }

    // Returns false when the event does not follow the last one.
    bool forward_event(open_pointer const& open, stream_event const& event)
    {
        if (event.id)
        {
            if (open->last_event && *event.id != *open->last_event + 1)
            {
                return false;
            }
            open->last_event = event.id;
        }
        else
        {
            open->events_without_id = true;
        }
        if (!open->answer_started)
        {
            open->answer_started = true;
            remember_stream(*open);
            open->first_event_after = boot_now() - open->caller->arrived();
            begin_stream_answer(*open);
        }
        steady_time const now = boot_now();
        report_stream_progress(*open, now);
        open->last_event_at = now;
        ++open->events_forwarded;
        open->caller->write(event.bytes);
        return true;
    }

    void on_end(open_pointer const& open, exchange_end end)
    {
        log.bytes_behind(*open, *open->current);
        if (end == exchange_end::lost && open->current->exchange->skipped_answers() > 0)
        {
            // A server that repeats answers and closes has not crashed on the request.
            end_attempt(open, attempt_result::bad_answer, to_string(end));
            return;
        }
        if (end != exchange_end::complete)
        {
            open->current->invalid_status = open->current->exchange->invalid_status();
            std::string().swap(open->current->body); // A part of an answer is of no use, and it may be large.
            end_attempt(open, result_of(end, open->current->facts), to_string(end));
            return;
        }
        platform::answer_info const& facts = *open->current->facts;
        if (facts.not_run)
        {
            end_attempt(open, attempt_result::refused_not_run, reason_not_run(facts));
            return;
        }
        if (open->answer_started && !is_success(facts.status))
        {
            end_attempt(open, attempt_result::bad_answer, "stream_not_resumed");
            return;
        }
        if (open->route.streaming && is_success(facts.status))
        {
            if (open->current->events.in_event())
            {
                end_attempt(open, attempt_result::bad_answer, broken_event);
                return;
            }
            if (!facts.has_end && !open->last_event && open->events_forwarded == 0)
            {
                end_attempt(open, attempt_result::bad_answer, no_event);
                return;
            }
            report_end(*open->current, attempt_result::answered);
            ++open->backends_run;
            if (facts.has_end && open->current->first_event_at != steady_time{})
            {
                count_as_answered(*open, *open->current);
            }
            if (!open->answer_started)
            {
                begin_stream_answer(*open);
            }
            open->caller->end();
            streams.on_complete(stream_id(*open));
            close(*open, "served", facts.status);
            return;
        }
        if (is_server_failure(facts))
        {
            open->failed_facts = facts;
            open->failed_body = open->current->body;
            end_attempt(open, attempt_result::answered, failure_reason(facts));
            return;
        }
        report_end(*open->current, attempt_result::answered);
        ++open->backends_run;
        if (facts.has_end && is_success(facts.status))
        {
            count_as_answered(*open, *open->current);
        }
        open->caller->answer(facts.status, facts.header_lines, open->current->body);
        close(*open, "served", facts.status);
    }

    void report_end(server_attempt& attempt, attempt_result result, bool server_error = false)
    {
        bool const fresh = !attempt.exchange || attempt.exchange->fresh();
        attempt.exchange.reset();
        if (attempt.via_peer)
        {
            relays.on_end(attempt.target.address);
            return;
        }
        // A kept connection also ends when its server does.
        bool const silent = result == attempt_result::silent;
        bool const unreached =
            fresh && (result == attempt_result::not_sent || result == attempt_result::connection_lost);
        if (!attempt.facts && (silent || unreached))
        {
            reach.on_failure(boot_now(), attempt.target.backend, unreached, requests.backends());
        }
        bool const absent =
            attempt.facts && attempt.facts->status == 421 && !attempt.facts->from_other_server;
        requests.on_attempt_end(boot_now(), {attempt.number, attempt.target.backend, result, server_error,
                                             absent, boot_now() - attempt.begun_at});
    }

    // Reports an attempt whose server ended the connection, if the server may have crashed on the request.
    void report_loss(open_exchange const& open, server_attempt const& attempt)
    {
        backend_entry const* const server = requests.find_backend(attempt.target.backend);
        bool const begun_earlier = attempt.first_event_at != steady_time{} &&
                                   boot_now() - attempt.first_event_at >= crash_onset_time;
        if (server != nullptr && !server->leaving && !begun_earlier)
        {
            crashes.on_lost(*server, open.suspects);
        }
    }

    // What is known about the request if its current attempt ends with `result`.
    attempt_facts facts_after(open_exchange const& open, attempt_result result) const
    {
        attempt_facts facts;
        facts.repeat = open.route.repeat;
        facts.result = result;
        facts.may_have_run_before = open.may_have_run;
        facts.backends_run = open.backends_run + (may_have_run(result) ? 1 : 0);
        facts.max_backends = open.route.max_backends;
        facts.times_sent = open.times_sent + times_sent_in(*open.current, result);
        facts.answer_started = open.answer_started;
        facts.resume_point_known = !open.events_without_id && open.last_event.has_value();
        facts.time_left = open.deadline - boot_now();
        return facts;
    }

    // How often the attempt has sent the request to servers. A peer that did not run it tells; one of an
    // older build does not, and has sent it more often from its own retry budget only.
    static unsigned times_sent_in(server_attempt const& attempt, attempt_result result)
    {
        if (result == attempt_result::not_sent)
        {
            return 0;
        }
        bool const told = attempt.via_peer && result == attempt_result::refused_not_run && attempt.facts;
        return told ? attempt.facts->times_sent.value_or(1) : 1;
    }

    void count_attempt(open_exchange& open, server_attempt const& attempt, attempt_result result)
    {
        open.times_sent += times_sent_in(attempt, result);
        open.backends_run += may_have_run(result) ? 1 : 0;
        open.may_have_run = open.may_have_run || may_have_run(result);
        bool const peer_tried = attempt.via_peer && may_have_run(result);
        (peer_tried ? open.unsuccessful_peers : open.failed_servers).push_back(attempt.target.backend);
    }

    // Decides what follows an attempt that gave no complete answer, or one that the server answered with a
    // failure.
    void end_attempt(open_pointer const& open, attempt_result result, std::string const& why)
    {
        if (exchanges.count(open->number) == 0)
        {
            return;
        }
        bool const lost = result == attempt_result::connection_lost || why == broken_event || why == no_event;
        if (lost)
        {
            report_loss(*open, *open->current);
        }
        if (open->on_trial && lost)
        {
            crashes.end_trial(open->suspects, true);
        }
        attempt_step step = next_attempt_step(facts_after(*open, result));
        report_end(*open->current, result, result == attempt_result::answered);
        count_attempt(*open, *open->current, result);
        if (open->replacement && open->replacement->exchange->sent())
        {
            log.attempt_ended(*open, *open->current, why, ender_of(result), "replaced");
            use_replacement(open, why);
            run_dispatcher();
            return;
        }
        stop_looking(*open, "server_ended");
        open->last_failure = why;
        bool const needs_budget = open->times_sent > 0;
        if (step == attempt_step::send_again && needs_budget && !retries.try_take(boot_now(), open->service))
        {
            metrics.add("siskin_retries_refused_total", "budget", 1);
            step = open->answer_started ? attempt_step::abort_answer
                   : open->may_have_run ? attempt_step::fail_may_have_run
                                        : attempt_step::refuse_not_run;
        }
        log.attempt_ended(*open, *open->current, why, ender_of(result),
                          step == attempt_step::send_again ? "send_again" : "end");
        if (step == attempt_step::send_again)
        {
            metrics.add("siskin_retries_total", why, 1);
            submit(open);
            run_dispatcher();
            return;
        }
        if (open->failed_facts && !open->answer_started)
        {
            forward_server_failure(*open);
        }
        else if (step == attempt_step::refuse_not_run)
        {
            refuse(*open, failed_retry_after, why);
        }
        else
        {
            give_up(*open, why);
        }
        run_dispatcher();
    }

    // Forwards the failure answer of a server to the caller. A status that would promise more than the server
    // did is replaced, without the server's signature.
    void forward_server_failure(open_exchange& open)
    {
        if (is_unproven_refusal(*open.failed_facts))
        {
            open.caller->answer(502, "", "");
            close(open, unproven_refusal, 502);
            return;
        }
        open.caller->answer(open.failed_facts->status, open.failed_facts->header_lines, open.failed_body);
        close(open, "server_error", open.failed_facts->status);
    }

    void refuse(open_exchange& open, duration retry_after, std::string const& reason, int status = 503)
    {
        open.last_failure = reason;
        metrics.add("siskin_refusals_total", reason, 1);
        open.caller->answer(status,
                            platform::encode_retry_after(retry_after) +
                                (open.forwarded ? platform::encode_not_run(open.times_sent) : ""),
                            "");
        close(open, refused_not_run, status);
    }

    void give_up(open_exchange& open, std::string const& reason)
    {
        open.last_failure = reason;
        metrics.add("siskin_failures_total", reason, 1);
        if (open.answer_started)
        {
            open.caller->abort();
            close(open, "broken_off", 0);
            return;
        }
        bool const late = boot_now() + answer_margin >= open.deadline;
        open.caller->answer(late ? 504 : 502, "", "");
        close(open, "may_have_run", late ? 504 : 502);
    }

    void arm_deadline(open_pointer const& open)
    {
        open->deadline_timer.expires_after(span_until(open->deadline));
        open->deadline_timer.async_wait(
            [self = shared_from_this(), open](boost::system::error_code error)
            {
                if (!error)
                {
                    self->end_now(open, "deadline", failed_retry_after);
                    self->run_dispatcher();
                }
            });
    }

    // Answers everything that is open, so that no caller is left with a closed connection.
    void end_all()
    {
        std::vector<open_pointer> open_now;
        for (auto const& [number, open] : exchanges)
        {
            open_now.push_back(open);
        }
        for (open_pointer const& open : open_now)
        {
            end_now(open, "stopping", stopping_retry_after);
        }
    }

    // Gives the final answer: a refusal if the request has not run.
    void end_now(open_pointer const& open, char const* why, duration retry_after)
    {
        if (exchanges.count(open->number) == 0)
        {
            return;
        }
        bool const sent = open->is_running() && open->current->exchange->sent();
        stop_looking(*open, why);
        if (open->is_running())
        {
            log.attempt_ended(*open, *open->current, why, attempt_ender::instance, "end");
            open->current->exchange->cancel();
            report_end(*open->current, sent ? attempt_result::silent : attempt_result::not_sent);
            count_attempt(*open, *open->current, sent ? attempt_result::silent : attempt_result::not_sent);
        }
        if (open->failed_facts && !open->answer_started)
        {
            forward_server_failure(*open);
        }
        else if (open->may_have_run || open->answer_started)
        {
            give_up(*open, why);
        }
        else
        {
            refuse(*open, retry_after, why);
        }
    }

    void on_gone(request_number number)
    {
        auto const found = exchanges.find(number);
        if (found == exchanges.end())
        {
            return;
        }
        open_pointer const open = found->second;
        stop_looking(*open, "caller_gone");
        if (open->is_running())
        {
            log.attempt_ended(*open, *open->current, "caller_gone", attempt_ender::caller, "end");
            bool const sent = open->current->exchange->sent();
            open->current->exchange->cancel();
            report_end(*open->current, attempt_result::caller_gone);
            count_attempt(*open, *open->current,
                          sent ? attempt_result::caller_gone : attempt_result::not_sent);
        }
        close(*open, caller_gone, 0);
        run_dispatcher();
    }

    void close(open_exchange& open, char const* outcome, int status)
    {
        if (open.on_trial)
        {
            crashes.end_trial(open.suspects, false);
        }
        stop_looking(open, "answered");
        settle_quota(open, outcome);
        boost::system::error_code ignored;
        open.deadline_timer.cancel(ignored);
        open.progress_timer.cancel(ignored);
        log.request_ended(open, outcome, status, config_version());
        exchanges.erase(open.number);
    }

    // Work that has not run is not charged.
    void settle_quota(open_exchange& open, std::string const& outcome)
    {
        if (std::exchange(open.awaits_credit, false))
        {
            quotas.withdraw(open.number);
        }
        bool const never_sent = !open.may_have_run && open.times_sent == 0;
        bool const not_run = outcome == refused_not_run || (outcome == caller_gone && never_sent);
        if (std::exchange(open.charged, false) && not_run)
        {
            quotas.give_back(open.request.organisation, open.quota_cost);
        }
    }

    boost::asio::io_context& loop;
    outbound_pool& pool;
    dispatcher& requests;
    service_retry_budget& retries;
    crash_reporter& crashes;
    stream_register& streams;
    server_reach& reach;
    relay_directory& relays;
    caller_access& access;
    quota_keeper& quotas;
    request_log log;
    metric_port& metrics;
    random_source random;
    boost::asio::steady_timer dispatch_timer;
    boost::asio::steady_timer relay_timer;
    // Requests that wait until the lease holder has told which instances reach servers.
    std::vector<open_pointer> unrelayed;
    std::function<std::string()> authorization;
    std::optional<route_table> routes;
    std::unordered_map<request_number, open_pointer> exchanges;
    // Requests that wait for a server, by the number of the attempt that will follow.
    std::unordered_map<request_number, open_pointer> waiting;
    std::function<void()> missing_model_handler;
    stream_question unknown_stream_handler;
    request_number last_number = 0;
    steady_time stop_begun;
    std::optional<steady_time> stop_end;
};

request_service::request_service(boost::asio::io_context& loop, outbound_pool& pool, dispatcher& requests,
                                 service_retry_budget& retries, crash_reporter& crashes,
                                 stream_register& streams, server_reach& reach, relay_directory& relays,
                                 caller_access& access, quota_keeper& quotas, log_port& log,
                                 metric_port& metrics, latency_port& latencies, std::uint64_t seed)
    : impl_(std::make_shared<implementation>(loop, pool, requests, retries, crashes, streams, reach, relays,
                                             access, quotas, log, metrics, latencies, seed))
{
    quotas.on_step(
        [weak = std::weak_ptr<implementation>(impl_)](quota_step const& step)
        {
            if (auto const self = weak.lock())
            {
                std::visit([&self](auto const& each) { self->carry_out_quota(each); }, step);
            }
        });
}

request_service::~request_service() = default;

void request_service::on_config(std::shared_ptr<serving_config const> config)
{
    impl_->access.on_config(config);
    impl_->quotas.on_config(config);
    impl_->routes.emplace(std::move(config));
    impl_->withhold_credentials();
}

void request_service::on_forwarded(std::shared_ptr<caller_exchange> const& call)
{
    auto decoded = decode_forwarded_call(call->head(), call->body());
    if (!decoded)
    {
        call->answer(400, "", "");
        return;
    }
    impl_->accept(call->unwrap(decoded->head, std::move(decoded->body)), decoded->servers_left,
                  decoded->caller_checked);
}

void request_service::on_reach_change()
{
    impl_->on_reach_change();
}

void request_service::on_relays()
{
    impl_->on_relays();
}

void request_service::on_authorization(std::function<std::string()> provider)
{
    impl_->authorization = std::move(provider);
}

void request_service::on_blocked()
{
    impl_->refuse_newly_blocked();
}

void request_service::on_request(std::shared_ptr<caller_exchange> exchange)
{
    impl_->accept(std::move(exchange));
}

std::optional<head_refusal> request_service::refuse_by_head(request_head const& head)
{
    return impl_->refuse_by_head(head);
}

void request_service::run_dispatcher()
{
    impl_->run_dispatcher();
}

void request_service::begin_stop(steady_time end)
{
    impl_->stop_begun = boot_now();
    impl_->stop_end = end;
    impl_->requests.refuse_waiting_by(impl_->stop_begun + stopping_wait_limit);
    impl_->run_dispatcher();
}

void request_service::end_all()
{
    impl_->end_all();
}

void request_service::on_missing_model(std::function<void()> handler)
{
    impl_->missing_model_handler = std::move(handler);
}

void request_service::on_unknown_stream(stream_question handler)
{
    impl_->unknown_stream_handler = std::move(handler);
}

bool request_service::has_config() const
{
    return impl_->routes.has_value();
}

std::size_t request_service::open_requests() const
{
    return impl_->exchanges.size();
}

} // namespace siskinusher
