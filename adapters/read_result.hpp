#pragma once

#include <boost/outcome/std_result.hpp>

#include <string>
#include <vector>

namespace siskinusher
{

/// One fault in a text, with its place.
struct read_error
{
    std::string file;
    int line = 0; ///< Starts at 1; zero when the fault concerns the whole file.
    std::string message;
};

using read_errors = std::vector<read_error>;

/// A value, or every fault that was found in the text. Taking the value of a failed result ends the process
/// instead of throwing.
template <typename T>
using read_result = boost::outcome_v2::std_result<T, read_errors, boost::outcome_v2::policy::terminate>;

/// "file:line: message".
std::string to_string(read_error const& error);

} // namespace siskinusher
