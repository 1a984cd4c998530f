#pragma once

#include "domain/placement_exchange.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace siskinusher
{

/// Encodes the messages between instances and the lease holder as CBOR. Decoding returns an empty optional
/// for bytes that do not have the form that the encoder writes.
std::string encode_demand(demand_report const& report);
std::optional<demand_report> decode_demand(std::string const& bytes);
/// The parts of a reply but the grants, which many instances get within the same moment and which are encoded
/// once for them.
std::string encode_placement_update(placement_update const& placement);
std::string encode_update(backend_update const& update);
std::string encode_crash_marks(std::vector<crash_mark> const& crashes);
std::optional<std::vector<crash_mark>> decode_crash_marks(std::string const& bytes);
/// Joins the encoded parts of a reply with the grants for its receiver. `crash_marks` is empty when the
/// instance has the holder's marks.
std::string encode_reply(std::string const& placement, std::string const& update,
                         std::string const& crash_marks, std::vector<limit_grant> const& grants,
                         known_config const& config, std::vector<stream_versions> const& versions,
                         std::vector<peer_relay> const& relays, duration age);
std::optional<holder_reply> decode_reply(std::string const& bytes);

/// Header of a reply that tells the instance which standbys to ask while there is no holder, the first one
/// first. It is a header because builds before it read replies of a fixed length only.
extern char const* const standbys_header;
std::string encode_standbys(std::vector<std::string> const& addresses);
/// The addresses in the headers of a reply; none when there is no such header, as in replies of older builds.
std::vector<std::string> decode_standbys(std::vector<std::pair<std::string, std::string>> const& headers);

/// Header of a reply that tells how long ago, in milliseconds, the configuration is known to have been the
/// newest one. It is sent only where organisations are configured.
extern char const* const config_age_header;
/// No value when nothing is known of that yet, as after a start.
std::string encode_config_age(std::optional<duration> age);
struct told_config_age
{
    bool stated = false;         ///< False when there is no such header, as in replies of older builds.
    std::optional<duration> age; ///< No value when the peer knows none.
};
told_config_age decode_config_age(std::vector<std::pair<std::string, std::string>> const& headers);

/// Path of the call that asks a standby for the state that it reads from the store. The body is a demand
/// report without demand, the answer a reply without placements. Older builds answer 404.
extern char const* const state_path;
/// Path of the call that carries a demand report to the lease holder.
extern char const* const demand_path;
/// Path of the call that asks for the software version at which a stream began: the request id is the body,
/// the version the body of a 200. A 204 tells that it may go on at any version.
extern char const* const stream_path;
/// Header of that call that names the service. Builds before 204 was an answer do not send it.
extern char const* const stream_service_header;

} // namespace siskinusher
