#pragma once

#include "domain/peer_message.hpp"
#include "domain/store_call.hpp"

#include <boost/outcome/std_result.hpp>

#include <string>
#include <string_view>

namespace siskinusher
{

/// Encodes a message between instances as a CBOR array: the kind's name, then the fields in the order of
/// their declaration. Errors: errc::message_size when the frame would exceed 1 MB.
boost::outcome_v2::std_result<std::string> encode_peer_message(peer_message const& message);

/// Decodes a frame; never throws. Errors: errc::message_size beyond 1 MB, errc::result_out_of_range for a
/// number that its field cannot hold, errc::not_supported for an unknown kind, otherwise errc::bad_message.
/// Array elements after the known fields are ignored: a later release may append fields.
boost::outcome_v2::std_result<peer_message> decode_peer_message(std::string_view frame);

/// Encodes a value of the object store as a JSON object with the member "type". Errors: errc::message_size
/// when the text would exceed 1 MB.
boost::outcome_v2::std_result<std::string> encode_store_value(store_value const& value);

/// Decodes a value of the object store; never throws. Errors as for decode_peer_message.
boost::outcome_v2::std_result<store_value> decode_store_value(std::string_view text);

} // namespace siskinusher
