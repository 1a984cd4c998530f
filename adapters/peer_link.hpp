#pragma once

#include "adapters/ports.hpp"
#include "domain/member.hpp"

#include <boost/outcome/std_result.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace siskinusher
{

struct peer_link_settings
{
    instance_id self;
    std::string listen_address; ///< IP number and port; port 0 lets the system choose.
    std::string key;            ///< Shared by all instances; never logged.
    std::uint64_t seed = 0;     ///< For the jitter of reconnection.
};

/// Links of this instance to the others: one connection for each pair and direction, opened by the sender and
/// authenticated by peer_handshake before anything else is accepted. Messages are received on accepted
/// connections and sent on dialled ones. One thread runs all connections.
///
/// A message is dropped, and counted in siskin_peer_dropped_total by reason, when its receiver is unknown,
/// its queue is full, it has waited too long, or the event ring is full. Bytes on the wire are counted by
/// message kind in siskin_peer_sent_bytes_total and siskin_peer_received_bytes_total.
class peer_link final : public peer_port
{
public:
    /// Does no I/O. The ports must outlive the link.
    peer_link(peer_link_settings settings, event_sink& sink, metric_port& metrics, log_port& log);

    /// Closes all connections and waits for the thread.
    ~peer_link() override;
    peer_link(peer_link const&) = delete;
    peer_link& operator=(peer_link const&) = delete;

    /// Listens and starts the thread. Errors: errc::invalid_argument for a malformed address or an empty key
    /// or name, otherwise the system's error, for example errc::address_in_use.
    boost::outcome_v2::std_result<void> start();

    /// The port that is listened on; zero before start.
    std::uint16_t port() const;

    /// Replaces the instances to dial, as the membership knows them; this instance is skipped.
    void set_members(std::vector<member> const& members);

    void send(std::string const& to, peer_message const& message) override;

    /// Replaces the instances to dial, as the platform lists them. Where both name an instance, the list's
    /// address is dialled.
    void on_instances(std::vector<listed_server> const& servers) override;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace siskinusher
