#include "decision/configuration_register.hpp"

#include "core/invariant.hpp"
#include "core/random_source.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace siskinusher
{

namespace
{

constexpr char const* config_key = "config";

template <typename... Ts>
struct overloaded : Ts...
{
    using Ts::operator()...;
};
template <typename... Ts>
overloaded(Ts...) -> overloaded<Ts...>;

} // namespace

class configuration_register::state
{
public:
    state(register_settings settings, std::uint64_t seed) : settings_(std::move(settings)), random_(seed) {}

    void on_tick(steady_time now, outbox& out);
    void on_store_reply(steady_time now, store_reply const& reply, outbox& out);
    void on_heartbeat(steady_time now, std::string const& from, std::uint64_t generation, outbox& out);
    void on_fetch(steady_time now, std::string const& from, config_fetch const& fetch, outbox& out);
    void on_text(steady_time now, std::string const& from, config_object const& object, outbox& out);
    void on_parsed(config_parsed const& parsed, outbox& out);
    void on_members(steady_time now, std::vector<member> const& members);
    std::shared_ptr<fleet_config const> current() const { return current_; }
    bool ready() const { return ready_; }

private:
    /// A peer that is asked for its configuration before this instance is ready.
    struct source
    {
        bool settled = false; ///< Answered or timed out.
        steady_time deadline{};
        steady_time next_request{};
    };

    /// The one store call that is in flight or due.
    struct store_call
    {
        bool in_flight = false;
        std::uint64_t tag = 0;
        steady_time at{}; ///< While in flight, the time at which the call counts as lost; else the due time.
    };

    /// A peer with a newer generation than this instance.
    struct newer_peer
    {
        std::string name;
        std::uint64_t generation = 0;
        steady_time fetch_at{};
    };

    struct pending_parse
    {
        config_object object;
        steady_time repeat_at{};
    };

    void start(steady_time now);
    void add_source(steady_time now, std::string const& name);
    void call_store(steady_time now, outbox& out);
    void schedule_retry(steady_time now, outbox& out);
    void schedule_watch(steady_time now);
    void request_from_peers(steady_time now, outbox& out);
    void fetch_from_newer_peer(steady_time now, outbox& out);
    void note_newer_generation(steady_time now, std::string const& name, std::uint64_t generation);
    void consider_text(steady_time now, config_object const& object, std::string const& origin, outbox& out);
    bool check_same_text(config_object const& known, config_object const& object, std::string const& origin,
                         outbox& out) const;
    void update_ready(outbox& out);
    std::uint64_t generation() const { return object_.generation; }
    /// The highest generation whose text need not be fetched: in force, being parsed or refused.
    std::uint64_t handled_generation() const;

    register_settings settings_;
    random_source random_;
    bool started_ = false;
    bool ready_ = false;
    std::map<std::string, source> sources_;
    bool store_settled_ = false;
    steady_time store_deadline_{};
    bool store_reached_ = false; ///< True when the last store call was answered.
    store_call store_;
    steady_time last_call_{};
    std::uint64_t next_tag_ = 1;
    std::optional<object_version> version_; ///< Of the object as last read; empty before the first answer.
    config_object object_; ///< The text in force; its generation is zero before the first one.
    std::shared_ptr<fleet_config const> current_;
    std::optional<pending_parse> pending_;
    std::optional<config_object> refused_; ///< The newest text that did not pass the checks.
    std::optional<newer_peer> newer_peer_;
    steady_time next_fetch_{}; ///< No fetch before this time, so that a pending transfer can arrive first.
};

std::uint64_t configuration_register::state::handled_generation() const
{
    std::uint64_t highest = generation();
    highest = pending_ ? std::max(highest, pending_->object.generation) : highest;
    return refused_ ? std::max(highest, refused_->generation) : highest;
}

void configuration_register::state::start(steady_time now)
{
    started_ = true;
    store_.at = now;
    store_deadline_ = now + settings_.source_timeout;
    last_call_ = now - settings_.watch_spacing;
    for (auto const& peer : settings_.peers)
    {
        add_source(now, peer);
    }
}

void configuration_register::state::add_source(steady_time now, std::string const& name)
{
    if (name != settings_.self)
    {
        sources_.emplace(name, source{false, now + settings_.source_timeout, now});
    }
}

void configuration_register::state::on_tick(steady_time now, outbox& out)
{
    if (!started_)
    {
        start(now);
    }
    if (store_.in_flight && now >= store_.at)
    {
        schedule_retry(now, out);
    }
    if (!store_.in_flight && now >= store_.at)
    {
        call_store(now, out);
    }
    if (!store_settled_ && now >= store_deadline_)
    {
        store_settled_ = true;
    }
    if (pending_ && now >= pending_->repeat_at)
    {
        pending_->repeat_at = now + settings_.parse_timeout;
        out.emplace_back(parse_config{pending_->object});
    }
    request_from_peers(now, out);
    fetch_from_newer_peer(now, out);
    update_ready(out);
}

void configuration_register::state::call_store(steady_time now, outbox& out)
{
    store_.in_flight = true;
    store_.tag = next_tag_++;
    store_.at = now + settings_.reply_margin + (version_ ? settings_.watch_time : duration{0});
    last_call_ = now;
    out.emplace_back(
        store_request{store_owner::configuration, store_.tag, config_key,
                      version_ ? store_operation{store_watch{*version_}} : store_operation{store_get{}}});
}

void configuration_register::state::schedule_retry(steady_time now, outbox& out)
{
    if (store_reached_ || !store_settled_)
    {
        out.emplace_back(
            log_event{"config_store_unavailable", {{"generation", std::to_string(generation())}}});
    }
    store_reached_ = false;
    store_settled_ = true;
    store_.in_flight = false;
    auto const spread = static_cast<std::uint64_t>(settings_.reconnect_spread.count());
    store_.at = std::max(now + duration{static_cast<duration::rep>(random_.below(spread))},
                         last_call_ + settings_.watch_spacing);
}

void configuration_register::state::schedule_watch(steady_time now)
{
    store_reached_ = true;
    store_settled_ = true;
    store_.in_flight = false;
    store_.at = std::max(now, last_call_ + settings_.watch_spacing);
}

void configuration_register::state::on_store_reply(steady_time now, store_reply const& reply, outbox& out)
{
    auto const* const found = std::get_if<store_found>(&reply.result);
    auto const* const object = found == nullptr ? nullptr : std::get_if<config_object>(&found->value);
    if (object != nullptr)
    {
        // This includes replies to calls that count as lost: an accepted text is valid whenever it arrives.
        consider_text(now, *object, "store", out);
    }
    if (!store_.in_flight || reply.tag != store_.tag)
    {
        update_ready(out);
        return;
    }
    if (object != nullptr)
    {
        version_ = found->version;
        schedule_watch(now);
    }
    else if (std::holds_alternative<store_absent>(reply.result))
    {
        version_ = 0;
        schedule_watch(now);
    }
    else if (std::holds_alternative<store_unchanged>(reply.result))
    {
        schedule_watch(now);
    }
    else
    {
        check_invariant(found == nullptr, "config_object_type", "key=config");
        schedule_retry(now, out);
    }
    if (!store_.in_flight && now >= store_.at)
    {
        call_store(now, out);
    }
    update_ready(out);
}

void configuration_register::state::request_from_peers(steady_time now, outbox& out)
{
    for (auto& [name, each] : sources_)
    {
        if (!each.settled && now >= each.deadline)
        {
            each.settled = true;
        }
        // While there is no configuration at all, peers are asked again until one of them has a text.
        bool const request_due = ready_ ? false : !each.settled || object_.generation == 0;
        if (request_due && now >= each.next_request)
        {
            each.next_request = now + settings_.peer_request_interval;
            out.emplace_back(send_peer{name, config_fetch{handled_generation()}});
        }
    }
}

void configuration_register::state::note_newer_generation(steady_time now, std::string const& name,
                                                          std::uint64_t generation)
{
    if (generation <= handled_generation() || (newer_peer_ && newer_peer_->generation >= generation))
    {
        return;
    }
    // An earlier fetch time is kept, so that a series of changes cannot postpone the transfer for ever.
    duration const delay = store_reached_ ? settings_.fetch_delay : duration{0};
    steady_time const at = newer_peer_ ? newer_peer_->fetch_at : std::max(now + delay, next_fetch_);
    newer_peer_ = newer_peer{name, generation, at};
}

void configuration_register::state::fetch_from_newer_peer(steady_time now, outbox& out)
{
    if (!newer_peer_)
    {
        return;
    }
    if (newer_peer_->generation <= handled_generation())
    {
        newer_peer_.reset();
        return;
    }
    if (now < newer_peer_->fetch_at)
    {
        return;
    }
    out.emplace_back(send_peer{newer_peer_->name, config_fetch{handled_generation()}});
    // If this transfer is lost, the next heartbeat of an instance with a newer generation repeats it.
    next_fetch_ = now + settings_.peer_request_interval;
    newer_peer_.reset();
}

void configuration_register::state::on_heartbeat(steady_time now, std::string const& from,
                                                 std::uint64_t generation, outbox& out)
{
    note_newer_generation(now, from, generation);
    fetch_from_newer_peer(now, out);
}

void configuration_register::state::on_fetch(steady_time now, std::string const& from,
                                             config_fetch const& fetch, outbox& out)
{
    // Generation zero in the reply means that there is no newer text than that of the requesting instance.
    bool const newer = generation() > fetch.have_generation;
    out.emplace_back(send_peer{from, config_text{newer ? object_ : config_object{}}});
    note_newer_generation(now, from, fetch.have_generation);
}

void configuration_register::state::on_text(steady_time now, std::string const& from,
                                            config_object const& object, outbox& out)
{
    auto const asked = sources_.find(from);
    if (asked != sources_.end())
    {
        asked->second.settled = true;
    }
    if (object.generation > 0)
    {
        consider_text(now, object, from, out);
    }
    update_ready(out);
}

bool configuration_register::state::check_same_text(config_object const& known, config_object const& object,
                                                    std::string const& origin, outbox& out) const
{
    if (known.text == object.text)
    {
        return true;
    }
    std::string const generation_text = std::to_string(object.generation);
    check_invariant(false, "config_generation_has_one_text",
                    "generation=" + generation_text + " origin=" + origin);
    out.emplace_back(count_metric{"siskin_config_ignored_total", "other_text", 1});
    out.emplace_back(
        log_event{"config_other_text_ignored", {{"generation", generation_text}, {"origin", origin}}});
    return false;
}

void configuration_register::state::consider_text(steady_time now, config_object const& object,
                                                  std::string const& origin, outbox& out)
{
    if (object.generation == 0)
    {
        out.emplace_back(log_event{"config_without_generation_ignored", {{"origin", origin}}});
        return;
    }
    if (object.generation < generation())
    {
        out.emplace_back(count_metric{"siskin_config_ignored_total", "older", 1});
        out.emplace_back(log_event{"config_older_ignored",
                                   {{"generation", std::to_string(object.generation)},
                                    {"in_force", std::to_string(generation())},
                                    {"origin", origin}}});
        return;
    }
    if (object.generation == generation())
    {
        check_same_text(object_, object, origin, out);
        return;
    }
    if (refused_ && *refused_ == object)
    {
        return; // Parsing the same text again would give the same errors.
    }
    if (pending_ && pending_->object.generation >= object.generation)
    {
        if (pending_->object.generation == object.generation)
        {
            check_same_text(pending_->object, object, origin, out);
        }
        return;
    }
    pending_ = pending_parse{object, now + settings_.parse_timeout};
    out.emplace_back(parse_config{object});
    out.emplace_back(log_event{"config_received",
                               {{"generation", std::to_string(object.generation)}, {"origin", origin}}});
}

void configuration_register::state::on_parsed(config_parsed const& parsed, outbox& out)
{
    if (pending_ && pending_->object == parsed.object)
    {
        pending_.reset();
    }
    std::string const generation_text = std::to_string(parsed.object.generation);
    if (!parsed.config)
    {
        if (!refused_ || refused_->generation <= parsed.object.generation)
        {
            refused_ = parsed.object;
        }
        out.emplace_back(count_metric{"siskin_config_ignored_total", "refused", 1});
        out.emplace_back(log_event{
            "config_refused", {{"generation", generation_text}, {"in_force", std::to_string(generation())}}});
        update_ready(out);
        return;
    }
    if (!check_invariant(parsed.config->generation == parsed.object.generation, "config_parsed_generation",
                         "object=" + generation_text +
                             " config=" + std::to_string(parsed.config->generation)))
    {
        return;
    }
    if (parsed.object.generation > generation())
    {
        object_ = parsed.object;
        current_ = parsed.config;
        out.emplace_back(log_event{"config_in_force", {{"generation", generation_text}}});
    }
    update_ready(out);
}

void configuration_register::state::on_members(steady_time now, std::vector<member> const& members)
{
    if (ready_)
    {
        return;
    }
    if (!started_) // The first tick asks these instances together with the peers of the settings.
    {
        for (auto const& each : members)
        {
            settings_.peers.push_back(each.id.name);
        }
        return;
    }
    for (auto const& each : members)
    {
        add_source(now, each.id.name);
    }
}

void configuration_register::state::update_ready(outbox& out)
{
    if (ready_ || !started_ || !current_ || !store_settled_ || pending_)
    {
        return;
    }
    bool const asked =
        std::all_of(sources_.begin(), sources_.end(), [](auto const& entry) { return entry.second.settled; });
    if (asked)
    {
        ready_ = true;
        out.emplace_back(log_event{"config_ready", {{"generation", std::to_string(generation())}}});
    }
}

configuration_register::configuration_register(register_settings settings, std::uint64_t seed)
    : state_(std::make_unique<state>(std::move(settings), seed))
{
}
configuration_register::~configuration_register() = default;
configuration_register::configuration_register(configuration_register&&) noexcept = default;
configuration_register& configuration_register::operator=(configuration_register&&) noexcept = default;

void configuration_register::on_tick(steady_time now, outbox& out)
{
    state_->on_tick(now, out);
}

void configuration_register::on_store_reply(steady_time now, store_reply const& reply, outbox& out)
{
    state_->on_store_reply(now, reply, out);
}

void configuration_register::on_peer(steady_time now, instance_id const& from, peer_message const& message,
                                     outbox& out)
{
    std::visit(overloaded{[&](heartbeat const& m)
                          { state_->on_heartbeat(now, from.name, m.config_generation, out); },
                          [&](config_fetch const& m) { state_->on_fetch(now, from.name, m, out); },
                          [&](config_text const& m) { state_->on_text(now, from.name, m.object, out); },
                          [](auto const&) {}},
               message);
}

void configuration_register::on_parsed(steady_time /*now*/, config_parsed const& parsed, outbox& out)
{
    state_->on_parsed(parsed, out);
}

void configuration_register::on_members(steady_time now, std::vector<member> const& members)
{
    state_->on_members(now, members);
}

std::shared_ptr<fleet_config const> configuration_register::current() const
{
    return state_->current();
}

bool configuration_register::ready() const
{
    return state_->ready();
}

} // namespace siskinusher
