#include "decision/stream_register.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <unordered_map>
#include <utility>

namespace siskinusher
{

namespace
{

// Limit of the streams that are remembered, because callers choose the ids: 42 streams a second of an
// instance at the target size for their lifetime, and on the lease holder those of 360 instances for 13 s.
constexpr std::size_t max_streams = 200000;
constexpr std::size_t max_unreported = 20000;      // While there is no lease holder.
constexpr std::size_t max_id_length = 128;         // Callers use 16 characters.
constexpr std::size_t max_reported_streams = 2000; // Of one report, which then takes 60 KB.
// Three reports to the lease holder.
constexpr duration max_knowledge_age = milliseconds{1500};

struct known_stream
{
    std::string version;
    std::string service; ///< Empty for a stream of another instance.
    steady_time known_at;
};

struct service_state
{
    std::set<std::string> recorded;
    bool current = false;
    std::map<std::string, unsigned> engines;      ///< Number of engines by version.
    std::map<std::string, steady_time> served_at; ///< When a version without engines last had one.
};

} // namespace

class stream_register::implementation
{
public:
    bool has_several(std::string const& service) const
    {
        auto const found = services.find(service);
        if (!records_known || found == services.end())
        {
            return !records_known;
        }
        service_state const& state = found->second;
        return state.recorded.empty() ? state.engines.size() > 1
                                      : state.recorded.size() > 1 || !state.current;
    }

    void remove_engine(steady_time now, backend_name const& name)
    {
        auto const found = engines.find(name);
        if (found == engines.end())
        {
            return;
        }
        auto const& [service, version] = found->second;
        service_state& state = services[service];
        if (--state.engines[version] == 0)
        {
            state.engines.erase(version);
            state.served_at[version] = now;
        }
        engines.erase(found);
    }

    std::map<std::string, service_state> services;
    std::map<backend_name, std::pair<std::string, std::string>> engines; ///< Service and version.
    std::unordered_map<std::string, known_stream> streams;               ///< By request id.
    std::vector<begun_stream> unreported;                                ///< In the order of their beginning.
    bool records_known = false;
    std::optional<steady_time> confirmed_at; ///< When the recorded versions were known to be complete.
};

stream_register::stream_register() : impl_(std::make_unique<implementation>()) {}

stream_register::~stream_register() = default;

void stream_register::on_backend(steady_time now, backend_entry const& entry)
{
    auto const known = impl_->engines.find(entry.name);
    std::pair<std::string, std::string> const fresh{entry.service, entry.software_version};
    if (known != impl_->engines.end() && known->second == fresh)
    {
        return;
    }
    impl_->remove_engine(now, entry.name);
    impl_->engines[entry.name] = fresh;
    ++impl_->services[entry.service].engines[entry.software_version];
}

void stream_register::on_backend_gone(steady_time now, backend_name const& name)
{
    impl_->remove_engine(now, name);
}

void stream_register::on_recorded(steady_time now, stream_versions const& record, bool current)
{
    bool const several_before = impl_->has_several(record.service);
    service_state& state = impl_->services[record.service];
    if (current)
    {
        state.recorded.clear();
    }
    state.recorded.insert(record.versions.begin(), record.versions.end());
    state.current = current;
    for (std::string const& version : state.recorded)
    {
        if (state.engines.count(version) == 0)
        {
            state.served_at.try_emplace(version, now);
        }
    }
    if (!impl_->has_several(record.service) || several_before)
    {
        return;
    }
    for (auto const& [id, each] : impl_->streams)
    {
        if (each.service == record.service)
        {
            impl_->unreported.push_back({id, each.version});
        }
    }
}

void stream_register::on_records_known()
{
    impl_->records_known = true;
}

std::vector<stream_versions> stream_register::recorded() const
{
    std::vector<stream_versions> all;
    for (auto const& [service, state] : impl_->services)
    {
        if (!state.recorded.empty() && state.current)
        {
            all.push_back({service, {state.recorded.begin(), state.recorded.end()}});
        }
    }
    return all;
}

std::vector<stream_versions> stream_register::due_records(steady_time now) const
{
    std::vector<stream_versions> due;
    for (auto const& [service, state] : impl_->services)
    {
        std::set<std::string> wanted;
        for (auto const& [version, count] : state.engines)
        {
            wanted.insert(version);
        }
        for (std::string const& version : state.recorded)
        {
            auto const served = state.served_at.find(version);
            bool const over = served != state.served_at.end() && now - served->second >= stream_lifetime;
            if (!over)
            {
                wanted.insert(version);
            }
        }
        if (!wanted.empty() && (wanted != state.recorded || !state.current))
        {
            due.push_back({service, {wanted.begin(), wanted.end()}});
        }
    }
    return due;
}

std::set<std::string> stream_register::versions_to_begin(std::string const& service) const
{
    auto const found = impl_->services.find(service);
    if (found == impl_->services.end())
    {
        return {};
    }
    service_state const& state = found->second;
    bool const any_serves =
        std::any_of(state.recorded.begin(), state.recorded.end(),
                    [&state](std::string const& version) { return state.engines.count(version) > 0; });
    // Without an engine of a recorded version, a stream is better begun than refused.
    return any_serves ? state.recorded : std::set<std::string>();
}

void stream_register::on_begun(steady_time now, std::string const& service, begun_stream const& stream)
{
    bool const full = impl_->streams.size() >= max_streams || impl_->unreported.size() >= max_unreported;
    if (stream.request_id.size() > max_id_length || full)
    {
        return;
    }
    impl_->streams[stream.request_id] = {stream.version, service, now};
    if (impl_->has_several(service))
    {
        impl_->unreported.push_back(stream);
    }
}

void stream_register::on_complete(std::string const& request_id)
{
    impl_->streams.erase(request_id);
}

void stream_register::add(steady_time now, begun_stream const& stream)
{
    if (impl_->streams.size() < max_streams)
    {
        impl_->streams.try_emplace(stream.request_id, known_stream{stream.version, {}, now});
    }
}

std::optional<std::string> stream_register::find(std::string const& request_id) const
{
    auto const found = impl_->streams.find(request_id);
    return found == impl_->streams.end() ? std::nullopt : std::optional(found->second.version);
}

void stream_register::on_confirmed(steady_time when)
{
    impl_->confirmed_at = impl_->confirmed_at ? std::max(*impl_->confirmed_at, when) : when;
}

take_up_choice stream_register::choose(steady_time now, std::string const& service,
                                       std::string const& request_id) const
{
    if (auto const version = find(request_id))
    {
        return only_version{*version};
    }
    bool const recent = impl_->confirmed_at && now - *impl_->confirmed_at <= max_knowledge_age;
    if (!recent || impl_->has_several(service))
    {
        return unknown_version{};
    }
    return any_version{};
}

std::vector<begun_stream> stream_register::unreported() const
{
    auto const count = static_cast<std::ptrdiff_t>(std::min(impl_->unreported.size(), max_reported_streams));
    return {impl_->unreported.begin(), impl_->unreported.begin() + count};
}

bool stream_register::has_unreported() const
{
    return !impl_->unreported.empty();
}

void stream_register::on_reported(std::size_t count)
{
    auto const end = static_cast<std::ptrdiff_t>(std::min(impl_->unreported.size(), count));
    impl_->unreported.erase(impl_->unreported.begin(), impl_->unreported.begin() + end);
}

void stream_register::expire(steady_time now)
{
    for (auto each = impl_->streams.begin(); each != impl_->streams.end();)
    {
        bool const old = now - each->second.known_at >= stream_lifetime;
        each = old ? impl_->streams.erase(each) : std::next(each);
    }
}

std::size_t stream_register::size() const
{
    return impl_->streams.size();
}

} // namespace siskinusher
