#include "tests/wire/store_standin.hpp"

#include <chrono>
#include <thread>

namespace siskinusher::standins
{

namespace
{

using nlohmann::json;

constexpr char const* prefix = "/api/objects/";

} // namespace

store_standin::store_standin()
    : server_(
          "127.0.0.1", 0, [this](http_exchange& exchange) { serve(exchange); }, [](json const&) {})
{
}

store_standin::~store_standin()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
}

json store_standin::encode(std::string const& name, object const& value) const
{
    return {{"metadata",
             {{"name", name},
              {"revision", value.revision},
              {"create_rev", value.created},
              {"finalizers", json::array()},
              {"deleting", false}}},
            {"spec", value.spec},
            {"status", nullptr}};
}

void store_standin::record(std::string const& kind, std::string const& name, object const& value,
                           bool deleted)
{
    history_.push_back({revision_, kind, {{"object", encode(name, value)}, {"deleted", deleted}}});
    changed_.notify_all();
}

void store_standin::write(std::string const& kind, std::string const& name, json const& spec)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    object& value = kinds_[kind][name];
    if (value.revision != 0 && value.spec == spec)
    {
        return;
    }
    value.revision = ++revision_;
    value.created = value.created == 0 ? revision_ : value.created;
    value.spec = spec;
    record(kind, name, value, false);
}

void store_standin::write_text(std::string const& kind, std::string const& name, std::string spec)
{
    std::unique_lock<std::mutex> lock(mutex_);
    std::string const placeholder = "text of " + kind + " " + name;
    texts_[placeholder] = std::move(spec);
    lock.unlock();
    write(kind, name, placeholder);
}

void store_standin::remove(std::string const& kind, std::string const& name)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const found = kinds_[kind].find(name);
    if (found == kinds_[kind].end())
    {
        return;
    }
    ++revision_;
    record(kind, name, found->second, true);
    kinds_[kind].erase(found);
}

void store_standin::set_mode(mode value)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    mode_ = value;
    changed_.notify_all();
}

void store_standin::cut_off_watches()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    ++cuts_;
    changed_.notify_all();
}

void store_standin::drop_history()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    dropped_revision_ = revision_;
    history_.clear();
    changed_.notify_all();
}

void store_standin::keep_copy()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    copy_ = {kinds_, revision_};
}

void store_standin::restore()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    kinds_ = copy_.kinds;
    revision_ = copy_.revision;
    while (!history_.empty() && history_.back().revision > revision_)
    {
        history_.pop_back();
    }
    era_ = std::to_string(1 + ++restorations_);
    changed_.notify_all();
}

void store_standin::set_era(std::optional<std::string> era)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    era_ = std::move(era);
}

unsigned store_standin::refused_calls()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return refused_calls_;
}

unsigned store_standin::server_entry_reads()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return server_entry_reads_;
}

json store_standin::spec_of(std::string const& kind, std::string const& name)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const found = kinds_[kind].find(name);
    return found == kinds_[kind].end() ? json() : found->second.spec;
}

void store_standin::serve(http_exchange& exchange)
{
    mode now = mode::up;
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        now = mode_;
        if (era_)
        {
            exchange.set_header("Store-Era", *era_);
        }
    }
    if (now == mode::silent)
    {
        exchange.abort();
        return;
    }
    std::string const path = exchange.path().substr(0, exchange.path().find('?'));
    if (now == mode::busy || path.rfind(prefix, 0) != 0)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        refused_calls_ += now == mode::busy && exchange.query("stale_ok").empty() ? 1 : 0;
        exchange.reply(now == mode::busy ? 503 : 404, "{}");
        return;
    }
    std::string const rest = path.substr(std::string(prefix).size());
    std::size_t const slash = rest.find('/');
    std::string const kind = rest.substr(0, slash);
    std::string const name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    if (kind == "servers" && name.empty())
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        ++server_entry_reads_;
    }
    if (exchange.method() == "POST" || exchange.method() == "PUT")
    {
        put(exchange, kind, name, exchange.method() == "POST");
    }
    else if (exchange.method() == "DELETE")
    {
        remove(kind, name);
        exchange.reply(200, "{}");
    }
    else if (!name.empty())
    {
        std::unique_lock<std::mutex> lock(mutex_);
        auto const found = kinds_[kind].find(name);
        std::string const body = found == kinds_[kind].end() ? "" : encode(name, found->second).dump();
        lock.unlock();
        exchange.reply(body.empty() ? 404 : 200, body.empty() ? "{}" : body);
    }
    else if (!exchange.query("watch").empty())
    {
        watch(exchange, kind);
    }
    else
    {
        list(exchange, kind);
    }
}

std::string store_standin::text_of(json const& body)
{
    std::string text = body.dump();
    for (auto const& [spec, replacement] : texts_)
    {
        std::string const quoted = '"' + spec + '"';
        for (std::size_t at = text.find(quoted); at != std::string::npos; at = text.find(quoted, at))
        {
            text.replace(at, quoted.size(), replacement);
            at += replacement.size();
        }
    }
    return text;
}

void store_standin::list(http_exchange& exchange, std::string const& kind)
{
    json items = json::array();
    std::string const after = exchange.query("after");
    std::size_t const limit = page_size_;
    bool truncated = false;
    std::unique_lock<std::mutex> lock(mutex_);
    for (auto const& [name, value] : kinds_[kind])
    {
        truncated = limit > 0 && items.size() >= limit;
        if (truncated)
        {
            break;
        }
        if (name > after)
        {
            items.push_back(encode(name, value));
        }
    }
    json const body{{"items", items}, {"truncated", truncated}, {"as_of", revision_}};
    std::string const text = text_of(body);
    lock.unlock();
    exchange.reply(200, text);
}

void store_standin::watch(http_exchange& exchange, std::string const& kind)
{
    std::uint64_t const since = std::stoull(exchange.query("watch"));
    auto const until =
        std::chrono::steady_clock::now() + std::chrono::milliseconds{std::stoll(exchange.query("wait_ms"))};
    std::unique_lock<std::mutex> lock(mutex_);
    std::uint64_t const restorations = restorations_;
    std::uint64_t const cuts = cuts_;
    for (;;)
    {
        if (mode_ != mode::up || stopping_ || restorations_ != restorations || cuts_ != cuts)
        {
            lock.unlock();
            exchange.abort();
            return;
        }
        if (since < dropped_revision_ || since > revision_)
        {
            lock.unlock();
            exchange.reply(410, "{}");
            return;
        }
        json events = json::array();
        for (change const& each : history_)
        {
            if (each.kind == kind && each.revision > since)
            {
                events.push_back(each.event);
            }
        }
        bool const over = ends_waits_early_ || std::chrono::steady_clock::now() >= until;
        if (!events.empty() || over)
        {
            std::string const text = text_of(json{{"events", events}, {"as_of", revision_}});
            lock.unlock();
            exchange.reply(200, text);
            return;
        }
        changed_.wait_until(lock, until);
    }
}

void store_standin::put(http_exchange& exchange, std::string const& kind, std::string const& name,
                        bool create)
{
    json const body = json::parse(exchange.body());
    std::string const target = create ? body["metadata"]["name"].get<std::string>() : name;
    std::unique_lock<std::mutex> lock(mutex_);
    auto const found = kinds_[kind].find(target);
    bool const exists = found != kinds_[kind].end();
    bool const holds = create ? !exists
                              : exists && (!body["metadata"].contains("revision") ||
                                           body["metadata"]["revision"] == found->second.revision);
    if (!holds)
    {
        std::string const current = exists ? encode(target, found->second).dump() : "{}";
        lock.unlock();
        exchange.reply(create || exists ? 409 : 404, current);
        return;
    }
    object& value = kinds_[kind][target];
    value.revision = ++revision_;
    value.created = value.created == 0 ? revision_ : value.created;
    value.spec = body["spec"];
    record(kind, target, value, false);
    std::string const answer = encode(target, value).dump();
    lock.unlock();
    exchange.reply(create ? 201 : 200, answer);
}

} // namespace siskinusher::standins
