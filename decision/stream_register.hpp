#pragma once

#include "core/steady_time.hpp"
#include "domain/backend_entry.hpp"
#include "domain/begun_stream.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace siskinusher
{

/// How a stream that a caller takes up may go on.
struct any_version
{
};
struct only_version
{
    std::string version;
};
struct unknown_version
{
};
using take_up_choice = std::variant<any_version, only_version, unknown_version>;

/// Knows the software version at which each stream began that may be taken up again, so that a stream goes on
/// only where it began.
///
/// The lease holder records for each service which versions may begin streams (`stream_versions`). An engine
/// of another version begins none: an instance that starts later could not tell that there were two. While
/// one version is recorded, nothing is kept of the streams but those that are open here. While there are
/// more, the instances report each stream to the lease holder, which writes them to the store.
///
/// It is designed for releases of minutes; a stream that began in the moment before its instance was lost may
/// be unknown.
class stream_register
{
public:
    stream_register();
    ~stream_register();
    stream_register(stream_register const&) = delete;
    stream_register& operator=(stream_register const&) = delete;

    void on_backend(steady_time now, backend_entry const& entry);
    void on_backend_gone(steady_time now, backend_name const& name);

    /// Takes the recorded versions. `current` is false for a record that the store may have lost newer ones
    /// of: then more versions may have begun streams.
    void on_recorded(steady_time now, stream_versions const& record, bool current);
    /// All records of the store have been read: a service without one has had none.
    void on_records_known();
    /// The recorded versions of all services, for the peers.
    std::vector<stream_versions> recorded() const;
    /// Records that need to be written, because versions serve that are not recorded, or recorded ones have
    /// not served for the lifetime of a stream. To be called on the lease holder only.
    std::vector<stream_versions> due_records(steady_time now) const;

    /// The versions whose engines may begin a stream; empty for all.
    std::set<std::string> versions_to_begin(std::string const& service) const;
    /// A stream has begun, or has been taken up, at an engine of this instance.
    void on_begun(steady_time now, std::string const& service, begun_stream const& stream);
    /// The stream was delivered completely.
    void on_complete(std::string const& request_id);
    /// Takes over what another instance or the store knows.
    void add(steady_time now, begun_stream const& stream);
    std::optional<std::string> find(std::string const& request_id) const;
    /// Any version only while it is known from the last max_knowledge_age that there is a single one.
    take_up_choice choose(steady_time now, std::string const& service, std::string const& request_id) const;
    /// All versions recorded at `when` are known: the lease holder has told, the records have been read, or
    /// this instance holds the lease.
    void on_confirmed(steady_time when);

    bool has_unreported() const;
    /// The first streams of this instance that the lease holder has not been told yet.
    std::vector<begun_stream> unreported() const;
    /// The holder has been told the first `count` of them.
    void on_reported(std::size_t count);
    /// Drops what is older than the lifetime of a stream.
    void expire(steady_time now);
    std::size_t size() const;

    /// Longest time from a stream's first event until a caller takes it up.
    static constexpr duration stream_lifetime = seconds{60};

private:
    class implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace siskinusher
