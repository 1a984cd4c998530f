#pragma once

#include "domain/engine_report.hpp"

#include <boost/outcome/std_result.hpp>

#include <cstdint>
#include <string_view>
#include <vector>

namespace siskinusher
{

/// Readers for the JSON that backend servers and the platform send. None throws. Errors: errc::message_size
/// beyond 1 MB, errc::result_out_of_range for a number that its field cannot hold, otherwise
/// errc::bad_message.

/// An engine's acknowledgement of an order.
struct order_acknowledgement
{
    std::uint64_t boot_id = 0;
    std::uint64_t revision = 0;
};
boost::outcome_v2::std_result<order_acknowledgement> read_order_acknowledgement(std::string_view text);

/// The report of an engine or a plain service; a service may leave out the members about memory and contents.
/// A single amount above 1 PB is refused, so that sums of amounts cannot overflow.
boost::outcome_v2::std_result<engine_report> read_engine_report(std::string_view text);

/// The instance list, as {"instances": [...]} or a plain array. One bad row makes the whole list an error,
/// because the absence of a row is taken as proof that an instance is gone.
boost::outcome_v2::std_result<std::vector<listed_server>> read_instance_list(std::string_view text);

} // namespace siskinusher
