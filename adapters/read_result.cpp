#include "adapters/read_result.hpp"

namespace siskinusher
{

std::string to_string(read_error const& error)
{
    std::string const place = error.line > 0 ? error.file + ":" + std::to_string(error.line) : error.file;
    return place + ": " + error.message;
}

} // namespace siskinusher
