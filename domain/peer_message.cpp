#include "domain/peer_message.hpp"

#include <array>

namespace siskinusher
{

namespace
{

// In the order of the alternatives of peer_message.
constexpr std::array<char const*, std::variant_size_v<peer_message>> names{"heartbeat",
                                                                           "engine_reports",
                                                                           "dc_summary",
                                                                           "wish",
                                                                           "promise_request",
                                                                           "promise_reply",
                                                                           "relay_write",
                                                                           "relay_result",
                                                                           "intent_settled",
                                                                           "config_fetch",
                                                                           "config_text",
                                                                           "record_begin",
                                                                           "record_finish",
                                                                           "record_result",
                                                                           "suspect_announce",
                                                                           "suspect_permit_request",
                                                                           "suspect_permit_reply",
                                                                           "suspect_cleared",
                                                                           "crash_named",
                                                                           "backend_leaving",
                                                                           "server_list"};

} // namespace

char const* kind_name(peer_message const& message)
{
    return names.at(message.index());
}

} // namespace siskinusher
