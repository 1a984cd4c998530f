#include "metadata_store.hpp"

#include <chrono>
#include <cstdlib>

namespace review
{

namespace
{

using nlohmann::json;

constexpr char const* root = "/api/objects/";
constexpr char const* json_line = "Content-Type: application/json\r\n";

// The value of a parameter of the query; empty for none.
std::string parameter(std::string const& target, std::string const& name)
{
    std::size_t const query = target.find('?');
    for (std::size_t at = query; at != std::string::npos; at = target.find('&', at + 1))
    {
        if (target.compare(at + 1, name.size() + 1, name + "=") == 0)
        {
            std::size_t const start = at + name.size() + 2;
            return target.substr(start, target.find('&', start) - start);
        }
    }
    return {};
}

} // namespace

metadata_store::metadata_store()
    : server_([this](http_request const& request, http_channel& channel) { serve(request, channel); })
{
}

metadata_store::~metadata_store()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    ending_ = true;
    changed_.notify_all();
}

void metadata_store::write(std::string const& kind, std::string const& name, json const& spec)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    stored_object& object = kinds_[kind][name];
    if (object.revision != 0 && object.spec == spec)
    {
        return;
    }
    object.spec = spec;
    record(kind, name, false);
}

void metadata_store::remove(std::string const& kind, std::string const& name)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    if (kinds_[kind].count(name) > 0)
    {
        record(kind, name, true);
    }
}

json metadata_store::spec_of(std::string const& kind, std::string const& name)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const found = kinds_[kind].find(name);
    return found == kinds_[kind].end() ? json() : found->second.spec;
}

void metadata_store::serve(http_request const& request, http_channel& channel)
{
    std::string const path = request.target.substr(0, request.target.find('?'));
    if (path.rfind(root, 0) != 0)
    {
        channel.answer(404, json_line, "{}");
        return;
    }
    std::string const rest = path.substr(std::string(root).size());
    std::size_t const slash = rest.find('/');
    std::string const kind = rest.substr(0, slash);
    std::string const name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    std::string const from = parameter(request.target, "watch");
    if (request.method == "GET" && !from.empty())
    {
        watch(channel, kind, std::strtoull(from.c_str(), nullptr, 10),
              static_cast<unsigned>(std::strtoul(parameter(request.target, "wait_ms").c_str(), nullptr, 10)));
    }
    else if (request.method == "GET")
    {
        read(channel, kind, name);
    }
    else if (request.method == "DELETE")
    {
        erase(channel, kind, name);
    }
    else
    {
        put(request, channel, kind, name);
    }
}

void metadata_store::read(http_channel& channel, std::string const& kind, std::string const& name)
{
    json body;
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        auto const& objects = kinds_[kind];
        if (name.empty())
        {
            body = {{"items", json::array()}, {"truncated", false}, {"as_of", revision_}};
            for (auto const& [each, object] : objects)
            {
                body["items"].push_back(encode(each, object));
            }
        }
        else if (auto const found = objects.find(name); found != objects.end())
        {
            body = encode(name, found->second);
        }
    }
    channel.answer(body.is_null() ? 404 : 200, json_line, body.is_null() ? "{}" : body.dump());
}

void metadata_store::watch(http_channel& channel, std::string const& kind, std::uint64_t from,
                           unsigned wait_ms)
{
    auto const until = std::chrono::steady_clock::now() + std::chrono::milliseconds{wait_ms};
    json body{{"events", json::array()}};
    {
        std::unique_lock<std::mutex> lock(mutex_);
        do
        {
            for (change const& each : history_)
            {
                if (each.revision > from && each.kind == kind)
                {
                    body["events"].push_back(each.event);
                }
            }
        } while (body["events"].empty() && !ending_ &&
                 changed_.wait_until(lock, until) == std::cv_status::no_timeout);
        body["as_of"] = revision_;
    }
    channel.answer(200, json_line, body.dump());
}

void metadata_store::put(http_request const& request, http_channel& channel, std::string const& kind,
                         std::string const& name)
{
    json const body = json::parse(request.body, nullptr, false);
    bool const create = request.method == "POST";
    std::string const of = create ? body["metadata"]["name"].get<std::string>() : name;
    json answer;
    bool conflict = false;
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        auto const found = kinds_[kind].find(of);
        bool const exists = found != kinds_[kind].end();
        std::uint64_t const condition = body["metadata"].value("revision", std::uint64_t{0});
        conflict = create ? exists : !exists || (condition != 0 && condition != found->second.revision);
        if (!conflict)
        {
            kinds_[kind][of].spec = body["spec"];
            record(kind, of, false);
        }
        answer = exists || !conflict ? encode(of, kinds_[kind][of]) : json::object();
    }
    channel.answer(conflict ? 409 : 200, json_line, answer.dump());
}

void metadata_store::erase(http_channel& channel, std::string const& kind, std::string const& name)
{
    bool found = false;
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        found = kinds_[kind].count(name) > 0;
        if (found)
        {
            record(kind, name, true);
        }
    }
    channel.answer(found ? 200 : 404, json_line, "{}");
}

// Gives a change its revision. Called with the mutex held.
void metadata_store::record(std::string const& kind, std::string const& name, bool deleted)
{
    stored_object& object = kinds_[kind][name];
    object.revision = ++revision_;
    object.created = object.created == 0 ? revision_ : object.created;
    history_.push_back({revision_, kind, {{"deleted", deleted}, {"object", encode(name, object)}}});
    if (deleted)
    {
        kinds_[kind].erase(name);
    }
    changed_.notify_all();
}

json metadata_store::encode(std::string const& name, stored_object const& object)
{
    return {{"metadata",
             {{"name", name},
              {"revision", object.revision},
              {"create_rev", object.created},
              {"finalizers", json::array()},
              {"deleting", false}}},
            {"spec", object.spec},
            {"status", nullptr}};
}

} // namespace review
